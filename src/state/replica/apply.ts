import { Err, Ok } from '../../common/index.js'
import { applyEntry, type EntryOutcome } from '../replicatedState.js'
import type { LogStore } from '../logStore/index.js'
import type { Entry } from '../schemas.js'
import { chooseSnapshotLimitFactor, countMajority, describeSnapshot, getVoters, isSelf, stopOnFailure, type Context } from './context.js'
import { encodeSnapshot } from './messages.js'
import { waitUntil } from './notifier.js'
import { MAX_SYNC_BYTES } from './timing.js'

/**
 * Writes log entries to the disk in batches (group commit): entries that arrive during one sync are written together with
 * the next.
 */
export async function runLogWriter (context: Context): Promise<void> {
  const { store, log } = context
  if (store === undefined) return
  while (!context.stopped) {
    const entries = log.listFrom(context.firstUnwrittenIndex, MAX_SYNC_BYTES)
    const last = entries.at(-1)
    if (last === undefined) {
      await context.writerWake.wait()
      continue
    }
    context.firstUnwrittenIndex = last.index + 1
    const replacements = context.logReplacements
    const written = await store.append(entries)
    if (written.err) return stopOnFailure(context, written.val)
    // A snapshot from the leader replaced the log during the write, so the entries written are not in the new log.
    if (replacements !== context.logReplacements) continue
    // Entries that the leader replaced during the write have to be written again, and are not durable.
    context.durableIndex = Math.max(context.durableIndex, Math.min(last.index, context.firstUnwrittenIndex - 1))
    context.progress.notify()
    updateCommit(context)
  }
}

/**
 * On the leader: advances the commit index to the highest entry that a majority of the voters has stored durably, if that
 * entry belongs to the leader's current term.
 */
export function updateCommit (context: Context): void {
  if (context.role !== 'leader') return
  const voters = getVoters(context)
  const durableIndexes = voters
    .map((voter) => {
      if (isSelf(context, voter)) return context.durableIndex
      return context.peers.get(`${voter.host}/${voter.incarnation}`)?.matchIndex ?? 0
    })
    .sort((a, b) => b - a)
  const index = durableIndexes[countMajority(voters) - 1] ?? 0
  if (index > context.commitIndex && context.log.getTerm(index) === context.term) applyCommitted(context, index)
}

/** Advances the commit index and applies all entries up to it. */
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
  const pending = context.pendingProposals.get(index)
  context.pendingProposals.delete(index)
  if (pending !== undefined && pending.term !== stored.term) {
    pending.resolve(Err({ kind: 'not-recorded', message: 'another leader recorded a different entry in its place' }))
  } else if (pending !== undefined) {
    pending.resolve(outcome.accepted
      ? Ok({ index, value: outcome.value })
      : Err({ kind: 'rejected', rejection: outcome.rejection }))
  }
  reportApplied(context, entry, index)
}

/**
 * Applies one entry. If that throws, for instance because a newer version wrote the entry, the host stops, because its state
 * would differ from that of the other hosts.
 */
function applyCommand (context: Context, entry: Entry, index: number): EntryOutcome | undefined {
  try {
    return applyEntry(context.state, entry)
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error)
    stopOnFailure(context, { kind: 'invariant-broken', message: `entry ${index} (${entry.kind}) cannot be applied: ${message}` })
    return undefined
  }
}

/** Calls the subscribers. An exception in one of them is logged and does not stop the others. */
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
  const isDue = context.bytesSinceSnapshot > context.snapshotLimitFactor * bytes || entries > context.snapshotLimitFactor * limits.snapshotEntries
  if (!isDue || context.savingSnapshot || context.stopped) return
  const index = context.appliedIndex
  context.snapshotIndex = index
  context.bytesSinceSnapshot = 0
  context.snapshotLimitFactor = chooseSnapshotLimitFactor(context.random)
  if (store !== undefined) {
    context.savingSnapshot = true
    const isSaved = await saveSnapshot(context, store, index)
    context.savingSnapshot = false
    if (!isSaved) return
  }
  log.prune(findFirstRetained(context, index) - 1)
  pruneMemberships(context)
}

/** Returns false if a snapshot from the leader has replaced the log meanwhile, or the host has stopped. */
async function saveSnapshot (context: Context, store: LogStore, index: number): Promise<boolean> {
  const { log, clock, progress, logReplacements: replacements } = context
  const term = log.getTerm(index) ?? 0
  const voters = context.memberships.findLast((membership) => membership.index <= index)?.voters ?? []
  const bytes = context.work.measure('log.snapshot', () => encodeSnapshot({ index, term, voters, state: context.state }))
  const isReplaced = (): boolean => context.stopped || context.logReplacements !== replacements
  // Applied entries may not be on the disk yet. A snapshot beyond the last entry on the disk would leave a gap in the log.
  await waitUntil(clock, progress, Infinity, () => context.durableIndex >= index || isReplaced())
  if (isReplaced()) return false
  const saved = await store.saveCoveredSnapshot({ index, term, bytes }, () => isReplaced() ? undefined : log.listFrom(index + 1))
  if (saved.err) stopOnFailure(context, saved.val)
  if (isReplaced()) return false
  context.snapshotInfo = describeSnapshot({ index, term, bytes })
  context.logger.info('log.snapshot', { index, bytes: bytes.length })
  return true
}

/** Returns the first entry to keep after a snapshot, within the limits for retained entries and bytes. */
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

/** Drops old voter sets. The set in force at the base of the log is kept, and all later ones. */
export function pruneMemberships (context: Context): void {
  const last = context.memberships.findLastIndex((membership) => membership.index <= context.log.baseIndex)
  if (last > 0) context.memberships.splice(0, last)
}
