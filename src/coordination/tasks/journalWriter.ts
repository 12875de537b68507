import { runSupervised, type Clock, type Logger, type Network } from '../../common/index.js'
import type { CoordinatorTerm, InSyncSet } from './exchange.js'
import { listSnapshot, type JournalRecord, type JournalState } from './journal.js'
import { appendReplySchema, type AppendReply, type AppendRequest, type JournalReplica } from './journalReplica.js'
import { WAKE_REASON } from './waking.js'

/** Time for which records are collected into one append, ms. */
const BATCH_DELAY_MS = 10
/** Interval of empty appends that show the journal group that the coordinator is alive, ms. */
export const KEEPALIVE_INTERVAL_MS = 500
const APPEND_TIMEOUT_MS = 600
/** A replica that has confirmed no append for this long is out of sync, ms. */
const IN_SYNC_TIMEOUT_MS = 1_200
/** The first in-sync set waits this long for all replicas, so that more than one replica remains if a host fails right after a takeover, ms. */
const FIRST_IN_SYNC_SET_DELAY_MS = 300
const RETRY_MS = 100

export interface JournalWriterOptions {
  clock: Clock
  logger: Logger
  network: Network
  term: CoordinatorTerm
  group: string[]
  localReplica: JournalReplica
  /** The coordinator's journal state, from which snapshots are taken. */
  state: JournalState
  /** Size of the current witness set. */
  countWitnesses (): number
  /** A majority of the witnesses stores this version of the in-sync set, or a later one. */
  isInSyncSetStored (version: number): boolean
  onHigherTerm (promised: CoordinatorTerm): void
  onStoreFailure (message: string): void
  signal: AbortSignal
}

export interface JournalWriter {
  /** Resolves to true when every host of the in-sync set has stored the records, to false when the writer is stopped before that. */
  append (records: JournalRecord[]): Promise<boolean>
  /** The newest in-sync set, which the witnesses should store. */
  getInSyncSet (): InSyncSet | undefined
  /** Updates the in-sync set and resolves pending appends. */
  update (): void
  /** The witnesses have confirmed a first in-sync set, the local replica is in sync, and so is a majority of a group of three or more hosts. */
  isWritable (): boolean
  /** Confirmed records are stored on a second host or on a synced disk. */
  isDurable (): boolean
  /** Each in-sync set, confirmed or proposed, contains the same second host. */
  isReplicated (): boolean
  countPending (): number
}

interface Peer { host: string, next: number, hasSnapshot: boolean, synced: boolean, confirmedAt: number, wake: () => void }
interface PendingAppend { last: number, resolve: (recorded: boolean) => void }

/**
 * Replicates the journal. A record is confirmed when every host of the in-sync set has stored it. A change of the in-sync
 * set takes effect when a majority of the witnesses has stored the new set. The next coordinator therefore needs only one
 * host of the newest in-sync set, and a zone of two hosts survives the loss of one. A group of three or more hosts also
 * requires a majority of the group to be in sync.
 */
