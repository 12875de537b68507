import { createBestEffortWindows, type ReadingUsage, type BestEffortUse, type ListedBestEffortRun } from './bestEffortWindow.js'
import { createServiceLoad, estimatePeak, PRIOR_LOAD, applyResidual, updateToReadingTime, type ServiceLoad } from './serviceLoad.js'

/** Peak load of an image before any reading: 1.5 times `PRIOR_LOAD`. */
const PRIOR_PEAK = 0.63
/** The peak load converges to this quantile of the readings; each reading moves it by at most `PEAK_STEP`. */
const PEAK_QUANTILE = 0.95
const PEAK_STEP = 0.01
/** Weight of one reading in the mean load, so that a few hundred readings count: several periods of the oscillation over all tasks of an image. */
const MEAN_UPDATE_WEIGHT = 0.005
/** Interference coefficient of a pair of images before any reading, and its variance. */
const PRIOR_INTERFERENCE = 0.5
const PRIOR_INTERFERENCE_VARIANCE = 3 ** 2
/** A pair is known when the variance of its coefficient is below this; two or three readings beside a neighbour on a tenth of the cores suffice. */
const KNOWN_VARIANCE = 0.5
/** Variance that a coefficient gains per ms without readings: a well-known pair becomes unknown again after some 200 s, and its variance is back at the prior value after an hour. */
const INTERFERENCE_VARIANCE_DRIFT = PRIOR_INTERFERENCE_VARIANCE / 3_600_000
/** Smallest variance of a coefficient, as the interference of a pair differs slightly between workers. */
const MIN_INTERFERENCE_VARIANCE = 0.1 ** 2
/** Uncertainty of a reading around which a neighbour started or ended, as a share of that neighbour's interference. */
const TIMING_ERROR_SHARE = 0.5
/** Above this load a service is saturated, and its tail latency no longer tells how high the load is. */
const SATURATED_LOAD = 0.9
/** Readings update the mean and peak load of an image only when its neighbours are known to add less load than this. */
const NEGLIGIBLE_INTERFERENCE = 0.1
/** Standard deviations that are added to the coefficient of a known pair as a safety margin. */
const INTERFERENCE_MARGIN = 0.5
/** Smallest standard deviation of a load computed from a reading, and the deviation that rounding to whole ms adds to the tail latency. */
const MIN_READING_DEVIATION = 0.05
const ROUNDING_MS = 0.5
/** Limit of the residual of one reading in standard deviations, so that an outlier has a bounded effect. */
const MAX_RESIDUAL_DEVIATIONS = 3
/** Equal readings of a worker within this time are the same reading, reported again. */
const REPEATED_READING_MS = 450
/** After the start of an unknown pair on one worker, it is not tried on others for this long, which covers the start, one reading and the poll that fetches it. */
const TRIAL_MS = 2000
/** Tail latency without load as a share of the smallest tail seen; every service is almost idle at some time, at least while it starts. */
const UNLOADED_TAIL_SHARE = 0.95
/** Tail latency without load as a share of the target, before any reading. */
const PRIOR_UNLOADED_TARGET_SHARE = 0.2
/** Share of the target up to which neighbours may raise a tail latency. Above it, some of the neighbours may have to stop. */
const USABLE_TARGET_SHARE = 0.95
/** Best-effort tasks are placed where services tolerate them for this long, which covers most of a run. */
const PLACEMENT_HORIZON_MS = 2000
/** Forecast horizon for stopping neighbours: a stop takes half a second to help, so none is needed when a service has headroom again by then. */
const STOP_HORIZON_MS = 700
/** Headroom is cached this long because placement reads it for hundreds of workers per task; loads change by about 0.01 within it. */
const HEADROOM_CACHE_MS = 50
/** Neighbours that add less load than this are not stopped for a tail latency. */
const MIN_ATTRIBUTED_LOAD = 0.015
/** A step or worker without a reading for this long is considered gone, and its state is dropped. */
const IDLE_RETENTION_MS = 60_000

/** A running latency-critical task: its step, whose tasks all follow the same load curve, its image, and its latest tail latency and target in ms. */
export interface LatencyCriticalRun { task: string, step: string, image: string, tailMs: number | undefined, targetMs: number }
/** A running best-effort task. */
export type BestEffortRun = ListedBestEffortRun

/** A latency-critical task on a candidate worker. `step` selects the tracked load and is undefined for a task that is not placed yet. */
export interface LatencyCriticalTask { step: string | undefined, image: string, targetMs: number }

