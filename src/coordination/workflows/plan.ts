import { countOccurrences, getLocalName, isStepDone, isStepReady, type AdvicePolicy, type Queue, type Step, type WorkflowRecord } from '../../state/index.js'

/** A workflow is worth nothing once it has taken this many times its objective. */
export const WORTHLESS_FACTOR = 3

/** Tasks of one occurrence and step that may be assigned now. */
export interface WaitingGroup {
  record: WorkflowRecord
  occurrence: number
  stepNumber: number
  step: Step
  indexes: number[]
  /** The tasks last, have run before and have stopped; callers were promised that they run. */
  isResumed?: boolean
  priority: number
  /** Wall-clock ms by which the workflow should have ended. */
  dueAt: number
  advice: AdvicePolicy | undefined
}

/** Estimated length of the longest chain of steps, ms. */
export function estimateChainMs (steps: readonly Step[]): number {
  const ends = steps.reduce<number[]>((known, step) => {
    const ready = Math.max(0, ...step.dependsOn.map((earlier) => known[earlier] ?? 0))
    return [...known, ready + step.expectedRunMs]
  }, [])
  return Math.max(0, ...ends)
}

export function getOccurrenceStart (record: WorkflowRecord, occurrence: number): number {
  const { recurrence } = record.workflow
  return recurrence === undefined ? record.submittedAt : recurrence.firstAt + occurrence * recurrence.intervalMs
}

/** Lists the tasks of a workflow that nobody runs and that may start at `wallTime`. */
export function listWaiting (record: WorkflowRecord, queue: Queue | undefined, wallTime: number): WaitingGroup[] {
  if (record.outcome !== undefined) return []
  const { workflow } = record
  const objectiveMs = (queue?.slackFactor ?? 1) * estimateChainMs(workflow.steps) + (queue?.objectiveMs ?? 0)
  return Array.from({ length: countOccurrences(workflow) }, (_, occurrence) => occurrence)
    .filter((occurrence) => workflow.recurrence === undefined || getOccurrenceStart(record, occurrence) <= wallTime)
    .flatMap((occurrence) => workflow.steps.flatMap((step, stepNumber) => {
      const waiting = listWaitingIndexes(record, occurrence, stepNumber, step)
      return splitResumed(record, occurrence, stepNumber, waiting).map(({ indexes, isResumed }) => ({
        record,
        occurrence,
        stepNumber,
        step,
        indexes,
        isResumed,
        priority: queue?.priority ?? 0,
        dueAt: getOccurrenceStart(record, occurrence) + objectiveMs,
        advice: queue?.advice
      }))
    }))
}

/** Lasting tasks that have run before apart from new ones; the members of a gang stay together. */
function splitResumed (record: WorkflowRecord, occurrence: number, step: number, waiting: number[]): Array<Pick<WaitingGroup, 'indexes' | 'isResumed'>> {
  const { lasting, gang } = record.workflow.steps[step] as Step
  const hasRun = (index: number): boolean => (record.tasks[getLocalName({ occurrence, step, index })]?.attempt ?? 0) > 0
  const resumed = lasting ? waiting.filter(hasRun) : []
  if (gang || resumed.length === 0) return waiting.length === 0 ? [] : [{ indexes: waiting, isResumed: resumed.length > 0 }]
  const fresh = waiting.filter((index) => !hasRun(index))
  return [{ indexes: resumed, isResumed: true }, { indexes: fresh, isResumed: false }].filter(({ indexes }) => indexes.length > 0)
}

function listWaitingIndexes (record: WorkflowRecord, occurrence: number, stepNumber: number, step: Step): number[] {
  if (isStepDone(record, occurrence, stepNumber) || !isStepReady(record, occurrence, step)) return []
  const all = Array.from({ length: step.count }, (_, index) => index)
  const waiting = all.filter((index) => {
    const known = record.tasks[getLocalName({ occurrence, step: stepNumber, index })]
    return known === undefined || (!known.succeeded && known.worker === undefined)
  })
  // Members of a gang start together, so none starts while one of the last attempt is still there.
  return step.gang && waiting.length < step.count ? [] : waiting
}

/**
 * Lasting tasks that have stopped come before everything: callers were promised that they run, they are a small part of
 * the load, and behind a backlog that never empties they would wait without end. Then priority, then work that ends before work that lasts, then what can still be on time, then what is due first.
 * On a burst of large jobs, most of the worth of a late workflow is lost whenever it ends, so it waits until those that
 * can be on time have room. With all cores taken by lasting work, short work gives more for each core.
 */
export function compareGroups (wallTime: number): (a: WaitingGroup, b: WaitingGroup) => number {
  return (a, b) => Number(b.isResumed === true) - Number(a.isResumed === true) ||
    a.priority - b.priority ||
    Number(a.step.lasting) - Number(b.step.lasting) ||
    getLateness(a, wallTime) - getLateness(b, wallTime) ||
    a.dueAt - b.dueAt
}

/** 0 for what can end by its objective, 1 for what will be late, 2 for what is worth nothing any more. */
export function getLateness (group: WaitingGroup, wallTime: number): number {
  if (group.step.lasting) return 0
  const start = getOccurrenceStart(group.record, group.occurrence)
  const endsAt = wallTime + group.step.expectedRunMs
  return Number(endsAt > group.dueAt) + Number(endsAt > start + WORTHLESS_FACTOR * (group.dueAt - start))
}
