import type { Resources } from '../../state/schemas.js'
import { findHealthRejection } from './health.js'
import { computeGuardBand, getOutlook } from './outlook.js'
import { isBatch, type TaskRecord, type WorkerRecord } from './records.js'
import { findExcess } from './resources.js'
import type { PlacementState } from './state.js'
import type { Reason } from './types.js'

const ALTERNATIVES_KEPT = 4
const ROUNDING = 1 + 1e-9
/** Tasks of one class on a worker until their size is known, so that a wrong declaration harms little. */
const UNPROVEN_PER_WORKER = 1
/** A class whose size is not reported within this time is placed by its declaration. */
const UNPROVEN_MS = 30_000
/** Wait after which caution about interference no longer holds a task back. */
const RELAXED_MS = 60_000
/** A pair whose cost has this standard deviation or more is as good as unknown. */
const UNKNOWN_DEVIATION = 0.5
/** A worker is avoided for this long after a failure, and no longer, so that its health becomes known. */
const AVOIDED_MS = 10_000

export interface Choice {
  worker: WorkerRecord | undefined
  score: number
  /** Expected change of ln p99, summed over the services of the chosen worker. */
  added: number
  explored: boolean
  alternatives: Reason['alternatives']
  /** Number of workers by the reason for which they were rejected. */
  rejections: Map<string, number>
}

interface Score { score: number, added: number }

/** A task with what is looked up once for all workers. */
interface Candidate {
  record: TaskRecord
  size: Resources
  batch: boolean
  unproven: boolean
  explore: boolean
  /** After a long wait the present load and the mean cost of an unknown pair decide, since throttles can still protect. */
  relaxed: boolean
  guardBand: number
  /** Standard deviations added to the cost of uncertain pairs. */
  caution: number
  racks: Map<string, number> | undefined
  jobTasks: number
}

