import type { Clock, Logger, Network } from '../../common/index.js'
import { compareTerms } from '../authority/terms.js'
import type { CoordinatorTerm, InSyncSet } from './exchange.js'
import { applyRecord, createJournalState, type JournalState } from './journal.js'
import { readReplySchema, type JournalReplica, type ReadReply } from './journalReplica.js'

const READ_TIMEOUT_MS = 500
/** A host of the in-sync set may be restarting or slow, so the read is repeated for this long, ms. */
const TOTAL_READ_TIMEOUT_MS = 2_000

/** An in-sync set and the term of the coordinator that wrote it. */
export interface TermInSyncSet { term: CoordinatorTerm, note: InSyncSet }

/** Collects the in-sync sets of earlier terms that workers report while this host claims its lease. */
export interface InSyncSetReports {
  record (worker: string, inSyncSet: TermInSyncSet | undefined): void
  /**
   * The newest in-sync set, once the number of workers that have reported one is a majority of its witness set, so that no
   * newer one can be confirmed.
   */
  findNewest (): TermInSyncSet | undefined
}

export function createInSyncSetReports (): InSyncSetReports {
  const reports = new Map<string, TermInSyncSet>()
  return {
    record: (worker, inSyncSet) => { if (inSyncSet !== undefined) reports.set(worker, inSyncSet) },
    findNewest: () => {
      const newest = [...reports.values()].sort(compareInSyncSets).at(-1)
      return newest !== undefined && reports.size > newest.note.witnesses / 2 ? newest : undefined
    }
  }
}

export interface RecoveredJournal {
  state: JournalState
  /** True: no record of a command that was sent to a worker is missing. */
  complete: boolean
}

export interface RecoveryOptions {
  clock: Clock
  network: Network
  logger: Logger
  localReplica: JournalReplica
  term: CoordinatorTerm
  group: string[]
  inSyncSetReports: InSyncSetReports
  /** No earlier coordinator can have started tasks. */
  isFirst: boolean
  signal: AbortSignal
}

/**
 * Recovers the journal of the previous coordinator from any host of its last in-sync set. Returns undefined if a replica has
 * seen a higher term, or if `signal` is aborted.
 */
export async function readJournal (options: RecoveryOptions): Promise<RecoveredJournal | undefined> {
  const { clock, network, group, localReplica, term, inSyncSetReports, signal, logger } = options
  const deadline = clock.now() + TOTAL_READ_TIMEOUT_MS
  for (;;) {
    const inSyncSet = inSyncSetReports.findNewest()
    const hosts = [...new Set([...inSyncSet?.note.hosts ?? [], ...group])].filter((host) => host !== network.self)
    const replies = await Promise.all([
      localReplica.read(term).then((reply) => ({ host: network.self, reply })),
      ...hosts.map(async (host) => ({ host, reply: await readRemote(options, host) }))
    ])
    if (signal.aborted) return undefined
    const copies = replies.flatMap(({ host, reply }) => reply?.journalTerm === undefined ? [] : [{ host, reply, journalTerm: reply.journalTerm }])
    if (copies.some(({ reply }) => compareTerms(reply.promised, term) > 0)) return undefined
    const journals = copies
      .map((item) => ({ ...item, state: createState(item.reply) }))
      .sort((left, right) => compareTerms(left.journalTerm, right.journalTerm) || left.reply.next - right.reply.next)
    // A replica with a newer term than the in-sync set was written by a takeover that was not completed. It counts only if it is
    // marked as complete, since that takeover may have found no journal.
    const usableCopy = journals.findLast(({ host, journalTerm, state }) => {
      const order = inSyncSet === undefined ? -1 : compareTerms(journalTerm, inSyncSet.term)
      return inSyncSet?.note.hosts.includes(host) === true && (order === 0 || (order > 0 && !state.incomplete))
    })
    if (usableCopy !== undefined) return { state: usableCopy.state, complete: !usableCopy.state.incomplete }
    const state = journals.at(-1)?.state ?? createJournalState()
    if (options.isFirst && inSyncSet === undefined) return { state, complete: true }
    if (clock.now() >= deadline) {
      logger.warn('journal-incomplete', { hosts: replies.length, held: copies.length, noted: inSyncSet?.note.hosts.join(',') })
      return { state, complete: false }
    }
    await clock.sleep(READ_TIMEOUT_MS / 5, signal)
  }
}

async function readRemote ({ clock, network, term }: RecoveryOptions, host: string): Promise<ReadReply | undefined> {
  const result = await network.request(host, 'journal.read', { term }, clock.now() + READ_TIMEOUT_MS)
  return result.ok ? readReplySchema.safeParse(result.val).data : undefined
}

function createState (reply: ReadReply | undefined): JournalState {
  const state = createJournalState()
  reply?.records.forEach((record) => applyRecord(state, record))
  return state
}

function compareInSyncSets (left: TermInSyncSet, right: TermInSyncSet): number {
  return compareTerms(left.term, right.term) || left.note.version - right.note.version
}
