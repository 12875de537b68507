import type { Clock, Result } from '../../common/index.js'
import { configurationChangeSchema, type ReplicatedLog, type AppliedEntry, type ConfigurationChange, type LogFailure, type Policy } from '../../state/index.js'

const RETRY_MS = 100

/** A proposal that a frozen leader holds is repeated after this time; another leader may have been elected. */
const ATTEMPT_MS = 800

/** A repetition cannot change the others. */
const RETRIED_FAILURES = new Set<LogFailure['kind']>(['no-leader', 'not-recorded', 'outcome-unknown'])

export interface PresetChange {
  /** Names the operator's request; a resend with the same id returns the first outcome. */
  requestId: string
  /** The revision that the operator saw. */
  baseRevision: number
  preset: string
  /** Preset tables to replace or add. */
  presets?: Record<string, Policy>
  setBy: string
  reason: string
}

export interface Winner { revision: number, preset: string, setBy: string }

export type ChangeOutcome =
  /** The revision was activated. `currentRevision` is higher when a later change has superseded it. */
  | { kind: 'in-force', revision: number, currentRevision: number }
  /** Accepted, so it will be in force and cannot be lost, but its activation was not seen before the deadline. */
  | { kind: 'accepted-pending', revision: number }
  /** Nothing was changed, because another change was first. A new attempt needs a new request id. */
  | { kind: 'lost-race', winner: Winner, winnerPending: boolean }
  | { kind: 'unknown-preset', preset: string, known: string[] }
  | { kind: 'invalid-change', message: string }
  /** Certain that nothing was changed, for instance because no leader could be reached. */
  | { kind: 'not-accepted', message: string }
  /** The change may or may not have been accepted; resend it with the same request id. */
  | { kind: 'outcome-unknown', requestId: string, message: string }

/** Proposes a change until its outcome is known or the deadline has passed. */
export async function proposeChange (log: ReplicatedLog, clock: Clock, request: PresetChange, deadline: number): Promise<ChangeOutcome> {
  const { requestId, ...fields } = request
  const parsed = configurationChangeSchema.safeParse(fields)
  if (!parsed.success) return { kind: 'invalid-change', message: parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`).join('; ') }
  const propose = (): Promise<Result<AppliedEntry, LogFailure>> =>
    log.propose({ kind: 'config.propose', requestId, change: parsed.data, wallTime: clock.wall() }, Math.min(deadline, clock.now() + ATTEMPT_MS))

  let mayBeRecorded = false
  let result = await propose()
  while (!result.ok && RETRIED_FAILURES.has(result.val.kind)) {
    mayBeRecorded ||= result.val.kind === 'outcome-unknown'
    if (clock.now() + RETRY_MS >= deadline) break
    await clock.sleep(RETRY_MS)
    // The request id makes the repetition safe even when the first proposal was recorded.
    result = await propose()
  }
  if (result.ok) {
    const { revision } = result.val.value
    return revision === undefined
      ? { kind: 'invalid-change', message: `request id ${requestId} belongs to a command of another kind` }
      : { kind: 'accepted-pending', revision }
  }
  return describeFailure(result.val, requestId, mayBeRecorded, parsed.data)
}

function describeFailure (failure: LogFailure, requestId: string, mayBeRecorded: boolean, change: ConfigurationChange): ChangeOutcome {
  if (failure.kind === 'rejected') return describeRejection(failure, change)
  if (failure.kind === 'invalid-entry' || failure.kind === 'entry-too-large') return { kind: 'invalid-change', message: failure.message }
  return mayBeRecorded || failure.kind === 'outcome-unknown'
    ? { kind: 'outcome-unknown', requestId, message: failure.message }
    : { kind: 'not-accepted', message: failure.message }
}

function describeRejection ({ rejection }: Extract<LogFailure, { kind: 'rejected' }>, change: ConfigurationChange): ChangeOutcome {
  if (rejection.kind === 'stale-revision') {
    const { currentRevision: revision, preset, setBy } = rejection
    return { kind: 'lost-race', winner: { revision, preset, setBy }, winnerPending: false }
  }
  if (rejection.kind === 'change-pending') {
    const { pendingRevision: revision, preset, setBy } = rejection
    return { kind: 'lost-race', winner: { revision, preset, setBy }, winnerPending: true }
  }
  if (rejection.kind === 'unknown-preset') return { kind: 'unknown-preset', preset: change.preset, known: rejection.known }
  return { kind: 'invalid-change', message: `the agreed log rejected the change: ${rejection.kind}` }
}
