import type { Clock } from '../../common/index.js'
import { isZoneEvacuated, type Queue, type Workflow, type WorkflowRecord, type WorkflowsState } from '../../state/index.js'
import { canAdmitLongRunning } from './longRunningLimit.js'
import { computeObjectiveMs, ZERO_VALUE_FACTOR } from './plan.js'
import { computeOpenWork, findTooLargeStep, estimateEnd, type OpenWork, type RoomForecastInput, type WorkerSize } from './roomForecast.js'
import { EVACUATED_REASON, isServiceEvacuated } from './zoneEvacuation.js'

/** Share of their requested cores that long-running tasks are assumed to use. */
const LONG_RUNNING_UTILIZATION = 0.5
const MIN_RETRY_AFTER_MS = 1000
const MAX_RETRY_AFTER_MS = 30_000
/** An unbounded forecast is logged as this. */
const MAX_LOGGED_BACKLOG_MS = 3_600_000
/** Some long-running tasks of a large pool end within this time. */
const LONG_RUNNING_RETRY_AFTER_MS = 5000
/** When an operator readmits a zone is not known; callers return within this time of it. */
const EVACUATED_RETRY_AFTER_MS = 5000

/** Admission uses cached totals for up to this long; the work that arrives meanwhile delays a workflow by less than it may wait. */
const TOTALS_CACHE_MS = 50
/** A worker that was removed still counts as known for this long, as most return. */
const REMOVED_SIZE_RETENTION_MS = 600_000
/** Window for the rate of starts: shorter than most objectives, longer than the interval between commits, each of which records many starts. */
const RATE_WINDOW_MS = 3000
/** Tasks have to wait for the scheduler at least this long before the rate of starts is used. */
const MIN_LIMITED_MS = 1000
const MS_PER_S = 1000

export interface AdmissionInput {
  state: WorkflowsState
  queue: Queue
  workflow: Workflow
  /** True when the workflow is already recorded and so cannot be refused any more. */
  isKnown: boolean
  now: number
  /** Totals of `state`; computed from it when absent. */
  totals?: BacklogTotals
  /** Cores that short work of the service needs, see `ShortDemand`; absent: none. */
  shortDemandCores?: number
  /** Tasks that wait for the scheduler, of the queue's priority and more urgent ones. */
  load?: SchedulerLoad
  /** Sizes of the known workers of the pool; absent: nothing is refused as too large. */
  sizes?: readonly WorkerSize[]
  /** Measured rates of the pool, see `estimateEnd`. */
  rates?: RoomForecastInput['rates'] | undefined
  hasFairShares?: boolean | undefined
}

/**
 * `pendingTasks` counts tasks that wait only because the scheduler has not placed them yet, although workers have the
 * capacity. `startsPerSecond` is the rate at which the scheduler starts tasks, undefined unless the scheduler has been the
 * bottleneck for `MIN_LIMITED_MS`.
 */
export interface SchedulerLoad { pendingTasks: number, startsPerSecond: number | undefined }

export type Admission =
  | { kind: 'admitted', backlogMs: number }
  | { kind: 'refused', reason: 'backlog' | 'scheduler-backlog' | 'no-value' | 'too-large' | 'long-running-limit' | typeof EVACUATED_REASON, backlogMs: number, retryAfterMs: number }

/**
 * Refuses a workflow when the backlog of its queue would take longer than the workflow may last, for example after a burst
 * of large jobs: admitting it would make earlier workflows late as well. The backlog is that of the workers or that of the
 * scheduler, whichever takes longer. Also refuses a workflow that even by an optimistic forecast would end without value, and
 * one with a step that is larger than any known worker. Workflows with long-running steps are refused as too large, or when
 * they would take the cores of short work. Recurring workflows are refused only while all zones of the service are evacuated,
 * because workers may change before they start.
 */
