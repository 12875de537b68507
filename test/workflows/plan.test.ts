import { expect, test } from 'vitest'
import { admitWorkflow } from '../../src/coordination/workflows/admission.js'
import { compareGroups, estimateChainMs, estimateTailMs, getLateness, listWaiting } from '../../src/coordination/workflows/plan.js'
import { computeMajorityAge } from '../../src/coordination/workflows/majorityAge.js'
import { computeWorkerTime } from '../../src/coordination/workflows/workerClock.js'
import { createWorkflowsState, workflowHandlers, type EndCause, type Step, type WorkflowsState } from '../../src/state/index.js'
import { CATALOG, STEP } from './support.js'

const QUEUE = CATALOG.queues[0]!

function createState (workflows: Array<{ id: string, steps: Array<Partial<Step>>, at?: number }>): WorkflowsState {
  const state = createWorkflowsState()
  workflowHandlers['catalog.put'](state, { catalog: CATALOG })
  workflowHandlers['life.report'](state, { life: { id: 'w1', bornAt: 1, service: 'desk', address: 'x:1', availabilityZone: 'a', cores: 10, memoryMb: 1000, accelerators: 0, labels: [], draining: false } })
  workflows.forEach(({ id, steps, at = 0 }) => {
    workflowHandlers['workflow.submit'](state, { queue: QUEUE.name, workflow: { id, command: '', steps: steps.map((step) => ({ ...STEP, ...step })) }, at })
  })
  return state
}

test('the duration of the longest chain adds up dependent steps and takes the maximum of parallel ones', () => {
  const steps = [{ expectedRunMs: 100 }, { expectedRunMs: 300 }, { expectedRunMs: 50, dependsOn: [0, 1] }].map((step) => ({ ...STEP, ...step }))
  expect(estimateChainMs(steps)).toBe(350)
})

test('short tasks come before long-running ones, earlier due times before later ones, and late workflows after those on time', () => {
  const state = createState([{ id: 'lasting', steps: [{ lasting: true }] }, { id: 'late', steps: [{}], at: -60_000 }, { id: 'soon', steps: [{ expectedRunMs: 100 }] }, { id: 'later', steps: [{ expectedRunMs: 5000 }] }])
  const groups = Object.values(state.workflows).flatMap((record) => listWaiting(record, QUEUE, 0)).sort(compareGroups(0))
  expect(groups.map(({ record }) => record.workflow.id)).toEqual(['soon', 'later', 'late', 'lasting'])
})

// Guards against interrupted long-running tasks that wait forever behind a backlog of urgent short tasks that never empties.
test('interrupted long-running tasks do not wait behind urgent short tasks, unlike new tasks of the same step', () => {
  const state = createState([{ id: 'lasting', steps: [{ count: 3, lasting: true }] }, { id: 'urgent', steps: [{ expectedRunMs: 100 }] }])
  workflowHandlers['workflow.assign'](state, { assignments: [['lasting.0.0.1', 'w1', 1]] })
  workflowHandlers['workflow.end'](state, { lives: [{ worker: 'w1', bornAt: 1, ends: [[1, 'lasting.0.0.1', 1, 'lease-expired', '']] }], judge: { host: '', division: 0 }, at: 0 })
  const priorities: Record<string, number> = { lasting: 2, urgent: 0 }
  const groups = Object.values(state.workflows).flatMap((record) => listWaiting(record, { ...QUEUE, priority: priorities[record.workflow.id] ?? 0 }, 0)).sort(compareGroups(0))
  expect(groups.map(({ record, indexes }) => `${record.workflow.id} ${indexes.join()}`)).toEqual(['lasting 1', 'urgent 0', 'lasting 0,2'])
})

test('the members of a long-running gang stay in one group, even if only some of them have run before', () => {
  const state = createState([{ id: 'gang', steps: [{ count: 2, lasting: true, gang: true }] }])
  workflowHandlers['workflow.assign'](state, { assignments: [['gang.0.0.1', 'w1', 1]] })
  workflowHandlers['workflow.end'](state, { lives: [{ worker: 'w1', bornAt: 1, ends: [[1, 'gang.0.0.1', 1, 'failed', '']] }], judge: { host: '', division: 0 }, at: 0 })
  expect(Object.values(state.workflows).flatMap((record) => listWaiting(record, QUEUE, 0)).map(({ indexes, isResumed }) => [indexes, isResumed])).toEqual([[[0, 1], true]])
})

