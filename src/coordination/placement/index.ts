export { createPlacement } from './placement.js'
export { type PlacementOptions } from './state.js'
export {
  type Decision, type EvictionCause, type Explanation, type Observation, type Placement, type PlacementTask, type Reason, type Subject
} from './types.js'
