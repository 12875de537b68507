import type { Clock, Result } from '../../common/index.js'
import { configurationChangeSchema, type ReplicatedLog, type AppliedEntry, type ConfigurationChange, type LogFailure, type Policy } from '../../state/index.js'

const RETRY_MS = 100

/** Timeout of one proposal, ms. A proposal to a frozen leader is then repeated, since another leader may have been elected. */
const PROPOSE_ATTEMPT_TIMEOUT_MS = 800

/** Failures after which the proposal is repeated. After any other failure, a repetition would fail in the same way. */
const RETRIED_FAILURES = new Set<LogFailure['kind']>(['no-leader', 'not-recorded', 'outcome-unknown'])

export interface PresetChange {
  /** Identifies the operator's request; a request that is sent again with the same id gets the first outcome. */
  requestId: string
  /** The revision on which the operator based the change; another current revision rejects it. */
  baseRevision: number
  preset: string
  /** Preset tables to replace or add. */
  presets?: Record<string, Policy>
  setBy: string
  reason: string
}

/** The concurrent change that was accepted first. */
export interface WinningChange { revision: number, preset: string, setBy: string }

export type ChangeOutcome =
  /** The revision was activated. `currentRevision` is higher when a later change has superseded it. */
  | { kind: 'in-force', revision: number, currentRevision: number }
  /** Accepted, so it cannot be lost and will come into force, but this host did not see its activation before the deadline. */
  | { kind: 'accepted-pending', revision: number }
  /** Nothing was changed, because another change was accepted first. A new attempt needs a new request id. */
  | { kind: 'lost-race', winner: WinningChange, winnerPending: boolean }
  | { kind: 'unknown-preset', preset: string, known: string[] }
  | { kind: 'invalid-change', message: string }
  /** Certainly nothing was changed, for instance because no leader could be reached. */
  | { kind: 'not-accepted', message: string }
  /** The change may have been accepted; send it again with the same request id to find out. */
  | { kind: 'outcome-unknown', requestId: string, message: string }

/** Proposes a change repeatedly until the replicated log accepts or rejects it, or the deadline has passed. */
export async function proposeChange (log: ReplicatedLog, clock: Clock, request: PresetChange, deadline: number): Promise<ChangeOutcome> {
  const { requestId, ...fields } = request
  const parsed = configurationChangeSchema.safeParse(fields)
  if (!parsed.success) return { kind: 'invalid-change', message: parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`).join('; ') }
  const propose = (): Promise<Result<AppliedEntry, LogFailure>> =>
    log.propose({ kind: 'config.propose', requestId, change: parsed.data, wallTime: clock.wall() }, Math.min(deadline, clock.now() + PROPOSE_ATTEMPT_TIMEOUT_MS))

  let mayBeRecorded = false
  let result = await propose()
  while (!result.ok && RETRIED_FAILURES.has(result.val.kind)) {
    mayBeRecorded ||= result.val.kind === 'outcome-unknown'
    if (clock.now() + RETRY_MS >= deadline) break
    await clock.sleep(RETRY_MS)
    // The log applies a request id only once, so a repetition is safe even if the first proposal was recorded.
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
