import type { Step } from '../../state/index.js'
import { findStep } from './candidates.js'
import type { RunRow } from './orders.js'
import { SERVICE_BOUND_REASON, stopRun, stopStray } from './runOrders.js'
import type { OverTarget, ServiceReading } from './serviceWatch.js'
import type { Run, Session, SessionContext } from './sessionState.js'

/** A task that is over its target for this long is logged; work beside it is usually stopped sooner. */
const LOG_OVER_TARGET_MS = 1500
/** Neighbours that a log line names; a worker of 64 cores holds about twenty of the usual size. */
const MAX_LOGGED_NEIGHBOURS = 20

/**
 * Follows the tasks that serve on a worker, as a look has just shown them, and ends what fills beside one that would
 * otherwise be over its target for longer than the bound. The leader moves what its forecast blames, usually long before;
 * this host keeps the bound whatever the forecast says and however late the leader hears of it. The time of the look
 * counts, so this comes before anything that waits for the log.
 */
export function observeServices (context: SessionContext, session: Session, rows: readonly RunRow[]): void {
  const now = context.clock.now()
  const { over, recovered } = session.services.update(listReadings(context, rows), now)
  over.forEach((service) => recordOverTarget(context, session, service, rows))
  over.filter(({ since }) => since === now).forEach((service) => applyBound(context, session, service))
  updateOverdue(context, session)
  recovered.forEach((service) => recordRecovery(context, session, service))
}

/** Acts at the deadline itself, as the next look may come late. */
async function applyBound (context: SessionContext, session: Session, { task, stopBy, withinAt }: OverTarget): Promise<void> {
  const { clock, logger } = context
  await clock.sleep(Math.max(0, stopBy - clock.now()))
  if (context.isStopped() || session.ended || !session.services.isOverdue(clock.now())) return
  logger.warn('service.bound', { task, worker: session.worker, withinAgoMs: Math.round(clock.now() - withinAt), readAgeMs: Math.round(clock.now() - session.readAt), authorityAgeMs: Math.round(clock.now() - context.getAuthorityAt()), runs: session.runs.size })
  updateOverdue(context, session)
}

function updateOverdue (context: SessionContext, session: Session): void {
  const isOverdue = session.services.isOverdue(context.clock.now())
  if (isOverdue !== session.hasOverdueService) {
    session.hasOverdueService = isOverdue
    context.onNews(session, true)
  }
  if (isOverdue) stopFilling(context, session)
}

/** Ends everything that fills: what was ordered and not seen yet, and what nobody wants, as well. */
function stopFilling (context: SessionContext, session: Session): void {
  session.runs.forEach((run) => {
    if (canPress(context, run)) stopRun(context, session, run, run.stopReason ?? SERVICE_BOUND_REASON)
  })
  session.strays.forEach((stray) => {
    if (findStep(context.getState(), stray.task)?.fills === true) stopStray(context, session, stray, SERVICE_BOUND_REASON)
  })
}

/** A gang works only when all of its members are there; one that was stopped before would leave the others waiting. */
function canPress ({ getState }: SessionContext, { task, row }: Run): boolean {
  const step = findStep(getState(), task)
  return step?.fills === true && (!step.gang || (row?.percent ?? 0) > 0)
}

/** A task that still starts has no tail latency of its own. */
function listReadings (context: SessionContext, rows: readonly RunRow[]): ServiceReading[] {
  return rows.flatMap(({ task, percent, reading }) => {
    const targetMs = findStep(context.getState(), task)?.tailTargetMs
    return targetMs === undefined || reading === undefined || percent < 100 ? [] : [{ task, tailMs: reading, targetMs }]
  })
}

function recordOverTarget (context: SessionContext, session: Session, service: OverTarget, rows: readonly RunRow[]): void {
  const now = context.clock.now()
  if (session.loggedServices.has(service.task) || now - service.since < LOG_OVER_TARGET_MS) return
  session.loggedServices.add(service.task)
  context.logger.warn('service.over-target', {
    task: service.task,
    worker: session.worker,
    tailMs: service.tailMs,
    targetMs: service.targetMs,
    overMs: Math.round(now - service.since),
    withinAgoMs: Math.round(now - service.withinAt),
    fence: context.fence,
    authorityAgeMs: Math.round(now - context.getAuthorityAt()),
    neighbours: describeNeighbours(context, session, rows)
  })
}

function recordRecovery (context: SessionContext, session: Session, { task, since, targetMs }: OverTarget): void {
  const overMs = context.clock.now() - since
  context.metrics.timing('service.over_target', overMs)
  if (!session.loggedServices.delete(task)) return
  context.logger.info('service.recovered', { task, worker: session.worker, targetMs, overMs: Math.round(overMs) })
}

/** What fills on the worker: listed there or ordered, and what is known of each. */
function describeNeighbours (context: SessionContext, session: Session, rows: readonly RunRow[]): string {
  const listed = rows.map(({ task, attempt }) => ({ task, attempt, isListed: true }))
  const ordered = [...session.runs.values()].filter(({ task }) => !rows.some((row) => row.task === task)).map(({ task, attempt }) => ({ task, attempt, isListed: false }))
  const filling = [...listed, ...ordered].flatMap(({ task, attempt, isListed }) => {
    const step = findStep(context.getState(), task)
    return step?.fills === true ? [`${task}#${attempt}:${describeNeighbour(context, session, step, { task, attempt, isListed })}`] : []
  })
  return filling.slice(0, MAX_LOGGED_NEIGHBOURS).join(',')
}

function describeNeighbour (context: SessionContext, session: Session, { image }: Step, { task, attempt, isListed }: { task: string, attempt: number, isListed: boolean }): string {
  const now = context.clock.now()
  const run = session.runs.get(task)
  if (run?.attempt !== attempt) return `${image}:stray`
  const state = run.stopReason === undefined ? 'wanted' : `stopping-${Math.round(now - run.stopOrderedAt)}`
  return `${image}:${isListed ? state : `unlisted-${state}`}:${Math.round(now - (run.startedAt ?? run.assignedAt))}`
}
