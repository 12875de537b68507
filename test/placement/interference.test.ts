import { expect, test } from 'vitest'
import type { Decision, Observation, PlacementTask } from '../../src/coordination/placement/index.js'
import { createInterferenceEstimates } from '../../src/coordination/placement/interference.js'
import { createScenario, createTask, GB, renderDecisions, type PlacementScenario } from './helpers.js'

const OBJECTIVE_MS = 20
const SIZE = { cores: 4, memoryBytes: GB, accelerators: 0 }

/** Contents of a latency report that was measured `lagMs` before it arrives. */
interface Latency { p99Ms: number, count?: number, lagMs?: number }

function createLatencyReport ({ p99Ms, count = 400, lagMs = 1000 }: Latency, now: number): Observation {
  return { kind: 'latency', service: 'desk', worker: 'w0', p99Ms, count, measuredAt: now - lagMs }
}

/** One worker with a replica of the service `desk` and three batch tasks beside it, of the classes `quiet`, `calm` and `noisy`. */
function createSharedWorker (preset = 'ordinary', isolated = false, replicaMember = 'parish'): PlacementScenario {
  const scenario = createScenario(1)
  scenario.observe({ kind: 'service', service: 'desk', member: replicaMember, latencyMs: OBJECTIVE_MS, quantile: 0.99 })
  scenario.setPolicy(preset, { safetyMargin: 0 }, isolated)
  const createLongTask = (id: string, change: Partial<PlacementTask>): PlacementTask => createTask(id, { size: SIZE, expectedRunMs: 600_000, ...change })
  scenario.queue(createLongTask('desk-0', { service: 'desk', jobClass: 'desk', member: replicaMember }))
  scenario.decide()
  scenario.queue(createLongTask('quiet-0', { jobClass: 'quiet' }), createLongTask('calm-0', { jobClass: 'calm' }), createLongTask('noisy-0', { jobClass: 'noisy' }))
  scenario.decide()
  return scenario
}

/** Reports one latency each second and collects the decisions. `getLatency` reads the present CPU share of a task by `share`. */
function runReports (scenario: PlacementScenario, seconds: number, getLatency: (second: number, share: (task: string) => number) => Latency): Decision[] {
  const shares = new Map<string, number>()
  const allDecisions: Decision[] = []
  for (let second = 0; second < seconds; second++) {
    scenario.observe(createLatencyReport(getLatency(second, (task) => shares.get(task) ?? 1), scenario.now))
    const decisions = scenario.decide()
    decisions.forEach((decision) => { if (decision.kind === 'throttle') shares.set(decision.task, decision.share) })
    allDecisions.push(...decisions)
  }
  return allDecisions
}

// The quiet class runs beside the replica in every report, the noisy one in every other. Attributed to both alike, the higher latencies would give the quiet class a part of the cost of the noisy one.
test('the interference costs of two classes are distinguished by the neighbours present in each report', () => {
  const estimates = createInterferenceEstimates()
  const model = estimates.getService('desk')
  const noisy = [{ jobClass: 'noisy', coreShare: 0.25, service: undefined }, { jobClass: 'quiet', coreShare: 0.25, service: undefined }]
  const quiet = [{ jobClass: 'quiet', coreShare: 0.25, service: undefined }]
  for (let round = 0; round < 200; round++) {
    model.learn(400, round % 2 === 0 ? 10 * Math.exp(0.5) : 10, round % 2 === 0 ? noisy : quiet, round * 1000, round * 1000)
  }
  expect(model.getPair('noisy').cost).toBeGreaterThan(1.6)
  expect(model.getPair('quiet').cost).toBeLessThan(0.6)
})

