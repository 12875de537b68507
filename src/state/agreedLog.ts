import type { Result } from '../common/index.js'
import type { Acceptance, AgreedState, Rejection } from './agreedState.js'
import type { Entry } from './schemas.js'

export interface Applied { index: number, value: Acceptance }

/** `not-recorded` is said only when it is certain that no host will ever apply the entry. */
export type LogFailure =
  | { kind: 'no-leader', message: string }
  | { kind: 'not-recorded', message: string }
  | { kind: 'outcome-unknown', message: string }
  | { kind: 'rejected', rejection: Rejection }
  | { kind: 'stopped', message: string }
  | { kind: 'invalid-entry', message: string }
  | { kind: 'entry-too-large', message: string, bytes: number, limit: number }

export type LogRole = 'leader' | 'follower' | 'candidate' | 'learner'

export interface LogStatus {
  role: LogRole
  term: number
  leader: string | undefined
  commitIndex: number
  appliedIndex: number
  voters: string[]
  learners: string[]
  /** Known on the leader only. */
  progress: Array<{ host: string, matchIndex: number, votes: boolean, lastHeardAgoMs: number }>
  /**
   * Voters that may still be lost before changes stop. The leader counts those that it has heard lately; other hosts
   * report what the number of voters allows, and 0 without a leader.
   */
  survivableLosses: number
}

/** The replicated log as the layers above use it. */
export interface AgreedLog {
  /** May be called on any host; it is forwarded to the leader. `deadline` is local monotonic ms. */
  propose (entry: Entry, deadline: number): Promise<Result<Applied, LogFailure>>
  /** Resolves with an index up to which the local state is known to be current. */
  readBarrier (deadline: number): Promise<Result<number, LogFailure>>
  state (): AgreedState
  status (): LogStatus
  /**
   * Called after each applied entry, in order. After a snapshot was installed it is called once with `noop`:
   * the state may have changed in any way and is another object. Returns a function that ends the subscription.
   */
  subscribe (listener: (entry: Entry, index: number) => void): () => void
  stop (): Promise<void>
}
