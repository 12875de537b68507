import type { Clock, Logger, Network } from '../../common/index.js'
import { WORKFLOW_MESSAGE, type ClientRequest, type WorkflowReply, type WorkflowRequest } from './messages.js'

/** One try at one host; a leader answers after one sync of its disk and one round trip. */
const TRY_TIMEOUT_MS = 1500
const RETRY_MS = 60
/** Retry-After while no leader is known; the time without a leader is below 2 s (docs/design.md). */
const NO_LEADER_RETRY_MS = 1000
const PING_EVERY_MS = 500
const PING_TIMEOUT_MS = 700
/** A request waits this long for a leader to be found, which is most of the time that an election takes. */
const LEADER_PATIENCE_MS = 1200
/** Without an answer of the leader for this long this host cannot serve. */
const CONTACT_MS = 1500
/** After this long without a leader a request is refused without waiting for one; elections take less. */
const LOST_LEADER_MS = 3000

export interface WorkflowGatewayOptions {
  clock: Clock
  logger: Logger
  network: Network
  /** Hosts that may know the leader. */
  seeds: string[]
}

export interface WorkflowGateway {
  /** Passes a request to the leader, wherever it is by then, until the deadline. */
  send (request: ClientRequest, deadline: number): Promise<WorkflowReply>
  /** True while the leader answers and has a catalog. */
  isReady (): boolean
  /** Hosts to ask for the leader from now on, beside those that it has named. */
  updateSeeds (seeds: string[]): void
  stop (): Promise<void>
}

/** The side of an entry host without workflows of its own: it knows who leads and nothing else. */
export function createWorkflowGateway ({ clock, logger, network, ...options }: WorkflowGatewayOptions): WorkflowGateway {
  const stopping = new AbortController()
  let { seeds } = options
  let hosts = [...seeds]
  let leader: string | undefined
  let answeredAt = -Infinity
  let hasCatalog = false
  let wasReady = false

  const recordVoters = (voters: string[]): void => {
    if (voters.length > 0) hosts = [...new Set([...voters, ...seeds])]
  }

  const recordReply = (from: string, reply: WorkflowReply): void => {
    if (reply.kind === 'not-leader') {
      recordVoters(reply.voters)
      if (reply.leader !== undefined && reply.leader !== from) leader = reply.leader
      else if (leader === from) leader = undefined
      return
    }
    if (leader !== from) logger.info('leader.found', { leader: from })
    leader = from
    answeredAt = clock.now()
    if (reply.kind !== 'pong') return
    hasCatalog = reply.hasCatalog
    recordVoters(reply.voters)
  }

  /** Asks one host; an answer of another kind than `not-leader` comes from the leader. */
  const ask = async (host: string, request: WorkflowRequest, deadline: number): Promise<WorkflowReply | 'not-sent' | 'no-answer'> => {
    const result = await network.request(host, WORKFLOW_MESSAGE, request, deadline)
    if (result.err) {
      if (leader === host) leader = undefined
      return result.val.kind === 'unreachable' ? 'not-sent' : 'no-answer'
    }
    const reply = result.val as WorkflowReply
    recordReply(host, reply)
    return reply
  }

  /** Asks all known hosts who leads. */
  const findLeader = async (deadline: number): Promise<void> => {
    await Promise.all(hosts.map((host) => ask(host, { kind: 'ping' }, deadline)))
  }

  const runPings = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const deadline = clock.now() + PING_TIMEOUT_MS
      if (leader !== undefined) await ask(leader, { kind: 'ping' }, deadline)
      if (leader === undefined) await findLeader(clock.now() + PING_TIMEOUT_MS)
      if (isReady() !== wasReady) {
        wasReady = isReady()
        logger.info(wasReady ? 'leader.contact' : 'leader.contact-lost', { leader, silentMs: Math.round(clock.now() - answeredAt), catalog: hasCatalog })
      }
      await clock.sleep(leader === undefined ? RETRY_MS : PING_EVERY_MS, stopping.signal)
    }
  }

  const isHopeless = (patience: number): boolean => clock.now() > patience || clock.now() - answeredAt > LOST_LEADER_MS

  const isReady = (): boolean => hasCatalog && clock.now() - answeredAt < CONTACT_MS

  /** A pause unless another leader than the one that was asked is known. */
  const waitForNews = async (asked: string, deadline: number): Promise<void> => {
    if (leader === asked || leader === undefined) await clock.sleep(Math.min(RETRY_MS, Math.max(0, deadline - clock.now())))
  }

  const send: WorkflowGateway['send'] = async (request, deadline) => {
    let isUnclear = false
    const receivedAt = clock.now()
    const patience = Math.max(clock.now(), answeredAt) + LEADER_PATIENCE_MS
    while (clock.now() < deadline && !stopping.signal.aborted) {
      const host = leader
      if (host === undefined) {
        // What cannot be served is refused at once, so that the client can turn to another host.
        if (!isUnclear && isHopeless(patience)) break
        await clock.sleep(Math.min(RETRY_MS, deadline - clock.now()))
        continue
      }
      const tryUntil = Math.min(deadline, clock.now() + TRY_TIMEOUT_MS)
      const reply = await ask(host, { ...request, remainingMs: tryUntil - clock.now(), heldMs: clock.now() - receivedAt }, tryUntil)
      if (typeof reply === 'object' && reply.kind !== 'not-leader') {
        // A later leader may answer that nothing was recorded while a copy of an earlier try is still under way.
        return isUnclear && reply.kind === 'not-run' ? { kind: 'unknown', reason: reply.reason } : reply
      }
      if (reply === 'no-answer') isUnclear = true
      await waitForNews(host, deadline)
    }
    return isUnclear && request.kind !== 'read'
      ? { kind: 'unknown', reason: 'the leader did not answer in time' }
      : { kind: 'not-run', retryAfterMs: NO_LEADER_RETRY_MS, reason: 'no-leader' }
  }

  const loop = runPings().catch((error: unknown) => {
    logger.error('gateway.failed', { message: error instanceof Error ? error.stack : String(error) })
  })

  return {
    send,
    isReady,
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
