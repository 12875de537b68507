import { listUnfinishedTasks, type ReplicatedState, type Entry, type TaskOutcome } from '../../state/index.js'
import { computeDivision } from './division.js'

/** Tasks in one entry, so that an entry stays small. */
const TASKS_PER_ENTRY = 1_000

export interface Retirement { entries: Entry[], moved: number, unknown: number }

/**
 * What becomes of the open tasks of a retired zone: idempotent ones move to other zones,
 * the others may have started there and become unknown for a person to decide.
 */
export function computeRetirement (state: ReplicatedState, from: string): Retirement {
  const open = Object.values(state.jobs)
    .map((record) => ({ record, tasks: listUnfinishedTasks(record, from) }))
    .filter(({ tasks }) => tasks.length > 0)
  const unknown = open
    .filter(({ record }) => !record.job.idempotent)
    .flatMap(({ record, tasks }) => tasks.map((task): [string, number, TaskOutcome] => [record.job.id, task, 'unknown']))
  const moves = open
    .filter(({ record }) => record.job.idempotent)
    .flatMap(({ record, tasks }) => chooseZones(state, record.job, tasks, from))
  const destinations = [...new Set(moves.map(({ to }) => to))]
  const entries: Entry[] = [
    ...splitList(unknown).map((outcomes): Entry => ({ kind: 'job.summary', availabilityZone: from, outcomes })),
    ...destinations.flatMap((to) => splitList(moves.filter((move) => move.to === to))
      .map((part): Entry => ({ kind: 'zone.transfer', from, to, tasks: part.map(({ job, task }) => [job, task]) })))
  ]
  return { entries, moved: moves.length, unknown: unknown.length }
}

interface Move { job: string, task: number, to: string }

function chooseZones (state: ReplicatedState, job: Parameters<typeof computeDivision>[1], tasks: number[], from: string): Move[] {
  const other = Object.values(state.zones).find((zone) => !zone.retired && zone.availabilityZone !== from)
  if (other === undefined) return []
  const owners = computeDivision(state, { ...job, tasks: tasks.length }, other.availabilityZone)
    .flatMap((share) => Array.from({ length: share.tasks }, () => share.availabilityZone))
  return tasks.map((task, index) => ({ job: job.id, task, to: owners[index] ?? other.availabilityZone }))
}

function splitList<T> (items: T[]): T[][] {
  return Array.from({ length: Math.ceil(items.length / TASKS_PER_ENTRY) }, (_, part) =>
    items.slice(part * TASKS_PER_ENTRY, (part + 1) * TASKS_PER_ENTRY))
}
