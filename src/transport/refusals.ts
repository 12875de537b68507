import type { Clock, Logger, Metrics } from '../common/index.js'

const LOG_INTERVAL_MS = 1000

/**
 * `budget`: the process holds too many bytes of other requests. `slow`: the body arrives too slowly. `pipelined`: too many
 * requests on one connection at once. `connections`, `peer-connections`: too many connections of clients, or of other hosts.
 * `header-timeout`, `idle`, `unread`: see `ConnectionPhase`.
 */
export type RefusalReason = 'budget' | 'slow' | 'too-large' | 'pipelined' | 'connections' | 'peer-connections' | 'header-timeout' | 'idle' | 'unread'

/** Counts requests and connections that are refused, and logs each reason at most once a second with the number since then. */
export interface RefusalRecorder {
  recordRefusal (reason: RefusalReason): void
}

export function createRefusalRecorder ({ clock, logger, metrics }: { clock: Clock, logger: Logger, metrics: Metrics }): RefusalRecorder {
  const records = new Map<RefusalReason, { loggedAt: number, count: number }>()
  return {
    recordRefusal: (reason) => {
      metrics.count('http.refused', 1, { reason })
      const record = records.get(reason) ?? { loggedAt: -Infinity, count: 0 }
      records.set(reason, record)
      record.count += 1
      if (clock.now() - record.loggedAt < LOG_INTERVAL_MS) return
      logger.warn('http.refused', { reason, count: record.count })
      Object.assign(record, { loggedAt: clock.now(), count: 0 })
    }
  }
}
