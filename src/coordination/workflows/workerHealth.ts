import { createNoopMetrics, type Clock, type Logger, type Metrics } from '../../common/index.js'
import { getStepName, type EndCause, type Step } from '../../state/index.js'
import { createFailureAttribution } from './failureAttribution.js'
import { createFlapDetector } from './flapDetector.js'
import type { PollReply } from './orders.js'
import type { WorkerView } from './sessionState.js'
import { createStallDetector } from './stallDetector.js'
import { NO_CAPACITY_PAUSE_MS, POLL_WAIT_MS, UNHEALTHY_PAUSE_MS } from './timing.js'

/** A worker is paused after this many failures in a row that count against it. */
const FAILURES_BEFORE_PAUSE = 3
const FIRST_PAUSE_MS = 2000
/** At most this share of the workers is paused at the same time: if more of them fail, the work is the likely cause. */
const MAX_PAUSED_SHARE = 0.5
const MAX_PAUSE_MS = 30_000
/** A worker whose runs stand still is paused for this long. */
const STALL_PAUSE_MS = 5000
/** Weight of a new reading in the moving averages of progress rates and slowness. */
const SPEED_WEIGHT = 0.3
/** Each slowness reading is limited to this range, so that a single outlier cannot dominate the average. */
const MIN_SLOWNESS = 0.5
const MAX_SLOWNESS = 10
/** The progress of a run is ignored until the run is this old, because a rate from so short a time is inaccurate. */
const MIN_ELAPSED_MS = 400
/** Ends that are recorded within this time of the first report on a worker do not count for its speed: they may have happened before. Covers the commit of the ends that the first poll returned. */
const FIRST_ENDS_MS = 500
/** Runs are moved away from a worker that is slower than the average by this factor with tasks of the same steps. */
const MOVE_SLOWNESS = 3
/** A run is moved only if it needs less than this share of its remaining time on the slow worker when it continues elsewhere. */
const MAX_REMAINING_SHARE = 0.5
/** Steps whose average progress rates are kept; at more the rates are cleared. */
const MAX_KNOWN_STEPS = 2000

interface Health {
  /** Length of the next pause after failures; doubles each time. */
  pauseMs: number
  pausedUntil: number
  /** Moving average of the run time relative to other workers; 1 is average. */
  slowness: number
}

/** The health and speed of each worker, estimated by the leader from its ended runs, refused starts and progress. */
export interface WorkerHealth {
  /** True while the worker gets no new tasks. */
  isPaused (worker: string): boolean
  getSlowness (worker: string): number
  recordEnd (worker: string, task: string, cause: EndCause): void
  /** Workers on which tasks of a step have failed. */
  listFailedOn (workflow: string, step: number): ReadonlySet<string>
  recordRefusal (worker: string, task: string, reason: string): void
  /** Records that the session host of a worker has lost the connection to it. */
  recordConnectionLoss (worker: string, knownWorkers: number): void
  observeRuns (session: WorkerView, reply: Pick<PollReply, 'running' | 'ends'>, findStep: (task: string) => Step | undefined): void
  /** Stalled tasks on a worker; pauses the worker if none of its tasks makes progress. */
  listStalled (session: WorkerView, findStep: (task: string) => Step | undefined): string[]
  /** Tasks on a slow worker that would end sooner if they were restarted, or resumed from a checkpoint, on a worker of average speed. */
  listSlow (session: WorkerView, findStep: (task: string) => Step | undefined): string[]
  reset (worker: string): void
}

const REFUSAL_PAUSE_MS: Record<string, number> = { 'no-room': NO_CAPACITY_PAUSE_MS, unhealthy: UNHEALTHY_PAUSE_MS, 'no-answer': UNHEALTHY_PAUSE_MS }

export interface WorkerHealthOptions {
  clock: Clock
  logger: Logger
  metrics?: Metrics
  /** False: workers whose connections are lost again and again still get tasks; absent: they are suspended. */
  suspendsFlapping?: boolean
}

