export {
  assignmentSchema, catalogSchema, endCauseSchema, judgeSchema, lifeEndsSchema, queueSchema, recurrenceSchema, runEndSchema, sessionHostSchema, stepSchema, upkeepWaveSchema,
  workerLifeSchema, workerPoolSchema, workflowEntrySchemas, workflowSchema,
  type AdvicePolicy, type Assignment, type Catalog, type EndCause, type Judge, type LifeEnds, type Queue, type Recurrence, type RunEnd, type SessionHost, type Step,
  type UpkeepWave, type WorkerLife, type WorkerPool, type Workflow
} from './schemas.js'
export { findSessionHost } from './sessionHosts.js'
export {
  countOccurrences, createWorkflowsState, findTask, formatTaskName, getLocalName, getStepName, isStepDone, isStepReady, parseTaskName, workflowHandlers,
  type TaskName, type TaskRecord, type WaveRecord, type WorkerRecord, type WorkflowOutcome, type WorkflowRecord,
  type WorkflowRejection, type WorkflowsState
} from './state.js'
