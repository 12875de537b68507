import { expect, test } from 'vitest'
import { createManualClock } from '../../src/common/index.js'
import { admitWorkflow, createStartRate, createTotalsCache } from '../../src/coordination/workflows/admission.js'
import { countPending, findQueue } from '../../src/coordination/workflows/workflowService.js'
import { createOpenWorkflows } from '../../src/coordination/workflows/waiting.js'
import { createWorkflowsState, workflowHandlers, type WorkflowsState } from '../../src/state/index.js'
import { CATALOG, STEP } from './support.js'

const QUEUE = CATALOG.queues[0]!
/** Its objective is 2.5 s, so it has no value after 7.5 s. */
const WORKFLOW = { id: 'next', command: '', steps: [STEP] }

function createState (ids: string[]): WorkflowsState {
  const state = createWorkflowsState()
  workflowHandlers['catalog.put'](state, { catalog: CATALOG })
  ids.forEach((id) => workflowHandlers['workflow.submit'](state, { queue: QUEUE.name, workflow: { ...WORKFLOW, id }, at: 0 }))
  return state
}

// Guards against admitting more than the scheduler can place in time: in one overload the leader started 390 to 530 tasks per
// second while 2,300 waited and most cores were free.
test('a workflow that the scheduler could not place in time is refused at once, although the workers have capacity', () => {
  const input = { state: createState([]), queue: QUEUE, workflow: WORKFLOW, isKnown: false, now: 0 }
  const admit = (pendingTasks: number, startsPerSecond: number | undefined): unknown => admitWorkflow({ ...input, load: { pendingTasks, startsPerSecond } })
  expect(admit(7000, 500)).toEqual({ kind: 'refused', reason: 'scheduler-backlog', backlogMs: 14_000, retryAfterMs: 6500 })
  expect(admit(3000, 500)).toEqual({ kind: 'admitted', backlogMs: 6000 })
  expect(admit(7000, undefined)).toEqual({ kind: 'admitted', backlogMs: 0 })
  expect(admitWorkflow({ ...input, isKnown: true, load: { pendingTasks: 7000, startsPerSecond: 500 } }).kind).toBe('admitted')
})

test('the rate of starts is measured only while tasks wait for the scheduler, and is undefined for the first second', () => {
  const rate = createStartRate()
  const rates: Array<number | undefined> = []
  for (let now = 0; now < 8000; now += 100) {
    // At first few tasks start as none wait; then tasks wait for the scheduler, which later becomes slower, and at last none wait again.
    rate.record(now, now < 2000 ? 1 : now < 4000 ? 50 : 20, now >= 2000 && now < 7500)
    if (now % 1000 === 900) rates.push(rate.get(now))
  }
  expect(rates.map((value) => value === undefined ? undefined : Math.round(value))).toEqual([undefined, undefined, undefined, 500, 397, 300, 200, undefined])
})

test('requests within 50 ms share one computation of the totals of the open workflows', () => {
  const clock = createManualClock(0)
  let computations = 0
  const getTotals = createTotalsCache(clock, () => {
    computations += 1
    return new Map()
  })
  const read = async (ms: number): Promise<number> => {
    await clock.advance(ms)
    getTotals()
    return computations
  }
  return expect([0, 20, 20, 20, 60].reduce<Promise<number[]>>(async (all, ms) => [...await all, await read(ms)], Promise.resolve([]))).resolves.toEqual([1, 1, 1, 2, 3])
})

test('the index of open workflows follows accepted and ended workflows and a snapshot that replaces the state', () => {
  let state = createState(['a', 'b'])
  const open = createOpenWorkflows(() => state)
  const listIds = (): string[] => open.list().map(({ workflow }) => workflow.id)
  const seen = [listIds()]
  workflowHandlers['workflow.submit'](state, { queue: QUEUE.name, workflow: { ...WORKFLOW, id: 'c' }, at: 0 })
  open.markChanged('c')
  workflowHandlers['workflow.cancel'](state, { id: 'a', at: 0 })
  seen.push(listIds())
  state = createState(['d'])
  seen.push(listIds())
  expect(seen).toEqual([['a', 'b'], ['b', 'c'], ['d']])
  const isStarted = (): boolean => false
  expect([countPending(open.list(), QUEUE.name, isStarted), countPending(open.list(), 'other', isStarted)]).toEqual([1, 0])
})

test('a request selects the queue of its host name with the longest matching path prefix', () => {
  const queues = ['/', '/quotes/', '/quotes/large/'].map((pathPrefix) => ({ ...QUEUE, name: pathPrefix, pathPrefix }))
  const catalog = { ...CATALOG, queues: [...queues, { ...QUEUE, name: 'other', hostName: 'other.example' }] }
  const find = (hostName: string, path: string): unknown => {
    const found = findQueue(catalog, { hostName, path })
    return found === undefined ? undefined : [found.queue.name, found.rest]
  }
  expect([find('desk.example', '/quotes/large/7'), find('desk.example', '/quotes/7'), find('desk.example', '/x'), find('other.example', '/x'), find('none.example', '/'), findQueue(undefined, { hostName: 'desk.example', path: '/' })])
    .toEqual([['/quotes/large/', '7'], ['/quotes/', '7'], ['/', 'x'], undefined, undefined, undefined])
})
