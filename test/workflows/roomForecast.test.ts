import { expect, test } from 'vitest'
import { createManualClock } from '../../src/common/index.js'
import { admitWorkflow, createKnownSizes } from '../../src/coordination/workflows/admission.js'
import { computeOpenWork, computeRetryAfterMs, estimateEnd, findTooLargeStep, hasWrongEstimates, type OpenWork, type RoomForecastInput, type WorkerSize } from '../../src/coordination/workflows/roomForecast.js'
import { createRunDurations } from '../../src/coordination/workflows/runDurations.js'
import { createWorkRates } from '../../src/coordination/workflows/workRates.js'
import { createWorkflowsState, workflowHandlers, type Step } from '../../src/state/index.js'
import { CATALOG, createScene, STEP } from './support.js'

const QUEUE = { ...CATALOG.queues[0]!, priority: 2 }
/** Two steps of 1,000 ms: the objective is 4,500 ms, and there is no value after 13,500 ms. */
const BATCH: Step[] = [{ ...STEP, count: 20, fills: true, expectedRunMs: 1000 }, { ...STEP, count: 20, fills: true, expectedRunMs: 1000, dependsOn: [0] }]
const WORKFLOW = { id: 'next', command: '', steps: BATCH }
const SIZE: WorkerSize = { cores: 16, memoryMb: 62_500, accelerators: 0, labels: ['r1'] }

function createOpen (coreMs: number, more: Partial<OpenWork> = {}): OpenWork {
  return { queue: QUEUE.name, priority: 2, dueAt: 0, isLate: false, work: { ordinary: 0, bestEffort: coreMs }, ...more }
}

function forecast (open: OpenWork[], more: Partial<RoomForecastInput> = {}): ReturnType<typeof estimateEnd> {
  const result = estimateEnd({ queue: QUEUE, workflow: WORKFLOW, open, rates: { bestEffort: { drain: 100, arrival: 100, queueArrival: 100 } }, freeableCores: 4000, hasFairShares: false, now: 0, ...more })
  return result && { endsInMs: Math.round(result.endsInMs), allowedMs: result.allowedMs, readyInMs: Math.round(result.readyInMs) }
}

// Guards against accepting best-effort work by the mean of a pool of which services leave only a small part to such work.
test('best-effort work is forecast by what the pool completes of it, in the order in which it is placed', () => {
  // An optimistic rate is 110 cores. Up to 2,500 ms of work due earlier, the two steps end within the objective.
  expect(forecast([createOpen(275_000)])).toEqual({ endsInMs: 4500, allowedMs: 13_500, readyInMs: 0 })
  // Later work takes what is left of the rate after what arrives: 10 cores.
  expect(forecast([createOpen(440_000)])).toEqual({ endsInMs: 46_000, allowedMs: 13_500, readyInMs: 1500 })
  // Late, later due and less urgent work and work of the other kind do not go before it.
  expect(forecast([createOpen(440_000, { isLate: true }), createOpen(440_000, { dueAt: 5000 }), createOpen(440_000, { priority: 3 })])?.readyInMs).toBe(0)
  expect(forecast([createOpen(0, { work: { ordinary: 1e9, bestEffort: 0 } })])?.endsInMs).toBe(2000)
  // More urgent work goes first even when it is late.
  expect(forecast([createOpen(440_000, { priority: 0, isLate: true })])?.readyInMs).toBe(1500)
  // While less arrives than the pool completes, a late end is forecast.
  expect(forecast([createOpen(440_000)], { rates: { bestEffort: { drain: 100, arrival: 66, queueArrival: 66 } } })?.endsInMs).toBe(12_000)
  expect(forecast([createOpen(440_000)], { rates: { bestEffort: { drain: 0, arrival: 0, queueArrival: 0 } } })?.endsInMs).toBe(Infinity)
})

