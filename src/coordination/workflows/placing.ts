import type { Step } from '../../state/index.js'

/** A worker as placement sees it: what is left of it and who shares it. */
export interface Candidate {
  id: string
  service: string
  availabilityZone: string
  labels: readonly string[]
  cores: number
  memoryMb: number
  accelerators: number
  freeCores: number
  freeMemoryMb: number
  freeAccelerators: number
  /** Runs of tasks that serve users under a tail target. */
  serving: number
  /** Runs of tasks that use what others leave. */
  filling: number
  /** Work takes this many times as long as on a sound worker. */
  slowness: number
}

export interface PlacementNeeds {
  step: Step
  /** Tasks of the same occurrence and step on a worker. */
  countPeers (worker: string): number
  /** Workers on which the last attempts of the task failed, tried last. */
  isAvoided (worker: string): boolean
}

/** Serving and filling tasks disturb each other, so sharing a worker costs more than any difference of load. */
const MIX_PENALTY = 10
/** Other tasks also disturb those that serve, a little. */
const SERVING_NEIGHBOUR_PENALTY = 0.5
const AVOIDED_PENALTY = 100
const REMOTE_DATA_PENALTY = 2
/** Weight of the slowness of a worker above 1. */
const SLOWNESS_WEIGHT = 3

export function canHold (candidate: Candidate, { step, countPeers }: PlacementNeeds): boolean {
  return candidate.freeCores >= step.cores &&
    candidate.freeMemoryMb >= step.memoryMb &&
    candidate.freeAccelerators >= step.accelerators &&
    (step.requiredLabel === undefined || candidate.labels.includes(step.requiredLabel)) &&
    (step.maxPerWorker === undefined || countPeers(candidate.id) < step.maxPerWorker)
}

/** True when the worker could hold the task if nothing else ran there. */
export function couldHold (candidate: Candidate, step: Step): boolean {
  return candidate.cores >= step.cores && candidate.memoryMb >= step.memoryMb && candidate.accelerators >= step.accelerators &&
    (step.requiredLabel === undefined || candidate.labels.includes(step.requiredLabel))
}

/**
 * Chooses the worker with the lowest cost. Tasks that serve are packed on few workers and tasks that fill are
 * spread over the others; everything else goes where most is free.
 */
export function chooseWorker (candidates: readonly Candidate[], needs: PlacementNeeds): Candidate | undefined {
  return candidates
    .filter((candidate) => canHold(candidate, needs))
    .reduce<{ candidate: Candidate, cost: number } | undefined>((best, candidate) => {
      const cost = scoreWorker(candidate, needs)
      return best === undefined || cost < best.cost ? { candidate, cost } : best
    }, undefined)?.candidate
}

/** Lower is better. */
export function scoreWorker (candidate: Candidate, needs: PlacementNeeds): number {
  const { step } = needs
  const used = 1 - (candidate.freeCores - step.cores) / Math.max(1, candidate.cores)
  return getSharingCost(candidate, step, used) +
    (needs.isAvoided(candidate.id) ? AVOIDED_PENALTY : 0) +
    (step.dataRack !== undefined && !candidate.labels.includes(step.dataRack) ? REMOTE_DATA_PENALTY : 0) +
    (candidate.slowness - 1) * SLOWNESS_WEIGHT
}

function getSharingCost (candidate: Candidate, step: Step, used: number): number {
  if (isServing(step)) return (candidate.filling > 0 ? MIX_PENALTY + candidate.filling : 0) + (candidate.serving > 0 ? 0 : 1) + used / 2
  if (step.fills) return (candidate.serving > 0 ? MIX_PENALTY + candidate.serving : 0) + used
  return (candidate.serving > 0 ? SERVING_NEIGHBOUR_PENALTY : 0) + used
}

export function isServing (step: Step): boolean {
  return step.tailTargetMs !== undefined
}
