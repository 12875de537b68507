import type { Step } from '../../state/index.js'
import { findStep } from './candidates.js'
import type { PollReply, RunStatus } from './orders.js'
import { describeWorkerFailure, SERVICE_BOUND_REASON, stopRun, stopUnassignedRun } from './runOrders.js'
import type { OverTarget, ServiceReading } from './serviceWatch.js'
import { getFencingToken, getRecord, type Run, type Session, type SessionContext } from './sessionState.js'

/** A task that is over its target for this long is logged; best-effort runs beside it are usually stopped sooner. */
const LOG_OVER_TARGET_MS = 1500
/** Time before a deadline at which the services are read once more; some ten round trips to a worker. */
const LAST_READ_MS = 100
/** Maximum number of neighbours in a log line; a worker of 64 cores holds about twenty of the usual size. */
const MAX_LOGGED_NEIGHBOURS = 20

/**
 * Updates the latency-critical tasks of a worker from a poll and stops best-effort runs beside a task that would otherwise
 * be over its target for longer than the bound. The leader usually moves the runs that its forecast identifies as the
 * cause long before; the session host enforces the bound independently of the forecast and of delayed reports to the
 * leader. The time of the poll is the reference, so this has to be called before any step that waits for the log.
 */
export function observeServices (context: SessionContext, session: Session, { running: statuses, unreadableRuns }: Pick<PollReply, 'running' | 'unreadableRuns'>): void {
  const now = context.clock.now()
  const mayBeUnread = unreadableRuns === undefined ? undefined : (task: string) => session.runs.has(task)
  const { over, recovered } = session.services.update(listReadings(context, statuses), now, mayBeUnread)
  over.forEach((service) => recordOverTarget(context, session, service, statuses))
  over.filter(({ since }) => since === now).forEach((service) => applyBound(context, session, service))
  updateOverdue(context, session, 'poll')
  recovered.forEach((service) => recordRecovery(context, session, service, statuses))
  recordMissedBound(context, session, statuses)
}

/** Reads the services once more just before the deadline and then enforces the bound, because the next poll may come too late. */
async function applyBound (context: SessionContext, session: Session, { stopBy }: OverTarget): Promise<void> {
  const { clock } = context
  await clock.sleep(Math.max(0, stopBy - LAST_READ_MS - clock.now()))
  // The latest reading may be half a second old, and best-effort runs need not stop beside a service that has recovered since.
  if (!session.hasOverdueService && session.services.isOverdue(stopBy)) await Promise.race([readServices(context, session, stopBy), clock.sleep(Math.max(0, stopBy - clock.now()))])
  await clock.sleep(Math.max(0, stopBy - clock.now()))
  if (context.isStopped() || session.ended || !session.services.isOverdue(clock.now())) return
  updateOverdue(context, session, 'timer')
}

/** Polls the worker beside the long poll that waits for a run to end; only the readings are used. */
async function readServices (context: SessionContext, session: Session, deadline: number): Promise<void> {
  const record = getRecord(context, session)
  if (context.isStopped() || record === undefined || !session.reachable || !context.isActive()) return
  const reply = await context.client.poll(record.life, { fence: getFencingToken(context, record), leaseUntil: undefined, acknowledged: 0, waitMs: 0 }, deadline)
  if (context.isStopped() || session.ended) return
  if (reply.ok) observeServices(context, session, reply.val)
  else context.logger.info('service.read-failed', { worker: session.worker, reason: describeWorkerFailure(reply.val) })
}

/** `trigger`: whether a poll or the timer of a deadline found that the deadline has passed. */
function updateOverdue (context: SessionContext, session: Session, trigger: 'poll' | 'timer'): void {
  const isOverdue = session.services.isOverdue(context.clock.now())
  if (isOverdue !== session.hasOverdueService) {
    session.hasOverdueService = isOverdue
    if (isOverdue) recordBound(context, session, trigger)
    context.onReportDue(session, true)
  }
  if (isOverdue) stopBestEffortRuns(context, session)
}

/** Records how late the deadline of a service is enforced. */
function recordBound (context: SessionContext, session: Session, trigger: string): void {
  const now = context.clock.now()
  const service = session.services.findMostUrgent()
  if (service === undefined) return
  // Such a deadline was computed for the longest time that the former session host may have followed the service.
  const isInherited = service.lastWithinAt < session.openedAt
  context.metrics.timing('service.bound_late', now - service.stopBy, { trigger: isInherited ? 'new-session' : trigger })
  context.logger.warn('service.bound', {
    task: service.task,
    worker: session.worker,
    trigger,
    lateMs: Math.round(now - service.stopBy),
    withinAgoMs: Math.round(now - service.lastWithinAt),
    sessionMs: Math.round(now - session.openedAt),
    readAgeMs: Math.round(now - session.readAt),
    authorityAgeMs: Math.round(now - context.getAuthorityAt()),
    runs: session.runs.size
  })
}

