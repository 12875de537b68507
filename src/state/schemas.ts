import { z } from 'zod'
import { workflowEntrySchemas } from './workflows/schemas.js'

/** Amounts of resources, for declared task sizes, worker capacities, quotas and usage. */
export const resourcesSchema = z.strictObject({
  cores: z.number().nonnegative(),
  memoryBytes: z.number().nonnegative(),
  accelerators: z.number().nonnegative().default(0)
})
export type Resources = z.infer<typeof resourcesSchema>

/** Rejects the names that every object inherits, such as `constructor`, because state records are plain objects with ids as keys. */
const isUnreservedKey = (key: string): boolean => !(key in {})

export const identifierSchema = z.string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'lower-case letters, digits, dot, dash and underscore; at most 63')
  .refine(isUnreservedKey, 'a reserved word')

/** The scheduling policy that a preset sets. Only the ratio of the weights matters. */
export const policySchema = z.strictObject({
  /** Weight of the services' tail latency. */
  tailLatencyWeight: z.number().min(0),
  throughputWeight: z.number().min(0),
  evictionWeight: z.number().min(0),
  /** Initial reserve on top of a declared task size, as a fraction of it (0.5 adds half). It decreases as usage is measured. */
  safetyMargin: z.number().min(0).max(10),
  /** Largest fraction of a worker's cores that may be reserved for batch tasks, 0 to 1. */
  batchShare: z.number().min(0).max(1),
  /** Fraction of placements that may put two task classes of unknown interference on one worker, to measure it, 0 to 1. */
  explorationRate: z.number().min(0).max(0.2),
  /** Limit of evictions per minute and zone. Evictions that keep a worker within its capacity are not counted. */
  evictionsPerMinute: z.number().int().min(0),
  /** Requests that may be queued for each request slot of a service's executors. */
  queuePerSlot: z.number().min(0).max(100)
})
export type Policy = z.infer<typeof policySchema>

export const memberSchema = z.strictObject({
  id: identifierSchema,
  /** SHA-256 of the member's bearer token, hexadecimal. */
  tokenHash: z.string().regex(/^[0-9a-f]{64}$/),
  /** Resources of the whole deployment that the member may use before tasks of other members take precedence. */
  quota: resourcesSchema,
  /** Weight of the member when spare capacity is shared among members. */
  weight: z.number().positive().default(1)
})
export type Member = z.infer<typeof memberSchema>

export const serviceSchema = z.strictObject({
  id: identifierSchema,
  member: identifierSchema,
  /**
   * Latency objective: the `quantile` of request latencies is at most `latencyMs`. `target` is the promised fraction of good
   * requests.
   */
  objective: z.strictObject({
    latencyMs: z.number().positive(),
    quantile: z.number().gt(0).lt(1).default(0.99),
    target: z.number().gt(0).lt(1).default(0.99)
  }),
  /** Number of latency-critical tasks that run for this service in each availability zone. */
  replicasPerZone: z.number().int().min(0).default(0),
  size: resourcesSchema.default({ cores: 1, memoryBytes: 1e9, accelerators: 0 }),
  /** Weight of the service when requests have to be shed: lower weights are shed first. */
  weight: z.number().positive().default(1)
})
export type Service = z.infer<typeof serviceSchema>

export const jobSchema = z.strictObject({
  id: identifierSchema,
  member: identifierSchema,
  /** Tasks of the same class are expected to have similar resource use and interference. */
  jobClass: identifierSchema,
  size: resourcesSchema,
  tasks: z.number().int().min(1).max(10_000).default(1),
  expectedRunMs: z.number().positive(),
  urgent: z.boolean().default(false),
  /** If false, a task that may or may not have run to its end is reported as `unknown` and never started again. */
  idempotent: z.boolean().default(true),
  /** Passed to the worker unchanged. */
  command: z.string().max(4096).default('')
})
export type Job = z.infer<typeof jobSchema>

export const hostSchema = z.strictObject({
  id: identifierSchema,
  availabilityZone: identifierSchema,
  region: identifierSchema,
  /** `ip:port` for the connections between entry hosts. */
  peerAddress: z.string(),
  /** `ip:port` of the HTTP interface for clients. */
  httpAddress: z.string(),
  hasDisk: z.boolean()
})
export type Host = z.infer<typeof hostSchema>

