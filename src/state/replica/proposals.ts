import { Err, Ok, type Result } from '../../common/index.js'
import type { AppliedEntry, LogFailure } from '../replicatedLog.js'
import { entrySchema, type Entry } from '../schemas.js'
import { appendEncoded, createOutcomeUnknown, isLeading, type Context } from './context.js'
import { encodeCommand, type ProposeReply, type ProposeRequest, type ReadReply } from './messages.js'
import { waitUntil } from './notifier.js'
import { scheduleReadRound, waitForConfirmationRound } from './rounds.js'
import { FORWARD_TIMEOUT_MS, HEARTBEAT_MS, LEADER_LOOKUP_RETRY_MS, MAX_ENTRY_BYTES, MAX_PENDING_PROPOSALS } from './timing.js'

/** Replies cached for each origin. A message older than the messages of all cached replies is answered with `outcome-unknown`. */
const MAX_CACHED_REPLIES = 2048
const MAX_CACHED_ORIGINS = 256
/** Largest assumed difference between the rates of two hosts' clocks, as a fraction. */
const CLOCK_DRIFT = 0.01

type ProposeResult = Result<AppliedEntry, LogFailure>

/**
 * Proposes an entry on this host if it leads, else on the leader. A message with an unknown outcome is resent only in the same
 * term, because only the leader of that term can recognise the duplicate.
 */
export async function propose (context: Context, entry: Entry, deadline: number): Promise<ProposeResult> {
  const { clock } = context
  const checked = checkEntry(entry)
  if (checked.err) return checked
  context.proposalSequence += 1
  const sequence = context.proposalSequence
  let sentInTerm: number | undefined
  while (clock.now() < deadline && !context.stopped) {
    const { term, leader } = context
    if (sentInTerm !== undefined && sentInTerm !== term) return createOutcomeUnknown('the leader changed before it answered')
    if (canPropose(context, term)) return proposeLocally(context, checked.val.bytes, deadline)
    const attempt = await sendProposal(context, leader, { term, origin: `${context.self}/${context.processId}`, sequence, entry: checked.val.entry, remainingMs: deadline - clock.now() }, deadline)
    if (attempt.kind === 'answered') return waitForApplied(context, attempt.reply, deadline)
    if (attempt.kind === 'unknown') sentInTerm = term
    if (!canPropose(context, context.term)) await context.progress.wait(Math.max(0, Math.min(LEADER_LOOKUP_RETRY_MS, deadline - clock.now())))
  }
  if (sentInTerm !== undefined) return createOutcomeUnknown('the leader did not answer before the deadline')
  return context.stopped ? createStopped() : Err({ kind: 'no-leader', message: 'no leader was reached before the deadline' })
}

type Attempt =
  | { kind: 'answered', reply: Exclude<ProposeReply, { kind: 'not-leader' }> }
  | { kind: 'not-sent' }
  | { kind: 'unknown' }

async function sendProposal (context: Context, leader: string | undefined, request: ProposeRequest, deadline: number): Promise<Attempt> {
  if (leader === undefined || leader === context.self) return { kind: 'not-sent' }
  const attemptDeadline = Math.min(deadline, context.clock.now() + FORWARD_TIMEOUT_MS)
  const sentAt = context.clock.now()
  const result = await context.network.request(leader, 'log.propose', request, attemptDeadline)
  if (result.err) return { kind: result.val.kind === 'unreachable' ? 'not-sent' : 'unknown' }
  const reply = result.val as ProposeReply
  if (reply.kind !== 'not-leader') return { kind: 'answered', reply }
  // If the leader's process started after the message was sent, an earlier process may have appended a copy of it. Only a
  // process that was running at that time can rule this out, with a margin for clock drift.
  const elapsedMs = (context.clock.now() - sentAt) * (1 + CLOCK_DRIFT)
  return { kind: reply.upMs * (1 - CLOCK_DRIFT) > elapsedMs ? 'not-sent' : 'unknown' }
}

export async function handlePropose (context: Context, request: ProposeRequest): Promise<ProposeReply> {
  // The cached reply comes first: this host may have appended a copy of the message before it lost its leadership.
  const known = context.proposalReplies.get(request.origin)?.get(request.sequence)
  if (known !== undefined) return known
  if (!canPropose(context, request.term)) return { kind: 'not-leader', upMs: context.clock.now() - context.startedAt }
  const replies = getReplies(context, request.origin)
  const oldest = replies.size > MAX_CACHED_REPLIES ? replies.keys().next().value ?? 0 : 0
  if (request.sequence < oldest) return { kind: 'failed', failure: { kind: 'outcome-unknown', message: 'the message is too old' } }
  const reply = proposeForwarded(context, request)
    .then((result): ProposeReply => result.ok ? { kind: 'applied', value: result.val } : { kind: 'failed', failure: result.val })
  replies.set(request.sequence, reply)
  if (replies.size > MAX_CACHED_REPLIES + 1) replies.delete(oldest)
  return reply
}

/**
 * Read barrier (Raft ReadIndex): the leader confirms its leadership by a round of messages to a majority, without relying on
 * clocks, and the caller waits until the leader's commit index is applied here.
 */
