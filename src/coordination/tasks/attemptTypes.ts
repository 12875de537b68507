import type { Clock, Logger } from '../../common/index.js'
import type { Resources, TaskOutcome } from '../../state/index.js'
import type { Observation } from '../placement/types.js'
import type { CoordinatorTerm, ExchangeReply, ExchangeRequest, WorkerCommand } from './exchange.js'
import type { JournalEntry, JournalRecord } from './journal.js'
import type { TaskSpec, TaskState, TaskTable } from './table.js'

export interface AttemptsOptions {
  table: TaskTable
  clock: Clock
  term: CoordinatorTerm
  logger: Logger
  observe (observation: Observation): void
  /** Passes the task to the placement as soon as it may be started. */
  enqueue (spec: TaskSpec): void
  /** Resolves to true when the journal group has stored the records, to false when the term ends before that. */
  append (records: JournalRecord[]): Promise<boolean>
  /** The journal is stored on a second host or on a synced disk, which the start of a non-idempotent task requires. */
  isDurable (): boolean
  /** A second host belongs to the in-sync set, so it stores all confirmed records. */
  isReplicated (): boolean
  wakeWorker (worker: string): void
  /** Lowest number for a new attempt. */
  firstAttempt: number
  /** The journal is incomplete, so an attempt that only a worker reports is added to it. */
  mayAdoptOrphans (task: string): boolean
  /** The replicated log was read recently, so a task that the replicated state does not contain has ended or was handed to another zone. */
  isLogCurrent (): boolean
}

/** Starts and stops attempts, tracks their progress by the workers' replies and records it in the journal, for one term. */
export interface Attempts {
  start (spec: TaskSpec, worker: string, incarnation: string, size: Resources): void
  /** Asks the worker for a checkpoint and a stop, so that the task can resume on another worker. */
  evict (entry: JournalEntry): void
  /** Ends an idle task at once and a running one when its worker has confirmed the stop. */
  cancel (spec: TaskSpec): void
  throttle (task: string, share: number): void
  checkpoint (task: string): void
  /** Applies the reply of a worker that granted its lease to this term. */
  handleReply (worker: string, reply: ExchangeReply, request: ExchangeRequest): void
  /** Commands for the worker's next exchange, and the outcomes that the worker may delete. */
  composeCommands (worker: string): { commands: WorkerCommand[], acknowledged: Array<{ task: string, attempt: number }> }
  /** Ends all attempts on a worker whose task leases have expired. */
  handleWorkerLost (worker: string): void
  /** Records the outcome of a task that has no active attempt, such as one that the placement refuses for good. */
  end (spec: TaskSpec, outcome: TaskOutcome): void
  /** Resources of all attempts on the worker that have not ended. */
  sumAllocated (worker: string): Resources
  /** The worker has no active attempt and every outcome that it reported was acknowledged. */
  isIdle (worker: string): boolean
  describeState (task: string): TaskState
  /** Outcomes, by task, that the journal stores and the replicated log does not store yet. */
  readonly recorded: Map<string, TaskOutcome>
  /** Removes the journal entry of a task whose outcome the replicated state contains as of `index`, or no longer needs. */
  settle (task: string, index: number): void
  /** Removes a task that this zone no longer owns from the placement, and stops its attempt. */
  abandon (spec: TaskSpec): void
}
