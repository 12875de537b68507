import { z } from 'zod'

const MINUTE_MS = 60_000
const HOUR_MS = 60 * MINUTE_MS
const DAY_MS = 24 * HOUR_MS

/** Windows of the burn rates, ms. */
export const BURN_WINDOWS = { '5m': 5 * MINUTE_MS, '30m': 30 * MINUTE_MS, '1h': HOUR_MS, '6h': 6 * HOUR_MS } as const
/** Time over which the error budget is counted, ms. */
export const BUDGET_WINDOW_MS = 30 * DAY_MS
export const RECENT_WINDOW_MS = HOUR_MS
export const DAY_WINDOW_MS = DAY_MS

/** What made a request bad. Interference names the class of the neighbour job. */
export const badCauseSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('queueing') }),
  z.strictObject({ kind: z.literal('interference'), jobClass: z.string() }),
  z.strictObject({ kind: z.literal('failure') }),
  z.strictObject({ kind: z.literal('drain') }),
  z.strictObject({ kind: z.literal('shedding') }),
  /** Late, and no measurement explains why. */
  z.strictObject({ kind: z.literal('unattributed') })
])
export type BadCause = z.infer<typeof badCauseSchema>

export const evictionCauseSchema = z.enum(['interference', 'capacity', 'drain', 'priority', 'quota'])

const count = z.number().nonnegative()
const goodBad = z.strictObject({ good: count, bad: count })
const windowed = z.strictObject({ lastHour: count, lastDay: count })

const serviceSummarySchema = z.strictObject({
  service: z.string(),
  windows: z.strictObject({ '5m': goodBad, '30m': goodBad, '1h': goodBad, '6h': goodBad, budget: goodBad }),
  causes: z.array(z.strictObject({ cause: badCauseSchema, lastHour: count, budget: count })),
  /** Counts by latency bucket over the last hour. */
  latency: z.array(count)
})

const evictionRowSchema = z.strictObject({
  member: z.string(),
  cause: evictionCauseSchema,
  /** Empty when no member caused it. */
  causingMember: z.string(),
  ...windowed.shape
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
  succeeded: windowed,
  failed: windowed,
  cancelled: windowed,
  refused: windowed,
  unknown: windowed,
  coreHours: windowed
})

/** One host's counts. All values are sums, so that summaries of several hosts can be added. */
export const reportSummarySchema = z.strictObject({
  hosts: z.array(z.string()),
  /** How long the host with the longest run has been counting, ms. */
  coveredMs: z.number(),
  services: z.array(serviceSummarySchema),
  evictions: z.array(evictionRowSchema),
  recentEvictions: z.array(recentEvictionSchema),
  batch: z.array(batchRowSchema)
})
export type ReportSummary = z.infer<typeof reportSummarySchema>
export type ServiceSummary = z.infer<typeof serviceSummarySchema>
export type BatchRow = z.infer<typeof batchRowSchema>

const rate = z.number().nullable()

const alertSchema = z.strictObject({
  fires: z.boolean(),
  shortWindow: z.string(),
  longWindow: z.string(),
  /** Both burn rates must reach it. */
  threshold: z.number()
})

const serviceReportSchema = z.strictObject({
  service: z.string(),
  member: z.string(),
  objective: z.strictObject({ latencyMs: z.number(), quantile: z.number(), target: z.number() }),
  /** Requests in the budget window. */
  good: count,
  bad: count,
  /** Part of the budget that is left; 1 is all, below 0 the objective is missed. Null without requests. */
  budgetRemaining: rate,
  /** Multiples of the rate that uses up the budget exactly. Null without requests in the window. */
  burnRates: z.strictObject({ '5m': rate, '30m': rate, '1h': rate, '6h': rate }),
  alerts: z.strictObject({ page: alertSchema, ticket: alertSchema }),
  latencyMs: z.strictObject({ p50: rate, p99: rate, p999: rate }),
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
