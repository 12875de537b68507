import { crc32 } from 'node:zlib'
import { createAlarm, Err, type Alarm, type Clock, type Logger, type Network, type Random, type Result, type WorkMeter } from '../../common/index.js'
import type { AgreedState } from '../agreedState.js'
import type { Applied, LogFailure } from '../agreedLog.js'
import { describeStoreFailure, type HardState, type LoadedLog, type LogStore, type StoredSnapshot, type StoreFailure } from '../logStore/index.js'
import type { Entry } from '../schemas.js'
import { createEntryLog, type EntryLog } from './entryLog.js'
import { decodeCommand, decodeSnapshot, encodeCommand, type Command, type ChangeReply, type Envelope, type JoinRequest, type ProposeReply, type Voter } from './messages.js'
import { createNotifier, type Notifier } from './notifier.js'
import { MIN_SNAPSHOT_SHARE, type LogLimits } from './timing.js'

/** Stops the host. `invariant-broken` means that hosts disagree about something that was agreed. */
export type ReplicaFailure = StoreFailure | { kind: 'invariant-broken', message: string }

export interface ReplicaOptions {
  deployment: string
  self: string
  availabilityZone: string
  clock: Clock
  random: Random
  network: Network
  logger: Logger
  work: WorkMeter
  /** Hosts that found the deployment together. They must have a disk. Ignored once the deployment exists. */
  bootstrapVoters: string[]
  /** Further hosts that may know the leader. */
  seeds: string[]
  createState: () => AgreedState
  limits: LogLimits
}

/** What the leader knows of another incarnation of a host. */
export interface Peer {
  host: string
  incarnation: string
  availabilityZone: string
  hasDisk: boolean
  isVoter: boolean
  matchIndex: number
  nextIndex: number
  /** `probe`: the last matching entry is not known yet, so one append is sent at a time. */
  mode: 'probe' | 'replicate' | 'snapshot'
  inFlight: number
  lastSent: number
  sentCommit: number
  /** When the latest answered request was sent. */
  lastHeard: number
  /** The highest round of a read barrier that the peer has confirmed. */
  confirmedRound: number
  wake: Notifier
}

export interface Pending {
  term: number
  deadline: number
  resolve: (result: Result<Applied, LogFailure>) => void
}

export interface Membership { index: number, voters: Voter[] }
export interface SnapshotInfo { index: number, term: number, size: number, checksum: number }
export interface SnapshotTransfer { key: string, bytes: Uint8Array, received: number }

