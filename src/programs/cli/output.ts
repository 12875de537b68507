import type { ClientFailure } from './client.js'

/** Exit codes of the command line; docs/OPERATIONS.md lists them. */
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

/** Renders a list as a table and an object as one line per key. */
export function renderValue (value: unknown): string {
  if (Array.isArray(value)) return value.length === 0 ? 'none' : renderTable(value as Array<Record<string, unknown>>)
  if (typeof value !== 'object' || value === null) return String(value)
  const entries = Object.entries(value)
  const width = Math.max(...entries.map(([key]) => key.length))
  return entries.map(([key, field]) => `${key.padEnd(width)}  ${formatCell(field)}`).join('\n')
}

interface ShownExplanation {
  at: number
  repeated: number
  decision: string
  task?: string
  worker?: string
  reason: {
    summary: string
    figures: Array<{ name: string, value: number, unit: string, ageMs: number }>
    alternatives: Array<{ worker: string, score: number, rejectedBecause: string }>
    preset: string
    revision: number
  }
}

/** Renders decisions in the given order, each with its figures, their age and the rejected alternatives. */
export function renderExplanations (explanations: ShownExplanation[]): string {
  return explanations.length === 0 ? 'no decisions' : explanations.map(renderExplanation).join('\n')
}

function renderExplanation ({ at, repeated, decision, task, worker, reason }: ShownExplanation): string {
  const subject = [decision, task, worker === undefined ? undefined : `on ${worker}`].filter((part) => part !== undefined).join(' ')
  const times = repeated > 1 ? `, ${repeated} times` : ''
  const figures = reason.figures.map(({ name, value, unit, ageMs }) =>
    `    ${name}: ${formatNumber(value)} ${unit}${ageMs > 0 ? `, ${formatNumber(ageMs)} ms old` : ''}`)
  const alternatives = reason.alternatives.map(({ worker: other, score, rejectedBecause }) =>
    `    not ${other} (score ${formatNumber(score)}): ${rejectedBecause}`)
  return [
    `${(at / 1000).toFixed(1)} s  ${subject}${times}: ${reason.summary} (preset ${reason.preset}, revision ${reason.revision})`,
    ...figures,
    ...alternatives
  ].join('\n')
}

interface ShownHosts { leader: string | null, term: number, commitIndex: number, survivableLosses: number, hosts: Array<Record<string, unknown>> }

/** Renders the entry hosts, the leader, and how many more voters may fail without a loss of the majority. */
export function renderHosts ({ leader, term, commitIndex, survivableLosses, hosts }: ShownHosts): string {
  return `${renderTable(hosts)}\n\nleader ${leader ?? 'none'}, term ${term}, log committed up to ${commitIndex}, ${survivableLosses} more voter(s) may be lost`
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

function formatNumber (value: number): string {
  return Number(value.toPrecision(4)).toString()
}
