import { listUnfinishedTasks, type ReplicatedState, type Entry, type TaskOutcome } from '../../state/index.js'
import { computeZoneShares } from './zoneShares.js'

/** Limits the size of a log entry. */
const MAX_TASKS_PER_ENTRY = 1_000

export interface RetirementPlan { entries: Entry[], moved: number, unknown: number }

/**
 * Plans the log entries for the unfinished tasks of a retired zone. Idempotent tasks move to other zones. The others may have
 * run in the retired zone, so their outcome is recorded as unknown until an operator decides it.
 */
export function planRetirement (state: ReplicatedState, from: string): RetirementPlan {
  const unfinished = Object.values(state.jobs)
    .map((record) => ({ record, tasks: listUnfinishedTasks(record, from) }))
    .filter(({ tasks }) => tasks.length > 0)
  const unknown = unfinished
    .filter(({ record }) => !record.job.idempotent)
    .flatMap(({ record, tasks }) => tasks.map((task): [string, number, TaskOutcome] => [record.job.id, task, 'unknown']))
  const moves = unfinished
    .filter(({ record }) => record.job.idempotent)
    .flatMap(({ record, tasks }) => planMoves(state, record.job, tasks, from))
  const destinations = [...new Set(moves.map(({ to }) => to))]
  const entries: Entry[] = [
    ...splitIntoChunks(unknown).map((outcomes): Entry => ({ kind: 'job.summary', availabilityZone: from, outcomes })),
    ...destinations.flatMap((to) => splitIntoChunks(moves.filter((move) => move.to === to))
      .map((part): Entry => ({ kind: 'zone.transfer', from, to, tasks: part.map(({ job, task }) => [job, task]) })))
  ]
  return { entries, moved: moves.length, unknown: unknown.length }
}

interface TaskMove { job: string, task: number, to: string }

function planMoves (state: ReplicatedState, job: Parameters<typeof computeZoneShares>[1], tasks: number[], from: string): TaskMove[] {
  const destination = Object.values(state.zones).find((zone) => !zone.retired && zone.availabilityZone !== from)
  if (destination === undefined) return []
  const zoneOfTask = computeZoneShares(state, { ...job, tasks: tasks.length }, destination.availabilityZone)
    .flatMap((share) => Array.from({ length: share.tasks }, () => share.availabilityZone))
  return tasks.map((task, index) => ({ job: job.id, task, to: zoneOfTask[index] ?? destination.availabilityZone }))
}

function splitIntoChunks<T> (items: T[]): T[][] {
  return Array.from({ length: Math.ceil(items.length / MAX_TASKS_PER_ENTRY) }, (_, part) =>
    items.slice(part * MAX_TASKS_PER_ENTRY, (part + 1) * MAX_TASKS_PER_ENTRY))
}
