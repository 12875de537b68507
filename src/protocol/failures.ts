import type { Rejection, LogFailure } from '../state/index.js'

/** The kinds of failures in HTTP responses. docs/api.md lists their causes and what a caller can do. */
export type ApiFailureKind =
  | 'invalid' | 'unauthorized' | 'forbidden' | 'not-found' | 'conflict' | 'too-large' | 'timeout'
  | 'overloaded' | 'no-leader' | 'not-recorded' | 'outcome-unknown' | 'not-run' | 'unknown' | 'draining'
  | 'not-coordinator' | 'internal'

export interface ApiFailure {
  kind: ApiFailureKind
  message: string
  /** The facts of the failure as fields, for programs. */
  details?: Record<string, unknown>
}

export const HTTP_STATUS: Record<ApiFailureKind, number> = {
  invalid: 400,
  unauthorized: 401,
  forbidden: 403,
  'not-found': 404,
  timeout: 408,
  conflict: 409,
  'too-large': 413,
  overloaded: 429,
  internal: 500,
  'no-leader': 503,
  'not-recorded': 503,
  'not-run': 503,
  draining: 503,
  'not-coordinator': 503,
  'outcome-unknown': 504,
  unknown: 504
}

type Describe<K extends Rejection['kind']> = (rejection: Extract<Rejection, { kind: K }>) => ApiFailure

const rejectionTable: { [K in Rejection['kind']]: Describe<K> } = {
  'stale-revision': (r) => createFailure('conflict', `the change is based on revision ${r.baseRevision}, but revision ${r.currentRevision} (preset ${r.preset}, set by ${r.setBy}) was accepted first`, r),
  'change-pending': (r) => createFailure('conflict', `revision ${r.pendingRevision} (preset ${r.preset}, set by ${r.setBy}) was accepted first and is about to take effect`, r),
  'unknown-preset': (r) => createFailure('invalid', `preset "${r.preset}" does not exist; known presets: ${r.known.join(', ')}`, r),
  'unknown-member': (r) => createFailure('not-found', `member "${r.member}" does not exist`, r),
  'unknown-service': (r) => createFailure('not-found', `service "${r.service}" does not exist`, r),
  'unknown-job': (r) => createFailure('not-found', `job "${r.job}" does not exist`, r),
  'unknown-host': (r) => createFailure('not-found', `host "${r.host}" does not exist`, r),
  'unknown-worker': (r) => createFailure('not-found', `worker "${r.worker}" does not exist`, r),
  'unknown-zone': (r) => createFailure('not-found', `availability zone "${r.availabilityZone}" does not exist`, r),
  'not-owner': (r) => createFailure('forbidden', `"${r.id}" belongs to another member`, r),
  'already-exists': (r) => createFailure('conflict', `"${r.id}" already exists`, r),
  'epoch-superseded': (r) => createFailure('conflict', `availability zone "${r.availabilityZone}" is at epoch ${r.epoch}, held by host "${r.host}"`, r),
  'zone-retired': (r) => createFailure('conflict', `availability zone "${r.availabilityZone}" is retired`, r),
  'not-pending': (r) => createFailure('conflict', `revision ${r.revision} is not pending`, r),
  'outcome-is-final': (r) => createFailure('conflict', `task ${r.task} of job "${r.job}" has already ended as ${r.outcome}`, r),
  'no-unknown-outcome': (r) => createFailure('conflict', `task ${r.task} of job "${r.job}" has no unknown outcome to decide`, r),
  'already-founded': () => createFailure('conflict', 'the deployment already exists'),
  'invalid-division': (r) => createFailure('internal', `the job has ${r.expected} tasks but ${r.actual} were assigned to zones`, r),
  'unknown-queue': (r) => createFailure('not-found', `queue "${r.queue}" does not exist`, r),
  'unknown-workflow': (r) => createFailure('not-found', `workflow "${r.workflow}" does not exist`, r),
  'unknown-wave': (r) => createFailure('not-found', `wave ${r.wave} does not exist`, r),
  'stale-life': (r) => createFailure('conflict', `worker "${r.worker}" has started again since ${r.bornAt}`, r),
  'stale-division': (r) => createFailure('conflict', `host "${r.host}" no longer gives worker "${r.worker}" orders`, r)
}

export function createFailure (kind: ApiFailureKind, message: string, details?: object): ApiFailure {
  return details === undefined ? { kind, message } : { kind, message, details: { ...details } }
}

/** Translates a failure of the replicated log into a failure of the API. */
export function describeLogFailure (failure: LogFailure): ApiFailure {
  if (failure.kind === 'rejected') {
    const describe = rejectionTable[failure.rejection.kind] as (rejection: Rejection) => ApiFailure
    return describe(failure.rejection)
  }
  if (failure.kind === 'stopped') return createFailure('not-recorded', failure.message)
  if (failure.kind === 'invalid-entry') return createFailure('invalid', failure.message)
  if (failure.kind === 'entry-too-large') return createFailure('too-large', failure.message)
  if (failure.kind === 'outcome-unknown') {
    return createFailure('outcome-unknown', `${failure.message}; resend with the same request id to learn the outcome`)
  }
  return createFailure(failure.kind, failure.message)
}
