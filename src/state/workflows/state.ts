import { Err, Ok, type Result } from '../../common/index.js'
import { createTable, removeInheritance } from '../tables.js'
import { addIndex, countIndexes, hasIndex, type IndexRanges } from './indexRanges.js'
import { findSessionHost } from './sessionHosts.js'
import { addCopy, getAttemptOn, getLastAttempt, isRunAssigned, listRunWorkers, recordAttempt, removeRun, type TaskRuns } from './taskCopies.js'
import { listAdmissibleAssignments, zoneEvacuationHandlers, type EvacuatedZone } from './zoneEvacuations.js'
import { listAssignedTasks, recordRemoval, removeLeftWorker, type RemovedWorkers, type WorkerDeparture } from './leavingWorkers.js'
import { createUnsettled, pruneUnsettled, releaseUnsettled } from './unsettledTasks.js'
import type { AdvicePolicy, Assignment, Catalog, EndCause, SessionOwner, WorkerRunEnds, RunEnd, SessionHost, Step, MaintenanceWave, WorkerIncarnation, Workflow } from './schemas.js'

/**
 * An ended workflow stays in the state for this long, so that clients can still query it. Beyond `MAX_ENDED_WORKFLOWS` the
 * oldest ones are deleted earlier.
 */
const ENDED_RETENTION_MS = 600_000
const MAX_ENDED_WORKFLOWS = 20_000

/** `attempt` and `worker`: the current attempt and the worker that it is assigned to; `copy` is a second run beside it. */
export interface TaskRecord extends TaskRuns {
  failures: number
  succeeded: boolean
  checkpoint: string
}

/** State of a gang as a whole; its members share attempts, checkpoints and failures. */
export interface GangRecord {
  /** The latest attempt, and the checkpoint that all its members start from. */
  attempt: number
  startCheckpoint: string
  /** The checkpoint that was recorded last, of any member; the next attempt starts from it. */
  checkpoint: string
  /** Number of attempts in which a member has failed, and the last of them. */
  failures: number
  failedAttempt: number
}

export type WorkflowOutcome = 'completed' | 'failed' | 'cancelled'

export interface WorkflowRecord {
  workflow: Workflow
  queue: string
  service: string
  maxAttempts: number
  /** Advice policy of the queue at the submission; holds if the queue is removed. */
  advice?: AdvicePolicy
  submittedAt: number
  /** True once the end of a run is recorded. Runs that have started and not ended are known from their workers. */
  started: boolean
  /** Tasks that are assigned, or were before and have not succeeded, by occurrence, step and index. */
  tasks: Record<string, TaskRecord>
  /** Number of tasks that have succeeded, by occurrence and step, of occurrences that are not done. */
  succeeded: Record<string, number>
  /** Indexes of the tasks that have succeeded, by occurrence and step, of steps that are not done; absent in state of earlier builds. */
  succeededIndexes?: Record<string, IndexRanges>
  /** Gangs that were started and are not done, by occurrence and step; absent in state of earlier builds. */
  gangs?: Record<string, GangRecord>
  /** Occurrences of which all steps are done; absent in state of earlier builds. */
  doneOccurrences?: IndexRanges
  outcome: WorkflowOutcome | undefined
  endedAt: number
}

export interface WorkerRecord {
  life: WorkerIncarnation
  /** Sequence number of the last end of a run that was recorded. */
  lastEnd: number
  /** True when the leases of the worker's runs have expired, so that no run can still be active there. */
  expired: boolean
  /** Tasks that are assigned to this incarnation of the worker. */
  assigned: Record<string, true>
  /** Tasks of earlier incarnations that may still be started on this one, see `unsettledTasks.ts`; absent if there are none. */
  unsettled?: Record<string, true>
  /** An earlier incarnation was registered under the id, so this one may execute orders that were meant for that one. */
  isRestart?: boolean
  /** The worker has announced its shutdown, see `leavingWorkers.ts`; absent before. */
  leaving?: WorkerDeparture
  /** Number of this incarnation among all that were registered; orders for a later one have higher fencing tokens. Absent in state of earlier builds. */
  generation?: number
}

/**
 * Progress of a maintenance wave. The order to a host in `ordered` may have been lost until the host is in `confirmed`,
 * which maps it to the latest `bornAt` of the worker incarnations that were known there when the order was confirmed.
 */
export interface MaintenanceWaveRecord { wave: MaintenanceWave, ordered: string[], confirmed: Record<string, number>, done: string[] }

