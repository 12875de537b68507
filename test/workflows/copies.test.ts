import { expect, test } from 'vitest'
import { createCopySupport } from '../../src/coordination/workflows/copySupport.js'
import type { FakeRunWorker } from '../../src/fakes/runFleet.js'
import { createWorkflowsState, type Step } from '../../src/state/index.js'
import { CATALOG, createHosts, createScene, listDoubled, listOwned, type Scene } from './support.js'

const LONG_MS = 7000
const SPECULATIVE: Partial<Step> = { speculative: true }
const WORKERS = ['w1', 'w2', 'w3', 'w4']

/** Submits twelve tasks of which the first run of the last one takes seven times as long; its other runs are planned by `planCopy`. */
async function startStraggler (step: Partial<Step> = SPECULATIVE, planCopy: Scene['fleet']['plan'] = () => ({ runMs: 1000, result: 'succeeded' }), allowsCopies = true): Promise<Scene> {
  const scene = await createScene(WORKERS, CATALOG, { allowsCopies })
  const begun = new Set<string>()
  scene.fleet.plan = (task, worker) => {
    if (task !== 'a1.0.0.11') return { runMs: 1000, result: 'succeeded' }
    const isFirst = !begun.has(task)
    begun.add(task)
    return isFirst ? { runMs: LONG_MS, result: 'succeeded' } : planCopy(task, worker)
  }
  await scene.submit('a1', [{ count: 12, ...step }])
  return scene
}

/** Runs until the straggler has two runs and the other tasks have ended, and returns the workers of the runs, that of the original first. */
async function runUntilCopied (scene: Scene): Promise<[FakeRunWorker, FakeRunWorker]> {
  const isOtherRunning = (): boolean => [...scene.fleet.workers.values()].some(({ running }) => [...running.keys()].some((task) => task !== 'a1.0.0.11'))
  for (let waited = 0; waited < 3000 && (listRuns(scene).length < 2 || isOtherRunning()); waited += 10) await scene.run(10)
  const [original, copy] = listRuns(scene).map(({ worker }) => scene.fleet.workers.get(worker))
  if (original === undefined || copy === undefined) throw new Error('the straggler has no copy')
  return [original, copy]
}

function listRuns (scene: Scene): Array<{ worker: string, attempt: number, at: number }> {
  return scene.listEvents('started').filter(({ task }) => task === 'a1.0.0.11')
}
function getOutcome ({ log }: Scene): string | undefined {
  return log.state().workflows.workflows.a1?.outcome
}
function listEnds (scene: Scene): string[] {
  return scene.listEvents('acknowledged').filter(({ task }) => task === 'a1.0.0.11').map(({ attempt, cause }) => `${attempt} ${cause}`).sort()
}
/** What must hold after every play: no other task ran twice, nothing is assigned or runs, and both runs were reported. */
function listLeft (scene: Scene): unknown {
  const { workers } = scene.log.state().workflows
  return {
    doubled: listDoubled(scene.fleet.events).filter((task) => task !== 'a1.0.0.11'),
    assigned: Object.values(workers).flatMap(({ assigned }) => Object.keys(assigned)),
    running: [...scene.fleet.workers.values()].filter(({ reachable }) => reachable).flatMap(({ running }) => [...running.keys()])
  }
}
const NOTHING_LEFT = { doubled: [], assigned: [], running: [] }

test('the copy of a straggler ends the workflow early, and the straggler is stopped and acknowledged', async () => {
  const scene = await startStraggler()
  await scene.run(3500)
  expect([getOutcome(scene), listEnds(scene), listLeft(scene)]).toEqual(['completed', ['1 stopped', '2 succeeded'], NOTHING_LEFT])
})

test.each<[string, Partial<Step>]>([['without speculative', {}], ['of a gang', { speculative: true, gang: true }], ['that is long-running', { speculative: true, lasting: true }]])('a step %s gets no copies', async (_name, step) => {
  const scene = await startStraggler(step)
  await scene.run(5000)
  expect(listDoubled(scene.fleet.events)).toEqual([])
})

test('the original wins against a copy that takes as long, and the copy is stopped', async () => {
  const scene = await startStraggler(SPECULATIVE, () => ({ runMs: LONG_MS, result: 'succeeded' }))
  await scene.run(9000)
  expect([getOutcome(scene), listEnds(scene), listLeft(scene)]).toEqual(['completed', ['1 succeeded', '2 stopped'], NOTHING_LEFT])
})

test('both runs succeed at the same time', async () => {
  const scene = await startStraggler()
  const [original, copy] = await runUntilCopied(scene)
  const until = scene.clock.now() + 1000
  const workers = [original, copy]
  workers.forEach(({ running }) => {
    const run = running.get('a1.0.0.11')
    if (run !== undefined) run.plan = { runMs: until - run.startedAt, result: 'succeeded' }
  })
  await scene.run(4000)
  expect([getOutcome(scene), listEnds(scene), listLeft(scene)]).toEqual(['completed', ['1 succeeded', '2 succeeded'], NOTHING_LEFT])
})

