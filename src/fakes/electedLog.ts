import { Err, Ok, type Clock, type Random, type Result } from '../common/index.js'
import {
  applyEntry, createReplicatedState, type ReplicatedLog, type ReplicatedState, type AppliedEntry, type Entry, type LogFailure, type EntryOutcome
} from '../state/index.js'
import type { SimulatedNetwork } from './simulatedNetwork.js'
import type { SimulatedProcess } from './simulatedProcess.js'

const HEARTBEAT_MS = 100
const ELECTION_TIMEOUT_MS = 1000
const COMMIT_RETRY_MS = 20

/** The replicated logs of several hosts, with elections, lagging followers and leaders that don't know yet that they were deposed. */
export interface ElectedLogs {
  /** Creates the log of one process. A restarted process starts from an empty state and catches up. */
  createLog (process: SimulatedProcess): ReplicatedLog
  /** Elects a host if a majority of voters can vote for it; returns whether it was elected. */
  elect (host: string): boolean
  leader (): string | undefined
  /** State after all committed entries, which a host may not have applied yet. */
  committedState (): ReplicatedState
  /** Registers a listener that is called at the commit of an entry, before any host applies it. */
  onCommit (listener: (entry: Entry, outcome: EntryOutcome) => void): void
}

interface Replica {
  process: SimulatedProcess
  state: ReplicatedState
  applied: number
  term: number
  leader: string | undefined
  listeners: Set<(entry: Entry, index: number) => void>
}

export interface ElectedLogOptions { base: Clock, random: Random, network: SimulatedNetwork, voters: string[] }

