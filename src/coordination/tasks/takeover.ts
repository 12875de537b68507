import type { Clock, Logger, Network } from '../../common/index.js'
import { compareTerms } from '../authority/terms.js'
import type { CoordinatorTerm, JournalNote } from './exchange.js'
import { applyRecord, createJournalState, type JournalState } from './journal.js'
import { readReplySchema, type JournalMember, type ReadReply } from './journalMember.js'

const READ_TIMEOUT_MS = 500
/** A host that is named by the note may be restarting or slow, so it is asked again for this long, ms. */
const TOTAL_READ_TIMEOUT_MS = 2_000

export interface TermNote { term: CoordinatorTerm, note: JournalNote }

/** What the witnesses that granted the claim know about earlier journals. */
export interface NoteReports {
  record (worker: string, note: TermNote | undefined): void
  /** The newest note, when enough witnesses hold one to be sure that there is no newer one. */
  findNewest (): TermNote | undefined
}

export function createNoteReports (): NoteReports {
  const reports = new Map<string, TermNote>()
  return {
    record: (worker, note) => { if (note !== undefined) reports.set(worker, note) },
    findNewest: () => {
      const newest = [...reports.values()].sort(compareNotes).at(-1)
      return newest !== undefined && reports.size > newest.note.witnesses / 2 ? newest : undefined
    }
  }
}

export interface RecoveredJournal {
  state: JournalState
  /** True: nothing that was ever sent to a worker is missing. */
  complete: boolean
}

export interface RecoveryOptions {
  clock: Clock
  network: Network
  logger: Logger
  local: JournalMember
  term: CoordinatorTerm
  group: string[]
  notes: NoteReports
  /** No earlier coordinator can have started anything. */
  isFirst: boolean
  signal: AbortSignal
}

/** Reads the journal that the previous coordinator left, from any host that its last note names. */
export async function readJournal (options: RecoveryOptions): Promise<RecoveredJournal | undefined> {
  const { clock, network, group, local, term, notes, signal, logger } = options
  const deadline = clock.now() + TOTAL_READ_TIMEOUT_MS
  for (;;) {
    const note = notes.findNewest()
    const hosts = [...new Set([...note?.note.hosts ?? [], ...group])].filter((host) => host !== network.self)
    const replies = await Promise.all([
      local.read(term).then((reply) => ({ host: network.self, reply })),
      ...hosts.map(async (host) => ({ host, reply: await readRemote(options, host) }))
    ])
    if (signal.aborted) return undefined
    const held = replies.flatMap(({ host, reply }) => reply?.journalTerm === undefined ? [] : [{ host, reply, journalTerm: reply.journalTerm }])
    if (held.some(({ reply }) => compareTerms(reply.promised, term) > 0)) return undefined
    const journals = held
      .map((item) => ({ ...item, state: createState(item.reply) }))
      .sort((left, right) => compareTerms(left.journalTerm, right.journalTerm) || left.reply.next - right.reply.next)
    // A newer copy than the note's comes from a takeover that was not finished; it may have started from nothing.
    const sufficient = journals.findLast(({ host, journalTerm, state }) => {
      const order = note === undefined ? -1 : compareTerms(journalTerm, note.term)
      return note?.note.hosts.includes(host) === true && (order === 0 || (order > 0 && !state.incomplete))
    })
    if (sufficient !== undefined) return { state: sufficient.state, complete: !sufficient.state.incomplete }
    const state = journals.at(-1)?.state ?? createJournalState()
    if (options.isFirst && note === undefined) return { state, complete: true }
    if (clock.now() >= deadline) {
      logger.warn('journal-incomplete', { hosts: replies.length, held: held.length, noted: note?.note.hosts.join(',') })
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

function compareNotes (left: TermNote, right: TermNote): number {
  return compareTerms(left.term, right.term) || left.note.version - right.note.version
}
