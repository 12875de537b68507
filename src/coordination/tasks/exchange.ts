import { z } from 'zod'

/** One host's time as coordinator of a zone. Terms are ordered by epoch, then round, then host. */
export const coordinatorTermSchema = z.strictObject({
  /** Issued by the supervisor through the replicated log. */
  epoch: z.number().int().nonnegative(),
  /** Raised by a host of the journal group when the replicated log is not available to issue an epoch. */
  round: z.number().int().nonnegative(),
  /** Host id and process incarnation, as `host~incarnation`. */
  host: z.string()
})
export type CoordinatorTerm = z.infer<typeof coordinatorTermSchema>

/** Fencing token: orders the starts of one task, so that a worker refuses a start older than the last one. */
export const fencingTokenSchema = z.strictObject({ epoch: z.number().int(), sequence: z.number().int() })
export type FencingToken = z.infer<typeof fencingTokenSchema>

const attemptFields = { task: z.string(), attempt: z.number().int().positive(), token: fencingTokenSchema }

export const workerCommandSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('start'),
    ...attemptFields,
    member: z.string(),
    jobClass: z.string(),
    /** The service, if the task is a replica of a latency-critical service. */
    service: z.string().optional(),
    command: z.string(),
    cores: z.number(),
    memoryBytes: z.number(),
    accelerators: z.number(),
    /** Reference of the checkpoint to resume from. */
    checkpoint: z.string().optional()
  }),
  /** Stops the attempt gracefully; with `checkpoint`, after a checkpoint. */
  z.strictObject({ kind: z.literal('stop'), ...attemptFields, checkpoint: z.boolean() }),
  z.strictObject({ kind: z.literal('throttle'), ...attemptFields, /** CPU share: part of the task's cores that it may use, 0 to 1. */ share: z.number() }),
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

const attemptReferenceSchema = z.strictObject({ task: z.string(), attempt: z.number().int().positive() })

/** In-sync set: entry hosts whose journal replicas are complete. A majority of the witnesses stores it for the next coordinator. */
export const inSyncSetSchema = z.strictObject({
  version: z.number().int().positive(),
  hosts: z.array(z.string()),
  /** Size of the witness set when this in-sync set was composed. */
  witnesses: z.number().int()
})
export type InSyncSet = z.infer<typeof inSyncSetSchema>

/** Request of `POST {worker}/v1/exchange`, the only call to a worker. A granted request also renews the coordinator's lease. */
export const exchangeRequestSchema = z.strictObject({
  term: coordinatorTermSchema,
  /** Increases with each request of a term; a worker refuses a request that arrives after a later one. */
  sequence: z.number().int().positive(),
  /** Duration of the coordinator's lease on the worker, counted by the worker from the receipt, ms; 0 releases the lease. */
  grantMs: z.number(),
  /** Duration of task leases, ms, counted from the time at which the worker sent the reply that `seen` names. */
  taskLeaseMs: z.number(),
  /**
   * The last reply that the coordinator received. It renews the leases of all tasks on the worker. Commands are valid
   * only together with it, so a request that is delayed for longer than a task lease cannot start a task.
   */
  seen: z.strictObject({ incarnation: z.string(), reply: z.number().int() }).optional(),
  commands: z.array(workerCommandSchema),
  /** Outcomes that the worker may delete. */
  acknowledged: z.array(attemptReferenceSchema),
  /** The coordinator's in-sync set; sent until the worker has confirmed its version. */
  journal: inSyncSetSchema.optional()
})
export type ExchangeRequest = z.infer<typeof exchangeRequestSchema>

export const exchangeReplySchema = z.strictObject({
  worker: z.string(),
  /** Identifies one run of the worker's process. */
  incarnation: z.string(),
  /** Sequence number of this reply. */
  reply: z.number().int(),
  /** False when the worker refused the request, and with it the lease and all commands. */
  granted: z.boolean(),
  /** The worker applied the commands and acknowledgements. */
  applied: z.boolean(),
  /** The term to which the worker has granted its lease, when it is not the requester's. */
  promised: coordinatorTermSchema.optional(),
  /** The newest in-sync set that the worker stores; sent while neither the request nor the worker has one of the requester's term. */
  journal: z.strictObject({ term: coordinatorTermSchema, note: inSyncSetSchema }).optional(),
  /** Version of the in-sync set of the requester's term that the worker stores. */
  noted: z.number().int(),
  /** True: `tasks` and `outcomes` are complete. False: they contain only changes since the reply that the request named. */
  full: z.boolean(),
  tasks: z.array(z.strictObject({
    ...attemptFields,
    state: z.enum(['running', 'stopping', 'throttled']),
    checkpoint: z.string().optional()
  })),
  /** Attempts that have ended; the worker keeps each outcome until it is acknowledged. */
  outcomes: z.array(attemptOutcomeSchema),
  /** Measurements made since the reply that the request named. */
  usage: z.array(z.strictObject({ task: z.string(), cores: z.number(), memoryBytes: z.number(), measuredAgoMs: z.number() })),
  latency: z.array(z.strictObject({ service: z.string(), p99Ms: z.number(), count: z.number().int(), measuredAgoMs: z.number() })),
  /** The worker's own overload protection is throttling tasks. */
  guardActive: z.boolean(),
  /** The worker is shutting down and takes no more tasks. */
  leaving: z.boolean()
})
export type ExchangeReply = z.infer<typeof exchangeReplySchema>
