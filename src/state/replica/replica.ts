import { randomUUID } from 'node:crypto'
import { createNoopEventLoopMeter, describeError, Ok, runSupervised, type Clock, type Logger, type Network, type Random, type Result, type EventLoopMeter } from '../../common/index.js'
import type { ReplicatedLog, LogStatus } from '../replicatedLog.js'
import { createReplicatedState, type ReplicatedState } from '../replicatedState.js'
import type { Disk } from '../disk/index.js'
import { openLogStore, type StoreFailure } from '../logStore/index.js'
import { runLogWriter } from './apply.js'
import { countMajority, createContext, getPeerKey, getVoters, isSelf, isVoter, stopContext, stopOnFailure, type Context, type ReplicaFailure } from './context.js'
import { handleLeadershipTransfer, handleVote, releaseLeadership, runElections } from './election.js'
import { handleAppend, handleSnapshot } from './follower.js'
import { handleHello, handleJoin, handleLeaderAnnouncement, runBootstrap } from './joining.js'
import { handleChange, updateMembership } from './membership.js'
import type { AppendRequest, ChangeRequest, JoinRequest, MembershipFailure, ProposeRequest, SnapshotRequest, Voter, VoteRequest } from './messages.js'
import { handlePropose, handleRead, propose, readBarrier } from './proposals.js'
import { DEFAULT_LOG_LIMITS, LEADERSHIP_TRANSFER_TIMEOUT_MS, CONTACT_TIMEOUT_MS, type LogLimits } from './timing.js'

const ID_LENGTH = 8

export interface CreateReplicaOptions {
  deployment: string
  self: string
  availabilityZone: string
  clock: Clock
  random: Random
  network: Network
  logger: Logger
  /** Measures the time spent on checking, appending and applying entries and on encoding snapshots. */
  work?: EventLoopMeter
  /** Without a disk the host is a learner and never a voter. */
  disk?: Disk
  /** Hosts that bootstrap the deployment as its first voters if it does not exist yet. */
  bootstrapVoters: string[]
  /** More hosts to ask for the current leader. */
  seeds?: string[]
  /** If the store is corrupt, erases it; the host then starts as a new incarnation and replicates the log from the leader. */
  repair?: boolean
  /** Creates the state before the first entry, which must be the same on every host. */
  createState?: () => ReplicatedState
  limits?: Partial<LogLimits>
  /** Creates ids for incarnations and processes; must never return the same id twice in a deployment. */
  createId?: () => string
}

export interface Replica extends ReplicatedLog {
  readonly incarnation: string
  addVoter (host: string, deadline: number): Promise<Result<Voter[], MembershipFailure>>
  removeVoter (host: string, deadline: number): Promise<Result<Voter[], MembershipFailure>>
  replaceVoter (host: string, by: string, deadline: number): Promise<Result<Voter[], MembershipFailure>>
  /** Transfers leadership to another voter. Resolves with true if this host no longer leads. */
  transferLeadership (deadline: number): Promise<boolean>
  /** Replaces the seed hosts, which are asked for the leader in addition to the known hosts. */
  updateSeeds (seeds: string[]): void
  /** The failure that stopped the replica, if there was one. */
  failure (): ReplicaFailure | undefined
  /** Resolves when the replica has stopped, with the failure that stopped it, or undefined after `stop`. */
  waitUntilStopped (): Promise<ReplicaFailure | undefined>
}

/** Opens the store, if there is a disk, and starts the replica's background loops. */
export async function createReplica (options: CreateReplicaOptions): Promise<Result<Replica, StoreFailure>> {
  const { disk, deployment, self, bootstrapVoters, repair } = options
  const createId = options.createId ?? (() => randomUUID().replaceAll('-', '').slice(0, ID_LENGTH))
  // While the store is opened there is no leadership to transfer.
  let handleFullDisk = (isFull: boolean): void => reportFullDisk(options.logger, isFull)
  const opened = disk === undefined
    ? undefined
    : await openLogStore({ disk, deployment, host: self, createIncarnation: createId, repair, clock: options.clock, onFullDisk: (isFull) => handleFullDisk(isFull) })
  if (opened?.err) return opened
  const store = opened?.val.store
  const loaded = opened?.val.loaded
  const context = createContext({
    deployment,
    self,
    availabilityZone: options.availabilityZone,
    clock: options.clock,
    random: options.random,
    network: options.network,
    logger: options.logger,
    work: options.work ?? createNoopEventLoopMeter(),
    // A repaired host belonged to a deployment before, so it must not bootstrap another one.
    bootstrapVoters: loaded?.repaired === true ? [] : bootstrapVoters,
    seeds: loaded?.repaired === true ? [...bootstrapVoters, ...options.seeds ?? []] : options.seeds ?? [],
    createState: options.createState ?? createReplicatedState,
    limits: { ...DEFAULT_LOG_LIMITS, ...options.limits }
  }, store, loaded, createId())
  handleFullDisk = (isFull) => {
    reportFullDisk(options.logger, isFull)
    // The election loop hands leadership over if this host leads.
    context.fullDiskHandoverAt = isFull ? context.clock.now() : Infinity
    context.electionWake.notify()
  }
  setHandlers(context)
  const isStopped = (): boolean => context.stopped
  const loops = [
    // After an unexpected error of the writer it is unknown which entries are durable.
    runLogWriter(context).catch((error: unknown) => stopOnFailure(context, { kind: 'invariant-broken', message: describeError(error) })),
    runSupervised({ clock: options.clock, logger: options.logger, event: 'log.elections-failed', isStopped }, () => runElections(context)),
    runSupervised({ clock: options.clock, logger: options.logger, event: 'log.bootstrap-failed', isStopped }, () => runBootstrap(context))
  ]
  return Ok(createHandle(context, loops))
}

