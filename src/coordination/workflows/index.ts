export { createWorkflowCoordinator, type WorkflowCoordinator, type WorkflowCoordinatorOptions } from './coordinator.js'
export { createWorkflowGateway, type WorkflowGateway, type WorkflowGatewayOptions } from './gateway.js'
export { type QueueAddress, type WorkflowReply, type WorkflowRequest, type WorkflowStatus } from './messages.js'
export {
  type PollOrder, type PollReply, type OrderRefusal, type OrderReply, type RunOrder, type RunStatus, type StartOrder,
  type WorkerClient, type WorkerFailure
} from './orders.js'
export { type AdviceClient, type AdviceFailure, type Ticket } from './advice.js'
export { createCatalogStore, type CatalogFailure, type CatalogProblem, type CatalogStore } from './catalog.js'
export { createEvacuationStore, type EvacuationOutcome, type EvacuationStore } from './zoneEvacuationStore.js'
export { createWorkerDirectory, type ReportOutcome, type WorkerDirectory } from './directory.js'
export { type ServiceBound } from './serviceWatch.js'
export { isWaveDone, type HostClient, type HostOrderFailure } from './hostMaintenance.js'
export { DEFAULT_COMPETITION, type CompetitionSettings } from './competition.js'
