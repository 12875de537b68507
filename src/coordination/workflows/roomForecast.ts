import type { Queue, Step, Workflow, WorkflowRecord } from '../../state/index.js'
import { countFitting } from './placement.js'
import { computeObjectiveMs, estimateChainMs, ZERO_VALUE_FACTOR } from './plan.js'
import type { RunDurations } from './runDurations.js'

/**
 * The measured rate of a pool is multiplied by this for an optimistic forecast. 1.25, with run times of 0.8 of their estimates,
 * accepted a third of the callers of an overloaded queue although their work ended without value.
 */
const RATE_OPTIMISM = 1.1
/** Estimates of a queue that are off by more than this factor are not used for a refusal. */
const WRONG_ESTIMATE_FACTOR = 2
/** Ended runs from which on an estimate can be called wrong. */
const MIN_DURATION_SAMPLES = 16
/** Retry delays are spread over this share of the time until capacity is expected. */
const RETRY_SPREAD_SHARE = 1
/** The spread of less urgent queues begins at this share of the time until capacity is expected, so that urgent callers return first. */
const LESS_URGENT_DELAY_SHARE = 0.25
/** 2^32, the number of values of the hash of an id. */
const HASH_VALUES = 0x1_0000_0000

/** Best-effort steps use the cores that other tasks leave idle; ordinary steps use requested cores. They wait for different capacity. */
export type WorkKind = 'ordinary' | 'bestEffort'

/** Size of a worker without any task. */
export interface WorkerSize { cores: number, memoryMb: number, accelerators: number, labels: readonly string[] }

/** Remaining work of an open workflow that still has value. */
export interface OpenWork {
  queue: string
  priority: number
  /** Wall-clock time in ms by which the workflow has to end to meet its objective. */
  dueAt: number
  /** By the remaining critical path, the workflow can only be late. */
  isLate: boolean
  /** Core-milliseconds by the estimates of the submitter. */
  work: Record<WorkKind, number>
}

/** Core-milliseconds per millisecond, measured in the same estimates as the outstanding work, so that an estimate that is wrong by a constant factor cancels out. */
export interface MeasuredRates {
  /** Work completed while work of the kind was waiting for capacity; undefined until that has been the case for long enough. */
  drain: number
  /** Work accepted of the priority and more urgent ones, and by the queue alone. */
  arrival: number
  queueArrival: number
}

export interface RoomForecastInput {
  queue: Queue
  workflow: Workflow
  open: readonly OpenWork[]
  /** Rates by kind of work; undefined while unknown. */
  rates: Partial<Record<WorkKind, MeasuredRates>>
  /** Cores of the pool that long-running tasks are not expected to use. */
  freeableCores: number
  /** Queues of one priority get equal shares of the pool. */
  hasFairShares: boolean
  /** Wall-clock time in ms. */
  now: number
}

export interface RoomForecast {
  /** Optimistic time in ms until the workflow ends; infinite if work that goes before it takes all capacity. */
  endsInMs: number
  /** Time in ms until the workflow loses its value. */
  allowedMs: number
  /** Time in ms until new work of the kind could be on time again. */
  readyInMs: number
}

export function getWorkKind (step: Step): WorkKind {
  return step.fills ? 'bestEffort' : 'ordinary'
}

/**
 * Forecasts when a workflow would end, for loads that exceed the capacity of one kind of work, for example best-effort work
 * beside services. The forecast follows the order of the dispatcher: a workflow that can be on time waits for more urgent
 * work and for work that is due earlier; otherwise it waits for all work that has value, and the work that arrives meanwhile
 * goes before it. If queues of one priority have equal shares, a queue with little work of its own is not held up by the others.
 * Without a measured rate of the kind there is no forecast, and the result is undefined.
 */
export function estimateEnd ({ queue, workflow, open, rates, freeableCores, hasFairShares, now }: RoomForecastInput): RoomForecast | undefined {
  const kind: WorkKind = workflow.steps.every(({ fills }) => fills) ? 'bestEffort' : 'ordinary'
  const measured = rates[kind]
  if (measured === undefined) return undefined
  const rate = Math.max(measured.drain * RATE_OPTIMISM, kind === 'ordinary' ? freeableCores : 0)
  const objectiveMs = computeObjectiveMs(queue, workflow.steps)
  const runMs = estimateChainMs(workflow.steps)
  const allowedMs = ZERO_VALUE_FACTOR * objectiveMs
  const valued = open.filter(({ priority, work }) => priority <= queue.priority && work[kind] > 0)
  const peers = new Set([queue.name, ...valued.filter(({ priority }) => priority === queue.priority).map((other) => other.queue)])
  /** Forecast by the work of the other queues and a rate. */
  const estimate = (ahead: readonly OpenWork[], rateMs: number, arrival: number): RoomForecast => {
    const dueEarlier = ahead.filter(({ priority, isLate, dueAt }) => priority < queue.priority || (!isLate && dueAt <= now + objectiveMs))
    const waitMs = computeWaitMs(measureWork(dueEarlier, kind), rateMs)
    const readyInMs = Math.max(0, waitMs + runMs - objectiveMs)
    const endsInMs = (readyInMs === 0 ? waitMs : computeWaitMs(measureWork(ahead, kind), rateMs - arrival)) + runMs
    return { endsInMs, allowedMs, readyInMs }
  }
  const byDueTime = estimate(valued, rate, measured.arrival)
  if (!hasFairShares || peers.size === 1) return byDueTime
  const urgentMs = computeWaitMs(measureWork(valued.filter(({ priority }) => priority < queue.priority), kind), rate)
  const byShare = estimate(valued.filter((other) => other.queue === queue.name), rate / peers.size, measured.queueArrival)
  const fair = { ...byShare, endsInMs: byShare.endsInMs + urgentMs, readyInMs: byShare.readyInMs + urgentMs }
  return fair.endsInMs < byDueTime.endsInMs ? fair : byDueTime
}

