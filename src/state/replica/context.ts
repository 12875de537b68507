import { crc32 } from 'node:zlib'
import { createDeadlineTimer, Err, type DeadlineTimer, type Clock, type Logger, type Network, type Random, type Result, type EventLoopMeter } from '../../common/index.js'
import type { ReplicatedState } from '../replicatedState.js'
import type { AppliedEntry, LogFailure } from '../replicatedLog.js'
import { describeStoreFailure, type HardState, type LoadedLog, type LogStore, type StoredSnapshot, type StoreFailure } from '../logStore/index.js'
import type { Entry } from '../schemas.js'
import { createEntryLog, type EntryLog } from './entryLog.js'
import { decodeCommand, decodeSnapshot, encodeCommand, type Command, type ChangeReply, type Envelope, type JoinRequest, type ProposeReply, type Voter } from './messages.js'
import { createNotifier, type Notifier } from './notifier.js'
import { MIN_SNAPSHOT_LIMIT_FACTOR, type LogLimits } from './timing.js'

/**
 * A failure that stops the replica. `invariant-broken` means that a guarantee of the log does not hold, for instance that
 * hosts disagree about a committed entry.
 */
export type ReplicaFailure = StoreFailure | { kind: 'invariant-broken', message: string }

export interface ReplicaOptions {
  deployment: string
  self: string
  availabilityZone: string
  clock: Clock
  random: Random
  network: Network
  logger: Logger
  work: EventLoopMeter
  /** Hosts that bootstrap the deployment as its first voters. Each must have a disk. Ignored once the deployment exists. */
  bootstrapVoters: string[]
  /** More hosts to ask for the current leader. */
  seeds: string[]
  createState: () => ReplicatedState
  limits: LogLimits
}

/** The leader's replication state for one incarnation of another host, a voter or a learner. */
export interface Peer {
  host: string
  incarnation: string
  availabilityZone: string
  hasDisk: boolean
  isVoter: boolean
  matchIndex: number
  nextIndex: number
  /**
   * `probe`: the last matching entry is unknown, so empty appends search for it. `replicate`: entries are sent, with
   * several appends in flight. `snapshot`: a snapshot is being sent.
   */
  mode: 'probe' | 'replicate' | 'snapshot'
  inFlight: number
  lastSentAt: number
  sentCommitIndex: number
  /** Send time of the latest request that the peer answered. */
  lastContactAt: number
  /** The latest confirmation round that the peer has confirmed; see `rounds.ts`. */
  confirmedRound: number
  wake: Notifier
}

/** A proposal of this leader that waits until its entry is applied. */
export interface PendingProposal {
  term: number
  deadline: number
  resolve: (result: Result<AppliedEntry, LogFailure>) => void
}

export interface Membership { index: number, voters: Voter[] }
export interface SnapshotInfo { index: number, term: number, size: number, checksum: number }
export interface SnapshotTransfer { key: string, bytes: Uint8Array, received: number }

