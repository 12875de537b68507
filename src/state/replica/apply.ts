import { Err, Ok } from '../../common/index.js'
import { applyEntry, type Outcome } from '../agreedState.js'
import type { LogStore } from '../logStore/index.js'
import type { Entry } from '../schemas.js'
import { chooseSnapshotShare, countMajority, describeSnapshot, getVoters, isSelf, stopOnFailure, type Context } from './context.js'
import { encodeSnapshot } from './messages.js'
import { waitUntil } from './notifier.js'
import { MAX_SYNC_BYTES } from './timing.js'

/** Writes entries in batches; everything that arrives during one sync shares the next. */
export async function runWriter (context: Context): Promise<void> {
  const { store, log } = context
  if (store === undefined) return
  while (!context.stopped) {
    const entries = log.listFrom(context.dirtyFrom, MAX_SYNC_BYTES)
    const last = entries.at(-1)
    if (last === undefined) {
      await context.writerWake.wait()
      continue
    }
    context.dirtyFrom = last.index + 1
    const resets = context.logResets
    const written = await store.append(entries)
    if (written.err) return stopOnFailure(context, written.val)
    // A snapshot replaced the log during the write; what was written is not part of it.
    if (resets !== context.logResets) continue
    // Entries that were replaced during the write are dirty again.
    context.stableIndex = Math.max(context.stableIndex, Math.min(last.index, context.dirtyFrom - 1))
    context.progress.notify()
    updateCommit(context)
  }
}

/** On the leader: commits what a majority of the voters holds, as far as it ends in the leader's own term. */
export function updateCommit (context: Context): void {
  if (context.role !== 'leader') return
  const voters = getVoters(context)
  const held = voters
    .map((voter) => {
      if (isSelf(context, voter)) return context.stableIndex
      return context.peers.get(`${voter.host}/${voter.incarnation}`)?.matchIndex ?? 0
    })
    .sort((a, b) => b - a)
  const index = held[countMajority(voters) - 1] ?? 0
  if (index > context.commitIndex && context.log.getTerm(index) === context.term) applyCommitted(context, index)
}

/** Applies entries up to a committed index. */
export function applyCommitted (context: Context, commitIndex: number): void {
  if (commitIndex <= context.commitIndex) return
  context.commitIndex = commitIndex
  context.work.measure('log.apply', () => {
    while (context.appliedIndex < context.commitIndex && !context.stopped) applyNext(context)
  })
  if (context.stopped) return
  context.peers.forEach((peer) => peer.wake.notify())
  context.progress.notify()
  saveSnapshotWhenDue(context)
}

function applyNext (context: Context): void {
  const index = context.appliedIndex + 1
  const stored = context.log.getEntry(index)
  if (stored === undefined) return stopOnFailure(context, { kind: 'invariant-broken', message: `entry ${index} is committed and missing` })
  const command = context.log.takeCommand(stored)
  const entry: Entry = command.kind === 'log.membership' ? { kind: 'noop' } : command
  const outcome = applyCommand(context, entry, index)
  if (outcome === undefined) return
  context.appliedIndex = index
  context.bytesSinceSnapshot += stored.bytes.length
  const pending = context.pending.get(index)
  context.pending.delete(index)
  if (pending !== undefined && pending.term !== stored.term) {
    pending.resolve(Err({ kind: 'not-recorded', message: 'another leader recorded a different entry in its place' }))
  } else if (pending !== undefined) {
    pending.resolve(outcome.accepted
      ? Ok({ index, value: outcome.value })
      : Err({ kind: 'rejected', rejection: outcome.rejection }))
  }
  reportApplied(context, entry, index)
}

/** A host that cannot apply an entry, for instance of a newer version, must not continue with a different state. */
function applyCommand (context: Context, entry: Entry, index: number): Outcome | undefined {
  try {
    return applyEntry(context.state, entry)
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error)
    stopOnFailure(context, { kind: 'invariant-broken', message: `entry ${index} (${entry.kind}) cannot be applied: ${message}` })
    return undefined
  }
}

export function reportApplied (context: Context, entry: Entry, index: number): void {
  context.listeners.forEach((listener) => {
    try {
      listener(entry, index)
    } catch (error) {
      context.logger.error('log.listener-failed', { index, message: error instanceof Error ? error.message : String(error) })
    }
  })
}

async function saveSnapshotWhenDue (context: Context): Promise<void> {
  const { store, log, limits } = context
  const entries = context.appliedIndex - context.snapshotIndex
  const bytes = Math.max(limits.snapshotBytes, context.snapshotInfo?.size ?? 0)
  const isDue = context.bytesSinceSnapshot > context.snapshotShare * bytes || entries > context.snapshotShare * limits.snapshotEntries
  if (!isDue || context.snapshotting || context.stopped) return
  const index = context.appliedIndex
  context.snapshotIndex = index
  context.bytesSinceSnapshot = 0
  context.snapshotShare = chooseSnapshotShare(context.random)
  if (store !== undefined) {
    context.snapshotting = true
    const isSaved = await saveSnapshot(context, store, index)
    context.snapshotting = false
    if (!isSaved) return
  }
  log.prune(findFirstRetained(context, index) - 1)
  pruneMemberships(context)
}

/** Returns false when a snapshot from the leader took its place or the host has stopped. */
async function saveSnapshot (context: Context, store: LogStore, index: number): Promise<boolean> {
  const { log, clock, progress, logResets } = context
  const term = log.getTerm(index) ?? 0
  const voters = context.memberships.findLast((membership) => membership.index <= index)?.voters ?? []
  const bytes = context.work.measure('log.snapshot', () => encodeSnapshot({ index, term, voters, state: context.state }))
  const isReplaced = (): boolean => context.stopped || context.logResets !== logResets
  // The log on the disk may lag behind what was applied, and would have a gap after a snapshot beyond its end.
  await waitUntil(clock, progress, Infinity, () => context.stableIndex >= index || isReplaced())
  if (isReplaced()) return false
  const saved = await store.saveCoveredSnapshot({ index, term, bytes }, () => isReplaced() ? undefined : log.listFrom(index + 1))
  if (saved.err) stopOnFailure(context, saved.val)
  if (isReplaced()) return false
  context.snapshotInfo = describeSnapshot({ index, term, bytes })
  context.logger.info('log.snapshot', { index, bytes: bytes.length })
  return true
}

function findFirstRetained (context: Context, snapshotIndex: number): number {
  const { log, limits } = context
  let first = snapshotIndex + 1
  let bytes = 0
  while (first - 1 > log.baseIndex && snapshotIndex - first < limits.retainedEntries) {
    bytes += log.getEntry(first - 1)?.bytes.length ?? 0
    if (bytes > limits.retainedBytes) break
    first -= 1
  }
  return first
}

/** Keeps the membership that was in force at the base of the log, and those after it. */
export function pruneMemberships (context: Context): void {
  const last = context.memberships.findLastIndex((membership) => membership.index <= context.log.baseIndex)
  if (last > 0) context.memberships.splice(0, last)
}
