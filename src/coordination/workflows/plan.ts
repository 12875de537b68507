import { countOccurrences, findMissingIndex, formatStepKey, formatTaskKey, isStepDone, isStepReady, type AdvicePolicy, type Queue, type Step, type WorkflowRecord } from '../../state/index.js'
import { hasOversizedGang } from './gangLimit.js'

/** Shared by the gangs of a size, of which many may wait. */
const gangIndexes = new Map<number, readonly number[]>()

/**
 * Most tasks of a workflow that are listed as waiting without having run before; more than one scheduling pass assigns. The next
 * ones are listed when these have been assigned, so that the cost of a pass does not depend on the size of a workflow.
 */
export const MAX_LISTED_TASKS = 1000

/** A workflow that takes this many times its objective has no value any more. */
export const ZERO_VALUE_FACTOR = 3

/** After the failure of this many tasks of a step, its tasks run one at a time until one has succeeded. */
const SUSPECT_FAILED_TASKS = 2

/**
 * Work that has not begun counts as on time only while its remaining critical path, taken this many times, fits before the
 * objective. The estimates of the reference loads are off by a fifth, and the tasks of a step do not all start at once. Without
 * the margin, under overload every workflow starts at the last moment, and its work is lost just before its end.
 */
export const ON_TIME_MARGIN = 1.25

/** Waiting tasks of one occurrence and step that may be assigned now. */
export interface WaitingGroup {
  record: WorkflowRecord
  occurrence: number
  stepNumber: number
  step: Step
  indexes: readonly number[]
  /** Number of assigned tasks of the same occurrence and step. */
  runningTasks: number
  /** True for long-running tasks that ran before and were interrupted (of a gang, at least one member); their callers have been told that they run. */
  isResumed?: boolean
  priority: number
  /** Wall-clock time in ms by which the workflow has to end to meet its objective. */
  dueAt: number
  advice: AdvicePolicy | undefined
}

/** Estimated duration in ms of the longest chain of dependent steps. */
export function estimateChainMs (steps: readonly Step[]): number {
  const ends: number[] = []
  steps.forEach(({ dependsOn, expectedRunMs }) => {
    const readyAt = dependsOn.reduce((latest, earlier) => Math.max(latest, ends[earlier] ?? 0), 0)
    ends.push(readyAt + expectedRunMs)
  })
  return ends.reduce((latest, end) => Math.max(latest, end), 0)
}

const tailsBySteps = new WeakMap<readonly Step[], number[]>()

/** Estimated duration in ms of the longest chain of dependent steps that begins with this step. Cached by the steps, which never change. */
export function estimateTailMs (steps: readonly Step[], stepNumber: number): number {
  const tails = tailsBySteps.get(steps) ?? computeTails(steps)
  tailsBySteps.set(steps, tails)
  return tails[stepNumber] ?? 0
}

/** Steps depend only on earlier ones. */
function computeTails (steps: readonly Step[]): number[] {
  const tails = steps.map(({ expectedRunMs }) => expectedRunMs)
  for (let number = steps.length - 1; number >= 0; number -= 1) {
    steps[number]?.dependsOn.forEach((earlier) => { tails[earlier] = Math.max(tails[earlier] ?? 0, (steps[earlier]?.expectedRunMs ?? 0) + (tails[number] ?? 0)) })
  }
  return tails
}

/** Cached by the steps, which never change: the objective of each open workflow is computed each 50 ms. */
const chainsBySteps = new WeakMap<readonly Step[], number>()

/** Time in ms that an occurrence may take to meet the objective of its queue. */
export function computeObjectiveMs (queue: Pick<Queue, 'slackFactor' | 'objectiveMs'> | undefined, steps: readonly Step[]): number {
  const chainMs = chainsBySteps.get(steps) ?? estimateChainMs(steps)
  chainsBySteps.set(steps, chainMs)
  return (queue?.slackFactor ?? 1) * chainMs + (queue?.objectiveMs ?? 0)
}

export function getOccurrenceStart (record: WorkflowRecord, occurrence: number): number {
  const { recurrence } = record.workflow
  return recurrence === undefined ? record.submittedAt : recurrence.firstAt + occurrence * recurrence.intervalMs
}

/** Number of occurrences that may start at `wallTime`; those with lower numbers start first. */
export function countDueOccurrences (record: WorkflowRecord, wallTime: number): number {
  const { recurrence } = record.workflow
  const count = countOccurrences(record.workflow)
  if (recurrence === undefined) return count
  if (wallTime < recurrence.firstAt) return 0
  return recurrence.intervalMs > 0 ? Math.min(count, Math.floor((wallTime - recurrence.firstAt) / recurrence.intervalMs) + 1) : count
}

