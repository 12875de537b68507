import { createWindows, type FillingReading, type FillingUse, type ListedFilling } from './fillingWindow.js'
import { createServiceLoad, estimatePeak, EXPECTED_LOAD, updateLoad, updateToReading, type ServiceLoad } from './serviceLoad.js'

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
/** Variance that a pressure gains in a ms: a pair that was not seen for some 200 s is tried again, nothing is known of it after an hour. */
const PRESSURE_DRIFT = PRESSURE_VARIANCE / 3_600_000
/** Smallest variance of a pressure: pairs differ a little from one worker to the next. */
const LEAST_PRESSURE_VARIANCE = 0.1 ** 2
/** How much of the pressure of a neighbour that came or went during a reading may be wrongly accounted for. */
const TIMING_ERROR = 0.5
/** Tails of saturated services say nothing about how far they are over. */
const SATURATED_LOAD = 0.9
/** The peak of a load is learned from readings beside which neighbours are known to add less than this. */
const CLEAN_PRESSURE = 0.1
/** Standard deviations by which a pressure is taken to be higher than its mean. */
const PRESSURE_MARGIN = 0.5
/** Smallest standard deviation of a reading as load, and that of its rounding to whole ms. */
const READING_DEVIATION = 0.05
const ROUNDING_MS = 0.5
/** A reading counts as at most this many standard deviations off. */
const LARGEST_SURPRISE = 3
/** Equal readings within this are one reading that was repeated. */
const REPEAT_MS = 450
/** An unknown pair is tried on one worker at a time; this covers a start, one reading and the look that brings it. */
const TRIAL_MS = 2000
/** Tail without load as a share of the smallest tail seen; services are almost idle at times, at the latest as they start. */
const UNLOADED_SHARE = 0.95
/** Tail without load as a share of the target, before any reading. */
const UNLOADED_SHARE_OF_TARGET = 0.2
/** Tails above this share of the target count as pressed. */
const PRESSED_SHARE = 0.95
/** A filling task is placed where services bear it for the next seconds, most of its run. */
const PLACE_AHEAD_MS = 2000
/** A stop helps from half a second on; a service that has room again by then needs none. */
const STOP_AHEAD_MS = 700
/**
 * The room that services leave is kept this long, as placing asks for it on hundreds of workers for each task; loads
 * change by a hundredth within it.
 */
const ROOM_AGE_MS = 50
/** Neighbours that add less than this to the load are not to blame for a tail. */
const BLAMELESS_PRESSURE = 0.015
/** A step or a worker without a reading for this long has ended. */
const FORGET_MS = 60_000

/** A task that serves: what it runs, the step whose load it shares, its latest tail and its target, ms. */
export interface ServingRun { task: string, step: string, image: string, tailMs: number | undefined, targetMs: number }
/** A task that fills. */
export type FillingRun = ListedFilling

/** A task that serves as placement sees it; a task that is not placed yet has no step whose load is followed. */
export interface ServingImage { step: string | undefined, image: string, targetMs: number }

export interface Sharing {
  /** Learns from a reading of all runs on a worker. Returns the pairs of which enough is known since. */
  observe (worker: string, serving: readonly ServingRun[], filling: readonly FillingRun[], now: number): KnownPair[]
  /** How far the highest load of the next seconds is expected above what keeps every tail below its target; at most 0 is safe. */
  estimateRisk (serving: readonly ServingImage[], filling: readonly FillingUse[], now: number): number
  /**
   * True when the image is to stay away for now because little is known of it beside these services: one trial at a
   * time bounds the harm, and two unknown images on one worker could not be told apart.
   */
  isOnTrial (serving: readonly ServingImage[], filling: readonly FillingUse[], image: string, now: number): boolean
  /** A filling task is about to start beside these services. */
  recordStart (serving: readonly ServingImage[], image: string, now: number): void
  /** Mean load of an image, as a share of the cores that its tasks request. */
  estimateUse (image: string): number
  /** What has been learned, for a host that may lead next. */
  getEstimates (): SharingEstimates
  /** Takes over what another host has learned about images that this one knows less of. */
  mergeEstimates (estimates: SharingEstimates, now: number): void
  /** What is known of a service and of each neighbour beside it. */
  estimatePressure (service: ServingRun, filling: readonly FillingRun[], now: number): PressureEstimate
  /** Filling tasks that have to leave a worker: a tail is close to or over its target, and will stay so with them. */
  listPressing (serving: readonly ServingRun[], filling: readonly FillingRun[], now: number): string[]
}

