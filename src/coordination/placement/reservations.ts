import type { Resources } from '../../state/schemas.js'
import { recordReservation } from './preemption.js'
import { isLatencyAtRisk } from './latencyForecasts.js'
import { isBatch, type TaskRecord, type WorkerRecord } from './records.js'
import { isWithin } from './resources.js'
import type { PlacementState } from './state.js'

/** Waiting time before a worker is reserved for a task. */
const RESERVATION_WAIT_MS = 30_000
/** Only tasks larger than this part of a worker, or with accelerators, get a reservation; smaller ones fit as soon as other tasks end. */
const MIN_RESERVED_TASK_PART = 0.2
/** Part of the workers that may be reserved at the same time; one worker may always be reserved, however few there are. */
const MAX_RESERVED_WORKERS_PART = 0.05
const RESERVATION_TIMEOUT_MS = 120_000

/** Reserves the least allocated eligible worker for a large task, which smaller tasks could otherwise overtake indefinitely. */
export function planReservation (state: PlacementState, record: TaskRecord, size: Resources, now: number): void {
  const waited = now - record.queuedAt
  if (waited < RESERVATION_WAIT_MS) return
  const reserved = state.workerList.filter(({ reservedFor }) => reservedFor !== undefined)
  if (reserved.some(({ reservedFor }) => reservedFor === record.task.id)) return
  if (reserved.length >= Math.max(1, Math.floor(state.workerList.length * MAX_RESERVED_WORKERS_PART))) return
  const eligibleWorkers = state.workerList.filter((worker) => canHoldWithoutBatch(state, worker, record, size, now))
  if (eligibleWorkers.length === 0) return
  const chosenWorker = eligibleWorkers.reduce((best, worker) => computeAllocatedPart(worker) < computeAllocatedPart(best) ? worker : best)
  const isLarge = size.cores > chosenWorker.capacity.cores * MIN_RESERVED_TASK_PART || size.memoryBytes > chosenWorker.capacity.memoryBytes * MIN_RESERVED_TASK_PART || size.accelerators > 0
  if (isLarge) recordReservation(chosenWorker, record, now)
}

/** Drops reservations of tasks that no longer wait, of workers that take no tasks, and those past their timeout. */
export function pruneReservations (state: PlacementState, now: number): void {
  state.workerList.forEach((worker) => {
    if (worker.reservedFor === undefined) return
    const waiting = state.tasks.get(worker.reservedFor)?.state === 'queued'
    if (!waiting || !worker.up || worker.draining || now - worker.reservedAt > RESERVATION_TIMEOUT_MS) worker.reservedFor = undefined
  })
}

/** True when the worker could hold the task once all its tasks other than replicas have ended. */
function canHoldWithoutBatch (state: PlacementState, worker: WorkerRecord, record: TaskRecord, size: Resources, now: number): boolean {
  if (!worker.up || worker.draining || worker.health.state !== 'healthy' || worker.reservedFor !== undefined) return false
  const limit = { ...worker.capacity }
  worker.replicas.forEach(({ allocation }) => {
    limit.cores -= allocation.cores
    limit.memoryBytes -= allocation.memoryBytes
    limit.accelerators -= allocation.accelerators
  })
  if (isLatencyAtRisk(state, worker, record.task.jobClass, size.cores, now)) return false
  if (isBatch(record.task)) limit.cores = Math.min(limit.cores, worker.capacity.cores * state.policy.policy.batchShare)
  return isWithin(size, limit)
}

function computeAllocatedPart ({ held, capacity }: WorkerRecord): number {
  return Math.max(held.cores / capacity.cores, held.memoryBytes / capacity.memoryBytes)
}