export interface WorkflowsState extends RemovedWorkers {
  catalog: Catalog | undefined
  workflows: Record<string, WorkflowRecord>
  /** Ids of ended workflows, oldest first. */
  ended: string[]
  workers: Record<string, WorkerRecord>
  /** Number of worker incarnations that have been registered; absent in state of earlier builds. */
  incarnations?: number
  waves: Record<string, MaintenanceWaveRecord>
  /** Zones in which no task may be started; absent in state of earlier builds. */
  evacuatedZones?: EvacuatedZone[]
  sessionHosts: SessionHost[]
  /** Hosts whose build applies copies, as a leader has learned; absent until the first copy, and in state of earlier builds. */
  copyHosts?: string[]
  /** Number of the session assignment in force; each `sessions.divide` entry increments it. */
  division: number
}

export type WorkflowRejection =
  | { kind: 'unknown-queue', queue: string }
  | { kind: 'unknown-workflow', workflow: string }
  | { kind: 'unknown-wave', wave: number }
  | { kind: 'stale-life', worker: string, bornAt: number }
  | { kind: 'stale-division', worker: string, host: string, division: number }

export function createWorkflowsState (): WorkflowsState {
  return { catalog: undefined, workflows: createTable(), ended: [], workers: createTable(), waves: createTable(), sessionHosts: [], division: 0 }
}

/** Prepares a decoded state, see `removeStateInheritance`. */
export function removeWorkflowInheritance ({ workflows, workers, waves, departed = {}, removed = {} }: WorkflowsState): void {
  removeInheritance({ workflows, workers, waves, departed, removed })
}

export interface TaskName { workflow: string, occurrence: number, step: number, index: number }

export function formatTaskName ({ workflow, occurrence, step, index }: TaskName): string {
  return `${workflow}.${occurrence}.${step}.${index}`
}

export function parseTaskName (task: string): TaskName | undefined {
  const parts = task.split('.')
  const [index, step, occurrence] = parts.splice(-3).reverse().map(Number)
  const workflow = parts.join('.')
  return workflow !== '' && Number.isInteger(index) && Number.isInteger(step) && Number.isInteger(occurrence)
    ? { workflow, occurrence: occurrence as number, step: step as number, index: index as number }
    : undefined
}

/** Removes the index from a task name; workflow, occurrence and step are left. */
export function getStepName (task: string): string {
  return task.slice(0, task.lastIndexOf('.'))
}

export function findTask (state: WorkflowsState, task: string): TaskRecord | undefined {
  const name = parseTaskName(task)
  return name === undefined ? undefined : state.workflows[name.workflow]?.tasks[formatTaskKey(name)]
}

/** The attempt of a task that is assigned to a worker; undefined if the task has no record. */
export function findAttemptOn (state: WorkflowsState, task: string, worker: string): number | undefined {
  const known = findTask(state, task)
  return known === undefined ? undefined : getAttemptOn(known, worker)
}

export function formatTaskKey ({ occurrence, step, index }: Omit<TaskName, 'workflow'>): string {
  return `${occurrence}.${step}.${index}`
}

export function formatStepKey (occurrence: number, step: number): string {
  return `${occurrence}.${step}`
}

export function countOccurrences (workflow: Workflow): number {
  return workflow.recurrence?.count ?? 1
}

/** True when every step that this one depends on has succeeded. */
export function isStepReady (record: WorkflowRecord, occurrence: number, step: Step): boolean {
  return step.dependsOn.every((earlier) => isStepDone(record, occurrence, earlier))
}

export function isStepDone (record: WorkflowRecord, occurrence: number, step: number): boolean {
  const definition = record.workflow.steps[step]
  return definition === undefined || hasIndex(record.doneOccurrences, occurrence) || (record.succeeded[formatStepKey(occurrence, step)] ?? 0) >= definition.count
}

/** True when the task has succeeded, or no longer has to because its step is done. */
export function isTaskDone (record: WorkflowRecord, name: Omit<TaskName, 'workflow'>): boolean {
  const { occurrence, step, index } = name
  return isStepDone(record, occurrence, step) ||
    hasIndex(record.succeededIndexes?.[formatStepKey(occurrence, step)], index) ||
    record.tasks[formatTaskKey(name)]?.succeeded === true
}

type HandlerResult = Result<Record<string, never>, WorkflowRejection>

