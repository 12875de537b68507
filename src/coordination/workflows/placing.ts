import type { Step } from '../../state/index.js'
import type { ServingImage } from './sharing.js'

/** A worker as placement sees it: what is left of it and who shares it. */
export interface Candidate {
  id: string
  service: string
  availabilityZone: string
  labels: readonly string[]
  rack: string | undefined
  cores: number
  memoryMb: number
  accelerators: number
  /** Not requested by anybody whose cores count. */
  freeCores: number
  /** Expected to be unused; what fills can use. */
  spareCores: number
  freeMemoryMb: number
  freeAccelerators: number
  /** Tasks that serve users under a tail target. */
  serving: ServingImage[]
  /** Tasks that use what others leave, and their part of the worker's cores. */
  filling: Array<{ image: string, part: number }>
  /** Work takes this many times as long as on a sound worker. */
  slowness: number
  /** Nothing that fills may start beside a service there. */
  hasOverdueService?: boolean
  /** Runs of each step whose number on a worker is limited. */
  peers?: ReadonlyMap<string, number>
}

export interface PlacementNeeds {
  step: Step
  /** Tasks of the same occurrence and step on a worker. */
  countPeers (worker: string, candidate: Candidate): number
  /** How far the highest load of a task that serves is expected above what its tail allows. */
  estimateRisk (serving: Candidate['serving'], filling: Candidate['filling']): number
  /** True where a filling task of the image would be one trial too many of an unknown pair. */
  isOnTrial (candidate: Candidate, image: string): boolean
  /** How much other waiting images need this worker, 0 to 1, because few others bear them. */
  getScarcity (worker: string, image: string): number
  /** Set when the task has waited so long that a tail close to its target is the smaller harm. */
  acceptsRisk: boolean
}

/**
 * Workers that hold a task and are compared for it; the best of 32 is among the best 10% of all workers
 * in 97 of 100 cases.
 */
export const SAMPLE_SIZE = 32
export const REMOTE_DATA_PENALTY = 2
/** Weight of the slowness of a worker above 1. */
const SLOWNESS_WEIGHT = 0.5
/** Weight of what other images need a worker; as much as that of its whole load. */
const SCARCITY_WEIGHT = 1
/** Weight of the expected distance of the worst tail from its target. */
const RISK_WEIGHT = 1
/** Added to the weight for risk beyond what is safe. */
const UNSAFE_WEIGHT = 10
/** Expected distance of the load from what a tail allows below which more distance is no advantage. */
const NO_RISK = -0.3
/** Costs of a worker for a task that serves, in the order in which they are avoided. */
const NEW_SERVING_WORKER_COST = 0.3
const MIXED_SERVICES_COST = 0.4
const FILLED_WORKER_COST = 0.2

export function isServing (step: Step): boolean {
  return step.tailTargetMs !== undefined
}

export function canHold (candidate: Candidate, { step, countPeers, acceptsRisk }: Pick<PlacementNeeds, 'step' | 'countPeers'> & Partial<PlacementNeeds>): boolean {
  // Workers take filling tasks beyond what others leave and run them the slower, which is better than not at all.
  const hasFillingRoom = acceptsRisk === true || candidate.spareCores >= step.cores
  const hasCores = step.fills ? hasFillingRoom : candidate.freeCores >= step.cores
  return hasCores &&
    !(step.fills && candidate.hasOverdueService === true) &&
    candidate.freeMemoryMb >= step.memoryMb &&
    candidate.freeAccelerators >= step.accelerators &&
    (step.requiredLabel === undefined || candidate.labels.includes(step.requiredLabel)) &&
    (step.maxPerWorker === undefined || countPeers(candidate.id, candidate) < step.maxPerWorker)
}

