import { expect, test } from 'vitest'
import { createInterferenceModel, type InterferenceModel } from '../../src/coordination/workflows/interferenceModel.js'
import { createScene } from './support.js'

const TARGET_MS = 18
const UNLOADED_MS = 4
const READING_MS = 500
const TASK = { step: undefined, image: 'desk', targetMs: TARGET_MS }

/** A load that oscillates by half around 0.42 within 10 s, as each step of the reference loads does with its own phase. */
function computeLoad (now: number, phaseMs: number): number {
  return 0.42 * (1 + 0.5 * Math.sin((now + phaseMs) / 10_000 * 2 * Math.PI))
}

interface Neighbour { image: string, coreShare: number, interference: number, from: number, until: number }

/** Feeds a model with the readings of one latency-critical task per worker beside its neighbours, and returns the model at `untilMs`. */
function playReadings (workers: Array<{ worker: string, phaseMs: number, neighbours: Neighbour[] }>, untilMs: number): InterferenceModel {
  const model = createInterferenceModel()
  for (let now = READING_MS; now <= untilMs; now += READING_MS) {
    workers.forEach(({ worker, phaseMs, neighbours }) => {
      const present = neighbours.filter(({ from, until }) => from <= now && until > now)
      // Readings are means over the last half second.
      const interference = neighbours.reduce((sum, { coreShare, interference, from, until }) =>
        sum + coreShare * interference * Math.max(0, Math.min(now, until) - Math.max(now - READING_MS, from)) / READING_MS, 0)
      const tailMs = Math.ceil(UNLOADED_MS / Math.max(0.03, 1 - computeLoad(now - READING_MS / 2, phaseMs) - interference))
      const bestEffort = present.map(({ image, coreShare, from }) => ({ task: `${worker}-${image}-${from}`, image, coreShare, since: from }))
      model.observe(worker, [{ ...TASK, task: `${worker}-s`, step: worker, tailMs }], bestEffort, now)
    })
  }
  return model
}

/** Four runs of a neighbour, each for 2.5 s. A poll returns at once when a task ends, so the model sees ends in time. */
function createRuns (image: string, interference: number, coreShare: number, firstAt: number): Neighbour[] {
  return Array.from({ length: 4 }, (_, repetition) => ({ image, coreShare, interference, from: firstAt + repetition * 6000, until: firstAt + repetition * 6000 + 2500 }))
}

test('the interference of a neighbour is distinguished from a peak of the service itself within a few runs', () => {
  const model = playReadings([
    { worker: 'w1', phaseMs: 0, neighbours: createRuns('heavy', 2, 0.1, 8000) },
    { worker: 'w2', phaseMs: 3000, neighbours: createRuns('light', 0.15, 0.1, 8000) },
    { worker: 'w3', phaseMs: 6000, neighbours: [] }
  ], 30_000)
  expect([model.estimateExcessLoad([TASK], [{ image: 'heavy', coreShare: 0.1 }], 30_000) > 0, model.estimateExcessLoad([TASK], [{ image: 'light', coreShare: 0.3 }], 30_000) > 0]).toEqual([true, false])
})

test('a service has headroom for a neighbour while its load falls and none while it rises', () => {
  // The load is at its mean at both times, 30 s and half a period later.
  const worker = { worker: 'w1', phaseMs: 0, neighbours: [] }
  const tracked = { ...TASK, step: 'w1' }
  const neighbour = [{ image: 'heavy', coreShare: 0.36 }]
  const rising = playReadings([worker], 30_000).estimateExcessLoad([tracked], neighbour, 30_000)
  const falling = playReadings([worker], 35_000).estimateExcessLoad([tracked], neighbour, 35_000)
  expect(rising).toBeGreaterThan(0)
  expect(falling).toBeLessThan(0)
})

test('an interfering neighbour has to stop, and one with little interference stays', () => {
  const model = playReadings([
    { worker: 'w1', phaseMs: 0, neighbours: createRuns('heavy', 2.5, 0.1, 8000) },
    { worker: 'w2', phaseMs: 3000, neighbours: createRuns('light', 0.1, 0.1, 8000) }
  ], 32_500)
  const affected = [{ ...TASK, task: 'w1-s', step: 'w1', tailMs: 40 }]
  const heavy = { task: 'h', image: 'heavy', coreShare: 0.2, since: 32_000 }
  const light = { task: 'l', image: 'light', coreShare: 0.1, since: 32_000 }
  expect(model.listInterfering(affected, [light, heavy], 32_500)).toEqual(['h'])
  // The tail latency still shows a neighbour that has just ended.
  expect(model.listInterfering(affected, [light], 32_500)).toEqual([])
  expect(model.listInterfering([{ ...affected[0]!, tailMs: 9 }], [heavy], 32_500)).toEqual([])
})

test('a pair of images is reported once, when its interference becomes known', () => {
  const model = createInterferenceModel()
  const reports = [1, 2, 3, 4, 5, 6].map((repetition) => {
    const now = 5000 + repetition * READING_MS
    const latencyCritical = [{ ...TASK, task: 'w1-s', step: 'w1', tailMs: 7 + repetition % 2 }]
    return model.observe('w1', latencyCritical, [{ task: 'l', image: 'light', coreShare: 0.1, since: 0 }], now).map(({ service, neighbour }) => `${service} ${neighbour}`)
  })
  expect(reports.flat()).toEqual(['desk light'])
})

