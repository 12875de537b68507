import type { Clock, Logger, Metrics, EventLoopMeter } from '../../common/index.js'
import type { RunEnd, WorkerIncarnation, WorkerRecord, WorkflowsState } from '../../state/index.js'
import { computeFencingToken } from './fencingToken.js'
import type { RunStatus, WorkerClient } from './orders.js'
import { createServiceWatch, type ServiceBound, type ServiceWatch } from './serviceWatch.js'
import { createSignal, type Signal } from './signal.js'
import type { StartQueue } from './startQueue.js'
import { EXPIRY_MARGIN_MS, FIRST_RETRY_MS, MAX_CALL_DELAY_MS } from './timing.js'
import type { UnansweredStarts } from './unansweredStarts.js'
import type { ZoneEvacuations } from './zoneEvacuation.js'
import { computeWorkerTime, type ClockReading } from './workerClock.js'

/** The part of the state of an assigned run that scheduling decisions use. */
export interface RunView {
  task: string
  attempt: number
  /** The run was assigned as a copy beside an earlier attempt, which may have ended since. Known to the leader only. */
  isCopy?: boolean
  /** The run got a copy because its task is long, on a worker of usual speed: its progress says nothing about the worker. Known to the leader only. */
  isLongTask?: boolean
  /** When the worker confirmed the latest start order for the run, or first listed it; undefined before. */
  confirmedAt: number | undefined
  /** When the worker first confirmed the run. */
  startedAt: number | undefined
  assignedAt: number
  /** Why the run is to be stopped; undefined while it is to go on. */
  stopReason: string | undefined
  status: RunStatus | undefined
  /** When `status.percent` last changed. */
  progressAt: number
  /** The run was assigned in an earlier term, so that its start is not known exactly. */
  isInherited?: boolean
}

/** The part of the state of a worker that scheduling decisions use. */
export interface WorkerView {
  readonly worker: string
  /** Start time of the worker's incarnation, that is of its process. */
  readonly bornAt: number
  readonly runs: ReadonlyMap<string, RunView>
  /** Unassigned runs that the worker lists, by task and attempt. */
  readonly strays: ReadonlyMap<string, unknown>
  /** A latency-critical task has exceeded its target for so long that no best-effort task may run on this worker. */
  hasOverdueService: boolean
  /** When the session host of the worker last received its runs. */
  readAt: number
  reachable: boolean
  /** When the first report after a silence, or of a new session host, arrived. Known to the leader only. */
  reachableSince?: number
  ended: boolean
}

/** A run as the session host of its worker knows it. */
export interface Run extends RunView {
  /** Another process may have sent start orders for the run, of which this one does not know. */
  readonly hasUnknownStarts: boolean
  /** A start order for the run had no answer, so the worker may still execute it until it has been told to stop the run. */
  unanswered: boolean
  /** Start orders are being sent. */
  starting: boolean
  /** A stop order is waiting for its answer. */
  stopping: boolean
  /** When it was decided to stop the run. */
  stopOrderedAt: number
  stopSentAt: number
  stopAcknowledgedAt: number | undefined
  ticket: string | undefined
}

/** A run that a worker lists although it is not assigned to it. */
export interface UnassignedRun { task: string, attempt: number, seenAt: number, stoppedAt: number }

/** A worker as its session host knows it. */
export interface Session extends WorkerView {
  readonly runs: Map<string, Run>
  /** Unassigned runs, with the times when they were first listed and last told to stop. */
  readonly strays: Map<string, UnassignedRun>
  unreachableSince: number
  /** Local time by which every run that was ordered so far has ended unless its lease is renewed. */
  leaseEndsAt: number
  /** Local time from which on the worker executes no order that was meant for another incarnation; such an order may set a lease of any length. */
  foreignOrdersEndAt: number
  /** A later incarnation has answered under the worker's id. */
  isReplaced: boolean
  /** When the last poll that an incarnation of the worker has answered was sent. Later incarnations have started after that. */
  aliveAt: number
  /** Local time from which on no start order is under way that another session host has sent. */
  unknownStartsEndAt: number
  /** The last reply to a poll has listed ends, which the next poll acknowledges if they are recorded. */
  hasListedEnds: boolean
  /** An entry that releases tasks of ended incarnations is being recorded. */
  isReleasing: boolean
  clockReading: ClockReading | undefined
  readonly services: ServiceWatch
  /** Tasks that were logged as over their latency targets and have not recovered. */
  readonly loggedServices: Set<string>
  /** Tasks beside which best-effort runs were still listed after the bound, until these tasks recover. */
  readonly missedServices: Set<string>
  readonly openedAt: number
  lastPollAt: number
  retryMs: number
  /** The term under which the worker last refused an order because of a higher fencing token. */
  fencedTerm: number | undefined
  wake: Signal
}

