import { Err, Ok, type Result } from '../../common/index.js'
import { appendCommand, countMajority, getPeerKey, getVoters, isLeading, isSelf, type Context, type Peer } from './context.js'
import { releaseLeadership } from './election.js'
import type { ChangeReply, ChangeRequest, MembershipChange, MembershipFailure, Voter } from './messages.js'
import { waitUntil } from './notifier.js'
import { updatePeers } from './replication.js'
import { listConfirmed, startRound } from './rounds.js'
import { FORWARD_TIMEOUT_MS, HANDOVER_WAIT_MS, LEADER_CONTACT_MS, LEADER_WAIT_MS, MAX_VOTERS } from './timing.js'

const MAX_REMEMBERED_CHANGES = 32

type ChangeResult = Result<Voter[], MembershipFailure>

/** Changes the voters, here or on the leader. A change that was made already succeeds again, so a resend is safe. */
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
    await context.progress.wait(Math.max(0, Math.min(LEADER_WAIT_MS, deadline - clock.now())))
  }
  return Err(failure)
}

export async function handleChange (context: Context, request: ChangeRequest): Promise<ChangeReply> {
  const known = context.changes.get(request.id)
  if (known !== undefined) return known
  const answer = applyChange(context, request)
  context.changes.set(request.id, answer)
  const oldest = context.changes.size > MAX_REMEMBERED_CHANGES ? context.changes.keys().next().value : undefined
  if (oldest !== undefined) context.changes.delete(oldest)
  return answer
}

async function applyChange (context: Context, request: ChangeRequest): Promise<ChangeReply> {
  const { term, change, remainingMs } = request
  if (!isLeading(context, term) || context.handingOver) return { kind: 'not-leader' }
  if (context.changing) return { kind: 'failed', failure: { kind: 'change-in-progress', message: 'another change of the voters is in progress' } }
  context.changing = true
  try {
    const deadline = context.clock.now() + remainingMs
    const leaving = change.kind === 'add' ? undefined : getVoters(context).find((voter) => voter.host === change.host)
    if (leaving !== undefined && isSelf(context, leaving) && getVoters(context).length > 1) return await handleOwnRemoval(context, change, deadline)
    const result = await changeHandlers[change.kind](context, change as never, deadline)
    return result.ok ? { kind: 'changed', voters: getVoters(context) } : { kind: 'failed', failure: result.val }
  } finally {
    context.changing = false
  }
}

type Step = Promise<Result<void, MembershipFailure>>
type ChangeOf<K extends MembershipChange['kind']> = Extract<MembershipChange, { kind: K }>

const changeHandlers: { [K in MembershipChange['kind']]: (context: Context, change: ChangeOf<K>, deadline: number) => Step } = {
  add: async (context, { host }, deadline) => {
    const peer = findCandidate(context, host)
    const existing = findVoter(context, host)
    if (existing !== undefined && (peer === undefined || isSelf(context, existing) || peer.isVoter)) return Ok(undefined)
    if (existing !== undefined) return Err(createUnsafe(context, `an earlier incarnation of ${host} is a voter; replace it`, getVoters(context)))
    return addVoter(context, host, deadline)
  },

  remove: async (context, { host }, deadline) => {
    const existing = findVoter(context, host)
    return existing === undefined ? Err({ kind: 'unknown-voter', host }) : commitVoters(context, listWithout(context, existing), deadline)
  },

  replace: async (context, { host, by }, deadline) => {
    const existing = findVoter(context, host)
    if (existing === undefined) return findVoter(context, by) === undefined ? Err({ kind: 'unknown-voter', host }) : Ok(undefined)
    if (by !== host && findVoter(context, by) !== undefined) return commitVoters(context, listWithout(context, existing), deadline)
    const caughtUp = await waitForCandidate(context, by, deadline)
    if (caughtUp.err) return caughtUp
    if (getPeerKey(caughtUp.val) === getPeerKey(existing)) return Ok(undefined)
    // A lost voter goes first, so that it never counts together with its replacement. One that works goes last.
    const isAlive = isReachable(context, existing)
    const addsFirst = isAlive && getVoters(context).length < MAX_VOTERS
    const first = addsFirst
      ? await addVoter(context, by, deadline)
      : await commitVoters(context, listWithout(context, existing), deadline)
    if (first.err) return first
    return addsFirst
      ? commitVoters(context, listWithout(context, existing), deadline)
      : addVoter(context, by, deadline)
  }
}

