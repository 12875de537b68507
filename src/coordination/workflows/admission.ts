import type { Queue, Step, Workflow, WorkflowRecord, WorkflowsState } from '../../state/index.js'
import { estimateChainMs, WORTHLESS_FACTOR } from './plan.js'

/** Cores that lasting work uses of those it requests. */
const LASTING_USE = 0.5
const MIN_RETRY_AFTER_MS = 1000
const MAX_RETRY_AFTER_MS = 30_000

export interface AdmissionInput {
  state: WorkflowsState
  queue: Queue
  workflow: Workflow
  /** Already recorded, so that refusing it would be a lie. */
  isKnown: boolean
  now: number
}

export type Admission =
  | { kind: 'admitted', backlogMs: number }
  | { kind: 'refused', reason: 'backlog', backlogMs: number, retryAfterMs: number }

/**
 * Refuses a workflow whose queue's backlog already takes longer than the workflow may last, as on a burst of large
 * jobs: it would only make those before it late as well. Lasting work and timed work is always admitted.
 */
export function admitWorkflow ({ state, queue, workflow, isKnown }: AdmissionInput): Admission {
  const backlogMs = estimateBacklogMs(state, queue)
  const isPatient = workflow.recurrence !== undefined || workflow.steps.some(({ lasting }) => lasting)
  const allowedMs = WORTHLESS_FACTOR * (queue.slackFactor * estimateChainMs(workflow.steps) + queue.objectiveMs)
  if (isKnown || isPatient || backlogMs <= allowedMs) return { kind: 'admitted', backlogMs }
  const retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, backlogMs - allowedMs))
  return { kind: 'refused', reason: 'backlog', backlogMs, retryAfterMs }
}

/** How long the pool of the queue would work on what waits at this priority or before it, ms. */
export function estimateBacklogMs (state: WorkflowsState, queue: Queue): number {
  const priorities = new Map(state.catalog?.queues.map(({ name, priority }) => [name, priority]) ?? [])
  const cores = Object.values(state.workers)
    .filter(({ life, expired }) => life.service === queue.service && !life.draining && !expired)
    .reduce((sum, { life }) => sum + life.cores, 0)
  const open = Object.values(state.workflows).filter((record) => record.outcome === undefined && record.service === queue.service)
  const lastingCores = LASTING_USE * open.reduce((sum, record) => sum + record.workflow.steps.filter(({ lasting }) => lasting).reduce((total, step) => total + step.cores * step.count, 0), 0)
  const work = open
    .filter((record) => (priorities.get(record.queue) ?? 0) <= queue.priority)
    .reduce((sum, record) => sum + estimateOpenWork(record), 0)
  // With every core taken by lasting work a tenth still comes free as lasting work ends.
  return cores === 0 ? 0 : work / Math.max(cores - lastingCores, cores / 10)
}

/** Core-milliseconds that are left of a workflow, without its lasting steps. */
function estimateOpenWork (record: WorkflowRecord): number {
  const { steps, recurrence } = record.workflow
  if (recurrence !== undefined) return 0
  return steps.reduce((sum, step, number) => sum + estimateStepWork(step, record.succeeded[`0.${number}`] ?? 0), 0)
}

function estimateStepWork (step: Step, succeeded: number): number {
  return step.lasting ? 0 : Math.max(0, step.count - succeeded) * step.cores * step.expectedRunMs
}
