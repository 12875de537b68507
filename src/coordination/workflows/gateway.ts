import { runSupervised, type Clock, type Logger, type Network } from '../../common/index.js'
import type { RequestLimits } from '../../state/index.js'
import { createVersionOrder } from './versionOrder.js'
import { WORKFLOW_MESSAGE, type ClientRequest, type WorkflowReply, type WorkflowRequest } from './messages.js'

/** Time-out of one try at one host; a leader answers after one sync of its disk and one round trip. */
const TRY_TIMEOUT_MS = 1500
const RETRY_MS = 60
/** Retry-After while no leader is known; the time without a leader is below 2 s (docs/design.md). */
const NO_LEADER_RETRY_MS = 1000
const PING_INTERVAL_MS = 500
const PING_TIMEOUT_MS = 700
/** Interval of the searches for a leader. A search does not wait for hosts that are silent; their answers count when they come. */
const SEARCH_INTERVAL_MS = 250
/** A request waits at most this long for a leader to become known; covers most of the time of an election. */
const LEADER_WAIT_MS = 1200
/** This host is not ready if the last answer of the leader is older than this. */
const CONTACT_TIMEOUT_MS = 1500
/** If the last answer of a leader is older than this, requests are refused without waiting; elections take less time. */
const LEADER_LOST_MS = 3000

/** Answers that say that the request changed nothing and will not take effect later. */
const REFUSALS: ReadonlySet<WorkflowReply['kind']> = new Set(['not-run', 'overloaded', 'no-queue', 'no-workflow'])

export interface WorkflowGatewayOptions {
  clock: Clock
  logger: Logger
  network: Network
  /** Hosts that may know the leader. */
  seeds: string[]
  /** For this long after the first request that a catalog version has answered, later requests may be answered by an older one. */
  reorderMs: number
}

export interface WorkflowGateway {
  /** Forwards a request to the current leader; follows changes of the leader and retries until the deadline. */
  send (request: ClientRequest, deadline: number): Promise<WorkflowReply>
  /** True while the leader answers and has a catalog. */
  isReady (): boolean
  /** The limits of the catalog that the leader last reported; undefined until then, or if it has none. */
  getLimits (): RequestLimits | undefined
  /** Replaces the seed hosts, which are asked for the leader in addition to the voters. */
  updateSeeds (seeds: string[]): void
  stop (): Promise<void>
}