/** State of one replica, shared by its background loops and message handlers. */
export interface Context extends ReplicaOptions {
  store: LogStore | undefined
  incarnation: string
  /** Random id of the deployment's bootstrap; undefined until this host belongs to a deployment. */
  formation: number | undefined
  term: number
  vote: string | undefined
  /** Term and vote as they are on the disk. */
  savedHardState: HardState
  role: 'leader' | 'candidate' | 'follower'
  leader: string | undefined
  /** When the leader's latest message arrived. Votes are refused for the minimum election timeout after it. */
  lastContactAt: number
  electionDeadline: number
  log: EntryLog
  /** Index of the first entry that has to be written to the disk, because it is new or was replaced. */
  firstUnwrittenIndex: number
  /** Number of times that a snapshot from the leader has replaced the log. */
  logReplacements: number
  /** All entries up to this index are synced to the disk. Without a disk, all entries in memory count. */
  durableIndex: number
  /** Voter sets, in log order. The last one is in force, even before its entry is committed. */
  memberships: Membership[]
  commitIndex: number
  appliedIndex: number
  state: ReplicatedState
  peers: Map<string, Peer>
  learners: Map<string, JoinRequest & { host: string, lastContactAt: number }>
  pendingProposals: Map<number, PendingProposal>
  /** Fires at the earliest deadline of the pending proposals. */
  proposalDeadlineAlarm: DeadlineTimer
  /** Unique id of this process. Distinguishes its proposals from those of an earlier process of the same incarnation. */
  processId: string
  startedAt: number
  proposalSequence: number
  /** Replies to forwarded proposals by origin and sequence number, so that a duplicate message is not appended a second time. */
  proposalReplies: Map<string, Map<number, Promise<ProposeReply>>>
  electedAt: number
  /** While the disk is full: when this host hands leadership over if it leads; infinite otherwise. */
  fullDiskHandoverAt: number
  lastJoinAt: number
  /** Number of the latest confirmation round; see `rounds.ts`. */
  latestRound: number
  /** The latest round that learners have to confirm as well as voters. */
  allPeersRound: number
  lastRoundAt: number
  /** The latest round that is scheduled to start when the minimum interval between read rounds has passed. */
  scheduledReadRound: number
  /** True during a leadership transfer; the leader then accepts no proposals. */
  transferringLeadership: boolean
  /** True while a change of the voters is in progress; only one at a time is allowed. */
  changingMembership: boolean
  /** Replies to the latest requests for a change of the voters, by request id, so that a duplicate message gets the same reply. */
  changeReplies: Map<string, Promise<ChangeReply>>
  savingSnapshot: boolean
  snapshotInfo: SnapshotInfo | undefined
  snapshotIndex: number
  /** Fraction of the snapshot limits at which the next snapshot is due; chosen at random for each snapshot. */
  snapshotLimitFactor: number
  bytesSinceSnapshot: number
  incomingSnapshot: SnapshotTransfer | undefined
  stopped: boolean
  failure: ReplicaFailure | undefined
  listeners: Set<(entry: Entry, index: number) => void>
  /** Wakes the election loop. */
  electionWake: Notifier
  writerWake: Notifier
  /** Notified after a change of the role, term or leader, of the durable, committed or applied index, or of a peer's contact. */
  progress: Notifier
}

const EMPTY_LOG: Pick<LoadedLog, 'snapshot' | 'entries' | 'hardState'> = {
  snapshot: undefined, entries: [], hardState: { term: 0, vote: undefined }
}

export function createContext (options: ReplicaOptions, store: LogStore | undefined, loaded: LoadedLog | undefined, processId: string): Context {
  const { clock } = options
  const { snapshot, entries, hardState } = loaded ?? EMPTY_LOG
  const content = snapshot === undefined
    ? { index: 0, term: 0, voters: [], state: options.createState() }
    : decodeSnapshot(snapshot.bytes)
  const base = content.index
  const context: Context = {
    ...options,
    store,
    // A host without a disk is a new incarnation after each start.
    incarnation: store?.incarnation ?? processId,
    formation: store?.formation,
    term: hardState.term,
    vote: hardState.vote,
    savedHardState: hardState,
    role: 'follower',
    leader: undefined,
    lastContactAt: -Infinity,
    electionDeadline: -Infinity,
    log: createEntryLog(base, content.term, entries),
    firstUnwrittenIndex: base + entries.length + 1,
    logReplacements: 0,
    durableIndex: base + entries.length,
    memberships: snapshot === undefined ? [] : [{ index: base, voters: content.voters }],
    commitIndex: base,
    appliedIndex: base,
    state: content.state,
    peers: new Map(),
    learners: new Map(),
    pendingProposals: new Map(),
    proposalDeadlineAlarm: createDeadlineTimer(clock, () => abandonExpiredProposals(context)),
    processId,
    startedAt: clock.now(),
    proposalSequence: 0,
    proposalReplies: new Map(),
    electedAt: -Infinity,
    fullDiskHandoverAt: Infinity,
    lastJoinAt: -Infinity,
    latestRound: 0,
    allPeersRound: 0,
    lastRoundAt: -Infinity,
    scheduledReadRound: 0,
    transferringLeadership: false,
    changingMembership: false,
    changeReplies: new Map(),
    savingSnapshot: false,
    snapshotInfo: snapshot === undefined ? undefined : describeSnapshot(snapshot),
    snapshotIndex: base,
    snapshotLimitFactor: chooseSnapshotLimitFactor(options.random),
    bytesSinceSnapshot: 0,
    incomingSnapshot: undefined,
    stopped: false,
    failure: undefined,
    listeners: new Set(),
    electionWake: createNotifier(clock),
    writerWake: createNotifier(clock),
    progress: createNotifier(clock)
  }
  entries.forEach((entry) => recordMembership(context, entry.index, decodeCommand(entry.bytes)))
  return context
}

