import type { EChartsCoreOption } from 'echarts/core'
import type { BurnReport, ServiceReport } from './schemas.js'
import { formatCause } from './causes.js'
import { formatCell } from './tables.js'

/** A chart of horizontal bars: for each category, one bar of each series, or one bar of all series stacked. */
export interface BarChart {
  title: string
  unit: string
  categories: string[]
  series: Array<{ name: string, values: number[] }>
  stacked: boolean
}

const WIDTH_PX = 860
const BAR_HEIGHT_PX = 22
/** Height of title, legend and axis. */
const FRAME_HEIGHT_PX = 110
const LABEL_WIDTH_PX = 160
/** A chart shows only the largest values, so that it fits on a screen; the tables are complete. */
const MAX_CATEGORIES = 25
const MAX_CAUSES = 8

/** Renders charts as static SVG, except those without categories. The chart library is loaded on the first call, because it takes about 40 MB. */
export async function renderBarCharts (all: readonly BarChart[]): Promise<string[]> {
  const charts = all.filter((chart) => chart.categories.length > 0)
  if (charts.length === 0) return []
  const [{ init, use }, { BarChart }, { GridComponent, LegendComponent, TitleComponent }, { SVGRenderer }] = await Promise.all([
    import('echarts/core'), import('echarts/charts'), import('echarts/components'), import('echarts/renderers')
  ])
  use([BarChart, GridComponent, LegendComponent, TitleComponent, SVGRenderer])
  return charts.map((chart) => {
    const instance = init(null, null, { renderer: 'svg', ssr: true, width: WIDTH_PX, height: computeHeight(chart) })
    instance.setOption(createOption(chart))
    const svg = instance.renderToSVGString()
    instance.dispose()
    return svg
  })
}

export function listCharts (report: BurnReport): BarChart[] {
  return [createBurnChart(report), createCauseChart(report), createEvictionChart(report), createBatchChart(report)]
}

function createBurnChart ({ services }: BurnReport): BarChart {
  const servicesWithRequests = chooseLargest(services.filter(({ good, bad }) => good + bad > 0), ({ burnRates }) => burnRates['1h'] ?? 0)
  return {
    title: 'Burn rate by window',
    unit: 'times the sustainable rate',
    categories: servicesWithRequests.map(({ service }) => service),
    series: (['5m', '1h', '30m', '6h'] as const).map((name) => ({ name, values: servicesWithRequests.map(({ burnRates }) => burnRates[name] ?? 0) })),
    stacked: false
  }
}

function createCauseChart ({ services }: BurnReport): BarChart {
  const servicesWithBadRequests = chooseLargest(services.filter(({ causes }) => causes.length > 0), ({ bad }) => bad)
  const sums = new Map<string, number>()
  servicesWithBadRequests.forEach(({ causes }) => causes.forEach(({ cause, budget }) =>
    sums.set(formatCause(cause), (sums.get(formatCause(cause)) ?? 0) + budget)))
  const names = [...sums].sort(([, a], [, b]) => b - a).map(([name]) => name).slice(0, MAX_CAUSES)
  const sumBudget = (service: ServiceReport, matches: (name: string) => boolean): number => service.causes
    .filter(({ cause }) => matches(formatCause(cause)))
    .reduce((sum, { budget }) => sum + budget, 0)
  const series = names.map((name) => ({ name, values: servicesWithBadRequests.map((service) => sumBudget(service, (other) => other === name)) }))
  const otherCauses = { name: 'all others', values: servicesWithBadRequests.map((service) => sumBudget(service, (other) => !names.includes(other))) }
  return {
    title: 'What took the budget in 30 days',
    unit: 'bad requests',
    categories: servicesWithBadRequests.map(({ service }) => service),
    series: sums.size > names.length ? [...series, otherCauses] : series,
    stacked: true
  }
}

function createEvictionChart ({ evictions }: BurnReport): BarChart {
  const countEvictions = (member: string, matches: (byRival: boolean) => boolean): number => evictions.rows
    .filter((row) => row.member === member && matches(row.byRival))
    .reduce((sum, row) => sum + row.lastDay, 0)
  const members = chooseLargest([...new Set(evictions.rows.map(({ member }) => member))], (member) => countEvictions(member, () => true))
  return {
    title: 'Evictions in 24 h by evicted member',
    unit: 'tasks',
    categories: members,
    series: [
      { name: 'caused by a rival', values: members.map((member) => countEvictions(member, (byRival) => byRival)) },
      { name: 'other', values: members.map((member) => countEvictions(member, (byRival) => !byRival)) }
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

/** The `MAX_CATEGORIES` items with the largest measure, in descending order. */
function chooseLargest<T> (items: T[], measure: (item: T) => number): T[] {
  return [...items].sort((a, b) => measure(b) - measure(a)).slice(0, MAX_CATEGORIES)
}

function computeHeight ({ categories, series, stacked }: BarChart): number {
  return FRAME_HEIGHT_PX + categories.length * BAR_HEIGHT_PX * (stacked ? 1 : Math.max(1, series.length / 2))
}

function createOption ({ title, unit, categories, series, stacked }: BarChart): EChartsCoreOption {
  return {
    animation: false,
    title: { text: title, left: 'left', top: 0, padding: 0, textStyle: { fontSize: 14 } },
    legend: { left: LABEL_WIDTH_PX, top: 26, type: 'plain' },
    grid: { left: LABEL_WIDTH_PX, right: 24, top: 60, bottom: 44 },
    xAxis: { type: 'value', name: unit, nameLocation: 'middle', nameGap: 26 },
    yAxis: { type: 'category', inverse: true, data: categories.map(formatCell), axisLabel: { width: LABEL_WIDTH_PX - 12, overflow: 'truncate' } },
    series: series.map(({ name, values }) => ({ type: 'bar', name: formatCell(name), data: values, stack: stacked ? 'all' : undefined }))
  }
}
