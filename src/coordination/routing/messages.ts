import { z } from 'zod'

/** Bodies of the messages between entry hosts that concern requests. Times are remaining milliseconds. */

const count = z.number().int().nonnegative()

/** `credit.take` and `credit.return`: the whole state of one holder at one home, and what it wants in addition. */
export const creditRequestSchema = z.strictObject({
  /** Host and incarnation. */
  holder: z.string(),
  availabilityZone: z.string(),
  /** Grows with each message of the holder to this home; an older one is ignored. */
  sequence: count,
  /** Slots that the holder keeps, including those in use. */
  held: z.array(z.strictObject({ executor: z.string(), slots: count })),
  wants: z.array(z.strictObject({ service: z.string(), slots: count, /** Executors that the holder has ejected. */ avoid: z.array(z.string()) }))
})
export type CreditRequest = z.infer<typeof creditRequestSchema>

export const creditReplySchema = z.strictObject({
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
    /** Requests of this holder that the executor reported as running, and the greatest age of that report. */
    running: z.array(z.string()),
    reportAgeMs: z.number(),
    /** Requests of other holders in the same report. */
    otherLoad: count
  })),
  services: z.array(z.strictObject({
    service: z.string(),
    free: count,
    /** Slots that the holder should give back because others have less than their share. */
    excess: count
  }))
})
export type CreditReply = z.infer<typeof creditReplySchema>
export type CreditLoan = CreditReply['loans'][number]

export const summarySchema = z.strictObject({
  availabilityZone: z.string(),
  services: z.array(z.strictObject({ service: z.string(), executors: count, slots: count, free: count })),
  /** Executors that accept nothing new; a restarted one is another incarnation and does. */
  leaving: z.array(z.strictObject({ executor: z.string(), incarnation: z.string() })),
  /** The host is draining: it lends nothing and accepts no announcements. */
  draining: z.boolean()
})
export type TargetsSummary = z.infer<typeof summarySchema>

const bytes = z.instanceof(Uint8Array)
const headers = z.record(z.string(), z.string())

export const forwardSchema = z.strictObject({
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

/** `not-issuer`: the host runs, but this incarnation did not issue the key. */
export const forwardReplySchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('not-issuer') }),
  z.strictObject({ kind: z.literal('outcome'), outcome: outcomeSchema })
])

/** `claim.copy`: sent before dispatch without an outcome, and again with it. */
export const claimCopySchema = z.strictObject({
  key: z.string(),
  member: z.string(),
  fingerprint: z.string(),
  remainingMs: z.number(),
  outcome: outcomeSchema.optional()
})

export const claimAskSchema = z.strictObject({ key: z.string(), member: z.string(), fingerprint: z.string() })
export const claimAskReplySchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('none') }),
  z.strictObject({ kind: z.literal('in-progress') }),
  z.strictObject({ kind: z.literal('outcome'), outcome: outcomeSchema })
])
export type ClaimAskReply = z.infer<typeof claimAskReplySchema>