/** `own` is the peak load of a service until a stop would help, `allowed` the load at its target, `added` the load by each neighbour. */
export interface PressureEstimate { own: number, allowed: number, added: Array<{ task: string, load: number }> }

/** What a neighbour adds to the load of a service on a whole worker, and how sure that is. */
export interface KnownPair { service: string, neighbour: string, pressure: number, variance: number }

/** By image of a service: its mean and its peak load, its smallest tail, and the pressure of each neighbour's image with its variance. */
export type SharingEstimates = Array<{ image: string, mean: number, peak: number, smallestTailMs: number, readings: number, pairs: Array<[string, number, number]> }>

interface Estimate { value: number, variance: number, updatedAt: number }
/** What the services of one image on a worker leave to neighbours, by the fullest of them. */
interface Room { model: ServiceModel, left: number }
interface ServiceModel { mean: number, peak: number, pairs: Map<string, Estimate>, trials: Map<string, number>, smallestTailMs: number, readings: number }

/**
 * Keeps tasks that fill from harming tasks that serve: learns from tails which images disturb which, places work
 * where the services bear it for the next seconds, and stops what presses a task over its target. The load is batch work in waves beside lasting services whose load swings.
 *
 * A tail grows as `unloaded / (1 - load)`. The load of a task is that of its step, which swings alike for all tasks of
 * the step, plus, for each neighbour, a pressure that depends on both images times the part of the worker that the
 * neighbour uses. Loads and pairs are followed by one Kalman filter each; following the swing is what tells a
 * neighbour's pressure from a service's own peak within one or two readings.
 */
