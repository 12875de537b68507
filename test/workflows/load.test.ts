import { expect, test } from 'vitest'
import { Err, type Clock, type Result } from '../../src/common/index.js'
import type { WorkerClient, WorkerFailure } from '../../src/coordination/workflows/index.js'
import type { Step } from '../../src/state/index.js'
import { createHosts, STEP } from './support.js'

const HOSTS = ['h1', 'h2', 'h3', 'h4']
const WORKERS = 40
/** Processor time of one order or poll on its host, which has a single processor; a host can make 166 of them per second. */
const CALL_MS = 6
const BATCH_EVERY_MS = 100
const LASTING_TASKS = 20
const LASTING_RUN_MS = 4000
const LOAD_MS = 16_000
/** A long-running task has to run again within this time after its last run, as long as there is free capacity for it. */
const RESTART_MS = 6000

/** Simulates the single processor of a host: each call waits until all earlier calls have used their processor time. */
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
    poll: (worker, order, deadline) => use(deadline, () => client.poll(worker, order, deadline))
  }
}

const createStep = (more: Partial<Step>): Step => ({ ...STEP, cores: 1, ...more })

interface LoadOutcome { lastingEnds: number, notRestarted: string[], lapsed: number, starts: number }

/** Simulates four hosts and their workers with short tasks beside long-running tasks that fail every few seconds. */
async function playLoad (tasksPerSecond: number): Promise<LoadOutcome> {
  const { clock, fleet, propose, stop } = await createHosts(HOSTS, WORKERS, (clock, client) => createSlowClient(clock, client))
  fleet.plan = (task) => task.startsWith('lasting') ? { runMs: LASTING_RUN_MS, result: 'failed' } : { runMs: 800, result: 'succeeded' }
  propose({ kind: 'workflow.submit', queue: 'quotes', workflow: { id: 'lasting', command: 'run', steps: [createStep({ count: LASTING_TASKS, lasting: true, maxUnavailable: 1 })] }, at: clock.wall() })
  for (let passed = 0; passed < LOAD_MS; passed += BATCH_EVERY_MS) {
    propose({ kind: 'workflow.submit', queue: 'quotes', workflow: { id: `batch-${passed}`, command: 'run', steps: [createStep({ count: tasksPerSecond * BATCH_EVERY_MS / 1000 })] }, at: clock.wall() })
    await clock.advance(BATCH_EVERY_MS)
  }
  const ended = fleet.events.filter(({ kind, task, at }) => kind === 'ended' && task.startsWith('lasting') && at < clock.now() - RESTART_MS)
  const notRestarted = ended.filter(({ task, attempt, at }) =>
    !fleet.events.some((event) => event.kind === 'started' && event.task === task && event.attempt > attempt && event.at - at < RESTART_MS))
  await stop()
  return {
    lastingEnds: ended.length,
    notRestarted: notRestarted.map(({ task }) => task),
    lapsed: fleet.events.filter(({ cause }) => cause === 'lease-expired').length,
    starts: fleet.events.filter(({ kind }) => kind === 'started').length
  }
}

test('long-running tasks are restarted in time and keep their leases while more tasks start per second than one host can order', async () => {
  const { lastingEnds, notRestarted, lapsed, starts } = await playLoad(200)
  expect({ ended: lastingEnds >= LASTING_TASKS, notRestarted, lapsed, started: starts > 0.9 * 200 * LOAD_MS / 1000 }).toEqual({ ended: true, notRestarted: [], lapsed: 0, started: true })
}, 60_000)

test('long-running tasks are restarted in time and keep their leases while more tasks wait than all hosts can order', async () => {
  const { lastingEnds, notRestarted, lapsed } = await playLoad(800)
  expect({ ended: lastingEnds >= LASTING_TASKS, notRestarted, lapsed }).toEqual({ ended: true, notRestarted: [], lapsed: 0 })
}, 60_000)