/** Chooses the best worker of a sample, or of all workers when no sampled one has room. */
export function chooseWorker (state: PlacementState, record: TaskRecord, size: Resources, explore: boolean, now: number): Choice {
  const count = state.workerList.length
  const start = count <= state.sample ? 0 : state.random.below(count)
  const choice: Choice = { worker: undefined, score: Infinity, added: 0, explored: explore, alternatives: [], rejections: new Map() }
  const candidate = createCandidate(state, record, size, explore, now)
  for (let index = 0; index < count; index++) {
    if (index >= state.sample && choice.worker !== undefined) break
    const worker = state.workerList[(start + index) % count] as WorkerRecord
    const result = findRejection(state, worker, candidate, now) ?? scoreWorker(state, worker, candidate, now)
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
  const score = computeShownScore(choice.score)
  choice.alternatives.filter((other) => other.rejectedBecause === HIGHER_COST && other.score === score).forEach((other) => { other.rejectedBecause = EQUAL_COST })
  return choice
}

function createCandidate (state: PlacementState, record: TaskRecord, size: Resources, explore: boolean, now: number): Candidate {
  const relaxed = now - record.queuedAt > RELAXED_MS
  const { tailLatencyWeight, throughputWeight } = state.policy.policy
  const known = state.sizes.find(record.task)
  const racks = state.spread.get(record.task.job)
  return {
    record,
    size,
    batch: isBatch(record.task),
    unproven: record.task.service === undefined && !record.task.urgent && (known?.evidence ?? 0) === 0,
    explore,
    relaxed,
    guardBand: computeGuardBand(state),
    caution: explore ? 0 : tailLatencyWeight / (tailLatencyWeight + throughputWeight + 1e-9),
    racks,
    jobTasks: racks === undefined ? 0 : [...racks.values()].reduce((sum, count) => sum + count, 0)
  }
}

function findClosure (worker: WorkerRecord, now: number): string | undefined {
  if (!worker.up) return 'down'
  if (worker.draining) return 'draining'
  return worker.guardActive || now < worker.guardDeadline ? 'its guard is active' : undefined
}

function findRejection (state: PlacementState, worker: WorkerRecord, { record, size, batch, unproven }: Candidate, now: number): string | undefined {
  const closure = findClosure(worker, now)
  if (closure !== undefined) return closure
  const excess = findExcess(size, worker.capacity, worker.held)
  if (excess !== undefined) return `no room in ${excess}`
  if (batch && worker.batchCores + size.cores > worker.capacity.cores * state.policy.policy.batchShare * ROUNDING) return 'its batch share is used'
  if (now < worker.withheldDeadline && findExcess(size, computeWithheldCapacity(worker), worker.held) !== undefined) return 'it refused such a size'
  if (worker.reservedFor !== undefined && worker.reservedFor !== record.task.id && !record.task.urgent) return 'reserved for a task that waits longer'
  const rejection = findHealthRejection(worker, record)
  if (rejection !== undefined) return rejection
  return unproven && countUnproven(worker, record, now) >= UNPROVEN_PER_WORKER ? 'holds a task of this class whose size is not yet known' : undefined
}

function computeWithheldCapacity ({ capacity, withheld }: WorkerRecord): Resources {
  return {
    cores: capacity.cores - withheld.cores,
    memoryBytes: capacity.memoryBytes - withheld.memoryBytes,
    accelerators: capacity.accelerators
  }
}

function countUnproven (worker: WorkerRecord, { task }: TaskRecord, now: number): number {
  let count = 0
  for (const other of worker.tasks) {
    if (other.reports === 0 && other.task.jobClass === task.jobClass && other.task.member === task.member && now - other.startedAt < UNPROVEN_MS) count += 1
  }
  return count
}

function scoreWorker (state: PlacementState, worker: WorkerRecord, candidate: Candidate, now: number): Score | string {
  const { record, size } = candidate
  const { tailLatencyWeight, throughputWeight, evictionWeight } = state.policy.policy
  const load = Math.max((worker.held.cores + size.cores) / worker.capacity.cores, (worker.held.memoryBytes + size.memoryBytes) / worker.capacity.memoryBytes)
  const inRack = candidate.jobTasks === 0 ? 0 : (candidate.racks?.get(worker.rack) ?? 0) / candidate.jobTasks
  const imbalance = Math.abs((worker.held.cores + size.cores) / worker.capacity.cores - (worker.held.memoryBytes + size.memoryBytes) / worker.capacity.memoryBytes)
  const shared = 0.1 * throughputWeight * imbalance + 0.1 * evictionWeight * load * load + 0.05 * inRack +
    (now - worker.health.lastFailureAt < AVOIDED_MS ? 0.3 * worker.health.failures.size : 0)
  if (record.task.service !== undefined) {
    const alike = worker.replicas.filter(({ task }) => task.service === record.task.service).length
    const added = getOutlook(state, worker, now).reduce((sum, { model, factor }) => sum + size.cores / worker.capacity.cores * factor * model.getCost(record.task.jobClass), 0)
    return { score: shared + alike * 10 + load + inRack + added * tailLatencyWeight, added }
  }
  const part = size.cores / worker.capacity.cores
  let added = 0
  let latency = 0
  for (const outlook of getOutlook(state, worker, now)) {
    const cost = outlook.model.getCost(record.task.jobClass)
    const deviation = outlook.model.getDeviation(record.task.jobClass)
    const expected = part * outlook.factor * (cost + candidate.caution * deviation)
    const isTrial = candidate.relaxed && deviation > UNKNOWN_DEVIATION
    const excess = isTrial ? outlook.ratio + part * outlook.factor * cost : outlook.preparedRatio + expected + candidate.guardBand
    if (!record.task.urgent && excess > 0) return outlook.rejection
    added += part * outlook.factor * cost
    latency += expected * (0.2 + outlook.pressure)
    // An exploration is worth most where least is known.
    if (candidate.explore) latency -= part * deviation
  }
  return { score: shared + 5 * tailLatencyWeight * latency, added }
}

const HIGHER_COST = 'higher cost'
const EQUAL_COST = 'equal cost, looked at later'

function computeShownScore (score: number): number {
  return Number(score.toPrecision(4))
}

/** Keeps a few alternatives; workers that had room take precedence over rejected ones. */
function addAlternative ({ alternatives }: Choice, worker: WorkerRecord, score: number, rejectedBecause: string): void {
  const hadRoom = rejectedBecause === HIGHER_COST
  if (alternatives.length < ALTERNATIVES_KEPT) {
    alternatives.push({ worker: worker.id, score: computeShownScore(score), rejectedBecause })
    return
  }
  if (!hadRoom) return
  const index = alternatives.findIndex((other) => other.rejectedBecause !== HIGHER_COST || other.score > score)
  if (index >= 0) alternatives[index] = { worker: worker.id, score: computeShownScore(score), rejectedBecause }
}