export function admitWorkflow (input: AdmissionInput): Admission {
  const { state, queue, workflow, isKnown, load, now } = input
  const totals = input.totals ?? computeTotals(state, Object.values(state.workflows), now)
  const workersMs = estimateBacklogMs(totals, queue)
  const schedulerMs = estimateSchedulerBacklogMs(load)
  const backlogMs = Math.max(workersMs, schedulerMs)
  if (isKnown) return { kind: 'admitted', backlogMs }
  const refusal = findUnservable(input, totals.get(queue.service))
  if (refusal !== undefined) return { kind: 'refused', backlogMs, ...refusal }
  if (workflow.recurrence !== undefined || workflow.steps.some(({ lasting }) => lasting)) return { kind: 'admitted', backlogMs }
  const allowedMs = ZERO_VALUE_FACTOR * computeObjectiveMs(queue, workflow.steps)
  if (backlogMs > allowedMs) return { kind: 'refused', reason: schedulerMs > workersMs ? 'scheduler-backlog' : 'backlog', backlogMs, retryAfterMs: computeRetryDelayMs(backlogMs - allowedMs) }
  return checkValue(input, totals.get(queue.service), backlogMs)
}

/** Why the pool cannot serve a workflow whatever its backlog is. */
function findUnservable ({ state, queue, workflow, sizes, shortDemandCores = 0 }: AdmissionInput, totals: ServiceTotals | undefined): Pick<Extract<Admission, { kind: 'refused' }>, 'reason' | 'retryAfterMs'> | undefined {
  if (isServiceEvacuated(state, queue.service)) return { reason: EVACUATED_REASON, retryAfterMs: EVACUATED_RETRY_AFTER_MS }
  if (workflow.recurrence !== undefined) return undefined
  if (isTooLarge(state, queue, workflow, sizes)) return { reason: 'too-large', retryAfterMs: MAX_RETRY_AFTER_MS }
  if (totals === undefined || canAdmitLongRunning({ cores: totals.cores, longRunningCores: totals.longRunningCores / LONG_RUNNING_UTILIZATION, shortDemandCores }, workflow)) return undefined
  return { reason: 'long-running-limit', retryAfterMs: LONG_RUNNING_RETRY_AFTER_MS }
}

function checkValue ({ queue, workflow, rates = {}, hasFairShares = false, now }: AdmissionInput, totals: ServiceTotals | undefined, backlogMs: number): Admission {
  const forecast = totals && estimateEnd({ queue, workflow, open: totals.open, rates, freeableCores: computeFreeableCores(totals), hasFairShares, now })
  if (forecast === undefined || forecast.endsInMs <= forecast.allowedMs) return { kind: 'admitted', backlogMs }
  return { kind: 'refused', reason: 'no-value', backlogMs: Math.max(backlogMs, Math.min(forecast.endsInMs, MAX_LOGGED_BACKLOG_MS)), retryAfterMs: computeRetryDelayMs(forecast.readyInMs) }
}

function isTooLarge ({ catalog }: WorkflowsState, { service }: Queue, workflow: Workflow, sizes: readonly WorkerSize[] | undefined): boolean {
  const rejectsOverload = catalog?.pools.find((pool) => pool.service === service)?.rejectsOverload === true
  return sizes !== undefined && findTooLargeStep(workflow, sizes, rejectsOverload) !== undefined
}

function computeRetryDelayMs (ms: number): number {
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, ms))
}

function estimateSchedulerBacklogMs ({ pendingTasks, startsPerSecond }: SchedulerLoad = { pendingTasks: 0, startsPerSecond: undefined }): number {
  if (startsPerSecond === undefined || pendingTasks === 0) return 0
  return pendingTasks / startsPerSecond * MS_PER_S
}

interface ServiceTotals {
  cores: number
  longRunningCores: number
  /** Open work in core-milliseconds, by the priority of its queue. */
  work: Map<number, number>
  /** Open work that still has value, by workflow. */
  open: OpenWork[]
}

/** Cores and open work, by service. */
export type BacklogTotals = ReadonlyMap<string, ServiceTotals>

/** `now`: wall-clock time in ms. */
export function computeTotals (state: WorkflowsState, records: readonly WorkflowRecord[], now: number): BacklogTotals {
  const queues = new Map(state.catalog?.queues.map((queue) => [queue.name, queue]) ?? [])
  const totals = new Map<string, ServiceTotals>()
  const getTotals = (service: string): ServiceTotals => {
    const serviceTotals = totals.get(service) ?? { cores: 0, longRunningCores: 0, work: new Map<number, number>(), open: [] }
    totals.set(service, serviceTotals)
    return serviceTotals
  }
  Object.values(state.workers)
    .filter(({ life, expired }) => !life.draining && !expired && !isZoneEvacuated(state, life.availabilityZone))
    .forEach(({ life }) => { getTotals(life.service).cores += life.cores })
  records.filter(({ outcome }) => outcome === undefined).forEach((record) => {
    const serviceTotals = getTotals(record.service)
    const queue = queues.get(record.queue)
    const openWork = computeOpenWork(record, queue, now)
    serviceTotals.longRunningCores += LONG_RUNNING_UTILIZATION * record.workflow.steps.filter(({ lasting }) => lasting).reduce((sum, step) => sum + step.cores * step.count, 0)
    // Work without value waits for all other work, so nothing waits for it.
    if (openWork === undefined) return
    const priority = queue?.priority ?? 0
    serviceTotals.work.set(priority, (serviceTotals.work.get(priority) ?? 0) + openWork.work.ordinary + openWork.work.bestEffort)
    serviceTotals.open.push(openWork)
  })
  return totals
}

