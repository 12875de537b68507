import { createFit, type Fit } from './fit.js'
import { createTrend } from './trend.js'

/** Cost of an unseen pair: change of ln p99 by a neighbour that uses a whole worker, at typical load. */
const PRIOR_COST = 0.8
const PRIOR_VARIANCE = 1
/** A class seen with other services is less uncertain than one never seen. */
const KNOWN_CLASS_VARIANCE = 0.5
/** Time after which an estimate without new reports is as uncertain as one never made. */
const FORGETTING_MS = 3_600_000
/** Variance of ln p99 between the model and a report. */
const REPORT_VARIANCE = 0.15 ** 2
/** Larger surprises are cut to this many standard deviations, so that one report cannot overturn an estimate. */
const LARGEST_SURPRISE = 3
const LOAD_GAIN = 0.3
const TYPICAL_LOAD_GAIN = 0.002
const PEAK_HALF_LIFE_MS = 900_000

const BASE = 0
const SLOPE = 1
const CURVATURE = 2
const SENSITIVITY = 3

/** A class of neighbours and the part of the worker's cores that it uses. */
export interface Neighbour { jobClass: string, part: number, /** Set for a replica; it is no neighbour of its own service. */ service: string | undefined }

export interface PairEstimate { cost: number, deviation: number, reports: number, updatedAt: number }

export interface ServiceModel {
  /** Relative load of the service at the last report, and its decaying maximum. */
  readonly load: number
  readonly peakLoad: number
  /** The load to expect at a time shortly after the last report. */
  estimateLoad (at: number): number
  /** Reports learned from. */
  readonly reports: number
  getPair (jobClass: string): PairEstimate
  getCost (jobClass: string): number
  getDeviation (jobClass: string): number
  /** How a load changes what a neighbour costs. */
  computeLoadFactor (load: number): number
  /** ln p99 of a replica at a load beside neighbours; before the first report only what the neighbours add. */
  predict (load: number, neighbours: Neighbour[]): number
  /** Learns from a report and returns the difference to what was expected. */
  learn (count: number, p99Ms: number, neighbours: Neighbour[], measuredAt: number, now: number): { load: number, difference: number }
}

export interface InterferenceEstimates {
  getService (service: string): ServiceModel
}

/**
 * ln p99 of a replica is modelled as a polynomial in its load plus, for each class of neighbours, its cost times the
 * part of the worker that it uses, times a factor that is linear in the load. Costs are never negative.
 */
export function createInterferenceEstimates (): InterferenceEstimates {
  const services = new Map<string, ServiceModel & { findCost (jobClass: string): number | undefined }>()
  const getPrior = (jobClass: string): { cost: number, variance: number } => {
    const costs = [...services.values()].map((service) => service.findCost(jobClass)).filter((cost) => cost !== undefined)
    return {
      cost: costs.reduce((sum, cost) => sum + cost, PRIOR_COST) / (costs.length + 1),
      variance: costs.length === 0 ? PRIOR_VARIANCE : KNOWN_CLASS_VARIANCE
    }
  }
  return {
    getService: (id) => {
      const known = services.get(id)
      if (known !== undefined) return known
      const created = createServiceModel(id, getPrior)
      services.set(id, created)
      return created
    }
  }
}

function createServiceModel (id: string, getPrior: (jobClass: string) => { cost: number, variance: number }): ServiceModel & { findCost (jobClass: string): number | undefined } {
  const fit: Fit = createFit(FORGETTING_MS)
  const pairs = new Map<string, { index: number, reports: number, updatedAt: number }>()
  let typicalCount = 0
  let lastReportAt = -Infinity
  let reports = 0
  let peakLoad = 1
  const trend = createTrend(LOAD_GAIN)
  fit.add(0, 0.3)
  fit.add(0.5, 1)
  fit.add(0.3, 0.5)
  fit.add(1, 0.5)

  const getIndex = (jobClass: string): number => {
    const known = pairs.get(jobClass)
    if (known !== undefined) return known.index
    const prior = getPrior(jobClass)
    const index = fit.add(prior.cost, prior.variance, 0)
    pairs.set(jobClass, { index, reports: 0, updatedAt: 0 })
    return index
  }
  const computeLoadFactor = (load: number): number => Math.max(0.2, 1 + fit.getValue(SENSITIVITY) * (load - 1))
  const computeAlone = (load: number): number =>
    fit.getValue(BASE) + fit.getValue(SLOPE) * (load - 1) + fit.getValue(CURVATURE) * (load - 1) ** 2
  const sumCosts = (neighbours: Neighbour[]): number =>
    neighbours.reduce((sum, { jobClass, part, service }) => service === id ? sum : sum + part * fit.getValue(getIndex(jobClass)), 0)

  return {
    get load () { return trend.load },
    get peakLoad () { return peakLoad },
    estimateLoad: (at) => trend.estimate(at),
    get reports () { return reports },
    computeLoadFactor,
    getPair: (jobClass) => {
      const index = getIndex(jobClass)
      const { reports, updatedAt } = pairs.get(jobClass) as { reports: number, updatedAt: number }
      return { cost: fit.getValue(index), deviation: Math.sqrt(fit.getVariance(index)), reports, updatedAt }
    },
    getCost: (jobClass) => fit.getValue(getIndex(jobClass)),
    getDeviation: (jobClass) => Math.sqrt(fit.getVariance(getIndex(jobClass))),
    findCost: (jobClass) => {
      const known = pairs.get(jobClass)
      return known === undefined || known.reports < 5 ? undefined : fit.getValue(known.index)
    },
    predict: (load, neighbours) => (reports === 0 ? 0 : computeAlone(load)) + sumCosts(neighbours) * computeLoadFactor(load),
    learn: (count, p99Ms, neighbours, measuredAt, now) => {
      typicalCount = typicalCount === 0 ? count : typicalCount + TYPICAL_LOAD_GAIN * (count - typicalCount)
      const load = count / Math.max(1, typicalCount)
      const elapsed = Number.isFinite(lastReportAt) ? Math.max(0, now - lastReportAt) : 0
      lastReportAt = Math.max(lastReportAt, now)
      trend.record(measuredAt, load)
      peakLoad = Math.max(trend.load, 1 + (peakLoad - 1) * 0.5 ** (elapsed / PEAK_HALF_LIFE_MS))
      const costs = sumCosts(neighbours)
      const factor = computeLoadFactor(load)
      if (reports === 0) fit.setValue(BASE, Math.log(p99Ms) - costs * factor)
      reports += 1
      const difference = Math.log(p99Ms) - computeAlone(load) - costs * factor
      const features = [
        { index: BASE, weight: 1 },
        { index: SLOPE, weight: load - 1 },
        { index: CURVATURE, weight: (load - 1) ** 2 },
        { index: SENSITIVITY, weight: costs * (load - 1) }
      ]
      computeParts(neighbours, id).forEach((part, jobClass) => {
        features.push({ index: getIndex(jobClass), weight: part * factor })
        const pair = pairs.get(jobClass) as { reports: number, updatedAt: number }
        pair.reports += 1
        pair.updatedAt = now
      })
      fit.update(features, difference, REPORT_VARIANCE, LARGEST_SURPRISE, now)
      return { load, difference }
    }
  }
}

/** Part of the worker by class; each class is one coefficient. */
function computeParts (neighbours: Neighbour[], ownService: string): Map<string, number> {
  const parts = new Map<string, number>()
  neighbours.forEach(({ jobClass, part, service }) => {
    if (service !== ownService) parts.set(jobClass, (parts.get(jobClass) ?? 0) + part)
  })
  return parts
}
