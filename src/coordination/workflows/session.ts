import type { Clock, Logger, Metrics } from '../../common/index.js'
import type { EndCause, RunEnd, WorkerLife, WorkerRecord, WorkflowsState } from '../../state/index.js'
import { findTask, parseTaskName } from '../../state/index.js'
import type { HoldReply, RunRow, WorkerClient, WorkerFailure } from './orders.js'
import { createSignal, type Signal } from './signal.js'
import { computeWorkerTime, type ClockReading } from './workerClock.js'
import {
  AUTHORITY_CHECK_MS, EXPIRY_MARGIN_MS, FIRST_RETRY_MS, HOLD_WAIT_MS, IDLE_LOOK_MS, LEASE_MS, MAX_RETRY_MS, MAX_START_TRIES, ORDER_TIMEOUT_MS, REPLY_SLACK_MS,
  RESEND_STOP_MS, SHORT_HOLD_MS
} from './timing.js'

/** What the leader knows of one run that it assigned to a worker. */
export interface Run {
  task: string
  attempt: number
  /** When the worker last confirmed that the run is there; nothing before the first confirmation. */
  confirmedAt: number | undefined
  assignedAt: number
  /** An order without an answer may still be executed until the run is stopped there. */
  unanswered: boolean
  starting: boolean
  stopping: boolean
  /** Why the run is to end; absent while it is wanted. */
  stopReason: string | undefined
  stopSentAt: number
  stopAcknowledgedAt: number | undefined
  row: RunRow | undefined
  /** When `row.percent` last changed. */
  progressAt: number
  ticket: string | undefined
}

/** One worker in one term of the leader. */
export interface Session {
  readonly worker: string
  readonly bornAt: number
  readonly runs: Map<string, Run>
  /** Runs that are there and that nobody wants, by task and attempt, and when they were last told to stop. */
  readonly strays: Map<string, number>
  reachable: boolean
  silentSince: number
  /** Nothing ordered so far can run beyond this local time. */
  leaseEndsAt: number
  reading: ClockReading | undefined
  lastLookAt: number
  retryMs: number
  ended: boolean
  wake: Signal
}

export interface SessionContext {
  clock: Clock
  logger: Logger
  metrics: Metrics
  client: WorkerClient
  fence: number
  getState (): WorkflowsState
  /** False while it is not sure that this host leads; no order is given then. */
  isActive (): boolean
  isStopped (): boolean
  /** The latest time at which this host was surely the leader. */
  getAuthorityAt (): number
  /** Records ends; resolves with true when they are durable. */
  recordEnds (worker: string, bornAt: number, ends: RunEnd[]): Promise<boolean>
  expireLife (worker: string, bornAt: number): Promise<boolean>
  onFenced (worker: string): void
  onReply (session: Session, reply: HoldReply): void
  onEnds (session: Session, ends: RunEnd[]): void
  onRefused (session: Session, run: Run, reason: string): void
  onReachable (session: Session): void
}

export function createSession (context: SessionContext, life: WorkerLife): Session {
  const now = context.clock.now()
  return {
    worker: life.id,
    bornAt: life.bornAt,
    runs: new Map(),
    strays: new Map(),
    reachable: false,
    silentSince: now,
    // An earlier leader may have extended the lease until just before this term began.
    leaseEndsAt: now + LEASE_MS + EXPIRY_MARGIN_MS,
    reading: undefined,
    lastLookAt: -Infinity,
    retryMs: FIRST_RETRY_MS,
    ended: false,
    wake: createSignal(context.clock)
  }
}

export function createRun (task: string, attempt: number, now: number, isNew: boolean): Run {
  return {
    task,
    attempt,
    confirmedAt: undefined,
    assignedAt: now,
    // A run that an earlier leader assigned may have been ordered by it.
    unanswered: !isNew,
    starting: false,
    stopping: false,
    stopReason: undefined,
    stopSentAt: -Infinity,
    stopAcknowledgedAt: undefined,
    row: undefined,
    progressAt: now,
    ticket: undefined
  }
}