/** Forwards the workflow requests of an entry host to the leader; keeps no workflow state itself. */
export function createWorkflowGateway ({ clock, logger, network, ...options }: WorkflowGatewayOptions): WorkflowGateway {
  const stopping = new AbortController()
  let { seeds } = options
  let hosts = [...seeds]
  let leader: string | undefined
  /** True if `leader` has answered as the leader itself, and is not only named by another host. */
  let isConfirmed = false
  let answeredAt = -Infinity
  let hasCatalog = false
  let limits: RequestLimits | undefined
  let wasReady = false
  /** Tries that wait for the answer of a host. */
  const tries = new Set<{ host: string, abandon (): void }>()
  // Half of the tolerance is left for the transfer of the requests.
  const versionOrder = createVersionOrder(options.reorderMs / 2)

  const recordVoters = (voters: string[]): void => {
    if (voters.length > 0) hosts = [...new Set([...voters, ...seeds])]
  }

  const setLeader = (host: string | undefined, confirmed: boolean): void => {
    leader = host
    isConfirmed = confirmed
  }

  const recordReply = (from: string, reply: WorkflowReply): void => {
    if (reply.kind === 'not-leader') {
      recordVoters(reply.voters)
      // Pings tell when a leader that has answered itself no longer does; the word of a follower may be older.
      if (isConfirmed && leader !== from) return
      if (reply.leader !== undefined && reply.leader !== from) setLeader(reply.leader, false)
      else if (leader === from) setLeader(undefined, false)
      return
    }
    if (leader !== from) logger.info('leader.found', { leader: from })
    setLeader(from, true)
    tries.forEach((current) => { if (current.host !== from) current.abandon() })
    answeredAt = clock.now()
    if (reply.kind !== 'pong') return
    hasCatalog = reply.hasCatalog
    limits = reply.limits
    recordVoters(reply.voters)
  }

  /** Sends a request to one host; any answer other than `not-leader` comes from the leader. */
  const ask = async (host: string, request: WorkflowRequest, deadline: number): Promise<WorkflowReply | 'not-sent' | 'no-answer'> => {
    const result = await network.request(host, WORKFLOW_MESSAGE, request, deadline)
    if (result.err) {
      if (leader === host) setLeader(undefined, false)
      return result.val.kind === 'unreachable' ? 'not-sent' : 'no-answer'
    }
    const reply = result.val as WorkflowReply
    recordReply(host, reply)
    return reply
  }

  /** Asks the leader like `ask`, and resolves with `no-answer` as soon as another host has answered as the leader. */
  const askLeader = async (host: string, request: WorkflowRequest, deadline: number): ReturnType<typeof ask> => {
    const current = { host, abandon: () => {} }
    const isSuperseded = new Promise<'no-answer'>((resolve) => { current.abandon = () => resolve('no-answer') })
    tries.add(current)
    const reply = await Promise.race([ask(host, request, deadline), isSuperseded])
    tries.delete(current)
    return reply
  }

  /** Asks all known hosts for the leader, and waits for their answers for at most `SEARCH_INTERVAL_MS`. */
  const findLeader = async (): Promise<void> => {
    const deadline = clock.now() + PING_TIMEOUT_MS
    const answers = Promise.all(hosts.map((host) => ask(host, { kind: 'ping' }, deadline)))
    await Promise.race([answers, clock.sleep(SEARCH_INTERVAL_MS)])
  }

  const runPings = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const deadline = clock.now() + PING_TIMEOUT_MS
      if (leader !== undefined) await ask(leader, { kind: 'ping' }, deadline)
      if (leader === undefined) await findLeader()
      if (isReady() !== wasReady) {
        wasReady = isReady()
        logger.info(wasReady ? 'leader.contact' : 'leader.contact-lost', { leader, silentMs: Math.round(clock.now() - answeredAt), catalog: hasCatalog })
      }
      await clock.sleep(leader === undefined ? RETRY_MS : PING_INTERVAL_MS, stopping.signal)
    }
  }

  const shouldGiveUp = (waitUntil: number): boolean => clock.now() > waitUntil || clock.now() - answeredAt > LEADER_LOST_MS

  const isReady = (): boolean => hasCatalog && clock.now() - answeredAt < CONTACT_TIMEOUT_MS

  /** Waits for the retry delay, unless a leader other than the host that was asked is already known. */
  const waitForLeader = async (asked: string, deadline: number): Promise<void> => {
    if (leader === asked || leader === undefined) await clock.sleep(Math.min(RETRY_MS, Math.max(0, deadline - clock.now())))
  }

  /** Replaces an answer about a queue that contradicts the one to an earlier or later request. */
  const checkOrder = (reply: WorkflowReply, arrivedAt: number): WorkflowReply => {
    if (!('catalogVersion' in reply)) return reply
    const { catalogVersion } = reply
    if (!versionOrder.isKept(arrivedAt, catalogVersion)) {
      logger.warn('catalog.reordered', { version: catalogVersion, outcome: reply.kind, heldMs: Math.round(clock.now() - arrivedAt) })
      return { kind: 'not-run', retryAfterMs: RETRY_MS, reason: 'catalog-changed' }
    }
    versionOrder.record(arrivedAt, catalogVersion)
    return reply
  }

  const send: WorkflowGateway['send'] = async (request, deadline) => {
    let mayHaveRun = false
    const receivedAt = clock.now()
    const waitUntil = Math.max(clock.now(), answeredAt) + LEADER_WAIT_MS
    while (clock.now() < deadline && !stopping.signal.aborted) {
      const host = leader
      if (host === undefined) {
        // Without a leader the request is refused early, so that the client can try another entry host, unless an earlier try may have been recorded.
        if (!mayHaveRun && shouldGiveUp(waitUntil)) break
        await clock.sleep(Math.min(RETRY_MS, deadline - clock.now()))
        continue
      }
      const tryUntil = Math.min(deadline, clock.now() + TRY_TIMEOUT_MS)
      const reply = await askLeader(host, { ...request, remainingMs: tryUntil - clock.now(), heldMs: clock.now() - receivedAt }, tryUntil)
      if (typeof reply === 'object' && reply.kind !== 'not-leader') {
        // A leader may refuse the request while an earlier try of it is still in transit and may be recorded later.
        const mayContradict = mayHaveRun && request.kind !== 'read' && REFUSALS.has(reply.kind)
        return mayContradict ? { kind: 'unknown', reason: `${reply.kind} after a try without an answer` } : checkOrder(reply, receivedAt)
      }
      if (reply === 'no-answer') mayHaveRun = true
      await waitForLeader(host, deadline)
    }
    return mayHaveRun && request.kind !== 'read'
      ? { kind: 'unknown', reason: 'the leader did not answer in time' }
      : { kind: 'not-run', retryAfterMs: NO_LEADER_RETRY_MS, reason: 'no-leader' }
  }

  const loop = runSupervised({ clock, logger, event: 'gateway.failed', isStopped: () => stopping.signal.aborted }, runPings)

  return {
    send,
    isReady,
    getLimits: () => limits,
    updateSeeds: (updated) => {
      seeds = updated
      hosts = [...new Set([...hosts, ...updated])]
    },
    stop: async () => {
      stopping.abort()
      await loop
    }
  }
}
