import { beforeEach, expect, test } from 'vitest'
import { createWorkflowsState, findTask, workflowHandlers, type EndCause, type Step, type TaskRecord, type WorkflowsState } from '../../src/state/index.js'
import { CATALOG, STEP } from './support.js'

const LIFE = { bornAt: 1, service: 'desk', address: '127.0.0.1:1', availabilityZone: 'a', cores: 32, memoryMb: 128_000, accelerators: 0, labels: [], draining: false }
const JUDGE = { host: 'h1', division: 1 }
const TASK = 'a1.0.0.0'

let state: WorkflowsState
let ended: Record<string, number>
beforeEach(() => {
  state = createWorkflowsState()
  ended = {}
  workflowHandlers['catalog.put'](state, { catalog: CATALOG })
  workflowHandlers['sessions.divide'](state, { hosts: [{ host: 'h1', availabilityZone: 'a' }] })
  const ids = ['w1', 'w2', 'w3']
  ids.forEach((id) => workflowHandlers['life.report'](state, { life: { ...LIFE, id } }))
})

function submit (step: Partial<Step> = {}): void {
  workflowHandlers['workflow.submit'](state, { queue: CATALOG.queues[0]!.name, workflow: { id: 'a1', command: '', steps: [{ ...STEP, speculative: true, ...step }] }, at: 0 })
}
function assign (worker: string, attempt: number): void {
  workflowHandlers['workflow.assign'](state, { assignments: [[TASK, worker, attempt]] })
}
function copy (worker: string, attempt: number): void {
  workflowHandlers['workflow.assign'](state, { assignments: [], copies: [[TASK, worker, attempt]] })
}
/** Applies an end that the worker reports, or with `number` 0 one that its session host concludes. */
function end (worker: string, attempt: number, cause: EndCause, { number = ended[worker] = (ended[worker] ?? 0) + 1, checkpoint = '', bornAt = 1 } = {}): void {
  workflowHandlers['workflow.end'](state, { lives: [{ worker, bornAt, ends: [[number, TASK, attempt, cause, checkpoint]] }], judge: JUDGE, at: 0 })
}
function getTask (): TaskRecord | undefined {
  return findTask(state, TASK)
}
function listAssigned (): string[] {
  return Object.values(state.workers).filter(({ assigned }) => assigned[TASK] === true).map(({ life }) => life.id)
}
function getOutcome (): string | undefined {
  return state.workflows.a1?.outcome
}

test.each<[string, Partial<Step>]>([['without speculative', { speculative: false }], ['that is a gang', { gang: true }], ['that is long-running', { lasting: true }]])('a step %s gets no copy, whatever an entry says', (_name, step) => {
  submit(step)
  assign('w1', 1)
  copy('w2', 2)
  expect([listAssigned(), getTask()?.copy]).toEqual([['w1'], undefined])
})

test('a copy needs a running original, another worker and a new attempt, and there is at most one', () => {
  submit()
  copy('w2', 1)
  expect(listAssigned()).toEqual([])
  assign('w1', 1)
  copy('w1', 2)
  copy('w2', 1)
  expect(listAssigned()).toEqual(['w1'])
  copy('w2', 2)
  copy('w3', 3)
  assign('w3', 4)
  expect([listAssigned(), getTask()]).toMatchObject([['w1', 'w2'], { attempt: 1, worker: 'w1', copy: { attempt: 2, worker: 'w2' } }])
})

test.each([['w1', 1, 'w2', 2], ['w2', 2, 'w1', 1]])('the success of the run on %s closes the task, and the other run stays assigned until its end', (winner, won, loser, lost) => {
  submit({ count: 2 })
  assign('w1', 1)
  copy('w2', 2)
  end(winner, won, 'succeeded')
  expect([listAssigned(), getTask()?.succeeded]).toEqual([[loser], true])
  copy('w3', 3)
  assign('w3', 3)
  expect(listAssigned()).toEqual([loser])
  end(loser, lost, 'stopped')
  expect([listAssigned(), getTask(), state.workers[loser]?.lastEnd, state.workflows.a1?.succeeded]).toEqual([[], undefined, 1, { '0.0': 1 }])
})

// Guards against a workflow with two tasks that completes when both runs of one of them succeed.
test('two successes of one task count once', () => {
  submit({ count: 2 })
  assign('w1', 1)
  copy('w2', 2)
  end('w1', 1, 'succeeded')
  end('w2', 2, 'succeeded')
  expect([getOutcome(), state.workflows.a1?.succeeded, listAssigned()]).toEqual([undefined, { '0.0': 1 }, []])
})