export const workflowHandlers = {
  ...zoneEvacuationHandlers,

  'catalog.put': (state: WorkflowsState, { catalog }: { catalog: Catalog }): HandlerResult => {
    // A catalog whose version is not higher is ignored, and acknowledged all the same.
    if (catalog.version > (state.catalog?.version ?? -1)) state.catalog = catalog
    return Ok({})
  },

  'workflow.submit': (state: WorkflowsState, { queue, workflow, at }: { queue: string, workflow: Workflow, at: number }): HandlerResult => {
    if (state.workflows[workflow.id] !== undefined) return Ok({})
    const definition = state.catalog?.queues.find(({ name }) => name === queue)
    if (definition === undefined) return Err({ kind: 'unknown-queue', queue })
    state.workflows[workflow.id] = {
      workflow,
      queue,
      service: definition.service,
      maxAttempts: definition.maxAttempts,
      ...definition.advice !== undefined && { advice: definition.advice },
      submittedAt: at,
      started: false,
      tasks: {},
      succeeded: {},
      succeededIndexes: {},
      doneOccurrences: [],
      outcome: undefined,
      endedAt: 0
    }
    return Ok({})
  },

  'workflow.cancel': (state: WorkflowsState, { id, at }: { id: string, at: number }): HandlerResult => {
    const record = state.workflows[id]
    if (record === undefined) return Err({ kind: 'unknown-workflow', workflow: id })
    closeWorkflow(state, record, 'cancelled', at)
    return Ok({})
  },

  'workflow.assign': (state: WorkflowsState, { assignments, copies = [], copyHosts }: { assignments: Assignment[], copies?: Assignment[] | undefined, copyHosts?: string[] | undefined }): HandlerResult => {
    if (copyHosts !== undefined) state.copyHosts = copyHosts
    const listAdmissible = (listed: Assignment[]): Assignment[] => listAdmissibleAssignments(state, listed, (task) => findGangStep(state, task))
    listAdmissible(assignments).forEach(([task, worker, attempt]) => applyAssignment(state, task, worker, attempt))
    listAdmissible(copies).forEach(([task, worker, attempt]) => applyCopy(state, task, worker, attempt))
    return Ok({})
  },

  // Ends of an incarnation that a later one has replaced are ignored: its tasks are with the later one.
  'workflow.end': (state: WorkflowsState, { lives, judge, at }: { lives: WorkerRunEnds[], judge: SessionOwner, at: number }): HandlerResult => {
    lives.forEach(({ worker, bornAt, ends }) => {
      const record = state.workers[worker]
      if (record?.life.bornAt !== bornAt) return
      // An end that the worker reported counts whoever proposes it. An end with number 0 is a conclusion of the session host, so
      // it counts only from the host that owns the session at present.
      const isOwner = isSessionOwner(state, record, judge)
      ends.filter(([number]) => number > 0 || isOwner).forEach((end) => {
        recordStarted(state, end)
        applyEnd(state, record, end, at)
      })
      pruneUnsettled(record)
      removeLeftWorker(state, record, at)
    })
    return Ok({})
  },

  'sessions.divide': (state: WorkflowsState, { hosts }: { hosts: SessionHost[] }): HandlerResult => {
    state.sessionHosts = hosts
    state.division += 1
    return Ok({})
  },

  'life.report': (state: WorkflowsState, { life }: { life: WorkerIncarnation }): HandlerResult => {
    const known = state.workers[life.id]
    if (known === undefined || known.life.bornAt < life.bornAt) {
      const isRestart = known !== undefined || state.departed?.[life.id] !== undefined
      state.incarnations = (state.incarnations ?? 0) + 1
      const removed = state.removed?.[life.id]
      const lastEnd = removed?.bornAt === life.bornAt ? removed.lastEnd : 0
      state.workers[life.id] = { life, lastEnd, expired: false, assigned: {}, generation: state.incarnations, ...createUnsettled(known), ...isRestart && { isRestart } }
    } else if (known.life.bornAt === life.bornAt) {
      // A worker incarnation that has started to drain never accepts work again.
      const draining = known.life.draining || life.draining
      known.life = { ...life, draining, leavesAt: known.life.draining ? known.life.leavesAt ?? life.leavesAt : life.leavesAt }
    }
    return Ok({})
  },

  'life.expire': (state: WorkflowsState, { worker, bornAt, judge, at }: { worker: string, bornAt: number, judge: SessionOwner, at: number }): HandlerResult => {
    const record = state.workers[worker]
    if (record === undefined || record.life.bornAt !== bornAt) return Err({ kind: 'stale-life', worker, bornAt })
    if (!isSessionOwner(state, record, judge)) return Err({ kind: 'stale-division', worker, ...judge })
    releaseTasks(state, record)
    record.expired = true
    removeLeftWorker(state, record, at)
    return Ok({})
  },

  // The worker may run on for seconds, so its tasks stay with it until their ends are known or its leases are over.
  'life.leave': (state: WorkflowsState, { worker, bornAt, isCertain, at }: { worker: string, bornAt: number, isCertain: boolean, at: number }): HandlerResult => {
    const record = state.workers[worker]
    if (record === undefined || record.life.bornAt !== bornAt) return Err({ kind: 'stale-life', worker, bornAt })
    record.leaving = isCertain ? 'departed' : record.leaving ?? 'removed'
    record.life = { ...record.life, draining: true }
    removeLeftWorker(state, record, at)
    return Ok({})
  },

  'life.remove': (state: WorkflowsState, { worker, bornAt, judge, hasLeft, at }: { worker: string, bornAt: number, judge?: SessionOwner | undefined, hasLeft?: boolean | undefined, at: number }): HandlerResult => {
    const record = state.workers[worker]
    if (record === undefined || record.life.bornAt !== bornAt) return Err({ kind: 'stale-life', worker, bornAt })
    if (judge !== undefined && !isSessionOwner(state, record, judge)) return Err({ kind: 'stale-division', worker, ...judge })
    releaseTasks(state, record)
    recordRemoval(state, record, hasLeft === true ? 'departed' : 'removed', at)
    return Ok({})
  },

  'wave.open': (state: WorkflowsState, { wave }: { wave: MaintenanceWave }): HandlerResult => {
    state.waves[wave.id] ??= { wave, ordered: [], confirmed: {}, done: [] }
    return Ok({})
  },

  'wave.order': (state: WorkflowsState, { wave, host }: { wave: number, host: string }): HandlerResult => {
    const record = state.waves[wave]
    if (record === undefined) return Err({ kind: 'unknown-wave', wave })
    if (!record.ordered.includes(host)) record.ordered.push(host)
    return Ok({})
  },

  'wave.confirm': (state: WorkflowsState, { wave, host, bornAt }: { wave: number, host: string, bornAt: number }): HandlerResult => {
    const record = state.waves[wave]
    if (record === undefined) return Err({ kind: 'unknown-wave', wave })
    record.confirmed[host] ??= bornAt
    return Ok({})
  },

  'wave.withdraw': (state: WorkflowsState, { wave, host }: { wave: number, host: string }): HandlerResult => {
    const record = state.waves[wave]
    if (record === undefined) return Err({ kind: 'unknown-wave', wave })
    record.ordered = record.ordered.filter((other) => other !== host)
    return Ok({})
  },

  'wave.done': (state: WorkflowsState, { wave, host }: { wave: number, host: string }): HandlerResult => {
    const record = state.waves[wave]
    if (record === undefined) return Err({ kind: 'unknown-wave', wave })
    if (!record.done.includes(host)) record.done.push(host)
    return Ok({})
  }
}

