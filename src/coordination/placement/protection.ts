import { setShare } from './allocations.js'
import { findEvictionRejection, planMove } from './evictions.js'
import { computeCoreShare } from './neighbours.js'
import { getForecasts, type LatencyForecast } from './latencyForecasts.js'
import { createFigure, createReason, type Figure } from './reasons.js'
import { computeAllocatedCores, type TaskRecord, type WorkerRecord } from './records.js'
import type { PlacementState } from './state.js'
import type { Decision } from './types.js'

/** Distance from the objective, in ln p99, at which neighbours are throttled if the policy weighs only tail latency. */
const MAX_THROTTLE_MARGIN = 0.12
/** Further distance below the throttle threshold at which neighbours are released again. */
const RELEASE_HYSTERESIS = 0.06
const MIN_SHARE = 0.1
/** Throttles and releases change CPU shares in multiples of this. */
const SHARE_STEP = 0.05
/** Neighbours with an interference cost below this are not throttled; those whose interference at full share is below this are not moved. */
const MIN_COST = 0.05
/** Increase of a CPU share by one release. */
const MAX_SHARE_INCREASE = 0.6
/** Time after a change of the CPU share before it is raised. */
const RELEASE_PAUSE_MS = 2000
const CHECK_INTERVAL_MS = 500
/** Age of the last latency report above which neighbours are neither released nor moved. */
const MAX_REPORT_AGE_MS = 12_000
/** Time for which throttles do not suffice and the objective is missed before a neighbour is moved; multiplied by the policy's eviction weight, if above 1. */
const MOVE_AFTER_MS = 20_000

/** A batch task beside replicas, the part of the worker's cores that it uses when it is not throttled, and its interference cost for each forecast. */
interface BatchNeighbour { record: TaskRecord, unthrottledCoreShare: number, costs: number[] }

/**
 * Keeps services within their latency objective: throttles batch tasks on their workers, releases them with hysteresis,
 * and moves a task to another worker only if throttles do not suffice.
 */
export function planProtection (state: PlacementState, now: number): Decision[] {
  return state.workerList.flatMap((worker) => {
    if (!worker.up || worker.tasks.size === 0 || now - worker.protectionCheckedAt < CHECK_INTERVAL_MS) return []
    worker.protectionCheckedAt = now
    const forecasts = getForecasts(state, worker, now)
    if (forecasts.some(({ ratio }) => ratio > getThrottleThreshold(state))) return planThrottles(state, worker, forecasts, now)
    return planReleases(state, worker, forecasts, now)
  })
}

/** Log ratio of a service above which its neighbours are throttled. */
function getThrottleThreshold (state: PlacementState): number {
  const { tailLatencyWeight, throughputWeight } = state.policy.policy
  return -MAX_THROTTLE_MARGIN * tailLatencyWeight / (tailLatencyWeight + throughputWeight + 1e-9)
}

function listThrottleable (worker: WorkerRecord, forecasts: LatencyForecast[]): BatchNeighbour[] {
  return [...worker.tasks]
    .filter(({ task, state }) => task.service === undefined && !task.urgent && state === 'running')
    .map((record) => ({
      record,
      unthrottledCoreShare: computeCoreShare(worker, record) / record.share,
      costs: forecasts.map(({ model, load }) => model.computeLoadFactor(load) * model.getCost(record.task.jobClass))
    }))
}

/** Throttles the neighbours with the highest interference cost first, each by as much as the services need. */
function planThrottles (state: PlacementState, worker: WorkerRecord, forecasts: LatencyForecast[], now: number): Decision[] {
  const threshold = getThrottleThreshold(state)
  const excesses = forecasts.map(({ ratio }) => ratio - threshold)
  const getEffect = ({ costs }: BatchNeighbour): number => costs.reduce((most, cost, index) => (excesses[index] as number) > 0 ? Math.max(most, cost) : most, 0)
  const neighbours = listThrottleable(worker, forecasts).sort((one, other) => getEffect(other) - getEffect(one))
  const decisions: Decision[] = []
  for (const neighbour of neighbours) {
    if (excesses.every((excess) => excess <= 0) || getEffect(neighbour) < MIN_COST) break
    const { record, unthrottledCoreShare, costs } = neighbour
    const wanted = Math.max(...excesses.map((excess, index) => excess > 0 ? excess / Math.max(1e-6, unthrottledCoreShare * (costs[index] as number)) : 0))
    const share = Math.max(MIN_SHARE, Math.floor((record.share - wanted) / SHARE_STEP) * SHARE_STEP)
    if (share > record.share - SHARE_STEP / 2) continue
    costs.forEach((cost, index) => { excesses[index] = (excesses[index] as number) - cost * unthrottledCoreShare * (record.share - share) })
    decisions.push(throttleTask(state, worker, record, share, 'throttled to protect', forecasts, now))
  }
  if (excesses.some((excess) => excess > 0)) decisions.push(...planMoves(state, worker, forecasts, neighbours, now))
  else resetMissedObjectives(worker)
  return decisions
}

