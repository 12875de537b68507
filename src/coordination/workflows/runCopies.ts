import type { Clock, Logger, Metrics } from '../../common/index.js'
import { canRunCopies, findTask, formatTaskKey, isTaskDone, parseTaskName, type Assignment, type EndCause, type WorkflowsState } from '../../state/index.js'
import type { PlacementCandidate, Pool, TaskStep } from './candidates.js'
import { placeOnWorkers, type GroupOptions } from './groups.js'
import { canHold } from './placement.js'
import { computeObjectiveMs, getLateness, getOccurrenceStart, type WaitingGroup } from './plan.js'
import { findWorkKey, getRunProgress, type RunDurations, type WorkKey } from './runDurations.js'
import type { RunView, WorkerView } from './sessionState.js'
import { addOutcome, canCopyWork, countAllowedCopies, createCopyRecord, listStragglers, recordCopy, type CopyRecord, type ObservedRun, type Straggler } from './stragglers.js'
import type { TrackedGroup } from './waiting.js'

/** Interval of the search for stragglers: a fraction of the shortest tasks of the reference sites, 540 ms. */
const CHECK_MS = 50
/** Stragglers that are tried in one check, so that the cost of a pass stays bounded; the others are tried in the next one. */
const MAX_TRIED = 16
/** Work whose outcomes are remembered; beyond it, the work that was copied first is forgotten. */
const MAX_KNOWN_WORK = 500
/** Copies are not placed on workers that are slower than usual by this factor. */
const MAX_SLOWNESS = 1.5

export type CopyOutcome = 'won' | 'lost' | 'failed'

export interface RunCopiesOptions extends GroupOptions {
  clock: Clock
  logger: Logger
  metrics: Metrics
  sessions: ReadonlyMap<string, WorkerView>
  durations: RunDurations
  getState (): WorkflowsState
  /** False while copies are turned off, or a host cannot apply them. */
  isEnabled (): boolean
}

export interface CopySearch {
  pools: ReadonlyMap<string, Pool>
  waiting: readonly TrackedGroup[]
  findTaskStep (task: string): TaskStep | undefined
}

/** The copies of stragglers that the leader has assigned in its term. */
export interface RunCopies {
  /** Chooses copies and deducts their capacity from the candidates; to be called after the waiting tasks have been placed. */
  place (search: CopySearch): Assignment[]
  /** Records the end of a run once it is applied, before the run is removed from its worker's view. */
  recordEnd (worker: string, run: RunView, cause: EndCause): void
}

/** A copy without a recorded end. `isOriginalDone`: the original has succeeded. */
interface OpenCopy { worker: string, attempt: number, workName: string, isOriginalDone: boolean }

/**
 * Places copies of stragglers. Handles some thousand running tasks, of which those of steps with `speculative` are examined;
 * a run of another step takes one lookup.
 */