export interface InterferenceModel {
  /** Updates the model from the reports of a worker's runs. Returns the pairs that became known by this reading. */
  observe (worker: string, latencyCritical: readonly LatencyCriticalRun[], bestEffort: readonly BestEffortRun[], now: number): PairEstimate[]
  /**
   * How far the peak load of the next seconds is expected above the load at which a tail latency comes close to its target,
   * for the task with the least headroom. Up to 0 is safe.
   */
  estimateExcessLoad (latencyCritical: readonly LatencyCriticalTask[], bestEffort: readonly BestEffortUse[], now: number): number
  /**
   * True when the image must not start beside these tasks now, because its interference with one of them is unknown and
   * another trial of the pair is running, or a neighbour is unknown too. One trial at a time bounds the harm, and the
   * effects of two unknown images on one worker cannot be told apart.
   */
  isTrialBlocked (latencyCritical: readonly LatencyCriticalTask[], bestEffort: readonly BestEffortUse[], image: string, now: number): boolean
  /** Records that a best-effort task of the image is about to start beside these tasks; starts a trial for each unknown pair. */
  recordTrialStart (latencyCritical: readonly LatencyCriticalTask[], image: string, now: number): void
  /** Mean load of an image as a share of the cores that its tasks request. */
  estimateUtilization (image: string): number
  /** Returns the learned estimates, for hosts that may become leader. */
  getEstimates (): InterferenceEstimates
  /** Takes over the estimates of another host for the images of which it has had more readings. */
  mergeEstimates (estimates: InterferenceEstimates, now: number): void
  /** The load of one service and the load that each neighbour adds to it, for the log. */
  estimateInterference (service: LatencyCriticalRun, bestEffort: readonly BestEffortRun[], now: number): InterferenceEstimate
  /** Best-effort tasks to stop on a worker: a tail latency is close to or above its target and will stay so beside them. */
  listInterfering (latencyCritical: readonly LatencyCriticalRun[], bestEffort: readonly BestEffortRun[], now: number): string[]
}

/** `ownLoad` is the peak load of a service without neighbours until a stop would help, `allowedLoad` the load without headroom, `added` the load by each neighbour. */
export interface InterferenceEstimate { ownLoad: number, allowedLoad: number, added: Array<{ task: string, load: number }> }

/**
 * Interference of a neighbour's image with a service's image. `pressure` is the interference coefficient: the load that the
 * neighbour would add if it used all cores of the worker; `variance` is that of the coefficient.
 */
export interface PairEstimate { service: string, neighbour: string, pressure: number, variance: number }

/** By image of a service: mean and peak load, smallest tail latency, and for each neighbour's image the interference coefficient and its variance. */
export type InterferenceEstimates = Array<{ image: string, mean: number, peak: number, smallestTailMs: number, readings: number, pairs: Array<[string, number, number]> }>

interface CoefficientEstimate { value: number, variance: number, updatedAt: number }
/** Load that neighbours may add to the services of one image on a worker: the headroom of the service that has the least. */
interface Headroom { model: ServiceModel, headroom: number }
interface ServiceModel { mean: number, peak: number, pairs: Map<string, CoefficientEstimate>, trials: Map<string, number>, smallestTailMs: number, readings: number }

/**
 * Models the interference of best-effort tasks with latency-critical tasks. It learns from tail latencies which images
 * disturb which, and estimates where services tolerate a task for the next seconds and which tasks keep a service over its
 * target. It is designed for waves of batch work beside long-running services whose load oscillates.
 *
 * A tail latency grows as `unloaded / (1 - load)`. The load of a task is that of its step, which oscillates alike for all
 * tasks of the step, plus for each neighbour an interference coefficient, which depends on both images, times the
 * neighbour's share of the worker's cores. Each step's load and each pair's coefficient has a Kalman filter. Tracking the
 * oscillation separates the interference of a neighbour from a peak of the service itself within one or two readings.
 */
