import { canRunCopies, findTask, getLastAttempt, isTaskDone, parseTaskName, type WorkerRecord, type WorkflowsState } from '../../state/index.js'
import { findStep } from './candidates.js'
import { releaseFormerTasks } from './formerTasks.js'
import type { PollReply, RunStatus, WorkerFailure } from './orders.js'
import { releaseRun, startRun, stopRun, stopUnassignedRun } from './runOrders.js'
import { observeServices } from './serviceBound.js'
import { abandonWorker } from './silentWorker.js'
import { getFencingToken, getRecord, recordAlive, recordFenced, renewLease, type Run, type Session, type SessionContext, type UnassignedRun } from './sessionState.js'
import { AUTHORITY_CHECK_INTERVAL_MS, FIRST_RETRY_MS, POLL_WAIT_MS, IDLE_POLL_INTERVAL_MS, MAX_RETRY_MS, POLL_REPLY_MARGIN_MS, SHORT_POLL_WAIT_MS, SPECULATIVE_POLL_WAIT_MS, UNKNOWN_RUN_GRACE_MS } from './timing.js'

/** Polls one worker until its session ends: renews its lease, records its ended runs, and starts or stops runs to match its assignments. */
export async function runSession (context: SessionContext, session: Session): Promise<void> {
  const { clock } = context
  while (!context.isStopped() && !session.ended) {
    const record = getRecord(context, session)
    if (record === undefined) return
    const delayMs = context.isActive() ? getPollDelayMs(session, record, clock.now()) : AUTHORITY_CHECK_INTERVAL_MS
    if (delayMs > 0) {
      await session.wake.wait(delayMs)
      continue
    }
    await sendPoll(context, session, record)
  }
}

/** Time until the next poll is due; zero or less if it is due now. */
function getPollDelayMs (session: Session, record: WorkerRecord, now: number): number {
  const hasRuns = session.runs.size > 0 || session.strays.size > 0
  const idleMs = record.unsettled === undefined ? IDLE_POLL_INTERVAL_MS : FIRST_RETRY_MS
  const intervalMs = hasRuns ? 0 : idleMs
  const dueAt = session.reachable ? session.lastPollAt + intervalMs : session.lastPollAt + session.retryMs
  return dueAt - now
}

async function sendPoll (context: SessionContext, session: Session, record: WorkerRecord): Promise<void> {
  const { clock, client } = context
  const sentAt = clock.now()
  const isFirstPoll = session.clockReading === undefined
  const waitMs = isFirstPoll || !session.reachable || session.runs.size + session.strays.size === 0 ? 0 : getPollWaitMs(session, context.getState())
  // Polls of an unreachable worker do not renew its lease: its runs have to end before their tasks are assigned to others.
  const leaseUntil = session.reachable ? renewLease(context, session) : undefined
  // A worker that does not answer may have restarted, and its next incarnation would take the cursor for its own. So it would with
  // any poll that is in flight during a restart; a cursor without listed ends has no use.
  const acknowledged = session.reachable && session.hasListedEnds ? record.lastEnd : 0
  const reply = await client.poll(record.life, { fence: getFencingToken(context, record), leaseUntil, acknowledged, waitMs }, sentAt + waitMs + POLL_REPLY_MARGIN_MS)
  session.lastPollAt = sentAt
  if (context.isStopped() || session.ended) return
  if (!reply.ok) return handleFailedPoll(context, session, reply.val)
  session.clockReading = { workerTime: reply.val.clock, receivedAt: clock.now() }
  session.readAt = clock.now()
  recordAlive(context, session, sentAt)
  recordFenced(context, session)
  recordReachable(context, session)
  const { unreadableRuns } = reply.val
  if (unreadableRuns !== undefined) context.logger.warn('worker.runs-unreadable', { worker: session.worker, runs: unreadableRuns })
  await handleReply(context, session, reply.val, sentAt)
  if (session.runs.size === 0 && reply.val.ends.length > 0) session.lastPollAt = -Infinity
}

