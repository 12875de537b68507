import type { Clock, Logger, Metrics } from '../../common/index.js'
import type { AgreedLog, Catalog, LogFailure, Queue, Workflow, WorkflowRecord, WorkflowsState } from '../../state/index.js'
import { admitWorkflow } from './admission.js'
import type { QueueAddress, WorkflowReply, WorkflowRequest, WorkflowStatus } from './messages.js'
import type { Term } from './term.js'

/** Left of a client's patience for the way back of the answer, ms. */
const REPLY_RESERVE_MS = 30
/** When nothing was recorded, a new leader is expected within this; the time without a leader is below 2 s (docs/design.md). */
const NO_LEADER_RETRY_MS = 1000

export interface WorkflowServiceOptions {
  clock: Clock
  logger: Logger
  metrics: Metrics
  log: AgreedLog
  /** The term that this host leads, if it does. */
  getTerm (): Term | undefined
}

export interface WorkflowService {
  handle (request: WorkflowRequest): Promise<WorkflowReply>
}

/** Answers requests about workflows on the leader; every other host names the leader. */
export function createWorkflowService (options: WorkflowServiceOptions): WorkflowService {
  const { log } = options

  const describeLeader = (): WorkflowReply => {
    const { leader, voters } = log.status()
    return { kind: 'not-leader', leader, voters }
  }

  const handlers: { [K in WorkflowRequest['kind']]: (request: Extract<WorkflowRequest, { kind: K }>) => Promise<WorkflowReply> } = {
    ping: async () => ({ kind: 'pong', hasCatalog: getState(log).catalog !== undefined, voters: log.status().voters }),
    submit: (request) => handleSubmit(options, request.address, request.workflow ?? undefined, request.remainingMs),
    cancel: (request) => handleCancel(options, request.address, request.remainingMs),
    read: (request) => handleRead(options, request.address, request.remainingMs)
  }

  return {
    handle: async (request) => {
      const term = options.getTerm()
      if (term === undefined || !term.isActive()) return describeLeader()
      const handler = handlers[request.kind] as (request: WorkflowRequest) => Promise<WorkflowReply>
      return handler(request)
    }
  }
}

function getState (log: AgreedLog): WorkflowsState {
  return log.state().workflows
}

/** The queue with the longest prefix of the path, and what follows the prefix. */
export function findQueue (catalog: Catalog | undefined, { hostName, path }: QueueAddress): { queue: Queue, rest: string } | undefined {
  const queue = catalog?.queues
    .filter((candidate) => candidate.hostName === hostName && path.startsWith(candidate.pathPrefix))
    .reduce<Queue | undefined>((best, candidate) => best === undefined || candidate.pathPrefix.length > best.pathPrefix.length ? candidate : best, undefined)
  return queue === undefined ? undefined : { queue, rest: path.slice(queue.pathPrefix.length) }
}

async function handleSubmit (options: WorkflowServiceOptions, address: QueueAddress, workflow: Workflow | undefined, remainingMs: number): Promise<WorkflowReply> {
  const { log, clock, logger } = options
  const found = findQueue(getState(log).catalog, address)
  if (found === undefined) return confirmAbsence(options, { kind: 'no-queue' }, remainingMs)
  if (workflow === undefined) return { kind: 'invalid', message: 'the body is not a workflow' }
  const { queue } = found
  const isKnown = getState(log).workflows[workflow.id] !== undefined
  const verdict = admitWorkflow({ state: getState(log), queue, workflow, isKnown, now: clock.wall() })
  if (verdict.kind === 'refused') {
    options.metrics.count('workflow.refused', 1, { queue: queue.name })
    logger.info('workflow.refused', { workflow: workflow.id, queue: queue.name, reason: verdict.reason, backlogMs: Math.round(verdict.backlogMs), retryAfterMs: verdict.retryAfterMs })
    return { kind: 'overloaded', retryAfterMs: verdict.retryAfterMs }
  }
  const startedAt = clock.now()
  const result = await log.propose({ kind: 'workflow.submit', queue: queue.name, workflow, at: clock.wall() }, clock.now() + remainingMs - REPLY_RESERVE_MS)
  options.metrics.timing('workflow.accept', clock.now() - startedAt)
  logger.info('workflow.submit', { workflow: workflow.id, queue: queue.name, steps: workflow.steps.length, tasks: workflow.steps.reduce((sum, step) => sum + step.count, 0), known: isKnown, backlogMs: Math.round(verdict.backlogMs), catalog: getState(log).catalog?.version, outcome: result.ok ? 'accepted' : result.val.kind, ms: Math.round(clock.now() - startedAt) })
  return result.ok ? { kind: 'accepted' } : describeLogFailure(result.val)
}