export function createRunCopies (options: RunCopiesOptions): RunCopies {
  const { clock, logger, metrics, getState, health } = options
  const open = new Map<string, OpenCopy>()
  const records = new Map<string, CopyRecord>()
  /** What stays the same of a run, as it takes long to find by the name of its task. `single`: its step allows no copies. */
  const runTasks = new WeakMap<RunView, RunTask | 'long-running' | 'single'>()
  let checkedAt = -Infinity
  let offset = 0

  const updateRecord = (workName: string, update: (record: CopyRecord) => CopyRecord): void => {
    const record = records.get(workName) ?? createCopyRecord()
    const oldest = records.size >= MAX_KNOWN_WORK && !records.has(workName) ? records.keys().next().value : undefined
    if (oldest !== undefined) records.delete(oldest)
    records.set(workName, update(record))
  }

  const recordOutcome = (task: string, worker: string, attempt: number, outcome: CopyOutcome): void => {
    metrics.count('run.copied', 1, { outcome })
    if (outcome === 'won') logger.info('run.copy-won', { task, attempt, worker })
    const copy = open.get(task)
    if (copy === undefined || copy.attempt !== attempt) return
    open.delete(task)
    if (outcome !== 'failed') updateRecord(copy.workName, (record) => addOutcome(record, outcome === 'won'))
  }

  /** Finds copies that ended without an end of their run: their worker was lost, or their assignment was not committed. */
  const pruneLost = (): void => open.forEach(({ worker, attempt, isOriginalDone }, task) => {
    const copy = findTask(getState(), task)?.copy
    const isCurrent = copy?.attempt === attempt && copy.worker === worker
    // A copy whose original was lost is the only run of its task.
    if (!isCurrent && getState().workers[worker]?.assigned[task] === undefined) recordOutcome(task, worker, attempt, isOriginalDone ? 'lost' : 'failed')
  })

  const observe = ({ findTaskStep }: CopySearch): Map<string, { runs: ObservedRun[], runningTasks: number, copies: number }> => {
    const pools = new Map<string, { runs: ObservedRun[], runningTasks: number, copies: number }>()
    options.sessions.forEach((session) => {
      const service = getState().workers[session.worker]?.life.service
      if (service === undefined || session.runs.size === 0) return
      const pool = pools.get(service) ?? { runs: [], runningTasks: 0, copies: 0 }
      pools.set(service, pool)
      session.runs.forEach((run) => {
        const runTask = runTasks.get(run) ?? findRunTask(getState(), run, findTaskStep)
        if (runTask === undefined) return
        runTasks.set(run, runTask)
        if (runTask === 'long-running') return
        pool.runningTasks += 1
        if (runTask === 'single') return
        const observed = run.isCopy === true ? undefined : observeRun(getState(), session, run, runTask)
        if (run.isCopy === true) pool.copies += 1
        else if (observed !== undefined) pool.runs.push(observed)
      })
    })
    return pools
  }

  const placeCopy = (straggler: Straggler, search: CopySearch, pool: Pool): Assignment[] => {
    const group = createCopyGroup(getState(), straggler.run)
    const workName = formatWorkName(straggler.run)
    if (group === undefined || getLateness(group, clock.wall()) > 1 || !canCopyWork(records.get(workName) ?? createCopyRecord(), clock.now())) return []
    const rivals = search.waiting.filter(({ group: other, progress }) => progress.isBlocked && other.record.service === group.record.service && (other.isResumed === true || other.priority <= group.priority))
    const workers = pool.workers.filter((worker) => worker.id !== straggler.run.worker && worker.isBusy !== true && worker.slowness < MAX_SLOWNESS && !isNeeded(worker, group, rivals))
    offset += 1
    const [assignment] = placeOnWorkers(options, group, { pool: pool.workers, workers, getCompetingDemand: () => 0, isStarved: false, offset })
    if (assignment === undefined) return []
    const [task, worker, attempt] = assignment
    open.set(task, { worker, attempt, workName, isOriginalDone: false })
    updateRecord(workName, (record) => recordCopy(record, clock.now()))
    const original = options.sessions.get(straggler.run.worker)?.runs.get(task)
    if (original !== undefined) original.isLongTask = straggler.cause === 'long-task'
    logger.info('run.copy', { task, attempt, worker, original: straggler.run.worker, cause: straggler.cause, ageMs: Math.round(clock.now() - straggler.run.progress.startedAt), remainingMs: Math.round(straggler.remainingMs), copyMs: Math.round(straggler.copyMs) })
    return [assignment]
  }

  return {
    place: (search) => {
      if (clock.now() - checkedAt < CHECK_MS) return []
      checkedAt = clock.now()
      pruneLost()
      if (!options.isEnabled()) return []
      return [...observe(search)].flatMap(([service, { runs, runningTasks, copies }]) => {
        const pool = search.pools.get(service)
        const allowed = countAllowedCopies(runningTasks, copies)
        if (pool === undefined || runs.length === 0 || allowed <= 0) return []
        return listStragglers(runs, options.durations, health.getSlowness, clock.now()).slice(0, Math.min(MAX_TRIED, allowed)).flatMap((straggler) => placeCopy(straggler, search, pool))
      })
    },
    recordEnd: (worker, { task, attempt, isCopy }, cause) => {
      const copy = open.get(task)
      if (isCopy !== true) {
        if (copy !== undefined && cause === 'succeeded') copy.isOriginalDone = true
        return
      }
      const isOriginalDone = copy?.isOriginalDone === true || (cause !== 'succeeded' && !isTaskOpen(getState(), task))
      recordOutcome(task, worker, attempt, isOriginalDone ? 'lost' : cause === 'succeeded' ? 'won' : 'failed')
    }
  }
}

