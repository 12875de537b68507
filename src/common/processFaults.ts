import type { EventEmitter } from 'node:events'

export interface FaultHandlers {
  report (kind: 'unhandled-rejection' | 'uncaught-exception', error: unknown): void
  /** Stops the process; its state may be inconsistent. */
  stop (): void
}

/**
 * Handles errors that no other code has handled. A rejected promise belongs to one request or message, so it is reported and
 * the process goes on; Node.js would end it. An exception outside a promise stops the process after the report.
 */
export function handleProcessFaults (process: EventEmitter, { report, stop }: FaultHandlers): void {
  process.on('unhandledRejection', (error: unknown) => report('unhandled-rejection', error))
  process.on('uncaughtException', (error: unknown) => {
    report('uncaught-exception', error)
    stop()
  })
}