export function createElectedLogs ({ base, random, network, voters }: ElectedLogOptions): ElectedLogs {
  const committed: Array<{ entry: Entry, outcome: EntryOutcome }> = []
  const replicas = new Map<string, Replica>()
  const commitListeners: Array<(entry: Entry, outcome: EntryOutcome) => void> = []
  const committedState = createReplicatedState()
  let term = 0
  let leader: string | undefined
  let leaderSeenAt = base.now()

  const isActive = (host: string): boolean => replicas.get(host)?.process.isRunning() === true

  const hasMajority = (host: string): boolean => isActive(host) && voters.filter((voter) =>
    isActive(voter) && network.isLinked(host, voter) && network.isLinked(voter, host)).length * 2 > voters.length

  const isLeading = (replica: Replica, expectedTerm: number): boolean =>
    replicas.get(replica.process.host) === replica && leader === replica.process.host && term === expectedTerm &&
    hasMajority(replica.process.host)

  const applyUpTo = (replica: Replica, index: number): void => {
    while (replica.applied < index) {
      const { entry } = committed[replica.applied]!
      replica.applied += 1
      applyEntry(replica.state, entry)
      replica.listeners.forEach((listener) => listener(entry, replica.applied))
    }
  }

  const commitEntry = (entry: Entry): { outcome: EntryOutcome, index: number } => {
    const outcome = applyEntry(committedState, entry)
    committed.push({ entry, outcome })
    commitListeners.forEach((listener) => listener(entry, outcome))
    replicas.forEach((replica) => { sendHeartbeat(replica) })
    return { outcome, index: committed.length }
  }

  /** Sends the present term, leader and commit index to one host, which receives them after a delay. */
  const sendHeartbeat = async (replica: Replica): Promise<void> => {
    const heartbeat = { term, leader, index: committed.length }
    if (heartbeat.leader === undefined || !isActive(heartbeat.leader) || !network.isLinked(heartbeat.leader, replica.process.host)) return
    await base.sleep(network.chooseDelay())
    await replica.process.waitUntilRunning()
    if (heartbeat.term < replica.term) return
    replica.term = heartbeat.term
    replica.leader = heartbeat.leader
    applyUpTo(replica, heartbeat.index)
  }

  const elect = (host: string): boolean => {
    if (!hasMajority(host)) return false
    term += 1
    leader = host
    leaderSeenAt = base.now()
    replicas.forEach((replica) => { sendHeartbeat(replica) })
    return true
  }

  const runElections = async (): Promise<void> => {
    for (;;) {
      await base.sleep(HEARTBEAT_MS)
      replicas.forEach((replica) => { sendHeartbeat(replica) })
      if (leader !== undefined && hasMajority(leader)) leaderSeenAt = base.now()
      if (base.now() - leaderSeenAt >= ELECTION_TIMEOUT_MS) elect(random.pick(voters))
    }
  }
  runElections()

  /** Replicates a proposed entry on the leader, which may lose its leadership meanwhile. */
  const replicateEntry = async (replica: Replica, entry: Entry, deadline: number): Promise<Result<AppliedEntry, LogFailure>> => {
    const expectedTerm = replica.term
    const { clock } = replica.process
    await clock.sleep(network.chooseDelay())
    const canStillCommit = (): boolean => term === expectedTerm && clock.now() < deadline
    while (!isLeading(replica, expectedTerm) && canStillCommit()) await clock.sleep(COMMIT_RETRY_MS)
    if (!isLeading(replica, expectedTerm)) {
      // The next leader may have received the entry and commit it, which the proposer can't know. Here it does so in half of the cases.
      if (term !== expectedTerm && leader !== undefined && hasMajority(leader) && random.below(2) === 0) commitEntry(entry)
      return Err({ kind: 'outcome-unknown', message: 'the leadership ended before the commit was confirmed' })
    }
    const { outcome, index } = commitEntry(entry)
    if (random.below(2) === 0) await clock.sleep(network.chooseDelay())
    applyUpTo(replica, index)
    return outcome.accepted
      ? Ok({ index, value: outcome.value })
      : Err({ kind: 'rejected', rejection: outcome.rejection })
  }

  const forwardEntry = async (replica: Replica, entry: Entry, deadline: number): Promise<Result<AppliedEntry, LogFailure>> => {
    const { host, clock } = replica.process
    const to = replica.leader
    const target = to === undefined ? undefined : replicas.get(to)
    if (to === undefined || target === undefined) return Err({ kind: 'no-leader', message: 'no leader is known' })
    const lost = (async () => {
      await clock.sleep(deadline - clock.now())
      return Err({ kind: 'outcome-unknown', message: 'no answer from the leader' } as const)
    })()
    const answer = (async (): Promise<Result<AppliedEntry, LogFailure>> => {
      if (!network.isLinked(host, to)) return await lost
      await base.sleep(network.chooseDelay())
      await target.process.waitUntilRunning()
      if (target.leader !== to) return Err({ kind: 'not-recorded', message: 'the host that was asked is no longer the leader' })
      const result = await replicateEntry(target, entry, target.process.clock.now() + deadline - clock.now())
      if (!network.isLinked(to, host)) return await lost
      await base.sleep(network.chooseDelay())
      return result
    })()
    return await Promise.race([answer, lost])
  }

  // The majority is confirmed at the start and the answer comes after a delay: the oldest confirmation that the rules permit.
  const readBarrier = async (replica: Replica): Promise<Result<number, LogFailure>> => {
    const confirmed = isLeading(replica, replica.term)
    const index = committed.length
    await replica.process.clock.sleep(network.chooseDelay())
    if (!confirmed) return Err({ kind: 'no-leader', message: 'no majority confirmed the term' })
    applyUpTo(replica, index)
    return Ok(index)
  }

  const createLog = (process: SimulatedProcess): ReplicatedLog => {
    const replica: Replica = {
      process, state: createReplicatedState(), applied: 0, term: 0, leader: undefined, listeners: new Set()
    }
    replicas.set(process.host, replica)
    // A restarted process has not been elected, so the earlier leadership of its host ends.
    if (leader === process.host) leader = undefined
    return {
      propose: (entry, deadline) => replica.leader === process.host
        ? replicateEntry(replica, entry, deadline)
        : forwardEntry(replica, entry, deadline),
      readBarrier: () => readBarrier(replica),
      state: () => replica.state,
      status: () => ({
        role: replica.leader === process.host ? 'leader' : 'follower',
        term: replica.term,
        leader: replica.leader,
        commitIndex: replica.applied,
        appliedIndex: replica.applied,
        voters,
        learners: [],
        progress: [],
        survivableLosses: Math.floor((voters.length - 1) / 2)
      }),
      subscribe: (listener) => {
        replica.listeners.add(listener)
        return () => { replica.listeners.delete(listener) }
      },
      stop: async () => {}
    }
  }

  return {
    createLog,
    elect,
    leader: () => leader,
    committedState: () => committedState,
    onCommit: (listener) => { commitListeners.push(listener) }
  }
}