export const workerSchema = z.strictObject({
  id: identifierSchema,
  availabilityZone: identifierSchema,
  rack: identifierSchema,
  capacity: resourcesSchema,
  /** Base URL of the worker's HTTP interface. */
  url: z.string()
})
export type Worker = z.infer<typeof workerSchema>

export const taskOutcomeSchema = z.enum(['succeeded', 'failed', 'cancelled', 'unknown', 'refused'])
export type TaskOutcome = z.infer<typeof taskOutcomeSchema>

export const configurationChangeSchema = z.strictObject({
  /** The revision that the change is based on. */
  baseRevision: z.number().int().nonnegative(),
  preset: identifierSchema,
  /** Presets to add or replace, by name. */
  presets: z.record(identifierSchema, policySchema).default({}),
  setBy: z.string().max(200),
  reason: z.string().max(1000)
})
export type ConfigurationChange = z.infer<typeof configurationChangeSchema>

const requestId = z.string().max(128).refine(isUnreservedKey, 'a reserved word').optional()

/**
 * Entries of the replicated log; each describes one change of the replicated state. An operator's request that is resent
 * with the same `requestId` returns the first outcome and changes nothing.
 */
export const entrySchema = z.discriminatedUnion('kind', [
  ...workflowEntrySchemas,
  z.strictObject({ kind: z.literal('noop') }),
  /** Bootstraps the deployment with the hosts and members of the settings. Accepted only once. */
  z.strictObject({ kind: z.literal('deployment.found'), hosts: z.array(hostSchema), members: z.array(memberSchema) }),
  z.strictObject({ kind: z.literal('config.propose'), requestId, change: configurationChangeSchema, wallTime: z.number() }),
  z.strictObject({ kind: z.literal('config.activate'), revision: z.number().int(), wallTime: z.number() }),
  z.strictObject({ kind: z.literal('member.put'), requestId, member: memberSchema }),
  z.strictObject({ kind: z.literal('service.put'), requestId, service: serviceSchema }),
  z.strictObject({ kind: z.literal('service.remove'), requestId, service: identifierSchema, member: identifierSchema }),
  /** `zones` gives the number of the job's tasks that each zone owns, in order of task number. */
  z.strictObject({ kind: z.literal('job.create'), requestId, job: jobSchema, zones: z.array(z.strictObject({ availabilityZone: identifierSchema, tasks: z.number().int().positive() })), wallTime: z.number() }),
  z.strictObject({ kind: z.literal('job.cancel'), requestId, job: identifierSchema, member: identifierSchema }),
  /** An operator's decision about a task with an unknown outcome. */
  z.strictObject({ kind: z.literal('job.resolve'), requestId, job: identifierSchema, task: z.number().int().nonnegative(), outcome: taskOutcomeSchema, setBy: z.string() }),
  /** Outcomes of the tasks that have ended in a zone since its previous summary. */
  z.strictObject({ kind: z.literal('job.summary'), availabilityZone: identifierSchema, outcomes: z.array(z.tuple([identifierSchema, z.number().int(), taskOutcomeSchema])) }),
  z.strictObject({ kind: z.literal('host.add'), requestId, host: hostSchema }),
  z.strictObject({ kind: z.literal('host.remove'), requestId, host: identifierSchema }),
  z.strictObject({ kind: z.literal('worker.register'), worker: workerSchema }),
  z.strictObject({ kind: z.literal('worker.remove'), worker: identifierSchema }),
  z.strictObject({
    kind: z.literal('zone.grant'),
    availabilityZone: identifierSchema,
    /** The zone's epoch before this grant. If it is not the current epoch, a competing grant came first and this one is rejected. */
    previousEpoch: z.number().int().nonnegative(),
    host: identifierSchema,
    incarnation: z.string(),
    /** The latest epoch whose coordinator is known to have completed its takeover; witness sets of earlier epochs are dropped. */
    settledEpoch: z.number().int().nonnegative().optional()
  }),
  z.strictObject({ kind: z.literal('zone.transfer'), from: identifierSchema, to: identifierSchema, tasks: z.array(z.tuple([identifierSchema, z.number().int()])) }),
  z.strictObject({ kind: z.literal('zone.retire'), requestId, availabilityZone: identifierSchema, confirmedStopped: z.literal(true), setBy: z.string() })
])
export type Entry = z.infer<typeof entrySchema>
export type EntryKind = Entry['kind']
