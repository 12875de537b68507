import type { Clock, NetworkFailure, Result } from '../../common/index.js'
import type { Worker } from '../../state/index.js'
import type { ExchangeReply, ExchangeRequest } from './exchange.js'
import { WOKEN } from './waking.js'

/** The port to a worker's HTTP interface. `deadline` is local monotonic ms. */
export interface WorkerClient {
  exchange (url: string, request: ExchangeRequest, deadline: number): Promise<Result<ExchangeReply, NetworkFailure>>
}

export const EXCHANGE_INTERVAL_MS = 1_000
/** While a coordinator claims its lease it asks more often, because the previous one runs out between two exchanges. */
const CLAIM_INTERVAL_MS = 200
const EXCHANGE_TIMEOUT_MS = 900

export interface WorkerLinkOptions {
  worker: Worker
  client: WorkerClient
  clock: Clock
  signal: AbortSignal
  /** True while the lease has to be claimed from this worker. */
  isClaiming (): boolean
  compose (): ExchangeRequest
  onReply (reply: ExchangeReply, request: ExchangeRequest, sentAt: number): void
}

export interface WorkerLink {
  readonly worker: Worker
  /** Starts the next exchange as soon as the present one has ended. */
  wake (): void
}

/** One sequential loop for each worker. */
export function startWorkerLink (options: WorkerLinkOptions): WorkerLink {
  const { worker, client, clock, signal } = options
  let controller = new AbortController()
  signal.addEventListener('abort', () => controller.abort(WOKEN), { once: true })

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
  run()

  return { worker, wake: () => controller.abort(WOKEN) }
}
