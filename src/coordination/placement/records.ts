import type { Policy, Resources } from '../../state/schemas.js'
import { addResources, createResources } from './resources.js'
import type { PlacementTask } from './types.js'

export interface TaskRecord {
  task: PlacementTask
  state: 'queued' | 'starting' | 'running' | 'stopping'
  worker: WorkerRecord | undefined
  /** What the worker holds for the task at full share. */
  promise: Resources
  /** Part of its cores that the task may use, and the part before the last change, for late reports. */
  share: number
  previousShare: number
  shareChangedAt: number
  queuedAt: number
  startedAt: number
  /** Highest usage reported for this attempt, and the number of reports. */
  observed: Resources
  reports: number
  lastReportAt: number
  unproven: boolean
  /** Set when a move was ordered; the stop follows at the checkpoint or at the deadline. */
  stopDeadline: number | undefined
  pendingStop: PendingStop | undefined
}

export interface PendingStop {
  cause: 'interference' | 'drain' | 'priority' | 'quota' | 'capacity'
  causingMember: string
  causingTask: string
  summary: string
}

/** A task that has left a worker, kept as long as reports about its time may still arrive. */
export interface PastTask {
  jobClass: string
  member: string
  cores: number
  startedAt: number
  endedAt: number
  isService: boolean
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
  guardActive: boolean
  guardDeadline: number
  /** Capacity that a refusal has shown to be missing, until `withheldDeadline`. */
  withheld: Resources
  withheldDeadline: number
  health: WorkerHealth
  /** A task that waits for this worker to have room. */
  reservedFor: string | undefined
}

export interface WorkerHealth {
  state: HealthState
  /** Failures since the last success, by class. */
  failures: Map<string, number>
  deadline: number
  quarantines: number
  /** Successes since the worker began to return. */
  successes: number
  /** Times of recent losses of the worker. */
  losses: number[]
}

export interface MemberRecord {
  id: string
  quota: Resources | undefined
  weight: number
  /** Sum of promises of its tasks. */
  usage: Resources
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
    share: 1,
    previousShare: 1,
    shareChangedAt: now,
    queuedAt: now,
    startedAt: now,
    observed: createResources(),
    reports: 0,
    lastReportAt: -Infinity,
    unproven: false,
    stopDeadline: undefined,
    pendingStop: undefined
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
    guardActive: false,
    guardDeadline: -Infinity,
    withheld: createResources(),
    withheldDeadline: -Infinity,
    health: { state: 'healthy', failures: new Map(), deadline: 0, quarantines: 0, successes: 0, losses: [] },
    reservedFor: undefined
  }
}

export function createMemberRecord (id: string): MemberRecord {
  return { id, quota: undefined, weight: 1, usage: createResources() }
}

/** Replicas and urgent tasks may use the headroom that the batch share leaves. */
export function isBatch (task: PlacementTask): boolean {
  return task.service === undefined && !task.urgent
}

export function computeHeldCores (record: TaskRecord): number {
  return record.promise.cores * record.share
}

/** Sums a worker's promises anew; incremental sums would accumulate rounding errors. */
export function updateTotals (worker: WorkerRecord): void {
  const held = worker.held
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

/** Changes a promise and every sum that contains it. */
export function setPromise (record: TaskRecord, promise: Resources, member: MemberRecord): void {
  addResources(member.usage, record.promise, -1)
  record.promise = promise
  addResources(member.usage, promise)
  if (record.worker !== undefined) updateTotals(record.worker)
}