export function createWorkerHealth ({ clock, logger, metrics = createNoopMetrics(), suspendsFlapping = true }: WorkerHealthOptions): WorkerHealth {
  const known = new Map<string, Health>()
  const failures = createFailureAttribution()
  const stallDetector = createStallDetector()
  const flapDetector = createFlapDetector(clock)
  /** Average progress of the tasks of a step over all workers, in percent per millisecond. */
  const stepRates = new Map<string, number>()

  const getHealth = (worker: string): Health => {
    const existing = known.get(worker)
    if (existing !== undefined) return existing
    const created: Health = { pauseMs: FIRST_PAUSE_MS, pausedUntil: -Infinity, slowness: 1 }
    known.set(worker, created)
    return created
  }

  const pause = (worker: string, ms: number, reason: string): void => {
    const health = getHealth(worker)
    const until = clock.now() + ms
    if (until <= health.pausedUntil) return
    health.pausedUntil = until
    logger.info('worker.paused', { worker, reason, ms, failures: failures.countFailures(worker) })
  }

  const pauseAfterFailures = (worker: string, reason: string): void => {
    if (failures.countFailures(worker) < FAILURES_BEFORE_PAUSE) return
    const health = getHealth(worker)
    const others = [...known.values()].filter((other) => other !== health)
    const paused = others.filter(({ pausedUntil }) => pausedUntil > clock.now()).length
    if (others.length > 0 && paused + 1 > MAX_PAUSED_SHARE * known.size) return
    pause(worker, health.pauseMs, reason)
    health.pauseMs = Math.min(MAX_PAUSE_MS, health.pauseMs * 2)
  }

  const recordFailure = (worker: string, task: string, reason: string): void => {
    const before = failures.countFailures(worker)
    failures.recordFailure(worker, task)
    // A failure that does not count against the worker does not pause it, whatever has failed there before.
    if (failures.countFailures(worker) > before) pauseAfterFailures(worker, reason)
  }

  return {
    isPaused: (worker) => (known.get(worker)?.pausedUntil ?? -Infinity) > clock.now() || flapDetector.isSuspended(worker),
    getSlowness: (worker) => known.get(worker)?.slowness ?? 1,
    recordEnd: (worker, task, cause) => {
      if (cause === 'failed') recordFailure(worker, task, 'failures')
      if (cause !== 'succeeded') return
      getHealth(worker).pauseMs = FIRST_PAUSE_MS
      failures.recordSuccess(worker, task).forEach((other) => pauseAfterFailures(other, 'failures'))
    },
    listFailedOn: failures.listFailedOn,
    recordRefusal: (worker, task, reason) => {
      // The order may be invalid because of the work, and is then refused by every worker.
      if (reason === 'invalid') return recordFailure(worker, task, reason)
      const ms = REFUSAL_PAUSE_MS[reason]
      if (ms !== undefined) pause(worker, ms, reason)
    },
    recordConnectionLoss: (worker, knownWorkers) => {
      const ms = suspendsFlapping ? flapDetector.recordLoss(worker, knownWorkers) : undefined
      if (ms === undefined) return
      metrics.count('worker.flapping', 1)
      logger.info('worker.flapping', { worker, suspendedMs: ms })
    },
    observeRuns: (session, reply, findStep) => {
      const health = getHealth(session.worker)
      if (stepRates.size > MAX_KNOWN_STEPS) stepRates.clear()
      const ended = reply.ends.filter(([, , , cause]) => cause === 'succeeded').map(([, task, attempt]) => ({ task, attempt, percent: 100 }))
      // After a silence, or under a new session host, a run may have ended long before its end is reported.
      const isEndDated = session.reachable && clock.now() - (session.reachableSince ?? -Infinity) >= FIRST_ENDS_MS
      const statuses = isEndDated ? [...reply.running, ...ended] : reply.running
      statuses.forEach(({ task, attempt, percent }) => {
        const run = session.runs.get(task)
        if (run?.attempt === attempt) stallDetector.observeProgress(run, percent, session.readAt)
        const confirmedAt = run?.confirmedAt
        // Counts up to the reading: a report that comes late would otherwise make a sound worker look slow.
        const elapsedMs = confirmedAt === undefined ? 0 : (percent === 100 ? clock.now() : session.readAt) - confirmedAt
        // The progress of a run that resumes from a checkpoint includes that of its earlier attempts.
        if (percent <= 0 || elapsedMs < MIN_ELAPSED_MS || attempt > 1 || run?.isLongTask === true) return
        const step = findStep(task)
        if (step === undefined || step.lasting) return
        const key = getStepName(task)
        const rate = percent / elapsedMs
        const averageRate = stepRates.get(key)
        stepRates.set(key, averageRate === undefined ? rate : averageRate + (rate - averageRate) * SPEED_WEIGHT)
        if (averageRate === undefined) return
        const slowness = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, averageRate / rate))
        health.slowness += (slowness - health.slowness) * SPEED_WEIGHT
      })
    },
    listSlow: (session, findStep) => {
      if (getHealth(session.worker).slowness < MOVE_SLOWNESS) return []
      // A reading covers the time until the next one is due; of a longer silence nothing is known.
      const knownUntil = Math.min(clock.now(), session.readAt + POLL_WAIT_MS)
      return [...session.runs.values()].filter((run) => {
        const step = findStep(run.task)
        const averageRate = stepRates.get(getStepName(run.task))
        const elapsedMs = run.confirmedAt === undefined ? 0 : knownUntil - run.confirmedAt
        const percent = run.status?.percent
        // Without a reading nothing is known of the progress of a run.
        if (percent === undefined || step === undefined || step.lasting || averageRate === undefined || run.stopReason !== undefined || elapsedMs < MIN_ELAPSED_MS) return false
        const remainingHereMs = percent > 0 ? elapsedMs * (100 - percent) / percent : Infinity
        const remainingElsewhereMs = (step.checkpoints ? 100 - percent : 100) / averageRate
        return remainingElsewhereMs < remainingHereMs * MAX_REMAINING_SHARE
      }).map(({ task }) => task)
    },
    listStalled: (session, findStep) => {
      const { tasks, isWorkerStill } = stallDetector.findStall(session, findStep)
      if (isWorkerStill) pause(session.worker, STALL_PAUSE_MS, 'standstill')
      return tasks
    },
    reset: (worker) => {
      known.delete(worker)
      failures.reset(worker)
      flapDetector.reset(worker)
    }
  }
}
