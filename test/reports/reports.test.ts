import { expect, test } from 'vitest'
import { createManualClock, type ManualClock } from '../../src/common/index.js'
import {
  burnReportSchema, computeBurnReport, createReportRecorder, mergeSummaries, renderReportHtml, renderReportJson, renderReportText,
  reportSummarySchema, type ReportRecorder, type RequestRecord
} from '../../src/coordination/reports/index.js'
import { serviceSchema, type Service } from '../../src/state/index.js'

const MINUTE = 60_000
const HOUR = 60 * MINUTE

function createService (id: string, target = 0.99, member = 'parish'): Service {
  return serviceSchema.parse({ id, member, objective: { latencyMs: 50, target } })
}

function createServices (...services: Service[]): Record<string, Service> {
  return Object.fromEntries(services.map((service) => [service.id, service]))
}

function createRecorder (clock: ManualClock, services = createServices(createService('desk')), self = 'h1'): ReportRecorder {
  return createReportRecorder({ self, clock, getServices: () => services })
}

function recordMany (recorder: ReportRecorder, count: number, record: Partial<RequestRecord> = {}): void {
  Array.from({ length: count }).forEach(() =>
    recorder.recordRequest({ service: 'desk', member: 'parish', latencyMs: 10, outcome: 'answered', ...record }))
}

const overObjective = { latencyMs: 51 }

test('a request counts in each burn-rate window until the window has passed, and no longer', async () => {
  const clock = createManualClock()
  const recorder = createRecorder(clock)
  recordMany(recorder, 10, overObjective)
  const rates: Array<[number, Record<string, number | null>]> = []
  for (const minutes of [0, 4.5, 5, 29.5, 30, 59.5, 60, 359.5, 360]) {
    await clock.advance(minutes * MINUTE - clock.now())
    rates.push([minutes, recorder.createBurnReport(clock.now()).services[0]!.burnRates])
  }
  expect(rates).toMatchSnapshot()
})

test('a request with a latency at the objective is good, one just above it is bad', () => {
  const clock = createManualClock()
  const recorder = createRecorder(clock)
  recordMany(recorder, 1, { latencyMs: 50 })
  recordMany(recorder, 1, { latencyMs: 50.001 })
  expect(recorder.createBurnReport(0).services[0]).toMatchObject({ good: 1, bad: 1 })
})

// A burn rate of 0 would show a service as healthy that no request has reached.
test('a service without requests has a row without burn rates, remaining budget or alerts', () => {
  const recorder = createRecorder(createManualClock())
  expect(recorder.createBurnReport(0).services).toMatchSnapshot()
  expect(renderReportText(recorder.createBurnReport(0))).toMatchSnapshot()
})

// The burn rate of a target of 0.8 is 5 at most, so an alert with the threshold 14.4 could never fire for it.
test('both alerts fire when all requests are bad, even for a target whose burn rate cannot reach 14.4', () => {
  const services = createServices(createService('desk'), createService('loose', 0.8))
  const recorder = createRecorder(createManualClock(), services)
  recordMany(recorder, 5, { outcome: 'failed' })
  recordMany(recorder, 5, { outcome: 'unknown', service: 'loose' })
  const rows = recorder.createBurnReport(0).services
  expect(rows.map(({ service, alerts, budgetRemaining, burnRates }) => ({ service, alerts, budgetRemaining, burnRates }))).toMatchSnapshot()
})

// Otherwise a burst that has ended would keep an alert firing, and a few bad requests of an idle service would start one.
test('an alert fires only after 5 bad requests, and only while the burn rates of both of its windows are high', async () => {
  const clock = createManualClock()
  const recorder = createRecorder(clock)
  recordMany(recorder, 4, overObjective)
  expect(recorder.createBurnReport(clock.now()).services[0]!.alerts.page.fires).toBe(false)
  recordMany(recorder, 1, overObjective)
  expect(recorder.createBurnReport(clock.now()).services[0]!.alerts.page.fires).toBe(true)
  await clock.advance(6 * MINUTE)
  recordMany(recorder, 20)
  expect(recorder.createBurnReport(clock.now()).services[0]).toMatchObject({
    burnRates: { '5m': 0, '1h': 20 }, alerts: { page: { fires: false }, ticket: { fires: true } }
  })
})

