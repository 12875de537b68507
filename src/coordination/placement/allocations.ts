import type { Resources } from '../../state/schemas.js'
import { computeAllocatedCores, updateTotals, type TaskRecord, type WorkerRecord } from './records.js'
import { addResources } from './resources.js'
import { getMember, type PlacementState } from './state.js'

/** Ended tasks are kept this long, because latency reports that cover their run may still arrive. */
const ENDED_TASK_RETENTION_MS = 60_000

/** Assigns a queued task to a worker and adds its allocation to the totals of the worker, its member and its rack. */
export function recordAssignment (state: PlacementState, record: TaskRecord, worker: WorkerRecord, allocation: Resources, now: number): void {
  state.queue.remove(record)
  record.state = 'starting'
  record.worker = worker
  record.allocation = allocation
  record.peakAllocation = allocation
  record.startedAt = now
  worker.tasks.add(record)
  if (record.task.service !== undefined) worker.replicas.push(record)
  const member = getMember(state, record.task.member)
  addResources(member.usage, allocation)
  addResources(member.granted, allocation)
  updateTotals(worker)
  updateRackCounts(state, record.task.job, worker.rack, 1)
}

/** Removes a task from the queue or from its worker, and its allocation from every total. The worker keeps its core usage for late latency reports. */
export function removeTask (state: PlacementState, record: TaskRecord, now: number): void {
  state.queue.remove(record)
  state.tasks.delete(record.task.id)
  const worker = record.worker
  if (worker === undefined) return
  worker.tasks.delete(record)
  const { jobClass, service } = record.task
  if (service !== undefined) {
    worker.replicas = worker.replicas.filter((replica) => replica !== record)
    if (!worker.replicas.some(({ task }) => task.service === service)) worker.latencyStates.delete(service)
  }
  const coreShare = getUsedCores(record) * record.share / worker.capacity.cores
  worker.endedTasks = worker.endedTasks.filter(({ endedAt }) => now - endedAt < ENDED_TASK_RETENTION_MS)
  worker.endedTasks.push({ jobClass, coreShare, service, startedAt: record.startedAt, endedAt: now })
  const member = getMember(state, record.task.member)
  addResources(member.usage, record.allocation, -1)
  addResources(member.granted, record.peakAllocation, -1)
  updateTotals(worker)
  updateRackCounts(state, record.task.job, worker.rack, -1)
}

/** Changes the number of tasks that a job has in a rack by `change`. */
function updateRackCounts (state: PlacementState, job: string, rack: string, change: number): void {
  const rackCounts = state.rackCounts.get(job) ?? new Map<string, number>()
  const count = (rackCounts.get(rack) ?? 0) + change
  if (count > 0) rackCounts.set(rack, count)
  else rackCounts.delete(rack)
  if (rackCounts.size > 0) state.rackCounts.set(job, rackCounts)
  else state.rackCounts.delete(job)
}

/** Replaces the allocation of a task, raises its peak allocation where the new one is larger, and updates the totals of its member and worker. */
export function setAllocation (state: PlacementState, record: TaskRecord, allocation: Resources): void {
  const member = getMember(state, record.task.member)
  addResources(member.usage, record.allocation, -1)
  record.allocation = allocation
  addResources(member.usage, allocation)
  addResources(member.granted, record.peakAllocation, -1)
  record.peakAllocation = computeMaximum(record.peakAllocation, allocation)
  addResources(member.granted, record.peakAllocation)
  if (record.worker !== undefined) updateTotals(record.worker)
}

function computeMaximum (one: Resources, other: Resources): Resources {
  return {
    cores: Math.max(one.cores, other.cores),
    memoryBytes: Math.max(one.memoryBytes, other.memoryBytes),
    accelerators: Math.max(one.accelerators, other.accelerators)
  }
}

/** Sets the CPU share of a task, and the part of its allocated cores that counts against the worker. */
export function setShare (record: TaskRecord, share: number, allocatedShare: number, now: number): void {
  record.previousShare = record.share
  record.share = share
  record.allocatedShare = allocatedShare
  record.shareChangedAt = now
  if (record.worker !== undefined) updateTotals(record.worker)
}

/** Cores that a task uses at full share: the reported ones, or the allocated ones before its first report. */
export function getUsedCores (record: TaskRecord): number {
  return record.reports > 0 ? record.observed.cores : record.allocation.cores
}

/** The allocation of a task as it counts against its worker, with the cores reduced by the allocated share. */
export function getAllocated (record: TaskRecord): Resources {
  return { ...record.allocation, cores: computeAllocatedCores(record) }
}
