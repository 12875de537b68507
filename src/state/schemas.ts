import { z } from 'zod'
import { workflowEntrySchemas } from './workflows/schemas.js'

/** Resource amounts. Used for declared sizes, capacities, quotas and usage. */
export const resourcesSchema = z.strictObject({
  cores: z.number().nonnegative(),
  memoryBytes: z.number().nonnegative(),
  accelerators: z.number().nonnegative().default(0)
})
export type Resources = z.infer<typeof resourcesSchema>

/** Records are plain objects, on which these names exist already. */
const isFreeKey = (key: string): boolean => !(key in {})

export const identifierSchema = z.string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'lower-case letters, digits, dot, dash and underscore; at most 63')
  .refine(isFreeKey, 'a reserved word')

/** The values that a preset sets. Weights are relative to each other. */
export const policySchema = z.strictObject({
  /** Weight of the tail latency of services. */
  tailLatencyWeight: z.number().min(0),
  throughputWeight: z.number().min(0),
  evictionWeight: z.number().min(0),
  /** Starting margin on declared sizes; 0.5 adds half. It shrinks with evidence. */
  safetyMargin: z.number().min(0).max(10),
  /** Highest part of a worker's cores that batch tasks may be promised, 0 to 1. */
  batchShare: z.number().min(0).max(1),
  /** Part of placements that may try a pair of unknown interference, 0 to 1. */
  explorationRate: z.number().min(0).max(0.2),
  /** Evictions a zone may order per minute, other than those that keep a worker within its capacity. */
  evictionsPerMinute: z.number().int().min(0),
  /** Requests that may wait for a slot, for each slot. */
  queuePerSlot: z.number().min(0).max(100)
})
export type Policy = z.infer<typeof policySchema>

export const memberSchema = z.strictObject({
  id: identifierSchema,
  /** SHA-256 of the member's bearer token, hexadecimal. */
  tokenHash: z.string().regex(/^[0-9a-f]{64}$/),
  /** Resources over the whole deployment that the member may use before others have precedence. */
  quota: resourcesSchema,
  /** Relative share of spare capacity. */
  weight: z.number().positive().default(1)
})
export type Member = z.infer<typeof memberSchema>

export const serviceSchema = z.strictObject({
  id: identifierSchema,
  member: identifierSchema,
  /** Latency objective: `quantile` of requests within `latencyMs`; `target` is the part of good requests promised. */
  objective: z.strictObject({
    latencyMs: z.number().positive(),
    quantile: z.number().gt(0).lt(1).default(0.99),
    target: z.number().gt(0).lt(1).default(0.99)
  }),
  /** Latency-critical tasks that run on workers for this service, in each zone. */
  replicasPerZone: z.number().int().min(0).default(0),
  size: resourcesSchema.default({ cores: 1, memoryBytes: 1e9, accelerators: 0 }),
  /** Relative weight when requests have to be shed. */
  weight: z.number().positive().default(1)
})
export type Service = z.infer<typeof serviceSchema>

export const jobSchema = z.strictObject({
  id: identifierSchema,
  member: identifierSchema,
  /** Tasks of the same class are expected to behave alike. */
  jobClass: identifierSchema,
  size: resourcesSchema,
  tasks: z.number().int().min(1).max(10_000).default(1),
  expectedRunMs: z.number().positive(),
  urgent: z.boolean().default(false),
  /** False: a task with an unclear end is reported as unknown and never started again. */
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
  /** `ip:port` for HTTP. */
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
  /** Replaces or adds preset tables. */
  presets: z.record(identifierSchema, policySchema).default({}),
  setBy: z.string().max(200),
  reason: z.string().max(1000)
})
export type ConfigurationChange = z.infer<typeof configurationChangeSchema>

const requestId = z.string().max(128).refine(isFreeKey, 'a reserved word').optional()

/** Every change of the agreed state. `requestId` makes a resend by an operator return the first outcome. */
export const entrySchema = z.discriminatedUnion('kind', [
  ...workflowEntrySchemas,
  z.strictObject({ kind: z.literal('noop') }),
  /** What the settings of a new deployment name; accepted once. */
  z.strictObject({ kind: z.literal('deployment.found'), hosts: z.array(hostSchema), members: z.array(memberSchema) }),
  z.strictObject({ kind: z.literal('config.propose'), requestId, change: configurationChangeSchema, wallTime: z.number() }),
  z.strictObject({ kind: z.literal('config.activate'), revision: z.number().int(), wallTime: z.number() }),
  z.strictObject({ kind: z.literal('member.put'), requestId, member: memberSchema }),
  z.strictObject({ kind: z.literal('service.put'), requestId, service: serviceSchema }),
  z.strictObject({ kind: z.literal('service.remove'), requestId, service: identifierSchema, member: identifierSchema }),
  /** `zones` gives the number of the job's tasks that each zone owns, in order of task number. */
  z.strictObject({ kind: z.literal('job.create'), requestId, job: jobSchema, zones: z.array(z.strictObject({ availabilityZone: identifierSchema, tasks: z.number().int().positive() })), wallTime: z.number() }),
  z.strictObject({ kind: z.literal('job.cancel'), requestId, job: identifierSchema, member: identifierSchema }),
  /** A person's decision about a task with an unknown outcome. */
  z.strictObject({ kind: z.literal('job.resolve'), requestId, job: identifierSchema, task: z.number().int().nonnegative(), outcome: taskOutcomeSchema, setBy: z.string() }),
  /** Outcomes of tasks that have ended in a zone since its last summary. */
  z.strictObject({ kind: z.literal('job.summary'), availabilityZone: identifierSchema, outcomes: z.array(z.tuple([identifierSchema, z.number().int(), taskOutcomeSchema])) }),
  z.strictObject({ kind: z.literal('host.add'), requestId, host: hostSchema }),
  z.strictObject({ kind: z.literal('host.remove'), requestId, host: identifierSchema }),
  z.strictObject({ kind: z.literal('worker.register'), worker: workerSchema }),
  z.strictObject({ kind: z.literal('worker.remove'), worker: identifierSchema }),
  z.strictObject({
    kind: z.literal('zone.grant'),
    availabilityZone: identifierSchema,
    /** The epoch that this grant follows; another one means that a rival grant was first. */
    previousEpoch: z.number().int().nonnegative(),
    host: identifierSchema,
    incarnation: z.string(),
    /** The newest epoch whose coordinator is known to have taken over; witness sets before it no longer count. */
    settledEpoch: z.number().int().nonnegative().optional()
  }),
  z.strictObject({ kind: z.literal('zone.transfer'), from: identifierSchema, to: identifierSchema, tasks: z.array(z.tuple([identifierSchema, z.number().int()])) }),
  z.strictObject({ kind: z.literal('zone.retire'), requestId, availabilityZone: identifierSchema, confirmedStopped: z.literal(true), setBy: z.string() })
])
export type Entry = z.infer<typeof entrySchema>
export type EntryKind = Entry['kind']
