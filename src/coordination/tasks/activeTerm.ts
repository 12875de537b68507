import type { Clock, Logger, Network } from '../../common/index.js'
import type { ReplicatedLog, Policy, ZoneAuthority } from '../../state/index.js'
import type { Witnesses } from '../authority/witnesses.js'
import type { Placement } from '../placement/types.js'
import { createAttempts } from './attempts.js'
import type { Attempts } from './attemptTypes.js'
import { createDemand, type Demand } from './demand.js'
import { createDispatcher, type Dispatcher, type Eviction, type KnownWorker } from './dispatcher.js'
import type { CoordinatorTerm } from './exchange.js'
import { applyRecord, type JournalRecord, type JournalState } from './journal.js'
import type { JournalMember } from './journalMember.js'
import { createJournalWriter, type JournalWriter } from './journalWriter.js'
import { createSummaries, type Summaries } from './summaries.js'
import { createTaskTable, type TaskTable } from './table.js'

export interface PolicyInForce { preset: string, revision: number, policy: Policy, isolated: boolean }

export interface ActiveTermOptions {
  clock: Clock
  network: Network
  logger: Logger
  log: ReplicatedLog
  zone: ZoneAuthority
  term: CoordinatorTerm
  local: JournalMember
  createPlacement: () => Placement
  getPolicy: () => PolicyInForce
  witnesses: Witnesses
  signal: AbortSignal
  /** The journal of the previous coordinator as far as it could be read. */
  state: JournalState
  complete: boolean
  onHigherTerm (promised: CoordinatorTerm): void
  onStoreFailure (message: string): void
  wakeWorker (worker: string): void
  /** The agreed state changed the tasks. */
  onDemand (): void
  areWorkersKnown (): boolean
  findWorker (id: string): KnownWorker | undefined
  onEviction (eviction: Eviction): void
}

/** Everything that a coordinator needs once it has recovered the journal. */
export interface ActiveTerm {
  table: TaskTable
  attempts: Attempts
  writer: JournalWriter
  placement: Placement
  demand: Demand
  dispatcher: Dispatcher
  summaries: Summaries
}

export function createActiveTerm (options: ActiveTermOptions): ActiveTerm {
  const { clock, network, logger, log, zone, term, state, complete, signal, witnesses } = options
  const { availabilityZone } = zone
  const table = createTaskTable(state, availabilityZone)
  const writer = createJournalWriter({
    clock,
    network,
    term,
    group: zone.journalGroup,
    local: options.local,
    state,
    signal,
    countWitnesses: () => zone.witnesses.length,
    isNoted: witnesses.isNoted,
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
    // Attempts of a lost journal must not be taken for new ones.
    firstAttempt: complete ? 1 : term.epoch * 1e6 + term.round * 1e3 + 1,
    observe: (observation) => placement.observe(observation, clock.now()),
    announce: (spec) => dispatcher.announce(spec),
    append: writer.append,
    isDurable: writer.isDurable,
    isCopied: writer.isCopied,
    wakeWorker: options.wakeWorker,
    acceptsUnknown: () => state.incomplete,
    isLogCurrent: () => demand.isLogCurrent()
  })
  const demand = createDemand({
    availabilityZone,
    log,
    table,
    attempts,
    placement,
    clock,
    signal,
    record,
    areWorkersKnown: options.areWorkersKnown,
    onChange: options.onDemand,
    announce: (spec) => dispatcher.announce(spec)
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
    isHeld: demand.isHeld,
    findWorker: options.findWorker,
    onEviction: options.onEviction
  })
  const summaries = createSummaries({ log, clock, logger, attempts, table, availabilityZone, isLogCurrent: demand.isLogCurrent })
  return { table, attempts, writer, placement, demand, dispatcher, summaries }
}