function getRecord (context: SessionContext, session: Session): WorkerRecord | undefined {
  const record = context.getState().workers[session.worker]
  return record?.life.bornAt === session.bornAt ? record : undefined
}

/** Keeps one worker in view: renews its lease, takes its ends and brings its runs in line with what is assigned. */
export async function runSession (context: SessionContext, session: Session): Promise<void> {
  const { clock } = context
  while (!context.isStopped() && !session.ended) {
    const record = getRecord(context, session)
    if (record === undefined) return
    const restMs = context.isActive() ? getRestMs(session, clock.now()) : AUTHORITY_CHECK_MS
    if (restMs > 0) {
      await session.wake.wait(restMs)
      continue
    }
    await observeWorker(context, session, record)
  }
}

/** How long the worker needs no look. */
function getRestMs (session: Session, now: number): number {
  const isBusy = session.runs.size > 0 || session.strays.size > 0
  const everyMs = isBusy ? 0 : IDLE_LOOK_MS
  const dueAt = session.reachable ? session.lastLookAt + everyMs : session.lastLookAt + session.retryMs
  return dueAt - now
}

async function observeWorker (context: SessionContext, session: Session, record: WorkerRecord): Promise<void> {
  const { clock, client } = context
  const sentAt = clock.now()
  const isFirst = session.reading === undefined
  const waitMs = isFirst || !session.reachable || session.runs.size === 0 ? 0 : getWaitMs(session, context.getState())
  // Looks at a silent worker give no lease: what runs there has to end before its tasks are given to others.
  const leaseUntil = session.reachable ? renewLease(context, session) : undefined
  const acknowledged = record.lastEnd
  const reply = await client.hold(record.life, { fence: context.fence, leaseUntil, acknowledged, waitMs }, sentAt + waitMs + REPLY_SLACK_MS)
  session.lastLookAt = sentAt
  if (context.isStopped() || session.ended) return
  if (!reply.ok) return handleSilence(context, session, reply.val)
  session.reading = { workerTime: reply.val.clock, receivedAt: clock.now() }
  recordReachable(context, session)
  await handleReply(context, session, reply.val, sentAt)
  if (session.runs.size === 0 && reply.val.ends.length > 0) session.lastLookAt = -Infinity
}

function getWaitMs (session: Session, state: WorkflowsState): number {
  const isWatched = [...session.runs.values()].some(({ task }) => {
    const name = parseTaskName(task)
    const step = name === undefined ? undefined : state.workflows[name.workflow]?.workflow.steps[name.step]
    return step?.tailTargetMs !== undefined
  })
  const needsStops = session.strays.size > 0 || [...session.runs.values()].some((run) => run.stopReason !== undefined)
  return isWatched || needsStops ? SHORT_HOLD_MS : HOLD_WAIT_MS
}

/** The end of a lease, on the worker's clock, that this leader may give now. */
function renewLease (context: SessionContext, session: Session): number | undefined {
  if (session.reading === undefined) return undefined
  const until = context.getAuthorityAt() + LEASE_MS
  session.leaseEndsAt = Math.max(session.leaseEndsAt, until + EXPIRY_MARGIN_MS)
  return computeWorkerTime(session.reading, until)
}

function recordReachable (context: SessionContext, session: Session): void {
  session.retryMs = FIRST_RETRY_MS
  if (session.reachable) return
  session.reachable = true
  // Nothing was seen meanwhile, so the time without news is no standstill.
  session.runs.forEach((run) => { run.progressAt = context.clock.now() })
  context.logger.info('worker.reachable', { worker: session.worker, silentMs: Math.round(context.clock.now() - session.silentSince) })
  context.onReachable(session)
}

