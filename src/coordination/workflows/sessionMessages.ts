/** Message kind of the exchange between a host that keeps sessions and the leader. */
export const SESSIONS_MESSAGE = 'workflow.sessions'

/** What a look at a worker showed of one run: task, attempt, percent, reading, and ms since the worker confirmed it. */
export type ReportedRun = [task: string, attempt: number, percent: number, reading: number | null, confirmedAgoMs: number]

/** What a host knows of a worker since its last report. */
export interface WorkerReport {
  worker: string
  bornAt: number
  reachable: boolean
  hasOverdueService: boolean
  /** How long ago the host received what the report says of the runs; nothing before the first look. */
  readAgoMs: number | null
  runs: ReportedRun[]
  /** Runs that are there and that nobody wants, by task and attempt. */
  strays: string[]
}

export type ReportedStart = [worker: string, task: string, attempt: number]
export type ReportedRefusal = [worker: string, task: string, attempt: number, reason: string]
/** The number orders the stops for one host. */
export type StopOrder = [number: number, worker: string, task: string, attempt: number, reason: string]

export interface SessionsRequest {
  availabilityZone: string
  /** Names the process; a later one of the same host knows nothing of earlier stops. */
  process: string
  /** The term of the leader that the host last gave orders for. */
  fence: number
  /** The last entry of the log that the host acts on. */
  appliedIndex: number
  /** The last stop that the process has received from that leader. */
  lastStop: number
  /** The host is about to stop and gives its sessions away. */
  isLeaving: boolean
  /** How long ago this leader's last grant was received. */
  grantAgeMs: number | null
  reports: WorkerReport[]
  started: ReportedStart[]
  refused: ReportedRefusal[]
}

export type SessionsReply =
  | { kind: 'not-leader' }
  /** The host has not applied the division in force, so it may not give orders yet. */
  | { kind: 'behind' }
  /** `authorityAgeMs`: how long ago a majority surely followed the leader. */
  | { kind: 'granted', fence: number, authorityAgeMs: number, stops: StopOrder[] }
