import { createWindows, type FillingUse } from './fillingWindow.js'

/** Load of a task that serves, as a share of what saturates it, expected before any reading. */
const EXPECTED_LOAD = 0.42
const LOAD_VARIANCE = 0.15 ** 2
/** Variance that a load gains in a ms without readings; a load that swings by half within 10 s changes by up to 0.13 in a second. */
const LOAD_DRIFT = 0.1 ** 2 / 1000
/** Peak of the load of an image before any reading: the expected load and half of it. */
const EXPECTED_PEAK = 0.63
/** The share of readings below the peak, and the change of the peak with one reading. */
const PEAK_QUANTILE = 0.95
const PEAK_STEP = 0.01
/** Weight of one reading in the mean load; some hundred readings are several periods of the swing for all tasks of an image. */
const MEAN_WEIGHT = 0.005
/** Load that an unseen neighbour on the whole worker adds, and the variance of that. */
const EXPECTED_PRESSURE = 0.5
const PRESSURE_VARIANCE = 3 ** 2
/** Below this variance a pair counts as known; two or three readings beside a tenth of a worker reach it. */
const KNOWN_VARIANCE = 0.5
/** Variance that a pressure gains in a ms: it is uncertain again after an hour. */
const PRESSURE_DRIFT = PRESSURE_VARIANCE / 3_600_000
/** The peak of a load is learned from readings beside which neighbours are known to add less than this. */
const CLEAN_PRESSURE = 0.1
/** Standard deviations by which a pressure is taken to be higher than its mean. */
const PRESSURE_MARGIN = 0.5
/** Smallest standard deviation of a reading as load, and that of its rounding to whole ms. */
const READING_DEVIATION = 0.05
const ROUNDING_MS = 0.5
/** A reading counts as at most this many standard deviations off. */
const LARGEST_SURPRISE = 3
/** An unknown pair is tried on one worker at a time; this covers a start, one reading and the look that brings it. */
const TRIAL_MS = 2000
/** Tail without load as a share of the smallest tail seen; services are almost idle at times, at the latest as they start. */
const UNLOADED_SHARE = 0.95
/** Tail without load as a share of the target, before any reading. */
const UNLOADED_SHARE_OF_TARGET = 0.2
/** Tails above this share of the target count as pressed. */
const PRESSED_SHARE = 0.95
/** Readings over the target in a row that no known pressure explains before the worst neighbour has to leave all the same. */
const READINGS_BEFORE_BLAME = 3
/** Neighbours that add less than this to the load are not to blame for a tail. */
const BLAMELESS_PRESSURE = 0.02
/** A step that has had no reading for this long has ended or is served elsewhere. */
const FORGET_STEP_MS = 60_000

/** A task that serves: what it runs, the step whose load it shares, its latest tail and its target, ms. */
export interface ServingRun { task: string, step: string, image: string, tailMs: number | undefined, targetMs: number }
/** A task that fills: what it runs, the part of the worker's cores that it uses, and since when it is known to run. */
export interface FillingRun { task: string, image: string, part: number, since: number }

type ServingImage = Pick<ServingRun, 'image' | 'targetMs'>
type FillingImage = Pick<FillingRun, 'image' | 'part'>

export interface Sharing {
  /** Learns from a reading of all runs on a worker. */
  observe (worker: string, serving: readonly ServingRun[], filling: readonly FillingRun[], now: number): void
  /** How far the highest load is expected above what keeps every tail below its target; at most 0 is safe. */
  estimateRisk (serving: readonly ServingImage[], filling: readonly FillingImage[]): number
  /**
   * True when the image is to stay away for now because little is known of it beside these services: one trial at a
   * time bounds the harm, and two unknown images on one worker could not be told apart.
   */
  isOnTrial (serving: readonly ServingImage[], filling: readonly FillingImage[], image: string, now: number): boolean
  /** A filling task is about to start beside these services. */
  recordStart (serving: readonly ServingImage[], image: string, now: number): void
  /** Mean load of an image, as a share of the cores that its tasks request. */
  estimateUse (image: string): number
  /** What has been learned, for a host that may lead next. */
  getEstimates (): SharingEstimates
  /** Takes over what another host has learned about images that this one knows less of. */
  mergeEstimates (estimates: SharingEstimates): void
  /**
   * Filling tasks that have to leave a worker, because tails are close to or over their targets and will stay so
   * without it: a tail still shows a neighbour that has just ended.
   */
  listPressing (worker: string, serving: readonly ServingRun[], filling: readonly FillingRun[]): string[]
}