function reportFullDisk (logger: Logger, isFull: boolean): void {
  if (isFull) logger.warn('store.full')
  else logger.info('store.space-again')
}

function createHandle (context: Context, loops: Array<Promise<void>>): Replica {
  const stop = async (): Promise<void> => {
    if (!context.stopped) await releaseLeadership(context, context.clock.now() + LEADERSHIP_TRANSFER_TIMEOUT_MS)
    stopContext(context, 'this host has stopped')
    context.store?.abandonWaits()
    await Promise.all(loops)
    await context.store?.close()
  }

  const waitUntilStopped = async (): Promise<ReplicaFailure | undefined> => {
    while (!context.stopped) await context.progress.wait()
    return context.failure
  }

  return {
    incarnation: context.incarnation,
    propose: (entry, deadline) => propose(context, entry, deadline),
    readBarrier: (deadline) => readBarrier(context, deadline),
    state: () => context.state,
    status: () => describeStatus(context),
    subscribe: (listener) => {
      context.listeners.add(listener)
      return () => { context.listeners.delete(listener) }
    },
    stop,
    addVoter: (host, deadline) => updateMembership(context, { kind: 'add', host }, deadline),
    removeVoter: (host, deadline) => updateMembership(context, { kind: 'remove', host }, deadline),
    replaceVoter: (host, by, deadline) => updateMembership(context, { kind: 'replace', host, by }, deadline),
    transferLeadership: (deadline) => releaseLeadership(context, deadline),
    updateSeeds: (seeds) => { context.seeds = seeds },
    failure: () => context.failure,
    waitUntilStopped
  }
}

function setHandlers (context: Context): void {
  const { network } = context
  network.handle('log.vote', (from, body) => handleVote(context, from, body as VoteRequest))
  network.handle('log.append', (from, body) => handleAppend(context, from, body as AppendRequest))
  network.handle('log.snapshot', (from, body) => handleSnapshot(context, from, body as SnapshotRequest))
  network.handle('log.propose', (_from, body) => handlePropose(context, body as ProposeRequest))
  network.handle('log.read', (_from, body) => handleRead(context, body as { remainingMs: number }))
  network.handle('log.join', (from, body) => handleJoin(context, from, body as JoinRequest))
  network.handle('log.lead', (from) => handleLeaderAnnouncement(context, from))
  network.handle('log.hello', () => handleHello(context))
  network.handle('log.handover', (_from, body) => handleLeadershipTransfer(context, body as { formation: number, to: string, term: number }))
  network.handle('log.change', (_from, body) => handleChange(context, body as ChangeRequest))
}

function describeStatus (context: Context): LogStatus {
  const now = context.clock.now()
  const voters = getVoters(context)
  const isLeader = context.role === 'leader'
  const isAlive = (voter: Voter): boolean => isSelf(context, voter) ||
    now - (context.peers.get(getPeerKey(voter))?.lastContactAt ?? -Infinity) < CONTACT_TIMEOUT_MS
  // Only the leader knows which voters answer; other hosts assume that all of them do.
  const alive = isLeader ? voters.filter(isAlive).length : voters.length
  const hasLeader = context.leader !== undefined
  return {
    role: context.role === 'follower' && !isVoter(context) ? 'learner' : context.role,
    term: context.term,
    leader: context.leader,
    commitIndex: context.commitIndex,
    appliedIndex: context.appliedIndex,
    voters: voters.map((voter) => voter.host),
    learners: [...context.peers.values()].filter((peer) => !peer.isVoter).map((peer) => peer.host),
    progress: isLeader ? listProgress(context, now) : [],
    survivableLosses: hasLeader ? Math.max(0, alive - countMajority(voters)) : 0
  }
}

function listProgress (context: Context, now: number): LogStatus['progress'] {
  const own = { host: context.self, matchIndex: context.durableIndex, votes: isVoter(context), lastHeardAgoMs: 0 }
  const others = [...context.peers.values()].map((peer) => ({
    host: peer.host,
    matchIndex: peer.matchIndex,
    votes: peer.isVoter,
    lastHeardAgoMs: now - peer.lastContactAt
  }))
  return [own, ...others]
}
