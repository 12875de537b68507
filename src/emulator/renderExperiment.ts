import { formatNumber, formatShare, renderPage, type BarChart, type ReportTable } from '../coordination/reports/index.js'
import type { VariantOutcome } from './experiment.js'

const MAX_SHOWN_SEEDS = 10

/** The figures of an experiment as cells, by column. */
export function listRows (outcomes: readonly VariantOutcome[]): Array<Record<string, string>> {
  return outcomes.map(({ variant, plays, longestMs, brokenSeeds, harmedShare, batches, onTime, stops }) => ({
    variant,
    plays: String(plays),
    'longest over target ms': String(longestMs),
    'seeds over the bound': brokenSeeds.length === 0 ? '-' : `${brokenSeeds.slice(0, MAX_SHOWN_SEEDS).join(' ')}${brokenSeeds.length > MAX_SHOWN_SEEDS ? ' ...' : ''}`,
    'over target': formatShare(harmedShare),
    'batches on time': formatShare(batches === 0 ? null : onTime / batches),
    'stops per batch': formatNumber(batches === 0 ? null : stops / batches)
  }))
}

/** One page with the table of an experiment and a chart for each figure. */
export function renderExperimentHtml (outcomes: readonly VariantOutcome[]): Promise<string> {
  const createChart = (title: string, unit: string, get: (outcome: VariantOutcome) => number): BarChart => ({
    title, unit, categories: outcomes.map(({ variant }) => variant), series: [{ name: title, values: outcomes.map(get) }], stacked: false
  })
  const rows = listRows(outcomes)
  const table: ReportTable = { title: 'Variants', columns: Object.keys(rows[0] ?? {}), rows: rows.map((row) => Object.values(row)), emptyText: 'no variants' }
  return renderPage({
    title: 'sequoiadrift experiment',
    summary: `${outcomes.length} variant(s), each with the same seeds, in virtual time`,
    charts: [
      createChart('Services over their targets beside batch work', '% of their time', ({ harmedShare }) => 100 * harmedShare),
      createChart('Longest time over the target on end', 'ms', ({ longestMs }) => longestMs),
      createChart('Batches on time', '%', ({ batches, onTime }) => 100 * onTime / Math.max(1, batches))
    ],
    tables: [table]
  })
}
