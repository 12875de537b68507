import { crc32 } from 'node:zlib'
import { applyCommitted, reportApplied } from './apply.js'
import {
  appendEntry, checkEnvelope, createOutcomeUnknown, isVoter, removeEntriesFrom, resetElectionDeadline, saveFormation, saveHardState,
  stopOnFailure, updateTerm, type Context
} from './context.js'
import { decodeSnapshot, type AppendReply, type AppendRequest, type RefusedReply, type SnapshotReply, type SnapshotRequest } from './messages.js'
import { waitUntil } from './notifier.js'
import { APPEND_TIMEOUT_MS, ELECTION_MAX_MS, ELECTION_MIN_MS, LEARNER_LEADER_TIMEOUT_MS, APPEND_SYNC_WAIT_MS } from './timing.js'

export async function handleAppend (context: Context, from: string, request: AppendRequest): Promise<AppendReply | RefusedReply> {
  const refusal = await admitLeader(context, from, request)
  if (refusal !== undefined) return 'refused' in refusal ? refusal : { term: refusal.term, matches: false, index: 0 }
  const { log } = context
  if (request.prevIndex > log.lastIndex) return { term: context.term, matches: false, index: log.lastIndex + 1 }
  // Pruned entries are committed, so they match those of the leader and are skipped.
  const skipped = Math.max(0, log.baseIndex - request.prevIndex)
  const prevIndex = request.prevIndex + skipped
  const lastIndex = request.prevIndex + request.entries.length
  if (skipped === 0 && log.getTerm(prevIndex) !== request.prevTerm) {
    return { term: context.term, matches: false, index: log.findFirstOfTerm(prevIndex) }
  }
  request.entries.slice(skipped).forEach(([term, bytes], position) => {
    updateEntry(context, prevIndex + 1 + position, term, bytes)
  })
  // An entry may have made this host a voter, and a voter's timeout is shorter than a learner's.
  recordLeaderContact(context)
  // A committed entry is durable on a majority of the voters, so this host may apply it before its own disk has synced it.
  if (!context.stopped) applyCommitted(context, Math.min(request.commit, lastIndex))
  await waitUntilDurable(context, lastIndex, APPEND_SYNC_WAIT_MS)
  if (context.stopped) return { refused: 'stopped' }
  if (context.term !== request.term) return { term: context.term, matches: false, index: lastIndex + 1 }
  return { term: context.term, matches: true, index: Math.min(context.durableIndex, lastIndex) }
}

export async function handleSnapshot (context: Context, from: string, request: SnapshotRequest): Promise<SnapshotReply | RefusedReply> {
  const refusal = await admitLeader(context, from, request)
  if (refusal !== undefined) return 'refused' in refusal ? refusal : { term: refusal.term, offset: 0 }
  if (request.index <= context.commitIndex) {
    await waitUntilDurable(context, request.index, APPEND_TIMEOUT_MS)
    return { term: context.term, offset: context.durableIndex < request.index ? 0 : request.size }
  }
  const key = [request.index, request.lastTerm, request.size, request.checksum].join(':')
  if (context.incomingSnapshot?.key !== key) context.incomingSnapshot = { key, bytes: new Uint8Array(request.size), received: 0 }
  const { incomingSnapshot } = context
  if (request.offset === incomingSnapshot.received) {
    incomingSnapshot.bytes.set(request.bytes, request.offset)
    incomingSnapshot.received += request.bytes.length
  }
  if (incomingSnapshot.received < request.size) return { term: context.term, offset: incomingSnapshot.received }
  context.incomingSnapshot = undefined
  if (crc32(incomingSnapshot.bytes) !== request.checksum) {
    context.logger.warn('log.snapshot-damaged', { index: request.index })
    return { term: context.term, offset: 0 }
  }
  const isInstalled = await applySnapshot(context, request, incomingSnapshot.bytes)
  return isInstalled ? { term: context.term, offset: request.size } : { refused: 'stopped' }
}

/**
 * Follows the sender as leader of its term; returns undefined, or the reason for a refusal. The term is saved to the disk
 * before the reply.
 */
