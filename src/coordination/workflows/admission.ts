import type { Clock } from '../../common/index.js'
import type { Queue, Step, Workflow, WorkflowRecord, WorkflowsState } from '../../state/index.js'
import { estimateChainMs, WORTHLESS_FACTOR } from './plan.js'

/** Cores that lasting work uses of those it requests. */
const LASTING_USE = 0.5
const MIN_RETRY_AFTER_MS = 1000
const MAX_RETRY_AFTER_MS = 30_000

/** Age of the totals that requests are admitted by; less work arrives within it than a workflow may wait for. */
const TOTALS_AGE_MS = 50
/** Starts are counted over this long; shorter than most objectives, longer than the commits that starts come in. */
const RATE_WINDOW_MS = 3000
/** Work has to wait for the scheduler this long before its rate tells anything. */
const MIN_RATE_MS = 1000
const MS_PER_S = 1000

export interface AdmissionInput {
  state: WorkflowsState
  queue: Queue
  workflow: Workflow
  /** Already recorded, so that refusing it would be a lie. */
  isKnown: boolean
  now: number
  /** Of `state`; computed from it when absent. */
  totals?: BacklogTotals
  /** What the scheduler itself is behind with, at the priority of the queue or before it. */
  load?: SchedulerLoad
}

/** Tasks for which workers have room and that the scheduler has not started yet, and how many it starts. */
export interface SchedulerLoad { ahead: number, startsPerSecond: number | undefined }

export type Admission =
  | { kind: 'admitted', backlogMs: number }
  | { kind: 'refused', reason: 'backlog' | 'scheduler-backlog', backlogMs: number, retryAfterMs: number }

/**
 * Refuses a workflow whose queue's backlog already takes longer than the workflow may last, as on a burst of large
 * jobs: it would only make those before it late as well. The backlog is that of the workers or of the scheduler,
 * whichever takes longer. Lasting work and timed work is always admitted.
 */
export function admitWorkflow ({ state, queue, workflow, isKnown, totals, load }: AdmissionInput): Admission {
  const workersMs = estimateBacklogMs(totals ?? computeTotals(state, Object.values(state.workflows)), queue)
  const schedulerMs = load === undefined ? 0 : estimateSchedulerMs(load)
  const backlogMs = Math.max(workersMs, schedulerMs)
  const isPatient = workflow.recurrence !== undefined || workflow.steps.some(({ lasting }) => lasting)
  const allowedMs = WORTHLESS_FACTOR * (queue.slackFactor * estimateChainMs(workflow.steps) + queue.objectiveMs)
  if (isKnown || isPatient || backlogMs <= allowedMs) return { kind: 'admitted', backlogMs }
  const retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, backlogMs - allowedMs))
  return { kind: 'refused', reason: schedulerMs > workersMs ? 'scheduler-backlog' : 'backlog', backlogMs, retryAfterMs }
}

function estimateSchedulerMs ({ ahead, startsPerSecond }: SchedulerLoad): number {
  if (startsPerSecond === undefined || ahead === 0) return 0
  return ahead / startsPerSecond * MS_PER_S
}

interface ServiceTotals {
  cores: number
  lastingCores: number
  /** Core-milliseconds of open work by the priority of its queue. */
  work: Map<number, number>
}

/** Cores and open work by service. */
export type BacklogTotals = ReadonlyMap<string, ServiceTotals>

export function computeTotals (state: WorkflowsState, records: readonly WorkflowRecord[]): BacklogTotals {
  const priorities = new Map(state.catalog?.queues.map(({ name, priority }) => [name, priority]) ?? [])
  const totals = new Map<string, ServiceTotals>()
  const getTotals = (service: string): ServiceTotals => {
    const known = totals.get(service) ?? { cores: 0, lastingCores: 0, work: new Map<number, number>() }
    totals.set(service, known)
    return known
  }
  Object.values(state.workers)
    .filter(({ life, expired }) => !life.draining && !expired)
    .forEach(({ life }) => { getTotals(life.service).cores += life.cores })
  records.filter(({ outcome }) => outcome === undefined).forEach((record) => {
    const known = getTotals(record.service)
    const priority = priorities.get(record.queue) ?? 0
    known.lastingCores += LASTING_USE * record.workflow.steps.filter(({ lasting }) => lasting).reduce((sum, step) => sum + step.cores * step.count, 0)
    known.work.set(priority, (known.work.get(priority) ?? 0) + estimateOpenWork(record))
  })
  return totals
}

/** How long the pool of the queue would work on what waits at this priority or before it, ms. */
export function estimateBacklogMs (totals: BacklogTotals, queue: Queue): number {
  const known = totals.get(queue.service)
  if (known === undefined || known.cores === 0) return 0
  const work = [...known.work].filter(([priority]) => priority <= queue.priority).reduce((sum, [, ms]) => sum + ms, 0)
  // With every core taken by lasting work a tenth still comes free as lasting work ends.
  return work / Math.max(known.cores - known.lastingCores, known.cores / 10)
}

/** Keeps totals for a short time; requests arrive faster than they change. */
export function createTotalsCache (clock: Pick<Clock, 'now'>, compute: () => BacklogTotals): () => BacklogTotals {
  let known: { totals: BacklogTotals, until: number } | undefined
  return () => {
    if (known === undefined || known.until <= clock.now()) known = { totals: compute(), until: clock.now() + TOTALS_AGE_MS }
    return known.totals
  }
}

export interface StartRate {
  /** Tells of starts since the last call, and whether the scheduler is behind now. */
  record (now: number, starts: number, isBehind: boolean): void
  /** Starts a second while the scheduler was behind all the time; nothing when that is not so or not long enough. */
  get (now: number): number | undefined
}

/** Measures what the scheduler achieves when it is the scheduler that limits the starts. */
export function createStartRate (): StartRate {
  let samples: Array<{ at: number, starts: number }> = []
  let behindSince: number | undefined
  return {
    record: (now, starts, isBehind) => {
      // Starts of the time before belong to work that did not wait for the scheduler.
      if (isBehind && behindSince !== undefined) samples.push({ at: now, starts })
      else samples = []
      behindSince = isBehind ? behindSince ?? now : undefined
      if ((samples[0]?.at ?? now) <= now - RATE_WINDOW_MS) samples = samples.filter(({ at }) => at > now - RATE_WINDOW_MS)
    },
    get: (now) => {
      if (behindSince === undefined || now - behindSince < MIN_RATE_MS) return undefined
      const from = Math.max(behindSince, now - RATE_WINDOW_MS)
      return samples.filter(({ at }) => at > from).reduce((sum, { starts }) => sum + starts, 0) / (now - from) * MS_PER_S
    }
  }
}

/** Core-milliseconds that are left of a workflow, without its lasting steps. */
function estimateOpenWork (record: WorkflowRecord): number {
  const { steps, recurrence } = record.workflow
  if (recurrence !== undefined) return 0
  return steps.reduce((sum, step, number) => sum + estimateStepWork(step, record.succeeded[`0.${number}`] ?? 0), 0)
}

function estimateStepWork (step: Step, succeeded: number): number {
  return step.lasting ? 0 : Math.max(0, step.count - succeeded) * step.cores * step.expectedRunMs
}
