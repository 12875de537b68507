import { findEvictionRejection, planMove } from './evictions.js'
import { createFigure } from './reasons.js'
import type { TaskRecord, WorkerRecord } from './records.js'
import type { PlacementState } from './state.js'
import type { Decision } from './types.js'

/** Batch tasks that are expected to end within this time are not moved off a draining worker. */
const MIN_REMAINING_TO_MOVE_MS = 20_000

/** Moves tasks off draining workers by checkpoint and stop, within the eviction limit and one replica of a service at a time. */
export function planDrains (state: PlacementState, now: number): Decision[] {
  return state.workerList
    .filter(({ up, draining, tasks }) => up && draining && tasks.size > 0)
    .flatMap((worker) => planWorkerDrain(state, worker, now))
}

function planWorkerDrain (state: PlacementState, worker: WorkerRecord, now: number): Decision[] {
  const getRemaining = (record: TaskRecord): number => state.sizes.estimateRunMs(record.task) - (now - record.startedAt)
  return [...worker.tasks]
    .filter((record) => record.task.service !== undefined || getRemaining(record) > MIN_REMAINING_TO_MOVE_MS)
    .sort((one, other) => Number(other.task.service !== undefined) - Number(one.task.service !== undefined) || getRemaining(other) - getRemaining(one))
    .flatMap((record) => {
      const { task } = record
      if (task.service !== undefined && isServiceMoving(state, task.service)) return []
      if (!task.idempotent && task.service === undefined) return []
      if (findEvictionRejection(state, record, 'drain', task.member, now) !== undefined) return []
      const figures = [createFigure('expected remaining run time', Math.max(0, getRemaining(record)), 'ms')]
      return [planMove(state, record, { cause: 'drain', causingMember: task.member, causingTask: task.id, summary: `${worker.id} drains`, figures }, now)]
    })
}

/** True while a replica of the service is queued, starting, stopping or moving; a drain then takes no other replica away. */
function isServiceMoving (state: PlacementState, service: string): boolean {
  return [...state.tasks.values()].some(({ task, state: taskState, move }) => task.service === service && (taskState !== 'running' || move !== undefined))
}
