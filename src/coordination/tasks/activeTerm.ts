import type { Clock, Logger, Network } from '../../common/index.js'
import type { ReplicatedLog, Policy, ZoneAuthority } from '../../state/index.js'
import type { Witnesses } from '../authority/witnesses.js'
import type { Placement } from '../placement/types.js'
import { createAttempts } from './attempts.js'
import type { Attempts } from './attemptTypes.js'
import { createTaskReconciler, type TaskReconciler } from './taskReconciler.js'
import { createDispatcher, type Dispatcher, type Eviction, type KnownWorker } from './dispatcher.js'
import type { CoordinatorTerm } from './exchange.js'
import { applyRecord, type JournalRecord, type JournalState } from './journal.js'
import type { JournalReplica } from './journalReplica.js'
import { createJournalWriter, type JournalWriter } from './journalWriter.js'
import { createSummaries, type Summaries } from './summaries.js'
import { createTaskTable, type TaskTable } from './table.js'

/** The policy that the placement has to follow. `isolated`: this host holds no lease on the configuration, so the isolation policy applies. */
export interface PolicyInForce { preset: string, revision: number, policy: Policy, isolated: boolean }

export interface ActiveTermOptions {
  clock: Clock
  network: Network
  logger: Logger
  log: ReplicatedLog
  zone: ZoneAuthority
  term: CoordinatorTerm
  localReplica: JournalReplica
  createPlacement: () => Placement
  getPolicy: () => PolicyInForce
  witnesses: Witnesses
  signal: AbortSignal
  /** The recovered journal; the term applies its own records to it. */
  state: JournalState
  /** False when records of an earlier coordinator may be missing from `state`. */
  complete: boolean
  onHigherTerm (promised: CoordinatorTerm): void
  onStoreFailure (message: string): void
  wakeWorker (worker: string): void
  /** An entry of the replicated log changed a job or a service. */
  onTasksChanged (): void
  /** Every registered worker has answered this coordinator since it became active. */
  haveAllWorkersReported (): boolean
  /** The worker, unless it has not answered in this term or is lost. */
  findWorker (id: string): KnownWorker | undefined
  onEviction (eviction: Eviction): void
}

/** The components of a coordinator that has recovered the journal. */
export interface ActiveTerm {
  table: TaskTable
  attempts: Attempts
  writer: JournalWriter
  placement: Placement
  reconciler: TaskReconciler
  dispatcher: Dispatcher
  summaries: Summaries
}

export function createActiveTerm (options: ActiveTermOptions): ActiveTerm {
  const { clock, network, logger, log, zone, term, state, complete, signal, witnesses } = options
  const { availabilityZone } = zone
  const table = createTaskTable(state, availabilityZone)
  const writer = createJournalWriter({
    clock,
    logger,
    network,
    term,
    group: zone.journalGroup,
    localReplica: options.localReplica,
    state,
    signal,
    countWitnesses: () => zone.witnesses.length,
    isInSyncSetStored: witnesses.isInSyncSetStored,
    onHigherTerm: options.onHigherTerm,
    onStoreFailure: options.onStoreFailure
  })
  const record = (records: JournalRecord[]): void => {
    records.forEach((item) => applyRecord(state, item))
    writer.append(records)
  }
  const placement = options.createPlacement()
  const attempts = createAttempts({
    table,
    clock,
    term,
    logger,
    // After an incomplete recovery, attempt numbers start above those that earlier terms may have used.
    firstAttempt: complete ? 1 : term.epoch * 1e6 + term.round * 1e3 + 1,
    observe: (observation) => placement.observe(observation, clock.now()),
    enqueue: (spec) => dispatcher.enqueue(spec),
    append: writer.append,
    isDurable: writer.isDurable,
    isReplicated: writer.isReplicated,
    wakeWorker: options.wakeWorker,
    mayAdoptOrphans: () => state.incomplete,
    isLogCurrent: () => reconciler.isLogCurrent()
  })
  const reconciler = createTaskReconciler({
    availabilityZone,
    log,
    table,
    attempts,
    placement,
    clock,
    logger,
    signal,
    record,
    haveAllWorkersReported: options.haveAllWorkersReported,
    onChange: options.onTasksChanged,
    enqueue: (spec) => dispatcher.enqueue(spec)
  })
  const dispatcher = createDispatcher({
    clock,
    logger,
    log,
    table,
    attempts,
    placement,
    writer,
    getPolicy: options.getPolicy,
    isHeld: reconciler.isHeld,
    findWorker: options.findWorker,
    onEviction: options.onEviction
  })
  const summaries = createSummaries({ log, clock, logger, attempts, table, availabilityZone, isLogCurrent: reconciler.isLogCurrent })
  return { table, attempts, writer, placement, reconciler, dispatcher, summaries }
}
