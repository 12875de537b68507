import { Ok, type Result } from '../../common/index.js'
import type { Assignment } from './schemas.js'
import type { WorkflowsState } from './state.js'

/**
 * Availability zones in which no task may be started, and the log entries that change them. Load: a few zones, changed by
 * operators; each assignment and each scheduling pass reads them.
 */
export interface EvacuatedZone {
  zone: string
  /** Wall-clock ms at which the entry was proposed; only for display. */
  at: number
}

type Evacuations = Pick<WorkflowsState, 'evacuatedZones'>

/** A repeated entry changes nothing. The state keeps a list, because a zone may have the name of an object property. */
export const zoneEvacuationHandlers = {
  'zone.evacuate': (state: Evacuations, { zone, at }: EvacuatedZone): Result<Record<string, never>, never> => {
    if (!isZoneEvacuated(state, zone)) state.evacuatedZones = [...state.evacuatedZones ?? [], { zone, at }]
    return Ok({})
  },

  'zone.readmit': (state: Evacuations, { zone }: EvacuatedZone): Result<Record<string, never>, never> => {
    if (isZoneEvacuated(state, zone)) state.evacuatedZones = state.evacuatedZones?.filter((evacuated) => evacuated.zone !== zone)
    return Ok({})
  }
}

export function isZoneEvacuated ({ evacuatedZones }: Evacuations, zone: string): boolean {
  return evacuatedZones !== undefined && evacuatedZones.some((evacuated) => evacuated.zone === zone)
}

export function hasEvacuatedZones ({ evacuatedZones }: Evacuations): boolean {
  return evacuatedZones !== undefined && evacuatedZones.length > 0
}

/**
 * Leaves out the assignments that must not take effect, for example to workers of evacuated zones: the entry that evacuates the
 * zone may precede them in the log, although the leader proposed them before it was committed. The other members of their gangs
 * are left out as well, as they would wait for the missing ones. `findGang` returns the step name of a gang member, and undefined
 * for other tasks.
 */
export function listAdmissibleAssignments (state: Pick<WorkflowsState, 'evacuatedZones' | 'workers'>, assignments: Assignment[], findGang: (task: string) => string | undefined): Assignment[] {
  const inadmissible = assignments.filter((assignment) => !isAdmissible(state, assignment))
  if (inadmissible.length === 0) return assignments
  const brokenGangs = new Set(inadmissible.flatMap(([task]) => findGang(task) ?? []))
  return assignments.filter((assignment) => !inadmissible.includes(assignment) && !brokenGangs.has(findGang(assignment[0]) ?? ''))
}

/** The worker is not in an evacuated zone and has not been replaced since the task was placed: a later incarnation may be of another service or kind. */
function isAdmissible (state: Pick<WorkflowsState, 'evacuatedZones' | 'workers'>, [, worker, , , bornAt]: Assignment): boolean {
  const life = state.workers[worker]?.life
  return !isZoneEvacuated(state, life?.availabilityZone ?? '') && (bornAt === undefined || life?.bornAt === bornAt)
}