// A burst of large jobs, of which not all can be on time.
test('a workflow that will be late waits for those that can be on time', () => {
  const state = createState([{ id: 'late', steps: [{ expectedRunMs: 1000 }], at: -2000 }, { id: 'on-time', steps: [{ expectedRunMs: 1000 }], at: 0 }])
  const groups = Object.values(state.workflows).flatMap((record) => listWaiting(record, QUEUE, 0))
  expect([0, -2000].map((at) => [...groups].sort(compareGroups(at))[0]?.record.workflow.id)).toEqual(['on-time', 'late'])
})

// A burst of large jobs on a pool of ten cores.
test('a workflow that would end without value is refused at once, with the time after which to retry', () => {
  const state = createState([{ id: 'burst', steps: [{ count: 100, cores: 5, expectedRunMs: 1000 }] }])
  const workflow = { id: 'next', command: '', steps: [STEP] }
  const input = { state, queue: QUEUE, workflow, now: 0 }
  expect(admitWorkflow({ ...input, isKnown: false })).toMatchObject({ kind: 'refused', backlogMs: 50_000, retryAfterMs: 30_000 })
  expect(admitWorkflow({ ...input, isKnown: true }).kind).toBe('admitted')
  expect(admitWorkflow({ ...input, state: createState([]), isKnown: false })).toEqual({ kind: 'admitted', backlogMs: 0 })
})

test.each([[[0, 100, 5000], 100], [[0, 5000, 5000], 5000], [[0, 10, 20, 30, 40], 20], [[0, 10, 20, 30], 20], [[0], 0]])('when the voters were last heard %j ms ago, a majority was heard %d ms ago', (ages, expected) => {
  expect(computeMajorityAge(ages.map((lastHeardAgoMs) => ({ votes: true, lastHeardAgoMs })))).toBe(expected)
})

test('a lease ends in time on a worker whose clock runs 2% slow', () => {
  const until = 16_000
  const end = computeWorkerTime({ workerTime: 500_000, receivedAt: 10_000 }, until)
  const slowClockAtEnd = 500_000 + (until - 10_000) * 0.98
  expect(end).toBeLessThanOrEqual(slowClockAtEnd)
})

// Guards against work on first steps that is lost because their workflows have no time left for the steps that follow.
test('a workflow whose remaining steps take it beyond its objective is late, whichever of them waits', () => {
  const steps = [{ expectedRunMs: 1000 }, { expectedRunMs: 1000, dependsOn: [0] }]
  const [group] = Object.values(createState([{ id: 'two-steps', steps }]).workflows).flatMap((record) => listWaiting(record, QUEUE, 0))
  // The objective is 4,500 ms, and there is no value after 13,500 ms.
  expect([2000, 2100, 11_500, 11_600].map((at) => getLateness(group!, at))).toEqual([0, 1, 1, 2])
  // Work that has begun needs no margin.
  expect([2500, 2600].map((at) => getLateness({ ...group!, runningTasks: 1 }, at))).toEqual([0, 1])
  expect([0, 1, 2].map((number) => estimateTailMs([{ expectedRunMs: 100 }, { expectedRunMs: 300 }, { expectedRunMs: 50, dependsOn: [0, 1] }].map((step) => ({ ...STEP, ...step })), number))).toEqual([150, 350, 50])
})

// Guards against work that fails wherever it runs and takes the capacity of many tasks until its attempts are used up.
test('after two tasks of a step have failed, its tasks run one at a time, those that failed first, until one has succeeded', () => {
  const state = createState([{ id: 'w', steps: [{ count: 6 }] }])
  let ends = 0
  const assign = (index: number, attempt = 1): void => { workflowHandlers['workflow.assign'](state, { assignments: [[`w.0.0.${index}`, 'w1', attempt]] }) }
  const end = (index: number, cause: EndCause, attempt = 1): void => {
    ends += 1
    workflowHandlers['workflow.end'](state, { lives: [{ worker: 'w1', bornAt: 1, ends: [[ends, `w.0.0.${index}`, attempt, cause, '']] }], judge: { host: '', division: 0 }, at: 0 })
  }
  const listIndexes = (): number[] => Object.values(state.workflows).flatMap((record) => listWaiting(record, QUEUE, 0)).flatMap(({ indexes }) => indexes)
  const seen: number[][] = []
  ;[1, 2, 3].forEach((index) => assign(index))
  end(1, 'stopped')
  end(2, 'failed')
  seen.push(listIndexes())
  end(3, 'failed')
  seen.push(listIndexes())
  assign(0)
  seen.push(listIndexes())
  end(0, 'succeeded')
  seen.push(listIndexes())
  expect(seen).toEqual([[0, 1, 2, 4, 5], [2], [], [1, 2, 3, 4, 5]])
})
