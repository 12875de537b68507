import type { Clock } from '../../common/index.js'
import { formatTaskName, getStepName, isZoneEvacuated, type Step, type WorkerIncarnation, type WorkerRecord, type WorkflowRecord, type WorkflowsState } from '../../state/index.js'
import { computeColdReserve, computeColdSlowness } from './coldWorkers.js'
import { addTask, type Candidate } from './placement.js'
import type { WorkerView } from './sessionState.js'
import type { InterferenceModel } from './interferenceModel.js'
import type { WorkerHealth } from './workerHealth.js'

/** Size limit of the cache of task steps; several times the number of running tasks at the intended scale. */
const MAX_CACHED_TASKS = 50_000
/** A candidate of this age is recomputed even without changes, because the mean utilization of its latency-critical tasks drifts. */
const MAX_CANDIDATE_AGE_MS = 5000
/**
 * Most tasks on a worker. Tasks that request nothing fit in any number; the polls of a worker, the reports on it, the stops of a
 * cancelled workflow and the entries that release its tasks grow with their number.
 */
export const MAX_RUNS_PER_WORKER = 10_000
/** A cold worker is recomputed this often, so that its usable share grows in small steps. */
const COLD_REFRESH_MS = 500

export interface CandidateOptions {
  /** Absent: no worker counts as cold. */
  clock?: Pick<Clock, 'wall'>
  sessions: ReadonlyMap<string, WorkerView>
  health: WorkerHealth
  interferenceModel: InterferenceModel
  getState (): WorkflowsState
  /** True for a worker on a cordoned host, which is about to go down for maintenance. */
  isCordoned (worker: string): boolean
  /** True while the session host of a worker has more unconfirmed starts than it can carry out soon; absent: never. */
  isBusy? (worker: string): boolean
}

export interface TaskStep { step: Step, stepName: string }

/** Finds the step of a task by its name, and caches it. */
export function createTaskStepIndex (getState: () => WorkflowsState): (task: string) => TaskStep | undefined {
  const cachedSteps = new Map<string, TaskStep>()
  return (task) => {
    const taskStep = cachedSteps.get(task)
    if (taskStep !== undefined) return taskStep
    const step = findStep(getState(), task)
    if (step === undefined) return undefined
    if (cachedSteps.size >= MAX_CACHED_TASKS) cachedSteps.clear()
    const created = { step, stepName: getStepName(task) }
    cachedSteps.set(task, created)
    return created
  }
}

export interface PlacementCandidate extends Candidate {
  stepRuns: Map<string, number>
  /** The session host of the worker has too many unconfirmed starts, so the worker receives only interrupted long-running tasks. */
  isBusy?: boolean
  /** The capacity that is free once the short tasks have ended. */
  freeWithoutShortTasks?: Pick<Candidate, 'freeCores' | 'freeMemoryMb' | 'freeAccelerators'>
}

/** Workers of one service that may receive tasks now. */
export interface Pool {
  workers: PlacementCandidate[]
  /** Workers that can take more than at the last update: newly available, with more free capacity, faster, or open to best-effort tasks again. */
  freed: PlacementCandidate[]
  /** Workers that receive only interrupted long-running tasks, because their session hosts have too many unconfirmed starts. */
  busy: PlacementCandidate[]
}

export interface Candidates {
  /** Brings the candidates up to date and returns the pools by service. */
  update (now: number): Map<string, Pool>
  /** Marks the runs of a worker as possibly changed; without a name, those of all workers. */
  markChanged (worker?: string): void
  /** Records that a task was placed on a worker; the next update checks whether the state shows it as assigned there. */
  recordPlaced (worker: string, task: string): void
}

interface CandidateEntry {
  life: WorkerIncarnation
  session: WorkerView
  candidate: PlacementCandidate
  /** Tasks whose capacity is deducted from the candidate. */
  tasks: Set<string>
  isUsable: boolean
  isChanged: boolean
  hasUnassignedRuns: boolean
  /** Slowness of a cold worker when the entry was computed; kept until it is computed again, because each decrease counts as free capacity. */
  coldSlowness: number
  refreshAt: number
}

