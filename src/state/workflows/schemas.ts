import { z } from 'zod'

/** Longest name of an availability zone in a log entry, in characters; the reports of workers allow as many. */
const MAX_ZONE_LENGTH = 256

/** A stage of a workflow: `count` identical tasks, which may start once every step in `dependsOn` has succeeded. */
export const stepSchema = z.strictObject({
  count: z.number().int().min(1).max(100_000),
  cores: z.number().nonnegative(),
  memoryMb: z.number().nonnegative(),
  accelerators: z.number().nonnegative(),
  /** A rough estimate that the submitter of the workflow gives. */
  expectedRunMs: z.number().nonnegative(),
  /** Indexes of earlier steps of the same workflow. */
  dependsOn: z.array(z.number().int().nonnegative()),
  /** Gang scheduling: all tasks of the step start and end together. */
  gang: z.boolean(),
  /** The tasks run slower when they are spread over more than one rack. */
  rackSensitive: z.boolean(),
  /** Only a worker with this label can run the tasks. */
  requiredLabel: z.string().optional(),
  /** The rack that stores the input data; the tasks run slower on workers of other racks. */
  dataRack: z.string().optional(),
  /** The most tasks of one occurrence that may run on one worker at the same time. */
  maxPerWorker: z.number().int().positive().optional(),
  /** Speculative execution: copies of a task may run in parallel. */
  speculative: z.boolean(),
  /** The tasks write checkpoints, from which a later attempt resumes. */
  checkpoints: z.boolean(),
  /** Long-running tasks: they run until the workflow is cancelled, and are restarted however they end. */
  lasting: z.boolean(),
  /** The program that the tasks run. Tasks with the same image are expected to have similar resource use and interference. */
  image: z.string().optional(),
  /** Upper bound for the tail latency of each task; set only for latency-critical tasks. */
  tailTargetMs: z.number().positive().optional(),
  /**
   * Best-effort tasks: they use only cores that other tasks leave idle, and their cores are not subtracted from the worker's
   * free cores.
   */
  fills: z.boolean(),
  /**
   * The most tasks of a long-running step that the scheduler may make unavailable at the same time, for example for
   * maintenance; absent: no limit.
   */
  maxUnavailable: z.number().int().nonnegative().optional()
})
export type Step = z.infer<typeof stepSchema>

/** A recurring workflow runs `count` times: occurrence K starts at `firstAt + K * intervalMs`, in wall-clock ms. */
export const recurrenceSchema = z.strictObject({
  firstAt: z.number(),
  intervalMs: z.number().nonnegative(),
  count: z.number().int().positive()
})
export type Recurrence = z.infer<typeof recurrenceSchema>

export const workflowSchema = z.strictObject({
  id: z.string().min(1).max(128),
  /** Passed to the workers unchanged. */
  command: z.string(),
  steps: z.array(stepSchema).min(1).max(1000),
  recurrence: recurrenceSchema.optional()
})
export type Workflow = z.infer<typeof workflowSchema>

/**
 * An external advice service decides which workers may run a step of the queue, and issues a ticket for each of them.
 * It answers after `decisionMs` plus `perWorkerMs` for each worker in the request; a ticket expires after `validityMs`.
 */
export const advicePolicySchema = z.strictObject({
  decisionMs: z.number().nonnegative(),
  perWorkerMs: z.number().nonnegative(),
  validityMs: z.number().positive()
})
export type AdvicePolicy = z.infer<typeof advicePolicySchema>

export const queueSchema = z.strictObject({
  name: z.string(),
  /** A request goes to the queue with its host name and, among several, the longest path prefix that matches. */
  hostName: z.string(),
  pathPrefix: z.string(),
  service: z.string(),
  requestTimeoutMs: z.number().positive(),
  /** Tasks of queues with a lower number are placed first; tasks of priority 0 may displace tasks of other queues. */
  priority: z.number(),
  /** After this many failed attempts of one task the whole workflow fails, unless the task's step is long-running (`lasting`). */
  maxAttempts: z.number().int().positive(),
  /** Target completion time of a workflow: this multiple of the run time of its critical path, plus `objectiveMs`. */
  slackFactor: z.number().nonnegative(),
  objectiveMs: z.number().nonnegative(),
  advice: advicePolicySchema.optional()
})
export type Queue = z.infer<typeof queueSchema>

