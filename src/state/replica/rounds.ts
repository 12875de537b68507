import { countMajority, getPeerKey, getVoters, isLeading, isSelf, type Context } from './context.js'
import type { Voter } from './messages.js'
import { waitUntil } from './notifier.js'
import { READ_ROUND_GAP_MS } from './timing.js'

/** Starts a round: each peer confirms it with its answer to a message that was sent from now on. */
export function startRound (context: Context): number {
  context.wideRound = openRound(context)
  context.peers.forEach((peer) => peer.wake.notify())
  return context.wideRound
}

/**
 * A round for reads, which only voters confirm. Reads that come within the gap share one round, because each round
 * costs a message to every voter.
 */
export function scheduleReadRound (context: Context): number {
  const waitMs = context.lastRoundAt + READ_ROUND_GAP_MS - context.clock.now()
  if (waitMs > 0) {
    const round = context.readRound + 1
    if (context.scheduledRound < round) {
      context.scheduledRound = round
      runScheduledRound(context, round, waitMs)
    }
    return round
  }
  return openReadRound(context)
}

async function runScheduledRound (context: Context, round: number, waitMs: number): Promise<void> {
  await context.clock.sleep(waitMs)
  // A round that was started for another reason meanwhile serves the same reads.
  if (!context.stopped && context.readRound < round) openReadRound(context)
}

function openReadRound (context: Context): number {
  const round = openRound(context)
  context.peers.forEach((peer) => { if (peer.isVoter) peer.wake.notify() })
  context.progress.notify()
  return round
}

function openRound (context: Context): number {
  context.readRound += 1
  context.lastRoundAt = context.clock.now()
  return context.readRound
}

export function listConfirmed (context: Context, voters: Voter[], round: number): Voter[] {
  return voters.filter((voter) => isSelf(context, voter) || (context.peers.get(getPeerKey(voter))?.confirmedRound ?? 0) >= round)
}

/** Waits until a majority of the voters in force has confirmed the round. */
export async function waitForRound (context: Context, term: number, round: number, deadline: number): Promise<boolean> {
  const isFinished = await waitUntil(context.clock, context.progress, deadline, () => {
    const voters = getVoters(context)
    return !isLeading(context, term) || listConfirmed(context, voters, round).length >= countMajority(voters)
  })
  return isFinished && isLeading(context, term)
}
