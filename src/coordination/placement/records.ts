import type { Policy, Resources } from '../../state/schemas.js'
import type { LatencyForecast } from './latencyForecasts.js'
import { createResources } from './resources.js'
import type { EvictionCause, PlacementTask } from './types.js'

export interface TaskRecord {
  task: PlacementTask
  state: 'queued' | 'starting' | 'running' | 'stopping'
  worker: WorkerRecord | undefined
  /** Resources that the worker sets aside for the task at full share. */
  allocation: Resources
  /** The largest value of each resource that the allocation has had. */
  peakAllocation: Resources
  /** CPU share: part of its cores that the task may use, 1 unless it is throttled. A report measured before the last change is attributed by `previousShare`. */
  share: number
  previousShare: number
  shareChangedAt: number
  /**
   * Part of the allocated cores that counts against the worker. A throttle that protects a service does not lower it from 1,
   * so that the cores stay available for the release; a throttle that frees cores lowers it.
   */
  allocatedShare: number
  queuedAt: number
  startedAt: number
  /** Smoothed cores and highest memory reported for this attempt, and the number of reports. */
  observed: Resources
  reports: number
  lastReportAt: number
  /** Set from the order of a move until its stop. */
  move: PendingMove | undefined
  /** Evictions for this waiting task may be in progress until this time. */
  preemptionDeadline: number | undefined
}

/** An eviction whose victim is ordered to take a checkpoint; it is stopped when that is complete or at the deadline. */
export interface PendingMove {
  cause: EvictionCause
  causingMember: string
  causingTask: string
  summary: string
  deadline: number
  checkpointed: boolean
}

/** A task that has left a worker, kept because late latency reports may cover the time of its run. */
export interface EndedTask {
  jobClass: string
  /** Part of the worker's cores that it used. */
  coreShare: number
  service: string | undefined
  startedAt: number
  endedAt: number
}

/** Last latency report of a service on a worker, and the state derived from its reports. */
export interface LatencyState {
  service: string
  measuredAt: number
  receivedAt: number
  p99Ms: number
  /** Load of the replica relative to its typical load. */
  load: number
  /** Smoothed residual of ln p99 on this worker, which corrects the model for influences that it leaves out. */
  offset: number
  /** Since when the objective is missed although throttles can do no more. */
  objectiveMissedSince: number | undefined
  /** Measurement times of the last reports, by which duplicates are dropped. */
  recent: number[]
}

export type HealthState = 'healthy' | 'quarantined' | 'probing' | 'returning'

export interface WorkerRecord {
  id: string
  rack: string
  capacity: Resources
  up: boolean
  draining: boolean
  tasks: Set<TaskRecord>
  /** Sum of the allocations on the worker, with cores reduced by the allocated shares. */
  held: Resources
  /** Cores of `held` that count against the batch share. */
  batchCores: number
  replicas: TaskRecord[]
  endedTasks: EndedTask[]
  latencyStates: Map<string, LatencyState>
  /** Cached latency forecasts of its services; cleared when its tasks, reports or the policy change. */
  forecasts: LatencyForecast[] | undefined
  forecastsAt: number
  /** The worker's own overload protection is throttling or refusing tasks. */
  guardActive: boolean
  /** No task is placed on the worker before this time. */
  pausedUntil: number
  /** Memory that is not used for placements until `unavailableUntil`, because a refusal has shown that it is missing. */
  unavailableMemoryBytes: number
  unavailableUntil: number
  health: WorkerHealth
  /** The waiting task for which the worker is kept free of other tasks that are not urgent, and since when. */
  reservedFor: string | undefined
  reservedAt: number
  /** When its services were last checked. */
  protectionCheckedAt: number
}

export interface WorkerHealth {
  state: HealthState
  /** Failures since the last success, by class. */
  failures: Map<string, number>
  lastFailureAt: number
  /** End of the quarantine. */
  deadline: number
  /** Quarantines so far, less one for each full recovery; the exponent of the next quarantine's length. */
  quarantines: number
  /** Successes since the end of the quarantine. */
  successes: number
  /** Times at which the worker was lost, within the window for flapping. */
  losses: number[]
  /** When the present state began. */
  since: number
}

export interface MemberRecord {
  id: string
  quota: Resources | undefined
  weight: number
  /** Sum of the allocations of its tasks. */
  usage: Resources
  /** Sum of the peak allocations of its tasks; never below the sizes with which they were started. */
  granted: Resources
}

export interface ServiceRecord {
  id: string
  member: string
  latencyMs: number
}

export interface PolicyInForce {
  preset: string
  revision: number
  policy: Policy
  /**
   * True while this host has no lease for a configuration, because it cannot reach the leader or a change is pending.
   * The isolation rules then permit no explorations, and evictions only for capacity.
   */
  isolated: boolean
  since: number
}

export function createTaskRecord (task: PlacementTask, now: number): TaskRecord {
  return {
    task,
    state: 'queued',
    worker: undefined,
    allocation: createResources(),
    peakAllocation: createResources(),
    share: 1,
    previousShare: 1,
    shareChangedAt: now,
    allocatedShare: 1,
    queuedAt: now,
    startedAt: now,
    observed: createResources(),
    reports: 0,
    lastReportAt: -Infinity,
    move: undefined,
    preemptionDeadline: undefined
  }
}

export function createWorkerRecord (id: string, rack: string, capacity: Resources): WorkerRecord {
  return {
    id,
    rack,
    capacity,
    up: true,
    draining: false,
    tasks: new Set(),
    held: createResources(),
    batchCores: 0,
    replicas: [],
    endedTasks: [],
    latencyStates: new Map(),
    forecasts: undefined,
    forecastsAt: 0,
    guardActive: false,
    pausedUntil: -Infinity,
    unavailableMemoryBytes: 0,
    unavailableUntil: -Infinity,
    health: { state: 'healthy', failures: new Map(), lastFailureAt: -Infinity, deadline: 0, quarantines: 0, successes: 0, losses: [], since: 0 },
    reservedFor: undefined,
    reservedAt: 0,
    protectionCheckedAt: -Infinity
  }
}

export function createMemberRecord (id: string): MemberRecord {
  return { id, quota: undefined, weight: 1, usage: createResources(), granted: createResources() }
}

/** Batch tasks are limited to the batch share of a worker's cores; replicas and urgent tasks may use all of them. */
export function isBatch (task: PlacementTask): boolean {
  return task.service === undefined && !task.urgent
}

/** Cores of a task that count against its worker. */
export function computeAllocatedCores (record: TaskRecord): number {
  return record.allocation.cores * record.allocatedShare
}

/** Sums the allocations on a worker from scratch, because incremental sums would accumulate rounding errors. */
export function updateTotals (worker: WorkerRecord): void {
  const held = worker.held
  worker.forecasts = undefined
  held.cores = 0
  held.memoryBytes = 0
  held.accelerators = 0
  worker.batchCores = 0
  for (const record of worker.tasks) {
    const cores = computeAllocatedCores(record)
    held.cores += cores
    held.memoryBytes += record.allocation.memoryBytes
    held.accelerators += record.allocation.accelerators
    if (isBatch(record.task)) worker.batchCores += cores
  }
}

/** The capacity without the memory that a refusal has shown to be unavailable. */
export function getUsableCapacity ({ capacity, unavailableMemoryBytes, unavailableUntil }: WorkerRecord, now: number): Resources {
  return now < unavailableUntil ? { ...capacity, memoryBytes: capacity.memoryBytes - unavailableMemoryBytes } : capacity
}
