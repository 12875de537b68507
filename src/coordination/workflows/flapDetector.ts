import type { Clock } from '../../common/index.js'

/** Losses of the connection to a worker within this time count together. */
const FLAP_WINDOW_MS = 10_000
/** A single loss is no sign of a bad connection: restarts, hand-overs of sessions and cuts of a zone each cause one. */
const LOSSES_BEFORE_SUSPENSION = 2
const FIRST_SUSPENSION_MS = 1000
const MAX_SUSPENSION_MS = 4000
/** If the connections of more workers than this share flap, the network or this host is the likely cause, and the others are used. */
const MAX_SUSPENDED_SHARE = 0.25

interface Connection { lossTimes: number[], suspendedUntil: number }

/**
 * Suspends workers whose connections are lost again and again. Such a worker is reachable most of the time and looks free, so
 * it would receive tasks after each loss; every start there takes several tries, and a workflow waits for its slowest task.
 */
export interface FlapDetector {
  /** Records that a worker has become unreachable. Returns the length of its suspension in ms if this loss causes one. */
  recordLoss (worker: string, knownWorkers: number): number | undefined
  /** True while the worker should get no new tasks. */
  isSuspended (worker: string): boolean
  reset (worker: string): void
}

export function createFlapDetector (clock: Pick<Clock, 'now'>): FlapDetector {
  const connections = new Map<string, Connection>()

  const countSuspended = (): number => [...connections.values()].filter(({ suspendedUntil }) => suspendedUntil > clock.now()).length

  return {
    recordLoss: (worker, knownWorkers) => {
      const now = clock.now()
      const connection = connections.get(worker) ?? { lossTimes: [], suspendedUntil: -Infinity }
      connections.set(worker, connection)
      connection.lossTimes = [...connection.lossTimes.filter((at) => at > now - FLAP_WINDOW_MS), now]
      const excess = connection.lossTimes.length - LOSSES_BEFORE_SUSPENSION
      if (excess < 0) return undefined
      const isSuspended = connection.suspendedUntil > now
      if (!isSuspended && countSuspended() + 1 > MAX_SUSPENDED_SHARE * knownWorkers) return undefined
      const ms = Math.min(MAX_SUSPENSION_MS, FIRST_SUSPENSION_MS * 2 ** excess)
      connection.suspendedUntil = now + ms
      return ms
    },
    isSuspended: (worker) => (connections.get(worker)?.suspendedUntil ?? -Infinity) > clock.now(),
    reset: (worker) => { connections.delete(worker) }
  }
}
