import type { Clock, Logger, Metrics } from '../../common/index.js'
import type { ReplicatedLog, Catalog, LogFailure, Queue, Workflow, WorkflowRecord, WorkflowsState } from '../../state/index.js'
import { admitWorkflow, computeTotals, createKnownSizes, createTotalsCache, type Admission, type BacklogTotals, type KnownSizes } from './admission.js'
import { describeOversizedGang } from './gangLimit.js'
import type { QueueAddress, WorkflowReply, WorkflowRequest, WorkflowStatus } from './messages.js'
import { computeRetryAfterMs } from './roomForecast.js'
import type { Term } from './term.js'
import { createOpenWorkflows, type OpenWorkflows } from './waiting.js'

/** Part of the client's remaining time that is reserved for the transfer of the answer, ms. */
const REPLY_RESERVE_MS = 30
/** Retry delay after a request that was not recorded; a new leader is usually elected within it, and the time without a leader is below 2 s (docs/design.md). */
const NO_LEADER_RETRY_MS = 1000
/** Answer when the time limit of the queue or the client has passed. The usual reason is a change of the leader, which is over within the retry delay. */
const TIMED_OUT: WorkflowReply = { kind: 'not-run', retryAfterMs: NO_LEADER_RETRY_MS, reason: 'queue-timeout' }

export interface WorkflowServiceOptions {
  clock: Clock
  logger: Logger
  metrics: Metrics
  log: ReplicatedLog
  /** The current term, while this host is the leader. */
  getTerm (): Term | undefined
}

/** Open workflows and their totals, cached for one term so that requests can be answered from them. */
interface TermView { term: Term, open: OpenWorkflows, sizes: KnownSizes, getTotals (): BacklogTotals }

type RequestOptions = WorkflowServiceOptions & {
  getView (): TermView | undefined
  /** By workflow: number of its submissions that wait for the log. */
  proposed: Map<string, number>
}

export interface WorkflowService {
  handle (request: WorkflowRequest): Promise<WorkflowReply>
}

