import { setShare } from './accounts.js'
import { findEvictionBar, planMove } from './evictions.js'
import { computePart } from './neighbours.js'
import { getOutlook, type ServiceOutlook } from './outlook.js'
import { createFigure, createReason, type Figure } from './reasons.js'
import { computeHeldCores, type TaskRecord, type WorkerRecord } from './records.js'
import type { PlacementState } from './state.js'
import type { Decision } from './types.js'

/** Part of the objective, as ln, at which neighbours are throttled when only tail latency counts. */
const LARGEST_BAND = 0.12
/** Further distance from the objective at which they are released again. */
const HYSTERESIS = 0.06
const SMALLEST_SHARE = 0.1
const SHARE_STEP = 0.05
/** Changes of less cost than this are not worth a throttle. */
const SMALLEST_COST = 0.05
const LARGEST_RELEASE = 0.6
const RELEASE_PAUSE_MS = 2000
const CHECK_EVERY_MS = 500
const FRESH_MS = 12_000
/** Time at the lowest share with a missed objective before a move, times the weight of evictions. */
const MOVE_AFTER_MS = 20_000

interface Neighbour { record: TaskRecord, fullPart: number, costs: number[] }

/** Keeps services within their objective: throttles neighbours, releases them with hysteresis, moves them last. */
export function planProtection (state: PlacementState, now: number): Decision[] {
  return state.workerList.flatMap((worker) => {
    if (!worker.up || worker.tasks.size === 0 || now - worker.checkedAt < CHECK_EVERY_MS) return []
    worker.checkedAt = now
    const outlooks = getOutlook(state, worker, now)
    if (outlooks.some(({ ratio }) => ratio > getThrottleLimit(state))) return planThrottles(state, worker, outlooks, now)
    return planReleases(state, worker, outlooks, now)
  })
}

/** Neighbours are throttled when ln of expected p99 over the objective is above this. */
function getThrottleLimit (state: PlacementState): number {
  const { tailLatencyWeight, throughputWeight } = state.policy.policy
  return -LARGEST_BAND * tailLatencyWeight / (tailLatencyWeight + throughputWeight + 1e-9)
}

function listThrottleable (worker: WorkerRecord, outlooks: ServiceOutlook[]): Neighbour[] {
  return [...worker.tasks]
    .filter(({ task, state }) => task.service === undefined && !task.urgent && state === 'running')
    .map((record) => ({
      record,
      fullPart: computePart(worker, record) / record.share,
      costs: outlooks.map(({ model, load }) => model.computeLoadFactor(load) * model.getCost(record.task.jobClass))
    }))
}

function planThrottles (state: PlacementState, worker: WorkerRecord, outlooks: ServiceOutlook[], now: number): Decision[] {
  const limit = getThrottleLimit(state)
  const needs = outlooks.map(({ ratio }) => ratio - limit)
  const getEffect = ({ costs }: Neighbour): number => costs.reduce((most, cost, index) => (needs[index] as number) > 0 ? Math.max(most, cost) : most, 0)
  const neighbours = listThrottleable(worker, outlooks).sort((one, other) => getEffect(other) - getEffect(one))
  const decisions: Decision[] = []
  for (const neighbour of neighbours) {
    if (needs.every((need) => need <= 0) || getEffect(neighbour) < SMALLEST_COST) break
    const { record, fullPart, costs } = neighbour
    const wanted = Math.max(...needs.map((need, index) => need > 0 ? need / Math.max(1e-6, fullPart * (costs[index] as number)) : 0))
    const share = Math.max(SMALLEST_SHARE, Math.floor((record.share - wanted) / SHARE_STEP) * SHARE_STEP)
    if (share > record.share - SHARE_STEP / 2) continue
    costs.forEach((cost, index) => { needs[index] = (needs[index] as number) - cost * fullPart * (record.share - share) })
    decisions.push(throttleTask(state, worker, record, share, 'throttled to protect', outlooks, now))
  }
  if (needs.some((need) => need > 0)) decisions.push(...planMoves(state, worker, outlooks, neighbours, now))
  else resetMisses(worker)
  return decisions
}

