import type { Resources } from '../../state/schemas.js'
import { getHeld, setShare } from './accounts.js'
import { countRecentEvictions, findEvictionBar, planStop } from './evictions.js'
import { findHealthRejection } from './health.js'
import { isCrowded } from './outlook.js'
import { isAboveQuota, isBarredFromEvicting } from './quotas.js'
import { createFigure, createReason } from './reasons.js'
import { computeHeldCores, type TaskRecord, type WorkerRecord } from './records.js'
import { addResources, findExcess } from './resources.js'
import type { PlacementState } from './state.js'
import type { Decision } from './types.js'

const SMALLEST_SHARE = 0.2
/** A displacement is not repeated while its stops may still be under way. */
const DISPLACEMENT_MS = 6000
/** Wait of a member below its quota before it displaces one above, times the weight of evictions. */
const QUOTA_WAIT_MS = 180_000
/** At most one displacement by quota within this time; with a lasting backlog each waiting task would order its own. */
const QUOTA_PAUSE_MS = 60_000

export interface Displacement { decisions: Decision[], worker: WorkerRecord | undefined }

/** Makes room for an urgent task: by throttling where that suffices, otherwise by stops. */
export function planUrgentRoom (state: PlacementState, record: TaskRecord, size: Resources, now: number): Displacement {
  const workers = state.workerList.filter((worker) => isUsable(worker, record, now))
  const throttled = planThrottledRoom(state, workers, record, size, now)
  if (throttled !== undefined) return throttled
  if (now < (record.displacementDeadline ?? -Infinity)) return { decisions: [], worker: undefined }
  return { decisions: planStops(state, workers, record, size, 'priority', now), worker: undefined }
}

/** Lets a member below its quota displace tasks of members above theirs after a long wait. */
export function planQuotaRoom (state: PlacementState, record: TaskRecord, size: Resources, now: number): Decision[] {
  const wait = QUOTA_WAIT_MS * Math.max(1, state.policy.policy.evictionWeight)
  if (now - record.queuedAt < wait || now - state.quotaDisplacedAt < QUOTA_PAUSE_MS) return []
  if (isBarredFromEvicting(state, record.task.member, size)) return []
  // Room does not help a task that waits because of the services.
  const workers = state.workerList.filter((worker) => isUsable(worker, record, now) && !isCrowded(state, worker, record.task.jobClass, size.cores, now))
  const decisions = planStops(state, workers, record, size, 'quota', now)
  if (decisions.length > 0) state.quotaDisplacedAt = now
  return decisions
}

function isUsable (worker: WorkerRecord, record: TaskRecord, now: number): boolean {
  return worker.up && !worker.draining && !worker.guardActive && now >= worker.guardDeadline &&
    findHealthRejection(worker, record) === undefined && (worker.reservedFor === undefined || worker.reservedFor === record.task.id)
}

function planThrottledRoom (state: PlacementState, workers: WorkerRecord[], record: TaskRecord, size: Resources, now: number): Displacement | undefined {
  const options = workers.flatMap((worker) => {
    if (worker.held.memoryBytes + size.memoryBytes > worker.capacity.memoryBytes) return []
    if (worker.held.accelerators + size.accelerators > worker.capacity.accelerators) return []
    const shortage = worker.held.cores + size.cores - worker.capacity.cores
    const spare = listVictims(worker).reduce((sum, victim) => sum + victim.promise.cores * Math.max(0, victim.heldShare - SMALLEST_SHARE), 0)
    return shortage <= spare ? [{ worker, shortage }] : []
  })
  if (options.length === 0) return undefined
  const { worker, shortage } = options.reduce((best, option) => option.shortage < best.shortage ? option : best)
  let missing = shortage
  const victims = listVictims(worker).sort((one, other) => computeHeldCores(other) - computeHeldCores(one))
  const decisions = victims.flatMap((victim): Decision[] => {
    if (missing <= 0) return []
    const heldShare = Math.max(SMALLEST_SHARE, victim.heldShare - missing / victim.promise.cores)
    if (heldShare >= victim.heldShare) return []
    missing -= (victim.heldShare - heldShare) * victim.promise.cores
    const share = Math.min(victim.share, heldShare)
    setShare(victim, share, heldShare, now)
    const reason = createReason(state, `throttled to make room for the urgent task ${record.task.id}`, [createFigure('cores wanted', size.cores, 'cores')])
    return [{ kind: 'throttle', task: victim.task.id, worker: worker.id, share, reason }]
  })
  return { decisions, worker }
}

function listVictims (worker: WorkerRecord): TaskRecord[] {
  return [...worker.tasks].filter(({ task, state }) => task.service === undefined && !task.urgent && state === 'running')
}

/** Stops the fewest tasks on one worker and reserves it for the task that waits. */
function planStops (state: PlacementState, workers: WorkerRecord[], record: TaskRecord, size: Resources, cause: 'priority' | 'quota', now: number): Decision[] {
  const { member } = record.task
  // With its own task counted, the member must not be above its quota when it displaces a rival.
  const mayDisplaceRivals = !isBarredFromEvicting(state, member, size)
  const allowed = state.policy.policy.evictionsPerMinute - countRecentEvictions(state, now)
  const options = workers.flatMap((worker) => {
    const victims = listVictims(worker)
      .filter((victim) => isVictim(state, victim, record, cause, mayDisplaceRivals, now))
      .sort((one, other) => other.promise.memoryBytes - one.promise.memoryBytes)
    const chosen = chooseVictims(worker, victims, size)
    return chosen === undefined || chosen.length > allowed ? [] : [{ worker, chosen }]
  })
  if (options.length === 0) return []
  const { worker, chosen } = options.reduce((best, option) => option.chosen.length < best.chosen.length ? option : best)
  record.displacementDeadline = now + DISPLACEMENT_MS
  recordReservation(worker, record, now)
  const summary = cause === 'priority' ? `stopped for the urgent task ${record.task.id}` : `stopped for ${record.task.id} of ${member}, which is below its quota`
  return chosen.map((victim) => planStop(state, victim, {
    cause, causingMember: member, causingTask: record.task.id, summary, figures: [createFigure('waited', now - record.queuedAt, 'ms'), createFigure('memory wanted', size.memoryBytes / 1e9, 'GB')]
  }, now))
}

function isVictim (state: PlacementState, victim: TaskRecord, record: TaskRecord, cause: 'priority' | 'quota', mayDisplaceRivals: boolean, now: number): boolean {
  const own = victim.task.member === record.task.member
  if (!own && !mayDisplaceRivals) return false
  if (cause === 'quota' && (own || !isAboveQuota(state, victim.task.member))) return false
  return victim.task.idempotent && findEvictionBar(state, victim, cause, record.task.member, now) === undefined
}

function chooseVictims (worker: WorkerRecord, victims: TaskRecord[], size: Resources): TaskRecord[] | undefined {
  const held = { ...worker.held }
  const chosen: TaskRecord[] = []
  for (const victim of victims) {
    if (findExcess(size, worker.capacity, held) === undefined) break
    addResources(held, getHeld(victim), -1)
    chosen.push(victim)
  }
  return findExcess(size, worker.capacity, held) === undefined ? chosen : undefined
}

export function recordReservation (worker: WorkerRecord, record: TaskRecord, now: number): void {
  worker.reservedFor = record.task.id
  worker.reservedAt = now
}
