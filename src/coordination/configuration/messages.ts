import { z } from 'zod'
import { configurationChangeSchema, policySchema } from '../../state/index.js'

/** The message by which a host renews its lease; see docs/design.md, section 5. */
export const RENEW_KIND = 'config.renew'

/** Length of a lease on the current revision, by the clock of its holder. */
export const LEASE_MS = 1500

/** Each clock runs between 0.99 and 1.01 times true time. */
export const CLOCK_RATE_BOUND = 0.01

/**
 * Time after which a granter may treat a lease as expired. The slowest permitted holder
 * and the fastest permitted granter differ by both bounds, not by one.
 */
export const GRANT_HOLD_MS = LEASE_MS * (1 + CLOCK_RATE_BOUND) / (1 - CLOCK_RATE_BOUND)

/** A third of a lease at most, so that two lost renewals in a row do not end the claim. */
export const RENEW_INTERVAL_MS = 400

const revisionSchema = z.number().int().nonnegative()

export const renewRequestSchema = z.strictObject({
  /** Names one run of the holder's process, so that a delayed message of an earlier run confirms nothing. */
  session: z.string(),
  /** Lowest revision that the sender will claim from now on. It confirms the suspension of every lower one. */
  floor: revisionSchema,
  /** Revision whose tables the sender has; the reply carries the configuration only when it differs. */
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
    /** Counted by the holder from when it sent the request. */
    leaseMs: z.number().nonnegative(),
    configuration: leasedConfigurationSchema.optional()
  }),
  /** The leader is current, but a change is pending, so no lease is granted. */
  z.strictObject({ kind: z.literal('suspended'), pendingRevision: revisionSchema }),
  z.strictObject({ kind: z.literal('refused'), reason: z.enum(['not-leader', 'no-read-barrier', 'invalid-request']) })
])
export type RenewReply = z.infer<typeof renewReplySchema>
