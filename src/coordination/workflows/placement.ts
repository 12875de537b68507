import type { Step } from '../../state/index.js'
import type { LatencyCriticalTask } from './interferenceModel.js'

/** A worker that may receive a task, with its remaining capacity and the tasks on it. */
export interface Candidate {
  id: string
  service: string
  availabilityZone: string
  labels: readonly string[]
  rack: string | undefined
  cores: number
  memoryMb: number
  accelerators: number
  /** Cores that no task requests; requests of best-effort tasks are not counted. */
  freeCores: number
  /** Cores that are expected to be idle and that best-effort tasks can use; latency-critical tasks count with their mean utilization. */
  spareCores: number
  freeMemoryMb: number
  freeAccelerators: number
  /** Number of tasks that the worker may get, whatever capacity they request; absent: any. */
  freeRuns?: number
  /** Tasks whose tail latency has a target. */
  latencyCritical: LatencyCriticalTask[]
  /** Tasks that use cores which other tasks leave idle, each with its share of the worker's cores. */
  bestEffort: Array<{ image: string, coreShare: number }>
  /** Tasks take this many times as long as on a worker of usual speed. */
  slowness: number
  /** True when a latency-critical task has been over its target for so long that no best-effort task may start on the worker. */
  hasOverdueService?: boolean
  /** Number of runs by step name, for steps with `maxPerWorker`. */
  stepRuns?: ReadonlyMap<string, number>
}

export interface PlacementNeeds {
  step: Step
  /** Number of tasks of the same occurrence and step on a worker. */
  countStepRuns (worker: string, candidate: Candidate): number
  /**
   * How far the load of a latency-critical task is expected to rise above the load at which its tail latency reaches
   * the target; the highest value of the tasks. Negative values are headroom.
   */
  estimateExcessLoad (latencyCritical: Candidate['latencyCritical'], bestEffort: Candidate['bestEffort']): number
  /** True when a best-effort task of the image must not start on the candidate, because its interference with a service is unknown and another trial of the pair is running or a neighbour is unknown too. */
  isTrialBlocked (candidate: Candidate, image: string): boolean
  /** How much other waiting images need this worker, from 0 to 1; high when few other workers tolerate them. */
  getCompetingDemand (worker: string, image: string): number
  /** Set for a starved task: making it wait longer is worse than a tail latency that may exceed its target. */
  acceptsExcessLoad: boolean
}

/**
 * Number of workers with enough capacity that are compared for a task; the best of 32 is among the best 10% of all
 * workers in 97 of 100 cases.
 */
export const SAMPLE_SIZE = 32
/** Cost of a worker outside the rack that holds the data of the step. */
export const REMOTE_DATA_PENALTY = 2
/** Cost of each unit of slowness above 1. */
const SLOWNESS_WEIGHT = 0.5
/** Weight of the competing demand; at its maximum of 1 it costs as much as a fully used worker. */
const COMPETING_DEMAND_WEIGHT = 1
/** Weight of the excess load above `NEGLIGIBLE_EXCESS_LOAD`. */
const EXCESS_LOAD_WEIGHT = 1
/** Added to `EXCESS_LOAD_WEIGHT` for excess load above 0, at which a tail latency is expected to exceed its target. */
const OVERLOAD_WEIGHT = 10
/** Below this excess load more headroom does not make a worker cheaper. */
const NEGLIGIBLE_EXCESS_LOAD = -0.3
/** Costs of a worker for a latency-critical task: when it has none yet, when it has some of other images, and for each best-effort task. */
const FIRST_LATENCY_CRITICAL_COST = 0.3
const MIXED_IMAGES_COST = 0.4
const BEST_EFFORT_NEIGHBOUR_COST = 0.2

export function isLatencyCritical (step: Step): boolean {
  return step.tailTargetMs !== undefined
}

export function canHold (candidate: Candidate, { step, countStepRuns, acceptsExcessLoad }: Pick<PlacementNeeds, 'step' | 'countStepRuns'> & Partial<PlacementNeeds>): boolean {
  // A starved best-effort task also starts without spare cores: it runs more slowly there, which is better than not at all.
  const hasSpareCores = acceptsExcessLoad === true || candidate.spareCores >= step.cores
  const hasCores = step.fills ? hasSpareCores : candidate.freeCores >= step.cores
  return hasCores &&
    (candidate.freeRuns ?? Infinity) > 0 &&
    !(step.fills && candidate.hasOverdueService === true) &&
    candidate.freeMemoryMb >= step.memoryMb &&
    candidate.freeAccelerators >= step.accelerators &&
    (step.requiredLabel === undefined || candidate.labels.includes(step.requiredLabel)) &&
    (step.maxPerWorker === undefined || countStepRuns(candidate.id, candidate) < step.maxPerWorker)
}

/** How many tasks of the step fit into this capacity, at most `limit`. */
export function countFitting ({ cores, memoryMb, accelerators }: Pick<Candidate, 'cores' | 'memoryMb' | 'accelerators'>, step: Pick<Step, 'cores' | 'memoryMb' | 'accelerators'>, limit: number): number {
  const countTimes = (available: number, needed: number): number => needed > 0 ? Math.floor(available / needed) : limit
  return Math.min(limit, countTimes(cores, step.cores), countTimes(memoryMb, step.memoryMb), countTimes(accelerators, step.accelerators))
}

