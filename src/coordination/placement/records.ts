import type { Policy, Resources } from '../../state/schemas.js'
import type { ServiceOutlook } from './outlook.js'
import { createResources } from './resources.js'
import type { EvictionCause, PlacementTask } from './types.js'

export interface TaskRecord {
  task: PlacementTask
  state: 'queued' | 'starting' | 'running' | 'stopping'
  worker: WorkerRecord | undefined
  /** What the worker holds for the task at full share. */
  promise: Resources
  highestPromise: Resources
  /** Part of its cores that the task may use, and the part before the last change, for late reports. */
  share: number
  previousShare: number
  shareChangedAt: number
  /**
   * Part of the promised cores that is counted. A throttle that protects a service keeps its cores,
   * so that it can be lifted; one that makes room does not.
   */
  heldShare: number
  queuedAt: number
  startedAt: number
  /** Smoothed cores and highest memory reported for this attempt, and the number of reports. */
  observed: Resources
  reports: number
  lastReportAt: number
  /** A move that was ordered; the stop follows at the checkpoint or at the deadline. */
  move: PendingMove | undefined
  /** Until when stops ordered for this task may be under way. */
  displacementDeadline: number | undefined
}

export interface PendingMove {
  cause: EvictionCause
  causingMember: string
  causingTask: string
  summary: string
  deadline: number
  checkpointed: boolean
}

/** A task that has left a worker, kept as long as reports about its time may still arrive. */
export interface PastTask {
  jobClass: string
  /** Part of the worker's cores. */
  part: number
  service: string | undefined
  startedAt: number
  endedAt: number
}

export interface LatencyLevel {
  service: string
  measuredAt: number
  receivedAt: number
  p99Ms: number
  /** Load of the replica relative to its typical load. */
  load: number
  /** Smoothed difference between ln p99 and the model, which covers what the model leaves out. */
  offset: number
  /** Since when the objective is missed although every neighbour is throttled. */
  missedSince: number | undefined
  /** Times of measurement of the last reports, to drop duplicates. */
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
  /** Sum of promises, of which cores of tasks that count against the batch share. */
  held: Resources
  batchCores: number
  replicas: TaskRecord[]
  past: PastTask[]
  levels: Map<string, LatencyLevel>
  /** What its services can bear; dropped when anything on the worker changes. */
  outlook: ServiceOutlook[] | undefined
  outlookAt: number
  guardActive: boolean
  guardDeadline: number
  /** Capacity that a refusal has shown to be missing, until `withheldDeadline`. */
  withheld: Resources
  withheldDeadline: number
  health: WorkerHealth
  /** A task that waits for this worker to have room, and since when. */
  reservedFor: string | undefined
  reservedAt: number
  /** When its services were last checked. */
  checkedAt: number
}

export interface WorkerHealth {
  state: HealthState
  /** Failures since the last success, by class. */
  failures: Map<string, number>
  lastFailureAt: number
  deadline: number
  quarantines: number
  /** Successes since the worker began to return. */
  successes: number
  /** Times of recent losses of the worker. */
  losses: number[]
  /** When the present state began. */
  since: number
}

export interface MemberRecord {
  id: string
  quota: Resources | undefined
  weight: number
  /** Sum of promises of its tasks. */
  usage: Resources
  /** The same with the highest promise of each task, which is what was visible when it started. */
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
  isolated: boolean
  since: number
}

export function createTaskRecord (task: PlacementTask, now: number): TaskRecord {
  return {
    task,
    state: 'queued',
    worker: undefined,
    promise: createResources(),
    highestPromise: createResources(),
    share: 1,
    previousShare: 1,
    shareChangedAt: now,
    heldShare: 1,
    queuedAt: now,
    startedAt: now,
    observed: createResources(),
    reports: 0,
    lastReportAt: -Infinity,
    move: undefined,
    displacementDeadline: undefined
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
    past: [],
    levels: new Map(),
    outlook: undefined,
    outlookAt: 0,
    guardActive: false,
    guardDeadline: -Infinity,
    withheld: createResources(),
    withheldDeadline: -Infinity,
    health: { state: 'healthy', failures: new Map(), lastFailureAt: -Infinity, deadline: 0, quarantines: 0, successes: 0, losses: [], since: 0 },
    reservedFor: undefined,
    reservedAt: 0,
    checkedAt: -Infinity
  }
}

export function createMemberRecord (id: string): MemberRecord {
  return { id, quota: undefined, weight: 1, usage: createResources(), granted: createResources() }
}

/** Replicas and urgent tasks may use the headroom that the batch share leaves. */
export function isBatch (task: PlacementTask): boolean {
  return task.service === undefined && !task.urgent
}

export function computeHeldCores (record: TaskRecord): number {
  return record.promise.cores * record.heldShare
}

/** Sums a worker's promises anew; incremental sums would accumulate rounding errors. */
export function updateTotals (worker: WorkerRecord): void {
  const held = worker.held
  worker.outlook = undefined
  held.cores = 0
  held.memoryBytes = 0
  held.accelerators = 0
  worker.batchCores = 0
  for (const record of worker.tasks) {
    const cores = computeHeldCores(record)
    held.cores += cores
    held.memoryBytes += record.promise.memoryBytes
    held.accelerators += record.promise.accelerators
    if (isBatch(record.task)) worker.batchCores += cores
  }
}
