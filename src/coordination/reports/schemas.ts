import { z } from 'zod'

const MINUTE_MS = 60_000
const HOUR_MS = 60 * MINUTE_MS
const DAY_MS = 24 * HOUR_MS

/** Windows over which burn rates are computed, ms. */
export const BURN_WINDOWS = { '5m': 5 * MINUTE_MS, '30m': 30 * MINUTE_MS, '1h': HOUR_MS, '6h': 6 * HOUR_MS } as const
/** Window of the error budget, ms. */
export const BUDGET_WINDOW_MS = 30 * DAY_MS
export const RECENT_WINDOW_MS = HOUR_MS
export const DAY_WINDOW_MS = DAY_MS

/** Why a request was bad: failed, not run, or slower than its objective. Interference names the job class of the neighbour. */
export const badCauseSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('queueing') }),
  z.strictObject({ kind: z.literal('interference'), jobClass: z.string() }),
  z.strictObject({ kind: z.literal('failure') }),
  z.strictObject({ kind: z.literal('drain') }),
  z.strictObject({ kind: z.literal('shedding') }),
  /** Slower than the objective, and no measurement explains why. */
  z.strictObject({ kind: z.literal('unattributed') })
])
export type BadCause = z.infer<typeof badCauseSchema>

export const evictionCauseSchema = z.enum(['interference', 'capacity', 'drain', 'priority', 'quota'])

const count = z.number().nonnegative()
const requestCounts = z.strictObject({ good: count, bad: count })
const hourAndDay = z.strictObject({ lastHour: count, lastDay: count })

const serviceSummarySchema = z.strictObject({
  service: z.string(),
  windows: z.strictObject({ '5m': requestCounts, '30m': requestCounts, '1h': requestCounts, '6h': requestCounts, budget: requestCounts }),
  causes: z.array(z.strictObject({ cause: badCauseSchema, lastHour: count, budget: count })),
  /** Counts by latency bucket over the last hour; see `createLatencyHistogram`. */
  latency: z.array(count)
})

const evictionRowSchema = z.strictObject({
  member: z.string(),
  cause: evictionCauseSchema,
  /** Empty when no member caused it. */
  causingMember: z.string(),
  ...hourAndDay.shape
})

const recentEvictionSchema = z.strictObject({
  agoMs: z.number(),
  member: z.string(),
  job: z.string(),
  task: z.string(),
  worker: z.string(),
  cause: evictionCauseSchema,
  causingMember: z.string()
})

const batchRowSchema = z.strictObject({
  member: z.string(),
  succeeded: hourAndDay,
  failed: hourAndDay,
  cancelled: hourAndDay,
  refused: hourAndDay,
  unknown: hourAndDay,
  coreHours: hourAndDay
})

/** Counts of one host, or the sums of several hosts. All counts are sums, so that summaries can be added. */
export const reportSummarySchema = z.strictObject({
  hosts: z.array(z.string()),
  /** Time for which the hosts have been counting, ms; the longest of them. */
  coveredMs: z.number(),
  services: z.array(serviceSummarySchema),
  evictions: z.array(evictionRowSchema),
  recentEvictions: z.array(recentEvictionSchema),
  batch: z.array(batchRowSchema)
})
export type ReportSummary = z.infer<typeof reportSummarySchema>
export type ServiceSummary = z.infer<typeof serviceSummarySchema>
export type BatchRow = z.infer<typeof batchRowSchema>

const nullableNumber = z.number().nullable()

const alertSchema = z.strictObject({
  fires: z.boolean(),
  shortWindow: z.string(),
  longWindow: z.string(),
  /** The alert fires only if the burn rates of both windows reach this. */
  threshold: z.number()
})

const serviceReportSchema = z.strictObject({
  service: z.string(),
  member: z.string(),
  objective: z.strictObject({ latencyMs: z.number(), quantile: z.number(), target: z.number() }),
  /** Requests in the budget window. */
  good: count,
  bad: count,
  /** Part of the error budget that is left: 1 is all of it, below 0 the objective is missed. Null without requests. */
  budgetRemaining: nullableNumber,
  /** Rates of bad requests, as multiples of the rate that uses up the error budget exactly. Null without requests in the window. */
  burnRates: z.strictObject({ '5m': nullableNumber, '30m': nullableNumber, '1h': nullableNumber, '6h': nullableNumber }),
  alerts: z.strictObject({ page: alertSchema, ticket: alertSchema }),
  latencyMs: z.strictObject({ p50: nullableNumber, p99: nullableNumber, p999: nullableNumber }),
  causes: z.array(z.strictObject({ cause: badCauseSchema, lastHour: count, budget: count, share: z.number() }))
})

export const burnReportSchema = z.strictObject({
  hosts: z.array(z.string()),
  coveredMs: z.number(),
  services: z.array(serviceReportSchema),
  evictions: z.strictObject({
    rows: z.array(z.strictObject({ ...evictionRowSchema.shape, byRival: z.boolean() })),
    lastDay: count,
    lastDayByRivals: count,
    recent: z.array(z.strictObject({ ...recentEvictionSchema.shape, byRival: z.boolean() }))
  }),
  batch: z.array(batchRowSchema)
})
export type BurnReport = z.infer<typeof burnReportSchema>
export type ServiceReport = z.infer<typeof serviceReportSchema>