export function createSharing (): Sharing {
  const models = new Map<string, ServiceModel>()
  const steps = new Map<string, ServiceLoad>()
  const windows = createWindows()
  const readings = new Map<string, { tails: string, at: number }>()
  const peaks = new WeakMap<ServiceLoad, { value: number, until: number }>()
  const rooms = new WeakMap<readonly ServingImage[], { rooms: Room[], services: number, until: number }>()

  const getModel = (image: string): ServiceModel => {
    const known = models.get(image)
    if (known !== undefined) return known
    const created: ServiceModel = { mean: EXPECTED_LOAD, peak: EXPECTED_PEAK, pairs: new Map(), trials: new Map(), smallestTailMs: Infinity, readings: 0 }
    models.set(image, created)
    return created
  }

  const getStepLoad = (step: string, mean: number, now: number): ServiceLoad => {
    const known = steps.get(step)
    if (known !== undefined) return known
    removeOld(steps, now)
    const created = createServiceLoad(mean, now)
    steps.set(step, created)
    return created
  }

  /** Load that neighbours may add to a service until `aheadMs` from now; where its phase is not known, at its peak. */
  const estimateRoom = ({ step, image, targetMs }: ServingImage, now: number, aheadMs: number): number => {
    const model = getModel(image)
    const load = step === undefined ? undefined : steps.get(step)
    const highest = load === undefined ? model.peak : estimatePeak(load, now, now + aheadMs, model)
    return getAllowedLoad(model, targetMs) - highest
  }

  /** The peak of a step's load until `PLACE_AHEAD_MS` from now; its tasks are on many workers. */
  const getPeak = (load: ServiceLoad, model: ServiceModel, now: number): number => {
    const known = peaks.get(load)
    if (known !== undefined && known.until > now) return known.value
    const value = estimatePeak(load, now, now + PLACE_AHEAD_MS, model)
    peaks.set(load, { value, until: now + ROOM_AGE_MS })
    return value
  }

  const createRooms = (serving: readonly ServingImage[], now: number): Room[] => {
    const byModel = new Map<ServiceModel, Room>()
    serving.forEach(({ step, image, targetMs }) => {
      const model = getModel(image)
      const load = step === undefined ? undefined : steps.get(step)
      const left = getAllowedLoad(model, targetMs) - (load === undefined ? model.peak : getPeak(load, model, now))
      const known = byModel.get(model)
      if (known === undefined) byModel.set(model, { model, left })
      else known.left = Math.min(known.left, left)
    })
    return [...byModel.values()]
  }

  /** The rooms beside services; the list of a worker is the same array until its runs change. */
  const listRooms = (serving: readonly ServingImage[], now: number): Room[] => {
    const known = rooms.get(serving)
    if (known !== undefined && known.until > now && known.services === serving.length) return known.rooms
    const created = createRooms(serving, now)
    rooms.set(serving, { rooms: created, services: serving.length, until: now + ROOM_AGE_MS })
    return created
  }

  /** Workers take readings every half second and repeat them until the next; a repeated one says nothing about who came since. */
  const isNewReading = (worker: string, serving: readonly ServingRun[], now: number): boolean => {
    const tails = serving.map(({ task, tailMs }) => `${task}=${tailMs ?? ''}`).join()
    const known = readings.get(worker)
    if (serving.length === 0) readings.delete(worker)
    if (serving.length === 0 || (known?.tails === tails && now - known.at < REPEAT_MS)) return false
    if (known === undefined) removeOld(readings, now)
    readings.set(worker, { tails, at: now })
    return true
  }

  const listPairs = (serving: readonly ServingRun[], uses: readonly FillingUse[]): KnownPair[] =>
    [...new Set(serving.map(({ image }) => image))].flatMap((service) => uses.map(({ image }) => {
      const pair = getModel(service).pairs.get(image)
      return { service, neighbour: image, pressure: pair?.value ?? EXPECTED_PRESSURE, variance: pair?.variance ?? PRESSURE_VARIANCE }
    }))

  const learn = (run: ServingRun, { uses, recent }: FillingReading, now: number): void => {
    if (run.tailMs === undefined || run.tailMs <= 0) return
    const model = getModel(run.image)
    model.smallestTailMs = Math.min(model.smallestTailMs, run.tailMs)
    model.readings += 1
    const unloaded = getUnloadedTail(model, run.targetMs)
    const measured = Math.max(0, 1 - unloaded / run.tailMs)
    if (recent.every(({ image }) => isKnown(model, image)) && computePressure(model, recent) < CLEAN_PRESSURE) {
      updateSwing(model, measured - computePressure(model, uses))
    }
    const own = getStepLoad(run.step, model.mean, now)
    updateToReading(own, model.mean, now)
    const pairs = uses.map(({ image, part }) => ({ pair: getPair(model, image, now), part }))
    pairs.forEach(({ pair }) => updateVariance(pair, now))
    const expected = pairs.reduce((sum, { pair, part }) => sum + part * pair.value, own.value)
    if (measured > SATURATED_LOAD && expected > SATURATED_LOAD) return
    const noise = READING_DEVIATION ** 2 + (unloaded / run.tailMs ** 2 * ROUNDING_MS) ** 2 + estimateTimingError(model, uses, recent) ** 2
    const total = pairs.reduce((sum, { pair, part }) => sum + part ** 2 * pair.variance, own.variance + noise)
    const bound = LARGEST_SURPRISE * Math.sqrt(total)
    const surprise = Math.max(-bound, Math.min(bound, measured - expected))
    updateLoad(own, surprise, total)
    pairs.forEach(({ pair, part }) => updatePair(pair, part, surprise, total))
  }

  return {
    observe: (worker, serving, filling, now) => {
      const reading = windows.update(worker, filling, now)
      if (!isNewReading(worker, serving, now)) return []
      const unknown = listPairs(serving, reading.uses).filter(({ variance }) => variance >= KNOWN_VARIANCE)
      serving.forEach((run) => learn(run, reading, now))
      if (unknown.length === 0) return []
      return listPairs(serving, reading.uses).filter(({ service, neighbour, variance }) =>
        variance < KNOWN_VARIANCE && unknown.some((pair) => pair.service === service && pair.neighbour === neighbour))
    },

    estimateRisk: (serving, filling, now) => {
      let worst = -Infinity
      for (const { model, left } of listRooms(serving, now)) worst = Math.max(worst, computePressure(model, filling) - left)
      return worst
    },

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

    mergeEstimates: (estimates, now) => estimates.forEach(({ image, mean, peak, smallestTailMs, readings, pairs }) => {
      if (readings <= (models.get(image)?.readings ?? 0)) return
      models.delete(image)
      const model = getModel(image)
      Object.assign(model, { mean, peak, smallestTailMs, readings })
      pairs.forEach(([other, value, variance]) => model.pairs.set(other, { value, variance, updatedAt: now }))
    }),

    estimateUse: (image) => models.get(image)?.mean ?? EXPECTED_LOAD,

    estimatePressure: (service, filling, now) => {
      const model = getModel(service.image)
      const allowed = getAllowedLoad(model, service.targetMs)
      return {
        allowed,
        own: allowed - estimateRoom(service, now, STOP_AHEAD_MS),
        added: filling.map((run) => ({ task: run.task, load: computePressure(model, [run]) }))
      }
    },

    listPressing: (serving, filling, now) => {
      if (!serving.some(({ tailMs, targetMs }) => (tailMs ?? 0) > PRESSED_SHARE * targetMs)) return []
      const rooms = serving.map((service) => ({ model: getModel(service.image), left: estimateRoom(service, now, STOP_AHEAD_MS) }))
      const pressures = filling.map((run) => ({ run, worst: Math.max(0, ...rooms.map(({ model }) => computePressure(model, [run]))) }))
      // The lightest stay, as far as there is room for them.
      return pressures.filter(({ worst }) => worst > BLAMELESS_PRESSURE).sort((a, b) => a.worst - b.worst).filter(({ run }) => {
        const fits = rooms.every(({ model, left }) => computePressure(model, [run]) <= left)
        if (fits) rooms.forEach((room) => { room.left -= computePressure(room.model, [run]) })
        return !fits
      }).map(({ run }) => run.task)
    }
  }
}

