import { expect, test } from 'vitest'
import { findNextStart, listWaiting, MAX_LISTED_TASKS } from '../../src/coordination/workflows/plan.js'
import { createWorkflowsState, workflowHandlers, type Recurrence, type RunEnd, type Step, type WorkflowRecord, type WorkflowsState } from '../../src/state/index.js'
import { CATALOG, createScene, STEP } from './support.js'

const QUEUE = CATALOG.queues[0]!
const NOBODY = { host: '', division: 0 }
const LIFE = { id: 'w1', bornAt: 1, service: 'desk', address: 'x:1', availabilityZone: 'a', cores: 10, memoryMb: 1000, accelerators: 0, labels: [], draining: false }
const MS_PER_YEAR = 365 * 24 * 3600 * 1000

function createState (steps: Array<Partial<Step>>, recurrence?: Recurrence): { state: WorkflowsState, record: WorkflowRecord } {
  const state = createWorkflowsState()
  workflowHandlers['catalog.put'](state, { catalog: CATALOG })
  workflowHandlers['life.report'](state, { life: LIFE })
  workflowHandlers['workflow.submit'](state, { queue: QUEUE.name, workflow: { id: 'a1', command: '', steps: steps.map((step) => ({ ...STEP, ...step })), ...recurrence !== undefined && { recurrence } }, at: 0 })
  return { state, record: state.workflows.a1 as WorkflowRecord }
}

function assign (state: WorkflowsState, tasks: string[], attempt = 1): void {
  workflowHandlers['workflow.assign'](state, { assignments: tasks.map((task) => [task, 'w1', attempt]) })
}

function end (state: WorkflowsState, ends: RunEnd[]): void {
  workflowHandlers['workflow.end'](state, { lives: [{ worker: 'w1', bornAt: 1, ends }], judge: NOBODY, at: 0 })
}

// Guards against a schedule whose number of occurrences decides how long a scheduling pass takes and how much memory it needs:
// with some 100,000 of them passes failed, with millions all processes ran out of memory.
test.each([[210_240, 300_000], [15_768_000, 2000]])('other workflows run beside a schedule of %d occurrences, one each %d ms', async (count, intervalMs) => {
  const scene = await createScene(['w1', 'w2'])
  const firstAt = scene.clock.wall() + 60_000
  await scene.submit('years', [{ count: 2 }], { recurrence: { firstAt, intervalMs, count } })
  await scene.submit('a1', [{ count: 2 }])
  await scene.run(3000)
  const { workflows } = scene.log.state().workflows
  expect([workflows.a1?.outcome, workflows.years?.outcome, scene.listEvents('started').length]).toEqual(['completed', undefined, 2])
  await scene.run(60_000 + 2000)
  expect(scene.listEvents('started').filter(({ task }) => task.startsWith('years.0')).length).toBe(2)
})

test('the next start of a schedule is known without listing its occurrences', () => {
  const { record } = createState([{}], { firstAt: 10_000, intervalMs: 2000, count: Math.floor(MS_PER_YEAR / 2000) })
  const single = createState([{}], { firstAt: 10_000, intervalMs: 0, count: 3 }).record
  expect([0, 10_000, 11_999, 12_000, MS_PER_YEAR + 10_000].map((at) => findNextStart(record, at))).toEqual([10_000, 12_000, 12_000, 14_000, Infinity])
  expect([0, 10_000].map((at) => findNextStart(single, at))).toEqual([10_000, Infinity])
})

// Guards against a state, and so snapshots, that grow with each occurrence of a schedule that runs for years.
test('the state of a schedule does not grow with its finished occurrences, in any order', () => {
  const { state, record } = createState([{ count: 2 }, { count: 1, dependsOn: [0] }], { firstAt: 0, intervalMs: 0, count: 3000 })
  const runOccurrence = (occurrence: number, number: number): void => {
    ['0.0', '0.1', '1.0'].forEach((key, position) => {
      const task = `a1.${occurrence}.${key}`
      assign(state, [task])
      end(state, [[number + position, task, 1, 'succeeded', '']])
    })
  }
  // Every seventh occurrence is finished after the others of its block.
  const order = Array.from({ length: 3000 }, (_, position) => position).sort((a, b) => Math.floor(a / 70) - Math.floor(b / 70) || Number(a % 7 === 0) - Number(b % 7 === 0))
  const sizes = order.map((occurrence, position) => {
    runOccurrence(occurrence, 1 + 3 * position)
    return JSON.stringify(record).length
  })
  expect(Math.max(...sizes.slice(300)) / Math.max(...sizes.slice(0, 300))).toBeLessThan(2)
  expect([record.outcome, Object.keys(record.tasks), Object.keys(record.succeeded)]).toEqual(['completed', [], []])
})

