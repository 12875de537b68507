import { z } from 'zod'

// Bodies of the messages between entry hosts about request routing. Times are sent as remaining milliseconds, since each
// host has a monotonic clock of its own.

const count = z.number().int().nonnegative()

/**
 * `credit.take` and `credit.return`: a lease request, from a host that holds or needs slots to the owner of executors. It
 * lists all slots that the holder keeps there, and those that it requests in addition. Slots that are not listed are returned.
 */
export const leaseRequestSchema = z.strictObject({
  /** Lease holder: `host/incarnation`. */
  holder: z.string(),
  availabilityZone: z.string(),
  /** Grows with each request of the holder to this owner; the owner ignores a request with a lower one than the last. */
  sequence: count,
  /** Slots that the holder keeps, including those in use. */
  held: z.array(z.strictObject({ executor: z.string(), slots: count })),
  /** Slots that the holder requests in addition. */
  wants: z.array(z.strictObject({ service: z.string(), slots: count, /** Executors that the holder has ejected. */ avoid: z.array(z.string()) }))
})
export type LeaseRequest = z.infer<typeof leaseRequestSchema>

/** Reply to a lease request. `loans` lists the holder's leases. */
export const leaseReplySchema = z.strictObject({
  loans: z.array(z.strictObject({
    executor: z.string(),
    service: z.string(),
    availabilityZone: z.string(),
    rack: z.string(),
    url: z.string(),
    incarnation: z.string(),
    slots: count,
    connections: count,
    remainingMs: z.number(),
    leaving: z.boolean(),
    progressMs: z.number(),
    /** Requests of this holder that the executor's last report lists as running. */
    running: z.array(z.string()),
    /** Upper bound of the age of that report, ms. */
    reportAgeMs: z.number(),
    /** Number of requests of other holders in the same report. */
    otherLoad: count
  })),
  services: z.array(z.strictObject({
    service: z.string(),
    free: count,
    /** Slots above its fair share that the holder should return, because other holders below their share need them. */
    excess: count
  }))
})
/** The owner has already applied a later request of this host, so this one had no effect. */
export const outdatedReplySchema = z.strictObject({ outdated: z.literal(true) })
export const leaseAnswerSchema = z.union([leaseReplySchema, outdatedReplySchema])
export type LeaseReply = z.infer<typeof leaseReplySchema>
export type LeaseAnswer = z.infer<typeof leaseAnswerSchema>
export type ExecutorLease = LeaseReply['loans'][number]

/** `targets.summary`: the executors of one owner, sent to all other entry hosts. */
export const targetsSummarySchema = z.strictObject({
  availabilityZone: z.string(),
  services: z.array(z.strictObject({ service: z.string(), executors: count, slots: count, free: count })),
  /** Executors that accept no new requests. After a restart an executor has another incarnation and accepts them again. */
  leaving: z.array(z.strictObject({ executor: z.string(), incarnation: z.string() })),
  /** The owner is draining: it grants no leases and accepts no announcements. */
  draining: z.boolean()
})
export type TargetsSummary = z.infer<typeof targetsSummarySchema>

const bytes = z.instanceof(Uint8Array)
const headers = z.record(z.string(), z.string())

/** `request.forward`: a request whose idempotency key the receiving host issued. */
export const forwardRequestSchema = z.strictObject({
  member: z.string(),
  service: z.string(),
  method: z.string(),
  path: z.string(),
  headers,
  body: bytes,
  idempotent: z.boolean(),
  key: z.string(),
  remainingMs: z.number()
})

const answered = z.strictObject({ kind: z.literal('answered'), key: z.string().optional(), status: z.number(), headers, body: bytes })
const notRun = z.strictObject({ kind: z.literal('not-run'), key: z.string().optional(), reason: z.string(), message: z.string() })
const unknownOutcome = z.strictObject({ kind: z.literal('unknown'), key: z.string().optional(), reason: z.string(), message: z.string(), next: z.string() })
const refused = z.strictObject({ kind: z.literal('refused'), key: z.string().optional(), failure: z.strictObject({ kind: z.string(), message: z.string() }) })
export const outcomeSchema = z.discriminatedUnion('kind', [answered, notRun, unknownOutcome, refused])

/** `not-issuer`: an earlier process of the host issued the key, and its records are lost. */
export const forwardReplySchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('not-issuer') }),
  z.strictObject({ kind: z.literal('outcome'), outcome: outcomeSchema })
])

/**
 * `claim.copy`: a copy of an idempotency record for a peer, sent without an outcome before the request is dispatched, and
 * again with the outcome.
 */
export const recordCopySchema = z.strictObject({
  key: z.string(),
  member: z.string(),
  fingerprint: z.string(),
  remainingMs: z.number(),
  outcome: outcomeSchema.optional()
})

/** `claim.ask`: asks a peer for its copy of an idempotency record. */
export const recordLookupSchema = z.strictObject({ key: z.string(), member: z.string(), fingerprint: z.string() })
export const recordLookupReplySchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('none') }),
  z.strictObject({ kind: z.literal('in-progress') }),
  z.strictObject({ kind: z.literal('outcome'), outcome: outcomeSchema })
])
export type RecordLookupReply = z.infer<typeof recordLookupReplySchema>
