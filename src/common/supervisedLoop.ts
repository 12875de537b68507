import type { Clock } from './clock.js'
import type { LogFields, Logger } from './log.js'

/** Delay before a failed loop runs again; doubles with each further failure up to `MAX_RESTART_DELAY_MS`. */
const FIRST_RESTART_DELAY_MS = 50
const MAX_RESTART_DELAY_MS = 1000
/** A loop that has run this long without a failure restarts after the first delay again. */
const STABLE_AFTER_MS = 10_000

export interface SupervisedLoopOptions {
  clock: Clock
  logger: Logger
  /** Event that is logged for each failure. */
  event: string
  fields?: LogFields
  isStopped (): boolean
}

/**
 * Runs a background loop until it returns. After an unexpected error it is logged and the loop runs again after an exponential
 * delay: a host whose loop has ended would otherwise look healthy and no longer do its work.
 */
export async function runSupervised ({ clock, logger, event, fields, isStopped }: SupervisedLoopOptions, loop: () => Promise<void>): Promise<void> {
  let delayMs = FIRST_RESTART_DELAY_MS
  for (;;) {
    const startedAt = clock.now()
    const failure = await loop().then(() => undefined, (error: unknown) => ({ error }))
    if (failure === undefined || isStopped()) return
    if (clock.now() - startedAt >= STABLE_AFTER_MS) delayMs = FIRST_RESTART_DELAY_MS
    logger.error(event, { ...fields, retryMs: delayMs, message: describeError(failure.error) })
    await clock.sleep(delayMs)
    delayMs = Math.min(MAX_RESTART_DELAY_MS, delayMs * 2)
  }
}

/** The stack of an error, or the text of any other thrown value. */
export function describeError (error: unknown): string {
  return error instanceof Error ? error.stack ?? error.message : String(error)
}