test('a failure counts while the other run goes on, and the task is assigned again only after both have ended', () => {
  submit()
  assign('w1', 1)
  copy('w2', 2)
  end('w1', 1, 'failed')
  assign('w3', 3)
  expect([listAssigned(), getTask()]).toMatchObject([['w2'], { attempt: 2, worker: 'w2', failures: 1 }])
  end('w2', 2, 'stopped')
  assign('w3', 2)
  expect(listAssigned()).toEqual([])
  assign('w3', 3)
  expect([listAssigned(), getTask()?.failures]).toEqual([['w3'], 1])
})

test('failures of both runs count against the attempts of the task', () => {
  submit()
  assign('w1', 1)
  copy('w2', 2)
  end('w2', 2, 'failed')
  expect([getOutcome(), listAssigned(), getTask()?.attempt]).toEqual([undefined, ['w1'], 1])
  end('w1', 1, 'failed')
  expect([getOutcome(), listAssigned()]).toEqual(['failed', []])
})

test('a failure after the success of the other run does not count', () => {
  submit({ count: 2 })
  assign('w1', 1)
  copy('w2', 2)
  end('w2', 2, 'succeeded')
  end('w1', 1, 'failed')
  expect([getOutcome(), listAssigned(), getTask()]).toEqual([undefined, [], undefined])
})

// Guards against an end of the copy that changes the attempt of the original: its worker would be told to start it again.
test.each<[string, () => void]>([
  ['its end is concluded twice', () => [1, 2].forEach(() => end('w2', 2, 'not-started', { number: 0 }))],
  ['its leases have ended and its end is reported later', () => {
    workflowHandlers['life.expire'](state, { worker: 'w2', bornAt: 1, judge: JUDGE, at: 0 })
    end('w2', 2, 'lease-expired')
  }],
  ['its worker is removed', () => { workflowHandlers['life.remove'](state, { worker: 'w2', bornAt: 1, judge: JUDGE, at: 0 }) }],
  ['its worker is replaced, and the later incarnation does not run it', () => {
    workflowHandlers['life.report'](state, { life: { ...LIFE, id: 'w2', bornAt: 2 } })
    end('w2', 2, 'not-started', { number: 0, bornAt: 1 })
    expect(getTask()?.copy).toEqual({ attempt: 2, worker: 'w2' })
    end('w2', 2, 'not-started', { number: 0, bornAt: 2 })
  }]
])('the original keeps its attempt after its copy is gone: %s', (_name, lose) => {
  submit()
  assign('w1', 1)
  copy('w2', 2)
  lose()
  expect([listAssigned(), getTask()]).toMatchObject([['w1'], { attempt: 1, worker: 'w1', failures: 0 }])
  copy('w3', 2)
  expect(listAssigned()).toEqual(['w1'])
  copy('w3', 3)
  expect(listAssigned()).toEqual(['w1', 'w3'])
  end('w1', 1, 'succeeded')
  expect([getOutcome(), listAssigned()]).toEqual(['completed', ['w3']])
})

test('a copy goes on alone after the worker of the original is lost, and may get a copy itself', () => {
  submit()
  assign('w1', 1)
  copy('w2', 2)
  workflowHandlers['life.expire'](state, { worker: 'w1', bornAt: 1, judge: JUDGE, at: 0 })
  end('w1', 1, 'lease-expired')
  expect([listAssigned(), getTask()]).toMatchObject([['w2'], { attempt: 2, worker: 'w2' }])
  copy('w1', 3)
  end('w2', 2, 'succeeded')
  expect([getOutcome(), listAssigned()]).toEqual(['completed', ['w1']])
})

test('a checkpoint of either run is kept, and both runs stay assigned after a cancellation until they have ended', () => {
  submit({ checkpoints: true })
  assign('w1', 1)
  copy('w2', 2)
  end('w2', 2, 'stopped', { checkpoint: 'half' })
  expect(getTask()?.checkpoint).toBe('half')
  copy('w3', 3)
  workflowHandlers['workflow.cancel'](state, { id: 'a1', at: 0 })
  expect(listAssigned()).toEqual(['w1', 'w3'])
  end('w1', 1, 'stopped')
  end('w3', 3, 'stopped')
  expect([listAssigned(), getTask(), getOutcome()]).toEqual([[], undefined, 'cancelled'])
})

test('a record of an earlier build, and a snapshot with a copy, are continued', () => {
  submit()
  assign('w1', 1)
  state = structuredClone(state)
  expect(Object.keys(getTask() ?? {}).sort()).toEqual(['attempt', 'checkpoint', 'failures', 'succeeded', 'worker'])
  copy('w2', 2)
  state = structuredClone(state)
  end('w2', 2, 'succeeded')
  expect([getOutcome(), listAssigned()]).toEqual(['completed', ['w1']])
})
