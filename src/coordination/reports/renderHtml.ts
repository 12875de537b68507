import { listCharts, renderBarCharts, type BarChart } from './charts.js'
import type { BurnReport } from './schemas.js'
import { describeReport, formatCell, listTables, type ReportTable } from './tables.js'

const STYLE = `
body { font: 14px/1.4 system-ui, sans-serif; margin: 24px auto; padding: 0 16px; max-width: 1200px; color: #222 }
table { border-collapse: collapse; margin: 0 0 24px }
th, td { border-bottom: 1px solid #ddd; padding: 3px 10px; text-align: left; white-space: nowrap }
td.mark { color: #b00020; font-weight: bold }
figure { margin: 0 0 16px }
section { overflow-x: auto }`

const HIGHLIGHTED_VALUES = new Set(['PAGE', 'TICKET', 'RIVAL'])

/** The contents of a page, from top to bottom. */
export interface Page { title: string, summary: string, charts: readonly BarChart[], tables: readonly ReportTable[] }

export function renderReportHtml (report: BurnReport): Promise<string> {
  return renderPage({ title: 'sequoiadrift report', summary: describeReport(report), charts: listCharts(report), tables: listTables(report) })
}

/** Renders a self-contained page that loads no external resources. Every text is escaped. */
export async function renderPage ({ title, summary, charts, tables }: Page): Promise<string> {
  const svgs = await renderBarCharts(charts)
  return [
    '<!doctype html>',
    '<html lang="en">',
    '<head>',
    '<meta charset="utf-8">',
    // If an escape were missing, the browser would still run no script and load no resource.
    '<meta http-equiv="Content-Security-Policy" content="default-src \'none\'; style-src \'unsafe-inline\'">',
    `<title>${encodeHtml(title)}</title>`,
    `<style>${STYLE}\n</style>`,
    '</head>',
    '<body>',
    `<h1>${encodeHtml(title)}</h1>`,
    `<p>${encodeHtml(summary)}</p>`,
    ...svgs.map((svg) => `<figure>${svg}</figure>`),
    ...tables.map(renderTable),
    '</body>',
    '</html>',
    ''
  ].join('\n')
}

function renderTable ({ title, columns, rows, emptyText: empty }: ReportTable): string {
  const heading = `<h2>${encodeHtml(title)}</h2>`
  if (rows.length === 0) return `<section>${heading}<p>${encodeHtml(empty)}</p></section>`
  const head = columns.map((column) => `<th>${encodeHtml(column)}</th>`).join('')
  const body = rows.map((row) => `<tr>${row.map(renderCell).join('')}</tr>`)
  return [`<section>${heading}<table>`, `<thead><tr>${head}</tr></thead>`, '<tbody>', ...body, '</tbody></table></section>'].join('\n')
}

function renderCell (value: string): string {
  return `<td${HIGHLIGHTED_VALUES.has(value) ? ' class="mark"' : ''}>${encodeHtml(value)}</td>`
}

const ENTITIES: Record<string, string> = { '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', "'": '&#39;' }

function encodeHtml (text: string): string {
  return formatCell(text).replace(/[&<>"']/g, (character) => ENTITIES[character]!)
}
