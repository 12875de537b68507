import { crc32 } from 'node:zlib'
import { applyCommitted, reportApplied } from './apply.js'
import {
  appendEntry, checkEnvelope, createUnknown, isVoter, removeEntriesFrom, resetElectionDeadline, saveFormation, saveHardState,
  stopOnFailure, updateTerm, type Context
} from './context.js'
import { decodeSnapshot, type AppendReply, type AppendRequest, type RefusedReply, type SnapshotReply, type SnapshotRequest } from './messages.js'
import { waitUntil } from './notifier.js'
import { APPEND_TIMEOUT_MS, ELECTION_MAX_MS, ELECTION_MIN_MS, LEARNER_SILENCE_MS, STABLE_REPLY_MS } from './timing.js'

export async function handleAppend (context: Context, from: string, request: AppendRequest): Promise<AppendReply | RefusedReply> {
  const refusal = await admitLeader(context, from, request)
  if (refusal !== undefined) return 'refused' in refusal ? refusal : { term: refusal.term, matches: false, index: 0 }
  const { log } = context
  if (request.prevIndex > log.lastIndex) return { term: context.term, matches: false, index: log.lastIndex + 1 }
  // What was dropped is committed, so it matches.
  const dropped = Math.max(0, log.baseIndex - request.prevIndex)
  const prevIndex = request.prevIndex + dropped
  const lastIndex = request.prevIndex + request.entries.length
  if (dropped === 0 && log.getTerm(prevIndex) !== request.prevTerm) {
    return { term: context.term, matches: false, index: log.findFirstOfTerm(prevIndex) }
  }
  request.entries.slice(dropped).forEach(([term, bytes], position) => {
    updateEntry(context, prevIndex + 1 + position, term, bytes)
  })
  // An entry may have made this host a voter, whose election timeout is shorter.
  observeLeader(context)
  // Committed entries are held by a majority without this host, so they need not be on its own disk to be applied.
  if (!context.stopped) applyCommitted(context, Math.min(request.commit, lastIndex))
  await waitUntilStable(context, lastIndex, STABLE_REPLY_MS)
  if (context.stopped) return { refused: 'stopped' }
  if (context.term !== request.term) return { term: context.term, matches: false, index: lastIndex + 1 }
  return { term: context.term, matches: true, index: Math.min(context.stableIndex, lastIndex) }
}

export async function handleSnapshot (context: Context, from: string, request: SnapshotRequest): Promise<SnapshotReply | RefusedReply> {
  const refusal = await admitLeader(context, from, request)
  if (refusal !== undefined) return 'refused' in refusal ? refusal : { term: refusal.term, offset: 0 }
  if (request.index <= context.commitIndex) {
    await waitUntilStable(context, request.index, APPEND_TIMEOUT_MS)
    return { term: context.term, offset: context.stableIndex < request.index ? 0 : request.size }
  }
  const key = [request.index, request.lastTerm, request.size, request.checksum].join(':')
  if (context.transfer?.key !== key) context.transfer = { key, bytes: new Uint8Array(request.size), received: 0 }
  const { transfer } = context
  if (request.offset === transfer.received) {
    transfer.bytes.set(request.bytes, request.offset)
    transfer.received += request.bytes.length
  }
  if (transfer.received < request.size) return { term: context.term, offset: transfer.received }
  context.transfer = undefined
  if (crc32(transfer.bytes) !== request.checksum) {
    context.logger.warn('log.snapshot-damaged', { index: request.index })
    return { term: context.term, offset: 0 }
  }
  const isInstalled = await applySnapshot(context, request, transfer.bytes)
  return isInstalled ? { term: context.term, offset: request.size } : { refused: 'stopped' }
}

/** Accepts the sender as leader of its term, or returns the refusal. The term is saved before anything is answered. */
async function admitLeader (context: Context, from: string, request: AppendRequest | SnapshotRequest): Promise<RefusedReply | { term: number } | undefined> {
  const refusal = checkEnvelope(context, request)
  if (refusal !== undefined) return refusal
  if (request.term < context.term) return { term: context.term }
  if (request.term === context.term && context.role === 'leader') {
    stopOnFailure(context, { kind: 'invariant-broken', message: `two leaders in term ${request.term}: ${from} and ${context.self}` })
    return { refused: 'stopped' }
  }
  updateTerm(context, request.term, from)
  observeLeader(context)
  if (!await saveFormation(context, request.formation)) return { refused: 'stopped' }
  if (!await saveHardState(context)) return { refused: 'stopped' }
  return context.term === request.term ? undefined : { term: context.term }
}

function observeLeader (context: Context): void {
  context.lastHeard = context.clock.now()
  if (!isVoter(context)) {
    resetElectionDeadline(context, LEARNER_SILENCE_MS, LEARNER_SILENCE_MS)
  } else {
    resetElectionDeadline(context, ELECTION_MIN_MS, ELECTION_MAX_MS)
  }
}

function updateEntry (context: Context, index: number, term: number, bytes: Uint8Array): void {
  const { log } = context
  if (index <= log.lastIndex) {
    if (log.getTerm(index) === term) return
    if (index <= context.commitIndex) {
      return stopOnFailure(context, { kind: 'invariant-broken', message: `entry ${index} is committed and the leader has another one` })
    }
    removeEntriesFrom(context, index)
  }
  // A copy, because the bytes are a view of the whole message.
  appendEntry(context, term, new Uint8Array(bytes))
}

async function waitUntilStable (context: Context, index: number, limitMs: number): Promise<void> {
  const deadline = context.clock.now() + limitMs
  await waitUntil(context.clock, context.progress, deadline, () => context.stopped || context.stableIndex >= index)
}

async function applySnapshot (context: Context, request: SnapshotRequest, bytes: Uint8Array): Promise<boolean> {
  const { log, store } = context
  const { index, lastTerm: term } = request
  const content = decodeSnapshot(bytes)
  const following = log.getTerm(index) === term ? log.listFrom(index + 1) : []
  const saving = store?.saveSnapshot({ index, term, bytes }, following)
  // Memory changes together with the call, so that later writes refer to the new log. Nothing of it counts as
  // stable before the snapshot is on the disk.
  const laterMemberships = following.length === 0 ? [] : context.memberships.filter((membership) => membership.index > index)
  log.reset(index, term)
  following.forEach((entry) => log.append(entry))
  context.memberships = [{ index, voters: content.voters }, ...laterMemberships]
  context.dirtyFrom = log.lastIndex + 1
  context.logResets += 1
  context.stableIndex = store === undefined ? log.lastIndex : 0
  context.state = content.state
  context.commitIndex = index
  context.appliedIndex = index
  context.snapshotIndex = index
  context.bytesSinceSnapshot = 0
  context.snapshotInfo = { index, term, size: bytes.length, checksum: request.checksum }
  resolveCovered(context, index)
  context.logger.info('log.snapshot-installed', { index, bytes: bytes.length })
  reportApplied(context, { kind: 'noop' }, index)
  const saved = await saving
  if (saved?.err) stopOnFailure(context, saved.val)
  context.stableIndex = Math.max(context.stableIndex, index + following.length)
  context.progress.notify()
  return !context.stopped
}

/** The outcome of entries that a snapshot covers is not visible any more. */
function resolveCovered (context: Context, index: number): void {
  const covered = [...context.pending].filter(([pendingIndex]) => pendingIndex <= index)
  covered.forEach(([pendingIndex, pending]) => {
    context.pending.delete(pendingIndex)
    pending.resolve(createUnknown('the entry was covered by a snapshot'))
  })
}
