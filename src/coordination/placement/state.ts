import { createRandom, type Random } from '../../common/index.js'
import type { Policy, Resources } from '../../state/schemas.js'
import { createExplanationLog, type ExplanationLog } from './explanations.js'
import type { ClassHealth } from './health.js'
import { createInterferenceEstimates, type InterferenceEstimates } from './interference.js'
import { createWaitingQueue, type WaitingQueue } from './queue.js'
import {
  createMemberRecord, type MemberRecord, type PolicyInForce, type ServiceRecord, type TaskRecord, type WorkerRecord
} from './records.js'
import { addResources, createResources } from './resources.js'
import { createSizeEstimates, type SizeEstimates } from './sizes.js'

export interface PlacementOptions {
  /** Seeds sampling and exploration, so that the same observations give the same decisions. */
  seed: number
  /** Workers examined for a task before the search goes on through all others. */
  sampleSize?: number
}

export interface PlacementState {
  tasks: Map<string, TaskRecord>
  workers: Map<string, WorkerRecord>
  workerList: WorkerRecord[]
  members: Map<string, MemberRecord>
  services: Map<string, ServiceRecord>
  queue: WaitingQueue
  sizes: SizeEstimates
  explanations: ExplanationLog
  interference: InterferenceEstimates
  classHealth: Map<string, ClassHealth>
  /** Workers with recent failures or losses, which `planHealth` checks for quarantine. */
  workersToCheck: Set<WorkerRecord>
  /** Tasks that are ordered to take a checkpoint before they are stopped. */
  moves: Set<TaskRecord>
  /** Number of tasks of each job by rack. */
  rackCounts: Map<string, Map<string, number>>
  /** Times of the evictions of the last minute that count against the eviction limit. */
  evictionTimes: number[]
  /** When tasks were last preempted for a member below its quota. */
  quotaPreemptedAt: number
  /** Explorations allowed at present; each start adds the policy's `explorationRate`. */
  explorationTokens: number
  random: Random
  sampleSize: number
  policy: PolicyInForce
  /** Distinct capacities of the registered workers, including those that are down. */
  capacities: Map<string, Resources>
  totalCapacity: Resources
}

/** In force until a policy is observed. It allows no explorations, and evictions only for capacity. */
const INITIAL_POLICY: Policy = {
  tailLatencyWeight: 1,
  throughputWeight: 1,
  evictionWeight: 4,
  safetyMargin: 1,
  batchShare: 0.5,
  explorationRate: 0,
  evictionsPerMinute: 0,
  queuePerSlot: 1
}

/** Workers scored for a task by default. The cost of a choice does not grow with the number of workers, and the best of the sample is close to the best of all. */
const DEFAULT_SAMPLE_SIZE = 32

export function createPlacementState (options: PlacementOptions): PlacementState {
  return {
    tasks: new Map(),
    workers: new Map(),
    workerList: [],
    members: new Map(),
    services: new Map(),
    queue: createWaitingQueue(),
    sizes: createSizeEstimates(),
    interference: createInterferenceEstimates(),
    classHealth: new Map(),
    workersToCheck: new Set(),
    moves: new Set(),
    rackCounts: new Map(),
    evictionTimes: [],
    quotaPreemptedAt: -Infinity,
    explorationTokens: 0,
    explanations: createExplanationLog(),
    random: createRandom(options.seed),
    sampleSize: options.sampleSize ?? DEFAULT_SAMPLE_SIZE,
    policy: { preset: 'none', revision: 0, policy: INITIAL_POLICY, isolated: true, since: 0 },
    capacities: new Map(),
    totalCapacity: createResources()
  }
}

export function getMember (state: PlacementState, id: string): MemberRecord {
  const existing = state.members.get(id)
  if (existing !== undefined) return existing
  const created = createMemberRecord(id)
  state.members.set(id, created)
  return created
}

export function updateCapacities (state: PlacementState): void {
  state.workerList = [...state.workers.values()]
  state.capacities = new Map(state.workerList.map(({ capacity }) => [Object.values(capacity).join('/'), capacity]))
  state.totalCapacity = createResources()
  state.workerList.forEach(({ capacity }) => addResources(state.totalCapacity, capacity))
}
