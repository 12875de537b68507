import { findTask, parseTaskName, type EndCause } from '../../state/index.js'
import { findStep } from './candidates.js'
import type { WorkerFailure } from './orders.js'
import { getRecord, renewLease, type Run, type Session, type SessionContext, type Stray } from './sessionState.js'
import { MAX_START_TRIES, ORDER_TIMEOUT_MS, RESEND_STOP_MS } from './timing.js'

/** Why runs that fill leave a worker on which a service reaches the bound of its time over its target. */
export const SERVICE_BOUND_REASON = 'service-bound'

/** Orders a run until the worker confirms or refuses it. */
export async function startRun (context: SessionContext, session: Session, run: Run): Promise<void> {
  if (run.starting || run.stopReason !== undefined) return
  run.starting = true
  const step = findStep(context.getState(), run.task)
  // The members of a gang that have started wait for the others for a bounded time only.
  const isUrgent = step?.lasting === true || step?.gang === true
  let tries = 0
  let isOpen = true
  while (isOpen && tries < MAX_START_TRIES) {
    tries += 1
    const isAdmitted = await context.starts.claim(session.worker, isUrgent)
    isOpen = isAdmitted && await sendStart(context, session, run, tries)
    if (isAdmitted) context.starts.release(session.worker)
  }
  run.starting = false
  // A worker that answers looks and no starts would keep the task for good. Connections that are reset fail at once, so the time counts.
  const isOverdue = context.clock.now() >= run.assignedAt + MAX_START_TRIES * ORDER_TIMEOUT_MS
  if (isOpen && isOverdue && run.unanswered && run.confirmedAt === undefined) {
    context.onRefused(session, run, 'no-answer')
    stopRun(context, session, run, 'no-answer')
  }
  session.wake.notify()
}

/** Sends one start. Returns whether it is worth sending again. */
async function sendStart (context: SessionContext, session: Session, run: Run, tries: number): Promise<boolean> {
  const { clock, logger, client } = context
  const record = getRecord(context, session)
  const workflow = findWorkflow(context, run.task)
  const barred = findBar(context, session, run)
  if (barred !== undefined) {
    rejectRun(context, session, run, barred)
    return false
  }
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
    run.startedAt ??= clock.now()
    run.progressAt = clock.now()
    context.onStarted(session, run)
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
  if (reason !== 'superseded') stopUnstarted(context, session, run, reason)
  else {
    // A copy of an order without an answer may have been executed and may even have ended: the next look tells.
    run.stopReason = reason
    run.stopOrderedAt = run.stopAcknowledgedAt = context.clock.now()
  }
  return false
}

/** Why a run may not start on its worker any more, however long ago it was assigned. */
function findBar (context: SessionContext, session: Session, { task }: Run): string | undefined {
  if (getRecord(context, session)?.life.draining === true) return 'draining'
  const step = findStep(context.getState(), task)
  // A member of a gang starts all the same: the others would wait for it in vain.
  return step?.fills === true && !step.gang && session.hasOverdueService ? SERVICE_BOUND_REASON : undefined
}

/** Gives back a run that is not to start on this worker. */
function rejectRun (context: SessionContext, session: Session, run: Run, reason: string): void {
  if (run.stopReason !== undefined) return
  context.logger.info('run.rejected', { task: run.task, attempt: run.attempt, worker: session.worker, reason })
  stopUnstarted(context, session, run, reason)
}

/** Ends a run that the worker has not confirmed; an order without an answer may have been executed all the same. */
function stopUnstarted (context: SessionContext, session: Session, run: Run, reason: string): void {
  run.stopReason = reason
  run.stopOrderedAt = context.clock.now()
  if (run.unanswered) stopRun(context, session, run, reason)
  else releaseRun(context, session, run, 'not-started')
}

/** Tells the worker to end a run; its end, or its absence after the answer, releases the task. */
export async function stopRun (context: SessionContext, session: Session, run: Run, reason: string): Promise<void> {
  const { clock, logger } = context
  if (run.stopReason === undefined) context.metrics.count('run.stopped', 1, { reason })
  if (run.stopReason === undefined) logger.info('run.stop', { task: run.task, attempt: run.attempt, worker: session.worker, reason, percent: run.row?.percent })
  const now = clock.now()
  if (run.stopReason === undefined) run.stopOrderedAt = now
  run.stopReason = reason
  const record = getRecord(context, session)
  if (run.stopping || record === undefined || now - run.stopSentAt < RESEND_STOP_MS || !session.reachable || !context.isActive()) return
  run.stopping = true
  run.stopSentAt = now
  const reply = await context.client.stop(record.life, { task: run.task, attempt: run.attempt, fence: context.fence }, now + ORDER_TIMEOUT_MS)
  run.stopping = false
  if (reply.ok) run.stopAcknowledgedAt ??= clock.now()
  else logger.warn('run.stop-failed', { task: run.task, worker: session.worker, reason: describeWorkerFailure(reply.val) })
  session.wake.notify()
}

/** Records that an assigned run is not there, so that its task waits again. */
export async function releaseRun (context: SessionContext, session: Session, run: Run, cause: EndCause): Promise<void> {
  // The judgement of an ended session says nothing about what the worker's next host has ordered.
  if (session.ended || session.runs.get(run.task) !== run) return
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

/** Tells the worker to end a run that nobody wants, or that may not be there any longer. */
export async function stopStray (context: SessionContext, session: Session, stray: Stray, reason: string): Promise<void> {
  const now = context.clock.now()
  const record = getRecord(context, session)
  if (record === undefined || !context.isActive() || now - stray.stoppedAt < RESEND_STOP_MS) return
  stray.stoppedAt = now
  context.logger.info('run.stop', { task: stray.task, attempt: stray.attempt, worker: session.worker, reason })
  const reply = await context.client.stop(record.life, { task: stray.task, attempt: stray.attempt, fence: context.fence }, now + ORDER_TIMEOUT_MS)
  if (reply.err) context.logger.warn('run.stop-failed', { task: stray.task, worker: session.worker, reason: describeWorkerFailure(reply.val) })
}