/** Time in ms that the queue's pool needs for the open work of this and more urgent priorities. */
export function estimateBacklogMs (totals: BacklogTotals, queue: Queue): number {
  const serviceTotals = totals.get(queue.service)
  if (serviceTotals === undefined || serviceTotals.cores === 0) return 0
  const work = [...serviceTotals.work].filter(([priority]) => priority <= queue.priority).reduce((sum, [, ms]) => sum + ms, 0)
  return work / computeFreeableCores(serviceTotals)
}

/** Cores for work with an end. Even if long-running tasks take all cores, a tenth of the cores is assumed to become free as some of these tasks end. */
function computeFreeableCores ({ cores, longRunningCores }: ServiceTotals): number {
  return Math.max(cores - longRunningCores, cores / 10)
}

export interface KnownSizes {
  /** Sizes of the workers of a service that are recorded, whether reachable or not, or were removed a short time ago. */
  list (state: WorkflowsState, service: string): WorkerSize[]
}

/** Remembers the sizes of workers that were removed. A new leader does not know those that were removed before its term. */
export function createKnownSizes (clock: Pick<Clock, 'now'>): KnownSizes {
  const known = new Map<string, { service: string, size: WorkerSize, seenAt: number }>()
  let updatedAt = -Infinity
  return {
    list: (state, service) => {
      const now = clock.now()
      if (now - updatedAt >= TOTALS_CACHE_MS) {
        updatedAt = now
        Object.values(state.workers).forEach(({ life }) => known.set(life.id, { service: life.service, size: life, seenAt: now }))
        known.forEach(({ seenAt }, id) => { if (now - seenAt >= REMOVED_SIZE_RETENTION_MS) known.delete(id) })
      }
      return [...known.values()].filter((worker) => worker.service === service).map(({ size }) => size)
    }
  }
}

/** Caches the totals briefly, as requests arrive faster than the totals change. */
export function createTotalsCache (clock: Pick<Clock, 'now'>, compute: () => BacklogTotals): () => BacklogTotals {
  let cached: { totals: BacklogTotals, until: number } | undefined
  return () => {
    if (cached === undefined || cached.until <= clock.now()) cached = { totals: compute(), until: clock.now() + TOTALS_CACHE_MS }
    return cached.totals
  }
}

export interface StartRate {
  /** Records the number of starts since the last call, and whether tasks wait for the scheduler now. */
  record (now: number, starts: number, isSchedulerLimited: boolean): void
  /** Starts per second over the time for which tasks have continuously waited for the scheduler; undefined before `MIN_LIMITED_MS`. */
  get (now: number): number | undefined
}

/** Measures the rate of starts while the scheduler, not the capacity of the workers, is the bottleneck. */
export function createStartRate (): StartRate {
  let samples: Array<{ at: number, starts: number }> = []
  let limitedSince: number | undefined
  return {
    record: (now, starts, isSchedulerLimited) => {
      // Earlier starts are left out: they were limited by the arriving work, not by the scheduler.
      if (isSchedulerLimited && limitedSince !== undefined) samples.push({ at: now, starts })
      else samples = []
      limitedSince = isSchedulerLimited ? limitedSince ?? now : undefined
      if ((samples[0]?.at ?? now) <= now - RATE_WINDOW_MS) samples = samples.filter(({ at }) => at > now - RATE_WINDOW_MS)
    },
    get: (now) => {
      if (limitedSince === undefined || now - limitedSince < MIN_LIMITED_MS) return undefined
      const from = Math.max(limitedSince, now - RATE_WINDOW_MS)
      return samples.filter(({ at }) => at > from).reduce((sum, { starts }) => sum + starts, 0) / (now - from) * MS_PER_S
    }
  }
}