/** Takes the room of one more task from a candidate; `use` is the share of a serving task's cores that it uses on average. */
export function addTask (candidate: Candidate, step: Step, stepName: string, use: number): void {
  if (!step.fills) candidate.freeCores -= step.cores
  candidate.spareCores -= isServing(step) ? step.cores * use : step.cores
  candidate.freeMemoryMb -= step.memoryMb
  candidate.freeAccelerators -= step.accelerators
  if (step.tailTargetMs !== undefined) candidate.serving.push({ step: stepName, image: step.image ?? '', targetMs: step.tailTargetMs })
  if (step.fills) candidate.filling.push({ image: step.image ?? '', part: step.cores / Math.max(1, candidate.cores) })
}

/**
 * Chooses the worker with the lowest cost; one on which a tail would come close to its target is no choice. Of many
 * workers that hold the task the best of a sample is taken, beginning at `offset`.
 */
export function chooseWorker<T extends Candidate> (candidates: readonly T[], needs: PlacementNeeds, offset = 0): T | undefined {
  return findBest(candidates, needs, offset)?.candidate
}

export function findBest<T extends Candidate> (candidates: readonly T[], needs: PlacementNeeds, offset: number): { candidate: T, cost: number } | undefined {
  const count = candidates.length
  // Tasks that serve are packed, which needs the view of all workers; they are few.
  const sample = isServing(needs.step) ? count : SAMPLE_SIZE
  const start = count > sample ? offset % count : 0
  let best: { candidate: T, cost: number } | undefined
  let seen = 0
  for (let position = 0; position < count && (seen < sample || best === undefined); position += 1) {
    const candidate = candidates[(start + position) % count] as T
    if (!canHold(candidate, needs)) continue
    seen += 1
    const cost = scoreWorker(candidate, needs, best?.cost)
    if (cost < (best?.cost ?? Infinity)) best = { candidate, cost }
  }
  return best
}

/** Lower is better; infinite when the task must not run there, or when the cost is at least `bound`, which is cheaper to find out. */
export function scoreWorker (candidate: Candidate, needs: PlacementNeeds, bound = Infinity): number {
  const { step } = needs
  const used = 1 - (candidate.spareCores - step.cores) / Math.max(1, candidate.cores)
  const cost = getLoadCost(candidate, step, used) +
    (step.dataRack !== undefined && !candidate.labels.includes(step.dataRack) ? REMOTE_DATA_PENALTY : 0) +
    (candidate.slowness - 1) * SLOWNESS_WEIGHT +
    (step.fills ? needs.getScarcity(candidate.id, step.image ?? '') * SCARCITY_WEIGHT : 0)
  if (cost >= bound) return Infinity
  const risk = estimateSharingRisk(candidate, needs)
  if (!needs.acceptsRisk && (risk > 0 || (step.fills && needs.isOnTrial(candidate, step.image ?? '')))) return Infinity
  return cost + Math.max(0, risk - NO_RISK) * RISK_WEIGHT + Math.max(0, risk) * UNSAFE_WEIGHT
}

/**
 * Tasks that serve are packed, each image by itself, so that a task that fills finds workers all of whose services
 * bear it. All others go where most is unused.
 */
function getLoadCost (candidate: Candidate, step: Step, used: number): number {
  if (!isServing(step)) return used
  const others = candidate.serving.filter(({ image }) => image !== (step.image ?? '')).length
  const isEmpty = candidate.serving.length === 0
  const free = (candidate.freeCores - step.cores) / Math.max(1, candidate.cores)
  return (isEmpty ? NEW_SERVING_WORKER_COST : free / 10) + Math.min(others, 1) * MIXED_SERVICES_COST + candidate.filling.length * FILLED_WORKER_COST
}

function estimateSharingRisk (candidate: Candidate, { step, estimateRisk }: PlacementNeeds): number {
  if (step.fills && candidate.serving.length > 0) {
    return estimateRisk(candidate.serving, [...candidate.filling, { image: step.image ?? '', part: step.cores / Math.max(1, candidate.cores) }])
  }
  if (step.tailTargetMs !== undefined && candidate.filling.length > 0) {
    return estimateRisk([...candidate.serving, { step: undefined, image: step.image ?? '', targetMs: step.tailTargetMs }], candidate.filling)
  }
  return -Infinity
}