/** By image of a service: its mean and its peak load, its smallest tail, and the pressure of each neighbour's image with its variance. */
export type SharingEstimates = Array<{ image: string, mean: number, peak: number, smallestTailMs: number, readings: number, pairs: Array<[string, number, number]> }>

interface Estimate { value: number, variance: number, updatedAt: number }
interface ServiceModel { mean: number, peak: number, pairs: Map<string, Estimate>, trials: Map<string, number>, smallestTailMs: number, readings: number }

/**
 * Keeps tasks that fill from harming tasks that serve: learns from tails which images disturb which, and moves what
 * presses a task over its target. The load is batch work in waves beside lasting services whose load swings.
 *
 * A tail grows as `unloaded / (1 - load)`. The load of a task is that of its step, which swings alike for all tasks of
 * the step, plus, for each neighbour, a pressure that depends on both images times the part of the worker that the
 * neighbour uses. Steps and pairs are followed by one Kalman filter each; following the swing is what tells a
 * neighbour's pressure from a service's own peak within one or two readings.
 */
export function createSharing (): Sharing {
  const models = new Map<string, ServiceModel>()
  const steps = new Map<string, Estimate>()
  const windows = createWindows()
  const pressedReadings = new Map<string, number>()

  const getModel = (image: string): ServiceModel => {
    const known = models.get(image)
    if (known !== undefined) return known
    const created: ServiceModel = { mean: EXPECTED_LOAD, peak: EXPECTED_PEAK, pairs: new Map(), trials: new Map(), smallestTailMs: Infinity, readings: 0 }
    models.set(image, created)
    return created
  }

  const getStepLoad = (step: string, now: number): Estimate => {
    const known = steps.get(step)
    if (known !== undefined) return known
    steps.forEach(({ updatedAt }, name) => { if (now - updatedAt > FORGET_STEP_MS) steps.delete(name) })
    const created: Estimate = { value: EXPECTED_LOAD, variance: LOAD_VARIANCE, updatedAt: now }
    steps.set(step, created)
    return created
  }

  /** True when the present load of a service, with these neighbours, is over what its target allows. */
  const isOverloaded = ({ step, image, targetMs }: ServingRun, filling: readonly FillingImage[]): boolean => {
    const model = getModel(image)
    return (steps.get(step)?.value ?? EXPECTED_LOAD) + computePressure(model, filling) > getAllowedLoad(model, targetMs)
  }

  const learn = (run: ServingRun, uses: readonly FillingUse[], now: number): void => {
    if (run.tailMs === undefined || run.tailMs <= 0) return
    const model = getModel(run.image)
    model.smallestTailMs = Math.min(model.smallestTailMs, run.tailMs)
    model.readings += 1
    const unloaded = getUnloadedTail(model, run.targetMs)
    const own = getStepLoad(run.step, now)
    const terms = [{ estimate: own, weight: 1 }, ...uses.map(({ image, part }) => ({ estimate: getPair(model, image, now), weight: part }))]
    forget(own, LOAD_DRIFT, LOAD_VARIANCE, now)
    terms.slice(1).forEach(({ estimate }) => forget(estimate, PRESSURE_DRIFT, PRESSURE_VARIANCE, now))
    const load = Math.max(0, 1 - unloaded / run.tailMs)
    const pressure = uses.every(({ image }) => isKnown(model, image)) ? computePressure(model, uses) : Infinity
    if (pressure < CLEAN_PRESSURE) model.mean += MEAN_WEIGHT * (load - pressure - model.mean)
    if (pressure < CLEAN_PRESSURE) model.peak += PEAK_STEP * (PEAK_QUANTILE - (load - pressure < model.peak ? 1 : 0))
    updateEstimates(terms, load, READING_DEVIATION ** 2 + (unloaded / run.tailMs ** 2 * ROUNDING_MS) ** 2)
  }

  return {
    observe: (worker, serving, filling, now) => {
      const uses = windows.update(worker, filling, now)
      serving.forEach((run) => learn(run, uses, now))
    },

    estimateRisk: (serving, filling) => serving.reduce((worst, { image, targetMs }) => {
      const model = getModel(image)
      return Math.max(worst, model.peak + computePressure(model, filling) - getAllowedLoad(model, targetMs))
    }, -Infinity),

    isOnTrial: (serving, filling, image, now) => serving.some((service) => {
      const model = getModel(service.image)
      if (isKnown(model, image)) return false
      return (model.trials.get(image) ?? -Infinity) > now || filling.some((other) => !isKnown(model, other.image))
    }),

    recordStart: (serving, image, now) => serving.forEach((service) => {
      const model = getModel(service.image)
      if (!isKnown(model, image)) model.trials.set(image, now + TRIAL_MS)
    }),

    getEstimates: () => [...models].map(([image, { mean, peak, pairs, smallestTailMs, readings }]) => ({
      image, mean, peak, smallestTailMs, readings, pairs: [...pairs].map(([other, { value, variance }]) => [other, value, variance])
    })),

    mergeEstimates: (estimates) => estimates.forEach(({ image, mean, peak, smallestTailMs, readings, pairs }) => {
      if (readings <= (models.get(image)?.readings ?? 0)) return
      models.delete(image)
      const model = getModel(image)
      Object.assign(model, { mean, peak, smallestTailMs, readings })
      pairs.forEach(([other, value, variance]) => model.pairs.set(other, { value, variance, updatedAt: 0 }))
    }),

    estimateUse: (image) => models.get(image)?.mean ?? EXPECTED_LOAD,

    listPressing: (worker, serving, filling) => {
      const pressed = serving.filter(({ tailMs, targetMs }) => (tailMs ?? 0) > PRESSED_SHARE * targetMs)
      if (pressed.length === 0) pressedReadings.delete(worker)
      if (pressed.length === 0 || filling.length === 0) return []
      const readings = (pressedReadings.get(worker) ?? 0) + 1
      pressedReadings.set(worker, readings)
      const stays = filling
        .map((run) => ({ run, pressure: Math.max(...pressed.map(({ image }) => computePressure(getModel(image), [run]))) }))
        .sort((a, b) => a.pressure - b.pressure)
      const leaving: string[] = []
      while (stays.length > 0 && pressed.some((service) => isOverloaded(service, stays.map(({ run }) => run)))) {
        const worst = stays.pop()
        if (worst !== undefined && (leaving.length === 0 || worst.pressure > BLAMELESS_PRESSURE)) leaving.push(worst.run.task)
      }
      const last = stays.at(-1)
      return leaving.length === 0 && readings >= READINGS_BEFORE_BLAME && last !== undefined ? [last.run.task] : leaving
    }
  }
}

