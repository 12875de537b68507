import { countMajority, getPeerKey, getVoters, isLeading, isSelf, type Context } from './context.js'
import type { Voter } from './messages.js'
import { waitUntil } from './notifier.js'

/** Starts a round: each peer confirms it with its answer to a message that was sent from now on. */
export function startRound (context: Context): number {
  context.readRound += 1
  context.peers.forEach((peer) => peer.wake.notify())
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
