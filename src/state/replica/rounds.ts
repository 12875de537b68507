import { countMajority, getPeerKey, getVoters, isLeading, isSelf, type Context } from './context.js'
import type { Voter } from './messages.js'
import { waitUntil } from './notifier.js'
import { READ_ROUND_INTERVAL_MS } from './timing.js'

/**
 * Starts a confirmation round of all peers. Rounds are numbered, and messages carry no round number: a peer confirms a round by
 * its reply to any append or snapshot message that was sent after the round began.
 */
export function startConfirmationRound (context: Context): number {
  context.allPeersRound = openConfirmationRound(context)
  context.peers.forEach((peer) => peer.wake.notify())
  return context.allPeersRound
}

/**
 * Returns the number of a round that confirms the leadership for a read; only voters have to confirm it. Reads within
 * `READ_ROUND_INTERVAL_MS` share one round, because each round costs a message to every voter.
 */
export function scheduleReadRound (context: Context): number {
  const waitMs = context.lastRoundAt + READ_ROUND_INTERVAL_MS - context.clock.now()
  if (waitMs > 0) {
    const round = context.latestRound + 1
    if (context.scheduledReadRound < round) {
      context.scheduledReadRound = round
      runScheduledRound(context, round, waitMs)
    }
    return round
  }
  return openReadRound(context)
}

async function runScheduledRound (context: Context, round: number, waitMs: number): Promise<void> {
  await context.clock.sleep(waitMs)
  // If another round of at least this number has started meanwhile, it confirms the leadership for these reads as well.
  if (!context.stopped && context.latestRound < round) openReadRound(context)
}

function openReadRound (context: Context): number {
  const round = openConfirmationRound(context)
  context.peers.forEach((peer) => { if (peer.isVoter) peer.wake.notify() })
  context.progress.notify()
  return round
}

function openConfirmationRound (context: Context): number {
  context.latestRound += 1
  context.lastRoundAt = context.clock.now()
  return context.latestRound
}

export function listConfirmedVoters (context: Context, voters: Voter[], round: number): Voter[] {
  return voters.filter((voter) => isSelf(context, voter) || (context.peers.get(getPeerKey(voter))?.confirmedRound ?? 0) >= round)
}

/**
 * Waits until a majority of the present voters has confirmed the round. Returns false if this host no longer leads the term
 * or the deadline has passed.
 */
export async function waitForConfirmationRound (context: Context, term: number, round: number, deadline: number): Promise<boolean> {
  const isFinished = await waitUntil(context.clock, context.progress, deadline, () => {
    const voters = getVoters(context)
    return !isLeading(context, term) || listConfirmedVoters(context, voters, round).length >= countMajority(voters)
  })
  return isFinished && isLeading(context, term)
}
