import { expect, test } from 'vitest'
import { createNoopMetrics, createSilentLogger } from '../../src/common/index.js'
import type { Pool } from '../../src/coordination/workflows/candidates.js'
import { findWorkerSet, type WorkerForecast } from '../../src/coordination/workflows/capacityForecast.js'
import { createReservations, type Reservations } from '../../src/coordination/workflows/reservations.js'
import { createRunDurations } from '../../src/coordination/workflows/runDurations.js'
import type { TrackedGroup } from '../../src/coordination/workflows/waiting.js'
import type { Step } from '../../src/state/index.js'
import { createCandidate, STEP } from './support.js'

const START = 10_000
const READY_IN_MS = 500
const LATE_IN_MS = 700

function createTracked (key: string, step: Partial<Step> = {}, more: Partial<TrackedGroup['group']> = {}): TrackedGroup {
  const fullStep = { ...STEP, cores: 24, expectedRunMs: 1500, ...step }
  const record = { workflow: { id: key, command: '', steps: [fullStep] }, queue: 'quotes', service: 'desk', maxAttempts: 2, submittedAt: START, started: false, tasks: {}, succeeded: {}, outcome: undefined, endedAt: 0 }
  return {
    stepName: key,
    key,
    equivalenceClass: key,
    hasWorkerLimit: false,
    group: { record, occurrence: 0, stepNumber: 0, step: fullStep, indexes: [0], runningTasks: 0, priority: 1, dueAt: START + 60_000, advice: undefined, ...more },
    progress: { idleSince: START, isStarved: false, blockedUntil: -Infinity, isBlocked: true, isSchedulerLimited: false }
  }
}

interface Scene {
  reservations: Reservations
  pools: Map<string, Pool>
  /** Runs a pass in which these groups fit on no worker. */
  runPass (at: number, blocked: TrackedGroup[], waiting?: TrackedGroup[]): string[][]
  listAllowed (tracked: TrackedGroup, at: number): string[]
  dropped: string[]
}

/** Twenty workers with some free cores; the search always finds the first available worker, ready in `READY_IN_MS`. */
function createScene (looksAhead = true): Scene {
  const dropped: string[] = []
  const reservations = createReservations({
    logger: createSilentLogger(),
    metrics: { ...createNoopMetrics(), count: (name, _value, tags) => { if (name === 'reservation.dropped') dropped.push(String(tags?.['reason'])) } },
    runDurations: createRunDurations(),
    search: {
      find: (_group, available, _maxWorkers, now) => ({ spare: new Map([[available[0]?.id ?? '', { cores: 4, memoryMb: 1000, accelerators: 0 }]]), readyAt: now + READY_IN_MS, lateAt: now + LATE_IN_MS }),
      findForInterrupted: (_group, _pool, available, now) => ({ spare: new Map([[available[0]?.id ?? '', { cores: 4, memoryMb: 1000, accelerators: 0 }]]), readyAt: now + READY_IN_MS, lateAt: now + LATE_IN_MS })
    },
    looksAhead
  })
  const workers = Array.from({ length: 20 }, (_, index) => ({ ...createCandidate(`w${index}`, { freeCores: 12 }), stepRuns: new Map<string, number>() }))
  const pools = new Map<string, Pool>([['desk', { workers, freed: [], busy: [] }]])
  return {
    reservations,
    pools,
    dropped,
    runPass: (at, blocked, waiting = blocked) => {
      reservations.update(waiting, pools, at, at)
      reservations.openInterrupted(blocked.filter(({ group }) => group.isResumed === true), pools, at)
      blocked.forEach((tracked) => reservations.recordBlocked(tracked, at))
      reservations.openBlocked(pools, at, at)
      return reservations.list().map(({ group, workers: reserved }) => [group, ...reserved])
    },
    listAllowed: (tracked, at) => reservations.selectPool(tracked, pools.get('desk') as Pool, at, at).pool.workers.map(({ id }) => id)
  }
}