// Guards against refusing the callers of a queue because of what the callers of another queue of its priority have sent.
test('with fair shares a queue waits for its own work at its share of the rate, and for more urgent work', () => {
  const others = [createOpen(1_100_000, { queue: 'flood' })]
  const fair = (open: OpenWork[], queueArrival = 0): ReturnType<typeof forecast> => forecast(open, { hasFairShares: true, rates: { bestEffort: { drain: 100, arrival: 100, queueArrival } } })
  expect([forecast(others)?.readyInMs, fair(others)?.readyInMs]).toEqual([7500, 0])
  // Half of the optimistic rate is 55 cores: 220,000 core-ms take 4 s, of which 2.5 s are left by the objective.
  expect(fair([...others, createOpen(220_000)])).toEqual({ endsInMs: 6000, allowedMs: 13_500, readyInMs: 1500 })
  expect(fair([...others, createOpen(220_000)], 45)?.endsInMs).toBe(24_000)
  expect(fair([...others, createOpen(220_000, { queue: 'first', priority: 0 })])?.endsInMs).toBe(4000)
})

// Guards against refusals by a leader that has just started, or that has seen only work that did not wait.
test('without a rate that was measured under waiting work nothing is refused by the forecast', () => {
  expect(forecast([createOpen(1e9)], { rates: {} })).toBeUndefined()
  const rates = createWorkRates()
  const other = { ...QUEUE, name: 'other', priority: 3 }
  const play = (from: number, until: number, isWaiting: boolean): void => {
    for (let now = from; now < until; now += 100) {
      rates.recordWaiting('desk', 'bestEffort', isWaiting, now)
      rates.recordCompleted('desk', 'bestEffort', 1000, now)
      rates.recordAccepted(QUEUE, 'bestEffort', 500, now)
      rates.recordAccepted(other, 'bestEffort', 500, now)
    }
  }
  play(0, 10_000, false)
  expect(rates.get(QUEUE, 'bestEffort', 10_000)).toBeUndefined()
  play(10_000, 14_900, true)
  expect(rates.get(QUEUE, 'bestEffort', 14_900)).toBeUndefined()
  play(14_900, 15_000, true)
  expect([QUEUE, other].map((queue) => rates.get(queue, 'bestEffort', 15_000))).toEqual([{ drain: 10, arrival: 5, queueArrival: 5 }, { drain: 10, arrival: 10, queueArrival: 5 }])
  play(15_000, 60_000, false)
  expect(rates.get(QUEUE, 'bestEffort', 60_000)).toBeUndefined()
})

// Guards against refusals because the submitters of a queue estimate run times wrongly by a constant factor.
test.each([0.1, 1, 7])('estimates that are wrong by the factor %s do not change the decision', (factor) => {
  const steps = BATCH.map((step) => ({ ...step, expectedRunMs: 1000 }))
  const scale = { bestEffort: { drain: 100 * factor, arrival: 100 * factor, queueArrival: 0 } }
  expect([275_000, 440_000].map((work) => forecast([createOpen(work * factor)], { workflow: { ...WORKFLOW, steps }, rates: scale })?.readyInMs)).toEqual([0, 1500])
})

// Guards against refusals by estimates that ended runs have shown to be wrong, and against calling them wrong too early.
test.each([[100, 0, false], [100, 50, true], [1000, 50, false], [1900, 50, false], [7000, 15, false], [7000, 50, true]])('runs of %d ms, estimated at 1,000 ms, %d of which have ended: the estimate is wrong: %s', (ranMs, count, isWrong) => {
  const durations = createRunDurations()
  for (let ended = 0; ended < count; ended += 1) durations.recordEnd({ queue: QUEUE.name, image: undefined, step: 1 }, 1000, ranMs)
  expect(hasWrongEstimates(durations, QUEUE, WORKFLOW)).toBe(isWrong)
})

