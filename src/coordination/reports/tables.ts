import { formatCause } from './causes.js'
import type { BatchRow, BurnReport, ServiceReport } from './schemas.js'

/** A table of a report, shown alike in text and HTML; `emptyText` is shown if there are no rows. */
export interface ReportTable { title: string, columns: string[], rows: string[][], emptyText: string }

const MS_PER_MINUTE = 60_000

/** docs/reports.md explains every column. */
export function listTables (report: BurnReport): ReportTable[] {
  return [
    createObjectiveTable(report.services),
    createCauseTable(report.services),
    createEvictionTable(report),
    createBatchTable(report.batch)
  ]
}

export function describeReport ({ hosts, coveredMs, services, evictions }: BurnReport): string {
  const alerts = services.filter(({ alerts }) => alerts.page.fires || alerts.ticket.fires).length
  return `${hosts.length} host(s), counting for ${Math.floor(coveredMs / MS_PER_MINUTE)} min; ` +
    `${alerts} service(s) with an alert; ${evictions.lastDay} eviction(s) in 24 h, ${evictions.lastDayByRivals} caused by rivals`
}

/** Replaces control characters, which must not reach a terminal or a page, by question marks. */
export function formatCell (value: string): string {
  return [...value].map((character) => character < ' ' || character === '\u007f' ? '?' : character).join('')
}

export function formatNumber (value: number | null, digits = 2): string {
  if (value === null) return '-'
  return Number.isInteger(value) ? String(value) : value.toFixed(digits)
}

export function formatShare (value: number | null): string {
  return value === null ? '-' : `${(value * 100).toFixed(1)}%`
}

function createObjectiveTable (services: ServiceReport[]): ReportTable {
  return {
    title: 'Service objectives',
    columns: ['service', 'member', 'objective', 'good', 'bad', 'budget left', 'burn 5m', 'burn 1h', 'burn 30m', 'burn 6h', 'p50 ms', 'p99 ms', 'p999 ms', 'alert'],
    rows: services.map(({ service, member, objective, good, bad, budgetRemaining, burnRates, latencyMs, alerts }) => [
      service,
      member,
      `${formatShare(objective.target)} in ${objective.latencyMs} ms`,
      String(good),
      String(bad),
      formatShare(budgetRemaining),
      formatNumber(burnRates['5m']),
      formatNumber(burnRates['1h']),
      formatNumber(burnRates['30m']),
      formatNumber(burnRates['6h']),
      formatNumber(latencyMs.p50),
      formatNumber(latencyMs.p99),
      formatNumber(latencyMs.p999),
      formatAlert(alerts)
    ]),
    emptyText: 'no services'
  }
}

function createCauseTable (services: ServiceReport[]): ReportTable {
  return {
    title: 'What took the budget',
    columns: ['service', 'cause', 'bad 1h', 'bad 30d', 'share'],
    rows: services.flatMap(({ service, causes }) => causes.map(({ cause, lastHour, budget, share }) =>
      [service, formatCause(cause), String(lastHour), String(budget), formatShare(share)])),
    emptyText: 'no bad requests'
  }
}

function createEvictionTable ({ evictions }: BurnReport): ReportTable {
  return {
    title: 'Evictions',
    columns: ['member', 'cause', 'causing member', 'rival', '1h', '24h'],
    rows: evictions.rows.map(({ member, cause, causingMember, byRival, lastHour, lastDay }) =>
      [member, cause, causingMember || '-', byRival ? 'RIVAL' : '', String(lastHour), String(lastDay)]),
    emptyText: 'no evictions in 24 h'
  }
}

function createBatchTable (batch: BatchRow[]): ReportTable {
  return {
    title: 'Batch throughput',
    columns: ['member', 'succeeded 1h', 'succeeded 24h', 'failed 24h', 'cancelled 24h', 'refused 24h', 'unknown 24h', 'core-hours 1h', 'core-hours 24h'],
    rows: batch.map(({ member, succeeded, failed, cancelled, refused, unknown, coreHours }) => [
      member,
      String(succeeded.lastHour),
      ...[succeeded, failed, cancelled, refused, unknown].map(({ lastDay }) => String(lastDay)),
      formatNumber(coreHours.lastHour),
      formatNumber(coreHours.lastDay)
    ]),
    emptyText: 'no tasks ended in 24 h'
  }
}

function formatAlert ({ page, ticket }: ServiceReport['alerts']): string {
  if (page.fires) return 'PAGE'
  return ticket.fires ? 'TICKET' : ''
}