/** Logs once for each enforced deadline which best-effort runs the worker still lists although their stops should have taken effect. */
function recordMissedBound (context: SessionContext, session: Session, statuses: readonly RunStatus[]): void {
  const now = context.clock.now()
  const service = session.services.findMostUrgent()
  if (service === undefined || session.missedServices.has(service.task) || now < service.endBy) return
  const bestEffort = statuses.filter(({ task }) => findStep(context.getState(), task)?.fills === true)
  if (bestEffort.length === 0) return
  session.missedServices.add(service.task)
  context.metrics.count('service.bound_missed', 1)
  context.logger.warn('service.bound-missed', {
    task: service.task,
    worker: session.worker,
    tailMs: service.tailMs,
    targetMs: service.targetMs,
    lateMs: Math.round(now - service.endBy),
    withinAgoMs: Math.round(now - service.lastWithinAt),
    sessionMs: Math.round(now - session.openedAt),
    authorityAgeMs: Math.round(now - context.getAuthorityAt()),
    neighbours: describeNeighbours(context, session, bestEffort)
  })
}

/** Stops all best-effort runs, including ordered runs that the worker has not listed yet and unassigned runs. */
function stopBestEffortRuns (context: SessionContext, session: Session): void {
  session.runs.forEach((run) => {
    if (canInterfere(context, run)) stopRun(context, session, run, run.stopReason ?? SERVICE_BOUND_REASON)
  })
  session.strays.forEach((unassigned) => {
    if (findStep(context.getState(), unassigned.task)?.fills === true) stopUnassignedRun(context, session, unassigned, SERVICE_BOUND_REASON)
  })
}

/** True if a run can slow down a latency-critical task. A gang works only once all of its members have started; stopping a member earlier would leave the others waiting. */
function canInterfere ({ getState }: SessionContext, { task, status }: Run): boolean {
  const step = findStep(getState(), task)
  return step?.fills === true && (!step.gang || (status?.percent ?? 0) > 0)
}

/** Lists the latency-critical tasks at work. A task that is still starting is not. */
function listReadings (context: SessionContext, statuses: readonly RunStatus[]): ServiceReading[] {
  return statuses.flatMap(({ task, percent, reading }) => {
    const targetMs = findStep(context.getState(), task)?.tailTargetMs
    return targetMs === undefined || percent < 100 ? [] : [{ task, tailMs: reading, targetMs }]
  })
}

function recordOverTarget (context: SessionContext, session: Session, service: OverTarget, statuses: readonly RunStatus[]): void {
  const now = context.clock.now()
  if (session.loggedServices.has(service.task) || now - service.since < LOG_OVER_TARGET_MS) return
  session.loggedServices.add(service.task)
  context.logger.warn('service.over-target', {
    task: service.task,
    worker: session.worker,
    tailMs: service.tailMs,
    targetMs: service.targetMs,
    overMs: Math.round(now - service.since),
    withinAgoMs: Math.round(now - service.lastWithinAt),
    fence: context.fence,
    authorityAgeMs: Math.round(now - context.getAuthorityAt()),
    neighbours: describeNeighbours(context, session, statuses)
  })
}

function recordRecovery (context: SessionContext, session: Session, { task, since, lastWithinAt, targetMs }: OverTarget, statuses: readonly RunStatus[]): void {
  const now = context.clock.now()
  const overMs = now - since
  context.metrics.timing('service.over_target', overMs)
  context.recordLongestOverTarget(now - Math.max(lastWithinAt, session.openedAt))
  session.missedServices.delete(task)
  if (!session.loggedServices.delete(task)) return
  const status = statuses.find((listed) => listed.task === task)
  context.logger.info('service.recovered', { task, worker: session.worker, targetMs, overMs: Math.round(overMs), withinAgoMs: Math.round(now - lastWithinAt), tailMs: status?.reading, percent: status?.percent })
}

/** Describes the best-effort runs of a worker, both those that it lists and those that were only ordered. */
function describeNeighbours (context: SessionContext, session: Session, statuses: readonly RunStatus[]): string {
  const listed = statuses.map(({ task, attempt }) => ({ task, attempt, isListed: true }))
  const ordered = [...session.runs.values()].filter(({ task }) => !statuses.some((status) => status.task === task)).map(({ task, attempt }) => ({ task, attempt, isListed: false }))
  const bestEffort = [...listed, ...ordered].flatMap(({ task, attempt, isListed }) => {
    const step = findStep(context.getState(), task)
    return step?.fills === true ? [`${task}#${attempt}:${describeNeighbour(context, session, step, { task, attempt, isListed })}`] : []
  })
  return bestEffort.slice(0, MAX_LOGGED_NEIGHBOURS).join(',')
}

/** Formats a run as `image:state:age in ms`; a stopping run shows for how long it has been stopping. */
function describeNeighbour (context: SessionContext, session: Session, { image }: Step, { task, attempt, isListed }: { task: string, attempt: number, isListed: boolean }): string {
  const now = context.clock.now()
  const run = session.runs.get(task)
  if (run?.attempt !== attempt) return `${image}:unassigned`
  const state = run.stopReason === undefined ? 'wanted' : `stopping-${Math.round(now - run.stopOrderedAt)}`
  return `${image}:${isListed ? state : `unlisted-${state}`}:${Math.round(now - (run.startedAt ?? run.assignedAt))}`
}