async function handleCancel (options: WorkflowServiceOptions, address: QueueAddress, remainingMs: number): Promise<WorkflowReply> {
  const { log, clock, logger } = options
  const found = findQueue(getState(log).catalog, address)
  if (found === undefined) return confirmAbsence(options, { kind: 'no-queue' }, remainingMs)
  if (getState(log).workflows[found.rest] === undefined) {
    const absence = await confirmAbsence(options, { kind: 'no-workflow' }, remainingMs)
    if (absence.kind !== 'no-workflow' || getState(log).workflows[found.rest] === undefined) return absence
  }
  const result = await log.propose({ kind: 'workflow.cancel', id: found.rest, at: clock.wall() }, clock.now() + remainingMs - REPLY_RESERVE_MS)
  logger.info('workflow.cancel', { workflow: found.rest, queue: found.queue.name, outcome: result.ok ? 'cancelled' : result.val.kind })
  if (result.ok) return { kind: 'accepted' }
  return result.val.kind === 'rejected' ? { kind: 'no-workflow' } : describeLogFailure(result.val)
}

async function handleRead (options: WorkflowServiceOptions, address: QueueAddress, remainingMs: number): Promise<WorkflowReply> {
  const { log } = options
  const found = findQueue(getState(log).catalog, address)
  if (found === undefined) return confirmAbsence(options, { kind: 'no-queue' }, remainingMs)
  if (found.rest === '') return { kind: 'queue', pending: countPending(getState(log), found.queue.name) }
  const record = getState(log).workflows[found.rest]
  if (record !== undefined) return { kind: 'status', status: getStatus(record) }
  const absence = await confirmAbsence(options, { kind: 'no-workflow' }, remainingMs)
  const later = getState(log).workflows[found.rest]
  return later === undefined ? absence : { kind: 'status', status: getStatus(later) }
}

/** A host that was frozen may miss what others recorded, so absence is only reported after a majority was asked. */
async function confirmAbsence (options: WorkflowServiceOptions, reply: WorkflowReply, remainingMs: number): Promise<WorkflowReply> {
  const { log, clock } = options
  if (getState(log).catalog === undefined) return { kind: 'not-run', retryAfterMs: NO_LEADER_RETRY_MS, reason: 'no-catalog' }
  const current = await log.readBarrier(clock.now() + remainingMs - REPLY_RESERVE_MS)
  return current.ok ? reply : { kind: 'not-run', retryAfterMs: NO_LEADER_RETRY_MS, reason: current.val.kind }
}

function describeLogFailure (failure: LogFailure): WorkflowReply {
  if (failure.kind === 'rejected') return failure.rejection.kind === 'unknown-queue' ? { kind: 'no-queue' } : { kind: 'invalid', message: failure.rejection.kind }
  if (failure.kind === 'outcome-unknown') return { kind: 'unknown', reason: failure.message }
  if (failure.kind === 'invalid-entry' || failure.kind === 'entry-too-large') return { kind: 'invalid', message: failure.message }
  return { kind: 'not-run', retryAfterMs: NO_LEADER_RETRY_MS, reason: failure.kind }
}

export function getStatus (record: WorkflowRecord): WorkflowStatus {
  return record.outcome ?? (record.started ? 'running' : 'queued')
}

/** Accepted workflows of a queue none of whose tasks has been started. */
export function countPending (state: WorkflowsState, queue: string): number {
  return Object.values(state.workflows).filter((record) => record.queue === queue && record.outcome === undefined && !record.started).length
}
