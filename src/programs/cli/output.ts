import type { ClientFailure } from './client.js'

/** Exit codes of the command line; docs/operations.md lists them. */
export const EXIT_CODES = { success: 0, refused: 1, usage: 2, noAnswer: 3, outcomeUnknown: 4 } as const

const UNKNOWN_OUTCOMES = new Set(['outcome-unknown', 'unknown'])

/** Renders rows as a table of aligned columns. */
export function renderTable (rows: Array<Record<string, unknown>>): string {
  const columns = [...new Set(rows.flatMap((row) => Object.keys(row)))]
  const cells = [columns, ...rows.map((row) => columns.map((column) => formatCell(row[column])))]
  const widths = columns.map((_, index) => Math.max(...cells.map((line) => line[index]?.length ?? 0)))
  return cells
    .map((line) => line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  ').trimEnd())
    .join('\n')
}

/** Renders a list as a table and one object as lines of key and value. */
export function renderValue (value: unknown): string {
  if (Array.isArray(value)) return value.length === 0 ? 'none' : renderTable(value as Array<Record<string, unknown>>)
  if (typeof value !== 'object' || value === null) return String(value)
  const entries = Object.entries(value)
  const width = Math.max(...entries.map(([key]) => key.length))
  return entries.map(([key, field]) => `${key.padEnd(width)}  ${formatCell(field)}`).join('\n')
}

export function describeClientFailure (failure: ClientFailure): string {
  const describe: { [K in ClientFailure['kind']]: (f: Extract<ClientFailure, { kind: K }>) => string } = {
    'no-answer': (f) => ['no entry host answered:', ...f.tried.map(({ endpoint, message }) => `  ${endpoint}: ${message}`)].join('\n'),
    refused: (f) => `${f.error.kind}: ${f.error.message}`,
    'invalid-client-settings': (f) => `${f.file}: ${f.message}`
  }
  return (describe[failure.kind] as (f: ClientFailure) => string)(failure)
}

export function getExitCode (failure: ClientFailure): number {
  if (failure.kind === 'no-answer') return EXIT_CODES.noAnswer
  if (failure.kind === 'invalid-client-settings') return EXIT_CODES.usage
  return UNKNOWN_OUTCOMES.has(failure.error.kind) ? EXIT_CODES.outcomeUnknown : EXIT_CODES.refused
}

function formatCell (value: unknown): string {
  if (value === undefined || value === null) return '-'
  if (typeof value === 'object') return JSON.stringify(value)
  return String(value)
}
