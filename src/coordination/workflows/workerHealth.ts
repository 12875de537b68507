import type { Clock, Logger } from '../../common/index.js'
import type { EndCause, Step } from '../../state/index.js'
import type { HoldReply } from './orders.js'
import type { Session } from './session.js'
import { NO_ROOM_PAUSE_MS, UNHEALTHY_PAUSE_MS } from './timing.js'

/** After this many failures in a row a worker gets no work for a while. */
const FAILURES_BEFORE_PAUSE = 3
const FIRST_PAUSE_MS = 3000
const MAX_PAUSE_MS = 30_000
/** A run without any progress for this long stands still; the longest step of the reference loads shows progress well within it. */
const STANDSTILL_MS = 2500
/** After a standstill the worker gets no work for this long. */
const STANDSTILL_PAUSE_MS = 5000
/** Weight of a new reading in the estimate of a worker's speed. */
const SPEED_WEIGHT = 0.3

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
  observeRuns (session: Session, reply: HoldReply, findStep: (task: string) => Step | undefined): void
  /** Tasks that stand still on a worker. */
  listStandstill (session: Session, findStep: (task: string) => Step | undefined): string[]
  reset (worker: string): void
}

const REFUSAL_PAUSE_MS: Record<string, number> = { 'no-room': NO_ROOM_PAUSE_MS, unhealthy: UNHEALTHY_PAUSE_MS, invalid: UNHEALTHY_PAUSE_MS }

export function createWorkerHealth ({ clock, logger }: { clock: Clock, logger: Logger }): WorkerHealth {
  const known = new Map<string, Health>()

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
      reply.running.forEach((row) => {
        const run = session.runs.get(row.task)
        const step = findStep(row.task)
        if (run?.confirmedAt === undefined || step === undefined || step.lasting || step.fills || row.percent <= 0) return
        const expected = step.expectedRunMs * row.percent / 100
        const slowness = expected > 0 ? Math.max(1, (clock.now() - run.confirmedAt) / expected) : 1
        health.slowness += (Math.min(slowness, 10) - health.slowness) * SPEED_WEIGHT
      })
    },
    listStandstill: (session, findStep) => {
      const now = clock.now()
      const tasks = [...session.runs.values()]
        .filter((run) => run.confirmedAt !== undefined && run.stopReason === undefined && run.row !== undefined && now - run.progressAt > STANDSTILL_MS)
        .filter((run) => findStep(run.task)?.lasting !== true && run.row?.percent !== 100)
        .map((run) => run.task)
      if (tasks.length > 0) pause(session.worker, STANDSTILL_PAUSE_MS, 'standstill')
      return tasks
    },
    reset: (worker) => { known.delete(worker) }
  }
}
