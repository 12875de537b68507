import { appendEntry, getVoters, isVoter, saveFormation, saveHardState, updateTerm, type Context } from './context.js'
import { encodeCommand, type HelloReply, type JoinReply, type JoinRequest, type Voter } from './messages.js'
import { waitUntil } from './notifier.js'
import { updatePeers } from './replication.js'
import { HEARTBEAT_MS, VOTE_TIMEOUT_MS } from './timing.js'

const MAX_FORMATION = 2 ** 31
const FIRST_TERM = 1

/** Announces this host to all known hosts. The leader among them adds it as a learner and replicates the log to it. */
export async function sendJoin (context: Context): Promise<void> {
  const { incarnation, availabilityZone, store } = context
  context.lastJoinAt = context.clock.now()
  const request: JoinRequest = { incarnation, availabilityZone, hasDisk: store !== undefined }
  const known = listKnownHosts(context)
  const replies = await Promise.all(known.map((host) => sendRequest<JoinReply>(context, host, 'log.join', request)))
  const leader = replies.find((reply) => reply?.leader !== undefined)?.leader
  const isNew = leader !== undefined && leader !== context.self && !known.includes(leader)
  if (isNew) await sendRequest<JoinReply>(context, leader, 'log.join', request)
}

export async function handleJoin (context: Context, from: string, request: JoinRequest): Promise<JoinReply> {
  const isLeader = context.role === 'leader' && !context.stopped
  if (isLeader) {
    const key = `${from}/${request.incarnation}`
    const isKnown = context.peers.has(key)
    context.learners.set(key, { ...request, host: from, lastContactAt: context.clock.now() })
    if (!isKnown) context.logger.info('log.learner-joined', { host: from, incarnation: request.incarnation })
    updatePeers(context)
  }
  return { leader: context.leader, isLeader }
}

/**
 * Tells hosts that are not voters about the new leader. They would otherwise look for it only after their timeout for the
 * old leader.
 */
export function announceLeadership (context: Context): void {
  const voters = new Set(getVoters(context).map((voter) => voter.host))
  Object.keys(context.state.hosts)
    .filter((host) => !voters.has(host))
    .forEach((host) => { sendRequest(context, host, 'log.lead', {}) })
}

/** Joins the leader that has announced itself. If the sender has lost its leadership meanwhile, it ignores the request. */
export async function handleLeaderAnnouncement (context: Context, from: string): Promise<object> {
  const { incarnation, availabilityZone, store } = context
  const request: JoinRequest = { incarnation, availabilityZone, hasDisk: store !== undefined }
  if (!context.stopped && !isVoter(context)) await sendRequest<JoinReply>(context, from, 'log.join', request)
  return {}
}

export async function handleHello (context: Context): Promise<HelloReply> {
  const { incarnation, availabilityZone, store, formation } = context
  return { incarnation, availabilityZone, hasDisk: store !== undefined, formed: formation !== undefined }
}

/**
 * Bootstraps the deployment: the first bootstrap voter in alphabetical order creates it once all bootstrap voters answer
 * and no host that was asked belongs to a deployment. The first log entry names the voters' incarnations, so a host that
 * loses its disk later, and is then another incarnation, never counts as one of the first voters.
 */
export async function runBootstrap (context: Context): Promise<void> {
  const { bootstrapVoters, self, store, clock } = context
  const isBootstrapHost = store !== undefined && [...bootstrapVoters].sort()[0] === self
  if (!isBootstrapHost) return
  while (!context.stopped && context.formation === undefined) {
    const voters = await findBootstrapVoters(context)
    if (voters !== undefined && context.formation === undefined) return commitBootstrap(context, voters)
    await clock.sleep(HEARTBEAT_MS)
  }
}

async function findBootstrapVoters (context: Context): Promise<Voter[] | undefined> {
  const others = context.bootstrapVoters.filter((host) => host !== context.self)
  const asked = [...new Set([...others, ...context.seeds])].filter((host) => host !== context.self)
  const replies = await Promise.all(asked.map(async (host) => {
    const reply = await sendRequest<HelloReply>(context, host, 'log.hello', {})
    return { host, reply }
  }))
  if (replies.some(({ reply }) => reply?.formed === true)) return undefined
  const voters = replies
    .filter(({ host, reply }) => others.includes(host) && reply?.hasDisk === true)
    .map(({ host, reply }) => ({ host, incarnation: reply?.incarnation ?? '', availabilityZone: reply?.availabilityZone ?? '' }))
  if (voters.length < others.length) return undefined
  return [{ host: context.self, incarnation: context.incarnation, availabilityZone: context.availabilityZone }, ...voters]
}

/**
 * Writes the first log entry, then saves the formation id. Without the id, a restart discards the entries of an interrupted
 * bootstrap.
 */
async function commitBootstrap (context: Context, voters: Voter[]): Promise<void> {
  updateTerm(context, FIRST_TERM, undefined)
  if (!await saveHardState(context)) return
  appendEntry(context, FIRST_TERM, encodeCommand({ kind: 'log.membership', voters }))
  await waitUntil(context.clock, context.progress, Infinity, () => context.stopped || context.durableIndex >= 1)
  if (!await saveFormation(context, context.random.below(MAX_FORMATION))) return
  context.logger.info('log.founded', { formation: context.formation, voters: voters.map((voter) => voter.host).join(',') })
  context.electionDeadline = -Infinity
  context.electionWake.notify()
}

function listKnownHosts (context: Context): string[] {
  const voters = context.memberships.at(-1)?.voters ?? []
  const names = [...context.bootstrapVoters, ...context.seeds, ...voters.map((voter) => voter.host), ...Object.keys(context.state.hosts)]
  return [...new Set(names)].filter((host) => host !== context.self)
}

async function sendRequest<T> (context: Context, host: string, kind: string, body: unknown): Promise<T | undefined> {
  const result = await context.network.request(host, kind, body, context.clock.now() + VOTE_TIMEOUT_MS)
  return result.ok ? result.val as T : undefined
}