async function handleSilence (context: SessionContext, session: Session, failure: WorkerFailure): Promise<void> {
  const { clock, logger } = context
  if (failure.kind === 'refused' && failure.reason === 'fenced') return context.onFenced(session.worker)
  if (session.reachable) {
    session.reachable = false
    session.silentSince = clock.now()
    logger.warn('worker.silent', { worker: session.worker, reason: failure.kind, runs: session.runs.size })
  }
  session.retryMs = Math.min(MAX_RETRY_MS, session.retryMs * 2)
  const isGone = failure.kind === 'other-life'
  const record = getRecord(context, session)
  if (record === undefined || record.expired || (!isGone && clock.now() < session.leaseEndsAt)) return
  const expired = await context.expireLife(session.worker, session.bornAt)
  if (expired) logger.warn('worker.expired', { worker: session.worker, reason: failure.kind, runs: session.runs.size })
  if (expired) session.runs.clear()
}

async function handleReply (context: SessionContext, session: Session, reply: HoldReply, sentAt: number): Promise<void> {
  context.onReply(session, reply)
  if (reply.ends.length > 0) {
    const recorded = await context.recordEnds(session.worker, session.bornAt, reply.ends)
    if (recorded) context.onEnds(session, reply.ends)
  }
  updateRuns(context, session, reply, sentAt)
}

/** Compares what runs there with what is assigned. */
function updateRuns (context: SessionContext, session: Session, reply: HoldReply, sentAt: number): void {
  const rows = new Map(reply.running.map((row) => [row.task, row]))
  const ended = new Set(reply.ends.map(([, task]) => task))
  reply.running.forEach((row) => updateRun(context, session, row, sentAt))
  session.runs.forEach((run) => {
    if (rows.get(run.task)?.attempt === run.attempt || ended.has(run.task)) return
    handleMissing(context, session, run, sentAt)
  })
  session.strays.forEach((_at, key) => {
    const isThere = reply.running.some((row) => getStrayKey(row) === key)
    if (!isThere) session.strays.delete(key)
  })
}

function getStrayKey (row: { task: string, attempt: number }): string {
  return `${row.task}#${row.attempt}`
}

function updateRun (context: SessionContext, session: Session, row: RunRow, sentAt: number): void {
  const run = session.runs.get(row.task)
  if (run === undefined || run.attempt !== row.attempt) {
    const key = getStrayKey(row)
    const lastStop = session.strays.get(key) ?? -Infinity
    if (context.clock.now() - lastStop < RESEND_STOP_MS) return
    session.strays.set(key, context.clock.now())
    stopStray(context, session, row)
    return
  }
  if (run.row?.percent !== row.percent) run.progressAt = context.clock.now()
  run.row = row
  run.confirmedAt ??= sentAt
  if (run.stopReason !== undefined) stopRun(context, session, run, run.stopReason)
}

async function stopStray (context: SessionContext, session: Session, row: RunRow): Promise<void> {
  const record = getRecord(context, session)
  if (record === undefined) return
  context.logger.info('run.stop', { task: row.task, attempt: row.attempt, worker: session.worker, reason: 'not-assigned' })
  const reply = await context.client.stop(record.life, { task: row.task, attempt: row.attempt, fence: context.fence }, context.clock.now() + ORDER_TIMEOUT_MS)
  if (reply.err) context.logger.warn('run.stop-failed', { task: row.task, worker: session.worker, reason: describeWorkerFailure(reply.val) })
}

/** A run that is assigned and that the worker does not list, as of a look that was sent at `sentAt`. */
function handleMissing (context: SessionContext, session: Session, run: Run, sentAt: number): void {
  if (run.starting || run.stopping) return
  if (run.stopReason !== undefined) {
    if (run.stopAcknowledgedAt !== undefined && run.stopAcknowledgedAt < sentAt) releaseRun(context, session, run, 'not-started')
    else stopRun(context, session, run, run.stopReason)
    return
  }
  if (run.confirmedAt === undefined || run.confirmedAt < sentAt) startRun(context, session, run)
}

/** Orders a run until the worker confirms or refuses it. */
export async function startRun (context: SessionContext, session: Session, run: Run): Promise<void> {
  if (run.starting || run.stopReason !== undefined) return
  run.starting = true
  let tries = 0
  let isOpen = true
  while (isOpen && tries < MAX_START_TRIES) {
    tries += 1
    isOpen = await sendStart(context, session, run, tries)
  }
  run.starting = false
  session.wake.notify()
}

