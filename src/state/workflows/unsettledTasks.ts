import type { WorkerRecord } from './state.js'

/**
 * A worker that has restarted under its id may execute an order that was meant for its former incarnation. The tasks of that
 * incarnation therefore stay with the worker until its session host has found that the present one does not run them, or that
 * every lease there is over. They are never started again from this list.
 */
export function listUnsettledTasks (worker: WorkerRecord | undefined): string[] {
  return Object.keys(worker?.unsettled ?? {})
}

/** The part of the record of a new incarnation that its predecessor determines. */
export function createUnsettled (former: WorkerRecord | undefined): Pick<WorkerRecord, 'unsettled'> {
  const tasks = { ...former?.unsettled, ...former?.assigned }
  return Object.keys(tasks).length === 0 ? {} : { unsettled: tasks }
}

export function releaseUnsettled (worker: WorkerRecord, task: string): void {
  delete worker.unsettled?.[task]
}

/** Removes an empty list, once for an entry that releases many tasks. */
export function pruneUnsettled (worker: WorkerRecord): void {
  if (worker.unsettled !== undefined && Object.keys(worker.unsettled).length === 0) delete worker.unsettled
}