export const workerPoolSchema = z.strictObject({
  service: z.string(),
  /** The workers reject the start of a task that exceeds their free capacity. */
  rejectsOverload: z.boolean(),
  maxConnections: z.number().positive(),
  /** The hosts of the pool are powered off and cost nothing. */
  standby: z.boolean()
})
export type WorkerPool = z.infer<typeof workerPoolSchema>

/** Limits that an operator publishes to the callers of entry hosts. Where one is absent, entry hosts use their own. */
export const requestLimitsSchema = z.strictObject({
  maxHeaderBytes: z.number().int().positive().optional(),
  maxBodyBytes: z.number().int().positive().optional(),
  /** Time in which the header of a request must arrive. */
  headerTimeoutMs: z.number().int().positive().optional(),
  /** An idle connection stays open for at least this long. */
  idleTimeoutMs: z.number().int().positive().optional()
})
export type RequestLimits = z.infer<typeof requestLimitsSchema>

/** The queues and worker pools in force. An operator replaces the whole catalog at once. */
export const catalogSchema = z.strictObject({
  version: z.number().int().nonnegative(),
  queues: z.array(queueSchema),
  pools: z.array(workerPoolSchema),
  /** Absent in entries of earlier builds. */
  limits: requestLimitsSchema.optional(),
  /** The document as the operator sent it; a client that reads the catalog gets it back unchanged. */
  document: z.string()
})
export type Catalog = z.infer<typeof catalogSchema>

/**
 * The worker's own description of one incarnation: one run of the worker's process, identified by `id` and `bornAt`.
 * A restarted worker keeps its id and has a later `bornAt`.
 */
export const workerIncarnationSchema = z.strictObject({
  id: z.string().min(1),
  /** Wall-clock ms at which the process started. */
  bornAt: z.number(),
  /** The host that the worker runs on. */
  host: z.string().optional(),
  service: z.string(),
  address: z.string(),
  availabilityZone: z.string(),
  cores: z.number().nonnegative(),
  memoryMb: z.number().nonnegative(),
  accelerators: z.number().nonnegative(),
  labels: z.array(z.string()),
  rack: z.string().optional(),
  draining: z.boolean(),
  /** Earliest wall-clock ms at which a draining worker shuts down. */
  leavesAt: z.number().optional(),
  /** Wall-clock ms until which the worker is slow after its start; absent in reports of earlier builds and of workers that are not slow. */
  coldUntil: z.number().optional()
})
export type WorkerIncarnation = z.infer<typeof workerIncarnationSchema>

export const endCauseSchema = z.enum(['succeeded', 'failed', 'stopped', 'lease-expired', 'gang-broken', 'gang-incomplete', 'not-started'])
export type EndCause = z.infer<typeof endCauseSchema>

/**
 * The end of a run: sequence number, task, attempt, cause, checkpoint. The worker numbers the ends that it reports, from 1;
 * 0 means that the session host concluded the end without a report of the worker.
 */
export const runEndSchema = z.tuple([z.number().int().nonnegative(), z.string(), z.number().int(), endCauseSchema, z.string()])
export type RunEnd = z.infer<typeof runEndSchema>

/**
 * Task, worker and attempt of a run that is to be started, the ticket of the advice service if the queue has an advice policy, and
 * the start time of the worker's incarnation, which is absent in entries of earlier builds.
 */
export const assignmentSchema = z.tuple([z.string(), z.string(), z.number().int().positive(), z.string().optional(), z.number().optional()])
export type Assignment = z.infer<typeof assignmentSchema>

/** Ends of runs on one incarnation of a worker. */
export const workerRunEndsSchema = z.strictObject({ worker: z.string(), bornAt: z.number(), ends: z.array(runEndSchema) })
export type WorkerRunEnds = z.infer<typeof workerRunEndsSchema>

/** A host that can keep sessions with workers, and so send them orders: start, stop, renew a lease. */
export const sessionHostSchema = z.strictObject({ host: z.string(), availabilityZone: z.string() })
export type SessionHost = z.infer<typeof sessionHostSchema>

/**
 * The session host that proposes an entry about a worker, and the number of the session assignment that it acts on. If that
 * assignment is no longer in force, the proposal does not count.
 */
