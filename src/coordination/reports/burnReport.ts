import type { Service } from '../../state/index.js'
import { computeQuantile, mergeLatencyCounts } from './latencyHistogram.js'
import { formatCause, isCausedByRival } from './causes.js'
import type { BatchRow, BurnReport, ReportSummary, ServiceReport, ServiceSummary } from './schemas.js'

/** Burn rates at which alerts fire: they use 2% of a 30-day error budget in 1 h, and 5% in 6 h. */
const PAGE_THRESHOLD = 14.4
const TICKET_THRESHOLD = 6

/**
 * A burn rate cannot exceed 1 / (1 - target), which is below 14.4 for targets under 0.93. A threshold is limited to
 * this part of that maximum, so that the alert can fire for every target.
 */
const MAX_THRESHOLD_SHARE = 0.5

/** Bad requests in the long window that an alert requires, so that single requests do not fire it. */
const MIN_BAD_REQUESTS = 5

const MAX_RECENT_EVICTIONS = 100

/** Adds the counts of several hosts, with the same result in every order. */
export function mergeSummaries (summaries: ReportSummary[]): ReportSummary {
  return summaries.reduce(mergePair, { hosts: [], coveredMs: 0, services: [], evictions: [], recentEvictions: [], batch: [] })
}

/** Computes the report from the counts of one or several hosts. Every service in `services` has a row, even without requests. */
export function computeBurnReport (summary: ReportSummary, services: Record<string, Service>): BurnReport {
  const counts = new Map(summary.services.map((service) => [service.service, service]))
  const rows = summary.evictions.map((row) => ({ ...row, byRival: isCausedByRival(row) }))
  const sumDay = (chosen: typeof rows): number => chosen.reduce((sum, row) => sum + row.lastDay, 0)
  return {
    hosts: summary.hosts,
    coveredMs: summary.coveredMs,
    services: Object.values(services)
      .sort((a, b) => compareText(a.id, b.id))
      .map((service) => computeServiceReport(service, counts.get(service.id) ?? createEmptySummary(service.id))),
    evictions: {
      rows: rows.sort((a, b) => b.lastDay - a.lastDay || compareText(getEvictionKey(a), getEvictionKey(b))),
      lastDay: sumDay(rows),
      lastDayByRivals: sumDay(rows.filter((row) => row.byRival)),
      recent: summary.recentEvictions.map((eviction) => ({ ...eviction, byRival: isCausedByRival(eviction) }))
    },
    batch: [...summary.batch].sort((a, b) => compareText(a.member, b.member))
  }
}

function computeServiceReport (service: Service, { windows, causes, latency }: ServiceSummary): ServiceReport {
  const { objective } = service
  const allowedBadPart = 1 - objective.target
  const computeBurnRate = ({ good, bad }: { good: number, bad: number }): number | null =>
    good + bad === 0 ? null : computeRounded(bad / (good + bad) / allowedBadPart)
  const burnRates = { '5m': computeBurnRate(windows['5m']), '30m': computeBurnRate(windows['30m']), '1h': computeBurnRate(windows['1h']), '6h': computeBurnRate(windows['6h']) }
  const createAlert = (shortWindow: '5m' | '30m', longWindow: '1h' | '6h', nominalThreshold: number) => {
    const threshold = computeRounded(Math.min(nominalThreshold, MAX_THRESHOLD_SHARE / allowedBadPart))
    const isBurning = (rate: number | null): boolean => rate !== null && rate >= threshold
    const fires = isBurning(burnRates[shortWindow]) && isBurning(burnRates[longWindow]) && windows[longWindow].bad >= MIN_BAD_REQUESTS
    return { fires, shortWindow, longWindow, threshold }
  }
  const { good, bad } = windows.budget
  const budgetSpent = computeBurnRate(windows.budget)
  return {
    service: service.id,
    member: service.member,
    objective,
    good,
    bad,
    budgetRemaining: budgetSpent === null ? null : computeRounded(1 - budgetSpent),
    burnRates,
    alerts: { page: createAlert('5m', '1h', PAGE_THRESHOLD), ticket: createAlert('30m', '6h', TICKET_THRESHOLD) },
    latencyMs: { p50: computeQuantile(latency, 0.5), p99: computeQuantile(latency, 0.99), p999: computeQuantile(latency, 0.999) },
    causes: causes
      .filter(({ budget, lastHour }) => budget > 0 || lastHour > 0)
      .map((causeCount) => ({ ...causeCount, share: bad === 0 ? 0 : computeRounded(causeCount.budget / bad) }))
      .sort((a, b) => b.budget - a.budget || compareText(formatCause(a.cause), formatCause(b.cause)))
  }
}