// Guards against scheduling passes that take as long as the largest number that a client may send.
test('tasks that never ran are listed up to a limit, the next ones as soon as these are assigned', () => {
  const { state, record } = createState(Array.from({ length: 1000 }, () => ({ count: 100_000 })))
  const listTasks = (): string[] => listWaiting(record, QUEUE, 0).flatMap(({ stepNumber, indexes }) => indexes.map((index) => `${stepNumber}.${index}`))
  const first = listTasks()
  assign(state, first.map((task) => `a1.0.${task}`))
  const second = listTasks()
  expect([first.length, first.at(-1), second.length, second[0]]).toEqual([MAX_LISTED_TASKS, `0.${MAX_LISTED_TASKS - 1}`, MAX_LISTED_TASKS, `0.${MAX_LISTED_TASKS}`])
})

test('a schedule whose occurrences are all due is listed in parts', () => {
  const { record } = createState([{ count: 10 }], { firstAt: 0, intervalMs: 0, count: 1_000_000_000 })
  const groups = listWaiting(record, QUEUE, 0)
  expect([groups.length, groups.at(-1)?.occurrence]).toEqual([MAX_LISTED_TASKS / 10, MAX_LISTED_TASKS / 10 - 1])
})

// Guards against interrupted long-running tasks that wait behind new ones, which are listed up to a limit.
test('interrupted tasks are listed whatever their number, also of later occurrences', () => {
  const { state, record } = createState([{ count: 4000, lasting: true }], { firstAt: 0, intervalMs: 0, count: 10 })
  assign(state, ['a1.0.0.3999', 'a1.7.0.5'])
  end(state, [[1, 'a1.0.0.3999', 1, 'failed', ''], [2, 'a1.7.0.5', 1, 'failed', '']])
  const resumed = listWaiting(record, QUEUE, 0).filter(({ isResumed }) => isResumed)
  expect(resumed.map(({ occurrence, indexes }) => [occurrence, indexes])).toEqual([[0, [3999]], [7, [5]]])
})

test('a late assignment or end of a finished task changes nothing', () => {
  const { state, record } = createState([{ count: 2 }], { firstAt: 0, intervalMs: 0, count: 2 })
  assign(state, ['a1.0.0.0', 'a1.0.0.1'])
  end(state, [[1, 'a1.0.0.0', 1, 'succeeded', '']])
  assign(state, ['a1.0.0.0'], 2)
  const afterTask = Object.keys(record.tasks)
  end(state, [[2, 'a1.0.0.1', 1, 'succeeded', '']])
  assign(state, ['a1.0.0.1'], 2)
  end(state, [[3, 'a1.0.0.1', 2, 'failed', '']])
  expect([afterTask, record.tasks, record.doneOccurrences, record.outcome]).toEqual([['0.0.1'], {}, [0, 1], undefined])
})

test('one successful end completes a gang, and the records of its members end with their runs', () => {
  const { state, record } = createState([{ count: 3, gang: true }, { count: 1, dependsOn: [0] }])
  assign(state, ['a1.0.0.0', 'a1.0.0.1', 'a1.0.0.2'])
  end(state, [[1, 'a1.0.0.1', 1, 'succeeded', '']])
  const running = Object.keys(record.tasks)
  end(state, [[2, 'a1.0.0.0', 1, 'succeeded', ''], [3, 'a1.0.0.2', 1, 'stopped', '']])
  expect([running, record.tasks, listWaiting(record, QUEUE, 0).map(({ stepNumber, indexes }) => [stepNumber, indexes])]).toEqual([['0.0.0', '0.0.2'], {}, [[1, [0]]]])
})

test('a schedule that an earlier build has begun is completed', () => {
  const { state, record } = createState([{ count: 1 }], { firstAt: 0, intervalMs: 0, count: 3 })
  // Earlier builds kept the record of each task and the count of each step.
  Object.assign(record, { succeeded: { '0.0': 1 }, tasks: { '0.0.0': { attempt: 1, failures: 0, succeeded: true, checkpoint: '', worker: undefined } } })
  delete record.doneOccurrences
  delete record.succeededIndexes
  const waiting = listWaiting(record, QUEUE, 0).map(({ occurrence }) => occurrence)
  assign(state, ['a1.1.0.0', 'a1.2.0.0'])
  end(state, [[1, 'a1.1.0.0', 1, 'succeeded', ''], [2, 'a1.2.0.0', 1, 'succeeded', '']])
  expect([waiting, record.outcome]).toEqual([[1, 2], 'completed'])
})