export function createInterferenceModel (): InterferenceModel {
  const models = new Map<string, ServiceModel>()
  const steps = new Map<string, ServiceLoad>()
  const windows = createBestEffortWindows()
  const readings = new Map<string, { tails: string, at: number }>()
  const peakCache = new WeakMap<ServiceLoad, { value: number, until: number }>()
  const headroomCache = new WeakMap<readonly LatencyCriticalTask[], { headrooms: Headroom[], taskCount: number, until: number }>()

  const getModel = (image: string): ServiceModel => {
    const existing = models.get(image)
    if (existing !== undefined) return existing
    const created: ServiceModel = { mean: PRIOR_LOAD, peak: PRIOR_PEAK, pairs: new Map(), trials: new Map(), smallestTailMs: Infinity, readings: 0 }
    models.set(image, created)
    return created
  }

  const getStepLoad = (step: string, mean: number, now: number): ServiceLoad => {
    const existing = steps.get(step)
    if (existing !== undefined) return existing
    removeIdle(steps, now)
    const created = createServiceLoad(mean, now)
    steps.set(step, created)
    return created
  }

  /** Load that neighbours may add to a service until `horizonMs` from now. Assumes the usual peak of the image when the load of the step is not tracked. */
  const estimateHeadroom = ({ step, image, targetMs }: LatencyCriticalTask, now: number, horizonMs: number): number => {
    const model = getModel(image)
    const load = step === undefined ? undefined : steps.get(step)
    const highest = load === undefined ? model.peak : estimatePeak(load, now, now + horizonMs, model)
    return getAllowedLoad(model, targetMs) - highest
  }

  /** Peak of a step's load until `PLACEMENT_HORIZON_MS` from now; cached because its tasks are on many workers. */
  const getCachedPeak = (load: ServiceLoad, model: ServiceModel, now: number): number => {
    const existing = peakCache.get(load)
    if (existing !== undefined && existing.until > now) return existing.value
    const value = estimatePeak(load, now, now + PLACEMENT_HORIZON_MS, model)
    peakCache.set(load, { value, until: now + HEADROOM_CACHE_MS })
    return value
  }

  const createHeadrooms = (latencyCritical: readonly LatencyCriticalTask[], now: number): Headroom[] => {
    const headroomByModel = new Map<ServiceModel, Headroom>()
    latencyCritical.forEach(({ step, image, targetMs }) => {
      const model = getModel(image)
      const load = step === undefined ? undefined : steps.get(step)
      const headroom = getAllowedLoad(model, targetMs) - (load === undefined ? model.peak : getCachedPeak(load, model, now))
      const existing = headroomByModel.get(model)
      if (existing === undefined) headroomByModel.set(model, { model, headroom })
      else existing.headroom = Math.min(existing.headroom, headroom)
    })
    return [...headroomByModel.values()]
  }

  /** Headroom by image, cached by the array of tasks: a worker keeps the same array until its runs change. */
  const listHeadrooms = (latencyCritical: readonly LatencyCriticalTask[], now: number): Headroom[] => {
    const existing = headroomCache.get(latencyCritical)
    if (existing !== undefined && existing.until > now && existing.taskCount === latencyCritical.length) return existing.headrooms
    const created = createHeadrooms(latencyCritical, now)
    headroomCache.set(latencyCritical, { headrooms: created, taskCount: latencyCritical.length, until: now + HEADROOM_CACHE_MS })
    return created
  }

  /** Workers take a reading every half second and report it until the next one; a repeated reading tells nothing about neighbours that started since. */
  const isNewReading = (worker: string, latencyCritical: readonly LatencyCriticalRun[], now: number): boolean => {
    const tails = latencyCritical.map(({ task, tailMs }) => `${task}=${tailMs ?? ''}`).join()
    const existing = readings.get(worker)
    if (latencyCritical.length === 0) readings.delete(worker)
    if (latencyCritical.length === 0 || (existing?.tails === tails && now - existing.at < REPEATED_READING_MS)) return false
    if (existing === undefined) removeIdle(readings, now)
    readings.set(worker, { tails, at: now })
    return true
  }

  const listPairs = (latencyCritical: readonly LatencyCriticalRun[], averageUses: readonly BestEffortUse[]): PairEstimate[] =>
    [...new Set(latencyCritical.map(({ image }) => image))].flatMap((service) => averageUses.map(({ image }) => {
      const pair = getModel(service).pairs.get(image)
      return { service, neighbour: image, pressure: pair?.value ?? PRIOR_INTERFERENCE, variance: pair?.variance ?? PRIOR_INTERFERENCE_VARIANCE }
    }))

  const updateModel = (run: LatencyCriticalRun, { averageUses, recent }: ReadingUsage, now: number): void => {
    if (run.tailMs === undefined || run.tailMs <= 0) return
    const model = getModel(run.image)
    model.smallestTailMs = Math.min(model.smallestTailMs, run.tailMs)
    model.readings += 1
    const unloadedTailMs = getUnloadedTail(model, run.targetMs)
    const measuredLoad = Math.max(0, 1 - unloadedTailMs / run.tailMs)
    if (recent.every(({ image }) => isPairKnown(model, image)) && computeInterference(model, recent) < NEGLIGIBLE_INTERFERENCE) {
      updateMeanAndPeak(model, measuredLoad - computeInterference(model, averageUses))
    }
    const ownLoad = getStepLoad(run.step, model.mean, now)
    updateToReadingTime(ownLoad, model.mean, now)
    const pairs = averageUses.map(({ image, coreShare }) => ({ pair: getPair(model, image, now), coreShare }))
    pairs.forEach(({ pair }) => updateVariance(pair, now))
    const expectedLoad = pairs.reduce((sum, { pair, coreShare }) => sum + coreShare * pair.value, ownLoad.value)
    if (measuredLoad > SATURATED_LOAD && expectedLoad > SATURATED_LOAD) return
    const noise = MIN_READING_DEVIATION ** 2 + (unloadedTailMs / run.tailMs ** 2 * ROUNDING_MS) ** 2 + estimateTimingError(model, averageUses, recent) ** 2
    const residualVariance = pairs.reduce((sum, { pair, coreShare }) => sum + coreShare ** 2 * pair.variance, ownLoad.variance + noise)
    const maxResidual = MAX_RESIDUAL_DEVIATIONS * Math.sqrt(residualVariance)
    const residual = Math.max(-maxResidual, Math.min(maxResidual, measuredLoad - expectedLoad))
    applyResidual(ownLoad, residual, residualVariance)
    pairs.forEach(({ pair, coreShare }) => updatePair(pair, coreShare, residual, residualVariance))
  }

  return {
    observe: (worker, latencyCritical, bestEffort, now) => {
      const usage = windows.update(worker, bestEffort, now)
      if (!isNewReading(worker, latencyCritical, now)) return []
      const unknown = listPairs(latencyCritical, usage.averageUses).filter(({ variance }) => variance >= KNOWN_VARIANCE)
      latencyCritical.forEach((run) => updateModel(run, usage, now))
      if (unknown.length === 0) return []
      return listPairs(latencyCritical, usage.averageUses).filter(({ service, neighbour, variance }) =>
        variance < KNOWN_VARIANCE && unknown.some((pair) => pair.service === service && pair.neighbour === neighbour))
    },

    estimateExcessLoad: (latencyCritical, bestEffort, now) => {
      let highest = -Infinity
      for (const { model, headroom } of listHeadrooms(latencyCritical, now)) highest = Math.max(highest, computeInterference(model, bestEffort) - headroom)
      return highest
    },

    isTrialBlocked: (latencyCritical, bestEffort, image, now) => latencyCritical.some((service) => {
      const model = getModel(service.image)
      if (isPairKnown(model, image)) return false
      return (model.trials.get(image) ?? -Infinity) > now || bestEffort.some((other) => !isPairKnown(model, other.image))
    }),

    recordTrialStart: (latencyCritical, image, now) => latencyCritical.forEach((service) => {
      const model = getModel(service.image)
      if (!isPairKnown(model, image)) model.trials.set(image, now + TRIAL_MS)
    }),

    getEstimates: () => [...models].map(([image, { mean, peak, pairs, smallestTailMs, readings }]) => ({
      image, mean, peak, smallestTailMs, readings, pairs: [...pairs].map(([other, { value, variance }]) => [other, value, variance])
    })),

    mergeEstimates: (estimates, now) => estimates.forEach(({ image, mean, peak, smallestTailMs, readings, pairs }) => {
      if (readings <= (models.get(image)?.readings ?? 0)) return
      models.delete(image)
      const model = getModel(image)
      Object.assign(model, { mean, peak, smallestTailMs, readings })
      pairs.forEach(([other, value, variance]) => model.pairs.set(other, { value, variance, updatedAt: now }))
    }),

    estimateUtilization: (image) => models.get(image)?.mean ?? PRIOR_LOAD,

    estimateInterference: (service, bestEffort, now) => {
      const model = getModel(service.image)
      const allowedLoad = getAllowedLoad(model, service.targetMs)
      return {
        allowedLoad,
        ownLoad: allowedLoad - estimateHeadroom(service, now, STOP_HORIZON_MS),
        added: bestEffort.map((run) => ({ task: run.task, load: computeInterference(model, [run]) }))
      }
    },

    listInterfering: (latencyCritical, bestEffort, now) => {
      if (!latencyCritical.some(({ tailMs, targetMs }) => (tailMs ?? 0) > USABLE_TARGET_SHARE * targetMs)) return []
      const headrooms = latencyCritical.map((service) => ({ model: getModel(service.image), headroom: estimateHeadroom(service, now, STOP_HORIZON_MS) }))
      const candidates = bestEffort.map((run) => ({ run, addedLoad: Math.max(0, ...headrooms.map(({ model }) => computeInterference(model, [run]))) }))
      // Keeps the neighbours that add the least load, as long as the headroom suffices.
      return candidates.filter(({ addedLoad }) => addedLoad > MIN_ATTRIBUTED_LOAD).sort((a, b) => a.addedLoad - b.addedLoad).filter(({ run }) => {
        const isTolerated = headrooms.every(({ model, headroom }) => computeInterference(model, [run]) <= headroom)
        if (isTolerated) headrooms.forEach((entry) => { entry.headroom -= computeInterference(entry.model, [run]) })
        return !isTolerated
      }).map(({ run }) => run.task)
    }
  }
}