function getPollWaitMs (session: Session, state: WorkflowsState): number {
  const steps = [...session.runs.values()].map(({ task }) => findStep(state, task))
  if (steps.some((step) => step !== undefined && canRunCopies(step))) return SPECULATIVE_POLL_WAIT_MS
  const hasLatencyTarget = steps.some((step) => step?.tailTargetMs !== undefined)
  const needsStops = session.strays.size > 0 || [...session.runs.values()].some((run) => run.stopReason !== undefined)
  return hasLatencyTarget || needsStops ? SHORT_POLL_WAIT_MS : POLL_WAIT_MS
}

function recordReachable (context: SessionContext, session: Session): void {
  session.retryMs = FIRST_RETRY_MS
  if (session.reachable) return
  session.reachable = true
  // No progress could be reported while the worker was unreachable, so that time does not count as a stall.
  session.runs.forEach((run) => { run.progressAt = context.clock.now() })
  context.logger.info('worker.reachable', { worker: session.worker, bornAt: session.bornAt, silentMs: Math.round(context.clock.now() - session.unreachableSince) })
  context.onReachabilityChange(session)
}

async function handleFailedPoll (context: SessionContext, session: Session, failure: WorkerFailure): Promise<void> {
  const { clock, logger } = context
  const isFenced = failure.kind === 'refused' && failure.reason === 'fenced'
  // Refused once more in the same term: the token that the worker has seen is not that of a later leader.
  const isFencedAgain = isFenced && session.fencedTerm === context.fence
  if (isFenced) context.onFenced(session)
  if (isFenced && !isFencedAgain) return
  if (session.reachable) {
    session.reachable = false
    session.unreachableSince = clock.now()
    context.onReachabilityChange(session)
    logger.warn('worker.unreachable', { worker: session.worker, bornAt: session.bornAt, leaseMs: Math.round(session.leaseEndsAt - clock.now()), zone: getRecord(context, session)?.life.availabilityZone, reason: failure.kind, message: 'message' in failure ? failure.message : undefined, runs: session.runs.size })
  }
  session.retryMs = Math.min(MAX_RETRY_MS, session.retryMs * 2)
  await abandonWorker(context, session, failure)
}

async function handleReply (context: SessionContext, session: Session, reply: PollReply, sentAt: number): Promise<void> {
  session.hasListedEnds = reply.ends.length > 0
  const hasNewRuns = observeUnassignedRuns(context, session, reply.running)
  context.onReportDue(session, hasNewRuns)
  context.work.measure('session.services', () => observeServices(context, session, reply))
  recordStops(context, session, reply)
  if (reply.ends.length > 0) {
    // The leader would otherwise assign tasks to capacity that the ends free and that an unassigned run uses.
    if (hasNewRuns) await context.waitForReport(session)
    if (session.ended) return
    await context.recordEnds(session.worker, session.bornAt, reply.ends)
    if (session.ended) return
  }
  context.work.measure('session.update', () => updateRuns(context, session, reply, sentAt))
  await releaseFormerTasks(context, session, reply)
}

/** Records for ended runs that had been told to stop the time from the decision to their end. */
function recordStops ({ clock, metrics }: SessionContext, session: Session, { ends }: PollReply): void {
  ends.forEach(([, task, attempt]) => {
    const run = session.runs.get(task)
    if (run?.attempt === attempt && run.stopReason !== undefined) metrics.timing('run.stop', clock.now() - run.stopOrderedAt, { reason: run.stopReason })
  })
}

/** Compares the runs that the worker lists with its assignments. */
function updateRuns (context: SessionContext, session: Session, reply: PollReply, sentAt: number): void {
  const statuses = new Map(reply.running.map((status) => [status.task, status]))
  const ended = new Set(reply.ends.map(([, task]) => task))
  reply.running.forEach((status) => updateRun(context, session, status, sentAt))
  // The end of a run that is not listed may be in a later part of the list, so nothing is concluded from its absence.
  if (reply.hasMoreEnds === true) return
  const hasAllRuns = reply.unreadableRuns === undefined
  session.runs.forEach((run) => {
    if (statuses.get(run.task)?.attempt === run.attempt || ended.has(run.task)) return
    handleUnlistedRun(context, session, run, sentAt, hasAllRuns)
  })
  if (!hasAllRuns) return
  const listed = new Set(reply.running.map(createRunKey))
  session.strays.forEach((_at, key) => { if (!listed.has(key)) session.strays.delete(key) })
}