/** Wall-clock time in ms at which the next occurrence may start that may not yet; infinite if there is none. */
export function findNextStart (record: WorkflowRecord, wallTime: number): number {
  const due = countDueOccurrences(record, wallTime)
  return due < countOccurrences(record.workflow) ? getOccurrenceStart(record, due) : Infinity
}

/** Tasks of one occurrence and step that were assigned at least once and are not done. */
interface KnownTasks { occurrence: number, running: number, interrupted: number[], failed: number[] }

/**
 * Lists the tasks of a workflow that are not assigned to a worker and may start at `wallTime`: all that were interrupted, and of
 * the others the first `MAX_LISTED_TASKS`. A gang is always listed whole.
 */
export function listWaiting (record: WorkflowRecord, queue: Queue | undefined, wallTime: number): WaitingGroup[] {
  const { workflow } = record
  if (record.outcome !== undefined || hasOversizedGang(workflow)) return []
  const objectiveMs = computeObjectiveMs(queue, workflow.steps)
  const knownTasks = listKnownTasks(record)
  const groups: WaitingGroup[] = []
  /** Adds the groups of one occurrence; returns the number of tasks in them. `limit`: most tasks that never ran. */
  const addGroups = (occurrence: number, limit: number): number => workflow.steps.reduce((listed, step, stepNumber) => {
    const known = knownTasks.get(formatStepKey(occurrence, stepNumber))
    const waiting = listWaitingIndexes(record, occurrence, stepNumber, known, limit - listed)
    splitResumed(record, occurrence, stepNumber, waiting).forEach(({ indexes, isResumed }) => groups.push({
      record,
      occurrence,
      stepNumber,
      step,
      indexes,
      runningTasks: known?.running ?? 0,
      isResumed,
      priority: queue?.priority ?? 0,
      dueAt: getOccurrenceStart(record, occurrence) + objectiveMs,
      advice: queue === undefined ? record.advice : queue.advice
    }))
    return listed + waiting.length
  }, 0)
  const due = countDueOccurrences(record, wallTime)
  let next = findMissingIndex(record.doneOccurrences, 0)
  let limit = MAX_LISTED_TASKS
  while (next < due && limit > 0) {
    limit -= addGroups(next, limit)
    next = findMissingIndex(record.doneOccurrences, next + 1)
  }
  // Later occurrences of which tasks were interrupted.
  const interrupted = [...knownTasks.values()].filter(({ occurrence, interrupted }) => occurrence >= next && occurrence < due && interrupted.length > 0)
  new Set(interrupted.map(({ occurrence }) => occurrence)).forEach((occurrence) => addGroups(occurrence, 0))
  return groups
}

/** Groups the task records by occurrence and step. Their number depends on the tasks that run or were interrupted. */
function listKnownTasks (record: WorkflowRecord): Map<string, KnownTasks> {
  const known = new Map<string, KnownTasks>()
  Object.entries(record.tasks).filter(([, { succeeded }]) => !succeeded).forEach(([taskKey, { worker, failures }]) => {
    const end = taskKey.lastIndexOf('.')
    const stepKey = taskKey.slice(0, end)
    const tasks = known.get(stepKey) ?? { occurrence: Number(stepKey.slice(0, stepKey.indexOf('.'))), running: 0, interrupted: [], failed: [] }
    known.set(stepKey, tasks)
    if (failures > 0) tasks.failed.push(Number(taskKey.slice(end + 1)))
    if (worker === undefined) tasks.interrupted.push(Number(taskKey.slice(end + 1)))
    else tasks.running += 1
  })
  return known
}

/** Separates interrupted long-running tasks from those that have not run yet; the members of a gang stay in one group. */
function splitResumed (record: WorkflowRecord, occurrence: number, step: number, waiting: readonly number[]): Array<Pick<WaitingGroup, 'indexes' | 'isResumed'>> {
  const { lasting, gang } = record.workflow.steps[step] as Step
  const hasRun = (index: number): boolean => (record.tasks[formatTaskKey({ occurrence, step, index })]?.attempt ?? 0) > 0
  const resumed = lasting ? waiting.filter(hasRun) : []
  if (gang || resumed.length === 0) return waiting.length === 0 ? [] : [{ indexes: waiting, isResumed: resumed.length > 0 }]
  const neverRun = waiting.filter((index) => !hasRun(index))
  return [{ indexes: resumed, isResumed: true }, { indexes: neverRun, isResumed: false }].filter(({ indexes }) => indexes.length > 0)
}

