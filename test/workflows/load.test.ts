import { expect, test } from 'vitest'
import { Err, createManualClock, createNoMetrics, createNoWorkMeter, createRandom, createSilentLogger, type Clock, type Result } from '../../src/common/index.js'
import { createWorkflowCoordinator, type WorkerClient, type WorkerFailure } from '../../src/coordination/workflows/index.js'
import { createMemoryLog } from '../../src/fakes/memoryLog.js'
import { createFakeRunFleet } from '../../src/fakes/runWorker.js'
import { createSimpleNetwork } from '../../src/fakes/simpleNetwork.js'
import type { Entry, Step } from '../../src/state/index.js'
import { CATALOG, STEP } from './support.js'

const HOSTS = ['h1', 'h2', 'h3', 'h4']
const WORKERS = 40
/** Of its host's one processor, what an order or a look costs; 240 of them a second are more than one host has. */
const CALL_MS = 6
const COMMIT_MS = 12
const BATCH_TASKS = 20
const BATCH_EVERY_MS = 100
const LASTING_TASKS = 20
const LASTING_RUN_MS = 4000
const LOAD_MS = 16_000
/** A lasting task has to run again within this after its last run, as long as there is room for it. */
const RESTART_MS = 6000

/** Each call waits until the calls before it have had their time of the host's only processor. */
function createSlowClient (clock: Clock, client: WorkerClient): WorkerClient {
  let freeAt = 0
  const use = async <T>(deadline: number, call: () => Promise<Result<T, WorkerFailure>>): Promise<Result<T, WorkerFailure>> => {
    freeAt = Math.max(freeAt, clock.now()) + CALL_MS
    const timer = new AbortController()
    const late = clock.sleep(deadline - clock.now(), timer.signal).then((): Result<T, WorkerFailure> => Err({ kind: 'no-answer', message: 'no answer in time' }))
    const reply = await Promise.race([clock.sleep(freeAt - clock.now()).then(call), late])
    timer.abort()
    return reply
  }
  return {
    start: (worker, order, deadline) => use(deadline, () => client.start(worker, order, deadline)),
    stop: (worker, order, deadline) => use(deadline, () => client.stop(worker, order, deadline)),
    hold: (worker, order, deadline) => use(deadline, () => client.hold(worker, order, deadline))
  }
}

const createStep = (more: Partial<Step>): Step => ({ ...STEP, cores: 1, ...more })

test('work that lasts is not started again, and its leases run out, while more tasks a second start than one host can order', async () => {
  const clock = createManualClock(1000)
  const log = createMemoryLog('h1', { clock, commitMs: COMMIT_MS })
  const fleet = createFakeRunFleet(clock)
  const network = createSimpleNetwork(clock, createRandom(1))
  fleet.plan = (task) => task.startsWith('lasting') ? { runMs: LASTING_RUN_MS, result: 'failed' } : { runMs: 800, result: 'succeeded' }
  const coordinators = HOSTS.map((host, index) => createWorkflowCoordinator({
    clock,
    logger: createSilentLogger(),
    metrics: createNoMetrics(),
    work: createNoWorkMeter(),
    network: network.join(host),
    log: index === 0 ? log : log.join(host),
    client: createSlowClient(clock, fleet.client),
    hosts: fleet.hosts,
    advice: fleet.advice
  }))
  const propose = (entry: Entry): unknown => log.propose(entry, Infinity)
  propose({ kind: 'catalog.put', catalog: CATALOG })
  Array.from({ length: WORKERS }, (_, index) => fleet.addWorker({ id: `w${index}`, address: `127.0.0.1:${index}` }))
    .forEach(({ life }) => propose({ kind: 'life.report', life }))
  await clock.advance(1000)
  propose({ kind: 'workflow.submit', queue: 'quotes', workflow: { id: 'lasting', command: 'run', steps: [createStep({ count: LASTING_TASKS, lasting: true, maxUnavailable: 1 })] }, at: clock.wall() })
  for (let passed = 0; passed < LOAD_MS; passed += BATCH_EVERY_MS) {
    propose({ kind: 'workflow.submit', queue: 'quotes', workflow: { id: `batch-${passed}`, command: 'run', steps: [createStep({ count: BATCH_TASKS })] }, at: clock.wall() })
    await clock.advance(BATCH_EVERY_MS)
  }
  const ended = fleet.events.filter(({ kind, task, at }) => kind === 'ended' && task.startsWith('lasting') && at < clock.now() - RESTART_MS)
  const unanswered = ended.filter(({ task, attempt, at }) =>
    !fleet.events.some((event) => event.kind === 'started' && event.task === task && event.attempt > attempt && event.at - at < RESTART_MS))
  const lapsed = fleet.events.filter(({ cause }) => cause === 'lease-expired')
  expect({ ended: ended.length >= LASTING_TASKS, notRestarted: unanswered.map(({ task }) => task), lapsed: lapsed.length }).toEqual({ ended: true, notRestarted: [], lapsed: 0 })
  await Promise.all([...coordinators.map((coordinator) => coordinator.stop()), clock.advance(2000)])
}, 60_000)
