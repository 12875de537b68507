import { expect, test } from 'vitest'
import { findStep } from '../../src/coordination/workflows/candidates.js'
import { createWorkflowsState, formatTaskName, parseTaskName, workflowHandlers } from '../../src/state/index.js'
import { CATALOG, STEP } from './support.js'

test('a task name yields its step, even if the workflow id contains dots, and a malformed name yields none', () => {
  const state = createWorkflowsState()
  workflowHandlers['catalog.put'](state, { catalog: CATALOG })
  const ids = ['a', 'a.b', 'a.0', '0.1.2']
  ids.forEach((id) => workflowHandlers['workflow.submit'](state, { queue: 'quotes', workflow: { id, command: '', steps: [STEP, { ...STEP, image: id }] }, at: 0 }))
  expect(ids.map((workflow) => findStep(state, formatTaskName({ workflow, occurrence: 3, step: 1, index: 7 }))?.image)).toEqual(ids)
  const malformed = ['', '.', 'a', 'a.0', 'a.0.1', '.0.1.0', 'a.0.x.0', 'a.0.2.0', 'none.0.0.0']
  expect(malformed.map((task) => [findStep(state, task), state.workflows[parseTaskName(task)?.workflow ?? '']?.workflow.steps[parseTaskName(task)?.step ?? 0]])).toEqual(malformed.map(() => [undefined, undefined]))
})
