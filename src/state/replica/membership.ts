import { Err, Ok, type Result } from '../../common/index.js'
import { appendCommand, countMajority, getPeerKey, getVoters, isLeading, isSelf, type Context, type Peer } from './context.js'
import { releaseLeadership } from './election.js'
import type { ChangeReply, ChangeRequest, MembershipChange, MembershipFailure, Voter } from './messages.js'
import { waitUntil } from './notifier.js'
import { updatePeers } from './replication.js'
import { listConfirmedVoters, startConfirmationRound } from './rounds.js'
import { FORWARD_TIMEOUT_MS, LEADERSHIP_TRANSFER_TIMEOUT_MS, CONTACT_TIMEOUT_MS, LEADER_LOOKUP_RETRY_MS, MAX_VOTERS } from './timing.js'

const MAX_CACHED_CHANGES = 32

type ChangeResult = Result<Voter[], MembershipFailure>

/**
 * Changes the voters, on this host if it leads, else through the leader. Repeating a completed change succeeds, so a resend
 * is safe.
 */
export async function updateMembership (context: Context, change: MembershipChange, deadline: number): Promise<ChangeResult> {
  const { clock, network } = context
  let failure: MembershipFailure = { kind: 'no-leader', message: 'no leader was reached before the deadline' }
  while (clock.now() < deadline) {
    if (context.stopped) return Err({ kind: 'stopped', message: 'this host has stopped' })
    const { term, leader } = context
    context.proposalSequence += 1
    const id = `${context.self}/${context.processId}/${context.proposalSequence}`
    const remainingMs = deadline - clock.now()
    if (isLeading(context, term)) {
      const reply = await handleChange(context, { id, term, change, remainingMs })
      if (reply.kind === 'changed') return Ok(reply.voters)
      if (reply.kind === 'failed') return Err(reply.failure)
    } else if (leader !== undefined && leader !== context.self) {
      const result = await network.request(leader, 'log.change', { id, term, change, remainingMs }, deadline)
      const reply = result.ok ? result.val as ChangeReply : undefined
      if (reply?.kind === 'changed') return Ok(reply.voters)
      if (reply?.kind === 'failed') return Err(reply.failure)
      if (result.err && result.val.kind !== 'unreachable') failure = { kind: 'outcome-unknown', message: result.val.message }
    }
    await context.progress.wait(Math.max(0, Math.min(LEADER_LOOKUP_RETRY_MS, deadline - clock.now())))
  }
  return Err(failure)
}

export async function handleChange (context: Context, request: ChangeRequest): Promise<ChangeReply> {
  const known = context.changeReplies.get(request.id)
  if (known !== undefined) return known
  const reply = applyChange(context, request)
  context.changeReplies.set(request.id, reply)
  const oldest = context.changeReplies.size > MAX_CACHED_CHANGES ? context.changeReplies.keys().next().value : undefined
  if (oldest !== undefined) context.changeReplies.delete(oldest)
  return reply
}

async function applyChange (context: Context, request: ChangeRequest): Promise<ChangeReply> {
  const { term, change, remainingMs } = request
  if (!isLeading(context, term) || context.transferringLeadership) return { kind: 'not-leader' }
  if (context.changingMembership) return { kind: 'failed', failure: { kind: 'change-in-progress', message: 'another change of the voters is in progress' } }
  context.changingMembership = true
  try {
    const deadline = context.clock.now() + remainingMs
    const leaving = change.kind === 'add' ? undefined : getVoters(context).find((voter) => voter.host === change.host)
    if (leaving !== undefined && isSelf(context, leaving) && getVoters(context).length > 1) return await handleOwnRemoval(context, change, deadline)
    const result = await changeHandlers[change.kind](context, change as never, deadline)
    return result.ok ? { kind: 'changed', voters: getVoters(context) } : { kind: 'failed', failure: result.val }
  } finally {
    context.changingMembership = false
  }
}

type ChangeStep = Promise<Result<void, MembershipFailure>>
type ChangeOf<K extends MembershipChange['kind']> = Extract<MembershipChange, { kind: K }>