function listWaitingIndexes (record: WorkflowRecord, occurrence: number, stepNumber: number, known: KnownTasks | undefined, limit: number): readonly number[] {
  const step = record.workflow.steps[stepNumber] as Step
  const interrupted = known?.interrupted ?? []
  if ((limit <= 0 && interrupted.length === 0) || isStepDone(record, occurrence, stepNumber) || !isStepReady(record, occurrence, step)) return []
  if (!step.gang) {
    const indexes = [...interrupted, ...listNeverAssigned(record, occurrence, stepNumber, limit)].sort((a, b) => a - b)
    return isSuspect(record, occurrence, stepNumber, known) ? listOneAtATime(indexes, known) : indexes
  }
  // Members of a gang start together, so none may start while a member of the previous attempt is still assigned.
  return (known?.running ?? 0) > 0 ? [] : getGangIndexes(step.count)
}

function getGangIndexes (count: number): readonly number[] {
  const known = gangIndexes.get(count) ?? Array.from({ length: count }, (_, index) => index)
  gangIndexes.set(count, known)
  return known
}

/**
 * True when several tasks of a step have failed and none has succeeded: the step may fail wherever it runs. Decided from the
 * replicated state, so a new leader knows it.
 */
function isSuspect (record: WorkflowRecord, occurrence: number, stepNumber: number, known: KnownTasks | undefined): boolean {
  const hasSucceeded = (record.succeeded[formatStepKey(occurrence, stepNumber)] ?? 0) > 0 || findMissingIndex(record.doneOccurrences, 0) > 0
  return record.workflow.steps[stepNumber]?.lasting === false && !hasSucceeded && (known?.failed.length ?? 0) >= SUSPECT_FAILED_TASKS
}

/** One task while none runs; one that has failed before, because its next failure may end the workflow. */
function listOneAtATime (indexes: readonly number[], known: KnownTasks | undefined): number[] {
  if ((known?.running ?? 0) > 0) return []
  const failed = new Set(known?.failed)
  return [indexes.find((index) => failed.has(index)) ?? indexes[0]].flatMap((index) => index ?? [])
}

function listNeverAssigned (record: WorkflowRecord, occurrence: number, step: number, limit: number): number[] {
  const count = record.workflow.steps[step]?.count ?? 0
  const succeeded = record.succeededIndexes?.[formatStepKey(occurrence, step)]
  const indexes: number[] = []
  let index = findMissingIndex(succeeded, 0)
  while (index < count && indexes.length < limit) {
    if (record.tasks[formatTaskKey({ occurrence, step, index })] === undefined) indexes.push(index)
    index = findMissingIndex(succeeded, index + 1)
  }
  return indexes
}

/**
 * Compares groups by urgency, in this order:
 * 1. Interrupted long-running tasks come first: callers have been told that they run, they are a small share of the load, and
 *    they would wait forever behind a backlog that never empties.
 * 2. The priority of the queue.
 * 3. Short tasks before long-running ones: when long-running tasks take all cores, short tasks yield more value per core.
 * 4. Groups that can meet their objective before late ones: in a burst of large jobs, a late workflow has lost most of its
 *    value whenever it ends, so it waits until the workflows that can be on time have capacity.
 * 5. The lower share rank: queues that hold more than their share of the pool wait for the others.
 * 6. The earlier `dueAt`.
 */
export function compareGroups (wallTime: number, getShareRank: (group: WaitingGroup) => number = () => 0): (a: WaitingGroup, b: WaitingGroup) => number {
  return (a, b) => compareUrgencyClasses(a, b, wallTime) || getShareRank(a) - getShareRank(b) || a.dueAt - b.dueAt
}

/** Compares groups by the first four rules of `compareGroups`. */
export function compareUrgencyClasses (a: WaitingGroup, b: WaitingGroup, wallTime: number): number {
  return Number(b.isResumed === true) - Number(a.isResumed === true) ||
    a.priority - b.priority ||
    Number(a.step.lasting) - Number(b.step.lasting) ||
    getLateness(a, wallTime) - getLateness(b, wallTime)
}

/** True when a task of the step, or of a step that it depends on, has run or runs. */
function hasBegun ({ record, occurrence, stepNumber, step, runningTasks }: WaitingGroup): boolean {
  return runningTasks > 0 || step.dependsOn.length > 0 || (record.succeeded[formatStepKey(occurrence, stepNumber)] ?? 0) > 0
}

/**
 * 0 when the workflow can meet its objective by the group's step and those that depend on it, 1 when it will be late, 2 when it
 * will end without value; 0 for long-running tasks.
 */
export function getLateness (group: WaitingGroup, wallTime: number): number {
  if (group.step.lasting) return 0
  const start = getOccurrenceStart(group.record, group.occurrence)
  const tailMs = estimateTailMs(group.record.workflow.steps, group.stepNumber)
  const margin = hasBegun(group) ? 1 : ON_TIME_MARGIN
  return Number(wallTime + margin * tailMs > group.dueAt) + Number(wallTime + tailMs > start + ZERO_VALUE_FACTOR * (group.dueAt - start))
}