// The high latencies arrive while no noisy task runs. Attributed to the tasks at arrival, they would make the noisy class look harmless.
test('a late report is attributed to the tasks that ran when it was measured, not to those that run when it arrives', () => {
  const scenario = createScenario(1)
  scenario.observe({ kind: 'service', service: 'desk', member: 'parish', latencyMs: 60, quantile: 0.99 })
  scenario.queue(createTask('desk-0', { service: 'desk', jobClass: 'desk' }))
  scenario.decide()
  const pending: Array<{ at: number, observation: Observation }> = []
  let expected: number | undefined
  for (let second = 0; second < 400; second++) {
    // A noisy task runs in every other period of 10 s. Reports arrive one period late: those measured beside it arrive when none runs, and the other way round.
    const isOn = Math.floor(second / 10) % 2 === 0
    if (second % 20 === 0) scenario.queue(createTask(`noisy${second}-0`, { jobClass: 'noisy', size: SIZE }))
    if (second % 20 === 10) scenario.observe({ kind: 'task-ended', task: `noisy${second - 10}-0`, worker: 'w0', result: 'succeeded' })
    scenario.decide(1000).forEach((decision) => {
      if (decision.kind === 'start') expected = decision.reason.figures.find(({ name }) => name === 'expected change of ln p99')?.value
    })
    if (second % 10 > 2) pending.push({ at: scenario.now + 10_000, observation: { kind: 'latency', service: 'desk', worker: 'w0', p99Ms: isOn ? 20 : 10, count: 400, measuredAt: scenario.now } })
    pending.filter(({ at }) => at <= scenario.now).forEach(({ observation }) => scenario.observe(observation))
    pending.splice(0, pending.filter(({ at }) => at <= scenario.now).length)
  }
  expect(expected).toBeGreaterThan(0.4)
  expect(expected).toBeLessThan(1)
})

// A cost that stayed certain would keep a class away from a service for ever, although its tasks may have changed.
test('an interference cost without new reports becomes uncertain again', () => {
  const model = createInterferenceEstimates().getService('desk')
  const neighbours = [{ jobClass: 'batch', coreShare: 0.25, service: undefined }]
  for (let round = 0; round < 100; round++) model.learn(400, 10, neighbours, round * 1000, round * 1000)
  const certain = model.getPair('batch').deviation
  model.learn(400, 10, neighbours, 3_600_000, 3_600_000)
  expect(model.getPair('batch').deviation).toBeGreaterThan(certain)
})

// Networks duplicate and delay reports, and clocks of workers differ. If each such report counted as a new one, it would distort the model.
test('reports that are duplicated, from the future, too old, or without a replica on their worker change no decision', () => {
  const run = (copies: number, disturb: (scenario: PlacementScenario) => void): Decision[] => {
    const scenario = createSharedWorker()
    return [...Array.from({ length: 20 }, (_, round) => {
      scenario.observe(createLatencyReport({ p99Ms: 12 + round % 3 }, scenario.now))
      // A single high report that is older than the last one changes the model little; counted 40 times, it would outweigh all others.
      if (round === 10) Array.from({ length: copies }, () => scenario.observe(createLatencyReport({ p99Ms: 30, lagMs: 1500 }, scenario.now)))
      disturb(scenario)
      return scenario.decide()
    }).flat(), ...scenario.decide()]
  }
  expect(run(40, (scenario) => {
    scenario.observe(createLatencyReport({ p99Ms: 12 }, scenario.now), createLatencyReport({ p99Ms: 900, lagMs: -60_000 }, scenario.now), createLatencyReport({ p99Ms: 900, lagMs: 120_000 }, scenario.now))
    scenario.observe({ kind: 'latency', service: 'desk', worker: 'w7', p99Ms: 900, count: 4, measuredAt: scenario.now }, { kind: 'latency', service: 'other', worker: 'w0', p99Ms: 900, count: 4, measuredAt: scenario.now })
  })).toEqual(run(1, () => {}))
})

test('neighbours of a service near its objective are throttled, not evicted, and released when its latency has fallen', () => {
  const scenario = createSharedWorker()
  const calm = runReports(scenario, 20, () => ({ p99Ms: 10 }))
  const wave = runReports(scenario, 30, (_, share) => ({ p99Ms: 14 + 10 * share('noisy-0'), count: 600 }))
  const after = runReports(scenario, 90, () => ({ p99Ms: 9 }))
  expect(calm).toEqual([])
  expect(wave.length).toBeGreaterThan(0)
  expect([...wave, ...after].every(({ kind }) => kind === 'throttle')).toBe(true)
  const shares = after.filter((decision) => decision.kind === 'throttle').reduce((last, { task, share }) => last.set(task, share), new Map<string, number>())
  expect([...shares.values()].every((share) => share === 1)).toBe(true)
  expect(wave[0]?.reason.figures.map(({ name, unit }) => `${name} (${unit})`)).toMatchInlineSnapshot(`
    [
      "expected p99 of the objective (ratio)",
      "objective (ms)",
      "load of the typical (ratio)",
      "cost of calm on a whole worker (ln p99)",
      "standard deviation of that cost (ln p99)",
    ]
  `)
})

