import type { Resources } from '../../state/schemas.js'
import { computeHeldCores, updateTotals, type TaskRecord, type WorkerRecord } from './records.js'
import { addResources } from './resources.js'
import { getMember, type PlacementState } from './state.js'

/** Reports about a task may arrive this long after it has ended. */
const PAST_KEPT_MS = 60_000

/** Counts a task against a worker, its member and its rack. */
export function recordAssignment (state: PlacementState, record: TaskRecord, worker: WorkerRecord, promise: Resources, now: number): void {
  state.queue.remove(record)
  record.state = 'starting'
  record.worker = worker
  record.promise = promise
  record.highestPromise = promise
  record.startedAt = now
  worker.tasks.add(record)
  if (record.task.service !== undefined) worker.replicas.push(record)
  const member = getMember(state, record.task.member)
  addResources(member.usage, promise)
  addResources(member.granted, promise)
  updateTotals(worker)
  updateSpread(state, record.task.job, worker.rack, 1)
}

export function removeTask (state: PlacementState, record: TaskRecord, now: number): void {
  state.queue.remove(record)
  state.tasks.delete(record.task.id)
  const worker = record.worker
  if (worker === undefined) return
  worker.tasks.delete(record)
  const { jobClass, service } = record.task
  if (service !== undefined) {
    worker.replicas = worker.replicas.filter((replica) => replica !== record)
    if (!worker.replicas.some(({ task }) => task.service === service)) worker.levels.delete(service)
  }
  const part = getUsedCores(record) * record.share / worker.capacity.cores
  worker.past = worker.past.filter(({ endedAt }) => now - endedAt < PAST_KEPT_MS)
  worker.past.push({ jobClass, part, service, startedAt: record.startedAt, endedAt: now })
  const member = getMember(state, record.task.member)
  addResources(member.usage, record.promise, -1)
  addResources(member.granted, record.highestPromise, -1)
  updateTotals(worker)
  updateSpread(state, record.task.job, worker.rack, -1)
}

function updateSpread (state: PlacementState, job: string, rack: string, change: number): void {
  const racks = state.spread.get(job) ?? new Map<string, number>()
  const count = (racks.get(rack) ?? 0) + change
  if (count > 0) racks.set(rack, count)
  else racks.delete(rack)
  if (racks.size > 0) state.spread.set(job, racks)
  else state.spread.delete(job)
}

/** Changes a promise and every sum that contains it. */
export function setPromise (state: PlacementState, record: TaskRecord, promise: Resources): void {
  const member = getMember(state, record.task.member)
  addResources(member.usage, record.promise, -1)
  record.promise = promise
  addResources(member.usage, promise)
  addResources(member.granted, record.highestPromise, -1)
  record.highestPromise = computeHighest(record.highestPromise, promise)
  addResources(member.granted, record.highestPromise)
  if (record.worker !== undefined) updateTotals(record.worker)
}

function computeHighest (one: Resources, other: Resources): Resources {
  return {
    cores: Math.max(one.cores, other.cores),
    memoryBytes: Math.max(one.memoryBytes, other.memoryBytes),
    accelerators: Math.max(one.accelerators, other.accelerators)
  }
}

export function setShare (record: TaskRecord, share: number, heldShare: number, now: number): void {
  record.previousShare = record.share
  record.share = share
  record.heldShare = heldShare
  record.shareChangedAt = now
  if (record.worker !== undefined) updateTotals(record.worker)
}

/** Cores that a task is known or expected to use at full share. */
export function getUsedCores (record: TaskRecord): number {
  return record.reports > 0 ? record.observed.cores : record.promise.cores
}

export function getHeld (record: TaskRecord): Resources {
  return { ...record.promise, cores: computeHeldCores(record) }
}
