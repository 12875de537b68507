import type { Resources } from '../../state/schemas.js'
import { isBatch, type TaskRecord, type WorkerRecord } from './records.js'
import { computeDominantShare, findExcess } from './resources.js'
import type { PlacementState } from './state.js'
import type { Reason } from './types.js'

const ALTERNATIVES_KEPT = 4

export interface Choice {
  worker: WorkerRecord | undefined
  score: number
  alternatives: Reason['alternatives']
  /** Number of workers by the reason for which they were rejected. */
  rejections: Map<string, number>
}

/** Chooses the best worker of a sample, or of all workers when no sampled one has room. */
export function chooseWorker (state: PlacementState, record: TaskRecord, size: Resources, now: number): Choice {
  const count = state.workerList.length
  const start = count === 0 ? 0 : state.random.below(count)
  const choice: Choice = { worker: undefined, score: Infinity, alternatives: [], rejections: new Map() }
  for (let index = 0; index < count; index++) {
    if (index >= state.sample && choice.worker !== undefined) break
    const worker = state.workerList[(start + index) % count] as WorkerRecord
    const rejection = findRejection(state, worker, record, size, now)
    if (rejection !== undefined) {
      choice.rejections.set(rejection, (choice.rejections.get(rejection) ?? 0) + 1)
      addAlternative(choice, worker, 0, rejection)
      continue
    }
    const score = scoreWorker(worker, record, size)
    if (score < choice.score) {
      if (choice.worker !== undefined) addAlternative(choice, choice.worker, choice.score, 'higher cost', true)
      choice.worker = worker
      choice.score = score
    } else {
      addAlternative(choice, worker, score, 'higher cost', true)
    }
  }
  return choice
}

function findRejection (state: PlacementState, worker: WorkerRecord, record: TaskRecord, size: Resources, now: number): string | undefined {
  if (!worker.up) return 'down'
  if (worker.draining) return 'draining'
  if (worker.guardActive || now < worker.guardDeadline) return 'its guard is active'
  const excess = findExcess(size, worker.capacity, worker.held)
  if (excess !== undefined) return `no room in ${excess}`
  const { batchShare } = state.policy.policy
  if (isBatch(record.task) && worker.batchCores + size.cores > worker.capacity.cores * batchShare * (1 + 1e-9)) {
    return `batch share ${batchShare} of its cores is used`
  }
  return undefined
}

function scoreWorker (worker: WorkerRecord, record: TaskRecord, size: Resources): number {
  const load = computeDominantShare(worker.held, worker.capacity) + computeDominantShare(size, worker.capacity)
  const alike = record.task.service === undefined ? 0 : worker.replicas.filter(({ task }) => task.service === record.task.service).length
  return load + alike
}

/** Keeps a few alternatives; workers that had room take precedence over rejected ones. */
function addAlternative (choice: Choice, worker: WorkerRecord, score: number, rejectedBecause: string, hadRoom = false): void {
  const { alternatives } = choice
  if (alternatives.length < ALTERNATIVES_KEPT) {
    alternatives.push({ worker: worker.id, score, rejectedBecause })
    return
  }
  if (!hadRoom) return
  const index = alternatives.findIndex((other) => other.rejectedBecause !== 'higher cost' || other.score > score)
  if (index >= 0) alternatives[index] = { worker: worker.id, score, rejectedBecause }
}
