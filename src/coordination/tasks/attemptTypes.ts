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
  /** Tells the placement of a task as soon as it may be started. */
  announce (spec: TaskSpec): void
  /** Resolves when the records are in the journal, to false when the term has ended before that. */
  append (records: JournalRecord[]): Promise<boolean>
  /** A start that must not be repeated is recorded on a second host or on a synced disk. */
  isDurable (): boolean
  /** Another host has everything that is recorded. */
  isCopied (): boolean
  wakeWorker (worker: string): void
  /** Attempts of tasks without an entry are numbered from here. */
  firstAttempt: number
  /** The journal was lost, so a worker's report of an unknown attempt is evidence. */
  acceptsUnknown (task: string): boolean
  /** The log was read recently, so a task without a job is really over. */
  isLogCurrent (): boolean
}

/** Carries out and follows the attempts of one coordinator's term. */
export interface Attempts {
  start (spec: TaskSpec, worker: string, incarnation: string, size: Resources): void
  evict (entry: JournalEntry): void
  cancel (spec: TaskSpec): void
  throttle (task: string, share: number): void
  checkpoint (task: string): void
  /** Takes in what a worker that granted this term reported. */
  handleReply (worker: string, reply: ExchangeReply, request: ExchangeRequest): void
  composeCommands (worker: string): { commands: WorkerCommand[], acknowledged: Array<{ task: string, attempt: number }> }
  /** The leases of everything on the worker have run out. */
  loseWorker (worker: string): void
  /** Ends a task without an attempt, as when it can never run. */
  end (spec: TaskSpec, outcome: TaskOutcome): void
  sumPromised (worker: string): Resources
  /** Nothing runs on the worker and every outcome was acknowledged. */
  isIdle (worker: string): boolean
  describeState (task: string): TaskState
  /** Outcomes that are in the journal and may go to the agreed log. */
  readonly recorded: Map<string, TaskOutcome>
  settle (task: string, index: number): void
  /** Removes what is left of a task that this zone owns no longer. */
  abandon (spec: TaskSpec): void
}
