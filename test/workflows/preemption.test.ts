import { expect, test } from 'vitest'
import { createManualClock, createNoopMetrics, createSilentLogger } from '../../src/common/index.js'
import type { PlacementCandidate } from '../../src/coordination/workflows/candidates.js'
import { choosePreempted, type PreemptibleRun, type PreemptionNeed, type PreemptionWorker } from '../../src/coordination/workflows/preemption.js'
import { createPreemptor } from '../../src/coordination/workflows/preemptor.js'
import { createRunDurations } from '../../src/coordination/workflows/runDurations.js'
import { createRun, createSession, type Run, type Session, type SessionContext } from '../../src/coordination/workflows/sessionState.js'
import { createWaitingIndex } from '../../src/coordination/workflows/waiting.js'
import { createWorkflowsState, workflowHandlers, type Step } from '../../src/state/index.js'
import { CATALOG, createCandidate, createScene, listDoubled, SERVICE_BOUND, STEP } from './support.js'

const RESTORE_MS = 250
/** Needs all the memory of a worker of which best-effort runs hold 20 GB each. */
const URGENT: Step = { ...STEP, cores: 4, memoryMb: 40_000, expectedRunMs: 1000 }
const FILLING: Step = { ...STEP, cores: 2, memoryMb: 20_000, fills: true, checkpoints: true, expectedRunMs: 2000 }

function createRunOf (task: string, more: Partial<PreemptibleRun> = {}): PreemptibleRun {
  return { task, worker: 'w1', step: FILLING, unsavedMs: 500, endsInMs: 5000, isWorthless: false, ...more }
}

function createWorker (runs: PreemptibleRun[], more: Partial<PreemptionWorker> = {}, freeMemoryMb = 0): PreemptionWorker {
  return { candidate: createCandidate(runs[0]?.worker ?? 'w1', { freeMemoryMb }), runs, ending: [], ...more }
}

function choose (workers: PreemptionWorker[], more: Partial<PreemptionNeed> = {}): string[] {
  return choosePreempted({ step: URGENT, count: 1, startWithinMs: 300, sampledShare: 1, countStepRuns: () => 0, ...more }, workers, RESTORE_MS).map(({ task }) => task)
}

test('the runs with the least unsaved work are stopped, those of worthless workflows first, and no more than needed', () => {
  const runs = [createRunOf('a', { unsavedMs: 700 }), createRunOf('b', { unsavedMs: 100 }), createRunOf('c', { unsavedMs: 900, isWorthless: true }), createRunOf('d', { unsavedMs: 300 })]
  expect(choose([createWorker(runs)])).toEqual(['c', 'b'])
  expect(choose([createWorker(runs, {}, 20_000)])).toEqual(['c'])
  // A small run that was chosen first is kept when a larger one alone makes the room.
  expect(choose([createWorker([createRunOf('small', { unsavedMs: 0, step: { ...FILLING, memoryMb: 100 } }), createRunOf('large', { step: { ...FILLING, memoryMb: 40_000 } })])])).toEqual(['large'])
  // Two workers: one task each, from the cheaper worker first.
  const workers = [createWorker([createRunOf('e'), createRunOf('f')]), createWorker(['g', 'h'].map((task) => createRunOf(task, { worker: 'w2', unsavedMs: 100 })))]
  expect([choose(workers).toSorted(), choose(workers, { count: 5 }).length]).toEqual([['g', 'h'], 4])
})

test('nothing is stopped when the stop would cost more than it gains, or when room is or becomes free in time', () => {
  const runs = [createRunOf('a'), createRunOf('b')]
  expect(choose([createWorker([createRunOf('a', { unsavedMs: 1000 }), createRunOf('b', { unsavedMs: 1000 })])])).toEqual([])
  expect(choose([createWorker([createRunOf('a', { endsInMs: 200 }), createRunOf('b', { endsInMs: 200 })])])).toEqual([])
  expect(choose([createWorker(runs, {}, 40_000)])).toEqual([])
  // A stop that is answered late: its capacity counts as free until the run has ended.
  expect(choose([createWorker(runs, { ending: [FILLING, FILLING] })])).toEqual([])
  expect(choose([createWorker(runs, { ending: [FILLING] })]).length).toBe(1)
  // Ordinary cores are not held by best-effort runs.
  expect(choose([{ ...createWorker(runs), candidate: createCandidate('w1', { freeMemoryMb: 0, freeCores: 2 }) }])).toEqual([])
})

test('room is made for a whole gang or not at all', () => {
  const workers = [createWorker([createRunOf('a'), createRunOf('b')])]
  expect([1, 2].map((count) => choose(workers, { count, step: { ...URGENT, gang: true } }).length)).toEqual([2, 0])
})

interface Desk { stopped: Array<[string, string]>, session: Session, check (ms?: number): Promise<void>, addRun (task: string): Run }

