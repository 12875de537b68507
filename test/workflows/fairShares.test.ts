import { expect, test } from 'vitest'
import { listOverShare, type QueueUse } from '../../src/coordination/workflows/fairShares.js'
import { compareGroups, listWaiting } from '../../src/coordination/workflows/plan.js'
import { selectWorthy } from '../../src/coordination/workflows/worthlessWork.js'
import { createWaitingIndex } from '../../src/coordination/workflows/waiting.js'
import { createWorkflowsState, workflowHandlers } from '../../src/state/index.js'
import { CATALOG, STEP } from './support.js'

function createUse (queue: string, heldCores: number, more: Partial<QueueUse> = {}): QueueUse {
  return { queue, service: 'desk', priority: 2, kind: 'bestEffort', heldCores, isWaiting: true, ...more }
}

test('of the queues of one priority that wait, those that hold more than an equal share are over it', () => {
  expect([...listOverShare([createUse('a', 90), createUse('b', 10), createUse('c', 50)])]).toEqual(['a bestEffort'])
  // Small differences, a queue alone, and queues that do not compete.
  expect([...listOverShare([createUse('a', 52), createUse('b', 48)])]).toEqual([])
  const others = [createUse('b', 0, { priority: 0 }), createUse('c', 0, { kind: 'ordinary' }), createUse('d', 0, { service: 'other' }), createUse('e', 0, { isWaiting: false })]
  expect([...listOverShare([createUse('a', 90), ...others])]).toEqual([])
})

test('a queue over its share waits for the others of its priority and lateness only', () => {
  const state = createWorkflowsState()
  workflowHandlers['catalog.put'](state, { catalog: CATALOG })
  ;['over', 'under', 'urgent', 'late'].forEach((id) => workflowHandlers['workflow.submit'](state, { queue: 'quotes', workflow: { id, command: '', steps: [STEP] }, at: id === 'late' ? -5000 : id === 'over' ? -10 : 0 }))
  const groups = Object.values(state.workflows).flatMap((record) => listWaiting(record, { ...CATALOG.queues[0]!, priority: record.workflow.id === 'urgent' ? 0 : 2 }, 0))
  const order = groups.sort(compareGroups(0, ({ record }) => ['over', 'urgent'].includes(record.workflow.id) ? 1 : 0)).map(({ record }) => record.workflow.id)
  expect(order).toEqual(['urgent', 'under', 'over', 'late'])
})

// Guards against capacity that goes to work without value just before work with value arrives, and against work that never ends.
test('work without value waits while work of its kind is blocked, unless it is starved or has waited for a minute', () => {
  const state = createWorkflowsState()
  workflowHandlers['catalog.put'](state, { catalog: CATALOG })
  const submit = (id: string, at: number): void => { workflowHandlers['workflow.submit'](state, { queue: 'quotes', workflow: { id, command: '', steps: [STEP] }, at }) }
  submit('worthless', 0)
  submit('valued', 20_000)
  const index = createWaitingIndex(() => state)
  const select = (change: Partial<{ isBlocked: boolean, isStarved: boolean }>, at = 20_000): string[] => {
    const tracked = index.list(at)
    tracked.forEach(({ group, progress }) => Object.assign(progress, { isBlocked: group.record.workflow.id !== 'worthless' && change.isBlocked === true, isStarved: change.isStarved === true }))
    return selectWorthy(tracked, at).map(({ group }) => group.record.workflow.id)
  }
  const both = ['worthless', 'valued']
  expect([select({}), select({ isBlocked: true }), select({ isBlocked: true, isStarved: true })]).toEqual([both, ['valued'], both])
  submit('later', 65_000)
  index.markChanged('later')
  expect([67_400, 67_600].map((at) => select({ isBlocked: true }, at).includes('worthless'))).toEqual([false, true])
})
