import { z } from 'zod'

/** Identifies one holder of a zone's coordination. Terms are compared by epoch, then round, then host. */
export const coordinatorTermSchema = z.strictObject({
  epoch: z.number().int().nonnegative(),
  round: z.number().int().nonnegative(),
  host: z.string()
})
export type CoordinatorTerm = z.infer<typeof coordinatorTermSchema>

/** Orders starts of one task, so that a worker can refuse an older one. */
export const fencingTokenSchema = z.strictObject({ epoch: z.number().int(), sequence: z.number().int() })
export type FencingToken = z.infer<typeof fencingTokenSchema>

const attemptFields = { task: z.string(), attempt: z.number().int().positive(), token: fencingTokenSchema }

export const workerCommandSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('start'),
    ...attemptFields,
    member: z.string(),
    jobClass: z.string(),
    /** Set for a replica of a latency-critical service. */
    service: z.string().optional(),
    command: z.string(),
    cores: z.number(),
    memoryBytes: z.number(),
    accelerators: z.number(),
    /** Reference of the checkpoint to resume from. */
    checkpoint: z.string().optional()
  }),
  /** Asks for a graceful stop; `checkpoint` asks for one before it. */
  z.strictObject({ kind: z.literal('stop'), ...attemptFields, checkpoint: z.boolean() }),
  z.strictObject({ kind: z.literal('throttle'), ...attemptFields, /** Part of its cores, 0 to 1. */ share: z.number() }),
  z.strictObject({ kind: z.literal('checkpoint'), ...attemptFields })
])
export type WorkerCommand = z.infer<typeof workerCommandSchema>

export const attemptOutcomeSchema = z.strictObject({
  ...attemptFields,
  result: z.enum(['succeeded', 'failed', 'stopped', 'refused']),
  checkpoint: z.string().optional(),
  message: z.string().default('')
})
export type AttemptOutcome = z.infer<typeof attemptOutcomeSchema>

/** `POST {worker}/v1/exchange`: the only exchange with a worker. It also grants the coordinator its lease. */
export const exchangeRequestSchema = z.strictObject({
  term: coordinatorTermSchema,
  /** Length of the coordinator's lease from now, ms; 0 releases it. */
  grantMs: z.number(),
  /** Length of the leases of the listed tasks from now, ms. */
  taskLeaseMs: z.number(),
  /** Attempts whose lease is renewed; every other attempt keeps its present deadline. */
  renew: z.array(z.strictObject(attemptFields)),
  commands: z.array(workerCommandSchema),
  /** Outcomes that are recorded, so that the worker may forget them. */
  acknowledged: z.array(z.strictObject(attemptFields))
})
export type ExchangeRequest = z.infer<typeof exchangeRequestSchema>

export const exchangeReplySchema = z.strictObject({
  worker: z.string(),
  /** Changes when the worker's process restarts. */
  incarnation: z.string(),
  granted: z.boolean(),
  /** The term that the worker holds a promise for. */
  promised: coordinatorTermSchema.optional(),
  tasks: z.array(z.strictObject({
    ...attemptFields,
    state: z.enum(['running', 'stopping', 'throttled']),
    checkpoint: z.string().optional()
  })),
  /** Every outcome that has not been acknowledged. */
  outcomes: z.array(attemptOutcomeSchema),
  usage: z.array(z.strictObject({ task: z.string(), cores: z.number(), memoryBytes: z.number(), measuredAgoMs: z.number() })),
  latency: z.array(z.strictObject({ service: z.string(), p99Ms: z.number(), count: z.number().int(), measuredAgoMs: z.number() })),
  /** The worker's guard has throttled work by itself. */
  guardActive: z.boolean(),
  leaving: z.boolean()
})
export type ExchangeReply = z.infer<typeof exchangeReplySchema>