// Guards against a change for deployments whose work always fits, and for those that have turned reservations off.
test('only a group that was blocked for the threshold gets a reservation, and none when they are turned off', () => {
  const [scene, disabled] = [createScene(), createScene(false)]
  const large = createTracked('large')
  expect([scene.runPass(START + 100, [large]), scene.runPass(START + 300, [large]), disabled.runPass(START + 300, [large]), disabled.runPass(START + 900, [large])])
    .toEqual([[], [['large', 'w0']], [], []])
})

// Guards against short urgent work that waits for a reservation, and against reserved cores that idle although work would end in time.
test('reserved workers are closed only to work that is not more urgent and would be in the way', () => {
  const scene = createScene()
  scene.runPass(START + 300, [createTracked('large')])
  const canUse = (step: Partial<Step>, more: Partial<TrackedGroup['group']> = {}, isStarved = false): boolean => {
    const tracked = createTracked('other', { cores: 8, ...step }, more)
    tracked.progress.isStarved = isStarved
    return scene.listAllowed(tracked, START + 310).includes('w0')
  }
  expect({
    equal: canUse({}),
    lessUrgent: canUse({}, { priority: 2 }),
    late: canUse({}, { dueAt: START }),
    moreUrgent: canUse({}, { priority: 0 }),
    starved: canUse({}, {}, true),
    endsBefore: canUse({ expectedRunMs: 100 }),
    fitsBeside: canUse({ cores: 4, memoryMb: 500 }),
    manyTasks: canUse({ cores: 4, memoryMb: 500 }, { indexes: [0, 1] }),
    bestEffort: canUse({ cores: 8, memoryMb: 500, fills: true }),
    bestEffortWithoutMemory: canUse({ memoryMb: 5000, fills: true })
  }).toEqual({ equal: false, lessUrgent: false, late: false, moreUrgent: true, starved: true, endsBefore: true, fitsBeside: true, manyTasks: false, bestEffort: true, bestEffortWithoutMemory: false })
})

// Guards against capacity that is held again and again for a group by a forecast that is wrong.
test('a reservation that is not ready in time is dropped, and the next one comes after an increasing delay', () => {
  const scene = createScene()
  const large = createTracked('large')
  const openedAt: number[] = []
  for (let at = START; at < START + 12_000; at += 50) {
    const before = scene.reservations.list()[0]
    const isReserved = scene.runPass(at, [large]).length > 0
    if (isReserved && scene.reservations.list()[0] !== before) openedAt.push(at)
  }
  const gaps = openedAt.slice(1).map((at, position) => at - Number(openedAt[position]) - LATE_IN_MS)
  expect([new Set(scene.dropped), gaps.every((gap, position) => gap >= 500 * 2 ** position), gaps.length]).toEqual([new Set(['late']), true, 4])
})

test.each<[string, (scene: Scene, large: TrackedGroup) => void]>([
  ['worker-unavailable', ({ pools, runPass }, large) => {
    // The worker drains, is lost, or is in a zone that is evacuated.
    pools.set('desk', { ...pools.get('desk') as Pool, workers: (pools.get('desk') as Pool).workers.slice(1) })
    expect(runPass(START + 500, [large])).toEqual([['large', 'w1']])
  }],
  ['not-waiting', ({ runPass, listAllowed }) => {
    // The workflow is cancelled.
    expect([runPass(START + 350, []), listAllowed(createTracked('other'), START + 350).length]).toEqual([[], 20])
  }],
  ['placed-elsewhere', ({ reservations }, large) => {
    large.progress.isBlocked = false
    reservations.recordPlaced(large, ['w7'], START + 400, START + 400)
    expect(reservations.list()).toEqual([])
  }],
  ['overtaken', ({ reservations, runPass }, large) => {
    reservations.recordPlaced(createTracked('urgent', {}, { priority: 0 }), ['w0'], START + 400, START + 400)
    expect(runPass(START + 300 + LATE_IN_MS + 1, [large])).toEqual([])
  }]
])('a reservation is dropped when its purpose is gone (%s)', (reason, change) => {
  const scene = createScene()
  const large = createTracked('large')
  scene.runPass(START + 300, [large])
  change(scene, large)
  expect(scene.dropped).toEqual([reason])
})