// During each peak the service misses its objective. Evictions at every peak would lose the work of the neighbours again and again.
test('three load peaks of a service within 5 minutes cause throttles, but at most 3 evictions', () => {
  const scenario = createSharedWorker('peak')
  const decisions = runReports(scenario, 300, (second) => second % 100 < 40 ? { p99Ms: 60, count: 800 } : { p99Ms: 9 })
  expect(decisions.filter(({ kind }) => kind === 'stop').length).toBeLessThanOrEqual(3)
  expect(decisions.filter(({ kind }) => kind === 'throttle').length).toBeGreaterThan(3)
})

// Even at the smallest CPU share of the noisy task, p99 stays above the objective. Without a move, it would be missed for as long as the neighbours run.
test('when throttles do not suffice for an objective, a neighbour is moved by checkpoint and stop, and the replica is named as the cause', () => {
  const scenario = createSharedWorker('ordinary', false, 'clinic')
  const decisions = runReports(scenario, 100, (_, share) => ({ p99Ms: 25 + 25 * share('noisy-0') }))
  const moves = decisions.filter(({ kind }) => kind === 'checkpoint' || kind === 'stop')
  expect(renderDecisions(moves.slice(0, 2))).toMatchInlineSnapshot(`
    [
      "checkpoint task=quiet-0 worker=w0 "checkpoint before a move: desk misses its objective although its neighbours are throttled"",
      "stop task=quiet-0 worker=w0 cause=interference causingMember=clinic causingTask=desk-0 "desk misses its objective although its neighbours are throttled; its checkpoint is overdue"",
    ]
  `)
  expect(moves.filter(({ kind }) => kind === 'stop').length).toBeLessThanOrEqual(6 * 2)
})

// Otherwise a service of a member above its quota could drive the tasks of other members away.
test('no neighbour is moved under the isolation rules, nor for a service of a member above its quota', () => {
  const getMissedLatency = (_: number, share: (task: string) => number): Latency => ({ p99Ms: 25 + 25 * share('noisy-0') })
  expect(runReports(createSharedWorker('ordinary', true), 100, getMissedLatency).filter(({ kind }) => kind !== 'throttle')).toEqual([])
  const aboveQuota = createSharedWorker('ordinary', false, 'rival')
  aboveQuota.observe({ kind: 'member', member: 'rival', weight: 1, quota: { cores: 1, memoryBytes: GB, accelerators: 0 } })
  expect(runReports(aboveQuota, 100, getMissedLatency).filter(({ kind }) => kind !== 'throttle')).toEqual([])
})

// An exploration starts a task where its interference is uncertain. Without a limit, explorations would keep services over their objectives.
test('explorations are limited to the exploration rate of the policy; at rate 0 or under the isolation rules there are none', () => {
  const countExplorations = (explorationRate: number, isolated: boolean): number => {
    const scenario = createScenario(3)
    scenario.setPolicy('ordinary', { explorationRate }, isolated)
    let explorations = 0
    for (let index = 0; index < 200; index++) {
      scenario.queue(createTask(`t${index}-0`, { jobClass: `c${index % 20}` }))
      scenario.decide().forEach((decision) => {
        if (decision.kind !== 'start') return
        if (decision.reason.summary.startsWith('explores')) explorations += 1
        scenario.observe({ kind: 'task-ended', task: decision.task, worker: decision.worker, result: 'succeeded' })
      })
    }
    return explorations
  }
  expect(countExplorations(0, false)).toBe(0)
  expect(countExplorations(0.2, true)).toBe(0)
  const explored = countExplorations(0.1, false)
  expect(explored).toBeGreaterThan(5)
  expect(explored).toBeLessThanOrEqual(20)
})

// Executors report p99. An objective for a higher quantile allows less p99, one for a lower quantile more.
test('the quantile of an objective decides how much p99 a service tolerates before its neighbours are throttled', () => {
  const countThrottles = (quantile: number): number => {
    const scenario = createSharedWorker()
    scenario.observe({ kind: 'service', service: 'desk', member: 'parish', latencyMs: OBJECTIVE_MS, quantile })
    return runReports(scenario, 30, () => ({ p99Ms: 10 })).filter(({ kind }) => kind === 'throttle').length
  }
  expect([countThrottles(0.9), countThrottles(0.99), countThrottles(0.999) > 0]).toEqual([0, 0, true])
})
