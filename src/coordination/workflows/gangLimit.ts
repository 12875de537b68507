import type { Step, Workflow } from '../../state/index.js'

/**
 * Most tasks of a gang. A gang is placed in one scheduling pass and recorded in one entry of the log, so its size bounds the time
 * of the pass and the bytes of the entry, which all other workflows share.
 */
export const MAX_GANG_TASKS = 1000

const isOversized = ({ gang, count }: Step): boolean => gang && count > MAX_GANG_TASKS

/** Says which step of a workflow is a gang that cannot be placed; undefined if there is none. */
export function describeOversizedGang ({ steps }: Pick<Workflow, 'steps'>): string | undefined {
  const number = steps.findIndex(isOversized)
  return number < 0 ? undefined : `step ${number} is a gang of ${steps[number]?.count} tasks; at most ${MAX_GANG_TASKS} are allowed`
}

/** True for a workflow that an earlier build has accepted and that can never be completed. */
export function hasOversizedGang ({ steps }: Pick<Workflow, 'steps'>): boolean {
  return steps.some(isOversized)
}
