import { countOccurrences, formatTaskKey, isStepDone, isStepReady, type AdvicePolicy, type Queue, type Step, type WorkflowRecord } from '../../state/index.js'

/** A workflow that takes this many times its objective has no value any more. */
export const ZERO_VALUE_FACTOR = 3

/** Waiting tasks of one occurrence and step that may be assigned now. */
export interface WaitingGroup {
  record: WorkflowRecord
  occurrence: number
  stepNumber: number
  step: Step
  indexes: number[]
  /** True for long-running tasks that ran before and were interrupted (of a gang, at least one member); their callers have been told that they run. */
  isResumed?: boolean
  priority: number
  /** Wall-clock time in ms by which the workflow has to end to meet its objective. */
  dueAt: number
  advice: AdvicePolicy | undefined
}

/** Estimated duration in ms of the longest chain of dependent steps. */
export function estimateChainMs (steps: readonly Step[]): number {
  const ends = steps.reduce<number[]>((stepEnds, step) => {
    const readyAt = Math.max(0, ...step.dependsOn.map((earlier) => stepEnds[earlier] ?? 0))
    return [...stepEnds, readyAt + step.expectedRunMs]
  }, [])
  return Math.max(0, ...ends)
}

export function getOccurrenceStart (record: WorkflowRecord, occurrence: number): number {
  const { recurrence } = record.workflow
  return recurrence === undefined ? record.submittedAt : recurrence.firstAt + occurrence * recurrence.intervalMs
}

/** Lists the tasks of a workflow that are not assigned to a worker and may start at `wallTime`. */
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

/** Separates interrupted long-running tasks from those that have not run yet; the members of a gang stay in one group. */
function splitResumed (record: WorkflowRecord, occurrence: number, step: number, waiting: number[]): Array<Pick<WaitingGroup, 'indexes' | 'isResumed'>> {
  const { lasting, gang } = record.workflow.steps[step] as Step
  const hasRun = (index: number): boolean => (record.tasks[formatTaskKey({ occurrence, step, index })]?.attempt ?? 0) > 0
  const resumed = lasting ? waiting.filter(hasRun) : []
  if (gang || resumed.length === 0) return waiting.length === 0 ? [] : [{ indexes: waiting, isResumed: resumed.length > 0 }]
  const neverRun = waiting.filter((index) => !hasRun(index))
  return [{ indexes: resumed, isResumed: true }, { indexes: neverRun, isResumed: false }].filter(({ indexes }) => indexes.length > 0)
}

function listWaitingIndexes (record: WorkflowRecord, occurrence: number, stepNumber: number, step: Step): number[] {
  if (isStepDone(record, occurrence, stepNumber) || !isStepReady(record, occurrence, step)) return []
  const all = Array.from({ length: step.count }, (_, index) => index)
  const waiting = all.filter((index) => {
    const taskState = record.tasks[formatTaskKey({ occurrence, step: stepNumber, index })]
    return taskState === undefined || (!taskState.succeeded && taskState.worker === undefined)
  })
  // Members of a gang start together, so none may start while a member of the previous attempt is still assigned.
  return step.gang && waiting.length < step.count ? [] : waiting
}

/**
 * Compares groups by urgency, in this order:
 * 1. Interrupted long-running tasks come first: callers have been told that they run, they are a small share of the load, and
 *    they would wait forever behind a backlog that never empties.
 * 2. The priority of the queue.
 * 3. Short tasks before long-running ones: when long-running tasks take all cores, short tasks yield more value per core.
 * 4. Groups that can meet their objective before late ones: in a burst of large jobs, a late workflow has lost most of its
 *    value whenever it ends, so it waits until the workflows that can be on time have capacity.
 * 5. The earlier `dueAt`.
 */
export function compareGroups (wallTime: number): (a: WaitingGroup, b: WaitingGroup) => number {
  return (a, b) => Number(b.isResumed === true) - Number(a.isResumed === true) ||
    a.priority - b.priority ||
    Number(a.step.lasting) - Number(b.step.lasting) ||
    getLateness(a, wallTime) - getLateness(b, wallTime) ||
    a.dueAt - b.dueAt
}

/** 0 when the group can meet its objective, 1 when it will be late, 2 when it will end without value; 0 for long-running tasks. */
export function getLateness (group: WaitingGroup, wallTime: number): number {
  if (group.step.lasting) return 0
  const start = getOccurrenceStart(group.record, group.occurrence)
  const endsAt = wallTime + group.step.expectedRunMs
  return Number(endsAt > group.dueAt) + Number(endsAt > start + ZERO_VALUE_FACTOR * (group.dueAt - start))
}
