import { z } from 'zod'
import { configurationChangeSchema, policySchema } from '../../state/index.js'

/** The message by which a host renews its lease; see docs/design.md, section 5. */
export const RENEW_KIND = 'config.renew'

/** Duration of a lease on the current revision, by the clock of its holder, ms. */
export const LEASE_MS = 1500

/** Maximum relative error of a clock: each runs between 0.99 and 1.01 times the rate of true time. */
export const CLOCK_RATE_ERROR = 0.01

/**
 * Time after which a granter may treat a lease as expired, by its own clock, ms. The clock of the holder may be the slowest
 * permitted one and that of the granter the fastest, so the bound applies twice.
 */
export const GRANT_HOLD_MS = LEASE_MS * (1 + CLOCK_RATE_ERROR) / (1 - CLOCK_RATE_ERROR)

/** Interval of renewals, ms. At most a third of the lease, so that a claim survives two lost renewals in a row. */
export const RENEW_INTERVAL_MS = 400

const revisionSchema = z.number().int().nonnegative()

export const renewRequestSchema = z.strictObject({
  /** Identifies one run of the holder's process, so that a delayed message of an earlier run confirms nothing for this one. */
  session: z.string(),
  /** Lowest revision that the sender will claim from now on, which confirms to the leader that it has given up every lower one. */
  floor: revisionSchema,
  /** Revision whose configuration the sender has; the reply contains the configuration only if the current revision is another one. */
  known: revisionSchema
})
export type RenewRequest = z.infer<typeof renewRequestSchema>

export const leasedConfigurationSchema = configurationChangeSchema.omit({ baseRevision: true }).extend({
  revision: revisionSchema,
  presets: z.record(z.string(), policySchema),
  since: z.number()
})

export const renewReplySchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('granted'),
    revision: revisionSchema,
    /** Duration of the lease, ms; the holder counts it from the time at which it sent the request. */
    leaseMs: z.number().nonnegative(),
    configuration: leasedConfigurationSchema.optional()
  }),
  /** The leader is confirmed, but grants no lease, because a change is pending or the sender has given up the current revision. */
  z.strictObject({ kind: z.literal('suspended'), pendingRevision: revisionSchema }),
  z.strictObject({ kind: z.literal('refused'), reason: z.enum(['not-leader', 'no-read-barrier', 'invalid-request']) })
])
export type RenewReply = z.infer<typeof renewReplySchema>
