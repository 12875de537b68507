import { formatNumber, formatShare, renderPage, type BarChart, type ReportTable } from '../coordination/reports/index.js'
import type { VariantOutcome } from './experiment.js'

const MAX_SHOWN_SEEDS = 10

/** Table rows of an experiment, one for each variant; the keys are the column titles. */
export function listRows (outcomes: readonly VariantOutcome[]): Array<Record<string, string>> {
  return outcomes.map(({ variant, runs, longestOverTargetMs, violatingSeeds, overTargetShare, batches, onTime, stops }) => ({
    variant,
    plays: String(runs),
    'longest over target ms': String(longestOverTargetMs),
    'seeds over the bound': violatingSeeds.length === 0 ? '-' : `${violatingSeeds.slice(0, MAX_SHOWN_SEEDS).join(' ')}${violatingSeeds.length > MAX_SHOWN_SEEDS ? ' ...' : ''}`,
    'over target': formatShare(overTargetShare),
    'batches on time': formatShare(batches === 0 ? null : onTime / batches),
    'stops per batch': formatNumber(batches === 0 ? null : stops / batches)
  }))
}

/** Renders an HTML page with the table of an experiment and three charts that compare its variants. */
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
      createChart('Services over their targets beside batch work', '% of their time', ({ overTargetShare }) => 100 * overTargetShare),
      createChart('Longest continuous time over the target', 'ms', ({ longestOverTargetMs }) => longestOverTargetMs),
      createChart('Batches on time', '%', ({ batches, onTime }) => 100 * onTime / Math.max(1, batches))
    ],
    tables: [table]
  })
}