// Guards against a pool that is mostly reserved, and against searches that take the leader's time with a long backlog.
test('at most a tenth of a pool is reserved, and more urgent groups displace less urgent ones', () => {
  const scene = createScene()
  const backlog = Array.from({ length: 50 }, (_, index) => createTracked(`large${index}`))
  const counts = [300, 400, 500, 600].map((passed) => scene.runPass(START + passed, backlog).length)
  const urgent = createTracked('urgent', {}, { priority: 0 })
  const after = scene.runPass(START + 650, [urgent, ...backlog])
  expect([counts, after.length, after.some(([group]) => group === 'urgent')]).toEqual([[1, 2, 2, 2], 2, true])
})

// Reservations are not in the replicated log: they only delay placements, so a new leader may begin without them.
test('after a change of leader no worker is reserved, and a blocked group gets a reservation after the threshold', () => {
  const [before, after] = [createScene(), createScene()]
  before.runPass(START + 300, [createTracked('large')])
  const large = createTracked('large')
  large.progress.idleSince = undefined
  expect([after.runPass(START + 1000, [large]), after.listAllowed(createTracked('other'), START + 1000).length, after.runPass(START + 1200, [large])]).toEqual([[], 20, [['large', 'w0']]])
})

// Guards against a copy of a straggler that takes the capacity for which a large group waits.
test('work without a group gets no reserved worker', () => {
  const scene = createScene()
  const count = (): number | undefined => scene.reservations.excludeReserved(scene.pools).get('desk')?.workers.length
  const before = count()
  scene.runPass(START + 300, [createTracked('large')])
  expect([before, count()]).toEqual([20, 19])
})

test('an interrupted long-running task has its worker for itself, at once and without an end', () => {
  const scene = createScene()
  const resumed = createTracked('resumed', { lasting: true }, { isResumed: true })
  const opened = scene.runPass(START, [resumed])
  const allowed = scene.listAllowed(createTracked('urgent', { expectedRunMs: 1 }, { priority: 0 }), START)
  expect([opened, allowed.includes('w0'), scene.runPass(START + 60_000, [resumed])]).toEqual([[['resumed', 'w0']], false, [['resumed', 'w0']]])
})

test('the workers of a gang are those that are ready first, at most as many as allowed', () => {
  const release = (cores: number, expectedAt: number): WorkerForecast['releases'][number] => ({ cores, memoryMb: 0, accelerators: 0, expectedAt, lateAt: expectedAt + 50 })
  const forecasts: WorkerForecast[] = [['w1', 100], ['w2', 200], ['w3', 300]].map(([worker, at]) => ({ worker: String(worker), rack: undefined, free: { cores: 0, memoryMb: 1000, accelerators: 0 }, releases: [release(10, Number(at)), release(10, 400)] }))
  const find = (maxWorkers: number): unknown => {
    const set = findWorkerSet(forecasts, { step: { cores: 10, memoryMb: 0, accelerators: 0 }, count: 2, maxWorkers, countLimit: () => Infinity }, 0)
    return set === undefined ? undefined : [[...set.spare.keys()], set.readyAt, set.lateAt]
  }
  expect([find(2), find(1), findWorkerSet(forecasts, { step: { cores: 30, memoryMb: 0, accelerators: 0 }, count: 1, maxWorkers: 1, countLimit: () => Infinity }, 0)])
    .toEqual([[['w1', 'w2'], 200, 250], [['w1'], 400, 450], undefined])
})