/** Sends one start. Returns whether it is worth sending again. */
async function sendStart (context: SessionContext, session: Session, run: Run, tries: number): Promise<boolean> {
  const { clock, logger, client } = context
  const record = getRecord(context, session)
  const workflow = findWorkflow(context, run.task)
  const isWanted = context.isActive() && session.runs.get(run.task) === run && run.stopReason === undefined
  if (record === undefined || workflow === undefined || !isWanted) return false
  const leaseUntil = renewLease(context, session)
  if (leaseUntil === undefined) return false
  const sentAt = clock.now()
  const reply = await client.start(record.life, {
    task: run.task,
    attempt: run.attempt,
    command: workflow.command,
    checkpoint: findTask(context.getState(), run.task)?.checkpoint ?? '',
    fence: context.fence,
    leaseUntil,
    ticket: run.ticket
  }, sentAt + ORDER_TIMEOUT_MS)
  if (context.isStopped()) return false
  if (reply.ok) {
    session.reading = { workerTime: reply.val.clock, receivedAt: clock.now() }
    run.confirmedAt = clock.now()
    run.progressAt = clock.now()
    context.metrics.timing('run.start', clock.now() - sentAt)
    return false
  }
  logger.info('run.start-failed', { task: run.task, attempt: run.attempt, worker: session.worker, reason: describeWorkerFailure(reply.val), tries })
  return handleStartFailure(context, session, run, reply.val)
}

/** True when the order is worth sending again. */
function handleStartFailure (context: SessionContext, session: Session, run: Run, failure: WorkerFailure): boolean {
  if (failure.kind === 'no-answer') {
    run.unanswered = true
    return session.reachable
  }
  if (failure.kind === 'other-life') return false
  const { reason, clock } = failure
  if (clock !== undefined) session.reading = { workerTime: clock, receivedAt: context.clock.now() }
  if (reason === 'fenced') context.onFenced(session.worker)
  if (reason === 'fenced') return false
  if (reason === 'late') return true
  context.onRefused(session, run, reason)
  run.stopReason = reason
  // A copy of an order without an answer may have been executed and may even have ended: the next look tells.
  if (reason === 'superseded') run.stopAcknowledgedAt = context.clock.now()
  else if (run.unanswered) stopRun(context, session, run, reason)
  else releaseRun(context, session, run, 'not-started')
  return false
}

/** Tells the worker to end a run; its end, or its absence after the answer, releases the task. */
export async function stopRun (context: SessionContext, session: Session, run: Run, reason: string): Promise<void> {
  const { clock, logger } = context
  if (run.stopReason === undefined) logger.info('run.stop', { task: run.task, attempt: run.attempt, worker: session.worker, reason, percent: run.row?.percent })
  run.stopReason = reason
  const now = clock.now()
  const record = getRecord(context, session)
  if (run.stopping || record === undefined || now - run.stopSentAt < RESEND_STOP_MS || !session.reachable) return
  run.stopping = true
  run.stopSentAt = now
  const reply = await context.client.stop(record.life, { task: run.task, attempt: run.attempt, fence: context.fence }, now + ORDER_TIMEOUT_MS)
  run.stopping = false
  if (reply.ok) run.stopAcknowledgedAt ??= clock.now()
  else logger.warn('run.stop-failed', { task: run.task, worker: session.worker, reason: describeWorkerFailure(reply.val) })
  session.wake.notify()
}

async function releaseRun (context: SessionContext, session: Session, run: Run, cause: EndCause): Promise<void> {
  if (session.runs.get(run.task) !== run) return
  await context.recordEnds(session.worker, session.bornAt, [[0, run.task, run.attempt, cause, '']])
}

function findWorkflow (context: SessionContext, task: string): { command: string } | undefined {
  const name = parseTaskName(task)
  const record = name === undefined ? undefined : context.getState().workflows[name.workflow]
  return record?.outcome === undefined ? record?.workflow : undefined
}

export function describeWorkerFailure (failure: WorkerFailure): string {
  return failure.kind === 'refused' ? failure.reason : failure.kind
}
