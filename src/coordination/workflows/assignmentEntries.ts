import { getStepName, type Assignment } from '../../state/index.js'
import { estimateAssignmentBytes, splitByBytes } from './entrySize.js'

export interface AssignmentBatch { assignments: Assignment[], copies: Assignment[] }

/**
 * Divides the assignments of a scheduling pass among entries of the log. The members of a gang share one, as a part of a gang
 * cannot start; copies are few and come with the last one.
 */
export function splitAssignments (assignments: readonly Assignment[], copies: Assignment[], isGang: (task: string) => boolean): AssignmentBatch[] {
  const batches = splitByBytes(listUnits(assignments, isGang), countBytes).map((units): AssignmentBatch => ({ assignments: units.flat(), copies: [] }))
  if (copies.length > 0) batches.push({ assignments: batches.pop()?.assignments ?? [], copies })
  return batches
}

/** Groups the members of each gang, which a pass places one after the other. */
function listUnits (assignments: readonly Assignment[], isGang: (task: string) => boolean): Assignment[][] {
  const units: Assignment[][] = []
  let gang: string | undefined
  assignments.forEach((assignment) => {
    const [task] = assignment
    const own = isGang(task) ? getStepName(task) : undefined
    if (own !== undefined && own === gang) units.at(-1)?.push(assignment)
    else units.push([assignment])
    gang = own
  })
  return units
}

function countBytes (unit: readonly Assignment[]): number {
  return unit.reduce((sum, assignment) => sum + estimateAssignmentBytes(assignment), 0)
}
