import type { Resources } from '../../state/schemas.js'
import { findHealthRejection } from './health.js'
import { computeLatencyMargin, getForecasts } from './latencyForecasts.js'
import { getUsableCapacity, isBatch, type TaskRecord, type WorkerRecord } from './records.js'
import { findExcess } from './resources.js'
import type { PlacementState } from './state.js'
import type { Reason } from './types.js'

const MAX_ALTERNATIVES = 4
/** Relative tolerance for rounding errors in sums of cores. */
const ROUNDING = 1 + 1e-9
/** Tasks without usage reports that a worker may hold of a class of unknown size; limits the harm of a wrong declaration. */
const MAX_UNMEASURED_PER_WORKER = 1
/** A task without usage reports counts against that limit only for this time after its start; later tasks of the class are placed by their declared size. */
const UNMEASURED_TIMEOUT_MS = 30_000
/** Waiting time after which uncertainty about interference no longer keeps a task from starting. */
const RELAX_AFTER_MS = 60_000
/** Above this standard deviation, the interference cost of a class for a service counts as unknown. */
const MIN_UNKNOWN_DEVIATION = 0.5
/** A failed task raises the score of its worker for this time only; new tasks then show whether the worker is healthy. */
const FAILURE_AVOIDANCE_MS = 10_000

export interface WorkerChoice {
  /** Undefined when every worker was rejected. */
  worker: WorkerRecord | undefined
  score: number
  /** Expected increase of ln p99 by the task, summed over the services of the chosen worker. */
  added: number
  explored: boolean
  alternatives: Reason['alternatives']
  /** Number of workers by the reason for which they were rejected. */
  rejections: Map<string, number>
}

interface WorkerScore { score: number, added: number }

/** A task to place and the values for its scores that do not depend on the worker. */
interface ScoringContext {
  record: TaskRecord
  size: Resources
  batch: boolean
  /** True for a batch task of a class without usage reports. */
  unmeasured: boolean
  /** True when the task is used to measure an uncertain interference cost. */
  explore: boolean
  /**
   * True after a long wait. Where the interference cost is unknown, its mean and the present load then decide,
   * because a wrong start can still be corrected by a throttle.
   */
  relaxed: boolean
  latencyMargin: number
  /** Number of standard deviations added to each interference cost. */
  uncertaintyWeight: number
  /** Tasks of the same job by rack. */
  rackCounts: Map<string, number> | undefined
  jobTaskCount: number
}

/**
 * Chooses the worker with the lowest score of a sample. When every sampled worker is rejected, the search goes on
 * through the other workers up to the first that is not.
 */
export function chooseWorker (state: PlacementState, record: TaskRecord, size: Resources, explore: boolean, now: number): WorkerChoice {
  const count = state.workerList.length
  const start = count <= state.sampleSize ? 0 : state.random.below(count)
  const choice: WorkerChoice = { worker: undefined, score: Infinity, added: 0, explored: explore, alternatives: [], rejections: new Map() }
  const context = createScoringContext(state, record, size, explore, now)
  for (let index = 0; index < count; index++) {
    if (index >= state.sampleSize && choice.worker !== undefined) break
    const worker = state.workerList[(start + index) % count] as WorkerRecord
    const result = findRejection(state, worker, context, now) ?? scoreWorker(state, worker, context, now)
    if (typeof result === 'string') {
      choice.rejections.set(result, (choice.rejections.get(result) ?? 0) + 1)
      addAlternative(choice, worker, 0, result)
    } else if (result.score < choice.score) {
      if (choice.worker !== undefined) addAlternative(choice, choice.worker, choice.score, HIGHER_COST)
      Object.assign(choice, { worker, score: result.score, added: result.added })
    } else {
      addAlternative(choice, worker, result.score, HIGHER_COST)
    }
  }
  const score = computeDisplayedScore(choice.score)
  choice.alternatives.filter((other) => other.rejectedBecause === HIGHER_COST && other.score === score).forEach((other) => { other.rejectedBecause = EQUAL_COST })
  return choice
}

function createScoringContext (state: PlacementState, record: TaskRecord, size: Resources, explore: boolean, now: number): ScoringContext {
  const relaxed = now - record.queuedAt > RELAX_AFTER_MS
  const { tailLatencyWeight, throughputWeight } = state.policy.policy
  const classSize = state.sizes.find(record.task)
  const rackCounts = state.rackCounts.get(record.task.job)
  return {
    record,
    size,
    batch: isBatch(record.task),
    unmeasured: record.task.service === undefined && !record.task.urgent && (classSize?.measuredTasks ?? 0) === 0,
    explore,
    relaxed,
    latencyMargin: computeLatencyMargin(state),
    uncertaintyWeight: explore ? 0 : tailLatencyWeight / (tailLatencyWeight + throughputWeight + 1e-9),
    rackCounts,
    jobTaskCount: rackCounts === undefined ? 0 : [...rackCounts.values()].reduce((sum, count) => sum + count, 0)
  }
}

/** Why the worker takes no task at all at present. */
function findWorkerRejection (worker: WorkerRecord, now: number): string | undefined {
  if (!worker.up) return 'down'
  if (worker.draining) return 'draining'
  if (worker.guardActive) return 'its guard is active'
  return now < worker.pausedUntil ? 'its guard was active or it refused a task just before' : undefined
}

