import { updateCommit } from './apply.js'
import {
  appendCommand, checkEnvelope, countMajority, getPeerKey, getVoters, isLeading, isSelf, isVoter, resetElectionDeadline,
  saveFormation, saveHardState, updateTerm, type Context
} from './context.js'
import { announceLeadership, sendJoin } from './joining.js'
import type { RefusedReply, Voter, VoteReply, VoteRequest } from './messages.js'
import { updatePeers } from './replication.js'
import {
  ELECTION_MAX_MS, ELECTION_MIN_MS, ELECTION_RETRY_MAX_MS, ELECTION_RETRY_MIN_MS, JOIN_INTERVAL_MS, LEADER_CHECK_MS,
  LEADER_CONTACT_MS, LEARNER_EXPIRY_MS, VOTE_TIMEOUT_MS
} from './timing.js'

/** Starts elections when no leader is heard, and ends a leadership that has lost its majority. */
export async function runElections (context: Context): Promise<void> {
  resetElectionDeadline(context, ELECTION_MIN_MS, ELECTION_MAX_MS)
  if (isOnlyVoter(context)) context.electionDeadline = -Infinity
  while (!context.stopped) {
    if (context.role === 'leader') {
      checkLeadership(context)
      await context.electionWake.wait(LEADER_CHECK_MS)
      continue
    }
    const remaining = context.electionDeadline - context.clock.now()
    if (remaining > 0) {
      await context.electionWake.wait(remaining)
      continue
    }
    await runWithoutLeader(context)
  }
}

async function runWithoutLeader (context: Context): Promise<void> {
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
  // A voter that does not answer must not delay the next attempt, which another voter may then allow.
  const waitMs = context.electionDeadline - context.clock.now()
  const isPossible = await Promise.race([runPreVote(context), context.clock.sleep(waitMs).then(() => false)])
  if (isPossible) return runElection(context, false)
  // A voter that was removed while it was away learns that from the leader only when it announces itself.
  if (context.clock.now() - context.lastJoin >= JOIN_INTERVAL_MS) sendJoin(context)
}

/** Asks whether an election could be won, so that a host that was isolated does not raise the term of the others. */
async function runPreVote (context: Context): Promise<boolean> {
  const term = context.term
  const isPossible = await waitForVotes(context, createVoteRequest(context, 'probe', term + 1, false))
  return isPossible && context.term === term && context.role !== 'leader' && !context.stopped &&
    context.clock.now() - context.lastHeard >= ELECTION_MIN_MS
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
  // A new random time after each attempt; two candidates that wait for the same lost voter would otherwise stay in step.
  resetElectionDeadline(context, ELECTION_RETRY_MIN_MS, ELECTION_RETRY_MAX_MS)
}

function startLeadership (context: Context): void {
  context.role = 'leader'
  context.leader = context.self
  context.handingOver = false
  context.lastElected = context.clock.now()
  context.logger.info('log.lead', { term: context.term })
  context.peers.clear()
  context.learners.clear()
  // Earlier entries are committed only together with one of the leader's own term.
  appendCommand(context, { kind: 'noop' })
  updatePeers(context)
  updateCommit(context)
  announceLeadership(context)
  context.progress.notify()
}

/** Steps down when a majority was not reached, because another leader may exist by then. */
function checkLeadership (context: Context): void {
  const now = context.clock.now()
  const voters = getVoters(context)
  const heard = voters
    .map((voter) => isSelf(context, voter) ? now : context.peers.get(getPeerKey(voter))?.lastHeard ?? -Infinity)
    .sort((a, b) => b - a)
  const majorityHeard = Math.max(context.lastElected, heard[countMajority(voters) - 1] ?? -Infinity)
  if (now - majorityHeard > LEADER_CONTACT_MS) {
    context.logger.warn('log.majority-lost', { term: context.term })
    updateTerm(context, context.term, undefined)
    resetElectionDeadline(context, ELECTION_MIN_MS, ELECTION_MAX_MS)
    return
  }
  const expired = [...context.learners].filter(([, learner]) => now - learner.lastHeard > LEARNER_EXPIRY_MS)
  expired.forEach(([key]) => context.learners.delete(key))
  if (expired.length > 0) updatePeers(context)
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
  const hasLeader = context.role === 'leader' || context.clock.now() - context.lastHeard < ELECTION_MIN_MS
  // A host without a disk cannot keep a vote.
  if (context.store === undefined || (hasLeader && !request.handover)) return { term: context.term, granted: false }
  if (request.phase === 'probe') return { term: context.term, granted: request.term > context.term && isRecentEnough(context, request) }
  if (request.term > context.term) updateTerm(context, request.term, undefined)
  const candidate = getPeerKey({ host: from, incarnation: request.incarnation })
  const isFree = context.vote === undefined || context.vote === candidate
  const granted = request.term === context.term && isRecentEnough(context, request) && isFree
  if (granted) {
    context.vote = candidate
    resetElectionDeadline(context, ELECTION_MIN_MS, ELECTION_MAX_MS)
    if (!await saveFormation(context, request.formation)) return { refused: 'stopped' }
  }
  if (!await saveHardState(context)) return { refused: 'stopped' }
  return { term: context.term, granted }
}

/** Whether the candidate's log is at least as recent as the log of this host. */
function isRecentEnough ({ log }: Context, request: VoteRequest): boolean {
  const lastTerm = log.getTerm(log.lastIndex) ?? 0
  return request.lastTerm > lastTerm || (request.lastTerm === lastTerm && request.lastIndex >= log.lastIndex)
}

function isOnlyVoter (context: Context): boolean {
  return isVoter(context) && getVoters(context).length === 1
}

/** Takes over from a leader that stops. */
export async function handleHandover (context: Context, request: { formation: number, to: string, term: number }): Promise<unknown> {
  const refusal = checkEnvelope(context, request)
  if (refusal !== undefined) return refusal
  if (request.term === context.term && context.role !== 'leader' && isVoter(context)) runElection(context, true)
  return {}
}

/** Passes leadership to the voter that holds the most. Resolves with whether this host no longer leads. */
export async function releaseLeadership (context: Context, deadline: number): Promise<boolean> {
  const { term, clock, network, log } = context
  if (!isLeading(context, term)) return true
  const now = clock.now()
  const target = [...context.peers.values()]
    .filter((peer) => peer.isVoter && now - peer.lastHeard < LEADER_CONTACT_MS)
    .sort((a, b) => b.matchIndex - a.matchIndex)[0]
  if (target === undefined) return false
  context.handingOver = true
  while (isLeading(context, term) && target.matchIndex < log.lastIndex && clock.now() < deadline) {
    await context.progress.wait(deadline - clock.now())
  }
  if (isLeading(context, term) && target.matchIndex >= log.lastIndex) {
    await network.request(target.host, 'log.handover', { formation: context.formation, to: target.incarnation, term }, deadline)
  }
  while (isLeading(context, term) && clock.now() < deadline) await context.progress.wait(deadline - clock.now())
  context.handingOver = false
  return !isLeading(context, term)
}