export const sessionOwnerSchema = z.strictObject({ host: z.string(), division: z.number().int().nonnegative() })
export type SessionOwner = z.infer<typeof sessionOwnerSchema>

/** A maintenance wave: planned maintenance of several hosts, at most `maxDown` of them at the same time. */
export const maintenanceWaveSchema = z.strictObject({
  id: z.number().int(),
  hosts: z.array(z.string()),
  /** Wall-clock ms by which the maintenance of every host should be finished. */
  dueAt: z.number(),
  /** The most hosts of the wave that may be down at the same time. */
  maxDown: z.number().int().positive()
})
export type MaintenanceWave = z.infer<typeof maintenanceWaveSchema>

/**
 * Log entries that change workflows, workers or the catalog. `at` is the proposer's wall clock in ms; it only decides when
 * the records of ended workflows are deleted.
 */
export const workflowEntrySchemas = [
  z.strictObject({ kind: z.literal('catalog.put'), catalog: catalogSchema }),
  z.strictObject({ kind: z.literal('workflow.submit'), queue: z.string(), workflow: workflowSchema, at: z.number() }),
  z.strictObject({ kind: z.literal('workflow.cancel'), id: z.string(), at: z.number() }),
  /**
   * `copies`: second runs of tasks that are running. `copyHosts`: hosts that apply them, as far as the leader knows. Both are
   * absent in entries of earlier builds, which apply neither.
   */
  z.strictObject({ kind: z.literal('workflow.assign'), assignments: z.array(assignmentSchema), copies: z.array(assignmentSchema).optional(), copyHosts: z.array(z.string()).optional() }),
  z.strictObject({ kind: z.literal('workflow.end'), lives: z.array(workerRunEndsSchema), judge: sessionOwnerSchema, at: z.number() }),
  /** Assigns the sessions of all workers to these hosts. Each worker has one session host, which alone sends it orders. */
  z.strictObject({ kind: z.literal('sessions.divide'), hosts: z.array(sessionHostSchema) }),
  z.strictObject({ kind: z.literal('life.report'), life: workerIncarnationSchema }),
  /**
   * The leases of the worker's runs have expired, so no run that was started there is still running. Only the worker's session
   * host can know, because it renews the leases.
   */
  z.strictObject({ kind: z.literal('life.expire'), worker: z.string(), bornAt: z.number(), judge: sessionOwnerSchema, at: z.number() }),
  /**
   * The worker has announced its shutdown. It is removed once no task is with it any more. `isCertain`: the message names this
   * incarnation, so it does not return; otherwise it may be a late message of an earlier one.
   */
  z.strictObject({ kind: z.literal('life.leave'), worker: z.string(), bornAt: z.number(), isCertain: z.boolean(), at: z.number() }),
  /** Removes a worker. Without `judge`, of an earlier build: the worker itself has announced its shutdown. `hasLeft`: this incarnation has said that it ends, so it does not return. */
  z.strictObject({ kind: z.literal('life.remove'), worker: z.string(), bornAt: z.number(), judge: sessionOwnerSchema.optional(), hasLeft: z.boolean().optional(), at: z.number() }),
  /** From this entry on, no task is assigned to a worker of the zone until it is readmitted. */
  z.strictObject({ kind: z.literal('zone.evacuate'), zone: z.string().min(1).max(MAX_ZONE_LENGTH), at: z.number() }),
  z.strictObject({ kind: z.literal('zone.readmit'), zone: z.string().min(1).max(MAX_ZONE_LENGTH), at: z.number() }),
  z.strictObject({ kind: z.literal('wave.open'), wave: maintenanceWaveSchema }),
  /** Recorded before the order to start the maintenance of a host is sent. */
  z.strictObject({ kind: z.literal('wave.order'), wave: z.number().int(), host: z.string() }),
  /**
   * The order is known to have been received. A worker incarnation on the host with a later `bornAt` shows that the host is
   * back up.
   */
  z.strictObject({ kind: z.literal('wave.confirm'), wave: z.number().int(), host: z.string(), bornAt: z.number() }),
  /** The order was refused, so the host was not taken down. */
  z.strictObject({ kind: z.literal('wave.withdraw'), wave: z.number().int(), host: z.string() }),
  z.strictObject({ kind: z.literal('wave.done'), wave: z.number().int(), host: z.string() })
] as const