function applyAssignment (state: WorkflowsState, task: string, worker: string, attempt: number): void {
  const name = parseTaskName(task)
  const record = name === undefined ? undefined : state.workflows[name.workflow]
  const workerRecord = state.workers[worker]
  if (name === undefined || record === undefined || workerRecord === undefined || !canAssign(record, name, attempt)) return
  const known = record.tasks[formatTaskKey(name)]
  record.tasks[formatTaskKey(name)] = {
    attempt,
    failures: known?.failures ?? 0,
    succeeded: false,
    checkpoint: record.workflow.steps[name.step]?.gang === true ? startGangAttempt(record, name, attempt).startCheckpoint : known?.checkpoint ?? '',
    worker
  }
  workerRecord.assigned[task] = true
  workerRecord.expired = false
}

/** Assigns a second run of a task. The entry may be older than the end of the first run or of the task; it has no effect then. */
function applyCopy (state: WorkflowsState, task: string, worker: string, attempt: number): void {
  const name = parseTaskName(task)
  const record = name === undefined ? undefined : state.workflows[name.workflow]
  const workerRecord = state.workers[worker]
  if (name === undefined || record === undefined || workerRecord === undefined || record.outcome !== undefined || isTaskDone(record, name)) return
  if (!addCopy(record.tasks[formatTaskKey(name)], record.workflow.steps[name.step], { attempt, worker })) return
  workerRecord.assigned[task] = true
  workerRecord.expired = false
}

