import type { EChartsCoreOption } from 'echarts/core'
import type { BurnReport } from './schemas.js'
import { encodeCause, isByRival } from './causes.js'
import { formatCell } from './tables.js'

/** A bar chart with one group of bars for each category. */
interface BarChart {
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

/** Draws the report's charts as static SVG. The library is loaded on the first call, since it takes about 40 MB. */
export async function renderCharts (report: BurnReport): Promise<string[]> {
  const charts = listCharts(report).filter((chart) => chart.categories.length > 0)
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

function listCharts ({ services, evictions, batch }: BurnReport): BarChart[] {
  const causes = [...new Set(services.flatMap((service) => service.causes.map(({ cause }) => encodeCause(cause))))]
  const burning = services.filter(({ good, bad }) => good + bad > 0)
  const wasteful = services.filter((service) => service.causes.length > 0)
  const members = [...new Set(evictions.rows.map(({ member }) => member))]
  const countEvictions = (member: string, rival: boolean): number => evictions.rows
    .filter((row) => row.member === member && isByRival(row) === rival)
    .reduce((sum, row) => sum + row.lastDay, 0)
  return [
    {
      title: 'Burn rate by window',
      unit: 'times the sustainable rate',
      categories: burning.map(({ service }) => service),
      series: (['5m', '1h', '30m', '6h'] as const).map((name) => ({ name, values: burning.map(({ burnRates }) => burnRates[name] ?? 0) })),
      stacked: false
    },
    {
      title: 'What took the budget in 30 days',
      unit: 'bad requests',
      categories: wasteful.map(({ service }) => service),
      series: causes.map((name) => ({
        name,
        values: wasteful.map((service) => service.causes.find(({ cause }) => encodeCause(cause) === name)?.budget ?? 0)
      })),
      stacked: true
    },
    {
      title: 'Evictions in 24 h by evicted member',
      unit: 'tasks',
      categories: members,
      series: [
        { name: 'caused by a rival', values: members.map((member) => countEvictions(member, true)) },
        { name: 'other', values: members.map((member) => countEvictions(member, false)) }
      ],
      stacked: true
    },
    {
      title: 'Batch tasks succeeded',
      unit: 'tasks',
      categories: batch.map(({ member }) => member),
      series: [{ name: 'in 24 h', values: batch.map(({ succeeded }) => succeeded.lastDay) }, { name: 'in 1 h', values: batch.map(({ succeeded }) => succeeded.lastHour) }],
      stacked: false
    }
  ]
}

function computeHeight ({ categories, series, stacked }: BarChart): number {
  return FRAME_HEIGHT + categories.length * BAR_HEIGHT * (stacked ? 1 : Math.max(1, series.length / 2))
}

function createOption ({ title, unit, categories, series, stacked }: BarChart): EChartsCoreOption {
  return {
    animation: false,
    title: { text: title, textStyle: { fontSize: 14 } },
    legend: { top: 22, type: 'plain' },
    grid: { left: LABEL_WIDTH, right: 24, top: 56, bottom: 44 },
    xAxis: { type: 'value', name: unit, nameLocation: 'middle', nameGap: 26 },
    yAxis: { type: 'category', inverse: true, data: categories.map(formatCell), axisLabel: { width: LABEL_WIDTH - 12, overflow: 'truncate' } },
    series: series.map(({ name, values }) => ({ type: 'bar', name: formatCell(name), data: values, stack: stacked ? 'all' : undefined }))
  }
}
