import { z } from 'zod'

/** One kind of work of a workflow: `count` equal tasks that start when all steps in `dependsOn` have ended. */
export const stepSchema = z.strictObject({
  count: z.number().int().min(1).max(100_000),
  cores: z.number().nonnegative(),
  memoryMb: z.number().nonnegative(),
  accelerators: z.number().nonnegative(),
  /** A rough estimate of the requester. */
  expectedRunMs: z.number().nonnegative(),
  /** Numbers of earlier steps. */
  dependsOn: z.array(z.number().int().nonnegative()),
  /** All tasks start and end together. */
  gang: z.boolean(),
  /** The tasks run slower on more than one rack. */
  rackSensitive: z.boolean(),
  /** A label that the worker must carry. */
  requiredLabel: z.string().optional(),
  /** The rack that holds the data; the tasks run slower elsewhere. */
  dataRack: z.string().optional(),
  /** At most this many tasks of one occurrence run on one worker. */
  maxPerWorker: z.number().int().positive().optional(),
  /** Copies of a task may run in parallel. */
  speculative: z.boolean(),
  checkpoints: z.boolean(),
  /** The tasks run until the workflow is cancelled and are restarted however they end. */
  lasting: z.boolean(),
  /** Tasks of one image behave alike. */
  image: z.string().optional(),
  /** The tail latency of a task that serves has to stay below this. */
  tailTargetMs: z.number().positive().optional(),
  /** The tasks use only the capacity that others leave, and their cores do not count against it. */
  fills: z.boolean(),
  /** Tasks of a lasting step that this system may make unavailable at the same time; absent: not limited. */
  maxUnavailable: z.number().int().nonnegative().optional()
})
export type Step = z.infer<typeof stepSchema>

/** Occurrence K is due at `firstAt + K * intervalMs`, in wall-clock ms. */
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

/** Who decides which workers may run a step of the queue, and how long it takes. */
export const advicePolicySchema = z.strictObject({
  decisionMs: z.number().nonnegative(),
  perWorkerMs: z.number().nonnegative(),
  validityMs: z.number().positive()
})
export type AdvicePolicy = z.infer<typeof advicePolicySchema>

export const queueSchema = z.strictObject({
  name: z.string(),
  /** Requests select a queue by host name and the longest path prefix. */
  hostName: z.string(),
  pathPrefix: z.string(),
  service: z.string(),
  requestTimeoutMs: z.number().positive(),
  /** 0 comes first and may displace others. */
  priority: z.number(),
  /** A task fails for good after this many failed attempts. */
  maxAttempts: z.number().int().positive(),
  /** The objective of a workflow is this multiple of its longest chain of work, plus `objectiveMs`. */
  slackFactor: z.number().nonnegative(),
  objectiveMs: z.number().nonnegative(),
  advice: advicePolicySchema.optional()
})
export type Queue = z.infer<typeof queueSchema>

export const workerPoolSchema = z.strictObject({
  service: z.string(),
  /** The workers reject a start that does not fit. */
  rejectsOverload: z.boolean(),
  maxConnections: z.number().positive(),
  /** The hosts of the pool are off and cost nothing. */
  standby: z.boolean()
})
export type WorkerPool = z.infer<typeof workerPoolSchema>

/** Queues and pools in force, as one operator sent them. */
export const catalogSchema = z.strictObject({
  version: z.number().int().nonnegative(),
  queues: z.array(queueSchema),
  pools: z.array(workerPoolSchema),
  /** What the operator sent, returned unchanged to whoever reads the catalog. */
  document: z.string()
})
export type Catalog = z.infer<typeof catalogSchema>

/** One life of a worker, as it describes itself. */
export const workerLifeSchema = z.strictObject({
  id: z.string().min(1),
  /** Wall-clock ms of its start; a later life under the same id is another one. */
  bornAt: z.number(),
  /** The host that it runs on. */
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
  /** Wall-clock ms until which a draining worker stays at least. */
  leavesAt: z.number().optional()
})
export type WorkerLife = z.infer<typeof workerLifeSchema>

