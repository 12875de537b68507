import { findAttemptOn, listUnsettledTasks, type RunEnd, type WorkerRecord } from '../../state/index.js'
import type { PollReply } from './orders.js'
import { getRecord, type Session, type SessionContext } from './sessionState.js'

/**
 * Releases the tasks of earlier incarnations that the worker does not list. It has executed this poll, so its present incarnation
 * refuses from now on what was meant for them. A listed task is unassigned, so its run is told to stop.
 */
export async function releaseFormerTasks (context: SessionContext, session: Session, reply: PollReply): Promise<void> {
  const unsettled = listUnsettledTasks(getRecord(context, session))
  if (unsettled.length === 0 || reply.hasMoreEnds === true || reply.unreadableRuns !== undefined || !context.isActive()) return
  const listed = new Set([...reply.running.map(({ task }) => task), ...reply.ends.map(([, task]) => task)])
  const released = unsettled.filter((task) => !listed.has(task))
  context.logger.info('worker.settled', { worker: session.worker, bornAt: session.bornAt, released: released.length, listed: unsettled.length - released.length })
  await releaseTasks(context, session, released)
}

/**
 * Releases the tasks of incarnations that have ended if no start order for them is under way: they run nowhere, whether or not the
 * present incarnation answers. The others wait for its answer, or for the end of every lease that it may hold. Those that are left
 * after its first answer it has listed, so they may run there.
 */
export async function releaseUnstartableTasks (context: SessionContext, session: Session): Promise<void> {
  const record = getRecord(context, session)
  if (record === undefined || session.isReleasing || session.unknownStartsEndAt > session.aliveAt) return
  const former = listEndedTasks(session, record)
  const released = former.filter((task) => !context.unansweredStarts.canArriveAfter(session.worker, task, session.aliveAt))
  if (released.length === 0) return
  context.logger.info('worker.unstartable', { worker: session.worker, bornAt: session.bornAt, released: released.length, held: former.length - released.length })
  session.isReleasing = true
  await releaseTasks(context, session, released)
  session.isReleasing = false
}

/** Tasks of which the last incarnation that they were assigned to is known to have ended, and that no later one has listed. */
function listEndedTasks ({ isReplaced, readAt }: Session, record: WorkerRecord): string[] {
  if (isReplaced) return listUnsettledTasks(record).concat(Object.keys(record.assigned))
  return readAt === -Infinity ? listUnsettledTasks(record) : []
}

async function releaseTasks (context: SessionContext, session: Session, tasks: string[]): Promise<void> {
  if (tasks.length === 0) return
  await context.recordEnds(session.worker, session.bornAt, tasks.map((task): RunEnd => [0, task, findAttemptOn(context.getState(), task, session.worker) ?? 1, 'not-started', '']))
}