/** Learns mean and peak load from a reading without pressure. */
function updateSwing (model: ServiceModel, load: number): void {
  model.mean += MEAN_WEIGHT * (load - model.mean)
  model.peak += PEAK_STEP * (PEAK_QUANTILE - (load < model.peak ? 1 : 0))
}

function removeOld (known: Map<string, { at: number }>, now: number): void {
  known.forEach(({ at }, name) => { if (now - at > FORGET_MS) known.delete(name) })
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
function computePressure (model: ServiceModel, filling: readonly FillingUse[]): number {
  let sum = 0
  for (const { image, part } of filling) {
    const pair = model.pairs.get(image)
    const margin = pair !== undefined && pair.variance < KNOWN_VARIANCE ? PRESSURE_MARGIN * Math.sqrt(pair.variance) : 0
    sum += pair === undefined ? EXPECTED_PRESSURE * part : (pair.value + margin) * part
  }
  return sum
}

function getUnloadedTail (model: ServiceModel, targetMs: number): number {
  return model.smallestTailMs === Infinity ? targetMs * UNLOADED_SHARE_OF_TARGET : model.smallestTailMs * UNLOADED_SHARE
}

function getAllowedLoad (model: ServiceModel, targetMs: number): number {
  return 1 - getUnloadedTail(model, targetMs) / (PRESSED_SHARE * targetMs)
}

/** Load by which the neighbours that came or went during a reading may have been taken wrongly. */
function estimateTimingError (model: ServiceModel, uses: readonly FillingUse[], recent: readonly FillingUse[]): number {
  const used = new Map(uses.map(({ image, part }) => [image, part]))
  const changed = recent.map(({ image, part }) => ({ image, part: Math.max(0, part - (used.get(image) ?? 0)) }))
  return TIMING_ERROR * computePressure(model, changed)
}

function updateVariance (pair: Estimate, now: number): void {
  pair.variance = Math.min(PRESSURE_VARIANCE, pair.variance + PRESSURE_DRIFT * Math.max(0, now - pair.updatedAt))
  pair.updatedAt = now
}

/** Covariances between pairs are left out, which keeps every variance positive. */
function updatePair (pair: Estimate, part: number, surprise: number, total: number): void {
  const covariance = part * pair.variance
  pair.value = Math.max(0, pair.value + covariance / total * surprise)
  pair.variance = Math.max(LEAST_PRESSURE_VARIANCE, pair.variance - covariance ** 2 / total)
}
