import { planCapacity } from './capacity.js'
import { planDrains } from './drains.js'
import { planMoveStops } from './evictions.js'
import { planHealth } from './health.js'
import { handleObservation } from './observations.js'
import { planProtection } from './protection.js'
import { recordDecisions } from './reasons.js'
import { planStarts } from './starts.js'
import { createPlacementState, type PlacementOptions, type PlacementState } from './state.js'
import type { Decision, Explanation, Placement, Subject } from './types.js'

/** Plans in the order in which they run: quarantines, throttles and evictions come before starts, which add load. */
const PLANS: Array<(state: PlacementState, now: number) => Decision[]> = [
  planHealth, planCapacity, planProtection, planMoveStops, planDrains, planStarts
]

/**
 * Decides where tasks run. The same options and observations give the same decisions.
 * Commands to one worker have to be delivered in the order of the decisions, because a start may need the cores that an earlier throttle frees.
 * A started task keeps its allocation until `task-ended`; only then may it be queued again.
 */
export function createPlacement (options: PlacementOptions): Placement {
  const state = createPlacementState(options)
  return {
    observe: (observation, now) => handleObservation(state, observation, now),
    decide: (now) => {
      const decisions = PLANS.flatMap((plan) => plan(state, now))
      recordDecisions(state, decisions, now)
      decisions.forEach((decision) => { if (decision.kind === 'refuse') state.tasks.delete(decision.task) })
      return decisions
    },
    explain: (subject) => listExplanations(state, subject)
  }
}

/** Of the waiting tasks of one shape, only the oldest is examined; its latest reason to wait is listed for the others too. */
function listExplanations (state: PlacementState, subject: Subject): Explanation[] {
  const own = state.explanations.list(subject)
  const record = subject.kind === 'task' ? state.tasks.get(subject.id) : undefined
  const head = record?.state === 'queued' ? state.queue.findHead(record) : undefined
  if (head === undefined || head === record) return own
  return [...own, ...state.explanations.list({ kind: 'task', id: head.task.id }).slice(-1)]
}