/**
 * Draws the snapshot limit factor. It is random because all hosts apply the same entries: with equal limits a majority would
 * write its snapshots at the same time, and commits would wait.
 */
export function chooseSnapshotLimitFactor (random: Random): number {
  return MIN_SNAPSHOT_LIMIT_FACTOR + random.next() * (1 - MIN_SNAPSHOT_LIMIT_FACTOR)
}

export function describeSnapshot (snapshot: StoredSnapshot): SnapshotInfo {
  return { index: snapshot.index, term: snapshot.term, size: snapshot.bytes.length, checksum: crc32(snapshot.bytes) }
}

export function getVoters (context: Context): Voter[] {
  return context.memberships.at(-1)?.voters ?? []
}

export function isVoter (context: Context): boolean {
  return context.store !== undefined && context.formation !== undefined && getVoters(context).some((voter) => isSelf(context, voter))
}

export function isSelf (context: Context, voter: { host: string, incarnation: string }): boolean {
  return voter.host === context.self && voter.incarnation === context.incarnation
}

export function isLeading (context: Context, term: number): boolean {
  return !context.stopped && context.role === 'leader' && context.term === term
}

export function countMajority (voters: Voter[]): number {
  return Math.floor(voters.length / 2) + 1
}

export function getPeerKey (peer: { host: string, incarnation: string }): string {
  return `${peer.host}/${peer.incarnation}`
}

export function recordMembership (context: Context, index: number, command: Command): void {
  if (command.kind === 'log.membership') context.memberships.push({ index, voters: command.voters })
}

/** Adds one entry to the log in memory; the writer loop makes it durable. */
export function appendEntry (context: Context, term: number, bytes: Uint8Array): number {
  const index = context.log.lastIndex + 1
  const entry = { index, term, bytes }
  context.log.append(entry)
  // Commands are always decoded from the stored bytes, also on the leader, so that every host applies the same value.
  recordMembership(context, index, context.log.getCommand(entry))
  context.firstUnwrittenIndex = Math.min(context.firstUnwrittenIndex, index)
  if (context.store === undefined) context.durableIndex = index
  context.writerWake.notify()
  return index
}

/** Appends a command on the leader, in its current term, and notifies the peers' replication loops. */
export function appendCommand (context: Context, command: Command): number {
  return appendEncoded(context, encodeCommand(command))
}

export function appendEncoded (context: Context, bytes: Uint8Array): number {
  const index = context.work.measure('log.append', () => appendEntry(context, context.term, bytes))
  context.peers.forEach((peer) => peer.wake.notify())
  return index
}

/** Removes all entries from the index on, and the voter sets that they contain. */
export function removeEntriesFrom (context: Context, index: number): void {
  context.log.removeFrom(index)
  context.durableIndex = Math.min(context.durableIndex, index - 1)
  context.firstUnwrittenIndex = Math.min(context.firstUnwrittenIndex, index)
  while ((context.memberships.at(-1)?.index ?? 0) >= index) context.memberships.pop()
}

