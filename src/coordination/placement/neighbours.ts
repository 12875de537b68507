import { getUsedCores } from './accounts.js'
import type { Neighbour, ServiceModel } from './interference.js'
import type { LatencyLevel, TaskRecord, WorkerRecord } from './records.js'
import type { PlacementState } from './state.js'
import type { Observation } from './types.js'

/** Commands reach a worker and show their effect within about this time. */
const SETTLING_MS = 1500
/** Reports that are older than this say nothing about the tasks that can still be attributed. */
const OLDEST_REPORT_MS = 60_000
/** ln ratio assumed for a service without any report: it is alone at about 60% of its objective. */
const UNKNOWN_RATIO = -0.5
const RECENT_REPORTS = 16
const OFFSET_GAIN = 0.25
const OFFSET_HALF_LIFE_MS = 60_000

/** Tasks of a worker as neighbours of its replicas, at present shares. */
export function listNeighbours (worker: WorkerRecord): Neighbour[] {
  return [...worker.tasks].map((record) => ({ jobClass: record.task.jobClass, part: computePart(worker, record), service: record.task.service }))
}

export function computePart (worker: WorkerRecord, record: TaskRecord): number {
  return getUsedCores(record) * record.share / worker.capacity.cores
}

/** What ran on a worker when a measurement was taken, with the shares of that time. */
function listNeighboursAt (worker: WorkerRecord, at: number): Neighbour[] {
  const neighbours: Neighbour[] = []
  for (const record of worker.tasks) {
    if (record.startedAt + SETTLING_MS > at) continue
    const share = record.shareChangedAt + SETTLING_MS / 2 <= at ? record.share : record.previousShare
    neighbours.push({ jobClass: record.task.jobClass, part: getUsedCores(record) * share / worker.capacity.cores, service: record.task.service })
  }
  for (const { jobClass, part, service, startedAt, endedAt } of worker.past) {
    if (startedAt + SETTLING_MS <= at && at < endedAt) neighbours.push({ jobClass, part, service })
  }
  return neighbours
}

/** Learns from a late report, attributing it to what ran when it was measured. */
export function recordLatency (state: PlacementState, { service, worker: id, p99Ms, count, measuredAt }: Extract<Observation, { kind: 'latency' }>, now: number): void {
  const worker = state.workers.get(id)
  const replica = worker?.replicas.find(({ task }) => task.service === service)
  if (worker === undefined || replica === undefined || p99Ms <= 0 || count <= 0) return
  if (measuredAt > now || now - measuredAt > OLDEST_REPORT_MS || measuredAt < replica.startedAt) return
  const level = worker.levels.get(service)
  if (level?.recent.includes(measuredAt) === true) return
  const model = state.interference.getService(service)
  const { load, difference } = model.learn(count, p99Ms, listNeighboursAt(worker, measuredAt), measuredAt, now)
  const known = level ?? createLevel(service)
  worker.levels.set(service, known)
  worker.outlook = undefined
  known.recent.push(measuredAt)
  if (known.recent.length > RECENT_REPORTS) known.recent.shift()
  // An older report still teaches the model but does not describe the present.
  if (measuredAt < known.measuredAt) return
  const kept = known.offset * 0.5 ** (Math.max(0, measuredAt - known.measuredAt) / OFFSET_HALF_LIFE_MS)
  Object.assign(known, { measuredAt, receivedAt: now, p99Ms, load, offset: Number.isFinite(known.measuredAt) ? kept + OFFSET_GAIN * (difference - kept) : difference / 2 })
}

function createLevel (service: string): LatencyLevel {
  return { service, measuredAt: -Infinity, receivedAt: -Infinity, p99Ms: 0, load: 1, offset: 0, missedSince: undefined, recent: [] }
}

/** ln of the expected p99 over the objective, for one service of a worker at a load. */
export function estimateRatio (state: PlacementState, worker: WorkerRecord, service: string, load: number, neighbours: Neighbour[], now: number): number {
  const model: ServiceModel = state.interference.getService(service)
  const objective = state.services.get(service)?.latencyMs
  if (objective === undefined) return -Infinity
  const level = worker.levels.get(service)
  const offset = level === undefined ? 0 : level.offset * 0.5 ** (Math.max(0, now - level.measuredAt) / OFFSET_HALF_LIFE_MS)
  const alone = model.reports === 0 ? UNKNOWN_RATIO : -Math.log(objective)
  return model.predict(load, neighbours) + offset + alone
}
