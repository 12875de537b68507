import { expect, test } from 'vitest'
import { createManualClock, createNoopMetrics, createSilentLogger, Err, Ok } from '../../src/common/index.js'
import type { WorkflowReply, WorkflowRequest } from '../../src/coordination/workflows/index.js'
import { createWorkflowService, type WorkflowServiceOptions } from '../../src/coordination/workflows/workflowService.js'
import { createReplicatedState, workflowHandlers } from '../../src/state/index.js'
import { CATALOG, STEP } from './support.js'

/** Nothing has been learned about the pool. */
const COMPETITION = { hasFairShares: true, getRates: () => ({}), getShortDemand: () => 0, recordAccepted: () => {} }

const TIMEOUT_MS = 500
const ADDRESS = { hostName: 'desk.example', path: '/quotes/a1' }
const WORKFLOW = { id: 'a1', command: 'run', steps: [STEP] }

type WithoutTiming<K extends WorkflowRequest['kind']> = Omit<Extract<WorkflowRequest, { kind: K }>, 'remainingMs' | 'heldMs'>

/** Sends a request to a leader whose log never answers. Returns the reply, and how long the leader waited for the log. */
async function send (request: WithoutTiming<'submit'> | WithoutTiming<'read'> | WithoutTiming<'cancel'>, timing: { remainingMs: number, heldMs: number }): Promise<{ reply: WorkflowReply, waitedMs: number | undefined }> {
  const clock = createManualClock(1000)
  const state = createReplicatedState()
  workflowHandlers['catalog.put'](state.workflows, { catalog: { ...CATALOG, queues: CATALOG.queues.map((queue) => ({ ...queue, requestTimeoutMs: TIMEOUT_MS })) } })
  let waitedMs: number | undefined
  const wait = async (deadline: number): Promise<ReturnType<typeof Err<{ kind: 'outcome-unknown', message: string }>>> => {
    waitedMs = deadline - clock.now()
    return Err({ kind: 'outcome-unknown', message: 'no answer in time' })
  }
  const log = { state: () => state, status: () => ({ voters: [] }), subscribe: () => () => {}, propose: (_entry: unknown, deadline: number) => wait(deadline), readBarrier: wait }
  const term = { isActive: () => true, getSchedulerLoad: () => ({ pendingTasks: 0, startsPerSecond: undefined }), competition: COMPETITION }
  const service = createWorkflowService({ clock, logger: createSilentLogger(), metrics: createNoopMetrics(), log, getTerm: () => term } as unknown as WorkflowServiceOptions)
  const reply = await service.handle({ ...request, ...timing })
  return { reply, waitedMs }
}

test.each([
  { kind: 'submit', address: ADDRESS, workflow: WORKFLOW },
  { kind: 'cancel', address: ADDRESS },
  { kind: 'read', address: ADDRESS }
] as const)('a $kind waits no longer than the request timeout of its queue, less the time it was held before', async (request) => {
  expect({
    fresh: (await send(request, { remainingMs: 3000, heldMs: 0 })).waitedMs,
    held: (await send(request, { remainingMs: 3000, heldMs: 200 })).waitedMs,
    shortBudget: (await send(request, { remainingMs: 100, heldMs: 200 })).waitedMs
  }).toEqual({ fresh: TIMEOUT_MS - 30, held: TIMEOUT_MS - 200 - 30, shortBudget: 100 - 30 })
})

test('a job is not stored when the request timeout of its queue has passed; its client is told that it has not run', async () => {
  expect(await send({ kind: 'submit', address: ADDRESS, workflow: WORKFLOW }, { remainingMs: 3000, heldMs: TIMEOUT_MS })).toEqual({
    reply: { kind: 'not-run', retryAfterMs: 1000, reason: 'queue-timeout' }, waitedMs: undefined
  })
})

/** A leader whose queue is overloaded and whose log answers when the test says so. */
function createOverloadedLeader () {
  const clock = createManualClock(1000)
  const state = createReplicatedState()
  const answers: Array<(result: unknown) => void> = []
  let pendingTasks = 0
  workflowHandlers['catalog.put'](state.workflows, { catalog: CATALOG })
  const log = { state: () => state, status: () => ({ voters: [] }), subscribe: () => () => {}, propose: () => new Promise((resolve) => answers.push(resolve)), readBarrier: async () => Ok(1) }
  const term = { isActive: () => true, getSchedulerLoad: () => ({ pendingTasks, startsPerSecond: 1 }), competition: COMPETITION }
  const service = createWorkflowService({ clock, logger: createSilentLogger(), metrics: createNoopMetrics(), log, getTerm: () => term } as unknown as WorkflowServiceOptions)
  const submit = (heldMs = 0): Promise<WorkflowReply> => service.handle({ kind: 'submit', address: ADDRESS, workflow: WORKFLOW, remainingMs: 3000, heldMs })
  return { submit, answers, state, overload: () => { pendingTasks = 1e6 } }
}

// Guards against a job that runs although its client was told that it never will: its first submission waits for the log.
test('a repeated submission is not refused while the first one waits for the log', async () => {
  const { submit, answers, overload } = createOverloadedLeader()
  const first = submit()
  overload()
  const second = submit()
  expect(await submit(1e6)).toMatchObject({ kind: 'unknown' })
  expect(answers).toHaveLength(2)
  answers[1]?.(Err({ kind: 'not-recorded', message: 'too many proposals are waiting' }))
  expect(await second).toMatchObject({ kind: 'unknown' })
  answers[0]?.(Ok({ index: 1, value: {} }))
  expect(await first).toEqual({ kind: 'accepted' })
  expect(await submit()).toMatchObject({ kind: 'overloaded' })
})
