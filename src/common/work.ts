import type { Clock } from './clock.js'
import type { Logger } from './log.js'
import type { Metrics } from './metrics.js'

/** How often the load of the process is logged. */
const REPORT_MS = 1000

/** Tells how the one thread of a process spends its time. */
export interface WorkMeter {
  /** Runs synchronous work and counts its time under `part`; what it calls under other parts is counted there only. */
  measure<T> (part: string, work: () => T): T
  stop (): void
}

export function createNoWorkMeter (): WorkMeter {
  return { measure: (_part, work) => work(), stop: () => {} }
}

/**
 * Logs each second the share of time that the thread was busy, how late its timers fire and the time of each part, so
 * that a process that cannot keep up shows what it does instead.
 */
export function createWorkMeter ({ clock, logger, metrics }: { clock: Clock, logger: Logger, metrics: Metrics }): WorkMeter {
  const stopping = new AbortController()
  const spent = new Map<string, number>()
  /** Time of measured work inside the work that is being measured. */
  let inner = 0

  const report = (busyMs: number, lateMs: number): void => {
    const parts = [...spent].filter(([, ms]) => ms >= 1).sort(([, a], [, b]) => b - a)
    parts.forEach(([part, ms]) => metrics.count('host.work_ms', ms, { part }))
    logger.info('host.work', { busyMs: Math.round(busyMs), lateMs: Math.round(lateMs), ...Object.fromEntries(parts.map(([part, ms]) => [part, Math.round(ms)])) })
    metrics.timing('host.timer_late', lateMs)
    spent.clear()
  }

  const runReports = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const before = performance.eventLoopUtilization()
      const dueAt = clock.now() + REPORT_MS
      await clock.sleep(REPORT_MS, stopping.signal)
      if (!stopping.signal.aborted) report(performance.eventLoopUtilization(before).active, clock.now() - dueAt)
    }
  }

  runReports().catch((error: unknown) => {
    logger.error('host.work-failed', { message: error instanceof Error ? error.message : String(error) })
  })

  return {
    measure: (part, work) => {
      const startedAt = performance.now()
      const outer = inner
      inner = 0
      try {
        return work()
      } finally {
        const ms = performance.now() - startedAt
        spent.set(part, (spent.get(part) ?? 0) + ms - inner)
        inner = outer + ms
      }
    },
    stop: () => stopping.abort()
  }
}
