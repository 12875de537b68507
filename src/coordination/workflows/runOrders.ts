import type { Result } from '../../common/index.js'
import { findTask, parseTaskName, type EndCause, type WorkerIncarnation } from '../../state/index.js'
import { findStep } from './candidates.js'
import type { OrderReply, StartOrder, WorkerFailure } from './orders.js'
import { getFencingToken, getRecord, recordReplaced, renewLease, type Run, type Session, type SessionContext, type UnassignedRun } from './sessionState.js'
import { MAX_START_TRIES, ORDER_TIMEOUT_MS, RESEND_STOP_MS } from './timing.js'
import { EVACUATED_REASON } from './zoneEvacuation.js'

/** Reason for stopping best-effort runs on a worker whose latency-critical task is about to exceed the bound on its time over target. */
export const SERVICE_BOUND_REASON = 'service-bound'

/** Reason for stopping a run, or not starting it, because another run of its task has succeeded. */
export const OTHER_RUN_SUCCEEDED = 'other-run-succeeded'

/** Reason for stopping the runs of a worker that is about to shut down. */
export const LEAVING_REASON = 'worker-leaving'

/** Sends start orders for a run until the worker confirms or refuses it, or the tries are used up. */
export async function startRun (context: SessionContext, session: Session, run: Run): Promise<void> {
  if (run.starting || run.stopReason !== undefined) return
  run.starting = true
  const step = findStep(context.getState(), run.task)
  // Orders for a gang are urgent because its started members wait only a limited time for the others.
  const isUrgent = step?.lasting === true || step?.gang === true
  let tries = 0
  let shouldRetry = true
  while (shouldRetry && tries < MAX_START_TRIES) {
    tries += 1
    const isAdmitted = await context.starts.claim(session.worker, isUrgent)
    shouldRetry = isAdmitted && await sendStart(context, session, run, tries)
    if (isAdmitted) context.starts.release(session.worker)
  }
  run.starting = false
  if (session.ended) return
  // A worker that answers polls but no start orders would otherwise keep the task forever. Reset connections fail at once, so the elapsed time is checked as well as the number of tries.
  const isOverdue = context.clock.now() >= run.assignedAt + MAX_START_TRIES * ORDER_TIMEOUT_MS
  if (shouldRetry && isOverdue && run.unanswered && run.confirmedAt === undefined) {
    context.onRefused(session, run, 'no-answer')
    stopRun(context, session, run, 'no-answer')
  }
  session.wake.notify()
}

