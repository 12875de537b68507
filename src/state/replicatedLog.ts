import type { Result } from '../common/index.js'
import type { Acceptance, ReplicatedState, Rejection } from './replicatedState.js'
import type { Entry } from './schemas.js'

export interface AppliedEntry { index: number, value: Acceptance }

/**
 * `not-recorded` and `no-leader` are returned only if it is certain that no host will ever apply the entry. After
 * `outcome-unknown` the entry may have been applied, or may be later.
 */
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
  /** Replication progress of each voter and learner; empty on every host but the leader. */
  progress: Array<{ host: string, matchIndex: number, votes: boolean, lastHeardAgoMs: number }>
  /**
   * Number of voters that may still fail while the rest is a majority, without which no entry is accepted. The leader
   * counts only voters that have replied to it recently. Other hosts assume that all voters are alive, and report 0 when they know
   * no leader.
   */
  survivableLosses: number
}

/** Interface of the replicated log for the layers above `state`. */
export interface ReplicatedLog {
  /**
   * Appends an entry and resolves once it is applied. Any host accepts the call and forwards it to the leader. `deadline` is
   * local monotonic ms.
   */
  propose (entry: Entry, deadline: number): Promise<Result<AppliedEntry, LogFailure>>
  /**
   * Makes reads of the local state linearizable: resolves once every entry that was committed before the call is applied
   * here, with the index of the last one.
   */
  readBarrier (deadline: number): Promise<Result<number, LogFailure>>
  state (): ReplicatedState
  status (): LogStatus
  /**
   * Calls the listener after each applied entry, in log order. The installation of a snapshot is reported as one `noop`
   * entry: any part of the state may have changed, and `state()` returns another object. Returns a function that ends the
   * subscription.
   */
  subscribe (listener: (entry: Entry, index: number) => void): () => void
  stop (): Promise<void>
}
