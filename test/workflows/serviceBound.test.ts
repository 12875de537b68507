import { expect, test } from 'vitest'
import { createManualClock, createNoopMetrics, createNoopEventLoopMeter, createSilentLogger, createSystemClock, Ok, type Clock, type Result } from '../../src/common/index.js'
import type { OrderReply, PollOrder, PollReply, RunOrder, RunStatus, WorkerClient, WorkerFailure } from '../../src/coordination/workflows/index.js'
import { runSession } from '../../src/coordination/workflows/session.js'
import { createRun, createSession, type Session, type SessionContext } from '../../src/coordination/workflows/sessionState.js'
import { createUnansweredStarts } from '../../src/coordination/workflows/unansweredStarts.js'
import { createWorkflowsState, workflowHandlers, type WorkerIncarnation } from '../../src/state/index.js'
import { CATALOG, createHosts, createScene, listOwned, SERVICE_BOUND, STEP, type Scene } from './support.js'

const TARGET_MS = 18
const WORKERS = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6']
/** Longer than the time in which a pair of images is learned to be harmless. */
const LEARN_MS = 20_000
/** Shorter than the time for which a new session host could take a service for within its target. */
const MOVE_INTERVAL_MS = 700
const POLL_MS = 50

/** Workers with one latency-critical task each, beside which best-effort tasks of one image have run without interference. */
async function createHarmless (): Promise<Scene> {
  const scene = await createScene(WORKERS)
  scene.fleet.plan = (task) => task.startsWith('short') ? { runMs: 1500, result: 'succeeded' } : { runMs: 0, result: 'never' }
  scene.fleet.measure = () => 6
  await scene.submit('s1', [{ count: WORKERS.length, cores: 20, lasting: true, image: 'desk', tailTargetMs: TARGET_MS }])
  await scene.run(3000)
  await scene.submit('f1', [{ count: 2 * WORKERS.length, cores: 3, fills: true, image: 'batch', expectedRunMs: 60_000 }])
  await scene.run(LEARN_MS)
  return scene
}

function listFilling ({ fleet }: Scene, worker: string): string[] {
  return [...fleet.workers.get(worker)?.running.keys() ?? []].filter((task) => !task.startsWith('s1'))
}

test('best-effort tasks learned to be harmless are stopped before a latency-critical task exceeds the bound on its time over target', async () => {
  const scene = await createHarmless()
  const service = [...scene.fleet.workers.get('w1')?.running.keys() ?? []].find((task) => task.startsWith('s1'))
  expect(listFilling(scene, 'w1').length).toBeGreaterThan(0)
  // The other tasks of the service are within their target, so the load of the service does not explain the tail latency.
  scene.fleet.measure = (task) => task === service ? 40 : 6
  await scene.run(SERVICE_BOUND.overTargetMs)
  expect(listFilling(scene, 'w1')).toEqual([])
  // No best-effort task starts on the worker before the latency-critical task has recovered.
  await scene.submit('short', [{ count: 60, cores: 3, fills: true, image: 'batch' }])
  const isEmpty = []
  for (let step = 0; step < 60; step += 1) {
    await scene.run(100)
    isEmpty.push(listFilling(scene, 'w1').length === 0)
  }
  expect(isEmpty).not.toContain(false)
  scene.fleet.measure = () => 6
  const isBarred = (): boolean | undefined => scene.coordinator.getTerm()?.workers.get('w1')?.hasOverdueService
  expect(isBarred()).toBe(true)
  await scene.run(1000)
  expect(isBarred()).toBe(false)
})

