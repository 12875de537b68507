import { createKalmanFilter, type KalmanFilter } from './kalmanFilter.js'
import { createLoadTrend } from './loadTrend.js'

/** Interference cost assumed for a service and a class without reports: increase of ln p99 by a neighbour that uses all cores of a worker, at typical load. */
const PRIOR_COST = 0.8
const PRIOR_VARIANCE = 1
/** Prior variance for a class that has been measured with other services, which makes its cost less uncertain. */
const KNOWN_CLASS_VARIANCE = 0.5
/** Time without reports after which an estimate is as uncertain as its prior. */
const FORGETTING_MS = 3_600_000
/** Variance of a reported ln p99 around the model. */
const REPORT_VARIANCE = 0.15 ** 2
/** Residuals are clipped to this many standard deviations, so that a single report cannot overturn an estimate. */
const MAX_RESIDUAL_DEVIATIONS = 3
const LOAD_SMOOTHING_GAIN = 0.3
/** Weight of a report in the typical request count, to which loads are relative. */
const TYPICAL_COUNT_GAIN = 0.002
const PEAK_HALF_LIFE_MS = 900_000

// Indices of the coefficients of every service: ln p99 at typical load, its linear and its quadratic change with the
// difference from typical load, and the change of interference with that difference.
const BASE = 0
const SLOPE = 1
const CURVATURE = 2
const SENSITIVITY = 3

/**
 * A task on the same worker as a replica; `coreShare` is the part of the worker's cores that it uses.
 * `service` is set for a replica, which is no neighbour of replicas of its own service.
 */
export interface Neighbour { jobClass: string, coreShare: number, service: string | undefined }

/** Interference cost of a job class for a service, with its standard deviation and the number and time of the reports behind it. */
export interface PairEstimate { cost: number, deviation: number, reports: number, updatedAt: number }

export interface ServiceModel {
  /** Smoothed load of the service, relative to its typical load, and the decaying maximum of that load. */
  readonly load: number
  readonly peakLoad: number
  /** Expected load at a time shortly after the last report. */
  estimateLoad (at: number): number
  /** Number of reports that the model has learned from. */
  readonly reports: number
  getPair (jobClass: string): PairEstimate
  getCost (jobClass: string): number
  getDeviation (jobClass: string): number
  /** Factor by which a load changes the interference costs; 1 at typical load. */
  computeLoadFactor (load: number): number
  /** Expected ln p99 of a replica at a load beside neighbours; before the first report, only the increase by the neighbours. */
  predict (load: number, neighbours: Neighbour[]): number
  /**
   * Updates the model by a report of `count` requests, from which the load follows. Returns that load and the residual:
   * reported less expected ln p99.
   */
  learn (count: number, p99Ms: number, neighbours: Neighbour[], measuredAt: number, now: number): { load: number, residual: number }
}

export interface InterferenceEstimates {
  getService (service: string): ServiceModel
}

/**
 * Models ln p99 of a replica as a quadratic polynomial in its load, plus the interference of each class of neighbours:
 * interference cost, times the part of the worker's cores that the class uses, times a factor linear in the load.
 * Interference costs are never negative.
 */
export function createInterferenceEstimates (): InterferenceEstimates {
  const services = new Map<string, ServiceModel & { findCost (jobClass: string): number | undefined }>()
  // The prior of a class is the mean of its costs for other services and the cost of an unknown class.
  const getPrior = (jobClass: string): { cost: number, variance: number } => {
    const costs = [...services.values()].map((service) => service.findCost(jobClass)).filter((cost) => cost !== undefined)
    return {
      cost: costs.reduce((sum, cost) => sum + cost, PRIOR_COST) / (costs.length + 1),
      variance: costs.length === 0 ? PRIOR_VARIANCE : KNOWN_CLASS_VARIANCE
    }
  }
  return {
    getService: (id) => {
      const existing = services.get(id)
      if (existing !== undefined) return existing
      const created = createServiceModel(id, getPrior)
      services.set(id, created)
      return created
    }
  }
}

