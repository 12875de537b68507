import { expect, test } from 'vitest'
import { createManualClock, createSilentLogger, type ManualClock } from '../../src/common/index.js'
import type { WorkerReport } from '../../src/coordination/workflows/sessionMessages.js'
import type { RunView, WorkerView } from '../../src/coordination/workflows/sessionState.js'
import { createWorkerHealth, type WorkerHealth } from '../../src/coordination/workflows/workerHealth.js'
import { createWorkerViews } from '../../src/coordination/workflows/workerViews.js'
import { createWorkflowsState, workflowHandlers, type Step, type WorkerIncarnation } from '../../src/state/index.js'
import { CATALOG, STEP } from './support.js'

const LIFE: WorkerIncarnation = { id: 'w1', bornAt: 1, service: 'desk', address: '127.0.0.1:1', availabilityZone: 'a', cores: 8, memoryMb: 100_000, accelerators: 0, labels: [], draining: false }
const REPORT_MS = 500

interface Scene {
  clock: ManualClock
  health: WorkerHealth
  /** Reports the progress of the run, as its session host read it `agoMs` ago. */
  report (percent: number, agoMs?: number): void
  listStopped (): string[]
}

/** The leader's view of one worker with one run. */
function createScene (expectedRunMs = STEP.expectedRunMs): Scene {
  const clock = createManualClock(10_000)
  const state = createWorkflowsState()
  const steps: Step[] = [{ ...STEP, count: 1, expectedRunMs }]
  workflowHandlers['catalog.put'](state, { catalog: CATALOG })
  workflowHandlers['life.report'](state, { life: LIFE })
  workflowHandlers['workflow.submit'](state, { queue: 'quotes', workflow: { id: 'x', command: '', steps }, at: 0 })
  workflowHandlers['workflow.assign'](state, { assignments: [['x.0.0.0', 'w1', 1]] })
  const health = createWorkerHealth({ clock, logger: createSilentLogger() })
  const views = createWorkerViews({ clock, getState: () => state, findHost: () => 'h2', onStarted: () => {} })
  views.syncWorker('w1')
  const findStep = (): Step => steps[0] as Step
  return {
    clock,
    health,
    report: (percent, agoMs = 20) => {
      const report: WorkerReport = { worker: 'w1', bornAt: 1, reachable: true, hasOverdueService: false, readAgoMs: agoMs, runs: [['x.0.0.0', 1, percent, null, 0]], strays: [] }
      const view = views.recordReport('h2', report)
      if (view !== undefined) health.observeRuns(view, { running: [...view.runs.values()].flatMap(({ status }) => status ?? []), ends: [] }, findStep)
    },
    listStopped: () => {
      const view = views.workers.get('w1')
      return view === undefined ? [] : [...health.listStalled(view, findStep), ...health.listSlow(view, findStep)]
    }
  }
}

async function runReports ({ clock, report }: Scene, count: number, getPercent: (number: number) => number): Promise<void> {
  for (let number = 0; number < count; number += 1) {
    report(getPercent(number))
    await clock.advance(REPORT_MS)
  }
}

// Guards against sound runs that are started again elsewhere because their worker, its session host or the leader itself was
// silent for some seconds: the leader then knows nothing of their progress.
test('runs of a worker that nothing was heard of for some seconds are not taken for stalled or slow', async () => {
  const scene = createScene()
  await runReports(scene, 4, (number) => number * 5)
  await scene.clock.advance(4000)
  const whileSilent = scene.listStopped()
  // A report from before the silence arrives first.
  scene.report(15)
  const afterOldReport = scene.listStopped()
  await scene.clock.advance(50)
  scene.report(60)
  await runReports(scene, 4, (number) => 65 + number * 5)
  expect([whileSilent, afterOldReport, scene.listStopped(), scene.health.isPaused('w1'), scene.health.getSlowness('w1') < 1.2]).toEqual([[], [], [], false, true])
})

test('a run without progress in the reports of 3 s is stalled, and its worker is paused', async () => {
  const scene = createScene()
  await runReports(scene, 3, (number) => number * 5)
  await runReports(scene, 6, () => 10)
  expect([scene.listStopped(), scene.health.isPaused('w1')]).toEqual([['x.0.0.0'], true])
})

/** Pauses of workers after the given ends of runs. */
function listPaused (workers: string[], ends: Array<[worker: string, task: string, cause: 'succeeded' | 'failed']>): string[] {
  const health = createWorkerHealth({ clock: createManualClock(0), logger: createSilentLogger() })
  ends.forEach(([worker, task, cause]) => health.recordEnd(worker, task, cause))
  return workers.filter((worker) => health.isPaused(worker))
}

function createFailures (worker: string, workflow: string, count: number): Array<[string, string, 'failed']> {
  return Array.from({ length: count }, (_, index) => [worker, `${workflow}.0.0.${index}`, 'failed'])
}

