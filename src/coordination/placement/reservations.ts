import type { Resources } from '../../state/schemas.js'
import { recordReservation } from './displacement.js'
import { isCrowded } from './outlook.js'
import { isBatch, type TaskRecord, type WorkerRecord } from './records.js'
import { isWithin } from './resources.js'
import type { PlacementState } from './state.js'

/** A task that takes this part of a worker waits this long for a reservation; smaller ones find room as others end. */
const LARGE_WAIT_MS = 30_000
const LARGE_PART = 0.2
const LARGEST_RESERVED_PART = 0.05
const RESERVED_MS = 120_000

/** Reserves a worker for a task that smaller ones would otherwise overtake for ever. */
export function planReservation (state: PlacementState, record: TaskRecord, size: Resources, now: number): void {
  const waited = now - record.queuedAt
  if (waited < LARGE_WAIT_MS) return
  const reserved = state.workerList.filter(({ reservedFor }) => reservedFor !== undefined)
  if (reserved.some(({ reservedFor }) => reservedFor === record.task.id)) return
  if (reserved.length >= Math.max(1, Math.floor(state.workerList.length * LARGEST_RESERVED_PART))) return
  const hosts = state.workerList.filter((worker) => canEverHold(state, worker, record, size, now))
  if (hosts.length === 0) return
  const host = hosts.reduce((best, worker) => computeUsedPart(worker) < computeUsedPart(best) ? worker : best)
  const large = size.cores > host.capacity.cores * LARGE_PART || size.memoryBytes > host.capacity.memoryBytes * LARGE_PART || size.accelerators > 0
  if (large) recordReservation(host, record, now)
}

/** Drops reservations of tasks that no longer wait, and those that did not help in time. */
export function pruneReservations (state: PlacementState, now: number): void {
  state.workerList.forEach((worker) => {
    if (worker.reservedFor === undefined) return
    const waiting = state.tasks.get(worker.reservedFor)?.state === 'queued'
    if (!waiting || !worker.up || worker.draining || now - worker.reservedAt > RESERVED_MS) worker.reservedFor = undefined
  })
}

/** True when the worker could hold the task once its batch tasks have ended. */
function canEverHold (state: PlacementState, worker: WorkerRecord, record: TaskRecord, size: Resources, now: number): boolean {
  if (!worker.up || worker.draining || worker.health.state !== 'healthy' || worker.reservedFor !== undefined) return false
  const limit = { ...worker.capacity }
  worker.replicas.forEach(({ promise }) => {
    limit.cores -= promise.cores
    limit.memoryBytes -= promise.memoryBytes
    limit.accelerators -= promise.accelerators
  })
  if (isCrowded(state, worker, record.task.jobClass, size.cores, now)) return false
  if (isBatch(record.task)) limit.cores = Math.min(limit.cores, worker.capacity.cores * state.policy.policy.batchShare)
  return isWithin(size, limit)
}

function computeUsedPart ({ held, capacity }: WorkerRecord): number {
  return Math.max(held.cores / capacity.cores, held.memoryBytes / capacity.memoryBytes)
}
