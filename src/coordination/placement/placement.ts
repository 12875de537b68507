import { handleObservation } from './observations.js'
import { recordDecisions } from './reasons.js'
import { planStarts } from './starts.js'
import { createPlacementState, type PlacementOptions } from './state.js'
import type { Placement } from './types.js'

/** Decides where tasks run. The same options and observations give the same decisions. */
export function createPlacement (options: PlacementOptions): Placement {
  const state = createPlacementState(options)
  return {
    observe: (observation, now) => handleObservation(state, observation, now),
    decide: (now) => {
      const decisions = planStarts(state, now)
      recordDecisions(state, decisions, now)
      decisions.filter(({ kind }) => kind === 'refuse').forEach((decision) => 'task' in decision && state.tasks.delete(decision.task))
      return decisions
    },
    explain: (subject) => state.explanations.list(subject)
  }
}