const changeHandlers: { [K in MembershipChange['kind']]: (context: Context, change: ChangeOf<K>, deadline: number) => ChangeStep } = {
  add: async (context, { host }, deadline) => {
    const peer = findConnectedPeer(context, host)
    const existing = findVoter(context, host)
    if (existing !== undefined && (peer === undefined || isSelf(context, existing) || peer.isVoter)) return Ok(undefined)
    if (existing !== undefined) return Err(createUnsafeChange(context, `an earlier incarnation of ${host} is a voter; replace it`, getVoters(context)))
    return addVoter(context, host, deadline)
  },

  remove: async (context, { host }, deadline) => {
    const existing = findVoter(context, host)
    return existing === undefined ? Err({ kind: 'unknown-voter', host }) : commitVoters(context, listVotersWithout(context, existing), deadline)
  },

  replace: async (context, { host, by }, deadline) => {
    const existing = findVoter(context, host)
    if (existing === undefined) return findVoter(context, by) === undefined ? Err({ kind: 'unknown-voter', host }) : Ok(undefined)
    if (by !== host && findVoter(context, by) !== undefined) return commitVoters(context, listVotersWithout(context, existing), deadline)
    const caughtUp = await waitForCaughtUpPeer(context, by, deadline)
    if (caughtUp.err) return caughtUp
    if (getPeerKey(caughtUp.val) === getPeerKey(existing)) return Ok(undefined)
    // A failed voter is removed first, so that the majority never counts it together with its replacement. A running voter is
    // removed last, so that the number of voters does not drop meanwhile, unless `MAX_VOTERS` are in place already.
    const isRunning = isReachable(context, existing)
    const addsFirst = isRunning && getVoters(context).length < MAX_VOTERS
    const first = addsFirst
      ? await addVoter(context, by, deadline)
      : await commitVoters(context, listVotersWithout(context, existing), deadline)
    if (first.err) return first
    return addsFirst
      ? commitVoters(context, listVotersWithout(context, existing), deadline)
      : addVoter(context, by, deadline)
  }
}

async function addVoter (context: Context, host: string, deadline: number): ChangeStep {
  if (getVoters(context).length >= MAX_VOTERS) return Err({ kind: 'too-many-voters', limit: MAX_VOTERS })
  const candidate = await waitForCaughtUpPeer(context, host, deadline)
  if (candidate.err) return candidate
  const { incarnation, availabilityZone } = candidate.val
  return commitVoters(context, [...getVoters(context), { host, incarnation, availabilityZone }], deadline)
}

/** Waits until a host has joined and has replicated every committed entry; only then may it become a voter. */
async function waitForCaughtUpPeer (context: Context, host: string, deadline: number): Promise<Result<Peer, MembershipFailure>> {
  const { clock, term } = context
  const isConnected = await waitUntil(clock, context.progress, Math.min(deadline, clock.now() + 2 * FORWARD_TIMEOUT_MS), () => findConnectedPeer(context, host) !== undefined)
  const peer = findConnectedPeer(context, host)
  if (!isConnected || peer === undefined) return Err({ kind: 'not-connected', host, message: 'the host has not joined as a learner' })
  if (!peer.hasDisk) return Err({ kind: 'no-disk', host })
  const isCaughtUp = await waitUntil(clock, context.progress, deadline, () =>
    !isLeading(context, term) || (peer.matchIndex >= context.commitIndex && isReachable(context, peer)))
  return isCaughtUp && isLeading(context, term)
    ? Ok(peer)
    : Err({ kind: 'not-caught-up', host, matchIndex: peer.matchIndex, commitIndex: context.commitIndex })
}

