import { updateCommit } from './apply.js'
import {
  appendCommand, checkEnvelope, countMajority, getPeerKey, getVoters, isLeading, isSelf, isVoter, resetElectionDeadline,
  saveFormation, saveHardState, updateTerm, type Context
} from './context.js'
import { announceLeadership, sendJoin } from './joining.js'
import type { RefusedReply, Voter, VoteReply, VoteRequest } from './messages.js'
import { updatePeers } from './replication.js'
import {
  ELECTION_MAX_MS, ELECTION_MIN_MS, ELECTION_RETRY_MAX_MS, ELECTION_RETRY_MIN_MS, JOIN_INTERVAL_MS, LEADERSHIP_CHECK_INTERVAL_MS,
  CONTACT_TIMEOUT_MS, FULL_DISK_HANDOVER_INTERVAL_MS, LEADERSHIP_TRANSFER_TIMEOUT_MS, LEARNER_EXPIRY_MS, VOTE_TIMEOUT_MS
} from './timing.js'

/** Election loop: starts an election when the leader's messages stop, and steps down as leader without contact to a majority. */
export async function runElections (context: Context): Promise<void> {
  resetElectionDeadline(context, ELECTION_MIN_MS, ELECTION_MAX_MS)
  if (isOnlyVoter(context)) context.electionDeadline = -Infinity
  while (!context.stopped) {
    if (context.role === 'leader') {
      checkLeadership(context)
      releaseIfFull(context)
      await context.electionWake.wait(LEADERSHIP_CHECK_INTERVAL_MS)
      continue
    }
    const remaining = context.electionDeadline - context.clock.now()
    if (remaining > 0) {
      await context.electionWake.wait(remaining)
      continue
    }
    await handleElectionTimeout(context)
  }
}

/** Runs at the election deadline: a voter tries to become leader, any other host looks for the leader. */
async function handleElectionTimeout (context: Context): Promise<void> {
  if (context.leader !== undefined) {
    context.logger.warn('log.leader-lost', { term: context.term, leader: context.leader })
    context.leader = undefined
    context.progress.notify()
  }
  if (!isVoter(context)) {
    resetElectionDeadline(context, JOIN_INTERVAL_MS, JOIN_INTERVAL_MS)
    return sendJoin(context)
  }
  resetElectionDeadline(context, ELECTION_RETRY_MIN_MS, ELECTION_RETRY_MAX_MS)
  // The wait for pre-votes ends at the retry deadline, so that a voter that does not answer cannot delay the next attempt, in
  // which the other voters may grant enough votes.
  const waitMs = context.electionDeadline - context.clock.now()
  const couldWin = await Promise.race([runPreVote(context), context.clock.sleep(waitMs).then(() => false)])
  if (couldWin) return runElection(context, false)
  // A voter that was removed while it was unreachable learns of its removal only from the leader, which contacts it once it joins.
  if (context.clock.now() - context.lastJoinAt >= JOIN_INTERVAL_MS) sendJoin(context)
}

/**
 * Pre-vote: asks whether this host could win an election, without raising the term. Prevents a formerly isolated host from
 * deposing a working leader by its higher term.
 */
async function runPreVote (context: Context): Promise<boolean> {
  const term = context.term
  const couldWin = await waitForVotes(context, createVoteRequest(context, 'probe', term + 1, false))
  return couldWin && context.term === term && context.role !== 'leader' && !context.stopped &&
    context.clock.now() - context.lastContactAt >= ELECTION_MIN_MS
}

export async function runElection (context: Context, handover: boolean): Promise<void> {
  const term = context.term + 1
  updateTerm(context, term, undefined)
  context.vote = getPeerKey({ host: context.self, incarnation: context.incarnation })
  context.role = 'candidate'
  if (!await saveHardState(context)) return
  if (context.term !== term || context.role !== 'candidate') return
  const isElected = await waitForVotes(context, createVoteRequest(context, 'vote', term, handover))
  if (context.term !== term || context.role !== 'candidate' || context.stopped) return
  if (isElected) return startLeadership(context)
  // The timeout is random after each attempt: two candidates that wait for the same failed voter would otherwise retry at the
  // same time and split the vote again and again.
  resetElectionDeadline(context, ELECTION_RETRY_MIN_MS, ELECTION_RETRY_MAX_MS)
}

function startLeadership (context: Context): void {
  context.role = 'leader'
  context.leader = context.self
  context.transferringLeadership = false
  context.electedAt = context.clock.now()
  context.logger.info('log.lead', { term: context.term })
  context.peers.clear()
  context.learners.clear()
  // Entries of earlier terms become committed only together with an entry of the leader's own term.
  appendCommand(context, { kind: 'noop' })
  updatePeers(context)
  updateCommit(context)
  announceLeadership(context)
  context.progress.notify()
}

/**
 * Steps down if a majority of the voters has not answered recently, because they may have elected another leader. Also
 * forgets learners that no longer answer.
 */
function checkLeadership (context: Context): void {
  const now = context.clock.now()
  const voters = getVoters(context)
  const contactTimes = voters
    .map((voter) => isSelf(context, voter) ? now : context.peers.get(getPeerKey(voter))?.lastContactAt ?? -Infinity)
    .sort((a, b) => b - a)
  const majorityContactAt = Math.max(context.electedAt, contactTimes[countMajority(voters) - 1] ?? -Infinity)
  if (now - majorityContactAt > CONTACT_TIMEOUT_MS) {
    context.logger.warn('log.majority-lost', { term: context.term })
    updateTerm(context, context.term, undefined)
    resetElectionDeadline(context, ELECTION_MIN_MS, ELECTION_MAX_MS)
    return
  }
  const expired = [...context.learners].filter(([, learner]) => now - learner.lastContactAt > LEARNER_EXPIRY_MS)
  expired.forEach(([key]) => context.learners.delete(key))
  if (expired.length > 0) updatePeers(context)
}

