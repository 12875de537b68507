import type { Clock, Logger } from '../../common/index.js'
import { getStepName, type EndCause, type Step } from '../../state/index.js'
import type { HoldReply } from './orders.js'
import type { WorkerView } from './sessionState.js'
import { NO_ROOM_PAUSE_MS, UNHEALTHY_PAUSE_MS } from './timing.js'

/** After this many failures in a row a worker gets no work for a while; a tenth of the tasks may fail by their own fault. */
const FAILURES_BEFORE_PAUSE = 3
const FIRST_PAUSE_MS = 2000
const MAX_PAUSE_MS = 30_000
/** A run without any progress for this long stands still; the longest step of the reference loads shows progress well within it. */
const STANDSTILL_MS = 2500
/** After a standstill the worker gets no work for this long. */
const STANDSTILL_PAUSE_MS = 5000
/** Weight of a new reading in the estimates of speed. */
const SPEED_WEIGHT = 0.3
/** Slowness is estimated between these, so that one odd reading cannot rule. */
const MIN_SLOWNESS = 0.5
const MAX_SLOWNESS = 10
/** Progress says little before this, ms. */
const YOUNG_RUN_MS = 400
/** A worker that is this much slower than the others with tasks of the same step loses its runs. */
const MOVE_SLOWNESS = 3
/** Moving has to save this part of the time that is left on the slow worker. */
const MOVE_GAIN = 0.5
/** Steps whose speed is remembered. */
const MAX_KNOWN_STEPS = 2000

interface Health {
  failures: number
  pauseMs: number
  pausedUntil: number
  slowness: number
}

/** What the leader has learned of each worker from its ends, refusals and progress. */
export interface WorkerHealth {
  isPaused (worker: string): boolean
  getSlowness (worker: string): number
  recordEnd (worker: string, cause: EndCause): void
  recordRefusal (worker: string, reason: string): void
  observeRuns (session: WorkerView, reply: Pick<HoldReply, 'running' | 'ends'>, findStep: (task: string) => Step | undefined): void
  /** Tasks that stand still on a worker. */
  listStandstill (session: WorkerView, findStep: (task: string) => Step | undefined): string[]
  /** Tasks that would end sooner if they began again, or went on, on a worker of usual speed. */
  listSlow (session: WorkerView, findStep: (task: string) => Step | undefined): string[]
  reset (worker: string): void
}

const REFUSAL_PAUSE_MS: Record<string, number> = { 'no-room': NO_ROOM_PAUSE_MS, unhealthy: UNHEALTHY_PAUSE_MS, invalid: UNHEALTHY_PAUSE_MS, 'no-answer': UNHEALTHY_PAUSE_MS }

export function createWorkerHealth ({ clock, logger }: { clock: Clock, logger: Logger }): WorkerHealth {
  const known = new Map<string, Health>()
  /** Percent in a millisecond that the tasks of a step make on all workers. */
  const stepRates = new Map<string, number>()

  const getHealth = (worker: string): Health => {
    const existing = known.get(worker)
    if (existing !== undefined) return existing
    const created: Health = { failures: 0, pauseMs: FIRST_PAUSE_MS, pausedUntil: -Infinity, slowness: 1 }
    known.set(worker, created)
    return created
  }

  const pause = (worker: string, ms: number, reason: string): void => {
    const health = getHealth(worker)
    const until = clock.now() + ms
    if (until <= health.pausedUntil) return
    health.pausedUntil = until
    logger.info('worker.paused', { worker, reason, ms, failures: health.failures })
  }

  return {
    isPaused: (worker) => (known.get(worker)?.pausedUntil ?? -Infinity) > clock.now(),
    getSlowness: (worker) => known.get(worker)?.slowness ?? 1,
    recordEnd: (worker, cause) => {
      const health = getHealth(worker)
      if (cause === 'succeeded') {
        health.failures = 0
        health.pauseMs = FIRST_PAUSE_MS
      }
      if (cause !== 'failed') return
      health.failures += 1
      if (health.failures < FAILURES_BEFORE_PAUSE) return
      pause(worker, health.pauseMs, 'failures')
      health.pauseMs = Math.min(MAX_PAUSE_MS, health.pauseMs * 2)
    },
    recordRefusal: (worker, reason) => {
      const ms = REFUSAL_PAUSE_MS[reason]
      if (ms !== undefined) pause(worker, ms, reason)
    },
    observeRuns: (session, reply, findStep) => {
      const health = getHealth(session.worker)
      if (stepRates.size > MAX_KNOWN_STEPS) stepRates.clear()
      const ended = reply.ends.filter(([, , , cause]) => cause === 'succeeded').map(([, task, attempt]) => ({ task, attempt, percent: 100 }))
      const rows = [...reply.running, ...ended]
      rows.forEach(({ task, attempt, percent }) => {
        const confirmedAt = session.runs.get(task)?.confirmedAt
        const elapsedMs = confirmedAt === undefined ? 0 : clock.now() - confirmedAt
        // A run that resumes from a checkpoint shows the progress of its earlier attempts as well.
        if (percent <= 0 || elapsedMs < YOUNG_RUN_MS || attempt > 1) return
        const step = findStep(task)
        if (step === undefined || step.lasting) return
        const key = getStepName(task)
        const rate = percent / elapsedMs
        const usual = stepRates.get(key)
        stepRates.set(key, usual === undefined ? rate : usual + (rate - usual) * SPEED_WEIGHT)
        if (usual === undefined) return
        const slowness = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, usual / rate))
        health.slowness += (slowness - health.slowness) * SPEED_WEIGHT
      })
    },
    listSlow: (session, findStep) => {
      if (getHealth(session.worker).slowness < MOVE_SLOWNESS) return []
      return [...session.runs.values()].filter((run) => {
        const step = findStep(run.task)
        const usual = stepRates.get(getStepName(run.task))
        const elapsedMs = run.confirmedAt === undefined ? 0 : clock.now() - run.confirmedAt
        const percent = run.row?.percent ?? 0
        if (step === undefined || step.lasting || usual === undefined || run.stopReason !== undefined || elapsedMs < YOUNG_RUN_MS) return false
        const leftHereMs = percent > 0 ? elapsedMs * (100 - percent) / percent : Infinity
        const leftElsewhereMs = (step.checkpoints ? 100 - percent : 100) / usual
        return leftElsewhereMs < leftHereMs * MOVE_GAIN
      }).map(({ task }) => task)
    },
    listStandstill: (session, findStep) => {
      const now = clock.now()
      const tasks = [...session.runs.values()]
        .filter((run) => run.confirmedAt !== undefined && run.stopReason === undefined && run.row !== undefined && now - run.progressAt > STANDSTILL_MS)
        .filter((run) => run.row?.percent !== 100 && findStep(run.task)?.lasting !== true)
        .map((run) => run.task)
      if (tasks.length > 0) pause(session.worker, STANDSTILL_PAUSE_MS, 'standstill')
      return tasks
    },
    reset: (worker) => { known.delete(worker) }
  }
}