/** Raises the CPU shares of throttled tasks, those with the lowest interference cost first, by as much as the expected latency of every service permits. */
function planReleases (state: PlacementState, worker: WorkerRecord, forecasts: LatencyForecast[], now: number): Decision[] {
  resetMissedObjectives(worker)
  const threshold = getThrottleThreshold(state) - RELEASE_HYSTERESIS
  const throttled = [...worker.tasks].some(({ share }) => share < 1)
  if (!throttled || forecasts.some(({ ratio, measuredAt }) => ratio > threshold || now - measuredAt > MAX_REPORT_AGE_MS)) return []
  const slacks = forecasts.map(({ ratio }) => threshold - ratio + SHARE_STEP)
  const neighbours = listThrottleable(worker, forecasts)
    .filter(({ record }) => record.share < 1 && now - record.shareChangedAt >= RELEASE_PAUSE_MS)
    .sort((one, other) => Math.max(0, ...one.costs) - Math.max(0, ...other.costs))
  const decisions: Decision[] = []
  let freeCores = worker.capacity.cores - worker.held.cores
  for (const { record, unthrottledCoreShare, costs } of neighbours) {
    const allowed = Math.min(MAX_SHARE_INCREASE, ...costs.map((cost, index) => (slacks[index] as number) / Math.max(1e-6, cost * unthrottledCoreShare)))
    const maxShareByCores = record.allocatedShare === 1 ? 1 : record.allocatedShare + freeCores / Math.max(1e-9, record.allocation.cores)
    const share = Math.min(1, maxShareByCores, Math.floor((record.share + allowed) / SHARE_STEP + 1e-6) * SHARE_STEP)
    if (share < record.share + SHARE_STEP / 2) continue
    costs.forEach((cost, index) => { slacks[index] = (slacks[index] as number) - cost * unthrottledCoreShare * (share - record.share) })
    const coresBefore = computeAllocatedCores(record)
    decisions.push(throttleTask(state, worker, record, share, 'released: there is room below the objective of', forecasts, now))
    freeCores -= computeAllocatedCores(record) - coresBefore
  }
  return decisions
}

function throttleTask (state: PlacementState, worker: WorkerRecord, record: TaskRecord, share: number, summary: string, forecasts: LatencyForecast[], now: number): Decision {
  const tightest = forecasts.reduce<LatencyForecast | undefined>((most, forecast) => most === undefined || forecast.ratio > most.ratio ? forecast : most, undefined)
  setShare(record, share, record.allocatedShare === 1 ? 1 : share, now)
  const reason = createReason(state, `${summary} ${tightest?.service ?? 'no service'}`, tightest === undefined ? [] : listFigures(state, tightest, record, now))
  return { kind: 'throttle', task: record.task.id, worker: worker.id, share, reason }
}

function listFigures (state: PlacementState, forecast: LatencyForecast, record: TaskRecord, now: number): Figure[] {
  const ageMs = Number.isFinite(forecast.measuredAt) ? now - forecast.measuredAt : 0
  const pair = forecast.model.getPair(record.task.jobClass)
  return [
    createFigure('expected p99 of the objective', Math.exp(forecast.ratio), 'ratio', ageMs),
    createFigure('objective', state.services.get(forecast.service)?.latencyMs ?? 0, 'ms'),
    createFigure('load of the typical', forecast.load, 'ratio', ageMs),
    createFigure(`cost of ${record.task.jobClass} on a whole worker`, pair.cost, 'ln p99', now - pair.updatedAt),
    createFigure('standard deviation of that cost', pair.deviation, 'ln p99', now - pair.updatedAt)
  ]
}

/** Moves the neighbour with the most interference when a service keeps missing its objective although throttles can do no more. */
function planMoves (state: PlacementState, worker: WorkerRecord, forecasts: LatencyForecast[], neighbours: BatchNeighbour[], now: number): Decision[] {
  const missedForecast = forecasts.find(({ service, measuredAt }) => {
    const latencyState = worker.latencyStates.get(service)
    if (latencyState === undefined || now - measuredAt > MAX_REPORT_AGE_MS || latencyState.p99Ms <= (state.services.get(service)?.latencyMs ?? Infinity)) return false
    latencyState.objectiveMissedSince ??= now
    return now - latencyState.objectiveMissedSince >= MOVE_AFTER_MS * Math.max(1, state.policy.policy.evictionWeight)
  })
  const replica = worker.replicas.find(({ task }) => task.service === missedForecast?.service)
  if (missedForecast === undefined || replica === undefined) return []
  const index = forecasts.indexOf(missedForecast)
  const victim = neighbours
    .filter(({ record, unthrottledCoreShare, costs }) => unthrottledCoreShare * (costs[index] as number) >= MIN_COST &&
      findEvictionRejection(state, record, 'interference', replica.task.member, now) === undefined)
    .sort((one, other) => (other.costs[index] as number) * other.unthrottledCoreShare - (one.costs[index] as number) * one.unthrottledCoreShare)[0]
  if (victim === undefined) return []
  const latencyState = worker.latencyStates.get(missedForecast.service)
  if (latencyState !== undefined) latencyState.objectiveMissedSince = now
  return [planMove(state, victim.record, {
    cause: 'interference',
    causingMember: replica.task.member,
    causingTask: replica.task.id,
    summary: `${missedForecast.service} misses its objective although its neighbours are throttled`,
    figures: listFigures(state, missedForecast, victim.record, now)
  }, now)]
}

function resetMissedObjectives (worker: WorkerRecord): void {
  worker.latencyStates.forEach((latencyState) => { latencyState.objectiveMissedSince = undefined })
}
