import type { Clock, Network } from '../../common/index.js'
import type { CoordinatorTerm, JournalNote } from './exchange.js'
import { listSnapshot, type JournalRecord, type JournalState } from './journal.js'
import { appendReplySchema, type AppendReply, type AppendRequest, type JournalMember } from './journalMember.js'
import { WOKEN } from './waking.js'

/** Records wait at most this long for others to share their message, ms. */
const BATCH_MS = 10
/** An empty append tells the journal group that the coordinator is alive, ms. */
export const KEEPALIVE_MS = 500
const APPEND_TIMEOUT_MS = 600
/** A member that has confirmed nothing for this long no longer counts as in step, ms. */
const OUT_OF_STEP_MS = 1_200
/** The first note waits this long for other hosts, so that a failure right after a takeover leaves more than one copy, ms. */
const FIRST_NOTE_MS = 300
const RETRY_MS = 100

export interface JournalWriterOptions {
  clock: Clock
  network: Network
  term: CoordinatorTerm
  group: string[]
  local: JournalMember
  /** The coordinator's own table; a snapshot is taken from it. */
  state: JournalState
  /** How many witnesses the current note names. */
  countWitnesses (): number
  /** A majority of the witnesses holds this version of the note. */
  isNoted (version: number): boolean
  onHigherTerm (promised: CoordinatorTerm): void
  onStoreFailure (message: string): void
  signal: AbortSignal
}

export interface JournalWriter {
  /** Resolves to true when every member in step has the records, false when the writer was stopped before that. */
  append (records: JournalRecord[]): Promise<boolean>
  /** The note that the witnesses should hold. */
  getNote (): JournalNote | undefined
  /** Re-evaluates the members in step and the waiting records. */
  update (): void
  /** The local copy and, of a group of three or more, a majority are in step. */
  isWritable (): boolean
  /** A record would be on a second host or on a synced disk. */
  isDurable (): boolean
  /** A second host is in step. */
  isCopied (): boolean
  countPending (): number
}

interface Peer { host: string, next: number, hasSnapshot: boolean, synced: boolean, heardAt: number, wake: () => void }
interface Waiting { last: number, resolve: (recorded: boolean) => void }

/**
 * Replicates the journal. A record counts when every host named by the note has it, and the note can only change
 * with a majority of the witnesses. The next coordinator therefore needs a single host of the newest note, and a
 * zone of two hosts can lose one. A group of three or more also keeps to a majority of the group.
 */
