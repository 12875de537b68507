import { expect, test } from 'vitest'
import { createRandom } from '../../src/common/index.js'
import { createRunDurations, recordRunEnd, type RunDurations } from '../../src/coordination/workflows/runDurations.js'
import type { RunView } from '../../src/coordination/workflows/sessionState.js'
import { createWorkflowsState, workflowHandlers, type Step } from '../../src/state/index.js'
import { CATALOG, STEP } from './support.js'

const WORK = { queue: 'quotes', image: 'a', step: 0 }
const STARTED = { startedAt: 0, percent: 0, progressAt: 0 }

function createLearned (samples: number, createSample: (number: number) => [estimateMs: number, ranMs: number]): RunDurations {
  const durations = createRunDurations()
  Array.from({ length: samples }, (_, number) => durations.recordEnd(WORK, ...createSample(number)))
  return durations
}

test('before any run has ended, the estimate is used with a wide spread', () => {
  const forecast = createRunDurations().forecast(WORK, 1000)
  expect([forecast.expectedMs, forecast.lateMs >= 2000, forecast.samples]).toEqual([1000, true, 0])
})

// Guards against forecasts that repeat an error which all estimates of a work share.
test('a factor that is common to the estimates of a work is corrected', () => {
  const forecast = createLearned(64, (number) => [500 + number, 3 * (500 + number)]).forecast(WORK, 1000)
  expect(forecast).toEqual({ expectedMs: 3000, lateMs: 3000, samples: 64 })
})

// Guards against forecasts that follow estimates which are wrong by nine tenths: work of one image takes about as long each time.
test('estimates that vary more than the durations are ignored', () => {
  const random = createRandom(1)
  const forecast = createLearned(64, () => [1400 * (0.1 + 1.8 * random.next()), 1300 + 200 * random.next()]).forecast(WORK, 140)
  expect([forecast.expectedMs > 1300 && forecast.expectedMs < 1500, forecast.lateMs <= 1500]).toEqual([true, true])
})

test('a few long runs do not change the forecast, and a run that outlives the others is expected to be long', () => {
  const durations = createLearned(64, (number) => [1000, number % 21 === 0 ? 7000 : 1000])
  expect([durations.forecast(WORK, 1000), durations.forecastEnd(WORK, 1000, STARTED, 1500)]).toEqual([{ expectedMs: 1000, lateMs: 1000, samples: 64 }, { expectedAt: 7000, lateAt: 7000 }])
  const beyond = durations.forecastEnd(WORK, 1000, STARTED, 10_000)
  expect([beyond.expectedAt > 10_000, beyond.lateAt > beyond.expectedAt]).toEqual([true, true])
})

test.each([
  ['an estimate ten times too low', 100],
  ['an estimate ten times too high', 10_000]
])('the progress of a run corrects %s', (_name, estimateMs) => {
  const { expectedAt, lateAt } = createRunDurations().forecastEnd(WORK, estimateMs, { startedAt: 0, percent: 30, progressAt: 300 }, 310)
  expect([Math.round(expectedAt), lateAt > expectedAt]).toEqual([1000, true])
})

test('a run whose progress has stopped is not expected to have ended', () => {
  const { expectedAt } = createRunDurations().forecastEnd(WORK, 1000, { startedAt: 0, percent: 50, progressAt: 500 }, 4000)
  expect(expectedAt).toBeGreaterThan(4000)
})

// Guards against memory that grows with the images that callers invent.
test('the work that ended longest ago is forgotten', () => {
  const durations = createLearned(64, () => [1000, 3000])
  Array.from({ length: 600 }, (_, number) => durations.recordEnd({ ...WORK, image: `i${number}` }, 1000, 1000))
  durations.recordEnd({ ...WORK, image: 'x'.repeat(1000) }, 1000, 1000)
  expect([WORK, { ...WORK, image: 'i599' }, { ...WORK, image: 'x'.repeat(1000) }].map((work) => durations.forecast(work, 1000).samples)).toEqual([0, 1, 0])
})

// Guards against durations that do not cover the whole task: those of failed, resumed and inherited runs.
test('only first attempts that succeeded, and that started in this term, are learned from', () => {
  const state = createWorkflowsState()
  workflowHandlers['catalog.put'](state, { catalog: CATALOG })
  const step: Step = { ...STEP, image: 'a', expectedRunMs: 1000 }
  workflowHandlers['workflow.submit'](state, { queue: 'quotes', workflow: { id: 'x', command: '', steps: [step] }, at: 0 })
  const run: RunView = { task: 'x.0.0.0', attempt: 1, confirmedAt: 100, startedAt: 100, assignedAt: 90, stopReason: undefined, progressAt: 100, status: undefined }
  const countSamples = (more: Partial<RunView>, cause: 'succeeded' | 'failed' | 'stopped' = 'succeeded', runStep = step): number => {
    const durations = createRunDurations()
    recordRunEnd(durations, state, runStep, { ...run, ...more }, cause, 900)
    return durations.forecast(WORK, 1000).samples
  }
  expect([countSamples({}), countSamples({}, 'failed'), countSamples({}, 'stopped'), countSamples({ attempt: 2 }), countSamples({ isInherited: true }), countSamples({ startedAt: undefined }), countSamples({}, 'succeeded', { ...step, lasting: true })])
    .toEqual([1, 0, 0, 0, 0, 0, 0])
})
