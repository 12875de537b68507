export { createZoneCoordinator, type ZoneCoordinator, type ZoneCoordinatorOptions, type ZoneStatus } from './coordinator.js'
export {
  coordinatorTermSchema, exchangeReplySchema, exchangeRequestSchema, fencingTokenSchema, workerCommandSchema,
  type AttemptOutcome, type CoordinatorTerm, type ExchangeReply, type ExchangeRequest, type FencingToken, type WorkerCommand
} from './exchange.js'
export { TASK_LEASE_MS, WORKER_LOST_MS } from './leases.js'
export type { Eviction } from './dispatcher.js'
export type { PolicyInForce } from './activeTerm.js'
export type { TaskFilter, TaskState, TaskView } from './table.js'
export type { WorkerClient } from './workerLink.js'