/** Updates the mean and peak load from a reading with negligible interference. */
function updateMeanAndPeak (model: ServiceModel, load: number): void {
  model.mean += MEAN_UPDATE_WEIGHT * (load - model.mean)
  model.peak += PEAK_STEP * (PEAK_QUANTILE - (load < model.peak ? 1 : 0))
}

function removeIdle (existing: Map<string, { at: number }>, now: number): void {
  existing.forEach(({ at }, name) => { if (now - at > IDLE_RETENTION_MS) existing.delete(name) })
}

function getPair (model: ServiceModel, image: string, now: number): CoefficientEstimate {
  const existing = model.pairs.get(image)
  if (existing !== undefined) return existing
  const created: CoefficientEstimate = { value: PRIOR_INTERFERENCE, variance: PRIOR_INTERFERENCE_VARIANCE, updatedAt: now }
  model.pairs.set(image, created)
  return created
}

function isPairKnown (model: ServiceModel, image: string): boolean {
  return (model.pairs.get(image)?.variance ?? Infinity) < KNOWN_VARIANCE
}

/** Load that neighbours add. An unknown pair counts without a safety margin, so that it gets tried. */
function computeInterference (model: ServiceModel, bestEffort: readonly BestEffortUse[]): number {
  let sum = 0
  for (const { image, coreShare } of bestEffort) {
    const pair = model.pairs.get(image)
    const margin = pair !== undefined && pair.variance < KNOWN_VARIANCE ? INTERFERENCE_MARGIN * Math.sqrt(pair.variance) : 0
    sum += pair === undefined ? PRIOR_INTERFERENCE * coreShare : (pair.value + margin) * coreShare
  }
  return sum
}