async function commitVoters (context: Context, voters: Voter[], deadline: number): ChangeStep {
  const { clock, term, log } = context
  // A change must wait until the previous change and an entry of the leader's own term are committed. Otherwise the majorities
  // of two voter sets could have no voter in common.
  const isReady = await waitUntil(clock, context.progress, deadline, () =>
    !isLeading(context, term) ||
    (log.getTerm(context.commitIndex) === term && (context.memberships.at(-1)?.index ?? 0) <= context.commitIndex))
  if (!isReady || !isLeading(context, term)) return Err({ kind: 'not-recorded', message: 'the leader changed, or an earlier change is not committed' })
  const unsafe = await checkReachable(context, voters, deadline)
  if (unsafe.err) return unsafe
  if (!isLeading(context, term)) return Err({ kind: 'not-recorded', message: 'the leader changed' })
  const index = appendCommand(context, { kind: 'log.membership', voters })
  updatePeers(context)
  context.logger.info('log.membership', { index, voters: voters.map((voter) => voter.host).join(',') })
  const isCommitted = await waitUntil(clock, context.progress, deadline, () => !isLeading(context, term) || context.commitIndex >= index)
  return isCommitted && isLeading(context, term)
    ? Ok(undefined)
    : Err({ kind: 'outcome-unknown', message: 'the change was not committed before the deadline' })
}

/** Requires a majority of the new voters to answer a message sent from now on; a voter that answered earlier may have failed since. */
async function checkReachable (context: Context, voters: Voter[], deadline: number): ChangeStep {
  const limit = Math.min(deadline, context.clock.now() + CONTACT_TIMEOUT_MS)
  const round = startConfirmationRound(context)
  const needed = countMajority(voters)
  const isMajority = await waitUntil(context.clock, context.progress, limit, () => listConfirmedVoters(context, voters, round).length >= needed)
  if (isMajority && voters.length > 0) return Ok(undefined)
  const reachable = listConfirmedVoters(context, voters, round).map((voter) => voter.host)
  return Err({ kind: 'unsafe-change', message: 'no majority of the new voters can be reached', reachable, needed })
}

/**
 * Handles a change that removes the leader itself: it transfers its leadership, and its successor makes the change. The
 * replacement is checked first, so that a change that must be refused does not cost a change of the leader.
 */
async function handleOwnRemoval (context: Context, change: MembershipChange, deadline: number): Promise<ChangeReply> {
  const isNew = change.kind === 'replace' && findVoter(context, change.by) === undefined
  const candidate = isNew ? await waitForCaughtUpPeer(context, change.by, deadline) : undefined
  if (candidate?.err) return { kind: 'failed', failure: candidate.val }
  const isReleased = await releaseLeadership(context, context.clock.now() + LEADERSHIP_TRANSFER_TIMEOUT_MS)
  return isReleased
    ? { kind: 'not-leader' }
    : { kind: 'failed', failure: createUnsafeChange(context, 'no other voter can take over leadership', getVoters(context)) }
}

function createUnsafeChange (context: Context, message: string, voters: Voter[]): MembershipFailure {
  const reachable = voters.filter((voter) => isReachable(context, voter)).map((voter) => voter.host)
  return { kind: 'unsafe-change', message, reachable, needed: countMajority(voters) }
}

function isReachable (context: Context, voter: { host: string, incarnation: string }): boolean {
  if (isSelf(context, voter)) return true
  const peer = context.peers.get(getPeerKey(voter))
  return peer !== undefined && context.clock.now() - peer.lastContactAt < CONTACT_TIMEOUT_MS + LEADERSHIP_TRANSFER_TIMEOUT_MS
}

/** Returns the incarnation of the host that has answered most recently. */
function findConnectedPeer (context: Context, host: string): Peer | undefined {
  return [...context.peers.values()]
    .filter((peer) => peer.host === host && peer.lastContactAt > -Infinity)
    .sort((a, b) => b.lastContactAt - a.lastContactAt)[0]
}

function findVoter (context: Context, host: string): Voter | undefined {
  return getVoters(context).find((voter) => voter.host === host)
}

function listVotersWithout (context: Context, leaving: Voter): Voter[] {
  return getVoters(context).filter((voter) => getPeerKey(voter) !== getPeerKey(leaving))
}
