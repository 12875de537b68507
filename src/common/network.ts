import type { Result } from './results.js'

/**
 * `unreachable`: no byte was written to a connection, so the remote host did not execute the request.
 * `deadline-exceeded` and `remote-failure`: the remote host may have executed it.
 */
export interface NetworkFailure {
  kind: 'unreachable' | 'deadline-exceeded' | 'remote-failure'
  to: string
  message: string
}

export type RequestHandler = (from: string, body: unknown) => Promise<unknown>

/** Requests and replies between hosts. The transports and the in-memory network of the tests implement it. */
export interface Network {
  readonly self: string
  /** Sends a request and waits for the reply; `deadline` is a time of the local monotonic clock. */
  request (to: string, kind: string, body: unknown, deadline: number): Promise<Result<unknown, NetworkFailure>>
  handle (kind: string, handler: RequestHandler): void
}