export async function readBarrier (context: Context, deadline: number): Promise<Result<number, LogFailure>> {
  const { clock } = context
  while (clock.now() < deadline) {
    const { term, leader } = context
    if (context.stopped) return createStopped()
    const index = isLeading(context, term)
      ? await confirmLeadership(context, term, deadline)
      : await sendRead(context, leader, deadline)
    if (index !== undefined) {
      const isApplied = await waitUntil(clock, context.progress, deadline, () => context.appliedIndex >= index || context.stopped)
      if (isApplied && !context.stopped) return Ok(index)
      continue
    }
    await context.progress.wait(Math.max(0, Math.min(LEADER_LOOKUP_RETRY_MS, deadline - clock.now())))
  }
  return Err({ kind: 'no-leader', message: 'no leader was confirmed before the deadline' })
}

export async function handleRead (context: Context, request: { remainingMs: number }): Promise<ReadReply> {
  const index = isLeading(context, context.term)
    ? await confirmLeadership(context, context.term, context.clock.now() + request.remainingMs)
    : undefined
  return index === undefined ? { kind: 'not-leader' } : { kind: 'current', index }
}

async function sendRead (context: Context, leader: string | undefined, deadline: number): Promise<number | undefined> {
  if (leader === undefined || leader === context.self) return undefined
  const attemptDeadline = Math.min(deadline, context.clock.now() + FORWARD_TIMEOUT_MS)
  const result = await context.network.request(leader, 'log.read', { remainingMs: attemptDeadline - context.clock.now() }, attemptDeadline)
  if (result.err) return undefined
  const reply = result.val as ReadReply
  return reply.kind === 'current' ? reply.index : undefined
}

async function confirmLeadership (context: Context, term: number, deadline: number): Promise<number | undefined> {
  const { clock, progress } = context
  // A new leader does not know which entries its predecessor committed until an entry of its own term is committed.
  const isReady = await waitUntil(clock, progress, deadline, () =>
    !isLeading(context, term) || context.log.getTerm(context.commitIndex) === term)
  if (!isReady || !isLeading(context, term)) return undefined
  const index = context.commitIndex
  const isConfirmed = await waitForConfirmationRound(context, term, scheduleReadRound(context), deadline)
  return isConfirmed ? index : undefined
}

/**
 * Appends a forwarded entry after checking it again: a host of another version may send an entry that this version cannot
 * apply, and an appended entry has to be applied by every host.
 */
async function proposeForwarded (context: Context, request: ProposeRequest): Promise<ProposeResult> {
  const checked = context.work.measure('log.check', () => checkEntry(request.entry))
  return checked.err ? checked : proposeLocally(context, checked.val.bytes, context.clock.now() + request.remainingMs)
}

async function proposeLocally (context: Context, bytes: Uint8Array, deadline: number): Promise<ProposeResult> {
  if (context.pendingProposals.size >= MAX_PENDING_PROPOSALS) return Err({ kind: 'not-recorded', message: 'too many proposals are waiting' })
  const { term } = context
  const index = appendEncoded(context, bytes)
  const result = await new Promise<ProposeResult>((resolve) => {
    const earlier = context.pendingProposals.get(index)
    earlier?.resolve(createOutcomeUnknown('this host leads again and no longer follows the entry'))
    context.pendingProposals.set(index, { term, deadline, resolve })
    context.proposalDeadlineAlarm.set(deadline)
  })
  if (context.pendingProposals.get(index)?.term === term) context.pendingProposals.delete(index)
  return result
}

/**
 * Waits, after the leader's reply, until this host has applied the entry as well, so that the caller sees its own change.
 * Returns after two heartbeat intervals at the latest, for a host that is far behind.
 */
async function waitForApplied (context: Context, reply: Exclude<ProposeReply, { kind: 'not-leader' }>, deadline: number): Promise<ProposeResult> {
  if (reply.kind === 'failed') return Err(reply.failure)
  const limit = Math.min(deadline, context.clock.now() + 2 * HEARTBEAT_MS)
  await waitUntil(context.clock, context.progress, limit, () => context.appliedIndex >= reply.value.index || context.stopped)
  return Ok(reply.value)
}

/** Checks what every host checks before it proposes an entry, and returns the encoded form. */
export function checkEntry (entry: Entry): Result<{ entry: Entry, bytes: Uint8Array }, LogFailure> {
  const parsed = entrySchema.safeParse(entry)
  if (!parsed.success) return Err({ kind: 'invalid-entry', message: parsed.error.message })
  const bytes = encodeCommand(parsed.data)
  const size = bytes.length
  return size > MAX_ENTRY_BYTES
    ? Err({ kind: 'entry-too-large', message: `the entry has ${size} bytes; at most ${MAX_ENTRY_BYTES} are allowed`, bytes: size, limit: MAX_ENTRY_BYTES })
    : Ok({ entry: parsed.data, bytes })
}

function canPropose (context: Context, term: number): boolean {
  return isLeading(context, term) && !context.transferringLeadership
}

function getReplies (context: Context, origin: string): Map<number, Promise<ProposeReply>> {
  const existing = context.proposalReplies.get(origin)
  if (existing !== undefined) return existing
  const oldest = context.proposalReplies.size >= MAX_CACHED_ORIGINS ? context.proposalReplies.keys().next().value : undefined
  if (oldest !== undefined) context.proposalReplies.delete(oldest)
  const replies = new Map<number, Promise<ProposeReply>>()
  context.proposalReplies.set(origin, replies)
  return replies
}

function createStopped (): Result<never, LogFailure> {
  return Err({ kind: 'stopped', message: 'this host has stopped' })
}
