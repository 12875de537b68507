import { z } from 'zod'
import { identifierSchema, memberSchema, policySchema, resourcesSchema } from '../../state/index.js'

const ADDRESS = /^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/
const addressSchema = z.string().regex(ADDRESS, 'an IPv4 address and a port, for instance 127.0.0.1:8101')
const hashSchema = z.string().regex(/^[0-9a-f]{64}$/, 'the SHA-256 of a token, 64 hexadecimal digits')

/** An entry host in the settings; TOML keys are in snake case. */
const hostEntrySchema = z.strictObject({
  id: identifierSchema,
  region: identifierSchema,
  availability_zone: identifierSchema,
  http: addressSchema,
  peer: addressSchema,
  has_disk: z.boolean().default(false),
  /** Whether the host is one of the first voters of a new deployment; a voter needs a disk. */
  voter: z.boolean().default(false)
})

const policyEntrySchema = z.strictObject({
  tail_latency_weight: policySchema.shape.tailLatencyWeight,
  throughput_weight: policySchema.shape.throughputWeight,
  eviction_weight: policySchema.shape.evictionWeight,
  safety_margin: policySchema.shape.safetyMargin,
  batch_share: policySchema.shape.batchShare,
  exploration_rate: policySchema.shape.explorationRate,
  evictions_per_minute: policySchema.shape.evictionsPerMinute,
  queue_per_slot: policySchema.shape.queuePerSlot
})

const memberEntrySchema = z.strictObject({
  id: identifierSchema,
  token_hash: hashSchema,
  weight: memberSchema.shape.weight,
  quota: z.strictObject({
    cores: resourcesSchema.shape.cores,
    memory_gb: z.number().nonnegative(),
    accelerators: resourcesSchema.shape.accelerators
  })
})

export const settingsSchema = z.strictObject({
  deployment: z.strictObject({
    name: identifierSchema,
    /** The preset of a new deployment; afterwards the replicated state determines the preset. */
    preset: identifierSchema.default('ordinary')
  }),
  host: z.strictObject({
    /** One of the `hosts`; absent when the daemon is started with `--host`. */
    id: identifierSchema.optional(),
    /** Required on a host with a disk. `{host}` is replaced by the id of the host. */
    data_folder: z.string().min(1).optional(),
    /** Delay between the end of readiness and the end of listening, in which the load balancer takes the host out of service. */
    ready_grace_ms: z.number().int().min(0).max(60_000).default(1_000),
    /** Time in which requests in flight may finish when the host stops. */
    drain_ms: z.number().int().min(0).max(600_000).default(30_000)
  }),
  /** The entry hosts of a new deployment; `sequoiadrift host add` adds further ones later. */
  hosts: z.array(hostEntrySchema).min(1).max(64),
  security: z.strictObject({
    /** Shared by all entry hosts, which sign their connections and the idempotency keys with it. */
    cluster_secret: z.string().min(32, 'at least 32 characters'),
    operator_token_hash: hashSchema,
    target_token_hash: hashSchema
  }),
  members: z.array(memberEntrySchema).default([]),
  presets: z.record(identifierSchema, policyEntrySchema).default({}),
  logs: z.strictObject({ level: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info') }).prefault({}),
  metrics: z.strictObject({ host: z.ipv4(), port: z.number().int().min(1).max(65_535) }).optional()
}).superRefine((settings, context) => {
  const ids = settings.hosts.map((host) => host.id)
  const self = settings.hosts.find((host) => host.id === settings.host.id)
  const addIssue = (path: Array<string | number>, message: string, input: unknown): void => {
    context.addIssue({ code: 'custom', path, message, input })
  }
  ids.filter((id, index) => ids.indexOf(id) !== index)
    .forEach((id) => addIssue(['hosts'], `host "${id}" is listed twice`, id))
  settings.hosts.forEach((host, index) => {
    if (host.voter && !host.has_disk) addIssue(['hosts', index, 'voter'], 'a voter needs has_disk = true', true)
  })
  const voters = settings.hosts.filter((host) => host.voter).length
  if (voters === 0 || voters % 2 === 0 || voters > 7) addIssue(['hosts'], 'voters must be 1, 3, 5 or 7 of the hosts', voters)
  if (settings.host.id !== undefined && self === undefined) {
    addIssue(['host', 'id'], `one of the hosts: ${ids.join(', ')}`, settings.host.id)
  }
  if (self?.has_disk === true && settings.host.data_folder === undefined) {
    addIssue(['host', 'data_folder'], 'needed, because this host has has_disk = true', undefined)
  }
})
export type Settings = z.infer<typeof settingsSchema>
export type HostEntry = z.infer<typeof hostEntrySchema>
export type PolicyEntry = z.infer<typeof policyEntrySchema>
