import type { Resources } from '../../state/schemas.js'
import { getAllocated, setShare } from './allocations.js'
import { countRecentEvictions, findEvictionRejection, planStop } from './evictions.js'
import { findHealthRejection } from './health.js'
import { isLatencyAtRisk } from './latencyForecasts.js'
import { isAboveQuota, isEvictionForbidden } from './quotas.js'
import { createFigure, createReason } from './reasons.js'
import { computeAllocatedCores, getUsableCapacity, type TaskRecord, type WorkerRecord } from './records.js'
import { addResources, findExcess } from './resources.js'
import type { PlacementState } from './state.js'
import type { Decision } from './types.js'

const MIN_SHARE = 0.2
/** Time for which no further eviction is planned for the same task, because the stops may still be in progress. */
const PREEMPTION_INTERVAL_MS = 6000
/** Waiting time after which a task of a member below its quota may preempt members above theirs; multiplied by the policy's eviction weight, if above 1. */
const QUOTA_PREEMPTION_WAIT_MS = 180_000
/** At most one preemption by quota within this time; in a lasting backlog, every waiting task would otherwise plan its own. */
const QUOTA_PREEMPTION_INTERVAL_MS = 60_000

/** `worker` is set when the task can start there at once; it is undefined when evicted tasks have yet to stop or nothing can be freed. */
export interface Preemption { decisions: Decision[], worker: WorkerRecord | undefined }

/** Frees resources for an urgent task: by throttling batch tasks if that frees enough cores on a worker, otherwise by evicting them. */
export function planUrgentPreemption (state: PlacementState, record: TaskRecord, size: Resources, now: number): Preemption {
  const workers = state.workerList.filter((worker) => canPreemptOn(worker, record, now))
  const preemption = planThrottles(state, workers, record, size, now)
  if (preemption !== undefined) return preemption
  if (now < (record.preemptionDeadline ?? -Infinity)) return { decisions: [], worker: undefined }
  return { decisions: planEvictions(state, workers, record, size, 'priority', now), worker: undefined }
}

/** After a long wait, evicts tasks of members above their quota for a task of a member below its own. */
export function planQuotaPreemption (state: PlacementState, record: TaskRecord, size: Resources, now: number): Decision[] {
  const wait = QUOTA_PREEMPTION_WAIT_MS * Math.max(1, state.policy.policy.evictionWeight)
  if (now - record.queuedAt < wait || now - state.quotaPreemptedAt < QUOTA_PREEMPTION_INTERVAL_MS) return []
  if (isEvictionForbidden(state, record.task.member, size)) return []
  // Free resources do not help on a worker that rejects the task for the latency of its services.
  const workers = state.workerList.filter((worker) => canPreemptOn(worker, record, now) && !isLatencyAtRisk(state, worker, record.task.jobClass, size.cores, now))
  const decisions = planEvictions(state, workers, record, size, 'quota', now)
  if (decisions.length > 0) state.quotaPreemptedAt = now
  return decisions
}

/** True when the worker would take the task once it has free resources. */
function canPreemptOn (worker: WorkerRecord, record: TaskRecord, now: number): boolean {
  return worker.up && !worker.draining && !worker.guardActive && now >= worker.pausedUntil &&
    findHealthRejection(worker, record) === undefined && (worker.reservedFor === undefined || worker.reservedFor === record.task.id)
}

/** Throttles batch tasks on the worker with the smallest shortage of cores; undefined when throttles cannot free enough on any worker. */
function planThrottles (state: PlacementState, workers: WorkerRecord[], record: TaskRecord, size: Resources, now: number): Preemption | undefined {
  const options = workers.flatMap((worker) => {
    if (worker.held.memoryBytes + size.memoryBytes > getUsableCapacity(worker, now).memoryBytes) return []
    if (worker.held.accelerators + size.accelerators > worker.capacity.accelerators) return []
    const shortage = worker.held.cores + size.cores - worker.capacity.cores
    const throttleableCores = listPreemptible(worker).reduce((sum, victim) => sum + victim.allocation.cores * Math.max(0, victim.allocatedShare - MIN_SHARE), 0)
    return shortage <= throttleableCores ? [{ worker, shortage }] : []
  })
  if (options.length === 0) return undefined
  const { worker, shortage } = options.reduce((best, option) => option.shortage < best.shortage ? option : best)
  let remainingShortage = shortage
  const victims = listPreemptible(worker).sort((one, other) => computeAllocatedCores(other) - computeAllocatedCores(one))
  const decisions = victims.flatMap((victim): Decision[] => {
    if (remainingShortage <= 0) return []
    const allocatedShare = Math.max(MIN_SHARE, victim.allocatedShare - remainingShortage / victim.allocation.cores)
    if (allocatedShare >= victim.allocatedShare) return []
    remainingShortage -= (victim.allocatedShare - allocatedShare) * victim.allocation.cores
    const share = Math.min(victim.share, allocatedShare)
    setShare(victim, share, allocatedShare, now)
    const reason = createReason(state, `throttled to make room for the urgent task ${record.task.id}`, [createFigure('cores wanted', size.cores, 'cores')])
    return [{ kind: 'throttle', task: victim.task.id, worker: worker.id, share, reason }]
  })
  return { decisions, worker }
}