/** Keeps the remaining capacity of each worker, and recomputes only workers whose runs have changed. */
export function createCandidates (options: CandidateOptions, findTaskStep: (task: string) => TaskStep | undefined): Candidates {
  const { sessions, health, interferenceModel, getState, isCordoned } = options
  const entries = new Map<string, CandidateEntry>()
  const getWallTime = (): number => options.clock?.wall() ?? Infinity

  const isAvailable = (session: WorkerView, life: WorkerIncarnation): boolean =>
    session.reachable && !session.ended && !life.draining && !isZoneEvacuated(getState(), life.availabilityZone) && !isCordoned(session.worker) && !health.isPaused(session.worker)

  const createEntry = (session: WorkerView, record: WorkerRecord, now: number): CandidateEntry => {
    const tasks = Object.keys(record.assigned)
    const candidate = createCandidate(interferenceModel, findTaskStep, record, tasks, session)
    const coldReserve = computeColdReserve(record.life, getWallTime())
    const isCold = coldReserve > 0
    candidate.freeCores -= coldReserve
    candidate.spareCores -= coldReserve
    return {
      life: record.life,
      session,
      candidate,
      tasks: new Set(tasks),
      isUsable: false,
      isChanged: false,
      hasUnassignedRuns: session.strays.size > 0,
      coldSlowness: computeColdSlowness(record.life, getWallTime()),
      refreshAt: now + (isCold ? COLD_REFRESH_MS : MAX_CANDIDATE_AGE_MS)
    }
  }

  /** Returns the entry of a worker, recomputed where needed, and whether the worker can take more than at the last update. */
  const updateEntry = (session: WorkerView, record: WorkerRecord, now: number): { entry: CandidateEntry, isFreed: boolean } => {
    const existing = entries.get(session.worker)
    const entry = existing === undefined || isStale(existing, session, record, now) ? createEntry(session, record, now) : existing
    if (entry !== existing) entries.set(session.worker, entry)
    entry.isChanged = false
    const { candidate } = entry
    const slowness = Math.max(health.getSlowness(session.worker), entry.coldSlowness)
    const isFreed = existing?.isUsable !== true || (existing.candidate.hasOverdueService === true && !session.hasOverdueService) || slowness < existing.candidate.slowness || (entry !== existing && hasMoreCapacity(candidate, existing.candidate))
    candidate.slowness = slowness
    candidate.hasOverdueService = session.hasOverdueService
    candidate.isBusy = options.isBusy?.(session.worker) ?? false
    entry.isUsable = !candidate.isBusy && isAvailable(session, record.life)
    return { entry, isFreed }
  }

  return {
    markChanged: (worker) => {
      if (worker === undefined) entries.clear()
      const entry = worker === undefined ? undefined : entries.get(worker)
      if (entry !== undefined) entry.isChanged = true
    },
    recordPlaced: (worker, task) => {
      const entry = entries.get(worker)
      entry?.tasks.add(task)
      if (entry !== undefined) entry.isChanged = true
    },
    update: (now) => {
      const state = getState()
      const pools = new Map<string, Pool>()
      sessions.forEach((session) => {
        const record = state.workers[session.worker]
        if (record === undefined) return entries.delete(session.worker)
        const { entry, isFreed } = updateEntry(session, record, now)
        if (!entry.isUsable && !(entry.candidate.isBusy === true && isAvailable(session, record.life))) return
        const { service } = record.life
        const pool = pools.get(service) ?? { workers: [], freed: [], busy: [] }
        pools.set(service, pool)
        pool.workers.push(entry.candidate)
        if (isFreed) pool.freed.push(entry.candidate)
        if (entry.candidate.isBusy === true) pool.busy.push(entry.candidate)
      })
      if (entries.size > sessions.size) entries.forEach((_entry, worker) => { if (!sessions.has(worker)) entries.delete(worker) })
      return pools
    }
  }
}

function isStale (entry: CandidateEntry, session: WorkerView, { life, assigned }: WorkerRecord, now: number): boolean {
  return entry.session !== session || entry.life !== life || entry.hasUnassignedRuns || session.strays.size > 0 || now >= entry.refreshAt ||
    (entry.isChanged && !hasSameTasks(entry.tasks, assigned))
}