/** Becomes a follower in the term, with the leader if it is known. A leader or candidate steps down, also in an unchanged term. */
export function updateTerm (context: Context, term: number, leader: string | undefined): void {
  const isNewer = term > context.term
  if (isNewer) {
    context.term = term
    context.vote = undefined
  }
  const changes = isNewer || context.leader !== leader || context.role === 'leader' || context.role === 'candidate'
  if (!changes) return
  context.role = 'follower'
  context.leader = leader
  context.transferringLeadership = false
  context.peers.forEach((peer) => peer.wake.notify())
  context.peers.clear()
  context.learners.clear()
  context.progress.notify()
  context.electionWake.notify()
  context.logger.info('log.follow', { term, leader })
}

export function resetElectionDeadline (context: Context, minMs: number, maxMs: number): void {
  const before = context.electionDeadline
  context.electionDeadline = context.clock.now() + minMs + context.random.next() * (maxMs - minMs)
  // The election loop sleeps until the earlier value, so it has to be woken for a closer deadline.
  if (context.electionDeadline < before) context.electionWake.notify()
}

/**
 * Saves term and vote to the disk; replies that depend on them must be sent only afterwards. Returns false if the host has
 * stopped.
 */
export async function saveHardState (context: Context): Promise<boolean> {
  const { store, term, vote, savedHardState } = context
  if (store === undefined || (savedHardState.term === term && savedHardState.vote === vote)) return !context.stopped
  const result = await store.saveHardState({ term, vote })
  if (result.err) stopOnFailure(context, result.val)
  else context.savedHardState = { term, vote }
  return !context.stopped
}

/** Stops the replica after a failure. A host whose store has failed must not acknowledge anything that the store should keep. */
export function stopOnFailure (context: Context, failure: ReplicaFailure): void {
  if (context.stopped) return
  context.failure = failure
  const message = failure.kind === 'invariant-broken' ? `${failure.kind}: ${failure.message}` : describeStoreFailure(failure)
  context.logger.error('log.stopped', { kind: failure.kind, message })
  stopContext(context, message)
}

export function stopContext (context: Context, message: string): void {
  if (context.stopped) return
  context.stopped = true
  context.role = 'follower'
  context.leader = undefined
  context.pendingProposals.forEach((pending) => pending.resolve(createOutcomeUnknown(message)))
  context.pendingProposals.clear()
  context.peers.forEach((peer) => peer.wake.notify())
  context.peers.clear()
  context.electionWake.notify()
  context.writerWake.notify()
  context.progress.notify()
}

/** Resolves expired proposals as `outcome-unknown`. Returns the earliest deadline of the remaining ones, or Infinity. */
function abandonExpiredProposals ({ clock, pendingProposals: pending }: Context): number {
  const now = clock.now()
  return [...pending.values()].reduce((earliest, { deadline, resolve }) => {
    if (deadline > now) return Math.min(earliest, deadline)
    resolve(createOutcomeUnknown('not committed before the deadline'))
    return earliest
  }, Infinity)
}

export function createOutcomeUnknown (message: string): Result<AppliedEntry, LogFailure> {
  return Err({ kind: 'outcome-unknown', message })
}

/** Returns why this host must refuse a message: it has stopped, or the message is for another incarnation or deployment. */
export function checkEnvelope (context: Context, envelope: Envelope): { refused: 'incarnation' | 'formation' | 'stopped' } | undefined {
  if (context.stopped) return { refused: 'stopped' }
  if (envelope.to !== context.incarnation) return { refused: 'incarnation' }
  if (context.formation !== undefined && envelope.formation !== context.formation) {
    context.logger.warn('log.foreign-formation', { formation: envelope.formation })
    return { refused: 'formation' }
  }
  return undefined
}

/**
 * Records the deployment that the sender of a message belongs to. A host that belongs to none yet joins the first deployment
 * whose leader or candidate addresses its incarnation. Returns false for another deployment or if the host has stopped.
 */
export async function saveFormation (context: Context, formation: number): Promise<boolean> {
  if (context.formation !== undefined) return context.formation === formation && !context.stopped
  context.formation = formation
  const saved = await context.store?.setFormation(formation)
  if (saved?.err) stopOnFailure(context, saved.val)
  return !context.stopped
}
