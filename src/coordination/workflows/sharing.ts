import { createFit, type Fit } from '../placement/fit.js'

/** Mean load of a task that serves, as a share of what saturates it, expected before any reading. */
const EXPECTED_LOAD = 0.42
const LOAD_VARIANCE = 0.05 ** 2
/** Load that an unseen neighbour on the whole worker adds, and how far that may be off. */
const EXPECTED_PRESSURE = 0.5
const PRESSURE_VARIANCE = 3 ** 2
/** Variance of one reading; large, because readings of half a second follow a load that swings over many seconds. */
const READING_VARIANCE = 0.25 ** 2
const LARGEST_SURPRISE = 3
const FORGETTING_MS = 3_600_000
/** Load that a worker is filled up for, as a multiple of the mean; services of the reference loads swing by half, and their peaks seldom meet. */
const PEAK_FACTOR = 1.3
/** Tail without load as a share of the smallest tail seen; services are almost idle at times, at the latest as they start. */
const UNLOADED_SHARE = 0.95
/** Tail without load as a share of the target, before any reading. */
const UNLOADED_SHARE_OF_TARGET = 0.2
/** Tails above this share of the target count as pressed. */
const PRESSED_SHARE = 0.95
/** Readings over the target in a row before everything that fills beside the task is moved, not only the worst. */
const READINGS_BEFORE_ALL = 3
/** Neighbours that add less than this to the load are not to blame for a tail. */
const BLAMELESS_PRESSURE = 0.02

/** A task that serves: what it runs, its latest tail and its target, ms. */
export interface ServingRun { task: string, image: string, tailMs: number | undefined, targetMs: number }
/** A task that fills: what it runs and the part of the worker's cores that it uses. */
export interface FillingRun { task: string, image: string, part: number }

export interface Sharing {
  /** Learns from a reading of all runs on a worker. */
  observe (serving: readonly ServingRun[], filling: readonly FillingRun[], now: number): void
  /** How far the highest load is expected above what keeps every tail below its target; at most 0 is safe. */
  estimateRisk (serving: ReadonlyArray<{ image: string, targetMs: number }>, filling: ReadonlyArray<{ image: string, part: number }>): number
  /** What has been learned, for a host that may lead next. */
  getEstimates (): SharingEstimates
  /** Takes over what another host has learned about images that this one knows less of. */
  mergeEstimates (estimates: SharingEstimates): void
  /** Filling tasks that have to leave a worker, because tails are close to or over their targets. */
  listPressing (worker: string, serving: readonly ServingRun[], filling: readonly FillingRun[]): string[]
}

/** By image of a service: its mean load, its smallest tail, and the pressure of each neighbour's image with its variance. */
export type SharingEstimates = Array<{ image: string, load: number, smallestTailMs: number, readings: number, pairs: Array<[string, number, number]> }>

interface ServiceModel { fit: Fit, base: number, pairs: Map<string, number>, smallestTailMs: number, readings: number }

/**
 * Keeps tasks that fill from harming tasks that serve: learns from tails which images disturb which, and moves what
 * presses a task over its target. The load is batch work in waves beside lasting services.
 *
 * A tail grows as `unloaded / (1 - load)`; the load of a task is its own plus, for each neighbour, a pressure that
 * depends on both images times the part of the worker that the neighbour uses.
 */
export function createSharing (): Sharing {
  const models = new Map<string, ServiceModel>()
  const pressedReadings = new Map<string, number>()

  const getModel = (image: string): ServiceModel => {
    const known = models.get(image)
    if (known !== undefined) return known
    const fit = createFit(FORGETTING_MS)
    const created: ServiceModel = { fit, base: fit.add(EXPECTED_LOAD, LOAD_VARIANCE), pairs: new Map(), smallestTailMs: Infinity, readings: 0 }
    models.set(image, created)
    return created
  }

  const getPair = (model: ServiceModel, image: string, pressure = EXPECTED_PRESSURE, variance = PRESSURE_VARIANCE): number => {
    const known = model.pairs.get(image)
    if (known !== undefined) return known
    const index = model.fit.add(pressure, variance, 0)
    model.pairs.set(image, index)
    return index
  }

  const computePressure = (model: ServiceModel, filling: ReadonlyArray<{ image: string, part: number }>): number =>
    filling.reduce((sum, { image, part }) => sum + model.fit.getValue(getPair(model, image)) * part, 0)

  const getUnloadedTail = (model: ServiceModel, targetMs: number): number =>
    model.smallestTailMs === Infinity ? targetMs * UNLOADED_SHARE_OF_TARGET : model.smallestTailMs * UNLOADED_SHARE

  const learn = (run: ServingRun, filling: readonly FillingRun[], now: number): void => {
    if (run.tailMs === undefined || run.tailMs <= 0) return
    const model = getModel(run.image)
    model.smallestTailMs = Math.min(model.smallestTailMs, run.tailMs)
    const load = 1 - getUnloadedTail(model, run.targetMs) / run.tailMs
    const parts = new Map<string, number>()
    filling.forEach(({ image, part }) => parts.set(image, (parts.get(image) ?? 0) + part))
    const difference = load - model.fit.getValue(model.base) - computePressure(model, filling)
    const features = [{ index: model.base, weight: 1 }, ...[...parts].map(([image, part]) => ({ index: getPair(model, image), weight: part }))]
    model.readings += 1
    model.fit.update(features, difference, READING_VARIANCE, LARGEST_SURPRISE, now)
  }

  return {
    observe: (serving, filling, now) => serving.forEach((run) => learn(run, filling, now)),

    estimateRisk: (serving, filling) => serving.reduce((worst, { image, targetMs }) => {
      const model = getModel(image)
      const allowed = 1 - getUnloadedTail(model, targetMs) / targetMs
      const expected = PEAK_FACTOR * (model.fit.getValue(model.base) + computePressure(model, filling))
      return Math.max(worst, expected - allowed)
    }, -Infinity),

    getEstimates: () => [...models].map(([image, { fit, base, pairs, smallestTailMs, readings }]) => ({
      image, load: fit.getValue(base), smallestTailMs, readings, pairs: [...pairs].map(([other, index]) => [other, fit.getValue(index), fit.getVariance(index)])
    })),

    mergeEstimates: (estimates) => estimates.forEach(({ image, load, smallestTailMs, readings, pairs }) => {
      if (readings <= (models.get(image)?.readings ?? 0)) return
      models.delete(image)
      const model = getModel(image)
      model.fit.setValue(model.base, load)
      model.smallestTailMs = smallestTailMs
      model.readings = readings
      pairs.forEach(([other, pressure, variance]) => getPair(model, other, pressure, variance))
    }),

    listPressing: (worker, serving, filling) => {
      const pressed = serving.filter(({ tailMs, targetMs }) => (tailMs ?? 0) > PRESSED_SHARE * targetMs)
      if (pressed.length === 0) pressedReadings.delete(worker)
      if (pressed.length === 0 || filling.length === 0) return []
      const readings = (pressedReadings.get(worker) ?? 0) + 1
      pressedReadings.set(worker, readings)
      const blamed = filling
        .map((run) => ({ run, pressure: Math.max(...pressed.map(({ image }) => computePressure(getModel(image), [run]))) }))
        .sort((a, b) => b.pressure - a.pressure)
      const chosen = readings >= READINGS_BEFORE_ALL ? blamed.filter(({ pressure }) => pressure > BLAMELESS_PRESSURE) : blamed.slice(0, 1)
      return (chosen.length === 0 ? blamed.slice(0, 1) : chosen).map(({ run }) => run.task)
    }
  }
}