/**
 * Hands leadership over while the disk is full: the others hold what this host cannot store. Repeated, because this host may be
 * elected again meanwhile, for instance if only its snapshot lacks space, and because no other voter may be reachable at first.
 */
function releaseIfFull (context: Context): void {
  const now = context.clock.now()
  if (context.role !== 'leader' || now < context.fullDiskHandoverAt) return
  context.fullDiskHandoverAt = now + FULL_DISK_HANDOVER_INTERVAL_MS
  releaseLeadership(context, now + LEADERSHIP_TRANSFER_TIMEOUT_MS)
}

function createVoteRequest (context: Context, phase: VoteRequest['phase'], term: number, handover: boolean): VoteRequest {
  return {
    formation: context.formation ?? 0,
    to: '',
    term,
    incarnation: context.incarnation,
    lastIndex: context.log.lastIndex,
    lastTerm: context.log.getTerm(context.log.lastIndex) ?? 0,
    phase,
    handover
  }
}

/** Resolves with true as soon as a majority has granted, with false when that has become impossible. */
async function waitForVotes (context: Context, request: VoteRequest): Promise<boolean> {
  const voters = getVoters(context)
  const others = voters.filter((voter) => !isSelf(context, voter))
  const needed = countMajority(voters)
  let granted = voters.length - others.length
  if (granted >= needed) return true
  return new Promise((resolve) => {
    let open = others.length
    others.forEach(async (voter) => {
      if (await sendVoteRequest(context, voter, request)) granted += 1
      open -= 1
      if (granted >= needed) resolve(true)
      if (granted + open < needed) resolve(false)
    })
  })
}

async function sendVoteRequest (context: Context, voter: Voter, request: VoteRequest): Promise<boolean> {
  const deadline = context.clock.now() + VOTE_TIMEOUT_MS
  const result = await context.network.request(voter.host, 'log.vote', { ...request, to: voter.incarnation }, deadline)
  if (result.err) return false
  const reply = result.val as VoteReply | RefusedReply
  if ('refused' in reply) return false
  if (reply.term > context.term && !reply.granted) {
    updateTerm(context, reply.term, undefined)
    await saveHardState(context)
  }
  return reply.granted
}

export async function handleVote (context: Context, from: string, request: VoteRequest): Promise<VoteReply | RefusedReply> {
  const refusal = checkEnvelope(context, request)
  if (refusal !== undefined) return refusal
  const hasLeader = context.role === 'leader' || context.clock.now() - context.lastContactAt < ELECTION_MIN_MS
  // A host without a disk would forget its vote at a restart and could vote twice in a term.
  if (context.store === undefined || (hasLeader && !request.handover)) return { term: context.term, granted: false }
  if (request.phase === 'probe') return { term: context.term, granted: request.term > context.term && isLogUpToDate(context, request) }
  if (request.term > context.term) updateTerm(context, request.term, undefined)
  const candidate = getPeerKey({ host: from, incarnation: request.incarnation })
  const isFree = context.vote === undefined || context.vote === candidate
  const granted = request.term === context.term && isLogUpToDate(context, request) && isFree
  if (granted) {
    context.vote = candidate
    resetElectionDeadline(context, ELECTION_MIN_MS, ELECTION_MAX_MS)
    if (!await saveFormation(context, request.formation)) return { refused: 'stopped' }
  }
  if (!await saveHardState(context)) return { refused: 'stopped' }
  return { term: context.term, granted }
}

/** Whether the candidate's log is at least as up to date as the log of this host, compared by last term, then by last index. */
function isLogUpToDate ({ log }: Context, request: VoteRequest): boolean {
  const lastTerm = log.getTerm(log.lastIndex) ?? 0
  return request.lastTerm > lastTerm || (request.lastTerm === lastTerm && request.lastIndex >= log.lastIndex)
}

function isOnlyVoter (context: Context): boolean {
  return isVoter(context) && getVoters(context).length === 1
}

/** Starts an election at once, at the request of the leader, which transfers its leadership to this host. */
export async function handleLeadershipTransfer (context: Context, request: { formation: number, to: string, term: number }): Promise<unknown> {
  const refusal = checkEnvelope(context, request)
  if (refusal !== undefined) return refusal
  if (request.term === context.term && context.role !== 'leader' && isVoter(context)) runElection(context, true)
  return {}
}

/** Transfers leadership to the reachable voter with the longest replicated log. Resolves with true if this host no longer leads. */
export async function releaseLeadership (context: Context, deadline: number): Promise<boolean> {
  const { term, clock, network, log } = context
  if (!isLeading(context, term)) return true
  const now = clock.now()
  const target = [...context.peers.values()]
    .filter((peer) => peer.isVoter && now - peer.lastContactAt < CONTACT_TIMEOUT_MS)
    .sort((a, b) => b.matchIndex - a.matchIndex)[0]
  if (target === undefined) return false
  context.transferringLeadership = true
  while (isLeading(context, term) && target.matchIndex < log.lastIndex && clock.now() < deadline) {
    await context.progress.wait(deadline - clock.now())
  }
  if (isLeading(context, term) && target.matchIndex >= log.lastIndex) {
    await network.request(target.host, 'log.handover', { formation: context.formation, to: target.incarnation, term }, deadline)
  }
  while (isLeading(context, term) && clock.now() < deadline) await context.progress.wait(deadline - clock.now())
  context.transferringLeadership = false
  return !isLeading(context, term)
}