/** Opens a session with one worker on which a latency-critical task runs, beside the workflow of a best-effort one; `poll` answers each poll. */
function openServiceSession (clock: Clock, poll: WorkerClient['poll'], more: Partial<SessionContext> = {}): Session {
  const state = createWorkflowsState()
  const life: WorkerIncarnation = { id: 'w1', bornAt: 1, service: 'desk', address: '127.0.0.1:1', availabilityZone: 'a', cores: 32, memoryMb: 100_000, accelerators: 0, labels: [], draining: false }
  workflowHandlers['catalog.put'](state, { catalog: CATALOG })
  workflowHandlers['life.report'](state, { life })
  workflowHandlers['workflow.submit'](state, { queue: 'quotes', workflow: { id: 's1', command: '', steps: [{ ...STEP, lasting: true, tailTargetMs: TARGET_MS }] }, at: 0 })
  workflowHandlers['workflow.submit'](state, { queue: 'quotes', workflow: { id: 'f1', command: '', steps: [{ ...STEP, fills: true }] }, at: 0 })
  const context = {
    clock,
    logger: createSilentLogger(),
    metrics: createNoopMetrics(),
    work: createNoopEventLoopMeter(),
    serviceBound: SERVICE_BOUND,
    unansweredStarts: createUnansweredStarts(),
    leaseMs: 6000,
    fence: 1,
    client: { poll },
    getState: () => state,
    getAuthorityAt: () => clock.now(),
    isActive: () => true,
    isStopped: () => false,
    recordEnds: () => new Promise(() => {}),
    recordLongestOverTarget: () => {},
    waitForReport: async () => {},
    onReportDue: () => {},
    onReachabilityChange: () => {},
    ...more
  } as unknown as SessionContext
  const session = createSession(context, life)
  runSession(context, session)
  return session
}

const WITHIN_TARGET: PollReply = { clock: 0, running: [{ task: 's1.0.0.0', attempt: 1, checkpoint: '', percent: 100, reading: 6 }], ends: [] }
const OVER_TARGET: PollReply = { clock: 0, running: [{ task: 's1.0.0.0', attempt: 1, checkpoint: '', percent: 100, reading: 40 }], ends: [] }

test('a latency-critical task is tracked while the run ends of the same poll wait for the log', async () => {
  const clock = createManualClock(1000)
  const replies: PollReply[] = [WITHIN_TARGET, { ...OVER_TARGET, ends: [[1, 'x.0.0.0', 1, 'succeeded', '']] }]
  const session = openServiceSession(clock, async () => {
    await clock.sleep(POLL_MS)
    return Ok(replies.shift() ?? OVER_TARGET)
  })
  await clock.advance(2 * POLL_MS)
  expect(session.hasOverdueService).toBe(false)
  await clock.advance(SERVICE_BOUND.overTargetMs - SERVICE_BOUND.stopMs)
  expect(session.hasOverdueService).toBe(true)
})

test('the deadline of a latency-critical task is enforced between polls although timers of the runtime may fire early', async () => {
  const clock = createSystemClock()
  const serviceBound = { overTargetMs: 2000, stopMs: 50 }
  // Each session has a deadline at another fraction of a millisecond.
  const sessions = await Promise.all(Array.from({ length: 40 }, async (_, index) => {
    await clock.sleep(index * 1.37)
    const replies = [WITHIN_TARGET, OVER_TARGET]
    return openServiceSession(clock, async () => {
      const reply = replies.shift()
      return reply === undefined ? new Promise(() => {}) : Ok(reply)
    }, { serviceBound })
  }))
  expect(sessions.filter(({ hasOverdueService }) => hasOverdueService)).toHaveLength(0)
  await clock.sleep(1000)
  expect(sessions.filter(({ hasOverdueService }) => !hasOverdueService)).toHaveLength(0)
})

test('best-effort tasks go on beside a latency-critical task that has recovered since the last poll before its deadline', async () => {
  const clock = createManualClock(1000)
  const stopped: string[] = []
  const bestEffort: RunStatus = { task: 'f1.0.0.0', attempt: 1, checkpoint: '', percent: 10, reading: 3 }
  let tailMs = 6
  let isLongPollPending = false
  const poll = async (_worker: WorkerIncarnation, { leaseUntil }: PollOrder): Promise<Result<PollReply, WorkerFailure>> => {
    // The long poll renews the lease; its reply is late.
    if (isLongPollPending && leaseUntil !== undefined) await clock.sleep(SERVICE_BOUND.overTargetMs)
    await clock.sleep(POLL_MS)
    return Ok({ ...OVER_TARGET, running: [...OVER_TARGET.running.map((status) => ({ ...status, reading: tailMs })), bestEffort] })
  }
  const stop = async (_worker: WorkerIncarnation, { task }: RunOrder): Promise<Result<OrderReply, WorkerFailure>> => {
    stopped.push(task)
    return Ok({ clock: 0 })
  }
  const session = openServiceSession(clock, poll, { client: { poll, stop } as unknown as WorkerClient })
  session.runs.set(bestEffort.task, createRun(bestEffort.task, 1, clock.now(), true))
  await clock.advance(2 * POLL_MS)
  tailMs = 40
  await clock.advance(POLL_MS)
  isLongPollPending = true
  await clock.advance(POLL_MS)
  tailMs = 6
  await clock.advance(SERVICE_BOUND.overTargetMs - SERVICE_BOUND.stopMs)
  expect(stopped).toEqual([])
})

