import { findAttemptOn, listAssignedTasks, type RunEnd, type WorkerRecord } from '../../state/index.js'
import { findStep } from './candidates.js'
import { releaseUnstartableTasks } from './formerTasks.js'
import type { WorkerFailure } from './orders.js'
import { getRecord, recordReplaced, type Session, type SessionContext } from './sessionState.js'
import { REMOVE_WORKER_AFTER_MS } from './timing.js'

/** Releases the tasks of a worker that does not answer once they cannot run there any more, and later removes the worker. */
export async function abandonWorker (context: SessionContext, session: Session, failure: WorkerFailure): Promise<void> {
  const { clock, logger } = context
  const isOtherWorker = failure.kind === 'other-life' && failure.bornAt === undefined
  // A later incarnation under the same id takes over the tasks when it is registered.
  if (failure.kind === 'other-life' && !isOtherWorker) recordReplaced(context, session)
  // Not awaited, as the next poll may settle all tasks before the entry is committed.
  releaseUnstartableTasks(context, session)
  const record = getRecord(context, session)
  if (record?.expired === true && clock.now() - session.unreachableSince > REMOVE_WORKER_AFTER_MS) {
    const removed = await context.removeWorker(session.worker, session.bornAt)
    return logger.info('worker.removed', { worker: session.worker, outcome: removed ? 'recorded' : 'not-recorded' })
  }
  if (record === undefined || record.expired || (!isOtherWorker && clock.now() < session.leaseEndsAt)) return
  // Another worker at the address refuses the orders that are under way.
  const held = isOtherWorker ? [] : listHeldTasks(context, session, record)
  if (held.length > 0) return releaseOtherTasks(context, session, record, held)
  // The entry removes the runs from the session.
  const runs = session.runs.size
  const startable = listAssignedTasks(record).filter((task) => canStartLater(context, session, task)).length
  const expired = await context.expireWorker(session.worker, session.bornAt)
  if (expired) logger.warn('worker.expired', { worker: session.worker, bornAt: session.bornAt, reason: failure.kind, runs, startable, leaseMs: Math.round(session.leaseEndsAt - clock.now()) })
}

/** Whether a start order for the task may still be executed by an incarnation that has restarted unseen, whose lease is not counted here. */
function canStartLater ({ clock, unansweredStarts }: SessionContext, session: Session, task: string): boolean {
  const now = clock.now()
  const hasUnknownStarts = session.runs.get(task)?.hasUnknownStarts !== false && session.unknownStartsEndAt > now
  return hasUnknownStarts || unansweredStarts.canArriveAfter(session.worker, task, now)
}

/**
 * Tasks that stay with a silent worker although its leases are over, because a start order may still be executed there. A
 * long-running task does not wait: its users would be without it for longer than promised. A speculative one may run twice.
 */
function listHeldTasks (context: SessionContext, session: Session, record: WorkerRecord): string[] {
  return listAssignedTasks(record).filter((task) => {
    const step = findStep(context.getState(), task)
    return step !== undefined && !step.lasting && !step.speculative && canStartLater(context, session, task)
  })
}

/** Releases the tasks of a silent worker that are not held. */
async function releaseOtherTasks (context: SessionContext, session: Session, record: WorkerRecord, held: readonly string[]): Promise<void> {
  const heldTasks = new Set(held)
  const released = listAssignedTasks(record).filter((task) => !heldTasks.has(task))
  if (released.length === 0) return
  context.logger.warn('worker.partly-expired', { worker: session.worker, bornAt: session.bornAt, released: released.length, held: held.length, silentMs: Math.round(context.clock.now() - session.unreachableSince) })
  await context.recordEnds(session.worker, session.bornAt, released.map((task): RunEnd => [0, task, findAttemptOn(context.getState(), task, session.worker) ?? 1, 'lease-expired', '']))
}