async function admitLeader (context: Context, from: string, request: AppendRequest | SnapshotRequest): Promise<RefusedReply | { term: number } | undefined> {
  const refusal = checkEnvelope(context, request)
  if (refusal !== undefined) return refusal
  if (request.term < context.term) return { term: context.term }
  if (request.term === context.term && context.role === 'leader') {
    stopOnFailure(context, { kind: 'invariant-broken', message: `two leaders in term ${request.term}: ${from} and ${context.self}` })
    return { refused: 'stopped' }
  }
  updateTerm(context, request.term, from)
  recordLeaderContact(context)
  if (!await saveFormation(context, request.formation)) return { refused: 'stopped' }
  if (!await saveHardState(context)) return { refused: 'stopped' }
  return context.term === request.term ? undefined : { term: context.term }
}

function recordLeaderContact (context: Context): void {
  context.lastContactAt = context.clock.now()
  if (!isVoter(context)) {
    resetElectionDeadline(context, LEARNER_LEADER_TIMEOUT_MS, LEARNER_LEADER_TIMEOUT_MS)
  } else {
    resetElectionDeadline(context, ELECTION_MIN_MS, ELECTION_MAX_MS)
  }
}

/** Stores one entry from the leader. Removes this host's own entries from that index on if their term differs. */
function updateEntry (context: Context, index: number, term: number, bytes: Uint8Array): void {
  const { log } = context
  if (index <= log.lastIndex) {
    if (log.getTerm(index) === term) return
    if (index <= context.commitIndex) {
      return stopOnFailure(context, { kind: 'invariant-broken', message: `entry ${index} is committed and the leader has another one` })
    }
    removeEntriesFrom(context, index)
  }
  // Copies the bytes: they are a view that would keep the whole message in memory.
  appendEntry(context, term, new Uint8Array(bytes))
}

async function waitUntilDurable (context: Context, index: number, limitMs: number): Promise<void> {
  const deadline = context.clock.now() + limitMs
  await waitUntil(context.clock, context.progress, deadline, () => context.stopped || context.durableIndex >= index)
}

async function applySnapshot (context: Context, request: SnapshotRequest, bytes: Uint8Array): Promise<boolean> {
  const { log, store } = context
  const { index, lastTerm: term } = request
  const content = decodeSnapshot(bytes)
  const following = log.getTerm(index) === term ? log.listFrom(index + 1) : []
  const saving = store?.saveSnapshot({ index, term, bytes }, following)
  // The log in memory is replaced at once, without waiting for the write, so that later appends belong to the new log. No
  // entry counts as durable before the snapshot is on the disk.
  const laterMemberships = following.length === 0 ? [] : context.memberships.filter((membership) => membership.index > index)
  log.reset(index, term)
  following.forEach((entry) => log.append(entry))
  context.memberships = [{ index, voters: content.voters }, ...laterMemberships]
  context.firstUnwrittenIndex = log.lastIndex + 1
  context.logReplacements += 1
  context.durableIndex = store === undefined ? log.lastIndex : 0
  context.state = content.state
  context.commitIndex = index
  context.appliedIndex = index
  context.snapshotIndex = index
  context.bytesSinceSnapshot = 0
  context.snapshotInfo = { index, term, size: bytes.length, checksum: request.checksum }
  resolveCoveredProposals(context, index)
  context.logger.info('log.snapshot-installed', { index, bytes: bytes.length })
  reportApplied(context, { kind: 'noop' }, index)
  const saved = await saving
  if (saved?.err) stopOnFailure(context, saved.val)
  context.durableIndex = Math.max(context.durableIndex, index + following.length)
  context.progress.notify()
  return !context.stopped
}

/**
 * Resolves proposals up to the snapshot's index as `outcome-unknown`: their entries are not applied one by one, so their
 * outcomes cannot be seen.
 */
function resolveCoveredProposals (context: Context, index: number): void {
  const covered = [...context.pendingProposals].filter(([pendingIndex]) => pendingIndex <= index)
  covered.forEach(([pendingIndex, pending]) => {
    context.pendingProposals.delete(pendingIndex)
    pending.resolve(createOutcomeUnknown('the entry was covered by a snapshot'))
  })
}
