import type { ServiceModel } from './interference.js'
import { estimateLogRatio, listNeighbours } from './neighbours.js'
import type { WorkerRecord } from './records.js'
import type { PlacementState } from './state.js'

/** Expected latency of a service on a worker, at present and at the planning load. */
export interface LatencyForecast {
  service: string
  model: ServiceModel
  /** Load, relative to the typical load, that is expected when a decision takes effect. */
  load: number
  /** ln of expected p99 over the objective, at the present load and at the planning load for which placements leave headroom. */
  ratio: number
  planningRatio: number
  /** Factor of the interference costs at the planning load. */
  costFactor: number
  /** Weight of further interference in the score of a worker; grows as the expected p99 at the planning load nears the objective. */
  pressure: number
  /** Reason given when a task is rejected for this service. */
  rejection: string
  /** When the last report was measured, from which the age of figures is computed. */
  measuredAt: number
}

/** Forecasts are reused for this time while the tasks and reports of the worker stay the same. */
const FORECAST_LIFETIME_MS = 1000
/** Approximate time until a command shows its effect; loads are forecast for that time. */
const COMMAND_EFFECT_MS = 1000
const MAX_PRESSURE = 3

/** Position of the planning load between the present load (0) and the recent peak (1). */
export function computePeakWeight (state: PlacementState): number {
  const { tailLatencyWeight, throughputWeight } = state.policy.policy
  return tailLatencyWeight / (tailLatencyWeight + 20 * throughputWeight + 1e-9)
}

/** Distance from the objective, in ln p99, that placements keep free for noise and changes. */
export function computeLatencyMargin (state: PlacementState): number {
  const { tailLatencyWeight, throughputWeight } = state.policy.policy
  return 0.04 + 0.05 * tailLatencyWeight / (tailLatencyWeight + throughputWeight + 1e-9)
}

/** True when a task of this class and size would bring a service of the worker above its objective less the latency margin. */
export function isLatencyAtRisk (state: PlacementState, worker: WorkerRecord, jobClass: string, cores: number, now: number): boolean {
  const latencyMargin = computeLatencyMargin(state)
  return getForecasts(state, worker, now).some(({ model, planningRatio, costFactor }) =>
    planningRatio + cores / worker.capacity.cores * costFactor * model.getCost(jobClass) + latencyMargin > 0)
}

/** Forecasts for the services with replicas on the worker. */
export function getForecasts (state: PlacementState, worker: WorkerRecord, now: number): LatencyForecast[] {
  if (worker.forecasts !== undefined && now - worker.forecastsAt < FORECAST_LIFETIME_MS) return worker.forecasts
  const services = [...new Set(worker.replicas.map(({ task }) => task.service as string))].filter((service) => state.services.has(service))
  const neighbours = services.length === 0 ? [] : listNeighbours(worker)
  const peakWeight = computePeakWeight(state)
  worker.forecastsAt = now
  worker.forecasts = services.map((service) => {
    const model = state.interference.getService(service)
    const load = model.estimateLoad(now + COMMAND_EFFECT_MS)
    const planningLoad = load + peakWeight * Math.max(0, model.peakLoad - load)
    const ratio = estimateLogRatio(state, worker, service, load, neighbours, now)
    const planningRatio = estimateLogRatio(state, worker, service, planningLoad, neighbours, now)
    return {
      service,
      model,
      load,
      ratio,
      planningRatio,
      costFactor: model.computeLoadFactor(planningLoad),
      pressure: Math.min(MAX_PRESSURE, Math.exp(2 * planningRatio)),
      rejection: `would bring ${service} too near its objective`,
      measuredAt: worker.latencyStates.get(service)?.measuredAt ?? -Infinity
    }
  })
  return worker.forecasts
}
