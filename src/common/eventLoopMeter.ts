import type { Clock } from './clock.js'
import type { Logger } from './log.js'
import type { Metrics } from './metrics.js'
import { runSupervised } from './supervisedLoop.js'

const REPORT_INTERVAL_MS = 1000

/** Measures how the event loop of the process spends its time. */
export interface EventLoopMeter {
  /** Runs synchronous work and adds its time to `part`. The time of nested `measure` calls counts only for their own parts. */
  measure<T> (part: string, work: () => T): T
  stop (): void
}

export function createNoopEventLoopMeter (): EventLoopMeter {
  return { measure: (_part, work) => work(), stop: () => {} }
}

/**
 * Logs once a second how long the event loop was busy, how late a timer fired and the time of each part, so that the log of
 * an overloaded process shows what takes its time.
 */
export function createEventLoopMeter ({ clock, logger, metrics }: { clock: Clock, logger: Logger, metrics: Metrics }): EventLoopMeter {
  const stopping = new AbortController()
  const spentMs = new Map<string, number>()
  /** Time of the `measure` calls that are nested in the current one. */
  let nestedMs = 0

  const report = (busyMs: number, lateMs: number): void => {
    const parts = [...spentMs].filter(([, ms]) => ms >= 1).sort(([, a], [, b]) => b - a)
    parts.forEach(([part, ms]) => metrics.count('host.work_ms', ms, { part }))
    logger.info('host.work', { busyMs: Math.round(busyMs), lateMs: Math.round(lateMs), ...Object.fromEntries(parts.map(([part, ms]) => [part, Math.round(ms)])) })
    metrics.timing('host.timer_late', lateMs)
    spentMs.clear()
  }

  const runReportLoop = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const before = performance.eventLoopUtilization()
      const dueAt = clock.now() + REPORT_INTERVAL_MS
      await clock.sleep(REPORT_INTERVAL_MS, stopping.signal)
      if (!stopping.signal.aborted) report(performance.eventLoopUtilization(before).active, clock.now() - dueAt)
    }
  }

  runSupervised({ clock, logger, event: 'host.work-failed', isStopped: () => stopping.signal.aborted }, runReportLoop)

  return {
    measure: (part, work) => {
      const startedAt = performance.now()
      const outerNestedMs = nestedMs
      nestedMs = 0
      try {
        return work()
      } finally {
        const ms = performance.now() - startedAt
        spentMs.set(part, (spentMs.get(part) ?? 0) + ms - nestedMs)
        nestedMs = outerNestedMs + ms
      }
    },
    stop: () => stopping.abort()
  }
}