function mergePair (first: ReportSummary, second: ReportSummary): ReportSummary {
  return {
    hosts: [...first.hosts, ...second.hosts].sort(),
    coveredMs: Math.max(first.coveredMs, second.coveredMs),
    services: mergeRows(first.services, second.services, ({ service }) => service, mergeServices),
    evictions: mergeRows(first.evictions, second.evictions, getEvictionKey, (a, b) => ({ ...a, ...addHourAndDay(a, b) })),
    recentEvictions: [...first.recentEvictions, ...second.recentEvictions]
      .sort((a, b) => b.agoMs - a.agoMs || compareText(a.task, b.task))
      .slice(-MAX_RECENT_EVICTIONS),
    batch: mergeRows(first.batch, second.batch, ({ member }) => member, mergeBatch)
  }
}

function mergeServices (a: ServiceSummary, b: ServiceSummary): ServiceSummary {
  const add = (window: keyof ServiceSummary['windows']) => ({
    good: a.windows[window].good + b.windows[window].good,
    bad: a.windows[window].bad + b.windows[window].bad
  })
  return {
    service: a.service,
    windows: { '5m': add('5m'), '30m': add('30m'), '1h': add('1h'), '6h': add('6h'), budget: add('budget') },
    causes: mergeRows(a.causes, b.causes, ({ cause }) => formatCause(cause), (x, y) =>
      ({ cause: x.cause, lastHour: x.lastHour + y.lastHour, budget: x.budget + y.budget })),
    latency: mergeLatencyCounts(a.latency, b.latency)
  }
}

function mergeBatch (a: BatchRow, b: BatchRow): BatchRow {
  return {
    member: a.member,
    succeeded: addHourAndDay(a.succeeded, b.succeeded),
    failed: addHourAndDay(a.failed, b.failed),
    cancelled: addHourAndDay(a.cancelled, b.cancelled),
    refused: addHourAndDay(a.refused, b.refused),
    unknown: addHourAndDay(a.unknown, b.unknown),
    coreHours: addHourAndDay(a.coreHours, b.coreHours)
  }
}

interface HourAndDay { lastHour: number, lastDay: number }

function addHourAndDay (a: HourAndDay, b: HourAndDay): HourAndDay {
  return { lastHour: a.lastHour + b.lastHour, lastDay: a.lastDay + b.lastDay }
}

/** Unites two lists of rows, merges rows with the same key and sorts them by key. */
function mergeRows<T> (first: T[], second: T[], getKey: (row: T) => string, merge: (a: T, b: T) => T): T[] {
  const rows = new Map(first.map((row) => [getKey(row), row]))
  second.forEach((row) => {
    const existing = rows.get(getKey(row))
    rows.set(getKey(row), existing === undefined ? row : merge(existing, row))
  })
  return [...rows].sort(([a], [b]) => compareText(a, b)).map(([, row]) => row)
}

function createEmptySummary (service: string): ServiceSummary {
  const none = { good: 0, bad: 0 }
  return { service, windows: { '5m': none, '30m': none, '1h': none, '6h': none, budget: none }, causes: [], latency: [] }
}

const getEvictionKey = ({ member, cause, causingMember }: { member: string, cause: string, causingMember: string }): string =>
  JSON.stringify([member, cause, causingMember])

/** Compares by UTF-16 code units, because the result must not depend on the locale of the host. */
function compareText (a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0
}

/** Rounds to six significant digits; further digits would only show the rounding error of 1 - target. */
function computeRounded (value: number): number {
  return Number(value.toPrecision(6))
}