export const endCauseSchema = z.enum(['succeeded', 'failed', 'stopped', 'lease-expired', 'gang-broken', 'gang-incomplete', 'not-started'])
export type EndCause = z.infer<typeof endCauseSchema>

/** An end of a run: its number on the worker (0 when the worker did not list it), task, attempt, cause, checkpoint. */
export const runEndSchema = z.tuple([z.number().int().nonnegative(), z.string(), z.number().int(), endCauseSchema, z.string()])
export type RunEnd = z.infer<typeof runEndSchema>

/** Task, worker and attempt of a run that is about to be ordered, and the ticket of its start where the queue asks for one. */
export const assignmentSchema = z.tuple([z.string(), z.string(), z.number().int().positive(), z.string().optional()])
export type Assignment = z.infer<typeof assignmentSchema>

/** The ends that one life of a worker listed. */
export const lifeEndsSchema = z.strictObject({ worker: z.string(), bornAt: z.number(), ends: z.array(runEndSchema) })
export type LifeEnds = z.infer<typeof lifeEndsSchema>

/** A host that keeps sessions with workers. */
export const sessionHostSchema = z.strictObject({ host: z.string(), availabilityZone: z.string() })
export type SessionHost = z.infer<typeof sessionHostSchema>

/** The host that judged a worker, and the number of the division that made it the worker's host. */
export const judgeSchema = z.strictObject({ host: z.string(), division: z.number().int().nonnegative() })
export type Judge = z.infer<typeof judgeSchema>

export const upkeepWaveSchema = z.strictObject({
  id: z.number().int(),
  hosts: z.array(z.string()),
  /** Wall-clock ms by which every host should have had its upkeep. */
  dueAt: z.number(),
  maxDown: z.number().int().positive()
})
export type UpkeepWave = z.infer<typeof upkeepWaveSchema>

/** Changes of the workflows, their workers and the catalog. `at` is the proposer's wall clock and only orders clean-up. */
export const workflowEntrySchemas = [
  z.strictObject({ kind: z.literal('catalog.put'), catalog: catalogSchema }),
  z.strictObject({ kind: z.literal('workflow.submit'), queue: z.string(), workflow: workflowSchema, at: z.number() }),
  z.strictObject({ kind: z.literal('workflow.cancel'), id: z.string(), at: z.number() }),
  z.strictObject({ kind: z.literal('workflow.assign'), assignments: z.array(assignmentSchema) }),
  z.strictObject({ kind: z.literal('workflow.end'), lives: z.array(lifeEndsSchema), judge: judgeSchema, at: z.number() }),
  /** Divides the workers among these hosts; each worker has one host that gives it orders. */
  z.strictObject({ kind: z.literal('sessions.divide'), hosts: z.array(sessionHostSchema) }),
  z.strictObject({ kind: z.literal('life.report'), life: workerLifeSchema }),
  /** The worker's leases have ended, so nothing that was ordered there runs any more. Only the worker's host can know. */
  z.strictObject({ kind: z.literal('life.expire'), worker: z.string(), bornAt: z.number(), judge: judgeSchema, at: z.number() }),
  /** Without a judge the worker itself has said that it ends. */
  z.strictObject({ kind: z.literal('life.remove'), worker: z.string(), bornAt: z.number(), judge: judgeSchema.optional(), at: z.number() }),
  z.strictObject({ kind: z.literal('wave.open'), wave: upkeepWaveSchema }),
  /** Recorded before the upkeep of a host is ordered. */
  z.strictObject({ kind: z.literal('wave.order'), wave: z.number().int(), host: z.string() }),
  /** The order was surely given; a worker life on the host that starts after `bornAt` shows that it is back. */
  z.strictObject({ kind: z.literal('wave.confirm'), wave: z.number().int(), host: z.string(), bornAt: z.number() }),
  /** The order was refused, so the host is not down. */
  z.strictObject({ kind: z.literal('wave.withdraw'), wave: z.number().int(), host: z.string() }),
  z.strictObject({ kind: z.literal('wave.done'), wave: z.number().int(), host: z.string() })
] as const