function getUnloadedTail (model: ServiceModel, targetMs: number): number {
  return model.smallestTailMs === Infinity ? targetMs * PRIOR_UNLOADED_TARGET_SHARE : model.smallestTailMs * UNLOADED_TAIL_SHARE
}

function getAllowedLoad (model: ServiceModel, targetMs: number): number {
  return 1 - getUnloadedTail(model, targetMs) / (USABLE_TARGET_SHARE * targetMs)
}

/** Possible error of the load due to neighbours that started or ended around the reading, whose exact times are not known. */
function estimateTimingError (model: ServiceModel, averageUses: readonly BestEffortUse[], recent: readonly BestEffortUse[]): number {
  const used = new Map(averageUses.map(({ image, coreShare }) => [image, coreShare]))
  const changed = recent.map(({ image, coreShare }) => ({ image, coreShare: Math.max(0, coreShare - (used.get(image) ?? 0)) }))
  return TIMING_ERROR_SHARE * computeInterference(model, changed)
}

function updateVariance (pair: CoefficientEstimate, now: number): void {
  pair.variance = Math.min(PRIOR_INTERFERENCE_VARIANCE, pair.variance + INTERFERENCE_VARIANCE_DRIFT * Math.max(0, now - pair.updatedAt))
  pair.updatedAt = now
}

/** Updates a coefficient by its Kalman gain. Ignores the covariances between pairs, which keeps every variance positive. */
function updatePair (pair: CoefficientEstimate, coreShare: number, residual: number, residualVariance: number): void {
  const covariance = coreShare * pair.variance
  pair.value = Math.max(0, pair.value + covariance / residualVariance * residual)
  pair.variance = Math.max(MIN_INTERFERENCE_VARIANCE, pair.variance - covariance ** 2 / residualVariance)
}
