import type { Step } from './schemas.js'

/** A second run of a task that an earlier attempt is running; the first of the two that succeeds counts. */
export interface TaskCopy { attempt: number, worker: string }

/** The part of a task record that describes its runs. `copy` exists only while `worker` is set. */
export interface TaskRuns {
  attempt: number
  worker: string | undefined
  copy?: TaskCopy
  /** The highest attempt number that was given to a run, if it is above `attempt`: that of a copy that has ended. */
  lastAttempt?: number
}

/** Members of a gang depend on each other, and long-running tasks have no success that could decide between two runs. */
export function canRunCopies ({ speculative, gang, lasting }: Pick<Step, 'speculative' | 'gang' | 'lasting'>): boolean {
  return speculative && !gang && !lasting
}

/** The highest attempt number of the task, of either run; the next run gets a higher one. */
export function getLastAttempt ({ attempt, copy, lastAttempt }: TaskRuns): number {
  return Math.max(attempt, copy?.attempt ?? 0, lastAttempt ?? 0)
}

/** Workers to which runs of the task are assigned: none, one, or that of the original and that of the copy. */
export function listRunWorkers ({ worker, copy }: TaskRuns): string[] {
  return [worker, copy?.worker].filter((name) => name !== undefined)
}

/** The attempt that is assigned to a worker; for a worker without a run of the task, the current attempt. */
export function getAttemptOn ({ attempt, copy }: TaskRuns, worker: string): number {
  return copy?.worker === worker ? copy.attempt : attempt
}

/** True if this attempt is assigned to this worker, as the original or as the copy. */
export function isRunAssigned (runs: TaskRuns, worker: string, attempt: number): boolean {
  return listRunWorkers(runs).includes(worker) && getAttemptOn(runs, worker) === attempt
}

/** Adds a copy to the current run of a task, if the step allows it and there is none. Returns whether it was added. */
export function addCopy (runs: TaskRuns | undefined, step: Step | undefined, { attempt, worker }: TaskCopy): boolean {
  if (runs === undefined || step === undefined || !canRunCopies(step)) return false
  if (runs.worker === undefined || runs.worker === worker || runs.copy !== undefined || getLastAttempt(runs) >= attempt) return false
  runs.copy = { attempt, worker }
  return true
}

/** Removes the run that is assigned to a worker. If the original is removed, its copy takes its place. */
export function removeRun (runs: TaskRuns, worker: string): void {
  const last = getLastAttempt(runs)
  const { copy } = runs
  delete runs.copy
  if (runs.worker === worker) {
    runs.worker = copy?.worker
    runs.attempt = copy?.attempt ?? last
  }
  if (last > runs.attempt) runs.lastAttempt = last
  else delete runs.lastAttempt
}

/** Records an attempt that a worker has reported and this state does not know. The attempts of the copy are known. */
export function recordAttempt (runs: TaskRuns, attempt: number): void {
  if (attempt > getLastAttempt(runs)) runs.attempt = attempt
}