function getPair (model: ServiceModel, image: string, now: number): Estimate {
  const known = model.pairs.get(image)
  if (known !== undefined) return known
  const created: Estimate = { value: EXPECTED_PRESSURE, variance: PRESSURE_VARIANCE, updatedAt: now }
  model.pairs.set(image, created)
  return created
}

function isKnown (model: ServiceModel, image: string): boolean {
  return (model.pairs.get(image)?.variance ?? Infinity) < KNOWN_VARIANCE
}

/** An unknown pair counts with its mean, so that it is tried; a known one with a margin. */
function computePressure (model: ServiceModel, filling: readonly FillingImage[]): number {
  return filling.reduce((sum, { image, part }) => {
    const pair = model.pairs.get(image)
    if (pair === undefined) return sum + EXPECTED_PRESSURE * part
    const margin = pair.variance < KNOWN_VARIANCE ? PRESSURE_MARGIN * Math.sqrt(pair.variance) : 0
    return sum + (pair.value + margin) * part
  }, 0)
}

function getUnloadedTail (model: ServiceModel, targetMs: number): number {
  return model.smallestTailMs === Infinity ? targetMs * UNLOADED_SHARE_OF_TARGET : model.smallestTailMs * UNLOADED_SHARE
}

function getAllowedLoad (model: ServiceModel, targetMs: number): number {
  return 1 - getUnloadedTail(model, targetMs) / (PRESSED_SHARE * targetMs)
}

function forget (estimate: Estimate, drift: number, largest: number, now: number): void {
  estimate.variance = Math.min(largest, estimate.variance + drift * Math.max(0, now - estimate.updatedAt))
  estimate.updatedAt = now
}

/** One measurement of a weighted sum; covariances between the terms are left out, which keeps every variance positive. */
function updateEstimates (terms: ReadonlyArray<{ estimate: Estimate, weight: number }>, measured: number, noise: number): void {
  const expected = terms.reduce((sum, { estimate, weight }) => sum + weight * estimate.value, 0)
  const total = terms.reduce((sum, { estimate, weight }) => sum + weight ** 2 * estimate.variance, noise)
  const bound = LARGEST_SURPRISE * Math.sqrt(total)
  const surprise = Math.max(-bound, Math.min(bound, measured - expected))
  terms.forEach(({ estimate, weight }) => {
    const covariance = weight * estimate.variance
    estimate.value = Math.max(0, estimate.value + covariance / total * surprise)
    estimate.variance -= covariance ** 2 / total
  })
}

