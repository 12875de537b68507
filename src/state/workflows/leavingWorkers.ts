import type { WorkerRecord } from './state.js'
import { createTable } from '../tables.js'
import { listUnsettledTasks } from './unsettledTasks.js'

/** How a removed worker is remembered: a `departed` incarnation never returns, a `removed` one may report again. */
export type WorkerDeparture = 'departed' | 'removed'

/** Workers that are not in the table any more; absent in state of earlier builds. */
export interface RemovedWorkers {
  /** Workers that have left by themselves, with the start of the incarnation that left. */
  departed?: Record<string, { bornAt: number, at: number }>
  /** Workers that were removed because nobody reached them, with the last end that was recorded of their incarnation. */
  removed?: Record<string, { bornAt: number, lastEnd: number, at: number }>
}

interface WorkerTable extends RemovedWorkers { workers: Record<string, WorkerRecord> }

/** What is known of a removed worker is kept for this long; reports that are still on their way arrive within seconds, and workers that were cut off within minutes. */
const REMOVED_KEPT_MS = 600_000

/** Tasks that may run on the worker: those of its incarnation, and those of earlier ones that are not settled. */
export function listAssignedTasks (worker: WorkerRecord): string[] {
  return Object.keys(worker.assigned).concat(listUnsettledTasks(worker))
}

/**
 * Removes a worker that has announced its shutdown and has no task any more. The announcement alone does not show that its
 * process has ended: without an acknowledgement the worker runs on, and so do its tasks.
 */
export function removeLeftWorker (table: WorkerTable, worker: WorkerRecord, at: number): void {
  const { leaving } = worker
  if (leaving !== undefined && listAssignedTasks(worker).length === 0) recordRemoval(table, worker, leaving, at)
}

/** Removes a worker from the table. One that nobody reached may return, and lists again the ends that it has no acknowledgement of. */
export function recordRemoval (table: WorkerTable, { life: { id, bornAt }, lastEnd }: WorkerRecord, departure: WorkerDeparture, at: number): void {
  delete table.workers[id]
  if (departure === 'departed') table.departed = createTable({ ...pruneRemovals(table.departed, at), [id]: { bornAt, at } })
  else table.removed = createTable({ ...pruneRemovals(table.removed, at), [id]: { bornAt, lastEnd, at } })
}

function pruneRemovals<T extends { at: number }> (removals: Record<string, T> | undefined, now: number): Record<string, T> {
  return Object.fromEntries(Object.entries(removals ?? {}).filter(([, { at }]) => now - at < REMOVED_KEPT_MS))
}