function createRunKey (status: { task: string, attempt: number }): string {
  return `${status.task}#${status.attempt}`
}

/** Adds the unassigned runs that the worker lists to the session. Returns whether one of them is new. */
function observeUnassignedRuns (context: SessionContext, session: Session, statuses: readonly RunStatus[]): boolean {
  const known = session.strays.size
  statuses.filter(({ task, attempt }) => session.runs.get(task)?.attempt !== attempt).forEach((status) => addUnassignedRun(context, session, status))
  return session.strays.size > known
}

function addUnassignedRun (context: SessionContext, session: Session, status: RunStatus): UnassignedRun {
  const key = createRunKey(status)
  const known = session.strays.get(key)
  if (known !== undefined) return known
  const unassigned = { task: status.task, attempt: status.attempt, seenAt: context.clock.now(), stoppedAt: -Infinity }
  session.strays.set(key, unassigned)
  recordUnassignedRun(context, session, status)
  return unassigned
}

function updateRun (context: SessionContext, session: Session, status: RunStatus, sentAt: number): void {
  const run = session.runs.get(status.task)
  if (run === undefined || run.attempt !== status.attempt) {
    const unassigned = addUnassignedRun(context, session, status)
    if (!context.isActive()) return
    const mayBeNewer = !isAttemptKnown(context, status) && context.clock.now() - unassigned.seenAt < UNKNOWN_RUN_GRACE_MS
    if (!mayBeNewer) stopUnassignedRun(context, session, unassigned, 'not-assigned')
    return
  }
  // The assignment of the run may have been applied here only after the run was first listed.
  session.strays.delete(createRunKey(status))
  if (run.status?.percent !== status.percent) run.progressAt = context.clock.now()
  run.status = status
  run.confirmedAt ??= sentAt
  run.startedAt ??= sentAt
  if (run.stopReason !== undefined) stopRun(context, session, run, run.stopReason)
}

function recordUnassignedRun (context: SessionContext, session: Session, status: RunStatus): void {
  const { task, attempt, percent } = status
  context.metrics.count('run.unassigned', 1)
  context.logger.info('run.unassigned', { task, attempt, percent, worker: session.worker, bornAt: session.bornAt, isKnown: isAttemptKnown(context, status) })
}

/** True if the local state already contains this attempt or a later one, or the success of the task, or the end of its workflow: an unassigned run then cannot belong to an assignment that is yet to be applied. */
function isAttemptKnown (context: SessionContext, { task, attempt }: RunStatus): boolean {
  const name = parseTaskName(task)
  const record = context.getState().workflows[name?.workflow ?? '']
  if (name === undefined || record === undefined) return false
  const known = findTask(context.getState(), task)
  return record.outcome !== undefined || isTaskDone(record, name) || (known !== undefined && getLastAttempt(known) >= attempt)
}

/**
 * Handles an assigned run that is missing in the worker's reply to a poll sent at `sentAt`. `hasAllRuns`: every run in the list
 * could be read. Otherwise the run may exist: a start order that is repeated changes nothing, but its task is not released.
 */
function handleUnlistedRun (context: SessionContext, session: Session, run: Run, sentAt: number, hasAllRuns: boolean): void {
  if (run.starting || run.stopping) return
  if (run.stopReason !== undefined) {
    if (hasAllRuns && run.stopAcknowledgedAt !== undefined && run.stopAcknowledgedAt < sentAt) releaseRun(context, session, run, 'not-started')
    else stopRun(context, session, run, run.stopReason)
    return
  }
  if (run.confirmedAt === undefined || run.confirmedAt < sentAt) startRun(context, session, run)
}