function hasSameTasks (tasks: ReadonlySet<string>, assigned: WorkerRecord['assigned']): boolean {
  const names = Object.keys(assigned)
  return names.length === tasks.size && names.every((task) => tasks.has(task))
}

function hasMoreCapacity (candidate: PlacementCandidate, previous: PlacementCandidate): boolean {
  return candidate.freeCores > previous.freeCores || candidate.spareCores > previous.spareCores ||
    candidate.freeMemoryMb > previous.freeMemoryMb || candidate.freeAccelerators > previous.freeAccelerators ||
    (candidate.freeRuns ?? 0) > (previous.freeRuns ?? 0)
}

function createCandidate (interferenceModel: InterferenceModel, findTaskStep: (task: string) => TaskStep | undefined, { life, assigned }: WorkerRecord, tasks: readonly string[], session: WorkerView): PlacementCandidate {
  const candidate: PlacementCandidate = {
    id: life.id,
    service: life.service,
    availabilityZone: life.availabilityZone,
    labels: life.labels,
    rack: life.rack,
    cores: life.cores,
    memoryMb: life.memoryMb,
    accelerators: life.accelerators,
    freeCores: life.cores,
    spareCores: life.cores,
    freeMemoryMb: life.memoryMb,
    freeAccelerators: life.accelerators,
    freeRuns: MAX_RUNS_PER_WORKER,
    latencyCritical: [],
    bestEffort: [],
    slowness: 1,
    stepRuns: new Map(),
    isBusy: false,
    freeWithoutShortTasks: { freeCores: life.cores, freeMemoryMb: life.memoryMb, freeAccelerators: life.accelerators }
  }
  const addTaskByName = (task: string): void => {
    const taskStep = findTaskStep(task)
    if (taskStep !== undefined) addRun(candidate, taskStep.step, taskStep.stepName, interferenceModel)
  }
  tasks.forEach(addTaskByName)
  if (session.strays.size === 0) return candidate
  const unassignedTasks = [...session.strays.keys()].map((key) => key.slice(0, key.lastIndexOf('#')))
  unassignedTasks.filter((task) => assigned[task] === undefined).forEach(addTaskByName)
  return candidate
}

/** Formats the name that `getStepName` returns for the tasks of the step. */
export function formatStepName (workflow: string, occurrence: number, step: number): string {
  return getStepName(formatTaskName({ workflow, occurrence, step, index: 0 }))
}

export function addRun (candidate: PlacementCandidate, step: Step, stepName: string, interferenceModel: Pick<InterferenceModel, 'estimateUtilization'>): void {
  addTask(candidate, step, stepName, interferenceModel.estimateUtilization(step.image ?? ''))
  if (step.maxPerWorker !== undefined) candidate.stepRuns.set(stepName, (candidate.stepRuns.get(stepName) ?? 0) + 1)
  const { freeWithoutShortTasks } = candidate
  if (!step.lasting || freeWithoutShortTasks === undefined) return
  if (!step.fills) freeWithoutShortTasks.freeCores -= step.cores
  freeWithoutShortTasks.freeMemoryMb -= step.memoryMb
  freeWithoutShortTasks.freeAccelerators -= step.accelerators
}

/** Finds the step of a task by its name. Called for each run in each poll of a worker, so `parseTaskName`, which would take most of the time of a poll, is avoided. */
export function findStep (state: WorkflowsState, task: string): Step | undefined {
  const indexDot = task.lastIndexOf('.')
  const stepDot = task.lastIndexOf('.', indexDot - 1)
  const occurrenceDot = task.lastIndexOf('.', stepDot - 1)
  if (occurrenceDot <= 0 || stepDot <= occurrenceDot || indexDot <= stepDot) return undefined
  return state.workflows[task.slice(0, occurrenceDot)]?.workflow.steps[Number(task.slice(stepDot + 1, indexDot))]
}

/** Finds the workflow of a step by its name, `WORKFLOW.OCCURRENCE.STEP`. */
export function findRecord ({ workflows }: WorkflowsState, stepName: string): WorkflowRecord | undefined {
  return workflows[stepName.slice(0, stepName.lastIndexOf('.', stepName.lastIndexOf('.') - 1))]
}