/** One worker whose memory two best-effort runs hold, and an urgent task that waits for it with much slack. */
function createDesk (steps: Step[] = [FILLING]): Desk {
  const clock = createManualClock(10_000)
  const state = createWorkflowsState()
  const [queue] = CATALOG.queues
  workflowHandlers['catalog.put'](state, { catalog: { ...CATALOG, queues: [{ ...queue!, objectiveMs: 60_000 }, { ...queue!, name: 'batch', pathPrefix: '/batch/', priority: 2 }] } })
  const life = { id: 'w1', bornAt: 1, service: 'desk', address: '', availabilityZone: 'a', cores: 32, memoryMb: 40_000, accelerators: 0, labels: [], draining: false }
  workflowHandlers['life.report'](state, { life })
  workflowHandlers['workflow.submit'](state, { queue: 'quotes', workflow: { id: 'urgent', command: '', steps: [URGENT] }, at: clock.wall() })
  workflowHandlers['workflow.submit'](state, { queue: 'batch', workflow: { id: 'batch', command: '', steps: steps.map((step) => ({ ...step, count: 2, expectedRunMs: 1e6 })) }, at: clock.wall() })
  const session = Object.assign(createSession({ clock, serviceBound: SERVICE_BOUND } as unknown as SessionContext, life), { reachable: true })
  const stopped: Array<[string, string]> = []
  const preemptor = createPreemptor({ clock, logger: createSilentLogger(), metrics: createNoopMetrics(), settings: { checkpointMs: 1000, restoreMs: RESTORE_MS }, sessions: new Map([['w1', session]]), runDurations: createRunDurations(), getState: () => state, stopRun: (_session, run, reason) => { Object.assign(run, { stopReason: reason }); stopped.push([run.task, reason]) } })
  const candidate: PlacementCandidate = { ...createCandidate('w1', { memoryMb: 40_000, freeMemoryMb: 0 }), stepRuns: new Map() }
  const tracked = createWaitingIndex(() => state)
  tracked.markChanged('urgent')
  const addRun = (task: string): Run => {
    const run = createRun(task, 1, clock.now(), true)
    session.runs.set(task, Object.assign(run, { confirmedAt: clock.now() }))
    return run
  }
  return {
    stopped,
    session,
    addRun,
    check: async (ms = 100) => {
      await clock.advance(ms)
      const groups = tracked.list(clock.wall()).filter(({ group }) => group.record.workflow.id === 'urgent')
      groups.forEach(({ progress }) => { progress.isBlocked = true })
      preemptor.run(groups, new Map([['desk', { workers: [candidate], freed: [], busy: [] }]]), clock.wall())
    }
  }
}

// Guards against stopping further runs while the answers to stop orders are late, and against stopping one task again and again.
test('runs are stopped once, and the same task not again for some seconds', async () => {
  const desk = createDesk()
  const tasks = ['batch.0.0.0', 'batch.0.0.1']
  tasks.forEach(desk.addRun)
  await desk.check()
  await desk.check()
  expect(desk.stopped).toEqual(tasks.map((task) => [task, 'preempted']))
  tasks.forEach(desk.addRun)
  await desk.check(4000)
  expect(desk.stopped.length).toBe(2)
  await desk.check(1200)
  expect(desk.stopped.length).toBe(4)
})

// Guards against an exception, or a stop of another run, when a chosen run ends by itself at the same moment.
test('a run that ended by itself, a long-running one and one of an urgent queue are not stopped', async () => {
  const desk = createDesk()
  ;['batch.0.0.0', 'batch.0.0.1'].forEach(desk.addRun)
  desk.session.runs.delete('batch.0.0.0')
  await desk.check()
  desk.session.runs.clear()
  ;['urgent.0.0.0', 'urgent.0.0.1', 'unknown.0.0.0', 'x'].forEach(desk.addRun)
  await desk.check()
  expect(desk.stopped).toEqual([])
  const lasting = createDesk([{ ...FILLING, lasting: true }])
  ;['batch.0.0.0', 'batch.0.0.1'].forEach(lasting.addRun)
  await lasting.check()
  expect(lasting.stopped).toEqual([])
})

// Guards against a second run of a task whose stop was answered late, over the whole path of orders.
test.each(['none', 'late', 'lost-answer'] as const)('urgent work starts in the place of a best-effort run, and no task runs twice at a time, with the fault %s of stop orders', async (fault) => {
  const queues = [{ ...CATALOG.queues[0]!, slackFactor: 3, objectiveMs: 3000 }, { ...CATALOG.queues[0]!, name: 'batch', pathPrefix: '/batch/', priority: 2 }]
  const scene = await createScene(['w1'], { ...CATALOG, queues })
  scene.fleet.plan = (task) => ({ runMs: task.startsWith('batch') ? 60_000 : 1000, result: 'succeeded' })
  scene.fleet.workers.get('w1')!.fault = (kind) => kind === 'stop' ? fault : 'none'
  scene.fleet.lateMs = 1500
  await scene.submit('batch', [{ count: 4, cores: 2, memoryMb: 32_000, fills: true, checkpoints: true, expectedRunMs: 60_000 }], {}, 'batch')
  await scene.run(2000)
  await scene.submit('urgent', [{ cores: 16, memoryMb: 32_000, expectedRunMs: 1000 }])
  await scene.run(6000)
  const ends = scene.listEvents('ended')
  expect(ends.filter(({ cause }) => cause === 'stopped').length).toBe(1)
  expect(ends.some(({ task, cause }) => task.startsWith('urgent') && cause === 'succeeded')).toBe(true)
  expect(listDoubled(scene.fleet.events)).toEqual([])
})