/** State of one replica, shared by its loops and handlers. */
export interface Context extends ReplicaOptions {
  store: LogStore | undefined
  incarnation: string
  formation: number | undefined
  term: number
  vote: string | undefined
  /** Term and vote that are on the disk. */
  saved: HardState
  role: 'leader' | 'candidate' | 'follower'
  leader: string | undefined
  /** When the current leader was last heard; a vote is refused soon after. */
  lastHeard: number
  electionDeadline: number
  log: EntryLog
  /** The lowest entry that is not on the disk in its present form. */
  dirtyFrom: number
  /** How often a snapshot from a leader has replaced the log. */
  logResets: number
  /** Entries up to here are on the disk. */
  stableIndex: number
  /** Latest last. The latest is in force even before it is committed. */
  memberships: Membership[]
  commitIndex: number
  appliedIndex: number
  state: AgreedState
  peers: Map<string, Peer>
  learners: Map<string, JoinRequest & { host: string, lastHeard: number }>
  pending: Map<number, Pending>
  /** Ends proposals at their deadlines. */
  pendingAlarm: Alarm
  /** Names this process, so that its proposals differ from those of an earlier process of the same incarnation. */
  processId: string
  startedAt: number
  proposalSequence: number
  /** Answers to forwarded proposals, so that a repeated message is not a second proposal. */
  proposals: Map<string, Map<number, Promise<ProposeReply>>>
  lastElected: number
  lastJoin: number
  readRound: number
  /** The last round that learners confirm too. */
  wideRound: number
  lastRoundAt: number
  /** The highest round that a timer will start. */
  scheduledRound: number
  handingOver: boolean
  changing: boolean
  /** Answers to the latest requests for a change of the voters, so that a repeated message gets the same one. */
  changes: Map<string, Promise<ChangeReply>>
  snapshotting: boolean
  snapshotInfo: SnapshotInfo | undefined
  snapshotIndex: number
  /** The part of the limits at which the next snapshot is made, drawn anew for each. */
  snapshotShare: number
  bytesSinceSnapshot: number
  transfer: SnapshotTransfer | undefined
  stopped: boolean
  failure: ReplicaFailure | undefined
  listeners: Set<(entry: Entry, index: number) => void>
  /** Wakes the election loop. */
  electionWake: Notifier
  writerWake: Notifier
  /** Wakes whoever waits for a change of role, term, leader, stable, committed or applied index. */
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
    // A host without a disk is another incarnation after each start.
    incarnation: store?.incarnation ?? processId,
    formation: store?.formation,
    term: hardState.term,
    vote: hardState.vote,
    saved: hardState,
    role: 'follower',
    leader: undefined,
    lastHeard: -Infinity,
    electionDeadline: -Infinity,
    log: createEntryLog(base, content.term, entries),
    dirtyFrom: base + entries.length + 1,
    logResets: 0,
    stableIndex: base + entries.length,
    memberships: snapshot === undefined ? [] : [{ index: base, voters: content.voters }],
    commitIndex: base,
    appliedIndex: base,
    state: content.state,
    peers: new Map(),
    learners: new Map(),
    pending: new Map(),
    pendingAlarm: createAlarm(clock, () => abandonExpired(context)),
    processId,
    startedAt: clock.now(),
    proposalSequence: 0,
    proposals: new Map(),
    lastElected: -Infinity,
    lastJoin: -Infinity,
    readRound: 0,
    wideRound: 0,
    lastRoundAt: -Infinity,
    scheduledRound: 0,
    handingOver: false,
    changing: false,
    changes: new Map(),
    snapshotting: false,
    snapshotInfo: snapshot === undefined ? undefined : describeSnapshot(snapshot),
    snapshotIndex: base,
    snapshotShare: chooseSnapshotShare(options.random),
    bytesSinceSnapshot: 0,
    transfer: undefined,
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

/** Hosts apply the same entries, so with equal limits a majority would be busy with its snapshots at the same time. */
export function chooseSnapshotShare (random: Random): number {
  return MIN_SNAPSHOT_SHARE + random.next() * (1 - MIN_SNAPSHOT_SHARE)
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
  // What is applied is always decoded from the bytes, so that it is the same on every host.
  recordMembership(context, index, context.log.getCommand(entry))
  context.dirtyFrom = Math.min(context.dirtyFrom, index)
  if (context.store === undefined) context.stableIndex = index
  context.writerWake.notify()
  return index
}

/** The leader's way to add an entry. */
export function appendCommand (context: Context, command: Command): number {
  return appendEncoded(context, encodeCommand(command))
}

export function appendEncoded (context: Context, bytes: Uint8Array): number {
  const index = context.work.measure('log.append', () => appendEntry(context, context.term, bytes))
  context.peers.forEach((peer) => peer.wake.notify())
  return index
}

export function removeEntriesFrom (context: Context, index: number): void {
  context.log.removeFrom(index)
  context.stableIndex = Math.min(context.stableIndex, index - 1)
  context.dirtyFrom = Math.min(context.dirtyFrom, index)
  while ((context.memberships.at(-1)?.index ?? 0) >= index) context.memberships.pop()
}

/** Follows a term. A leader or candidate of an earlier term stops being one. */
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
  context.handingOver = false
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
  // The loop sleeps until the deadline that it knows.
  if (context.electionDeadline < before) context.electionWake.notify()
}

/** Saves term and vote. An answer that depends on them is sent only afterwards. Returns false when the host has stopped. */
export async function saveHardState (context: Context): Promise<boolean> {
  const { store, term, vote, saved } = context
  if (store === undefined || (saved.term === term && saved.vote === vote)) return !context.stopped
  const result = await store.saveHardState({ term, vote })
  if (result.err) stopOnFailure(context, result.val)
  else context.saved = { term, vote }
  return !context.stopped
}

/** A host whose store has failed must not answer anything that the store was to keep. */
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
  context.pending.forEach((pending) => pending.resolve(createUnknown(message)))
  context.pending.clear()
  context.peers.forEach((peer) => peer.wake.notify())
  context.peers.clear()
  context.electionWake.notify()
  context.writerWake.notify()
  context.progress.notify()
}

/** Returns the earliest deadline of the other proposals. */
function abandonExpired ({ clock, pending }: Context): number {
  const now = clock.now()
  return [...pending.values()].reduce((earliest, { deadline, resolve }) => {
    if (deadline > now) return Math.min(earliest, deadline)
    resolve(createUnknown('not committed before the deadline'))
    return earliest
  }, Infinity)
}

export function createUnknown (message: string): Result<Applied, LogFailure> {
  return Err({ kind: 'outcome-unknown', message })
}

/** Why a message is not meant for this host as it is, or nothing. */
export function checkEnvelope (context: Context, envelope: Envelope): { refused: 'incarnation' | 'formation' | 'stopped' } | undefined {
  if (context.stopped) return { refused: 'stopped' }
  if (envelope.to !== context.incarnation) return { refused: 'incarnation' }
  if (context.formation !== undefined && envelope.formation !== context.formation) {
    context.logger.warn('log.foreign-formation', { formation: envelope.formation })
    return { refused: 'formation' }
  }
  return undefined
}

/** A host that belongs to no deployment yet joins the first whose leader or candidate names its incarnation. */
export async function saveFormation (context: Context, formation: number): Promise<boolean> {
  if (context.formation !== undefined) return context.formation === formation && !context.stopped
  context.formation = formation
  const saved = await context.store?.setFormation(formation)
  if (saved?.err) stopOnFailure(context, saved.val)
  return !context.stopped
}