// Guards against a workflow that cannot be done and stops the starts of all others, because every worker on which it fails is
// paused.
test('the failures of one workflow pause no worker, one after the other or on all workers at once', () => {
  const workers = ['w1', 'w2', 'w3', 'w4']
  const spread = workers.flatMap((worker) => createFailures(worker, 'poison', 9))
  const alone = createFailures('w1', 'poison', 40)
  const steps = Array.from({ length: 6 }, (_, step): [string, string, 'failed'] => ['w1', `poison.0.${step}.0`, 'failed'])
  expect([listPaused(workers, spread), listPaused(workers, alone), listPaused(workers, steps)]).toEqual([[], [], []])
})

test('workflows that fail on sound workers do not add up to a pause', () => {
  const ends = ['a', 'b', 'c', 'd', 'e'].flatMap((workflow): Array<[string, string, 'succeeded' | 'failed']> => [
    ...createFailures('w1', workflow, 3), ...createFailures('w2', workflow, 3), ['w2', 'other.0.0.0', 'succeeded']
  ])
  expect(listPaused(['w1', 'w2'], ends)).toEqual([])
})

// Guards against a service that stands still because many workflows that cannot be done come at once.
test('failures pause at most half of the workers', () => {
  const workers = ['w1', 'w2', 'w3', 'w4']
  const ends = ['a', 'b', 'c', 'd', 'e'].flatMap((workflow) => workers.flatMap((worker) => createFailures(worker, workflow, 3)))
  expect(listPaused(workers, [...workers.map((worker): [string, string, 'succeeded'] => [worker, 'other.0.0.0', 'succeeded']), ...ends])).toHaveLength(2)
})

// Guards against faulty workers that take one task after the other, as they are always free, and fail their workflows before any
// of their tasks has succeeded elsewhere.
test('several workers on which all work fails are paused, also before any of it has succeeded', () => {
  const ends = ['a', 'b', 'c'].flatMap((workflow) => [...createFailures('w1', workflow, 1), ...createFailures('w2', workflow, 1)])
  const sound = ['w3', 'w4', 'w5'].map((worker): [string, string, 'succeeded'] => [worker, 'other.0.0.0', 'succeeded'])
  expect(listPaused(['w1', 'w2', 'w3', 'w4', 'w5'], [...sound, ...ends])).toEqual(['w1', 'w2'])
})

// Guards against a worker on which everything fails and that goes on receiving tasks, which fail their workflows.
test('a worker on which several workflows fail, or work that succeeds elsewhere, is paused', () => {
  const several = ['a', 'b', 'c'].flatMap((workflow) => createFailures('w1', workflow, 1))
  const sound: Array<[string, string, 'succeeded']> = [['w2', 'a.0.0.9', 'succeeded']]
  expect([listPaused(['w1', 'w2'], several), listPaused(['w1', 'w2'], [...sound, ...createFailures('w1', 'a', 3)])]).toEqual([['w1'], ['w1']])
})

// Guards against faulty workers that go on receiving tasks, because several of them have failed the same work before it succeeded.
test('failures on several faulty workers count as soon as the work has succeeded elsewhere', () => {
  const failed = [...createFailures('w1', 'a', 3), ...createFailures('w2', 'a', 3)]
  const workers = ['w1', 'w2', 'w3']
  const sound = ['w3', 'w4'].map((worker): [string, string, 'succeeded'] => [worker, 'other.0.0.0', 'succeeded'])
  expect([listPaused(workers, [...sound, ...failed]), listPaused(workers, [...sound, ...failed, ['w3', 'a.0.0.9', 'succeeded']])]).toEqual([[], ['w1', 'w2']])
})

test('failures before a success of the worker do not count', () => {
  expect(listPaused(['w1'], [...createFailures('w1', 'a', 1), ...createFailures('w1', 'b', 1), ['w1', 'c.0.0.0', 'succeeded'], ...createFailures('w1', 'd', 1), ...createFailures('w1', 'e', 1)])).toEqual([])
})

const HOUR_MS = 3_600_000
const DAY_MS = 24 * HOUR_MS
const whole = (share: number): number => Math.floor(share * 100)
const coarse = (share: number): number => share < 0.5 ? 0 : 50
const never = (): number => 0
/** Three quarters of the progress are reported in the first tenth of the time. */
const uneven = (share: number): number => whole(share < 0.1 ? share * 7.5 : 0.75 + (share - 0.1) / 0.9 * 0.25)