/** Why the worker may not take this task, other than for the latency of its services. */
function findRejection (state: PlacementState, worker: WorkerRecord, { record, size, batch, unmeasured }: ScoringContext, now: number): string | undefined {
  const workerRejection = findWorkerRejection(worker, now)
  if (workerRejection !== undefined) return workerRejection
  const excess = findExcess(size, worker.capacity, worker.held)
  if (excess !== undefined) return `no room in ${excess}`
  if (batch && worker.batchCores + size.cores > worker.capacity.cores * state.policy.policy.batchShare * ROUNDING) return 'its batch share is used'
  if (findExcess(size, getUsableCapacity(worker, now), worker.held) !== undefined) return 'it refused such a size'
  if (worker.reservedFor !== undefined && worker.reservedFor !== record.task.id && !record.task.urgent) return 'reserved for a task that waits longer'
  const rejection = findHealthRejection(worker, record)
  if (rejection !== undefined) return rejection
  return unmeasured && countUnmeasured(worker, record, now) >= MAX_UNMEASURED_PER_WORKER ? 'holds a task of this class whose size is not yet known' : undefined
}

/** Tasks of the same class and member on the worker that started recently and have no usage report yet. */
function countUnmeasured (worker: WorkerRecord, { task }: TaskRecord, now: number): number {
  let count = 0
  for (const other of worker.tasks) {
    if (other.reports === 0 && other.task.jobClass === task.jobClass && other.task.member === task.member && now - other.startedAt < UNMEASURED_TIMEOUT_MS) count += 1
  }
  return count
}

/** The score of a worker with enough free capacity, lower being better, or why the latency of one of its services rules the task out. */
function scoreWorker (state: PlacementState, worker: WorkerRecord, context: ScoringContext, now: number): WorkerScore | string {
  const { record, size } = context
  const { tailLatencyWeight, throughputWeight, evictionWeight } = state.policy.policy
  const load = Math.max((worker.held.cores + size.cores) / worker.capacity.cores, (worker.held.memoryBytes + size.memoryBytes) / worker.capacity.memoryBytes)
  const rackFraction = context.jobTaskCount === 0 ? 0 : (context.rackCounts?.get(worker.rack) ?? 0) / context.jobTaskCount
  const imbalance = Math.abs((worker.held.cores + size.cores) / worker.capacity.cores - (worker.held.memoryBytes + size.memoryBytes) / worker.capacity.memoryBytes)
  const commonScore = 0.1 * throughputWeight * imbalance + 0.1 * evictionWeight * load * load + 0.05 * rackFraction +
    (now - worker.health.lastFailureAt < FAILURE_AVOIDANCE_MS ? 0.3 * worker.health.failures.size : 0)
  if (record.task.service !== undefined) {
    const replicasOfService = worker.replicas.filter(({ task }) => task.service === record.task.service).length
    const added = getForecasts(state, worker, now).reduce((sum, { model, costFactor }) => sum + size.cores / worker.capacity.cores * costFactor * model.getCost(record.task.jobClass), 0)
    return { score: commonScore + replicasOfService * 10 + load + rackFraction + added * tailLatencyWeight, added }
  }
  const coreShare = size.cores / worker.capacity.cores
  let added = 0
  let latency = 0
  for (const forecast of getForecasts(state, worker, now)) {
    const cost = forecast.model.getCost(record.task.jobClass)
    const deviation = forecast.model.getDeviation(record.task.jobClass)
    const expected = coreShare * forecast.costFactor * (cost + context.uncertaintyWeight * deviation)
    const ignoresUncertainty = context.relaxed && deviation > MIN_UNKNOWN_DEVIATION
    const excess = ignoresUncertainty ? forecast.ratio + coreShare * forecast.costFactor * cost : forecast.planningRatio + expected + context.latencyMargin
    if (!record.task.urgent && excess > 0) return forecast.rejection
    added += coreShare * forecast.costFactor * cost
    latency += expected * (0.2 + forecast.pressure)
    // An exploration prefers the worker with the most uncertain interference cost.
    if (context.explore) latency -= coreShare * deviation
  }
  return { score: commonScore + 5 * tailLatencyWeight * latency, added }
}

/** Compared with `rejectedBecause` to tell alternatives with free capacity from rejected workers. */
const HIGHER_COST = 'higher cost'
const EQUAL_COST = 'equal cost, looked at later'

/** Four significant digits, as in the reasons; scores that are equal by these are shown as equal cost. */
function computeDisplayedScore (score: number): number {
  return Number(score.toPrecision(4))
}

/** Keeps at most `MAX_ALTERNATIVES`. A worker with free capacity replaces a rejected one or one with a higher score. */
function addAlternative ({ alternatives }: WorkerChoice, worker: WorkerRecord, score: number, rejectedBecause: string): void {
  const hadCapacity = rejectedBecause === HIGHER_COST
  if (alternatives.length < MAX_ALTERNATIVES) {
    alternatives.push({ worker: worker.id, score: computeDisplayedScore(score), rejectedBecause })
    return
  }
  if (!hadCapacity) return
  const index = alternatives.findIndex((other) => other.rejectedBecause !== HIGHER_COST || other.score > score)
  if (index >= 0) alternatives[index] = { worker: worker.id, score: computeDisplayedScore(score), rejectedBecause }
}
