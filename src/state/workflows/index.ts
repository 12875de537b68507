export {
  assignmentSchema, catalogSchema, endCauseSchema, sessionOwnerSchema, workerRunEndsSchema, queueSchema, recurrenceSchema, runEndSchema, sessionHostSchema, stepSchema, maintenanceWaveSchema,
  workerIncarnationSchema, workerPoolSchema, workflowEntrySchemas, workflowSchema,
  type AdvicePolicy, type Assignment, type Catalog, type EndCause, type SessionOwner, type WorkerRunEnds, type RequestLimits, type Queue, type Recurrence, type RunEnd, type SessionHost, type Step,
  type MaintenanceWave, type WorkerIncarnation, type WorkerPool, type Workflow
} from './schemas.js'
export { findMissingIndex } from './indexRanges.js'
export { hasEvacuatedZones, isZoneEvacuated, type EvacuatedZone } from './zoneEvacuations.js'
export { findSessionHost } from './sessionHosts.js'
export { listAssignedTasks } from './leavingWorkers.js'
export { listUnsettledTasks } from './unsettledTasks.js'
export { canRunCopies, getLastAttempt, listRunWorkers } from './taskCopies.js'
export {
  countOccurrences, createWorkflowsState, findAttemptOn, findTask, formatStepKey, formatTaskName, formatTaskKey, getStepName, isStepDone, isStepReady, isTaskDone, parseTaskName, removeWorkflowInheritance, workflowHandlers,
  type GangRecord, type TaskName, type TaskRecord, type MaintenanceWaveRecord, type WorkerRecord, type WorkflowOutcome, type WorkflowRecord,
  type WorkflowRejection, type WorkflowsState
} from './state.js'