function isTaskOpen (state: WorkflowsState, task: string): boolean {
  const name = parseTaskName(task)
  const record = state.workflows[name?.workflow ?? '']
  return name !== undefined && record !== undefined && record.outcome === undefined && !isTaskDone(record, name)
}

interface RunTask extends TaskStep { workflow: string, taskKey: string, work: WorkKey }

function findRunTask (state: WorkflowsState, { task }: RunView, findTaskStep: CopySearch['findTaskStep']): RunTask | 'long-running' | 'single' | undefined {
  const taskStep = findTaskStep(task)
  if (taskStep === undefined) return undefined
  if (taskStep.step.lasting) return 'long-running'
  if (!canRunCopies(taskStep.step)) return 'single'
  const name = parseTaskName(task)
  const work = findWorkKey(state, task)
  return name === undefined || work === undefined ? undefined : { ...taskStep, workflow: name.workflow, taskKey: formatTaskKey(name), work }
}

function observeRun (state: WorkflowsState, session: WorkerView, run: RunView, { step, stepName, workflow, taskKey, work }: RunTask): ObservedRun | undefined {
  const record = state.workflows[workflow]
  const known = record?.tasks[taskKey]
  if (record === undefined || known === undefined || run.startedAt === undefined) return undefined
  // The failure of a copy must not be the one that ends the workflow.
  const canAffordFailure = known.failures + 1 < record.maxAttempts
  const progress = getRunProgress(run)
  return {
    task: run.task,
    worker: session.worker,
    stepName,
    work,
    estimateMs: step.expectedRunMs,
    // The percentage is of the worker's last reading, and its report arrives up to 300 ms later.
    progress: { ...progress, progressAt: Math.max(progress.startedAt, session.readAt) },
    isEligible: canAffordFailure && run.stopReason === undefined && known.copy === undefined && !known.succeeded
  }
}

/** The group of one task that is placed as a copy. */
function createCopyGroup (state: WorkflowsState, { task }: ObservedRun): WaitingGroup | undefined {
  const name = parseTaskName(task)
  const record = state.workflows[name?.workflow ?? '']
  const step = name === undefined ? undefined : record?.workflow.steps[name.step]
  if (name === undefined || record === undefined || step === undefined || record.outcome !== undefined) return undefined
  const queue = state.catalog?.queues.find((candidate) => candidate.name === record.queue)
  return {
    record,
    occurrence: name.occurrence,
    stepNumber: name.step,
    step,
    indexes: [name.index],
    runningTasks: 1,
    priority: queue?.priority ?? 0,
    dueAt: getOccurrenceStart(record, name.occurrence) + computeObjectiveMs(queue, record.workflow.steps),
    advice: queue === undefined ? record.advice : queue.advice
  }
}

/** True if a waiting group may need the capacity that the copy would take: the worker could hold a task of it if it were empty, but not beside the copy now. */
function isNeeded (worker: PlacementCandidate, { step }: WaitingGroup, rivals: readonly TrackedGroup[]): boolean {
  const beside = { ...worker, freeCores: worker.freeCores - (step.fills ? 0 : step.cores), spareCores: worker.spareCores - step.cores, freeMemoryMb: worker.freeMemoryMb - step.memoryMb, freeAccelerators: worker.freeAccelerators - step.accelerators }
  const empty = { ...worker, freeCores: worker.cores, spareCores: worker.cores, freeMemoryMb: worker.memoryMb, freeAccelerators: worker.accelerators }
  return rivals.some(({ group: rival }) => {
    const needs = { step: rival.step, countStepRuns: () => 0 }
    return canHold(empty, needs) && !canHold(beside, needs)
  })
}

function formatWorkName ({ work: { queue, image, step } }: ObservedRun): string {
  return `${queue}\n${image ?? ''}\n${step}`
}