export function createJournalWriter (options: JournalWriterOptions): JournalWriter {
  const { clock, network, term, group, localReplica, state, signal } = options
  const hosts = [...new Set([network.self, ...group])]
  const peers = hosts.map((host): Peer => ({ host, next: 0, hasSnapshot: false, synced: false, confirmedAt: -Infinity, wake: () => {} }))
  const ownPeer = peers[0] as Peer
  // Records not yet confirmed by every peer; `log[0]` has number `logStart`.
  const log: JournalRecord[] = []
  let logStartSequence = 1
  let nextSequence = 1
  let pendingAppends: PendingAppend[] = []
  const createdAt = clock.now()
  // The confirmed in-sync set, then the proposed one. Both have to store a record while a change is in progress.
  let inSyncSets: InSyncSet[] = []
  let confirmed = false

  const getInSyncSet = (): InSyncSet | undefined => inSyncSets[inSyncSets.length - 1]

  const compose = (peer: Peer): AppendRequest => peer.hasSnapshot && peer.next >= logStartSequence
    ? { term, sequence: peer.next, records: log.slice(peer.next - logStartSequence), snapshot: false }
    : { term, sequence: nextSequence, records: listSnapshot(state), snapshot: true }

  const send = async (peer: Peer, request: AppendRequest): Promise<AppendReply | undefined> => {
    if (peer === ownPeer) return await localReplica.append(request)
    const result = await network.request(peer.host, 'journal.append', request, clock.now() + APPEND_TIMEOUT_MS)
    return result.ok ? appendReplySchema.safeParse(result.val).data : undefined
  }

  const handlers: { [K in AppendReply['kind']]: (peer: Peer, reply: Extract<AppendReply, { kind: K }>) => void } = {
    recorded: (peer, reply) => {
      peer.hasSnapshot = true
      peer.next = Math.max(peer.next, reply.next)
      peer.synced = reply.synced
      peer.confirmedAt = clock.now()
    },
    'higher-term': (_peer, reply) => options.onHigherTerm(reply.promised),
    'snapshot-needed': (peer) => { peer.hasSnapshot = false },
    'store-failed': (peer, reply) => { if (peer === ownPeer) options.onStoreFailure(reply.message) }
  }

  const runPeer = async (peer: Peer): Promise<void> => {
    while (!signal.aborted) {
      if (peer.hasSnapshot && peer.next === nextSequence) await waitForRecords(peer)
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
    const abort = (): void => controller.abort(WAKE_REASON)
    peer.wake = abort
    signal.addEventListener('abort', abort, { once: true })
    await clock.sleep(KEEPALIVE_INTERVAL_MS, controller.signal)
    signal.removeEventListener('abort', abort)
    if (peer.next < nextSequence) await clock.sleep(BATCH_DELAY_MS, signal)
  }

  const isInSync = (peer: Peer): boolean => peer.hasSnapshot && (peer === ownPeer || clock.now() - peer.confirmedAt < IN_SYNC_TIMEOUT_MS)

  const confirmInSyncSet = (inSyncSet: InSyncSet | undefined): void => {
    const isConfirmed = confirmed && inSyncSets.length === 1
    if (inSyncSet === undefined || isConfirmed || !options.isInSyncSetStored(inSyncSet.version)) return
    inSyncSets = [inSyncSet]
    confirmed = true
  }

  const updateInSyncSet = (): void => {
    const inSyncSet = getInSyncSet()
    confirmInSyncSet(inSyncSet)
    const inSyncHosts = peers.filter(isInSync).map((peer) => peer.host)
    const witnesses = options.countWitnesses()
    const isUnchanged = inSyncHosts.length === inSyncSet?.hosts.length && inSyncHosts.every((host) => inSyncSet.hosts.includes(host)) && witnesses === inSyncSet.witnesses
    const isTooEarly = inSyncSet === undefined && inSyncHosts.length < peers.length && clock.now() < createdAt + FIRST_IN_SYNC_SET_DELAY_MS
    // With one change at a time, a record needs the hosts of two in-sync sets at most.
    if (isUnchanged || isTooEarly || inSyncSets.length > 1 || !ownPeer.hasSnapshot) return
    inSyncSets.push({ version: (inSyncSet?.version ?? 0) + 1, hosts: inSyncHosts, witnesses })
  }

  const update = (): void => {
    updateInSyncSet()
    const required = peers.filter((peer) => inSyncSets.some((inSyncSet) => inSyncSet.hosts.includes(peer.host)))
    const recorded = isWritable() ? Math.min(...required.map((peer) => peer.hasSnapshot ? peer.next : 0)) : 0
    pendingAppends = pendingAppends.filter((item) => {
      if (item.last >= recorded) return true
      item.resolve(true)
      return false
    })
    const lowest = Math.min(...peers.map((peer) => isInSync(peer) ? peer.next : nextSequence))
    if (lowest > logStartSequence) {
      log.splice(0, lowest - logStartSequence)
      logStartSequence = lowest
    }
  }

  const isWritable = (): boolean => {
    const inSyncHosts = peers.filter(isInSync).length
    return ownPeer.hasSnapshot && confirmed && (group.length < 3 || inSyncHosts > group.length / 2)
  }

  const isReplicated = (): boolean => peers.filter((peer) => inSyncSets.every((inSyncSet) => inSyncSet.hosts.includes(peer.host))).length > 1

  signal.addEventListener('abort', () => {
    pendingAppends.forEach((item) => item.resolve(false))
    pendingAppends = []
  }, { once: true })
  peers.forEach((peer) => {
    runSupervised({ clock, logger: options.logger, event: 'journal-peer-failed', fields: { peer: peer.host }, isStopped: () => signal.aborted }, () => runPeer(peer))
  })

  return {
    append: (records) => new Promise((resolve) => {
      if (signal.aborted) return resolve(false)
      log.push(...records)
      nextSequence += records.length
      pendingAppends.push({ last: nextSequence - 1, resolve })
      peers.forEach((peer) => peer.wake())
    }),
    getInSyncSet,
    update,
    isWritable,
    isReplicated,
    isDurable: () => isReplicated() || ownPeer.synced,
    countPending: () => pendingAppends.length
  }
}
