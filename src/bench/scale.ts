import { createManualClock } from '../common/index.js'
import { createWaitingIndex } from '../coordination/workflows/waiting.js'
import { ONE_QUEUE, PLAIN_STEP } from '../emulator/index.js'
import { createWorkflowsState, workflowHandlers, type Recurrence, type RunEnd, type Step, type WorkflowsState } from '../state/index.js'

/** Occurrences, or tasks of one step, of the workflow that is measured. */
const SIZES = [10, 1000, 100_000, 10_000_000]
/** The most tasks of one step that a workflow may have. */
const MAX_STEP_TASKS = 100_000
/** Tasks that are assigned and ended before the measurement, in order. */
const FINISHED_TASKS = 2000
const MEASURED_TASKS = 200
const REPEATS = 20
const WORKER = { id: 'w1', bornAt: 1, service: 'desk', address: 'x:1', availabilityZone: 'a', cores: 1000, memoryMb: 1e6, accelerators: 0, labels: [], draining: false }

export interface ScaleFigures {
  /** Time to list the waiting tasks after a change. */
  listMs: number
  /** Time to apply the assignment and the end of one task. */
  applyMs: number
  /** Size of the state as JSON. */
  stateBytes: number
}

/** Measures the costs of one workflow by its number of occurrences (`occurrences`), all of them due, and by its number of tasks (`tasks`). */
export function measureScale (): Record<string, ScaleFigures> {
  const byOccurrences = SIZES.map((size): [string, ScaleFigures] => [`occurrences.${size}`, measureWorkflow([PLAIN_STEP], { firstAt: 0, intervalMs: 0, count: size }, (number) => `a.${number}.0.0`, size)])
  const byTasks = SIZES.map((size): [string, ScaleFigures] => {
    const steps = Array.from({ length: Math.ceil(size / MAX_STEP_TASKS) }, () => ({ ...PLAIN_STEP, count: Math.min(size, MAX_STEP_TASKS) }))
    return [`tasks.${size}`, measureWorkflow(steps, undefined, (number) => `a.0.0.${number}`, size)]
  })
  return Object.fromEntries([...byOccurrences, ...byTasks])
}

function measureWorkflow (steps: Step[], recurrence: Recurrence | undefined, formatTask: (number: number) => string, size: number): ScaleFigures {
  const state = createWorkflowsState()
  workflowHandlers['catalog.put'](state, { catalog: ONE_QUEUE })
  workflowHandlers['life.report'](state, { life: WORKER })
  workflowHandlers['workflow.submit'](state, { queue: 'quotes', workflow: { id: 'a', command: '', steps, ...recurrence !== undefined && { recurrence } }, at: 0 })
  const finished = Math.min(FINISHED_TASKS, Math.floor(size / 2))
  const measured = Math.min(MEASURED_TASKS, Math.floor(size / 4))
  runTasks(state, 0, finished, formatTask)
  const applyStart = performance.now()
  runTasks(state, finished, measured, formatTask)
  const applyMs = (performance.now() - applyStart) / measured
  const waiting = createWaitingIndex(() => state)
  const wallTime = createManualClock(1).wall()
  waiting.list(wallTime)
  const listStart = performance.now()
  Array.from({ length: REPEATS }).forEach(() => {
    waiting.markChanged('a')
    waiting.list(wallTime)
  })
  return { listMs: (performance.now() - listStart) / REPEATS, applyMs, stateBytes: JSON.stringify(state).length }
}

/** Assigns and ends tasks one after the other, as fast as possible. */
function runTasks (state: WorkflowsState, first: number, count: number, formatTask: (number: number) => string): void {
  Array.from({ length: count }, (_, offset) => first + offset).forEach((number) => {
    const ends: RunEnd[] = [[number + 1, formatTask(number), 1, 'succeeded', '']]
    workflowHandlers['workflow.assign'](state, { assignments: [[formatTask(number), WORKER.id, 1]] })
    workflowHandlers['workflow.end'](state, { lives: [{ worker: WORKER.id, bornAt: WORKER.bornAt, ends }], judge: { host: '', division: 0 }, at: 0 })
  })
}