test('a copy that fails counts as a failure, and the original completes the task', async () => {
  const scene = await startStraggler(SPECULATIVE, () => ({ runMs: 100, result: 'failed' }))
  await runUntilCopied(scene)
  await scene.run(500)
  const failures = scene.log.state().workflows.workflows.a1?.tasks['0.0.11']?.failures
  const worker = scene.fleet.workers.get(listRuns(scene)[0]?.worker ?? '')
  const run = worker?.running.get('a1.0.0.11')
  if (run !== undefined) run.plan = { runMs: 0, result: 'succeeded' }
  await scene.run(2000)
  expect([failures, run !== undefined, getOutcome(scene), listLeft(scene)]).toEqual([1, true, 'completed', NOTHING_LEFT])
})

test('the workflow fails with the failures of both runs, and nothing is started afterwards', async () => {
  const scene = await startStraggler(SPECULATIVE, () => ({ runMs: 300, result: 'failed' }))
  const [original] = await runUntilCopied(scene)
  const run = original.running.get('a1.0.0.11')
  if (run !== undefined) run.plan = { runMs: scene.clock.now() - run.startedAt + 600, result: 'failed' }
  await scene.run(4000)
  expect([getOutcome(scene), listRuns(scene).length, listEnds(scene), listLeft(scene)]).toEqual(['failed', 2, ['1 failed', '2 failed'], NOTHING_LEFT])
})

test.each([['original', 0], ['copy', 1]])('the worker of the %s is lost while the other run goes on', async (_name, position) => {
  const scene = await startStraggler(SPECULATIVE, () => ({ runMs: 9000, result: 'succeeded' }))
  const pair = await runUntilCopied(scene)
  pair[position]?.crash()
  await scene.run(14_000)
  expect([getOutcome(scene), listLeft(scene)]).toEqual(['completed', NOTHING_LEFT])
})

test.each([['original', 0], ['copy', 1]])('the worker of the %s is replaced by a new incarnation', async (_name, position) => {
  const scene = await startStraggler(SPECULATIVE, () => ({ runMs: 3000, result: 'succeeded' }))
  const lost = (await runUntilCopied(scene))[position]!
  lost.crash()
  const { life } = scene.fleet.addWorker({ ...lost.life, bornAt: 2 })
  scene.log.propose({ kind: 'life.report', life }, Infinity)
  await scene.run(9000)
  expect([getOutcome(scene), listLeft(scene)]).toEqual(['completed', NOTHING_LEFT])
})

test('a cancelled workflow is stopped in both runs', async () => {
  const scene = await startStraggler()
  await runUntilCopied(scene)
  await scene.send({ kind: 'cancel', address: { hostName: 'desk.example', path: '/quotes/a1' }, remainingMs: 1000, heldMs: 0 })
  await scene.run(2000)
  expect([getOutcome(scene), listEnds(scene), listLeft(scene)]).toEqual(['cancelled', ['1 stopped', '2 stopped'], NOTHING_LEFT])
})

// Guards against a copy that is ordered again or kept after the answer to its start was lost, and against one whose order is
// executed after the task has succeeded.
test.each(['lost-answer', 'lost-order', 'late'] as const)('the start of the copy has a fault: %s', async (fault) => {
  const scene = await startStraggler()
  let left = 1
  scene.fleet.workers.forEach((worker) => {
    worker.fault = (kind, task) => kind === 'start' && task === 'a1.0.0.11' && listRuns(scene).length === 1 && left-- > 0 ? fault : 'none'
  })
  await scene.run(9000)
  expect([getOutcome(scene), left < 1, new Set(listRuns(scene).map(({ attempt }) => attempt)).size, listLeft(scene)]).toEqual(['completed', true, 2, NOTHING_LEFT])
})

// Guards against a worker that is given up with the end of a winning run unreported: the loser must not start again then.
test('the worker of the straggler is out of reach while its copy wins, and its run is stopped when it returns', async () => {
  const scene = await startStraggler()
  const [original] = await runUntilCopied(scene)
  original.reachable = false
  await scene.run(2500)
  const outcome = getOutcome(scene)
  original.reachable = true
  await scene.run(8000)
  expect([outcome, listRuns(scene).length, listLeft(scene)]).toEqual(['completed', 2, NOTHING_LEFT])
})

test('a group that waits for capacity of the same priority goes before copies', async () => {
  const scene = await startStraggler()
  await scene.submit('large', [{ count: 400, cores: 8 }])
  await scene.run(2500)
  expect(listRuns(scene)).toHaveLength(1)
})

test('no step gets copies while they are turned off', async () => {
  const scene = await startStraggler(SPECULATIVE, undefined, false)
  await scene.run(5000)
  expect(listDoubled(scene.fleet.events)).toEqual([])
})