/** How many tasks of a step the candidate can hold now beside its own, at most `limit`. */
export function countHeld (candidate: Candidate, needs: Pick<PlacementNeeds, 'step' | 'countStepRuns'>, limit: number): number {
  const { step, countStepRuns } = needs
  if (!canHold(candidate, needs)) return 0
  const room = { cores: step.fills ? candidate.spareCores : candidate.freeCores, memoryMb: candidate.freeMemoryMb, accelerators: candidate.freeAccelerators }
  const stepRuns = step.maxPerWorker === undefined ? Infinity : step.maxPerWorker - countStepRuns(candidate.id, candidate)
  return countFitting(room, step, Math.min(limit, stepRuns, candidate.freeRuns ?? Infinity))
}

/**
 * Deducts the capacity of a task from a candidate and lists the task there; `utilization` is the share of its requested
 * cores that a latency-critical task uses on average.
 */
export function addTask (candidate: Candidate, step: Step, stepName: string, utilization: number): void {
  if (!step.fills) candidate.freeCores -= step.cores
  candidate.spareCores -= isLatencyCritical(step) ? step.cores * utilization : step.cores
  candidate.freeMemoryMb -= step.memoryMb
  candidate.freeAccelerators -= step.accelerators
  if (candidate.freeRuns !== undefined) candidate.freeRuns -= 1
  if (step.tailTargetMs !== undefined) candidate.latencyCritical.push({ step: stepName, image: step.image ?? '', targetMs: step.tailTargetMs })
  if (step.fills) candidate.bestEffort.push({ image: step.image ?? '', coreShare: step.cores / Math.max(1, candidate.cores) })
}

/**
 * Chooses the worker with the lowest cost. Workers on which a tail latency is expected to exceed its target are left out,
 * unless the task accepts excess load. When there are more than `SAMPLE_SIZE` workers, only a sample of those that can hold
 * the task is compared, beginning at `offset`.
 */
export function chooseWorker<T extends Candidate> (candidates: readonly T[], needs: PlacementNeeds, offset = 0): T | undefined {
  return findBest(candidates, needs, offset)?.candidate
}

export function findBest<T extends Candidate> (candidates: readonly T[], needs: PlacementNeeds, offset: number): { candidate: T, cost: number } | undefined {
  const count = candidates.length
  // Latency-critical tasks are few, and packing them requires comparing all workers.
  const sampleSize = isLatencyCritical(needs.step) ? count : SAMPLE_SIZE
  const start = count > sampleSize ? offset % count : 0
  let best: { candidate: T, cost: number } | undefined
  let scored = 0
  for (let position = 0; position < count && (scored < sampleSize || best === undefined); position += 1) {
    const candidate = candidates[(start + position) % count] as T
    if (!canHold(candidate, needs)) continue
    scored += 1
    const cost = scoreWorker(candidate, needs, best?.cost)
    if (cost < (best?.cost ?? Infinity)) best = { candidate, cost }
  }
  return best
}

/**
 * Cost of a worker for a task; lower is better. Infinite when the task must not run there, and when the cost without the
 * excess load already reaches `bound`, which saves the more expensive estimate of the excess load.
 */
export function scoreWorker (candidate: Candidate, needs: PlacementNeeds, bound = Infinity): number {
  const { step } = needs
  const usedShare = 1 - (candidate.spareCores - step.cores) / Math.max(1, candidate.cores)
  const cost = getLoadCost(candidate, step, usedShare) +
    (step.dataRack !== undefined && !candidate.labels.includes(step.dataRack) ? REMOTE_DATA_PENALTY : 0) +
    (candidate.slowness - 1) * SLOWNESS_WEIGHT +
    (step.fills ? needs.getCompetingDemand(candidate.id, step.image ?? '') * COMPETING_DEMAND_WEIGHT : 0)
  if (cost >= bound) return Infinity
  const excessLoad = estimateResultingExcessLoad(candidate, needs)
  if (!needs.acceptsExcessLoad && (excessLoad > 0 || (step.fills && needs.isTrialBlocked(candidate, step.image ?? '')))) return Infinity
  return cost + Math.max(0, excessLoad - NEGLIGIBLE_EXCESS_LOAD) * EXCESS_LOAD_WEIGHT + Math.max(0, excessLoad) * OVERLOAD_WEIGHT
}

/**
 * Packs latency-critical tasks of one image together, so that a best-effort task finds workers on which all of them
 * tolerate it. Other tasks go to the workers with the most spare cores.
 */
function getLoadCost (candidate: Candidate, step: Step, usedShare: number): number {
  if (!isLatencyCritical(step)) return usedShare
  const otherImageTasks = candidate.latencyCritical.filter(({ image }) => image !== (step.image ?? '')).length
  const isEmpty = candidate.latencyCritical.length === 0
  const free = (candidate.freeCores - step.cores) / Math.max(1, candidate.cores)
  return (isEmpty ? FIRST_LATENCY_CRITICAL_COST : free / 10) + Math.min(otherImageTasks, 1) * MIXED_IMAGES_COST + candidate.bestEffort.length * BEST_EFFORT_NEIGHBOUR_COST
}

function estimateResultingExcessLoad (candidate: Candidate, { step, estimateExcessLoad }: PlacementNeeds): number {
  if (step.fills && candidate.latencyCritical.length > 0) {
    return estimateExcessLoad(candidate.latencyCritical, [...candidate.bestEffort, { image: step.image ?? '', coreShare: step.cores / Math.max(1, candidate.cores) }])
  }
  if (step.tailTargetMs !== undefined && candidate.bestEffort.length > 0) {
    return estimateExcessLoad([...candidate.latencyCritical, { step: undefined, image: step.image ?? '', targetMs: step.tailTargetMs }], candidate.bestEffort)
  }
  return -Infinity
}
