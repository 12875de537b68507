export { computeBurnReport, mergeSummaries } from './burnReport.js'
export {
  createReportRecorder, OTHER_GROUP,
  type BatchEndRecord, type EvictionRecord, type ReportRecorder, type ReportRecorderOptions, type RequestRecord
} from './recorder.js'
export { renderReportJson, renderReportText } from './render.js'
export type { BarChart } from './charts.js'
export { renderPage, renderReportHtml, type Page } from './renderHtml.js'
export { formatNumber, formatShare, type ReportTable } from './tables.js'
export {
  badCauseSchema, burnReportSchema, reportSummarySchema,
  type BadCause, type BurnReport, type ReportSummary, type ServiceReport
} from './schemas.js'
