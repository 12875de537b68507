import { getUsedCores } from './allocations.js'
import type { Neighbour, ServiceModel } from './interference.js'
import type { LatencyState, TaskRecord, WorkerRecord } from './records.js'
import type { PlacementState } from './state.js'
import type { Observation } from './types.js'

/** Time from a command until a worker's latency shows its effect; measurements within it are not attributed to a new task. */
const SETTLING_MS = 1500
/** Older latency reports are dropped, because the ended tasks of their time are no longer known. */
const MAX_REPORT_AGE_MS = 60_000
/** Log ratio assumed for a service without reports: without neighbours, its p99 is about 60% of its objective. */
const UNKNOWN_LOG_RATIO = -0.5
/** Measurement times kept to recognise duplicate reports. */
const MAX_RECENT_REPORTS = 16
const OFFSET_GAIN = 0.25
const OFFSET_HALF_LIFE_MS = 60_000

/** Tasks on a worker at their present CPU shares, replicas included. */
export function listNeighbours (worker: WorkerRecord): Neighbour[] {
  return [...worker.tasks].map((record) => ({ jobClass: record.task.jobClass, coreShare: computeCoreShare(worker, record), service: record.task.service }))
}

/** Part of the worker's cores that a task uses at its present CPU share. */
export function computeCoreShare (worker: WorkerRecord, record: TaskRecord): number {
  return getUsedCores(record) * record.share / worker.capacity.cores
}

/** Tasks that ran on a worker when a measurement was taken, with their CPU shares at that time. */
function listNeighboursAt (worker: WorkerRecord, at: number): Neighbour[] {
  const neighbours: Neighbour[] = []
  for (const record of worker.tasks) {
    if (record.startedAt + SETTLING_MS > at) continue
    const share = record.shareChangedAt + SETTLING_MS / 2 <= at ? record.share : record.previousShare
    neighbours.push({ jobClass: record.task.jobClass, coreShare: getUsedCores(record) * share / worker.capacity.cores, service: record.task.service })
  }
  for (const { jobClass, coreShare, service, startedAt, endedAt } of worker.endedTasks) {
    if (startedAt + SETTLING_MS <= at && at < endedAt) neighbours.push({ jobClass, coreShare, service })
  }
  return neighbours
}

/** Updates the model of a service by a latency report, attributed to the tasks that ran when it was measured. */
export function recordLatency (state: PlacementState, { service, worker: id, p99Ms, count, measuredAt }: Extract<Observation, { kind: 'latency' }>, now: number): void {
  const worker = state.workers.get(id)
  const replica = worker?.replicas.find(({ task }) => task.service === service)
  if (worker === undefined || replica === undefined || p99Ms <= 0 || count <= 0) return
  if (measuredAt > now || now - measuredAt > MAX_REPORT_AGE_MS || measuredAt < replica.startedAt) return
  const existing = worker.latencyStates.get(service)
  if (existing?.recent.includes(measuredAt) === true) return
  const model = state.interference.getService(service)
  const { load, residual } = model.learn(count, p99Ms, listNeighboursAt(worker, measuredAt), measuredAt, now)
  const latencyState = existing ?? createLatencyState(service)
  worker.latencyStates.set(service, latencyState)
  worker.forecasts = undefined
  latencyState.recent.push(measuredAt)
  if (latencyState.recent.length > MAX_RECENT_REPORTS) latencyState.recent.shift()
  // A report older than the last one updates the model but not the present latency of the replica.
  if (measuredAt < latencyState.measuredAt) return
  const decayedOffset = latencyState.offset * 0.5 ** (Math.max(0, measuredAt - latencyState.measuredAt) / OFFSET_HALF_LIFE_MS)
  Object.assign(latencyState, { measuredAt, receivedAt: now, p99Ms, load, offset: Number.isFinite(latencyState.measuredAt) ? decayedOffset + OFFSET_GAIN * (residual - decayedOffset) : residual / 2 })
}

function createLatencyState (service: string): LatencyState {
  return { service, measuredAt: -Infinity, receivedAt: -Infinity, p99Ms: 0, load: 1, offset: 0, objectiveMissedSince: undefined, recent: [] }
}

/** Log ratio of a service on a worker at a load: ln of its expected p99 over its objective, 0 at the objective. */
export function estimateLogRatio (state: PlacementState, worker: WorkerRecord, service: string, load: number, neighbours: Neighbour[], now: number): number {
  const model: ServiceModel = state.interference.getService(service)
  const objective = state.services.get(service)?.latencyMs
  if (objective === undefined) return -Infinity
  const latencyState = worker.latencyStates.get(service)
  const offset = latencyState === undefined ? 0 : latencyState.offset * 0.5 ** (Math.max(0, now - latencyState.measuredAt) / OFFSET_HALF_LIFE_MS)
  const baseline = model.reports === 0 ? UNKNOWN_LOG_RATIO : -Math.log(objective)
  return model.predict(load, neighbours) + offset + baseline
}