/** Running batch tasks of the worker that are not urgent. */
function listPreemptible (worker: WorkerRecord): TaskRecord[] {
  return [...worker.tasks].filter(({ task, state }) => task.service === undefined && !task.urgent && state === 'running')
}

/** Evicts tasks on the worker where the fewest have to stop, and reserves that worker for the waiting task. */
function planEvictions (state: PlacementState, workers: WorkerRecord[], record: TaskRecord, size: Resources, cause: 'priority' | 'quota', now: number): Decision[] {
  const { member } = record.task
  // To evict a task of another member, the member must be within its quota with the waiting task included.
  const mayEvictOthers = !isEvictionForbidden(state, member, size)
  const allowed = state.policy.policy.evictionsPerMinute - countRecentEvictions(state, now)
  const options = workers.flatMap((worker) => {
    const victims = listPreemptible(worker)
      .filter((victim) => isEvictable(state, victim, record, cause, mayEvictOthers, now))
      .sort((one, other) => other.allocation.memoryBytes - one.allocation.memoryBytes)
    const chosen = chooseVictims(victims, size, worker.held, getUsableCapacity(worker, now))
    // Where the task already fits, something else rules the worker out, and an eviction would not help.
    return chosen === undefined || chosen.length === 0 || chosen.length > allowed ? [] : [{ worker, chosen }]
  })
  if (options.length === 0) return []
  const { worker, chosen } = options.reduce((best, option) => option.chosen.length < best.chosen.length ? option : best)
  record.preemptionDeadline = now + PREEMPTION_INTERVAL_MS
  recordReservation(worker, record, now)
  const summary = cause === 'priority' ? `stopped for the urgent task ${record.task.id}` : `stopped for ${record.task.id} of ${member}, which is below its quota`
  return chosen.map((victim) => planStop(state, victim, {
    cause, causingMember: member, causingTask: record.task.id, summary, figures: [createFigure('waited', now - record.queuedAt, 'ms'), createFigure('memory wanted', size.memoryBytes / 1e9, 'GB')]
  }, now))
}

/** True when the task may be evicted for `record`; under the cause `quota`, only tasks of members above their quota. */
function isEvictable (state: PlacementState, victim: TaskRecord, record: TaskRecord, cause: 'priority' | 'quota', mayEvictOthers: boolean, now: number): boolean {
  const isOwnTask = victim.task.member === record.task.member
  if (!isOwnTask && !mayEvictOthers) return false
  if (cause === 'quota' && (isOwnTask || !isAboveQuota(state, victim.task.member))) return false
  return victim.task.idempotent && findEvictionRejection(state, victim, cause, record.task.member, now) === undefined
}

/** The first tasks of `victims` whose stop frees enough for `size`; undefined when all of them together do not. */
function chooseVictims (victims: TaskRecord[], size: Resources, allHeld: Resources, capacity: Resources): TaskRecord[] | undefined {
  const held = { ...allHeld }
  const chosen: TaskRecord[] = []
  for (const victim of victims) {
    if (findExcess(size, capacity, held) === undefined) break
    addResources(held, getAllocated(victim), -1)
    chosen.push(victim)
  }
  return findExcess(size, capacity, held) === undefined ? chosen : undefined
}

export function recordReservation (worker: WorkerRecord, record: TaskRecord, now: number): void {
  worker.reservedFor = record.task.id
  worker.reservedAt = now
}