// Guards against a next leader that takes the original or the copy for a task without a run, or starts a third one.
test.each([['before the copy was started', 'lost-order'], ['while both run', 'none']] as const)('the leader changes %s', async (_name, fault) => {
  const scene = await startStraggler(SPECULATIVE, () => ({ runMs: 3000, result: 'succeeded' }))
  let isFaulty = true
  scene.fleet.workers.forEach((worker) => { worker.fault = (kind, task) => isFaulty && kind === 'start' && task === 'a1.0.0.11' && listRuns(scene).length > 0 ? fault : 'none' })
  const isAssigned = (): boolean => scene.log.state().workflows.workflows.a1?.tasks['0.0.11']?.copy !== undefined
  for (let waited = 0; waited < 3000 && !isAssigned(); waited += 10) await scene.run(10)
  await scene.changeLeader()
  isFaulty = false
  await scene.run(6000)
  expect([getOutcome(scene), listRuns(scene).map(({ attempt }) => attempt), listEnds(scene), listLeft(scene)]).toEqual(['completed', [1, 2], ['1 stopped', '2 succeeded'], NOTHING_LEFT])
})

// Guards against a host that takes over a worker and knows only one of the two runs, or restarts the one that has lost.
test.each([['original', 0], ['copy', 1]])('the session host of the worker of the %s is lost, and the workflow completes with one copy', async (_name, position) => {
  const hosts = await createHosts(['h1', 'h2', 'h3', 'h4'], 12)
  const begun = new Set<string>()
  const straggler = 'a1.0.0.11'
  hosts.fleet.plan = (task) => {
    if (task !== straggler) return { runMs: 1000, result: 'succeeded' }
    const isFirst = !begun.has(task)
    begun.add(task)
    return { runMs: isFirst ? 2 * LONG_MS : 4000, result: 'succeeded' }
  }
  hosts.submit('a1', [{ count: 12, speculative: true }])
  const listStarts = (): string[] => hosts.fleet.events.filter(({ kind, task }) => kind === 'started' && task === straggler).map(({ worker }) => worker)
  for (let waited = 0; waited < 4000 && listStarts().length < 2; waited += 10) await hosts.clock.advance(10)
  await hosts.clock.advance(1000)
  const worker = listStarts()[position] ?? ''
  const owner = ['h1', 'h2', 'h3', 'h4'].find((host) => listOwned(hosts, host).includes(worker)) ?? ''
  hosts.network.setDown(owner, true)
  hosts.followers.get(owner)?.setReachable(false)
  await hosts.clock.advance(12_000)
  const assigned = Object.values(hosts.log.state().workflows.workers).flatMap((record) => Object.keys(record.assigned))
  expect([owner === '' || owner === 'h1', hosts.log.state().workflows.workflows.a1?.outcome, listStarts().length, assigned]).toEqual([false, 'completed', 2, []])
  await hosts.stop()
})

// Guards against copies that a host of an earlier build would not know of: it could start a task after its success.
test('a host of an earlier build among the hosts keeps copies off', async () => {
  const scene = await startStraggler()
  scene.log.join('h2')
  await scene.run(5000)
  expect(listDoubled(scene.fleet.events)).toEqual([])
})

// Guards against a leader that makes no copies because a voter has been down since before its term.
test('copies go on under a new leader while a host that is known to apply them is down', async () => {
  const scene = await startStraggler()
  await runUntilCopied(scene)
  const { log } = scene
  const copyHosts = [...log.state().workflows.copyHosts ?? []]
  log.join('h2')
  log.propose({ kind: 'workflow.assign', assignments: [], copyHosts: [...copyHosts, 'h2'] }, Infinity)
  await scene.changeLeader()
  // A host gets sessions with workers half a second after its first exchange.
  await scene.run(1500)
  const before = listDoubled(scene.fleet.events).length
  await scene.submit('a2', [{ count: 12, ...SPECULATIVE }])
  await scene.run(100)
  scene.fleet.workers.forEach(({ running }) => running.forEach((run, task) => { if (task === 'a2.0.0.3') run.plan = { runMs: LONG_MS, result: 'succeeded' } }))
  await scene.run(3000)
  expect([copyHosts, listDoubled(scene.fleet.events).slice(before)]).toEqual([['h1'], ['a2.0.0.3']])
})

test('a host that comes back with an earlier build counts as such although it applied copies before', () => {
  const support = createCopySupport(() => ({ ...createWorkflowsState(), copyHosts: ['h1', 'h2'] }))
  const before = support.isComplete(['h1', 'h2'])
  support.recordHost('h2', false)
  expect([before, support.isComplete(['h1', 'h2']), support.isComplete(['h1']), support.listNew(['h1', 'h2'])]).toEqual([true, false, true, ['h1']])
})