test('pairs learned by a leader are known on another host, even one that has run for long', () => {
  const learned = playReadings([{ worker: 'w1', phaseMs: 0, neighbours: createRuns('light', 0.1, 0.1, 8000) }], 32_000)
  const later = createInterferenceModel()
  const longAfter = 30 * 60_000
  later.mergeEstimates(learned.getEstimates(), longAfter)
  const tailMs = 8
  later.observe('w1', [{ ...TASK, task: 'w1-s', step: 'w1', tailMs }], [{ task: 'l', image: 'light', coreShare: 0.1, since: longAfter - 2000 }], longAfter + 100)
  expect(later.isTrialBlocked([TASK], [{ image: 'light', coreShare: 0.1 }], 'light', longAfter + 200)).toBe(false)
})

test('only one trial of an unknown pair runs at a time, and none beside another unknown image', () => {
  const model = createInterferenceModel()
  const before = model.isTrialBlocked([TASK], [], 'new', 1000)
  model.recordTrialStart([TASK], 'new', 1000)
  expect([before, model.isTrialBlocked([TASK], [], 'new', 1500), model.isTrialBlocked([TASK], [], 'new', 9000), model.isTrialBlocked([TASK], [{ image: 'other', coreShare: 0.1 }], 'new', 9000)])
    .toEqual([false, true, false, true])
})

test('a best-effort task that keeps a service over its target is moved', async () => {
  const scene = await createScene(['w1', 'w2'])
  scene.fleet.plan = () => ({ runMs: 60_000, result: 'never' })
  await scene.submit('s1', [{ count: 1, cores: 10, lasting: true, image: 'desk', tailTargetMs: 18 }])
  await scene.run(300)
  const latencyCritical = [...scene.fleet.workers.values()].find(({ running }) => running.size > 0)
  const other = [...scene.fleet.workers.values()].find((worker) => worker !== latencyCritical)
  if (other !== undefined) other.reachable = false
  await scene.run(9000)
  await scene.submit('f1', [{ count: 1, cores: 3, fills: true, image: 'heavy', checkpoints: true }])
  await scene.run(200)
  if (other !== undefined) other.reachable = true
  latencyCritical?.setReading('s1.0.0.0', 60)
  await scene.run(3000)
  expect(latencyCritical?.running.has('f1.0.0.0')).toBe(false)
  expect(other?.running.has('f1.0.0.0')).toBe(true)
})

test('a workflow without running tasks is started even where a service does not tolerate it', async () => {
  const scene = await createScene(['w1'])
  scene.fleet.plan = () => ({ runMs: 60_000, result: 'never' })
  await scene.submit('s1', [{ count: 1, cores: 10, lasting: true, image: 'desk', tailTargetMs: 18 }])
  await scene.submit('f1', [{ count: 4, cores: 8, fills: true, image: 'heavy', checkpoints: true }])
  await scene.run(300)
  const worker = scene.fleet.workers.get('w1')
  // The service is over its target whenever the workflow runs, until the pair is known to interfere.
  for (let round = 0; round < 150; round += 1) {
    worker?.setReading('s1.0.0.0', [...worker.running.keys()].some((task) => task.startsWith('f1')) ? 60 : 6)
    await scene.run(100)
  }
  worker?.setReading('s1.0.0.0', 6)
  const startsBefore = scene.listEvents('started').length
  await scene.run(3000)
  const isRunning = [...worker?.running.keys() ?? []].some((task) => task.startsWith('f1'))
  expect(isRunning || scene.listEvents('started').length > startsBefore).toBe(true)
})

// Guards against a workflow that is idle most of the time: its tasks ran half a second each, and the next one waited for the
// starvation threshold of a second. Every workflow has to make progress while most of the capacity is free; a check that looks
// for running tasks at the start and the end of 3 s then found the workflow idle.
test('the tasks of a workflow that no service tolerates start one after another without a wait while most of the pool is free', async () => {
  const scene = await createScene(['w1'])
  scene.fleet.plan = (task) => task.startsWith('f1') ? { runMs: 450, result: 'succeeded' } : { runMs: 0, result: 'never' }
  scene.fleet.measure = (_task, running) => [...running.keys()].some((other) => other.startsWith('f')) ? 60 : 6
  await scene.submit('s1', [{ count: 1, cores: 10, lasting: true, image: 'desk', tailTargetMs: TARGET_MS }])
  await scene.run(5000)
  await scene.submit('f1', [{ count: 20, cores: 8, fills: true, image: 'heavy' }])
  await scene.run(20_000)
  const runs = scene.listEvents('started').filter(({ task }) => task.startsWith('f1'))
  const ends = scene.listEvents('ended').filter(({ task }) => task.startsWith('f1'))
  expect(ends.length).toBeGreaterThan(10)
  // Two commits of 12 ms record an end and the next assignment; the rest is the time for orders and answers.
  const maxPauseMs = 100
  const pauses = ends.map(({ at }) => Math.min(...runs.filter((run) => run.at >= at).map((run) => run.at - at)))
  expect(pauses.filter((pause) => pause !== Infinity && pause > maxPauseMs)).toEqual([])
})
