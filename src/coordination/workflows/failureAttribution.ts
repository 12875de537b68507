import { parseTaskName } from '../../state/index.js'

/** Maximum number of steps with recorded failures or successes; beyond it, those recorded first are dropped. */
const MAX_KNOWN_STEPS = 2000

/** The same step of all occurrences of a workflow counts as the same work. */
interface Work {
  workflow: string
  hasSucceeded: boolean
  /** It has failed on a worker that completed other work afterwards. */
  hasFailedOnSoundWorker: boolean
  /** Workers on which a task has failed, with the number of failures since the worker last completed any task. */
  failedOn: Map<string, number>
}

/** Decides from the ends of runs on all workers whether failures are due to a worker or to the work. */
export interface FailureAttribution {
  /** Returns the workers on which the same work has failed, if this is its first success: its failures there count from now on. */
  recordSuccess (worker: string, task: string): string[]
  recordFailure (worker: string, task: string): void
  /**
   * Number of failures in a row that count against a worker. A failure of work that has succeeded elsewhere counts. Work that has
   * never succeeded counts once for each workflow, unless it has failed on a sound worker as well.
   */
  countFailures (worker: string): number
  /** Workers on which tasks of a step have failed. */
  listFailedOn (workflow: string, step: number): ReadonlySet<string>
  /** Discards the failures that count against a worker. */
  reset (worker: string): void
}

const NONE: ReadonlySet<string> = new Set()

export function createFailureAttribution (): FailureAttribution {
  const works = new Map<string, Work>()
  /** By worker: the work that has failed there since it last completed a task. */
  const failedByWorker = new Map<string, Set<Work>>()

  const formatWorkKey = (workflow: string, step: number): string => `${workflow}.${step}`

  const getWork = (task: string): Work | undefined => {
    const name = parseTaskName(task)
    if (name === undefined) return undefined
    const key = formatWorkKey(name.workflow, name.step)
    const known = works.get(key)
    if (known !== undefined) return known
    const oldest = works.size >= MAX_KNOWN_STEPS ? works.keys().next().value : undefined
    if (oldest !== undefined) works.delete(oldest)
    const created: Work = { workflow: name.workflow, hasSucceeded: false, hasFailedOnSoundWorker: false, failedOn: new Map() }
    works.set(key, created)
    return created
  }

  const reset = (worker: string): void => {
    failedByWorker.get(worker)?.forEach(({ failedOn }) => failedOn.set(worker, 0))
    failedByWorker.delete(worker)
  }

  return {
    recordSuccess: (worker, task) => {
      failedByWorker.get(worker)?.forEach((failed) => { failed.hasFailedOnSoundWorker = true })
      reset(worker)
      const work = getWork(task)
      if (work === undefined) return []
      const isFirst = !work.hasSucceeded
      work.hasSucceeded = true
      work.failedOn.delete(worker)
      return isFirst ? [...work.failedOn.keys()] : []
    },
    recordFailure: (worker, task) => {
      const work = getWork(task)
      if (work === undefined) return
      work.failedOn.set(worker, (work.failedOn.get(worker) ?? 0) + 1)
      const failed = failedByWorker.get(worker) ?? new Set()
      failedByWorker.set(worker, failed.add(work))
    },
    countFailures: (worker) => {
      const failed = [...failedByWorker.get(worker) ?? []]
      const sound = failed.filter(({ hasSucceeded }) => hasSucceeded)
      const untested = failed.filter(({ hasSucceeded, hasFailedOnSoundWorker }) => !hasSucceeded && !hasFailedOnSoundWorker)
      return sound.reduce((sum, { failedOn }) => sum + (failedOn.get(worker) ?? 0), 0) + new Set(untested.map(({ workflow }) => workflow)).size
    },
    listFailedOn: (workflow, step) => {
      const work = works.get(formatWorkKey(workflow, step))
      return work === undefined || work.failedOn.size === 0 ? NONE : new Set(work.failedOn.keys())
    },
    reset
  }
}
