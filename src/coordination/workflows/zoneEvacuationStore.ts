import { Err, Ok, type Clock, type Logger, type Result } from '../../common/index.js'
import { isZoneEvacuated, type LogFailure, type ReplicatedLog, type WorkflowsState } from '../../state/index.js'

/** Records the requests of operators to evacuate and readmit zones. Load: a few requests a day. */
export type EvacuationOutcome = 'recorded' | 'unknown-zone'

export interface EvacuationStore {
  /** Resolves once the evacuation of the zone is committed; a repeated request changes nothing. */
  evacuate (zone: string, deadline: number): Promise<Result<EvacuationOutcome, LogFailure>>
  readmit (zone: string, deadline: number): Promise<Result<EvacuationOutcome, LogFailure>>
}

/** `zones`: the zones that the settings name. */
export function createEvacuationStore ({ clock, logger, log, zones }: { clock: Clock, logger: Logger, log: ReplicatedLog, zones: readonly string[] }): EvacuationStore {
  const isKnown = (zone: string): boolean => zones.includes(zone) || isNamed(log.state().workflows, zone)

  // A request that repeats what is in force is proposed all the same: this host may lag behind an entry that says the opposite.
  const change = (kind: 'zone.evacuate' | 'zone.readmit') => async (zone: string, deadline: number): Promise<Result<EvacuationOutcome, LogFailure>> => {
    const startedAt = clock.now()
    const barrier = isKnown(zone) ? Ok(0) : await log.readBarrier(deadline)
    const isUnknown = barrier.ok && !isKnown(zone)
    const result = barrier.err ? barrier : isUnknown ? undefined : await log.propose({ kind, zone, at: clock.wall() }, deadline)
    const outcome = result === undefined ? 'unknown-zone' : result.ok ? 'recorded' : result.val.kind
    logger.info(kind, { zone, outcome, ms: Math.round(clock.now() - startedAt) })
    return result?.err === true ? Err(result.val) : Ok(isUnknown ? 'unknown-zone' : 'recorded')
  }
  return { evacuate: change('zone.evacuate'), readmit: change('zone.readmit') }
}

/** An evacuated zone counts as known although it may have no workers left, so that it can always be readmitted. */
function isNamed (state: WorkflowsState, zone: string): boolean {
  return isZoneEvacuated(state, zone) || Object.values(state.workers).some(({ life }) => life.availabilityZone === zone)
}