function createServiceModel (id: string, getPrior: (jobClass: string) => { cost: number, variance: number }): ServiceModel & { findCost (jobClass: string): number | undefined } {
  const filter: KalmanFilter = createKalmanFilter(FORGETTING_MS)
  const pairs = new Map<string, { index: number, reports: number, updatedAt: number }>()
  let typicalCount = 0
  let lastReportAt = -Infinity
  let reports = 0
  let peakLoad = 1
  const trend = createLoadTrend(LOAD_SMOOTHING_GAIN)
  filter.add(0, 0.3)
  filter.add(0.5, 1)
  filter.add(0.3, 0.5)
  filter.add(1, 0.5)

  const getIndex = (jobClass: string): number => {
    const existing = pairs.get(jobClass)
    if (existing !== undefined) return existing.index
    const prior = getPrior(jobClass)
    const index = filter.add(prior.cost, prior.variance, 0)
    pairs.set(jobClass, { index, reports: 0, updatedAt: 0 })
    return index
  }
  const computeLoadFactor = (load: number): number => Math.max(0.2, 1 + filter.getValue(SENSITIVITY) * (load - 1))
  const computeLatencyAlone = (load: number): number =>
    filter.getValue(BASE) + filter.getValue(SLOPE) * (load - 1) + filter.getValue(CURVATURE) * (load - 1) ** 2
  const sumCosts = (neighbours: Neighbour[]): number =>
    neighbours.reduce((sum, { jobClass, coreShare, service }) => service === id ? sum : sum + coreShare * filter.getValue(getIndex(jobClass)), 0)

  return {
    get load () { return trend.load },
    get peakLoad () { return peakLoad },
    estimateLoad: (at) => trend.estimate(at),
    get reports () { return reports },
    computeLoadFactor,
    getPair: (jobClass) => {
      const index = getIndex(jobClass)
      const { reports, updatedAt } = pairs.get(jobClass) as { reports: number, updatedAt: number }
      return { cost: filter.getValue(index), deviation: Math.sqrt(filter.getVariance(index)), reports, updatedAt }
    },
    getCost: (jobClass) => filter.getValue(getIndex(jobClass)),
    getDeviation: (jobClass) => Math.sqrt(filter.getVariance(getIndex(jobClass))),
    findCost: (jobClass) => {
      const existing = pairs.get(jobClass)
      return existing === undefined || existing.reports < 5 ? undefined : filter.getValue(existing.index)
    },
    predict: (load, neighbours) => (reports === 0 ? 0 : computeLatencyAlone(load)) + sumCosts(neighbours) * computeLoadFactor(load),
    learn: (count, p99Ms, neighbours, measuredAt, now) => {
      typicalCount = typicalCount === 0 ? count : typicalCount + TYPICAL_COUNT_GAIN * (count - typicalCount)
      const load = count / Math.max(1, typicalCount)
      const elapsed = Number.isFinite(lastReportAt) ? Math.max(0, now - lastReportAt) : 0
      lastReportAt = Math.max(lastReportAt, now)
      trend.record(measuredAt, load)
      peakLoad = Math.max(trend.load, 1 + (peakLoad - 1) * 0.5 ** (elapsed / PEAK_HALF_LIFE_MS))
      const costs = sumCosts(neighbours)
      const factor = computeLoadFactor(load)
      if (reports === 0) filter.setValue(BASE, Math.log(p99Ms) - costs * factor)
      reports += 1
      const residual = Math.log(p99Ms) - computeLatencyAlone(load) - costs * factor
      const features = [
        { index: BASE, weight: 1 },
        { index: SLOPE, weight: load - 1 },
        { index: CURVATURE, weight: (load - 1) ** 2 },
        { index: SENSITIVITY, weight: costs * (load - 1) }
      ]
      computeCoreSharesByClass(neighbours, id).forEach((coreShare, jobClass) => {
        features.push({ index: getIndex(jobClass), weight: coreShare * factor })
        const pair = pairs.get(jobClass) as { reports: number, updatedAt: number }
        pair.reports += 1
        pair.updatedAt = now
      })
      filter.update(features, residual, REPORT_VARIANCE, MAX_RESIDUAL_DEVIATIONS, now)
      return { load, residual }
    }
  }
}

/** Part of the worker's cores by class, without replicas of the service itself; the cost of each class is one coefficient. */
function computeCoreSharesByClass (neighbours: Neighbour[], ownService: string): Map<string, number> {
  const coreShares = new Map<string, number>()
  neighbours.forEach(({ jobClass, coreShare, service }) => {
    if (service !== ownService) coreShares.set(jobClass, (coreShares.get(jobClass) ?? 0) + coreShare)
  })
  return coreShares
}
