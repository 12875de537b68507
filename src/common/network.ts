import type { Result } from './results.js'

/**
 * `unreachable` means that no byte was handed to a connection.
 * The other two leave open whether the remote host acted.
 */
export interface NetworkFailure {
  kind: 'unreachable' | 'deadline-exceeded' | 'remote-failure'
  to: string
  message: string
}

export type RequestHandler = (from: string, body: unknown) => Promise<unknown>

/** Request and reply between entry hosts. Transports and the in-memory fake implement it. */
export interface Network {
  readonly self: string
  /** `deadline` is a time of the local monotonic clock. */
  request (to: string, kind: string, body: unknown, deadline: number): Promise<Result<unknown, NetworkFailure>>
  handle (kind: string, handler: RequestHandler): void
}
