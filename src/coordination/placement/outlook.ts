import type { ServiceModel } from './interference.js'
import { estimateRatio, listNeighbours } from './neighbours.js'
import type { WorkerRecord } from './records.js'
import type { PlacementState } from './state.js'

/** What one service of a worker can still bear. */
export interface ServiceOutlook {
  service: string
  model: ServiceModel
  /** Load relative to the typical that is expected when a decision takes effect. */
  load: number
  /** ln of expected p99 over the objective, now and at the load that placements prepare for. */
  ratio: number
  preparedRatio: number
  /** Factor of neighbours' costs at that load. */
  factor: number
  /** Grows as the service comes near its objective. */
  pressure: number
  rejection: string
  /** Age basis: when the last report was measured. */
  measuredAt: number
}

/** An outlook is used again for this long while nothing changes on the worker. */
const KEPT_MS = 1000
const REACTION_MS = 1000
const LARGEST_PRESSURE = 3

/** Part of the way from the present load to the recent peak that placements prepare for. */
export function computePreparation (state: PlacementState): number {
  const { tailLatencyWeight, throughputWeight } = state.policy.policy
  return tailLatencyWeight / (tailLatencyWeight + 20 * throughputWeight + 1e-9)
}

/** Part of the objective, as ln, that is kept free for noise and change. */
export function computeGuardBand (state: PlacementState): number {
  const { tailLatencyWeight, throughputWeight } = state.policy.policy
  return 0.04 + 0.05 * tailLatencyWeight / (tailLatencyWeight + throughputWeight + 1e-9)
}

/** True when a task of this class and size would bring a service of the worker too near its objective. */
export function isCrowded (state: PlacementState, worker: WorkerRecord, jobClass: string, cores: number, now: number): boolean {
  const guardBand = computeGuardBand(state)
  return getOutlook(state, worker, now).some(({ model, preparedRatio, factor }) =>
    preparedRatio + cores / worker.capacity.cores * factor * model.getCost(jobClass) + guardBand > 0)
}

export function getOutlook (state: PlacementState, worker: WorkerRecord, now: number): ServiceOutlook[] {
  if (worker.outlook !== undefined && now - worker.outlookAt < KEPT_MS) return worker.outlook
  const services = [...new Set(worker.replicas.map(({ task }) => task.service as string))].filter((service) => state.services.has(service))
  const neighbours = services.length === 0 ? [] : listNeighbours(worker)
  const preparation = computePreparation(state)
  worker.outlookAt = now
  worker.outlook = services.map((service) => {
    const model = state.interference.getService(service)
    // Commands take about a second to show their effect.
    const load = model.estimateLoad(now + REACTION_MS)
    const preparedLoad = load + preparation * Math.max(0, model.peakLoad - load)
    const ratio = estimateRatio(state, worker, service, load, neighbours, now)
    const preparedRatio = estimateRatio(state, worker, service, preparedLoad, neighbours, now)
    return {
      service,
      model,
      load,
      ratio,
      preparedRatio,
      factor: model.computeLoadFactor(preparedLoad),
      pressure: Math.min(LARGEST_PRESSURE, Math.exp(2 * preparedRatio)),
      rejection: `would bring ${service} too near its objective`,
      measuredAt: worker.levels.get(service)?.measuredAt ?? -Infinity
    }
  })
  return worker.outlook
}