export interface SessionContext {
  clock: Clock
  logger: Logger
  metrics: Metrics
  work: EventLoopMeter
  client: WorkerClient
  starts: StartQueue
  /** The term of the leader on whose behalf this host gives orders. */
  readonly fence: number
  readonly serviceBound: ServiceBound
  /** Length of the leases of workers. */
  readonly leaseMs: number
  /** The longest time for which a worker keeps a lease, whatever deadline an order names. */
  readonly longestLeaseMs: number
  readonly unansweredStarts: UnansweredStarts
  readonly evacuations: Pick<ZoneEvacuations, 'isStartBlocked'>
  getState (): WorkflowsState
  /** False while this host has no current authority from a leader; it gives no orders then. */
  isActive (): boolean
  isStopped (): boolean
  /** The latest time at which a majority is known to have followed the leader that authorized this host. */
  getAuthorityAt (): number
  /** Records ends; resolves with true when they are durable. */
  recordEnds (worker: string, bornAt: number, ends: RunEnd[]): Promise<boolean>
  /** Records that the leases of a worker have ended, so that its tasks can be assigned to others. */
  expireWorker (worker: string, bornAt: number): Promise<boolean>
  /** Removes from the replicated state a worker that has not returned. */
  removeWorker (worker: string, bornAt: number): Promise<boolean>
  /** The worker refused an order because it has seen a higher fencing token. */
  onFenced (session: Session): void
  /** The state of the worker has to be reported to the leader. `isUrgent`: at once, since the leader should not place tasks by the previous report. */
  onReportDue (session: Session, isUrgent: boolean): void
  /** Waits until the leader has received a report on the worker, or has not answered within the time-out of an exchange. */
  waitForReport (session: Session): Promise<void>
  /** Updates the longest time, in ms, that a latency-critical task was over its target. */
  recordLongestOverTarget (ms: number): void
  onRefused (session: Session, run: Run, reason: string): void
  onStarted (session: Session, run: Run): void
  /** The worker has become reachable or unreachable. */
  onReachabilityChange (session: Session): void
}

/** `foreignOrdersEndAt` is `-Infinity` for a worker that no earlier incarnation can have orders for. */
export type SessionOrigin = Pick<Session, 'foreignOrdersEndAt' | 'aliveAt' | 'unknownStartsEndAt'>
const FIRST_SESSION: SessionOrigin = { foreignOrdersEndAt: -Infinity, aliveAt: -Infinity, unknownStartsEndAt: -Infinity }

export function createSession (context: SessionContext, life: WorkerIncarnation, { foreignOrdersEndAt, aliveAt, unknownStartsEndAt } = FIRST_SESSION): Session {
  const now = context.clock.now()
  // The previous session host of the worker may have extended the lease until this moment.
  const leaseEndsAt = now + context.leaseMs + EXPIRY_MARGIN_MS
  return {
    worker: life.id,
    bornAt: life.bornAt,
    runs: new Map(),
    strays: new Map(),
    hasOverdueService: false,
    readAt: -Infinity,
    reachable: false,
    unreachableSince: now,
    leaseEndsAt: Math.max(leaseEndsAt, computeLongestLeaseEnd(context, foreignOrdersEndAt)),
    foreignOrdersEndAt,
    isReplaced: false,
    aliveAt,
    unknownStartsEndAt,
    hasListedEnds: false,
    isReleasing: false,
    clockReading: undefined,
    // Only the previous session host knows for how long a service has been over its target; it may be as long as the bound allows.
    services: createServiceWatch(now - context.serviceBound.overTargetMs, context.serviceBound),
    loggedServices: new Set(),
    missedServices: new Set(),
    openedAt: now,
    lastPollAt: -Infinity,
    retryMs: FIRST_RETRY_MS,
    fencedTerm: undefined,
    ended: false,
    wake: createSignal(context.clock)
  }
}

export function createRun (task: string, attempt: number, now: number, isNew: boolean): Run {
  return {
    task,
    attempt,
    confirmedAt: undefined,
    startedAt: undefined,
    assignedAt: now,
    hasUnknownStarts: !isNew,
    unanswered: !isNew,
    starting: false,
    stopping: false,
    stopReason: undefined,
    stopOrderedAt: -Infinity,
    stopSentAt: -Infinity,
    stopAcknowledgedAt: undefined,
    status: undefined,
    progressAt: now,
    ticket: undefined
  }
}

/** The replicated record of the session's worker; undefined if the session has ended, the worker was removed or another incarnation has replaced it. */
export function getRecord (context: SessionContext, session: Session): WorkerRecord | undefined {
  if (session.ended) return undefined
  const record = context.getState().workers[session.worker]
  return record?.life.bornAt === session.bornAt ? record : undefined
}

/** Local time at which a lease has ended that an order set at `setAt`, whatever its deadline. */
function computeLongestLeaseEnd ({ longestLeaseMs }: SessionContext, setAt: number): number {
  return setAt + longestLeaseMs + EXPIRY_MARGIN_MS
}

/** Records that the worker has answered a poll that was sent at `sentAt`. */
export function recordAlive ({ unansweredStarts }: SessionContext, session: Session, sentAt: number): void {
  session.aliveAt = sentAt
  unansweredStarts.prune(session.worker, sentAt)
}

/** Records that the worker has executed an order with the token of its incarnation and therefore refuses those for others from now on. */
export function recordFenced (context: SessionContext, session: Session): void {
  const now = context.clock.now()
  if (session.foreignOrdersEndAt <= now) return
  session.foreignOrdersEndAt = now
  session.leaseEndsAt = computeLongestLeaseEnd(context, now)
}

/** Records that a later incarnation has answered, which may execute the orders of this session and hold a lease by them. */
export function recordReplaced (context: SessionContext, session: Session): void {
  if (session.isReplaced) return
  session.isReplaced = true
  session.foreignOrdersEndAt = context.clock.now() + MAX_CALL_DELAY_MS
  session.leaseEndsAt = computeLongestLeaseEnd(context, session.foreignOrdersEndAt)
}

/** Fencing token of the orders of a session. */
export function getFencingToken ({ fence }: SessionContext, { generation }: WorkerRecord): number {
  return computeFencingToken(generation, fence)
}

/** Extends the lease of a worker as far as this host's authority allows. Returns the end of the lease on the worker's clock, or undefined before the first reading of that clock. */
export function renewLease (context: SessionContext, session: Session): number | undefined {
  if (session.clockReading === undefined) return undefined
  const until = context.getAuthorityAt() + context.leaseMs
  session.leaseEndsAt = Math.max(session.leaseEndsAt, until + EXPIRY_MARGIN_MS)
  return computeWorkerTime(session.clockReading, until)
}
