import type { EChartsCoreOption } from 'echarts/core'
import type { BurnReport, ServiceReport } from './schemas.js'
import { encodeCause } from './causes.js'
import { formatCell } from './tables.js'

/** A bar chart with one group of bars for each category. */
export interface BarChart {
  title: string
  unit: string
  categories: string[]
  series: Array<{ name: string, values: number[] }>
  stacked: boolean
}

const WIDTH = 860
const BAR_HEIGHT = 22
const FRAME_HEIGHT = 110
const LABEL_WIDTH = 160
/** The tables are complete; a chart shows the largest values only, so that it fits on a screen. */
const MAX_CATEGORIES = 25
const MAX_CAUSES = 8

/** Draws charts as static SVG, those without categories left out. The library is loaded on the first call, since it takes about 40 MB. */
export async function renderBarCharts (all: readonly BarChart[]): Promise<string[]> {
  const charts = all.filter((chart) => chart.categories.length > 0)
  if (charts.length === 0) return []
  const [{ init, use }, { BarChart }, { GridComponent, LegendComponent, TitleComponent }, { SVGRenderer }] = await Promise.all([
    import('echarts/core'), import('echarts/charts'), import('echarts/components'), import('echarts/renderers')
  ])
  use([BarChart, GridComponent, LegendComponent, TitleComponent, SVGRenderer])
  return charts.map((chart) => {
    const drawing = init(null, null, { renderer: 'svg', ssr: true, width: WIDTH, height: computeHeight(chart) })
    drawing.setOption(createOption(chart))
    const svg = drawing.renderToSVGString()
    drawing.dispose()
    return svg
  })
}

export function listCharts (report: BurnReport): BarChart[] {
  return [createBurnChart(report), createCauseChart(report), createEvictionChart(report), createBatchChart(report)]
}

function createBurnChart ({ services }: BurnReport): BarChart {
  const burning = chooseLargest(services.filter(({ good, bad }) => good + bad > 0), ({ burnRates }) => burnRates['1h'] ?? 0)
  return {
    title: 'Burn rate by window',
    unit: 'times the sustainable rate',
    categories: burning.map(({ service }) => service),
    series: (['5m', '1h', '30m', '6h'] as const).map((name) => ({ name, values: burning.map(({ burnRates }) => burnRates[name] ?? 0) })),
    stacked: false
  }
}

function createCauseChart ({ services }: BurnReport): BarChart {
  const wasteful = chooseLargest(services.filter(({ causes }) => causes.length > 0), ({ bad }) => bad)
  const sums = new Map<string, number>()
  wasteful.forEach(({ causes }) => causes.forEach(({ cause, budget }) =>
    sums.set(encodeCause(cause), (sums.get(encodeCause(cause)) ?? 0) + budget)))
  const names = [...sums].sort(([, a], [, b]) => b - a).map(([name]) => name).slice(0, MAX_CAUSES)
  const sumOf = (service: ServiceReport, isWanted: (name: string) => boolean): number => service.causes
    .filter(({ cause }) => isWanted(encodeCause(cause)))
    .reduce((sum, { budget }) => sum + budget, 0)
  const series = names.map((name) => ({ name, values: wasteful.map((service) => sumOf(service, (other) => other === name)) }))
  const rest = { name: 'all others', values: wasteful.map((service) => sumOf(service, (other) => !names.includes(other))) }
  return {
    title: 'What took the budget in 30 days',
    unit: 'bad requests',
    categories: wasteful.map(({ service }) => service),
    series: sums.size > names.length ? [...series, rest] : series,
    stacked: true
  }
}

function createEvictionChart ({ evictions }: BurnReport): BarChart {
  const countOf = (member: string, isWanted: (byRival: boolean) => boolean): number => evictions.rows
    .filter((row) => row.member === member && isWanted(row.byRival))
    .reduce((sum, row) => sum + row.lastDay, 0)
  const members = chooseLargest([...new Set(evictions.rows.map(({ member }) => member))], (member) => countOf(member, () => true))
  return {
    title: 'Evictions in 24 h by evicted member',
    unit: 'tasks',
    categories: members,
    series: [
      { name: 'caused by a rival', values: members.map((member) => countOf(member, (byRival) => byRival)) },
      { name: 'other', values: members.map((member) => countOf(member, (byRival) => !byRival)) }
    ],
    stacked: true
  }
}

function createBatchChart ({ batch }: BurnReport): BarChart {
  const rows = chooseLargest(batch, ({ succeeded }) => succeeded.lastDay)
  return {
    title: 'Batch tasks succeeded',
    unit: 'tasks',
    categories: rows.map(({ member }) => member),
    series: [
      { name: 'in 24 h', values: rows.map(({ succeeded }) => succeeded.lastDay) },
      { name: 'in 1 h', values: rows.map(({ succeeded }) => succeeded.lastHour) }
    ],
    stacked: false
  }
}

function chooseLargest<T> (items: T[], measure: (item: T) => number): T[] {
  return [...items].sort((a, b) => measure(b) - measure(a)).slice(0, MAX_CATEGORIES)
}

function computeHeight ({ categories, series, stacked }: BarChart): number {
  return FRAME_HEIGHT + categories.length * BAR_HEIGHT * (stacked ? 1 : Math.max(1, series.length / 2))
}

function createOption ({ title, unit, categories, series, stacked }: BarChart): EChartsCoreOption {
  return {
    animation: false,
    title: { text: title, left: 'left', top: 0, padding: 0, textStyle: { fontSize: 14 } },
    legend: { left: LABEL_WIDTH, top: 26, type: 'plain' },
    grid: { left: LABEL_WIDTH, right: 24, top: 60, bottom: 44 },
    xAxis: { type: 'value', name: unit, nameLocation: 'middle', nameGap: 26 },
    yAxis: { type: 'category', inverse: true, data: categories.map(formatCell), axisLabel: { width: LABEL_WIDTH - 12, overflow: 'truncate' } },
    series: series.map(({ name, values }) => ({ type: 'bar', name: formatCell(name), data: values, stack: stacked ? 'all' : undefined }))
  }
}
