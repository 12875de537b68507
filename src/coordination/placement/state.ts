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
  /** Workers examined for one task before the search is widened to all. */
  sample?: number
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
  /** Workers with failures or losses to be judged. */
  suspects: Set<WorkerRecord>
  /** Tasks whose move was ordered. */
  moves: Set<TaskRecord>
  /** Tasks of each job by rack. */
  spread: Map<string, Map<string, number>>
  /** Times of evictions that count against the allowance, within the last minute. */
  evictionTimes: number[]
  /** When a wait of a member below its quota last displaced tasks. */
  quotaDisplacedAt: number
  /** Explorations that the policy allows now. */
  explorationTokens: number
  random: Random
  sample: number
  policy: PolicyInForce
  /** Distinct capacities of the registered workers, including those that are down. */
  capacities: Map<string, Resources>
  totalCapacity: Resources
}

/** In force until a policy is observed: nothing is explored and nothing is evicted. */
const POLICY_BEFORE_FIRST: Policy = {
  tailLatencyWeight: 1,
  throughputWeight: 1,
  evictionWeight: 4,
  safetyMargin: 1,
  batchShare: 0.5,
  explorationRate: 0,
  evictionsPerMinute: 0,
  queuePerSlot: 1
}

/** Gives a good choice at a cost that does not depend on the number of workers. */
const DEFAULT_SAMPLE = 32

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
    suspects: new Set(),
    moves: new Set(),
    spread: new Map(),
    evictionTimes: [],
    quotaDisplacedAt: -Infinity,
    explorationTokens: 0,
    explanations: createExplanationLog(),
    random: createRandom(options.seed),
    sample: options.sample ?? DEFAULT_SAMPLE,
    policy: { preset: 'none', revision: 0, policy: POLICY_BEFORE_FIRST, isolated: true, since: 0 },
    capacities: new Map(),
    totalCapacity: createResources()
  }
}

export function getMember (state: PlacementState, id: string): MemberRecord {
  const known = state.members.get(id)
  if (known !== undefined) return known
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