/** Answers workflow requests on the leader; any other host replies with the name of the leader. */
export function createWorkflowService (serviceOptions: WorkflowServiceOptions): WorkflowService {
  const { log } = serviceOptions
  const options: RequestOptions = { ...serviceOptions, getView: createTermView(serviceOptions), proposed: new Map() }

  const describeLeader = (): WorkflowReply => {
    const { leader, voters } = log.status()
    return { kind: 'not-leader', leader, voters }
  }

  const handlers: { [K in WorkflowRequest['kind']]: (request: Extract<WorkflowRequest, { kind: K }>) => Promise<WorkflowReply> } = {
    ping: async () => ({ kind: 'pong', hasCatalog: getState(log).catalog !== undefined, voters: log.status().voters, ...describeLimits(getState(log)) }),
    submit: (request) => handleSubmit(options, request),
    cancel: (request) => handleCancel(options, request),
    read: (request) => handleRead(options, request)
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

/** Tracks the open workflows from the first request of a term on, so that no request iterates over the ended ones. */
function createTermView ({ clock, log, getTerm }: WorkflowServiceOptions): () => TermView | undefined {
  let view: TermView | undefined
  log.subscribe((entry) => {
    if (getTerm() !== view?.term) view = undefined
    if (entry.kind === 'workflow.submit') view?.open.markChanged(entry.workflow.id)
  })
  return () => {
    const term = getTerm()
    if (term === undefined || term === view?.term) return view
    const open = createOpenWorkflows(() => getState(log))
    view = { term, open, sizes: createKnownSizes(clock), getTotals: createTotalsCache(clock, () => computeTotals(getState(log), open.list(), clock.wall())) }
    return view
  }
}

function describeLimits ({ catalog }: WorkflowsState): Pick<Extract<WorkflowReply, { kind: 'pong' }>, 'limits'> {
  return catalog?.limits === undefined ? {} : { limits: catalog.limits }
}

function getState (log: ReplicatedLog): WorkflowsState {
  return log.state().workflows
}

const queuesByHost = new WeakMap<Catalog, Map<string, Queue[]>>()

/** The queues of a host name, longest path prefix first. Cached by catalog, since a catalog in force never changes. */
function listQueues (catalog: Catalog, hostName: string): Queue[] {
  const known = queuesByHost.get(catalog) ?? new Map<string, Queue[]>()
  queuesByHost.set(catalog, known)
  if (known.size === 0) {
    const ordered = catalog.queues.toSorted((a, b) => b.pathPrefix.length - a.pathPrefix.length)
    ordered.forEach((queue) => {
      const others = known.get(queue.hostName)
      if (others === undefined) known.set(queue.hostName, [queue])
      else others.push(queue)
    })
  }
  return known.get(hostName) ?? []
}

/** The queue with the longest prefix of the path, and the remainder of the path: the id of a workflow, or empty. */
export function findQueue (catalog: Catalog | undefined, { hostName, path }: QueueAddress): { queue: Queue, rest: string } | undefined {
  if (catalog === undefined) return undefined
  const queue = listQueues(catalog, hostName).find(({ pathPrefix }) => path.startsWith(pathPrefix))
  return queue === undefined ? undefined : { queue, rest: path.slice(queue.pathPrefix.length) }
}

type Timing = Pick<Extract<WorkflowRequest, { kind: 'read' }>, 'remainingMs' | 'heldMs'>

/** Deadline of a request: the earlier of the client's own deadline and the request time-out of the queue, minus the reserve for the answer. */
function computeDeadline ({ clock }: RequestOptions, { remainingMs, heldMs }: Timing, queue?: Queue): number {
  return clock.now() + Math.min(remainingMs, (queue?.requestTimeoutMs ?? Infinity) - heldMs) - REPLY_RESERVE_MS
}

async function handleSubmit (options: RequestOptions, request: Extract<WorkflowRequest, { kind: 'submit' }>): Promise<WorkflowReply> {
  const { log, clock, logger } = options
  const { workflow } = request
  const found = findQueue(getState(log).catalog, request.address)
  if (found === undefined) return confirmAbsence(options, createNoQueue(log), computeDeadline(options, request))
  if (workflow === null) return { kind: 'invalid', message: 'the body is not a workflow' }
  const { queue } = found
  const deadline = computeDeadline(options, request, queue)
  if (deadline <= clock.now()) return describeRefusal(options, workflow.id, TIMED_OUT)
  const isKnown = getState(log).workflows[workflow.id] !== undefined || options.proposed.has(workflow.id)
  const problem = isKnown ? undefined : describeOversizedGang(workflow)
  if (problem !== undefined) {
    logger.info('workflow.refused', { workflow: workflow.id, queue: queue.name, reason: 'gang-too-large', message: problem })
    return { kind: 'invalid', message: problem }
  }
  const view = options.getView()
  const { verdict, refusal } = checkAdmission(options, view, queue, workflow, isKnown)
  if (refusal !== undefined) return refusal
  const startedAt = clock.now()
  const result = await countProposal(options.proposed, workflow.id, () => log.propose({ kind: 'workflow.submit', queue: queue.name, workflow, at: clock.wall() }, deadline))
  options.metrics.timing('workflow.accept', clock.now() - startedAt)
  if (result.ok && !isKnown) view?.term.competition.recordAccepted(queue, workflow)
  logger.info('workflow.submit', { workflow: workflow.id, queue: queue.name, steps: workflow.steps.length, tasks: workflow.steps.reduce((sum, step) => sum + step.count, 0), known: isKnown, backlogMs: Math.round(verdict.backlogMs), catalog: getState(log).catalog?.version, outcome: result.ok ? 'accepted' : result.val.kind, ms: Math.round(clock.now() - startedAt) })
  return result.ok ? { kind: 'accepted' } : describeRefusal(options, workflow.id, describeLogFailure(log, result.val))
}

/** Decides whether to admit a workflow, and reports a refusal. */
function checkAdmission ({ log, clock, logger, metrics }: RequestOptions, view: TermView | undefined, queue: Queue, workflow: Workflow, isKnown: boolean): { verdict: Admission, refusal?: WorkflowReply } {
  const load = view?.term.getSchedulerLoad(queue.priority)
  const sizes = view?.sizes.list(getState(log), queue.service)
  const verdict = admitWorkflow({ state: getState(log), queue, workflow, isKnown, now: clock.wall(), totals: view?.getTotals(), load, sizes, rates: view?.term.competition.getRates(queue, workflow), hasFairShares: view?.term.competition.hasFairShares, shortDemandCores: view?.term.competition.getShortDemand(queue.service) })
  if (verdict.kind === 'admitted') return { verdict }
  const retryAfterMs = computeRetryAfterMs(verdict.retryAfterMs, queue.priority, workflow.id)
  metrics.count('workflow.refused', 1, { queue: queue.name, reason: verdict.reason })
  logger.info('workflow.refused', { workflow: workflow.id, queue: queue.name, reason: verdict.reason, backlogMs: Math.round(verdict.backlogMs), ahead: load?.pendingTasks, startsPerSecond: load?.startsPerSecond?.toFixed(0), retryAfterMs })
  return { verdict, refusal: { kind: 'overloaded', retryAfterMs } }
}

/** Counts a workflow in `proposed` while one of its submissions waits for the log. */
async function countProposal<T> (proposed: RequestOptions['proposed'], workflow: string, propose: () => Promise<T>): Promise<T> {
  proposed.set(workflow, (proposed.get(workflow) ?? 0) + 1)
  try {
    return await propose()
  } finally {
    const others = (proposed.get(workflow) ?? 1) - 1
    if (others > 0) proposed.set(workflow, others)
    else proposed.delete(workflow)
  }
}

/** Says that a workflow was not recorded only if no other submission of it was or may be. */
function describeRefusal ({ log, proposed }: RequestOptions, workflow: string, refusal: WorkflowReply): WorkflowReply {
  if (getState(log).workflows[workflow] !== undefined) return { kind: 'accepted' }
  return proposed.has(workflow) ? { kind: 'unknown', reason: 'another submission of the workflow waits for the log' } : refusal
}

async function handleCancel (options: RequestOptions, request: Extract<WorkflowRequest, { kind: 'cancel' }>): Promise<WorkflowReply> {
  const { log, clock, logger } = options
  const found = findQueue(getState(log).catalog, request.address)
  const deadline = computeDeadline(options, request, found?.queue)
  if (found === undefined) return confirmAbsence(options, createNoQueue(log), deadline)
  if (deadline <= clock.now()) return TIMED_OUT
  if (getState(log).workflows[found.rest] === undefined) {
    const absence = await confirmAbsence(options, { kind: 'no-workflow' }, deadline)
    if (absence.kind !== 'no-workflow' || getState(log).workflows[found.rest] === undefined) return absence
  }
  const result = await log.propose({ kind: 'workflow.cancel', id: found.rest, at: clock.wall() }, deadline)
  logger.info('workflow.cancel', { workflow: found.rest, queue: found.queue.name, outcome: result.ok ? 'cancelled' : result.val.kind })
  if (result.ok) return { kind: 'accepted' }
  return result.val.kind === 'rejected' ? { kind: 'no-workflow' } : describeLogFailure(log, result.val)
}

async function handleRead (options: RequestOptions, request: Extract<WorkflowRequest, { kind: 'read' }>): Promise<WorkflowReply> {
  const { log } = options
  const found = findQueue(getState(log).catalog, request.address)
  const deadline = computeDeadline(options, request, found?.queue)
  if (found === undefined) return confirmAbsence(options, createNoQueue(log), deadline)
  const view = options.getView()
  const hasStarted = (record: WorkflowRecord): boolean => record.started || view?.term.hasStarted(record.workflow.id) === true
  if (found.rest === '') return { kind: 'queue', pending: countPending(view?.open.list() ?? Object.values(getState(log).workflows), found.queue.name, hasStarted), catalogVersion: getCatalogVersion(log) }
  const record = getState(log).workflows[found.rest]
  if (record !== undefined) return { kind: 'status', status: getStatus(record, hasStarted(record)) }
  const absence = await confirmAbsence(options, { kind: 'no-workflow' }, deadline)
  const later = getState(log).workflows[found.rest]
  return later === undefined ? absence : { kind: 'status', status: getStatus(later, hasStarted(later)) }
}

/** Confirms with a majority that a queue or workflow does not exist before that is reported: a host that was suspended may miss entries that others have recorded. */
async function confirmAbsence ({ log }: RequestOptions, reply: WorkflowReply, deadline: number): Promise<WorkflowReply> {
  if (getState(log).catalog === undefined) return { kind: 'not-run', retryAfterMs: NO_LEADER_RETRY_MS, reason: 'no-catalog' }
  const current = await log.readBarrier(deadline)
  return current.ok ? reply : { kind: 'not-run', retryAfterMs: NO_LEADER_RETRY_MS, reason: current.val.kind }
}

function getCatalogVersion (log: ReplicatedLog): number {
  return getState(log).catalog?.version ?? 0
}

function createNoQueue (log: ReplicatedLog): WorkflowReply {
  return { kind: 'no-queue', catalogVersion: getCatalogVersion(log) }
}

function describeLogFailure (log: ReplicatedLog, failure: LogFailure): WorkflowReply {
  if (failure.kind === 'rejected') return failure.rejection.kind === 'unknown-queue' ? createNoQueue(log) : { kind: 'invalid', message: failure.rejection.kind }
  if (failure.kind === 'outcome-unknown') return { kind: 'unknown', reason: failure.message }
  if (failure.kind === 'invalid-entry' || failure.kind === 'entry-too-large') return { kind: 'invalid', message: failure.message }
  return { kind: 'not-run', retryAfterMs: NO_LEADER_RETRY_MS, reason: failure.kind }
}

function getStatus ({ outcome }: WorkflowRecord, hasStarted: boolean): WorkflowStatus {
  return outcome ?? (hasStarted ? 'running' : 'queued')
}

/** Number of accepted workflows of a queue that have not ended and of which no worker has started a task. */
export function countPending (records: readonly WorkflowRecord[], queue: string, hasStarted: (record: WorkflowRecord) => boolean): number {
  return records.filter((record) => record.queue === queue && record.outcome === undefined && !hasStarted(record)).length
}
