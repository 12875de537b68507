import { z } from 'zod'

/** Identifies one holder of a zone's coordination. Terms are compared by epoch, then round, then host. */
export const coordinatorTermSchema = z.strictObject({
  epoch: z.number().int().nonnegative(),
  round: z.number().int().nonnegative(),
  /** The host and the incarnation of its process. */
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

const attemptReferenceSchema = z.strictObject({ task: z.string(), attempt: z.number().int().positive() })

/** Entry hosts that hold the whole journal. A majority of the witnesses keeps it for the next coordinator. */
export const journalNoteSchema = z.strictObject({
  version: z.number().int().positive(),
  hosts: z.array(z.string()),
  /** Size of the witness set when the note was written. */
  witnesses: z.number().int()
})
export type JournalNote = z.infer<typeof journalNoteSchema>

/** `POST {worker}/v1/exchange`: the only exchange with a worker. It also grants the coordinator its lease. */
export const exchangeRequestSchema = z.strictObject({
  term: coordinatorTermSchema,
  /** Rises with each request of one term; a worker ignores a request that a later one has overtaken. */
  sequence: z.number().int().positive(),
  /** Length of the coordinator's lease from now, ms; 0 releases it. */
  grantMs: z.number(),
  /** Length of task leases, ms, counted from the time at which the worker sent the reply named by `seen`. */
  taskLeaseMs: z.number(),
  /**
   * The last reply that the coordinator received. It renews the leases of all tasks of the worker, and commands are
   * valid only together with it: a request that was delayed for longer than a task lease can then start nothing.
   */
  seen: z.strictObject({ incarnation: z.string(), reply: z.number().int() }).optional(),
  commands: z.array(workerCommandSchema),
  /** Outcomes that are recorded, so that the worker may forget them. */
  acknowledged: z.array(attemptReferenceSchema),
  /** Sent until the worker has confirmed its version. */
  journal: journalNoteSchema.optional()
})
export type ExchangeRequest = z.infer<typeof exchangeRequestSchema>

export const exchangeReplySchema = z.strictObject({
  worker: z.string(),
  /** Changes when the worker's process restarts. */
  incarnation: z.string(),
  /** Number of this reply. */
  reply: z.number().int(),
  /** False when the request was refused; its commands were then not carried out. */
  granted: z.boolean(),
  /** The commands and acknowledgements were carried out. */
  applied: z.boolean(),
  /** The term that the worker holds a promise for, when it is not the requester's. */
  promised: coordinatorTermSchema.optional(),
  /** The newest note held; sent when the request carries none and the requester's term has none. */
  journal: z.strictObject({ term: coordinatorTermSchema, note: journalNoteSchema }).optional(),
  /** Version of the requester's own note that the worker holds. */
  noted: z.number().int(),
  /** True: `tasks` and `outcomes` are complete. False: they list what changed since the reply that the request named. */
  full: z.boolean(),
  tasks: z.array(z.strictObject({
    ...attemptFields,
    state: z.enum(['running', 'stopping', 'throttled']),
    checkpoint: z.string().optional()
  })),
  /** The worker keeps an outcome until it is acknowledged. */
  outcomes: z.array(attemptOutcomeSchema),
  /** Measurements made since the reply that the request named. */
  usage: z.array(z.strictObject({ task: z.string(), cores: z.number(), memoryBytes: z.number(), measuredAgoMs: z.number() })),
  latency: z.array(z.strictObject({ service: z.string(), p99Ms: z.number(), count: z.number().int(), measuredAgoMs: z.number() })),
  /** The worker's guard has throttled work by itself. */
  guardActive: z.boolean(),
  leaving: z.boolean()
})
export type ExchangeReply = z.infer<typeof exchangeReplySchema>
