import type { Clock, Logger, Metrics, WorkMeter } from '../../common/index.js'
import type { RunEnd, WorkerLife, WorkerRecord, WorkflowsState } from '../../state/index.js'
import type { HoldReply, RunRow, WorkerClient } from './orders.js'
import { createSignal, type Signal } from './signal.js'
import { EXPIRY_MARGIN_MS, FIRST_RETRY_MS, LEASE_MS } from './timing.js'
import { computeWorkerTime, type ClockReading } from './workerClock.js'

/** What the leader knows of one run that it assigned to a worker. */
export interface Run {
  task: string
  attempt: number
  /** When the worker last confirmed that the run is there; nothing before the first confirmation. */
  confirmedAt: number | undefined
  /** When the worker first confirmed it. */
  startedAt: number | undefined
  assignedAt: number
  /** An order without an answer may still be executed until the run is stopped there. */
  unanswered: boolean
  starting: boolean
  stopping: boolean
  /** Why the run is to end; absent while it is wanted. */
  stopReason: string | undefined
  stopSentAt: number
  stopAcknowledgedAt: number | undefined
  row: RunRow | undefined
  /** When `row.percent` last changed. */
  progressAt: number
  ticket: string | undefined
}

/** One worker in one term of the leader. */
export interface Session {
  readonly worker: string
  readonly bornAt: number
  readonly runs: Map<string, Run>
  /** Runs that are there and that nobody wants, by task and attempt, and when they were last told to stop. */
  readonly strays: Map<string, number>
  reachable: boolean
  silentSince: number
  /** Nothing ordered so far can run beyond this local time. */
  leaseEndsAt: number
  reading: ClockReading | undefined
  lastLookAt: number
  retryMs: number
  ended: boolean
  wake: Signal
}

export interface SessionContext {
  clock: Clock
  logger: Logger
  metrics: Metrics
  work: WorkMeter
  client: WorkerClient
  fence: number
  getState (): WorkflowsState
  /** False while it is not sure that this host leads; no order is given then. */
  isActive (): boolean
  isStopped (): boolean
  /** The latest time at which this host was surely the leader. */
  getAuthorityAt (): number
  /** Records ends; resolves with true when they are durable. */
  recordEnds (worker: string, bornAt: number, ends: RunEnd[]): Promise<boolean>
  expireLife (worker: string, bornAt: number): Promise<boolean>
  /** Forgets a worker that is gone. */
  removeLife (worker: string, bornAt: number): Promise<boolean>
  onFenced (worker: string): void
  onReply (session: Session, reply: HoldReply): void
  onEnds (session: Session, ends: RunEnd[]): void
  onRefused (session: Session, run: Run, reason: string): void
  onReachable (session: Session): void
}

export function createSession (context: SessionContext, life: WorkerLife): Session {
  const now = context.clock.now()
  return {
    worker: life.id,
    bornAt: life.bornAt,
    runs: new Map(),
    strays: new Map(),
    reachable: false,
    silentSince: now,
    // An earlier leader may have extended the lease until just before this term began.
    leaseEndsAt: now + LEASE_MS + EXPIRY_MARGIN_MS,
    reading: undefined,
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
    // A run that an earlier leader assigned may have been ordered by it.
    unanswered: !isNew,
    starting: false,
    stopping: false,
    stopReason: undefined,
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

/** The end of a lease, on the worker's clock, that this leader may give now. */
export function renewLease (context: SessionContext, session: Session): number | undefined {
  if (session.reading === undefined) return undefined
  const until = context.getAuthorityAt() + LEASE_MS
  session.leaseEndsAt = Math.max(session.leaseEndsAt, until + EXPIRY_MARGIN_MS)
  return computeWorkerTime(session.reading, until)
}