// Guards against sound tasks that are stopped again and again, since they report progress rarely.
test.each<[string, number, number, (share: number) => number]>([
  ['ten minutes, whole percents', HOUR_MS / 6, HOUR_MS / 6, whole],
  ['an hour, estimate ten times too low', HOUR_MS, HOUR_MS / 10, whole],
  ['an hour, estimate ten times too high', HOUR_MS, HOUR_MS * 10, whole],
  ['an hour, coarse percents', HOUR_MS, HOUR_MS, coarse],
  ['an hour, never reported, estimate ten times too low', HOUR_MS, HOUR_MS / 10, never],
  ['an hour, uneven progress', HOUR_MS, HOUR_MS, uneven],
  ['an hour, never reported, no estimate', HOUR_MS, 0, never],
  ['a day, coarse percents, estimate ten times too low', DAY_MS, DAY_MS / 10, coarse]
])('a sound run of %s is not taken for stalled', async (_name, runMs, expectedRunMs, getPercent) => {
  const scene = createScene(expectedRunMs)
  const readings = Math.ceil(runMs / 1200)
  let stopped: string[] = []
  for (let reading = 0; reading < readings && stopped.length === 0; reading += 1) {
    scene.report(getPercent(reading / readings))
    stopped = scene.listStopped()
    await scene.clock.advance(runMs / readings)
  }
  expect([stopped, scene.health.isPaused('w1')]).toEqual([[], false])
})

test('a short run that never makes progress is stalled after a multiple of its estimate, when nothing else is known of its work', async () => {
  const scene = createScene(1000)
  const listAfter = async (reports: number): Promise<string[]> => {
    await runReports(scene, reports, () => 0)
    return scene.listStopped()
  }
  expect([await listAfter(20), await listAfter(6)]).toEqual([[], ['x.0.0.0']])
})

interface ObservedWorker { view: WorkerView, startRun (task: string): void, end (task: string): void }

/** Workers whose runs of one step the leader observes; the average speed comes from all of them. */
function createObservedWorker (worker: string, clock: ManualClock, health: WorkerHealth): ObservedWorker {
  const runs = new Map<string, RunView>()
  const view: WorkerView = { worker, bornAt: 1, runs, strays: new Map(), hasOverdueService: false, readAt: clock.now(), reachable: true, ended: false }
  return {
    view,
    startRun: (task) => runs.set(task, { task, attempt: 1, confirmedAt: clock.now(), startedAt: clock.now(), assignedAt: clock.now(), stopReason: undefined, status: undefined, progressAt: clock.now() }),
    end: (task) => {
      health.observeRuns(view, { running: [], ends: [[1, task, 1, 'succeeded', '']] }, () => STEP)
      runs.delete(task)
    }
  }
}

// Guards against sound workers that look slow, and lose all their runs, because another session host took them over and reported
// late what had ended meanwhile: on one day the log had 94 stops within a tenth of a second after such a change.
test('runs that ended before the first report of a new session host do not make their worker look slow', async () => {
  const clock = createManualClock(10_000)
  const health = createWorkerHealth({ clock, logger: createSilentLogger() })
  const [usual, taken] = ['w1', 'w2'].map((worker) => createObservedWorker(worker, clock, health)) as [ObservedWorker, ObservedWorker]
  const tasks = Array.from({ length: 6 }, (_, index) => `a.0.0.${index}`)
  tasks.forEach((task) => [usual, taken].forEach((worker) => worker.startRun(task)))
  await clock.advance(600)
  tasks.forEach(usual.end)
  taken.view.reachable = false
  await clock.advance(1800)
  Object.assign(taken.view, { reachable: true, reachableSince: clock.now() })
  await clock.advance(100)
  tasks.forEach(taken.end)
  expect(health.getSlowness('w2')).toBeLessThan(1.2)
})

/** A worker on which tasks take ten times as long as on another one, with one more run, begun 600 ms ago. */
async function createSlowWorker (): Promise<{ health: WorkerHealth, slow: ObservedWorker }> {
  const clock = createManualClock(10_000)
  const health = createWorkerHealth({ clock, logger: createSilentLogger() })
  const [usual, slow] = ['w1', 'w2'].map((worker) => createObservedWorker(worker, clock, health)) as [ObservedWorker, ObservedWorker]
  const tasks = Array.from({ length: 6 }, (_, index) => `a.0.0.${index}`)
  tasks.forEach(slow.startRun)
  await clock.advance(4500)
  for (const task of tasks) {
    const siblings = [10, 20, 30, 40].map((offset) => `a.0.0.${offset + Number(task.at(-1))}`)
    siblings.forEach(usual.startRun)
    await clock.advance(500)
    siblings.forEach(usual.end)
    slow.end(task)
  }
  slow.startRun('a.0.0.99')
  slow.view.readAt = clock.now()
  await clock.advance(600)
  return { health, slow }
}

function setPercent ({ view }: ObservedWorker, percent: number): void {
  const run = view.runs.get('a.0.0.99')
  if (run !== undefined) run.status = { task: run.task, attempt: 1, checkpoint: '', percent, reading: undefined }
}

// Guards against the stop of a run that has just started, because no reading of it has arrived yet.
test('a run without a reading is not moved off a slow worker', async () => {
  const { health, slow } = await createSlowWorker()
  const withoutReading = health.listSlow(slow.view, () => STEP)
  setPercent(slow, 1)
  expect([health.getSlowness('w2') > 3, withoutReading, health.listSlow(slow.view, () => STEP)]).toEqual([true, [], ['a.0.0.99']])
})
