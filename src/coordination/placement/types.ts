import type { Policy, Resources } from '../../state/schemas.js'

/** The properties of a task that placement depends on. It is a batch task of a job or a replica of a latency-critical service. */
export interface PlacementTask {
  id: string
  job: string
  member: string
  jobClass: string
  /** Set for a replica of a latency-critical service. */
  service?: string
  size: Resources
  expectedRunMs: number
  urgent: boolean
  idempotent: boolean
  /** True when it resumes from a checkpoint after an eviction. */
  resumed: boolean
}

export type Observation =
  | { kind: 'policy', preset: string, revision: number, policy: Policy, isolated: boolean }
  | { kind: 'member', member: string, quota: Resources, weight: number }
  | { kind: 'service', service: string, member: string, latencyMs: number, quantile: number }
  | { kind: 'worker-up', worker: string, rack: string, availabilityZone: string, capacity: Resources }
  | { kind: 'worker-down', worker: string }
  | { kind: 'worker-drain', worker: string }
  | { kind: 'task-queued', task: PlacementTask }
  | { kind: 'task-cancelled', task: string }
  /** The start of the task was recorded, or the task was found running after a takeover. */
  | { kind: 'task-started', task: PlacementTask, worker: string }
  | { kind: 'task-stopping', task: string }
  /** An ordered checkpoint is complete; a stop loses no work from before it. */
  | { kind: 'task-checkpointed', task: string, worker: string }
  | { kind: 'task-ended', task: string, worker: string, result: 'succeeded' | 'failed' | 'stopped' | 'refused' | 'lost' }
  | { kind: 'usage', task: string, worker: string, cores: number, memoryBytes: number, measuredAt: number }
  | { kind: 'latency', service: string, worker: string, p99Ms: number, count: number, measuredAt: number }
  | { kind: 'guard', worker: string, active: boolean }

export type EvictionCause = 'interference' | 'capacity' | 'drain' | 'priority' | 'quota'

/** The figures and alternatives on which a decision is based, for display. */
export interface Reason {
  summary: string
  /** `ageMs` is the age of the measurement behind the figure. */
  figures: Array<{ name: string, value: number, unit: string, ageMs: number }>
  alternatives: Array<{ worker: string, score: number, rejectedBecause: string }>
  preset: string
  revision: number
}

export type Decision =
  | { kind: 'start', task: string, worker: string, size: Resources, reason: Reason }
  | { kind: 'throttle', task: string, worker: string, share: number, reason: Reason }
  | { kind: 'checkpoint', task: string, worker: string, reason: Reason }
  | { kind: 'stop', task: string, worker: string, cause: EvictionCause, causingMember: string, causingTask: string, reason: Reason }
  /** The task can never run; `dimension` names the resource that no worker has. */
  | { kind: 'refuse', task: string, dimension: keyof Resources, reason: Reason }
  | { kind: 'quarantine', worker: string, reason: Reason }
  | { kind: 'probe', worker: string, reason: Reason }

export interface Subject { kind: 'task' | 'job' | 'worker' | 'preset', id: string }

export interface Explanation {
  /** Time of the decision, monotonic ms, and the number of equal decisions in a row or merged older ones that it stands for. */
  at: number
  repeated: number
  decision: Decision['kind'] | 'wait'
  task?: string
  worker?: string
  reason: Reason
}

/** Decides synchronously from the observations so far. `now` is monotonic ms. */
export interface Placement {
  observe (observation: Observation, now: number): void
  decide (now: number): Decision[]
  explain (subject: Subject): Explanation[]
}
