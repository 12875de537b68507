import type { Clock, Logger, Metrics, WorkMeter } from '../../common/index.js'
import type { RunEnd, WorkerLife, WorkerRecord, WorkflowsState } from '../../state/index.js'
import type { RunRow, WorkerClient } from './orders.js'
import { createServiceWatch, type ServiceBound, type ServiceWatch } from './serviceWatch.js'
import { createSignal, type Signal } from './signal.js'
import type { StartQueue } from './startQueue.js'
import { EXPIRY_MARGIN_MS, FIRST_RETRY_MS, HANDOVER_MS, LEASE_MS } from './timing.js'
import { computeWorkerTime, type ClockReading } from './workerClock.js'

/** What decisions need of one run that is assigned to a worker. */
export interface RunView {
  task: string
  attempt: number
  /** When the worker last confirmed that the run is there; nothing before the first confirmation. */
  confirmedAt: number | undefined
  /** When the worker first confirmed it. */
  startedAt: number | undefined
  assignedAt: number
  /** Why the run is to end; absent while it is wanted. */
  stopReason: string | undefined
  row: RunRow | undefined
  /** When `row.percent` last changed. */
  progressAt: number
}

/** What decisions need of one worker. */
export interface WorkerView {
  readonly worker: string
  readonly bornAt: number
  readonly runs: ReadonlyMap<string, RunView>
  /** Runs that are there and that nobody wants, by task and attempt. */
  readonly strays: ReadonlyMap<string, unknown>
  /** A service on it has been over its target for so long that nothing that fills may be beside it. */
  hasOverdueService: boolean
  /** When the host of the worker last saw its runs. */
  readAt: number
  reachable: boolean
  ended: boolean
}

/** One run as the host sees it that gives its worker orders. */
export interface Run extends RunView {
  /** An order without an answer may still be executed until the run is stopped there. */
  unanswered: boolean
  starting: boolean
  stopping: boolean
  /** When it was first decided that the run is to end. */
  stopOrderedAt: number
  stopSentAt: number
  stopAcknowledgedAt: number | undefined
  ticket: string | undefined
}

/** A run that a worker lists and that is not assigned there. */
export interface Stray { task: string, attempt: number, seenAt: number, stoppedAt: number }

/** One worker as the host sees it that gives it orders. */
export interface Session extends WorkerView {
  readonly runs: Map<string, Run>
  /** Also when they were first seen, and last told to stop. */
  readonly strays: Map<string, Stray>
  silentSince: number
  /** Nothing ordered so far can run beyond this local time. */
  leaseEndsAt: number
  reading: ClockReading | undefined
  readonly services: ServiceWatch
  /** Tasks that were logged to be over their targets and have not recovered. */
  readonly loggedServices: Set<string>
  lastLookAt: number
  retryMs: number
  wake: Signal
}

export interface SessionContext {
  clock: Clock
  logger: Logger
  metrics: Metrics
  work: WorkMeter
  client: WorkerClient
  starts: StartQueue
  /** The term of the leader for whom this host gives orders. */
  readonly fence: number
  readonly serviceBound: ServiceBound
  getState (): WorkflowsState
  /** False while it is not sure that a leader wants this host to give orders; none is given then. */
  isActive (): boolean
  isStopped (): boolean
  /** The latest time at which a majority surely followed the leader that wants this host to give orders. */
  getAuthorityAt (): number
  /** Records ends; resolves with true when they are durable. */
  recordEnds (worker: string, bornAt: number, ends: RunEnd[]): Promise<boolean>
  expireLife (worker: string, bornAt: number): Promise<boolean>
  /** Forgets a worker that is gone. */
  removeLife (worker: string, bornAt: number): Promise<boolean>
  onFenced (worker: string): void
  /** The leader has to hear of the worker. `isUrgent`: the leader should not place by what it was told before. */
  onNews (session: Session, isUrgent: boolean): void
  onRefused (session: Session, run: Run, reason: string): void
  onStarted (session: Session, run: Run): void
  /** The worker answers again, or does not any more. */
  onReachable (session: Session): void
}

export function createSession (context: SessionContext, life: WorkerLife): Session {
  const now = context.clock.now()
  return {
    worker: life.id,
    bornAt: life.bornAt,
    runs: new Map(),
    strays: new Map(),
    hasOverdueService: false,
    readAt: -Infinity,
    reachable: false,
    silentSince: now,
    // The host that had the session before may have extended the lease until just now.
    leaseEndsAt: now + LEASE_MS + EXPIRY_MARGIN_MS,
    reading: undefined,
    services: createServiceWatch(now - HANDOVER_MS, context.serviceBound),
    loggedServices: new Set(),
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
    startedAt: undefined,
    assignedAt: now,
    // The host that had the session before may have ordered the run.
    unanswered: !isNew,
    starting: false,
    stopping: false,
    stopReason: undefined,
    stopOrderedAt: -Infinity,
    stopSentAt: -Infinity,
    stopAcknowledgedAt: undefined,
    row: undefined,
    progressAt: now,
    ticket: undefined
  }
}

/** The agreed record of the life that a session is about. */
export function getRecord (context: SessionContext, session: Session): WorkerRecord | undefined {
  const record = context.getState().workers[session.worker]
  return record?.life.bornAt === session.bornAt ? record : undefined
}

/** The end of a lease, on the worker's clock, that this host may give now. */
export function renewLease (context: SessionContext, session: Session): number | undefined {
  if (session.reading === undefined) return undefined
  const until = context.getAuthorityAt() + LEASE_MS
  session.leaseEndsAt = Math.max(session.leaseEndsAt, until + EXPIRY_MARGIN_MS)
  return computeWorkerTime(session.reading, until)
}