test('the counts of all causes add up to the bad requests, and interfering job classes above the limit share one row', () => {
  const recorder = createRecorder(createManualClock())
  recordMany(recorder, 3, { ...overObjective, cause: { kind: 'queueing' } })
  recordMany(recorder, 2, { outcome: 'not-run' })
  recordMany(recorder, 1, { outcome: 'not-run', cause: { kind: 'drain' } })
  recordMany(recorder, 1, overObjective)
  Array.from({ length: 50 }, (_, index) => recordMany(recorder, 1, { ...overObjective, cause: { kind: 'interference', jobClass: `class-${index}` } }))
  const { bad, causes } = recorder.createBurnReport(0).services[0]!
  expect(causes.reduce((sum, { budget }) => sum + budget, 0)).toBe(bad)
  expect(causes.length).toBeLessThanOrEqual(33)
  expect(causes.filter(({ cause }) => cause.kind !== 'interference' || cause.jobClass === '(other)')).toMatchSnapshot()
})

// A report covers several hosts; it must not depend on which of them computes it, nor on the order in which summaries arrive.
test('the merged counts of two hosts equal those of one host that recorded everything, in either order', async () => {
  const clock = createManualClock()
  const services = createServices(createService('desk'), createService('records', 0.9))
  const [first, second, combined] = ['h1', 'h2', 'all'].map((self) => createRecorder(clock, services, self))
  const recordOnHostAndCombined = (host: ReportRecorder, record: (recorder: ReportRecorder) => void): void => [host, combined!].forEach(record)
  for (const [step, host] of [first!, second!, second!, first!, second!].entries()) {
    recordOnHostAndCombined(host, (recorder) => {
      recordMany(recorder, 3 + step, { latencyMs: 7 ** step, service: step % 2 === 0 ? 'desk' : 'records' })
      recordMany(recorder, 1, { ...overObjective, cause: { kind: 'interference', jobClass: `class-${step % 2}` } })
      recorder.recordEviction({ member: 'aqaba', task: `t${step}`, job: 'j', cause: 'capacity', causingMember: step % 2 === 0 ? 'rum' : 'aqaba', worker: 'w1' })
      recorder.recordBatchEnd({ member: 'rum', outcome: 'succeeded', cores: 2, runMs: HOUR })
    })
    await clock.advance(20 * MINUTE)
  }
  const [firstSummary, secondSummary] = [first!, second!].map((recorder) => reportSummarySchema.parse(recorder.createSummary(clock.now())))
  const expected = { ...combined!.createBurnReport(clock.now()), hosts: ['h1', 'h2'] }
  expect(computeBurnReport(mergeSummaries([firstSummary!, secondSummary!]), services)).toEqual(expected)
  expect(computeBurnReport(mergeSummaries([secondSummary!, firstSummary!]), services)).toEqual(expected)
  expect(renderReportText(expected)).toMatchSnapshot()
  expect(burnReportSchema.parse(JSON.parse(renderReportJson(expected)))).toEqual(expected)
})

test('neither a jump of the wall clock nor a report at a time before the last one changes the counts', async () => {
  const clock = createManualClock()
  const recorder = createRecorder(clock)
  recordMany(recorder, 6, overObjective)
  const before = recorder.createBurnReport(clock.now())
  clock.setWallOffset(-400 * 24 * HOUR)
  expect(recorder.createBurnReport(clock.now())).toEqual(before)
  await clock.advance(10 * MINUTE)
  recorder.createBurnReport(clock.now() + HOUR)
  expect(recorder.createBurnReport(clock.now()).services[0]!.burnRates).toMatchObject({ '5m': null, '6h': 100 })
  // This request counts in the newest slot, an hour ahead, because the slot of its own time may already have been reused.
  recordMany(recorder, 1)
  expect(recorder.createBurnReport(clock.now() + HOUR).services[0]!.burnRates).toMatchObject({ '5m': 0 })
})