/** Sends one start order. Returns whether to send it again. */
async function sendStart (context: SessionContext, session: Session, run: Run, tries: number): Promise<boolean> {
  const { clock, logger } = context
  if (session.ended) return false
  const record = getRecord(context, session)
  const workflow = findWorkflow(context, run.task)
  const blocker = findStartBlocker(context, session, run)
  if (blocker !== undefined) {
    rejectRun(context, session, run, blocker)
    return false
  }
  const isStillWanted = context.isActive() && session.runs.get(run.task) === run && run.stopReason === undefined
  if (record === undefined || workflow === undefined || !isStillWanted) return false
  const leaseUntil = renewLease(context, session)
  if (leaseUntil === undefined) return false
  const sentAt = clock.now()
  const reply = await sendRecorded(context, record.life, {
    task: run.task,
    attempt: run.attempt,
    command: workflow.command,
    checkpoint: findTask(context.getState(), run.task)?.checkpoint ?? '',
    fence: getFencingToken(context, record),
    leaseUntil,
    ticket: run.ticket
  }, sentAt + ORDER_TIMEOUT_MS)
  // What a worker answers to an ended session is for its present session host to find out.
  if (context.isStopped() || session.ended) return false
  if (reply.ok) {
    session.clockReading = { workerTime: reply.val.clock, receivedAt: clock.now() }
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

/** Sends a start order, which counts as unanswered until an answer shows that it is not under way any more. */
async function sendRecorded ({ client, clock, unansweredStarts }: SessionContext, life: WorkerIncarnation, order: StartOrder, deadline: number): Promise<Result<OrderReply, WorkerFailure>> {
  const removeSent = unansweredStarts.recordSent(life.id, order.task, clock.now())
  const reply = await client.start(life, order, deadline)
  if (reply.ok || reply.val.kind !== 'no-answer') removeSent()
  return reply
}

/** Returns whether to send the start order again. */
function handleStartFailure (context: SessionContext, session: Session, run: Run, failure: WorkerFailure): boolean {
  if (failure.kind === 'no-answer') {
    run.unanswered = true
    return session.reachable
  }
  if (failure.kind === 'other-life') {
    if (failure.bornAt !== undefined) recordReplaced(context, session)
    return false
  }
  const { reason, clock } = failure
  if (clock !== undefined) session.clockReading = { workerTime: clock, receivedAt: context.clock.now() }
  if (reason === 'fenced') context.onFenced(session)
  if (reason === 'fenced') return false
  if (reason === 'late') return true
  context.onRefused(session, run, reason)
  if (reason !== 'superseded') stopUnconfirmed(context, session, run, reason)
  else {
    // An earlier copy of the order, whose answer was lost, may have been executed and its run may even have ended; the next poll shows it.
    run.stopReason = reason
    run.stopOrderedAt = run.stopAcknowledgedAt = context.clock.now()
  }
  return false
}

/** Returns the reason why an assigned run may no longer start on its worker, if there is one. */
function findStartBlocker (context: SessionContext, session: Session, { task }: Run): string | undefined {
  if (findTask(context.getState(), task)?.succeeded === true) return OTHER_RUN_SUCCEEDED
  const life = getRecord(context, session)?.life
  if (life?.draining === true) return 'draining'
  const step = findStep(context.getState(), task)
  if (life !== undefined && context.evacuations.isStartBlocked(life.availabilityZone, step)) return EVACUATED_REASON
  // A member of a gang starts nevertheless: the others would wait for it in vain.
  return step?.fills === true && !step.gang && session.hasOverdueService ? SERVICE_BOUND_REASON : undefined
}

/** Releases a run that may no longer start on its worker. */
function rejectRun (context: SessionContext, session: Session, run: Run, reason: string): void {
  if (run.stopReason !== undefined) return
  // A run that was confirmed before and is not listed may still exist, because its row could not be read.
  run.unanswered ||= run.confirmedAt !== undefined
  context.logger.info('run.rejected', { task: run.task, attempt: run.attempt, worker: session.worker, reason })
  stopUnconfirmed(context, session, run, reason)
}

/** Ends a run that the worker has not confirmed. After a start order without an answer the run may exist, so the worker is told to stop it; otherwise the task is released at once. */
function stopUnconfirmed (context: SessionContext, session: Session, run: Run, reason: string): void {
  run.stopReason = reason
  run.stopOrderedAt = context.clock.now()
  if (run.unanswered) stopRun(context, session, run, reason)
  else releaseRun(context, session, run, 'not-started')
}

/** Tells the worker to stop a run. The task is released when the worker lists the end of the run, or no longer lists the run after it has answered. */
export async function stopRun (context: SessionContext, session: Session, run: Run, reason: string): Promise<void> {
  const { clock, logger } = context
  if (run.stopReason === undefined) context.metrics.count('run.stopped', 1, { reason })
  if (run.stopReason === undefined) logger.info('run.stop', { task: run.task, attempt: run.attempt, worker: session.worker, reason, percent: run.status?.percent })
  const now = clock.now()
  if (run.stopReason === undefined) run.stopOrderedAt = now
  run.stopReason = reason
  const record = getRecord(context, session)
  if (run.stopping || record === undefined || now - run.stopSentAt < RESEND_STOP_MS || !session.reachable || !canStop(context, reason)) return
  run.stopping = true
  run.stopSentAt = now
  const reply = await context.client.stop(record.life, { task: run.task, attempt: run.attempt, fence: getFencingToken(context, record) }, now + ORDER_TIMEOUT_MS)
  run.stopping = false
  if (reply.ok) run.stopAcknowledgedAt ??= clock.now()
  else logger.warn('run.stop-failed', { task: run.task, worker: session.worker, reason: describeWorkerFailure(reply.val) })
  session.wake.notify()
}

/**
 * The bound on services is also enforced while the leader does not confirm this host's authority. Such a stop can end no other attempt,
 * and a worker that has orders of a later leader refuses it; under the same leader it may end a run that another session host has taken over.
 */
function canStop (context: SessionContext, reason: string): boolean {
  return context.isActive() || reason === SERVICE_BOUND_REASON
}

/** Records that an assigned run does not exist on its worker, so that its task is queued again. */
export async function releaseRun (context: SessionContext, session: Session, run: Run, cause: EndCause): Promise<void> {
  // After the session has ended, the worker's next session host may have started the run again.
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

/** Tells the worker to stop an unassigned run: one that is not needed any more, or a best-effort run beside a latency-critical task that is overdue. */
export async function stopUnassignedRun (context: SessionContext, session: Session, unassigned: UnassignedRun, reason: string): Promise<void> {
  const now = context.clock.now()
  const record = getRecord(context, session)
  if (record === undefined || now - unassigned.stoppedAt < RESEND_STOP_MS || !canStop(context, reason)) return
  unassigned.stoppedAt = now
  context.logger.info('run.stop', { task: unassigned.task, attempt: unassigned.attempt, worker: session.worker, reason })
  const reply = await context.client.stop(record.life, { task: unassigned.task, attempt: unassigned.attempt, fence: getFencingToken(context, record) }, now + ORDER_TIMEOUT_MS)
  if (reply.err) context.logger.warn('run.stop-failed', { task: unassigned.task, worker: session.worker, reason: describeWorkerFailure(reply.val) })
}