async function addVoter (context: Context, host: string, deadline: number): Step {
  if (getVoters(context).length >= MAX_VOTERS) return Err({ kind: 'too-many-voters', limit: MAX_VOTERS })
  const candidate = await waitForCandidate(context, host, deadline)
  if (candidate.err) return candidate
  const { incarnation, availabilityZone } = candidate.val
  return commitVoters(context, [...getVoters(context), { host, incarnation, availabilityZone }], deadline)
}

/** A host is promoted only when it holds everything that is committed. */
async function waitForCandidate (context: Context, host: string, deadline: number): Promise<Result<Peer, MembershipFailure>> {
  const { clock, term } = context
  const isConnected = await waitUntil(clock, context.progress, Math.min(deadline, clock.now() + 2 * FORWARD_TIMEOUT_MS), () => findCandidate(context, host) !== undefined)
  const peer = findCandidate(context, host)
  if (!isConnected || peer === undefined) return Err({ kind: 'not-connected', host, message: 'the host has not joined as a learner' })
  if (!peer.hasDisk) return Err({ kind: 'no-disk', host })
  const holdsLog = await waitUntil(clock, context.progress, deadline, () =>
    !isLeading(context, term) || (peer.matchIndex >= context.commitIndex && isReachable(context, peer)))
  return holdsLog && isLeading(context, term)
    ? Ok(peer)
    : Err({ kind: 'not-caught-up', host, matchIndex: peer.matchIndex, commitIndex: context.commitIndex })
}

async function commitVoters (context: Context, voters: Voter[], deadline: number): Step {
  const { clock, term, log } = context
  // One change at a time, and only after an entry of the leader's own term: otherwise two majorities could be disjoint.
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

/** A majority of the new voters must answer now; one that was heard a moment ago may be lost since. */
async function checkReachable (context: Context, voters: Voter[], deadline: number): Step {
  const limit = Math.min(deadline, context.clock.now() + LEADER_CONTACT_MS)
  const round = startRound(context)
  const needed = countMajority(voters)
  const isMajority = await waitUntil(context.clock, context.progress, limit, () => listConfirmed(context, voters, round).length >= needed)
  if (isMajority && voters.length > 0) return Ok(undefined)
  const reachable = listConfirmed(context, voters, round).map((voter) => voter.host)
  return Err({ kind: 'unsafe-change', message: 'no majority of the new voters can be reached', reachable, needed })
}

/**
 * The leader does not remove itself: it hands over first, and the change is made by its successor.
 * A replacement that is bound to be refused costs no change of the leader.
 */
async function handleOwnRemoval (context: Context, change: MembershipChange, deadline: number): Promise<ChangeReply> {
  const isNew = change.kind === 'replace' && findVoter(context, change.by) === undefined
  const candidate = isNew ? await waitForCandidate(context, change.by, deadline) : undefined
  if (candidate?.err) return { kind: 'failed', failure: candidate.val }
  const isReleased = await releaseLeadership(context, context.clock.now() + HANDOVER_WAIT_MS)
  return isReleased
    ? { kind: 'not-leader' }
    : { kind: 'failed', failure: createUnsafe(context, 'no other voter can take over leadership', getVoters(context)) }
}

function createUnsafe (context: Context, message: string, voters: Voter[]): MembershipFailure {
  const reachable = voters.filter((voter) => isReachable(context, voter)).map((voter) => voter.host)
  return { kind: 'unsafe-change', message, reachable, needed: countMajority(voters) }
}

function isReachable (context: Context, voter: { host: string, incarnation: string }): boolean {
  if (isSelf(context, voter)) return true
  const peer = context.peers.get(getPeerKey(voter))
  return peer !== undefined && context.clock.now() - peer.lastHeard < LEADER_CONTACT_MS + HANDOVER_WAIT_MS
}

/** The incarnation of a host that was heard last. */
function findCandidate (context: Context, host: string): Peer | undefined {
  return [...context.peers.values()]
    .filter((peer) => peer.host === host && peer.lastHeard > -Infinity)
    .sort((a, b) => b.lastHeard - a.lastHeard)[0]
}

function findVoter (context: Context, host: string): Voter | undefined {
  return getVoters(context).find((voter) => voter.host === host)
}

function listWithout (context: Context, leaving: Voter): Voter[] {
  return getVoters(context).filter((voter) => getPeerKey(voter) !== getPeerKey(leaving))
}