/** Two leaders can assign the same task only around a change of leadership; the first assignment stands. */
function canAssign (record: WorkflowRecord, name: TaskName, attempt: number): boolean {
  const known = record.tasks[formatTaskKey(name)]
  const isNewer = known === undefined || (known.worker === undefined && getLastAttempt(known) < attempt)
  return isNewer && record.outcome === undefined && !isTaskDone(record, name)
}

/** The step name of a task that is a member of a gang. */
function findGangStep (state: WorkflowsState, task: string): string | undefined {
  const name = parseTaskName(task)
  return name !== undefined && state.workflows[name.workflow]?.workflow.steps[name.step]?.gang === true ? getStepName(task) : undefined
}

function getGang (record: WorkflowRecord, { occurrence, step }: TaskName): GangRecord {
  const key = formatStepKey(occurrence, step)
  const known = record.gangs?.[key]
  if (known !== undefined) return known
  const created: GangRecord = { attempt: 0, startCheckpoint: '', checkpoint: '', failures: 0, failedAttempt: 0 }
  record.gangs = { ...record.gangs, [key]: created }
  return created
}

/** Starts an attempt of a gang with the assignment of its first member. The ends of earlier attempts that come later do not change its checkpoint. */
function startGangAttempt (record: WorkflowRecord, name: TaskName, attempt: number): GangRecord {
  const gang = getGang(record, name)
  if (attempt > gang.attempt) Object.assign(gang, { attempt, startCheckpoint: gang.checkpoint })
  return gang
}

/**
 * Whether the host is the worker's session host under the present session assignment. A former session host must not
 * decide about the worker, because its successor may have renewed leases and repeated orders.
 */
function isSessionOwner (state: WorkflowsState, { life }: WorkerRecord, { host, division }: SessionOwner): boolean {
  return state.division === division && findSessionHost(state.sessionHosts, life) === host
}

/** A run that a worker has listed as ended shows that its workflow has started. */
function recordStarted (state: WorkflowsState, [number, task]: RunEnd): void {
  const record = state.workflows[parseTaskName(task)?.workflow ?? '']
  if (record !== undefined && number > 0) record.started = true
}

const FAILURE_CAUSES: ReadonlySet<EndCause> = new Set(['failed'])

function applyEnd (state: WorkflowsState, worker: WorkerRecord, [number, task, attempt, cause, checkpoint]: RunEnd, at: number): void {
  if (number > 0 && number <= worker.lastEnd) return
  worker.lastEnd = Math.max(worker.lastEnd, number)
  const name = parseTaskName(task)
  const record = state.workflows[name?.workflow ?? '']
  const known = findTask(state, task)
  // The task may have been pruned, or be with another worker by now.
  if (known === undefined || !listRunWorkers(known).includes(worker.life.id)) releaseUnsettled(worker, task)
  if (name === undefined || record === undefined || known === undefined) return
  // A worker may report the end of an attempt that is not recorded in this state.
  const isAssigned = isRunAssigned(known, worker.life.id, attempt)
  recordAttempt(known, attempt)
  if (isAssigned) releaseRun(worker, task, known)
  if (checkpoint !== '') recordCheckpoint(record, name, known, checkpoint)
  if (cause === 'succeeded') {
    applySuccess(state, record, name, known, at)
  } else if (FAILURE_CAUSES.has(cause)) {
    applyFailure(state, record, name, known, attempt, at)
  }
  pruneTask(record, name)
}

function recordCheckpoint (record: WorkflowRecord, name: TaskName, known: TaskRecord, checkpoint: string): void {
  if (record.workflow.steps[name.step]?.gang !== true) known.checkpoint = checkpoint
  else if (!isTaskDone(record, name)) getGang(record, name).checkpoint = checkpoint
}

/** Deletes the record of a task that is not assigned and will not run again, because task records take up most of the state. */
function pruneTask (record: WorkflowRecord, name: Omit<TaskName, 'workflow'>): void {
  const taskKey = formatTaskKey(name)
  if (record.tasks[taskKey]?.worker !== undefined) return
  if (record.outcome !== undefined || isTaskDone(record, name)) delete record.tasks[taskKey]
}

