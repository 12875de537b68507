import { Err, Ok, type Clock, type Random, type Result } from '../common/index.js'
import {
  applyEntry, createReplicatedState, type ReplicatedLog, type ReplicatedState, type AppliedEntry, type Entry, type LogFailure, type EntryOutcome
} from '../state/index.js'
import type { SimulatedNetwork } from './configNetwork.js'
import type { SimulatedProcess } from './simulatedProcess.js'

const HEARTBEAT_MS = 100
const ELECTION_TIMEOUT_MS = 1000
const COMMIT_RETRY_MS = 20

/** The agreed logs of several hosts, with elections, lagging followers and leaders that do not know that they were deposed. */
export interface ElectedLogs {
  /** The log of one process. A restarted process starts from an empty state and catches up. */
  createLog (process: SimulatedProcess): ReplicatedLog
  /** Elects a host when a majority of voters can vote for it. Returns whether it was elected. */
  elect (host: string): boolean
  leader (): string | undefined
  /** The state after every committed entry. */
  committedState (): ReplicatedState
  /** Called at the instant of a commit, before any host applies the entry. */
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
  const truth = createReplicatedState()
  let term = 0
  let leader: string | undefined
  let leaderSeenAt = base.now()

  const isActive = (host: string): boolean => replicas.get(host)?.process.isRunning() === true

  const hasMajority = (host: string): boolean => isActive(host) && voters.filter((voter) =>
    isActive(voter) && network.isLinked(host, voter) && network.isLinked(voter, host)).length * 2 > voters.length

  const isLeading = (replica: Replica, asTerm: number): boolean =>
    replicas.get(replica.process.host) === replica && leader === replica.process.host && term === asTerm &&
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
    const outcome = applyEntry(truth, entry)
    committed.push({ entry, outcome })
    commitListeners.forEach((listener) => listener(entry, outcome))
    replicas.forEach((replica) => { sendHeartbeat(replica) })
    return { outcome, index: committed.length }
  }

  /** Tells one host the term, the leader and the commit index as they are now, after a delay. */
  const sendHeartbeat = async (replica: Replica): Promise<void> => {
    const news = { term, leader, index: committed.length }
    if (news.leader === undefined || !isActive(news.leader) || !network.isLinked(news.leader, replica.process.host)) return
    await base.sleep(network.chooseDelay())
    await replica.process.waitUntilRunning()
    if (news.term < replica.term) return
    replica.term = news.term
    replica.leader = news.leader
    applyUpTo(replica, news.index)
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

  /** The leader's part of a proposal. It may lose the leadership while the entry is being replicated. */
  const replicateEntry = async (replica: Replica, entry: Entry, deadline: number): Promise<Result<AppliedEntry, LogFailure>> => {
    const asTerm = replica.term
    const { clock } = replica.process
    await clock.sleep(network.chooseDelay())
    const canStillCommit = (): boolean => term === asTerm && clock.now() < deadline
    while (!isLeading(replica, asTerm) && canStillCommit()) await clock.sleep(COMMIT_RETRY_MS)
    if (!isLeading(replica, asTerm)) {
      // The next leader may have the entry and commit it, which the proposer cannot know.
      if (term !== asTerm && leader !== undefined && hasMajority(leader) && random.below(2) === 0) commitEntry(entry)
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

  // The quorum is checked at the start and the answer comes later, the latest use that the rules permit.
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
    // A process that restarts was not elected; its host's earlier leadership has ended.
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
    committedState: () => truth,
    onCommit: (listener) => { commitListeners.push(listener) }
  }
}