// Slots of a counter ring are reused. After a long gap, slots that were not cleared would count old events again.
test('no counts are left after a gap longer than every window', async () => {
  const clock = createManualClock()
  const recorder = createRecorder(clock)
  recordMany(recorder, 6, overObjective)
  recorder.recordEviction({ member: 'a', task: 't', job: 'j', cause: 'quota', causingMember: 'b', worker: 'w' })
  recorder.recordBatchEnd({ member: 'a', outcome: 'failed', cores: 1, runMs: HOUR })
  await clock.advance(31 * 24 * HOUR)
  const { services, evictions, batch } = recorder.createBurnReport(clock.now())
  expect(services[0]).toMatchObject({ good: 0, bad: 0, causes: [], latencyMs: { p99: null } })
  expect([evictions.rows, batch]).toEqual([[], []])
})

// Members come and go without limit, and each would otherwise add counters for good.
test('groups of evictions and of batch tasks and the list of recent evictions are limited, while totals stay exact', () => {
  const recorder = createRecorder(createManualClock())
  Array.from({ length: 3000 }, (_, index) => recorder.recordEviction(
    { member: `m${index}`, task: `t${index}`, job: 'j', cause: 'interference', causingMember: index % 2 === 0 ? 'rival' : `m${index}`, worker: 'w' }))
  Array.from({ length: 1000 }, (_, index) => recorder.recordBatchEnd({ member: `m${index}`, outcome: 'succeeded', cores: 1, runMs: 1 }))
  const { evictions, batch } = recorder.createBurnReport(0)
  expect([evictions.rows.length, evictions.recent.length, batch.length]).toEqual([1002, 100, 501])
  expect([evictions.lastDay, evictions.lastDayByRivals]).toEqual([3000, 1500])
})

test('charts show only the largest values, and tables show all of them', async () => {
  const recorder = createRecorder(createManualClock())
  Array.from({ length: 60 }, (_, index) => recorder.recordBatchEnd({ member: `member-${index}`, outcome: 'succeeded', cores: 1, runMs: 1 }))
  Array.from({ length: 30 }, (_, index) => recordMany(recorder, 30 - index, { ...overObjective, cause: { kind: 'interference', jobClass: `class-${index}` } }))
  const page = await renderReportHtml(recorder.createBurnReport(0))
  const charts = page.match(/<svg [\s\S]*?<\/svg>/g)!.join('')
  expect(charts.match(/member-\d+/g)!.length).toBe(25)
  expect(charts.match(/interference:class-\d+/g)!.length).toBe(8)
  expect(charts).toContain('all others')
  expect(page).toContain('<td>member-59</td>')
})

// Names come from outside. An unescaped one could run a script in the browser of whoever reads the report.
test('the page escapes every name, loads no external resource and marks evictions caused by rivals', async () => {
  const hostile = '<script>alert("x")</script>&\u001b[31m'
  const services = createServices({ ...createService('desk'), member: hostile })
  const recorder = createRecorder(createManualClock(), services, hostile)
  recordMany(recorder, 6, { ...overObjective, cause: { kind: 'interference', jobClass: hostile } })
  recorder.recordEviction({ member: hostile, task: 't', job: 'j', cause: 'interference', causingMember: '"rival\'', worker: 'w' })
  recorder.recordBatchEnd({ member: hostile, outcome: 'succeeded', cores: 1, runMs: HOUR })
  const report = recorder.createBurnReport(0)
  const page = await renderReportHtml(report)
  expect(page).not.toMatch(/<script/i)
  expect(page.match(/<svg /g)?.length).toBe(4)
  const withoutNamespaces = page.replaceAll(/ xmlns(:xlink)?="[^"]*"/g, '')
  expect(withoutNamespaces).not.toMatch(/https?:|src=|href=|url\((?!#)|@import/)
  expect(page.replaceAll(/<svg [\s\S]*?<\/svg>/g, '<svg/>')).toMatchSnapshot()
  expect(renderReportText(report) + page).not.toContain('\u001b')
})