test('a workflow without value is refused, unless it is known, recurs or has no end, and worthless work does not count', () => {
  const state = createWorkflowsState()
  workflowHandlers['catalog.put'](state, { catalog: { ...CATALOG, queues: [QUEUE] } })
  workflowHandlers['life.report'](state, { life: { ...SIZE, id: 'w1', bornAt: 1, address: '', service: 'desk', availabilityZone: 'a', labels: [], draining: false, cores: 40_000 } })
  // 20 workflows of 40,000 core-ms each, if a task has one core.
  Array.from({ length: 20 }, (_, index) => workflowHandlers['workflow.submit'](state, { queue: QUEUE.name, workflow: { ...WORKFLOW, id: `w${index}`, steps: BATCH.map((step) => ({ ...step, cores: 1 })) }, at: 0 }))
  const input = { state, queue: QUEUE, workflow: WORKFLOW, isKnown: false, now: 0, rates: { bestEffort: { drain: 100, arrival: 100, queueArrival: 100 } } }
  expect(admitWorkflow(input)).toMatchObject({ kind: 'refused', reason: 'no-value', retryAfterMs: expect.closeTo(4773, 0) as number })
  expect(admitWorkflow({ ...input, isKnown: true }).kind).toBe('admitted')
  expect(admitWorkflow({ ...input, workflow: { ...WORKFLOW, recurrence: { firstAt: 0, intervalMs: 1, count: 1 } } }).kind).toBe('admitted')
  expect(admitWorkflow({ ...input, workflow: { ...WORKFLOW, steps: [...BATCH, { ...STEP, lasting: true }] } }).kind).toBe('admitted')
  expect(admitWorkflow({ ...input, now: 20_000 }).kind).toBe('admitted')
  const record = state.workflows['w1']!
  expect([0, 3000, 12_000].map((now) => computeOpenWork(record, QUEUE, now)?.isLate)).toEqual([false, true, undefined])
})

test('a step is too large only if no known worker could run it even alone, and a gang if they could not run all members', () => {
  const find = (step: Partial<Step>, sizes = [SIZE, SIZE], rejectsOverload = true): boolean => findTooLargeStep({ ...WORKFLOW, steps: [STEP, { ...STEP, ...step }] }, sizes, rejectsOverload) !== undefined
  expect([{ cores: 16, count: 1000 }, { cores: 16.5 }, { memoryMb: 62_501 }, { accelerators: 1 }, { requiredLabel: 'r1' }, { requiredLabel: 'r2' }].map((step) => find(step)))
    .toEqual([false, true, true, true, false, true])
  expect([{ count: 4, cores: 8 }, { count: 5, cores: 8 }, { count: 3, cores: 1, maxPerWorker: 1 }].map((step) => find({ ...step, gang: true }))).toEqual([false, true, true])
  // A pool without known workers refuses nothing, and best-effort tasks may start on fewer cores where workers allow overload.
  expect([find({ cores: 1000 }, []), find({ cores: 1000, fills: true }, [SIZE], false), find({ cores: 1000, fills: true })]).toEqual([false, false, true])
})

// Guards against refusing as too large what fits on a worker that is cut off or was removed meanwhile.
test('unreachable, draining and recently removed workers count as known', async () => {
  const clock = createManualClock(0)
  const state = createWorkflowsState()
  const sizes = createKnownSizes(clock)
  const life = { ...SIZE, id: 'w1', bornAt: 1, address: '', service: 'desk', availabilityZone: 'a', labels: [], draining: true }
  workflowHandlers['life.report'](state, { life })
  const counts = [sizes.list(state, 'desk').length, sizes.list(state, 'other').length]
  workflowHandlers['life.remove'](state, { worker: 'w1', bornAt: 1, at: 0 })
  await clock.advance(599_000)
  counts.push(sizes.list(state, 'desk').length)
  await clock.advance(2000)
  counts.push(sizes.list(state, 'desk').length)
  expect(counts).toEqual([1, 0, 1, 0])
})

// Guards against callers that return together and are refused together again.
test('retries of refused workflows are spread evenly, urgent queues first, and repeat for each workflow', () => {
  const list = (priority: number): number[] => Array.from({ length: 1000 }, (_, index) => computeRetryAfterMs(4000, priority, `workflow-${index}`))
  const urgent = list(0)
  const perSecond = [4, 5, 6, 7].map((second) => urgent.filter((ms) => Math.floor(ms / 1000) === second).length)
  expect(perSecond.every((count) => count > 150 && count < 350)).toBe(true)
  expect(list(2)).toEqual(urgent.map((ms) => ms + 1000))
})

test('a workflow that is larger than every worker is refused at once over the whole path, and one that fits is accepted', async () => {
  const scene = await createScene(['w1', 'w2'])
  const { cores } = scene.log.state().workflows.workers['w1']!.life
  expect([await scene.submit('large', [{ cores: cores + 1 }]), await scene.submit('fits', [{ cores }])]).toMatchObject([{ kind: 'overloaded' }, { kind: 'accepted' }])
})
