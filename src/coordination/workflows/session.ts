import { findTask, parseTaskName, type WorkerRecord, type WorkflowsState } from '../../state/index.js'
import { findStep } from './candidates.js'
import type { HoldReply, RunRow, WorkerFailure } from './orders.js'
import { releaseRun, startRun, stopRun, stopStray } from './runOrders.js'
import { observeServices } from './serviceBound.js'
import { getRecord, renewLease, type Run, type Session, type SessionContext } from './sessionState.js'
import { AUTHORITY_CHECK_MS, FIRST_RETRY_MS, FORGET_MS, HOLD_WAIT_MS, IDLE_LOOK_MS, MAX_RETRY_MS, REPLY_SLACK_MS, SHORT_HOLD_MS, UNKNOWN_RUN_MS } from './timing.js'

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
  session.readAt = clock.now()
  recordReachable(context, session)
  await handleReply(context, session, reply.val, sentAt)
  if (session.runs.size === 0 && reply.val.ends.length > 0) session.lastLookAt = -Infinity
}

function getWaitMs (session: Session, state: WorkflowsState): number {
  const isWatched = [...session.runs.values()].some(({ task }) => findStep(state, task)?.tailTargetMs !== undefined)
  const needsStops = session.strays.size > 0 || [...session.runs.values()].some((run) => run.stopReason !== undefined)
  return isWatched || needsStops ? SHORT_HOLD_MS : HOLD_WAIT_MS
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
    context.onReachable(session)
    logger.warn('worker.silent', { worker: session.worker, zone: getRecord(context, session)?.life.availabilityZone, reason: failure.kind, runs: session.runs.size })
  }
  session.retryMs = Math.min(MAX_RETRY_MS, session.retryMs * 2)
  const isGone = failure.kind === 'other-life'
  const record = getRecord(context, session)
  if (record?.expired === true && clock.now() - session.silentSince > FORGET_MS) {
    const removed = await context.removeLife(session.worker, session.bornAt)
    return logger.info('worker.forgotten', { worker: session.worker, outcome: removed ? 'recorded' : 'not-recorded' })
  }
  if (record === undefined || record.expired || (!isGone && clock.now() < session.leaseEndsAt)) return
  const expired = await context.expireLife(session.worker, session.bornAt)
  if (expired) logger.warn('worker.expired', { worker: session.worker, reason: failure.kind, runs: session.runs.size })
}

async function handleReply (context: SessionContext, session: Session, reply: HoldReply, sentAt: number): Promise<void> {
  context.onNews(session, false)
  context.work.measure('session.services', () => observeServices(context, session, reply.running))
  recordStops(context, session, reply)
  if (reply.ends.length > 0) {
    await context.recordEnds(session.worker, session.bornAt, reply.ends)
  }
  context.work.measure('session.update', () => updateRuns(context, session, reply, sentAt))
}

/** Records how long the runs that have ended were still there after it was decided that they end. */
function recordStops ({ clock, metrics }: SessionContext, session: Session, { ends }: HoldReply): void {
  ends.forEach(([, task, attempt]) => {
    const run = session.runs.get(task)
    if (run?.attempt === attempt && run.stopReason !== undefined) metrics.timing('run.stop', clock.now() - run.stopOrderedAt, { reason: run.stopReason })
  })
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
    const now = context.clock.now()
    const stray = session.strays.get(key) ?? { task: row.task, attempt: row.attempt, seenAt: now, stoppedAt: -Infinity }
    session.strays.set(key, stray)
    if (!context.isActive()) return
    const mayBeNewer = !isSuperseded(context, row) && now - stray.seenAt < UNKNOWN_RUN_MS
    if (!mayBeNewer) stopStray(context, session, stray, 'not-assigned')
    return
  }
  if (run.row?.percent !== row.percent) run.progressAt = context.clock.now()
  run.row = row
  run.confirmedAt ??= sentAt
  run.startedAt ??= sentAt
  if (run.stopReason !== undefined) stopRun(context, session, run, run.stopReason)
}

/** True when the state here already knows of this attempt, so that a run that is not assigned is surely unwanted. */
function isSuperseded (context: SessionContext, { task, attempt }: RunRow): boolean {
  const record = context.getState().workflows[parseTaskName(task)?.workflow ?? '']
  return record?.outcome !== undefined || (findTask(context.getState(), task)?.attempt ?? 0) >= attempt
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