test('best-effort tasks are stopped at the deadline of a latency-critical task also while the leader does not confirm its authority', async () => {
  const clock = createManualClock(1000)
  const stopped: string[] = []
  const bestEffort: RunStatus = { task: 'f1.0.0.0', attempt: 1, checkpoint: '', percent: 10, reading: 3 }
  const stray: RunStatus = { ...bestEffort, task: 'f1.0.0.1' }
  let tailMs = 6
  const poll = async (): Promise<Result<PollReply, WorkerFailure>> => {
    await clock.sleep(POLL_MS)
    return Ok({ ...OVER_TARGET, running: [...OVER_TARGET.running.map((status) => ({ ...status, reading: tailMs })), bestEffort, stray] })
  }
  const stop = async (_worker: WorkerIncarnation, { task }: RunOrder): Promise<Result<OrderReply, WorkerFailure>> => {
    stopped.push(task)
    return Ok({ clock: 0 })
  }
  let hasAuthority = true
  const session = openServiceSession(clock, poll, { client: { poll, stop } as unknown as WorkerClient, isActive: () => hasAuthority })
  session.runs.set(bestEffort.task, createRun(bestEffort.task, 1, clock.now(), true))
  await clock.advance(2 * POLL_MS)
  tailMs = 40
  await clock.advance(POLL_MS)
  hasAuthority = false
  await clock.advance(SERVICE_BOUND.overTargetMs - SERVICE_BOUND.stopMs)
  expect(stopped.toSorted()).toEqual([bestEffort.task, stray.task])
})

test('changes of the session host of a worker do not delay the deadline of its latency-critical tasks', async () => {
  const hosts = await createHosts(['h1', 'h2', 'h3', 'h4'], 6)
  const { clock, fleet, log } = hosts
  const run = async (ms: number): Promise<void> => { for (let passed = 0; passed < ms; passed += 10) await clock.advance(10) }
  fleet.stopMs = SERVICE_BOUND.stopMs
  fleet.plan = () => ({ runMs: 0, result: 'never' })
  fleet.measure = () => 6
  hosts.submit('s1', [{ count: 6, cores: 20, lasting: true, image: 'desk', tailTargetMs: TARGET_MS }])
  await run(3000)
  hosts.submit('f1', [{ count: 12, cores: 3, fills: true, image: 'batch', expectedRunMs: 60_000 }])
  await run(LEARN_MS)
  const [owner = ''] = log.state().workflows.sessionHosts.map(({ host }) => host).filter((host) => listOwned(hosts, host).length > 0)
  const [worker = ''] = listOwned(hosts, owner)
  const running = fleet.workers.get(worker)?.running ?? new Map()
  const listBestEffort = (): string[] => [...running.keys()].filter((task) => task.startsWith('f1'))
  expect(listBestEffort().length).toBeGreaterThan(0)
  // The other tasks of the service are within their target, so the load of the service does not explain the tail latency.
  fleet.measure = (task) => running.has(task) ? 40 : 6
  await run(SERVICE_BOUND.overTargetMs % MOVE_INTERVAL_MS)
  for (let passed = 0; passed + MOVE_INTERVAL_MS <= SERVICE_BOUND.overTargetMs; passed += MOVE_INTERVAL_MS) {
    // The leader gives the worker back to its former session host soon afterwards.
    hosts.propose({ kind: 'sessions.divide', hosts: log.state().workflows.sessionHosts.filter(({ host }) => host !== owner) })
    await run(MOVE_INTERVAL_MS)
  }
  expect(listBestEffort()).toEqual([])
})
