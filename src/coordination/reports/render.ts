import { burnReportSchema, type BurnReport } from './schemas.js'
import { describeReport, formatCell, listTables, type ReportTable } from './tables.js'

export function renderReportJson (report: BurnReport): string {
  return JSON.stringify(burnReportSchema.parse(report), null, 2)
}

export function renderReportText (report: BurnReport): string {
  return [describeReport(report), ...listTables(report).map(renderTable)].join('\n\n') + '\n'
}

function renderTable ({ title, columns, rows, emptyText: empty }: ReportTable): string {
  if (rows.length === 0) return `${title}\n${empty}`
  const lines = [columns, ...rows].map((row) => row.map(formatCell))
  const widths = columns.map((_, column) => Math.max(...lines.map((line) => line[column]!.length)))
  const texts = lines.map((line) => line.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd())
  return [title, ...texts].join('\n')
}