/** True when runs of one of the steps are known to take a multiple or a fraction of the estimate. */
export function hasWrongEstimates (durations: Pick<RunDurations, 'forecast'>, { name }: Queue, { steps }: Workflow): boolean {
  return steps.some(({ image, expectedRunMs, lasting }, step) => {
    const { expectedMs, samples } = durations.forecast({ queue: name, image, step }, expectedRunMs)
    const isWrong = expectedMs > expectedRunMs * WRONG_ESTIMATE_FACTOR || expectedMs * WRONG_ESTIMATE_FACTOR < expectedRunMs
    return !lasting && samples >= MIN_DURATION_SAMPLES && isWrong
  })
}

function measureWork (open: readonly OpenWork[], kind: WorkKind): number {
  return open.reduce((sum, { work }) => sum + work[kind], 0)
}

function computeWaitMs (work: number, rate: number): number {
  if (work <= 0) return 0
  return rate > 0 ? work / rate : Infinity
}

/** Returns what remains of an open workflow, or undefined when it has no value any more, has no end of its own, or starts later. */
export function computeOpenWork (record: WorkflowRecord, queue: Queue | undefined, now: number): OpenWork | undefined {
  const { steps, recurrence } = record.workflow
  if (recurrence !== undefined || record.outcome !== undefined) return undefined
  const objectiveMs = queue === undefined ? Infinity : computeObjectiveMs(queue, steps)
  const dueAt = record.submittedAt + objectiveMs
  const worthlessAt = record.submittedAt + ZERO_VALUE_FACTOR * objectiveMs
  if (now > worthlessAt) return undefined
  const work: Record<WorkKind, number> = { ordinary: 0, bestEffort: 0 }
  const ends: number[] = []
  // One pass without intermediate lists: called for each open workflow each 50 ms.
  steps.forEach((step, number) => {
    const remaining = step.lasting ? 0 : Math.max(0, step.count - (record.succeeded[`0.${number}`] ?? 0))
    const readyAt = step.dependsOn.reduce((latest, earlier) => Math.max(latest, ends[earlier] ?? 0), now)
    ends.push(remaining === 0 ? readyAt : readyAt + step.expectedRunMs)
    work[getWorkKind(step)] += remaining * step.cores * step.expectedRunMs
  })
  const endsAt = ends.reduce((latest, end) => Math.max(latest, end), now)
  if (endsAt > worthlessAt) return undefined
  return { queue: record.queue, priority: queue?.priority ?? 0, dueAt, isLate: endsAt > dueAt, work }
}

/**
 * Finds a step that no worker of these sizes could run even without any other task; a gang needs all its members at once. The
 * cores of best-effort steps count only if workers reject overload, as such a task may otherwise start on fewer cores.
 */
export function findTooLargeStep ({ steps }: Workflow, sizes: readonly WorkerSize[], rejectsOverload: boolean): Step | undefined {
  if (sizes.length === 0) return undefined
  return steps.find((step) => {
    const cores = step.fills && !rejectsOverload ? 0 : step.cores
    const able = sizes.filter((size) => size.cores >= cores && size.memoryMb >= step.memoryMb && size.accelerators >= step.accelerators &&
      (step.requiredLabel === undefined || size.labels.includes(step.requiredLabel)))
    if (able.length === 0 || !step.gang) return able.length === 0
    return able.reduce((sum, size) => sum + countFitting(size, { ...step, cores }, Math.min(step.count, step.maxPerWorker ?? Infinity)), 0) < step.count
  })
}

/**
 * Spreads retries over a time in proportion to the delay, by a hash of the workflow id, so that refused callers do not return
 * together and the same caller always gets the same delay. Those of less urgent queues begin later.
 */
export function computeRetryAfterMs (delayMs: number, priority: number, workflow: string): number {
  const start = priority > 0 ? LESS_URGENT_DELAY_SHARE : 0
  return Math.round(delayMs * (1 + start + RETRY_SPREAD_SHARE * computeHash(workflow) / HASH_VALUES))
}

/** FNV-1a with the final mix of MurmurHash3: without it, ids that differ only at their end have hashes close together. */
function computeHash (text: string): number {
  let hash = 0x811c9dc5
  for (let index = 0; index < text.length; index += 1) hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193)
  hash = Math.imul(hash ^ hash >>> 16, 0x85ebca6b)
  hash = Math.imul(hash ^ hash >>> 13, 0xc2b2ae35)
  return (hash ^ hash >>> 16) >>> 0
}
