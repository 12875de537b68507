import { setShare } from './accounts.js'
import { findEvictionBar, planStop } from './evictions.js'
import { createFigure, createReason } from './reasons.js'
import type { TaskRecord, WorkerRecord } from './records.js'
import type { PlacementState } from './state.js'
import type { Decision } from './types.js'

const SMALLEST_SHARE = 0.1
/** Reports are noisy, so usage this near the capacity counts as full. */
const FULL = 0.99

/** Brings workers back within their capacity when tasks turn out to be larger than was promised. */
export function planCapacity (state: PlacementState, now: number): Decision[] {
  return state.workerList.flatMap((worker) => {
    if (!worker.up) return []
    const decisions: Decision[] = []
    if (worker.held.cores > worker.capacity.cores * (1 + 1e-6)) decisions.push(...planCores(state, worker, now))
    if (worker.held.memoryBytes > worker.capacity.memoryBytes * FULL) decisions.push(...planMemory(state, worker, now))
    return decisions
  })
}

/** Cores can be taken back: the batch tasks that outgrew their declaration most are throttled first. */
function planCores (state: PlacementState, worker: WorkerRecord, now: number): Decision[] {
  let excess = worker.held.cores - worker.capacity.cores
  const growth = ({ promise, task }: TaskRecord): number => promise.cores / Math.max(task.size.cores, 0.01)
  const victims = [...worker.tasks]
    .filter(({ task, state, heldShare }) => task.service === undefined && !task.urgent && state === 'running' && heldShare > SMALLEST_SHARE)
    .sort((one, other) => growth(other) - growth(one))
  return victims.flatMap((victim) => {
    if (excess <= 0) return []
    const heldShare = Math.max(SMALLEST_SHARE, victim.heldShare - excess / victim.promise.cores)
    excess -= (victim.heldShare - heldShare) * victim.promise.cores
    const share = Math.min(victim.share, heldShare)
    setShare(victim, share, heldShare, now)
    const reason = createReason(state, 'throttled: its worker holds larger tasks than were declared', [
      createFigure('declared cores', victim.task.size.cores, 'cores'),
      createFigure('cores needed', victim.promise.cores, 'cores', now - victim.lastReportAt),
      createFigure('cores of the worker', worker.capacity.cores, 'cores')
    ])
    return [{ kind: 'throttle', task: victim.task.id, worker: worker.id, share, reason }]
  })
}

/** Memory cannot be taken back: the task that outgrew its declaration most is stopped, and names itself as the cause. */
function planMemory (state: PlacementState, worker: WorkerRecord, now: number): Decision[] {
  const tasks = [...worker.tasks]
  if (tasks.some(({ state }) => state === 'stopping')) return []
  const used = tasks.reduce((sum, { reports, observed, promise }) => sum + (reports > 0 ? observed.memoryBytes : promise.memoryBytes), 0)
  if (used <= worker.capacity.memoryBytes * FULL) return []
  const getGrowth = ({ observed, task }: TaskRecord): number => observed.memoryBytes - task.size.memoryBytes
  const largest = tasks.reduce((most, task) => getGrowth(task) > getGrowth(most) ? task : most)
  const victims = largest.task.service === undefined
    ? [largest]
    : tasks.filter(({ task }) => task.service === undefined).sort((one, other) => Number(other.task.member === largest.task.member) - Number(one.task.member === largest.task.member) || other.observed.memoryBytes - one.observed.memoryBytes)
  const victim = victims.find((candidate) => findEvictionBar(state, candidate, 'capacity', largest.task.member, now) === undefined)
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
