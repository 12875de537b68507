import { createInterferenceEstimates, type Neighbour } from '../placement/interference.js'

/** Distance to keep between the expected logarithm of a tail and that of its target: tails vary by about this much by themselves. */
const SAFETY_MARGIN = 0.35
/**
 * Costs of neighbours are learned for a task that uses this part of a worker. Tasks of the reference loads use about
 * half of it, which keeps the costs near those that the estimates expect before any report.
 */
const REFERENCE_PART = 0.2
/** Readings over the target in a row before everything that fills beside the task is held, not only the worst. */
const READINGS_BEFORE_ALL = 2
/** A run that was held this long is moved, so that it works on elsewhere. */
const HELD_BEFORE_MOVE_MS = 900
/** Tails above this share of the target count as pressed. */
const PRESSED_SHARE = 0.95

/** A task that serves: what it runs, its latest tail and its target, ms. */
export interface ServingRun { task: string, image: string, tailMs: number | undefined, targetMs: number }
/** A task that fills: what it runs and the part of the worker's cores that it uses. */
export interface FillingRun { task: string, image: string, part: number, heldSince: number | undefined }

export type SharingAction =
  | { kind: 'hold', task: string }
  | { kind: 'move', task: string }

export interface Sharing {
  /** Learns from a reading of all runs on a worker. */
  observe (serving: readonly ServingRun[], filling: readonly FillingRun[], now: number): void
  /** How far the worst tail is expected above what is safe, as a logarithm; at most 0 is safe. */
  estimateRisk (serving: ReadonlyArray<{ image: string, targetMs: number }>, filling: ReadonlyArray<{ image: string, part: number }>): number
  /** What to do about tails that are over their targets on a worker. */
  planActions (worker: string, serving: readonly ServingRun[], filling: readonly FillingRun[], now: number): SharingAction[]
}

/**
 * Keeps tasks that fill from harming tasks that serve: learns from tails which images disturb which, and holds,
 * then moves, what presses a task over its target. The load is batch work in waves beside lasting services.
 */
export function createSharing (): Sharing {
  const estimates = createInterferenceEstimates()
  const pressedReadings = new Map<string, number>()

  const getCost = (serving: ReadonlyArray<{ image: string }>, run: FillingRun): number =>
    Math.max(0, ...serving.map(({ image }) => estimates.getService(image).getCost(run.image) * run.part))

  return {
    observe: (serving, filling, now) => {
      const neighbours = listNeighbours(filling.filter(({ heldSince }) => heldSince === undefined))
      serving.forEach(({ image, tailMs }) => {
        if (tailMs !== undefined && tailMs > 0) estimates.getService(image).learn(1, tailMs, neighbours, now, now)
      })
    },

    estimateRisk: (serving, filling) => {
      const neighbours = listNeighbours(filling)
      return serving.reduce((worst, { image, targetMs }) =>
        Math.max(worst, estimates.getService(image).predict(1, neighbours) + SAFETY_MARGIN - Math.log(targetMs)), -Infinity)
    },

    planActions: (worker, serving, filling, now) => {
      const pressed = serving.filter(({ tailMs, targetMs }) => (tailMs ?? 0) > PRESSED_SHARE * targetMs)
      const moves = filling
        .filter(({ heldSince }) => heldSince !== undefined && now - heldSince >= HELD_BEFORE_MOVE_MS)
        .map(({ task }): SharingAction => ({ kind: 'move', task }))
      if (pressed.length === 0) {
        pressedReadings.delete(worker)
        return moves
      }
      const readings = (pressedReadings.get(worker) ?? 0) + 1
      pressedReadings.set(worker, readings)
      const working = filling.filter(({ heldSince }) => heldSince === undefined)
        .sort((a, b) => getCost(pressed, b) - getCost(pressed, a))
      const held = readings >= READINGS_BEFORE_ALL ? working : working.slice(0, 1)
      return [...moves, ...held.map(({ task }): SharingAction => ({ kind: 'hold', task }))]
    }
  }
}

function listNeighbours (filling: ReadonlyArray<{ image: string, part: number }>): Neighbour[] {
  return filling.map(({ image, part }) => ({ jobClass: image, part: part / REFERENCE_PART, service: undefined }))
}
