export { computeBurnReport, mergeSummaries } from './burnReport.js'
export {
  createReportRecorder, OTHER,
  type BatchEndRecord, type EvictionRecord, type ReportRecorder, type ReportRecorderOptions, type RequestRecord
} from './recorder.js'
export { renderReportJson, renderReportText } from './render.js'
export { renderReportHtml } from './renderHtml.js'
export {
  badCauseSchema, burnReportSchema, reportSummarySchema,
  type BadCause, type BurnReport, type ReportSummary, type ServiceReport
} from './schemas.js'