function planReleases (state: PlacementState, worker: WorkerRecord, outlooks: ServiceOutlook[], now: number): Decision[] {
  resetMisses(worker)
  const limit = getThrottleLimit(state) - HYSTERESIS
  const throttled = [...worker.tasks].some(({ share }) => share < 1)
  if (!throttled || outlooks.some(({ ratio, measuredAt }) => ratio > limit || now - measuredAt > FRESH_MS)) return []
  const slacks = outlooks.map(({ ratio }) => limit - ratio + SHARE_STEP)
  const neighbours = listThrottleable(worker, outlooks)
    .filter(({ record }) => record.share < 1 && now - record.shareChangedAt >= RELEASE_PAUSE_MS)
    .sort((one, other) => Math.max(0, ...one.costs) - Math.max(0, ...other.costs))
  const decisions: Decision[] = []
  let room = worker.capacity.cores - worker.held.cores
  for (const { record, fullPart, costs } of neighbours) {
    const allowed = Math.min(LARGEST_RELEASE, ...costs.map((cost, index) => (slacks[index] as number) / Math.max(1e-6, cost * fullPart)))
    const roomShare = record.heldShare === 1 ? 1 : record.heldShare + room / Math.max(1e-9, record.promise.cores)
    const share = Math.min(1, roomShare, Math.floor((record.share + allowed) / SHARE_STEP + 1e-6) * SHARE_STEP)
    if (share < record.share + SHARE_STEP / 2) continue
    costs.forEach((cost, index) => { slacks[index] = (slacks[index] as number) - cost * fullPart * (share - record.share) })
    const before = computeHeldCores(record)
    decisions.push(throttleTask(state, worker, record, share, 'released: there is room below the objective of', outlooks, now))
    room -= computeHeldCores(record) - before
  }
  return decisions
}

function throttleTask (state: PlacementState, worker: WorkerRecord, record: TaskRecord, share: number, summary: string, outlooks: ServiceOutlook[], now: number): Decision {
  const nearest = outlooks.reduce<ServiceOutlook | undefined>((most, outlook) => most === undefined || outlook.ratio > most.ratio ? outlook : most, undefined)
  setShare(record, share, record.heldShare === 1 ? 1 : share, now)
  const reason = createReason(state, `${summary} ${nearest?.service ?? 'no service'}`, nearest === undefined ? [] : listFigures(state, nearest, record, now))
  return { kind: 'throttle', task: record.task.id, worker: worker.id, share, reason }
}

function listFigures (state: PlacementState, outlook: ServiceOutlook, record: TaskRecord, now: number): Figure[] {
  const ageMs = Number.isFinite(outlook.measuredAt) ? now - outlook.measuredAt : 0
  const pair = outlook.model.getPair(record.task.jobClass)
  return [
    createFigure('expected p99 of the objective', Math.exp(outlook.ratio), 'ratio', ageMs),
    createFigure('objective', state.services.get(outlook.service)?.latencyMs ?? 0, 'ms'),
    createFigure('load of the typical', outlook.load, 'ratio', ageMs),
    createFigure(`cost of ${record.task.jobClass} on a whole worker`, pair.cost, 'ln p99', now - pair.updatedAt),
    createFigure('standard deviation of that cost', pair.deviation, 'ln p99', now - pair.updatedAt)
  ]
}

/** Moves the costliest neighbour when the objective stays missed although all are at their lowest share. */
function planMoves (state: PlacementState, worker: WorkerRecord, outlooks: ServiceOutlook[], neighbours: Neighbour[], now: number): Decision[] {
  const missed = outlooks.find(({ service, measuredAt }) => {
    const level = worker.levels.get(service)
    if (level === undefined || now - measuredAt > FRESH_MS || level.p99Ms <= (state.services.get(service)?.latencyMs ?? Infinity)) return false
    level.missedSince ??= now
    return now - level.missedSince >= MOVE_AFTER_MS * Math.max(1, state.policy.policy.evictionWeight)
  })
  const replica = worker.replicas.find(({ task }) => task.service === missed?.service)
  if (missed === undefined || replica === undefined) return []
  const index = outlooks.indexOf(missed)
  const victim = neighbours
    .filter(({ record, fullPart, costs }) => fullPart * (costs[index] as number) >= SMALLEST_COST &&
      findEvictionBar(state, record, 'interference', replica.task.member, now) === undefined)
    .sort((one, other) => (other.costs[index] as number) * other.fullPart - (one.costs[index] as number) * one.fullPart)[0]
  if (victim === undefined) return []
  const level = worker.levels.get(missed.service)
  if (level !== undefined) level.missedSince = now
  return [planMove(state, victim.record, {
    cause: 'interference',
    causingMember: replica.task.member,
    causingTask: replica.task.id,
    summary: `${missed.service} misses its objective although its neighbours are throttled`,
    figures: listFigures(state, missed, victim.record, now)
  }, now)]
}

function resetMisses (worker: WorkerRecord): void {
  worker.levels.forEach((level) => { level.missedSince = undefined })
}
