/** Message kind of the exchange between a session host and the leader. */
export const SESSIONS_MESSAGE = 'workflow.sessions'

/** State of one run in the last poll of its worker; `reading` as in `RunStatus`, `startedAgoMs` is the time since the worker first confirmed the run. */
export type ReportedRun = [task: string, attempt: number, percent: number, reading: number | null, startedAgoMs: number]

/** Current state of a worker, sent to the leader when it has changed. */
export interface WorkerReport {
  worker: string
  bornAt: number
  reachable: boolean
  hasOverdueService: boolean
  /** Age of the poll that the runs were taken from; null before the first poll. */
  readAgoMs: number | null
  runs: ReportedRun[]
  /** Unassigned runs that the worker lists, by task and attempt. */
  strays: string[]
}

export type ReportedStart = [worker: string, task: string, attempt: number]
export type ReportedRefusal = [worker: string, task: string, attempt: number, reason: string]
/** The stop orders for one session host are numbered in sequence. */
export type StopOrder = [number: number, worker: string, task: string, attempt: number, reason: string]

export interface SessionsRequest {
  availabilityZone: string
  /** Identifies the process; a later process of the same host has not received the stops of an earlier one. */
  process: string
  /** Term of the leader that last authorized the host. */
  fence: number
  /** Index of the last log entry that the host has applied. */
  appliedIndex: number
  /** Number of the last stop that the process has received from the leader of term `fence`. */
  lastStop: number
  /** The host is shutting down, so its workers have to be assigned to others. */
  isLeaving: boolean
  /** The host applies entries with copies of runs; absent from hosts of earlier builds. */
  knowsCopies?: boolean
  /** How long ago the host received its last grant from this leader; null if it has none. */
  grantAgeMs: number | null
  reports: WorkerReport[]
  started: ReportedStart[]
  refused: ReportedRefusal[]
}

export type SessionsReply =
  | { kind: 'not-leader' }
  /** The host's replica lags too far behind the leader, or has not applied the current session assignment, so it may not give orders yet. */
  | { kind: 'behind' }
  /** The host may give orders. `authorityAgeMs`: how long ago a majority is known to have followed the leader. */
  | { kind: 'granted', fence: number, authorityAgeMs: number, stops: StopOrder[] }