function applySuccess (state: WorkflowsState, record: WorkflowRecord, name: TaskName, known: TaskRecord, at: number): void {
  const step = record.workflow.steps[name.step]
  if (step === undefined || step.lasting || isTaskDone(record, name)) return
  const key = formatStepKey(name.occurrence, name.step)
  // One successful end completes all tasks of a gang.
  record.succeeded[key] = step.gang ? step.count : (record.succeeded[key] ?? 0) + 1
  if (!step.gang) recordSucceeded(record, key, name.index, known)
  if (isStepDone(record, name.occurrence, name.step)) closeStep(state, record, name, step, at)
}

function recordSucceeded (record: WorkflowRecord, stepKey: string, index: number, known: TaskRecord): void {
  known.succeeded = true
  record.succeededIndexes ??= {}
  const ranges = record.succeededIndexes[stepKey] ??= []
  addIndex(ranges, index)
}

/** Deletes what was recorded of a step that is done, and with the last step of an occurrence what was recorded of the occurrence. */
function closeStep (state: WorkflowsState, record: WorkflowRecord, { occurrence, step: number }: TaskName, { gang, count }: Step, at: number): void {
  const { workflow } = record
  delete record.succeededIndexes?.[formatStepKey(occurrence, number)]
  delete record.gangs?.[formatStepKey(occurrence, number)]
  // The members of a gang that ended before the successful one have not succeeded by themselves.
  if (gang) Array.from({ length: count }).forEach((_, index) => pruneTask(record, { occurrence, step: number, index }))
  if (!workflow.steps.every((_step, other) => isStepDone(record, occurrence, other))) return
  record.doneOccurrences ??= listDoneOccurrences(record)
  addIndex(record.doneOccurrences, occurrence)
  workflow.steps.forEach((_step, other) => { delete record.succeeded[formatStepKey(occurrence, other)] })
  if (countIndexes(record.doneOccurrences) >= countOccurrences(workflow)) closeWorkflow(state, record, 'completed', at)
}

/** Finds the done occurrences of a record that an earlier build has written. */
function listDoneOccurrences (record: WorkflowRecord): IndexRanges {
  const ranges: IndexRanges = []
  new Set(Object.keys(record.succeeded).map((stepKey) => Number(stepKey.split('.')[0])))
    .forEach((occurrence) => { if (record.workflow.steps.every((_step, number) => isStepDone(record, occurrence, number))) addIndex(ranges, occurrence) })
  return ranges
}

function applyFailure (state: WorkflowsState, record: WorkflowRecord, name: TaskName, known: TaskRecord, attempt: number, at: number): void {
  const step = record.workflow.steps[name.step]
  if (step === undefined || isTaskDone(record, name)) return
  known.failures += 1
  const failures = step.gang ? countGangFailure(getGang(record, name), attempt) : known.failures
  if (failures >= record.maxAttempts && !step.lasting) closeWorkflow(state, record, 'failed', at)
}

/** Several members may fail in one attempt of a gang, and another one in the next. */
function countGangFailure (gang: GangRecord, attempt: number): number {
  if (attempt > gang.failedAttempt) Object.assign(gang, { failures: gang.failures + 1, failedAttempt: attempt })
  return gang.failures
}

/** Ends a workflow. Tasks that are still assigned keep their assignment until their workers have stopped them. */
function closeWorkflow (state: WorkflowsState, record: WorkflowRecord, outcome: WorkflowOutcome, at: number): void {
  if (record.outcome !== undefined) return
  record.outcome = outcome
  record.endedAt = at
  Object.entries(record.tasks).forEach(([taskKey, { worker }]) => { if (worker === undefined) delete record.tasks[taskKey] })
  record.workflow = { ...record.workflow, command: '' }
  state.ended.push(record.workflow.id)
  pruneEnded(state, at)
}

function pruneEnded (state: WorkflowsState, at: number): void {
  while (state.ended.length > 0) {
    const id = state.ended[0] as string
    const record = state.workflows[id]
    const isKept = record !== undefined && state.ended.length <= MAX_ENDED_WORKFLOWS && at - record.endedAt < ENDED_RETENTION_MS
    if (isKept) return
    state.ended.shift()
    delete state.workflows[id]
  }
}

function releaseTasks (state: WorkflowsState, worker: WorkerRecord): void {
  listAssignedTasks(worker).forEach((task) => {
    const known = findTask(state, task)
    if (known !== undefined && listRunWorkers(known).includes(worker.life.id)) releaseRun(worker, task, known)
  })
  worker.assigned = {}
  delete worker.unsettled
}

function releaseRun (worker: WorkerRecord, task: string, known: TaskRecord): void {
  delete worker.assigned[task]
  releaseUnsettled(worker, task)
  removeRun(known, worker.life.id)
}
