import { runSupervised, type Clock, type Logger, type NetworkFailure, type Result } from '../../common/index.js'
import type { Worker } from '../../state/index.js'
import type { ExchangeReply, ExchangeRequest } from './exchange.js'
import { WAKE_REASON } from './waking.js'

/** Client of a worker's HTTP interface. `deadline` is local monotonic ms. */
export interface WorkerClient {
  exchange (url: string, request: ExchangeRequest, deadline: number): Promise<Result<ExchangeReply, NetworkFailure>>
}

export const EXCHANGE_INTERVAL_MS = 1_000
/**
 * Interval while the coordinator claims its lease, ms. It is shorter than the regular one, because the lease of the previous
 * coordinator may expire between two regular exchanges.
 */
const CLAIM_INTERVAL_MS = 200
const EXCHANGE_TIMEOUT_MS = 900

export interface WorkerLinkOptions {
  worker: Worker
  client: WorkerClient
  clock: Clock
  logger: Logger
  signal: AbortSignal
  /** True while the lease has to be claimed from this worker. */
  isClaiming (): boolean
  compose (): ExchangeRequest
  onReply (reply: ExchangeReply, request: ExchangeRequest, sentAt: number): void
}

export interface WorkerLink {
  readonly worker: Worker
  /** Starts the next exchange as soon as the current one has ended. */
  wake (): void
}

/** Starts a loop that sends one exchange after the other to the worker until `signal` is aborted. */
export function startWorkerLink (options: WorkerLinkOptions): WorkerLink {
  const { worker, client, clock, logger, signal } = options
  let controller = new AbortController()
  signal.addEventListener('abort', () => controller.abort(WAKE_REASON), { once: true })

  const run = async (): Promise<void> => {
    while (!signal.aborted) {
      if (controller.signal.aborted) controller = new AbortController()
      const sentAt = clock.now()
      const request = options.compose()
      const result = await client.exchange(worker.url, request, sentAt + EXCHANGE_TIMEOUT_MS)
      if (signal.aborted) return
      if (result.ok) options.onReply(result.val, request, sentAt)
      const interval = options.isClaiming() ? CLAIM_INTERVAL_MS : EXCHANGE_INTERVAL_MS
      await clock.sleep(Math.max(0, sentAt + interval - clock.now()), controller.signal)
    }
  }
  runSupervised({ clock, logger, event: 'worker-link-failed', fields: { worker: worker.id }, isStopped: () => signal.aborted }, run)

  return { worker, wake: () => controller.abort(WAKE_REASON) }
}
