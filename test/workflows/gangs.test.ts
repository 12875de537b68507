import { expect, test } from 'vitest'
import { createWorkflowsState, workflowHandlers, type RunEnd, type WorkerRecord, type WorkflowRecord, type WorkflowsState } from '../../src/state/index.js'
import { CATALOG, STEP } from './support.js'

const MEMBERS = 3

function createState (): { state: WorkflowsState, record: WorkflowRecord } {
  const state = createWorkflowsState()
  workflowHandlers['catalog.put'](state, { catalog: CATALOG })
  workflowHandlers['life.report'](state, { life: { id: 'w1', bornAt: 1, service: 'desk', address: 'x:1', availabilityZone: 'a', cores: 10, memoryMb: 1000, accelerators: 0, labels: [], draining: false } })
  workflowHandlers['workflow.submit'](state, { queue: 'quotes', workflow: { id: 'a1', command: '', steps: [{ ...STEP, count: MEMBERS, gang: true, checkpoints: true }] }, at: 0 })
  return { state, record: state.workflows.a1 as WorkflowRecord }
}

function start (state: WorkflowsState, attempt: number): void {
  workflowHandlers['workflow.assign'](state, { assignments: Array.from({ length: MEMBERS }, (_, index) => [`a1.0.0.${index}`, 'w1', attempt]) })
}

/** Ends all members of an attempt; the others are broken by the first one. */
function end (state: WorkflowsState, attempt: number, first: number, cause: RunEnd[3], checkpoint = ''): void {
  const others = Array.from({ length: MEMBERS }, (_, index) => index).filter((index) => index !== first)
  const ends: RunEnd[] = [first, ...others].map((index, position) => [(attempt - 1) * MEMBERS + position + 1, `a1.0.0.${index}`, attempt, position === 0 ? cause : 'gang-broken', index === first ? checkpoint : ''])
  workflowHandlers['workflow.end'](state, { lives: [{ worker: 'w1', bornAt: 1, ends }], judge: { host: '', division: 0 }, at: 0 })
}

// Guards against a gang that fails by another member each time and never reaches the attempts of its queue (2).
test('the failures of a gang count together, whichever member fails', () => {
  const { state, record } = createState()
  start(state, 1)
  end(state, 1, 0, 'failed')
  const outcome = record.outcome
  start(state, 2)
  end(state, 2, 1, 'failed')
  expect([outcome, record.outcome]).toEqual([undefined, 'failed'])
})

test('several members that fail in one attempt count once', () => {
  const { state, record } = createState()
  start(state, 1)
  workflowHandlers['workflow.end'](state, { lives: [{ worker: 'w1', bornAt: 1, ends: [[1, 'a1.0.0.0', 1, 'failed', ''], [2, 'a1.0.0.1', 1, 'failed', '']] }], judge: { host: '', division: 0 }, at: 0 })
  expect(record.outcome).toBeUndefined()
})

// Guards against members that resume from different points, or some from the beginning.
test('all members of a gang start from the same checkpoint, also when one of an earlier attempt is recorded late', () => {
  const { state, record } = createState()
  const listCheckpoints = (): string[] => Object.values(record.tasks).map(({ checkpoint }) => checkpoint)
  start(state, 1)
  end(state, 1, 1, 'lease-expired', 'c1')
  start(state, 2)
  const second = listCheckpoints()
  workflowHandlers['workflow.end'](state, { lives: [{ worker: 'w1', bornAt: 1, ends: [[4, 'a1.0.0.2', 1, 'stopped', 'c2']] }], judge: { host: '', division: 0 }, at: 0 })
  const afterLateEnd = listCheckpoints()
  workflowHandlers['workflow.end'](state, { lives: [{ worker: 'w1', bornAt: 1, ends: [0, 1, 2].map((index): RunEnd => [5 + index, `a1.0.0.${index}`, 2, 'stopped', '']) }], judge: { host: '', division: 0 }, at: 0 })
  start(state, 3)
  expect([second, afterLateEnd, listCheckpoints()]).toEqual([['c1', 'c1', 'c1'], ['c1', 'c1', 'c1'], ['c2', 'c2', 'c2']])
})

test('no member of a gang is assigned if the worker of one has been replaced or has left since the gang was placed', () => {
  const assigned = (['replaced', 'left'] as const).map((change) => {
    const { state } = createState()
    const { life } = state.workers.w1 as WorkerRecord
    workflowHandlers['life.report'](state, { life: { ...life, id: 'w2' } })
    if (change === 'replaced') workflowHandlers['life.report'](state, { life: { ...life, id: 'w2', bornAt: 2 } })
    else workflowHandlers['life.remove'](state, { worker: 'w2', bornAt: 1, hasLeft: true, at: 0 })
    workflowHandlers['workflow.assign'](state, { assignments: Array.from({ length: MEMBERS }, (_, index) => [`a1.0.0.${index}`, index === 0 ? 'w2' : 'w1', 1, undefined, 1]) })
    return Object.values(state.workers).flatMap((worker) => Object.keys(worker.assigned))
  })
  expect(assigned).toEqual([[], []])
})
