import { setShare } from './allocations.js'
import { findEvictionRejection, planStop } from './evictions.js'
import { createFigure, createReason } from './reasons.js'
import type { TaskRecord, WorkerRecord } from './records.js'
import type { PlacementState } from './state.js'
import type { Decision } from './types.js'

const MIN_SHARE = 0.1
/** Memory usage above this part of the capacity counts as full, because reports are noisy. */
const FULL_USAGE = 0.99

/** Throttles or stops tasks on workers whose tasks have turned out larger than the worker's capacity. */
export function planCapacity (state: PlacementState, now: number): Decision[] {
  return state.workerList.flatMap((worker) => {
    if (!worker.up) return []
    const decisions: Decision[] = []
    if (worker.held.cores > worker.capacity.cores * (1 + 1e-6)) decisions.push(...planCores(state, worker, now))
    if (worker.held.memoryBytes > worker.capacity.memoryBytes * FULL_USAGE) decisions.push(...planMemory(state, worker, now))
    return decisions
  })
}

/** Throttles batch tasks, those that exceed their declared cores by the largest ratio first. No task has to stop, because cores can be reclaimed from a running one. */
function planCores (state: PlacementState, worker: WorkerRecord, now: number): Decision[] {
  let excess = worker.held.cores - worker.capacity.cores
  const growth = ({ allocation, task }: TaskRecord): number => allocation.cores / Math.max(task.size.cores, 0.01)
  const victims = [...worker.tasks]
    .filter(({ task, state, allocatedShare }) => task.service === undefined && !task.urgent && state === 'running' && allocatedShare > MIN_SHARE)
    .sort((one, other) => growth(other) - growth(one))
  return victims.flatMap((victim) => {
    if (excess <= 0) return []
    const allocatedShare = Math.max(MIN_SHARE, victim.allocatedShare - excess / victim.allocation.cores)
    excess -= (victim.allocatedShare - allocatedShare) * victim.allocation.cores
    const share = Math.min(victim.share, allocatedShare)
    setShare(victim, share, allocatedShare, now)
    const reason = createReason(state, 'throttled: its worker holds larger tasks than were declared', [
      createFigure('declared cores', victim.task.size.cores, 'cores'),
      createFigure('cores needed', victim.allocation.cores, 'cores', now - victim.lastReportAt),
      createFigure('cores of the worker', worker.capacity.cores, 'cores')
    ])
    return [{ kind: 'throttle', task: victim.task.id, worker: worker.id, share, reason }]
  })
}

/**
 * Stops one task, because memory cannot be reclaimed from a running one: the task that exceeds its declared memory most,
 * or, if that is a replica, another task that is not a replica, preferably of the same member. The stop names the task that exceeds its
 * declaration as the cause in both cases.
 */
function planMemory (state: PlacementState, worker: WorkerRecord, now: number): Decision[] {
  const tasks = [...worker.tasks]
  if (tasks.some(({ state }) => state === 'stopping')) return []
  const used = tasks.reduce((sum, { reports, observed, allocation }) => sum + (reports > 0 ? observed.memoryBytes : allocation.memoryBytes), 0)
  if (used <= worker.capacity.memoryBytes * FULL_USAGE) return []
  const getGrowth = ({ observed, task }: TaskRecord): number => observed.memoryBytes - task.size.memoryBytes
  const largest = tasks.reduce((most, task) => getGrowth(task) > getGrowth(most) ? task : most)
  const victims = largest.task.service === undefined
    ? [largest]
    : tasks.filter(({ task }) => task.service === undefined).sort((one, other) => Number(other.task.member === largest.task.member) - Number(one.task.member === largest.task.member) || other.observed.memoryBytes - one.observed.memoryBytes)
  const victim = victims.find((candidate) => findEvictionRejection(state, candidate, 'capacity', largest.task.member, now) === undefined)
  if (victim === undefined) return []
  return [planStop(state, victim, {
    cause: 'capacity',
    causingMember: largest.task.member,
    causingTask: largest.task.id,
    summary: `${largest.task.id} uses more memory than declared and its worker is full`,
    figures: [
      createFigure('declared memory', largest.task.size.memoryBytes / 1e9, 'GB'),
      createFigure('memory in use', largest.observed.memoryBytes / 1e9, 'GB', now - largest.lastReportAt),
      createFigure('memory in use on the worker', used / 1e9, 'GB'),
      createFigure('memory of the worker', worker.capacity.memoryBytes / 1e9, 'GB')
    ]
  }, now)]
}