export function createJournalWriter (options: JournalWriterOptions): JournalWriter {
  const { clock, network, term, group, local, state, signal } = options
  const hosts = [...new Set([network.self, ...group])]
  const peers = hosts.map((host): Peer => ({ host, next: 0, hasSnapshot: false, synced: false, heardAt: -Infinity, wake: () => {} }))
  const own = peers[0] as Peer
  // Records not yet confirmed by every peer; `log[0]` has number `logStart`.
  const log: JournalRecord[] = []
  let logStart = 1
  let end = 1
  let waiting: Waiting[] = []
  const createdAt = clock.now()
  // The confirmed note first, then one proposed after it.
  let notes: JournalNote[] = []
  let confirmed = false

  const getNote = (): JournalNote | undefined => notes[notes.length - 1]

  const compose = (peer: Peer): AppendRequest => peer.hasSnapshot && peer.next >= logStart
    ? { term, sequence: peer.next, records: log.slice(peer.next - logStart), snapshot: false }
    : { term, sequence: end, records: listSnapshot(state), snapshot: true }

  const send = async (peer: Peer, request: AppendRequest): Promise<AppendReply | undefined> => {
    if (peer === own) return await local.append(request)
    const result = await network.request(peer.host, 'journal.append', request, clock.now() + APPEND_TIMEOUT_MS)
    return result.ok ? appendReplySchema.safeParse(result.val).data : undefined
  }

  const handlers: { [K in AppendReply['kind']]: (peer: Peer, reply: Extract<AppendReply, { kind: K }>) => void } = {
    recorded: (peer, reply) => {
      peer.hasSnapshot = true
      peer.next = Math.max(peer.next, reply.next)
      peer.synced = reply.synced
      peer.heardAt = clock.now()
    },
    'higher-term': (_peer, reply) => options.onHigherTerm(reply.promised),
    'snapshot-needed': (peer) => { peer.hasSnapshot = false },
    'store-failed': (peer, reply) => { if (peer === own) options.onStoreFailure(reply.message) }
  }

  const runPeer = async (peer: Peer): Promise<void> => {
    while (!signal.aborted) {
      if (peer.hasSnapshot && peer.next === end) await waitForRecords(peer)
      if (signal.aborted) return
      const request = compose(peer)
      const reply = await send(peer, request)
      if (signal.aborted) return
      if (reply !== undefined) {
        const handler = handlers[reply.kind] as (peer: Peer, reply: AppendReply) => void
        handler(peer, reply)
      }
      update()
      if (reply?.kind !== 'recorded' && reply?.kind !== 'snapshot-needed') await clock.sleep(RETRY_MS, signal)
    }
  }

  const waitForRecords = async (peer: Peer): Promise<void> => {
    const controller = new AbortController()
    const abort = (): void => controller.abort(WOKEN)
    peer.wake = abort
    signal.addEventListener('abort', abort, { once: true })
    await clock.sleep(KEEPALIVE_MS, controller.signal)
    signal.removeEventListener('abort', abort)
    if (peer.next < end) await clock.sleep(BATCH_MS, signal)
  }

  const isInStep = (peer: Peer): boolean => peer.hasSnapshot && (peer === own || clock.now() - peer.heardAt < OUT_OF_STEP_MS)

  const confirmNote = (note: JournalNote | undefined): void => {
    const isConfirmed = confirmed && notes.length === 1
    if (note === undefined || isConfirmed || !options.isNoted(note.version)) return
    notes = [note]
    confirmed = true
  }

  const updateNote = (): void => {
    const note = getNote()
    confirmNote(note)
    const inStep = peers.filter(isInStep).map((peer) => peer.host)
    const witnesses = options.countWitnesses()
    const isSame = inStep.length === note?.hosts.length && inStep.every((host) => note.hosts.includes(host)) && witnesses === note.witnesses
    const isEarly = note === undefined && inStep.length < peers.length && clock.now() < createdAt + FIRST_NOTE_MS
    // One change at a time keeps the number of hosts that a record needs small.
    if (isSame || isEarly || notes.length > 1 || !own.hasSnapshot) return
    notes.push({ version: (note?.version ?? 0) + 1, hosts: inStep, witnesses })
  }

  const update = (): void => {
    updateNote()
    const required = peers.filter((peer) => notes.some((note) => note.hosts.includes(peer.host)))
    const recorded = isWritable() ? Math.min(...required.map((peer) => peer.hasSnapshot ? peer.next : 0)) : 0
    waiting = waiting.filter((item) => {
      if (item.last >= recorded) return true
      item.resolve(true)
      return false
    })
    const lowest = Math.min(...peers.map((peer) => isInStep(peer) ? peer.next : end))
    if (lowest > logStart) {
      log.splice(0, lowest - logStart)
      logStart = lowest
    }
  }

  const isWritable = (): boolean => {
    const inStep = peers.filter(isInStep).length
    return own.hasSnapshot && confirmed && (group.length < 3 || inStep > group.length / 2)
  }

  const isCopied = (): boolean => peers.filter((peer) => notes.every((note) => note.hosts.includes(peer.host))).length > 1

  signal.addEventListener('abort', () => {
    waiting.forEach((item) => item.resolve(false))
    waiting = []
  }, { once: true })
  peers.forEach((peer) => { runPeer(peer) })

  return {
    append: (records) => new Promise((resolve) => {
      if (signal.aborted) return resolve(false)
      log.push(...records)
      end += records.length
      waiting.push({ last: end - 1, resolve })
      peers.forEach((peer) => peer.wake())
    }),
    getNote,
    update,
    isWritable,
    isCopied,
    isDurable: () => isCopied() || own.synced,
    countPending: () => waiting.length
  }
}
