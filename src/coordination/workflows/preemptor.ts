import type { Clock, Logger, Metrics } from '../../common/index.js'
import type { Queue, Step, WorkflowRecord, WorkflowsState } from '../../state/index.js'
import { createTaskStepIndex, findRecord, type PlacementCandidate, type Pool } from './candidates.js'
import { MIN_STOP_MARGIN_MS } from './evacuation.js'
import { estimateTailMs, getLateness } from './plan.js'
import { countHeld, type Candidate } from './placement.js'
import { canHelp, choosePreempted, type PreemptibleRun, type PreemptionNeed } from './preemption.js'
import { computeOpenWork } from './roomForecast.js'
import { getRunProgress, type RunDurations, type WorkKey } from './runDurations.js'
import type { RunView, WorkerView } from './sessionState.js'
import type { TrackedGroup } from './waiting.js'

/** Interval of the check; a fraction of the slack of the shortest work, about 700 ms on the reference sites. */
const CHECK_MS = 50
/** A task that was preempted is not preempted again for this long. */
const REPEAT_MS = 5000
/** Most groups that are considered in one check; the others wait for the next. */
const MAX_CHECKED_GROUPS = 4
/** Most workers whose runs are considered for a group. */
const MAX_CHECKED_WORKERS = 32
/** A group for which nothing was stopped is considered again after this long. */
const GROUP_RETRY_MS = 200
/** After a check this many times its own duration passes, so that checks take at most a twentieth of the thread. */
const REST_FACTOR = 20
/** Only tasks of this priority may displace others. */
const URGENT_PRIORITY = 0

export interface PreemptorOptions {
  clock: Clock
  logger: Logger
  metrics: Metrics
  settings: { checkpointMs: number, restoreMs: number }
  sessions: ReadonlyMap<string, WorkerView>
  runDurations: Pick<RunDurations, 'forecastEnd'>
  getState (): WorkflowsState
  stopRun (session: WorkerView, run: RunView, reason: string): void
}

export interface Preemptor {
  /** Stops best-effort runs for urgent groups that could not be placed. */
  run (trackedGroups: readonly TrackedGroup[], pools: ReadonlyMap<string, Pool>, wallTime: number): void
}

/** Carries out the decisions of `choosePreempted`, and remembers which tasks were stopped. A new leader does not know them. */
export function createPreemptor (options: PreemptorOptions): Preemptor {
  const { clock, logger, metrics, settings, sessions, getState, stopRun } = options
  const pausedUntil = new Map<string, number>()
  const groupRetryAt = new Map<string, number>()
  const findTaskStep = createTaskStepIndex(getState)
  let nextCheckAt = -Infinity
  /** Position at which the next sample of workers begins. */
  let offset = 0

  /** Lists the runs on a worker, of which those that `isPreemptible` accepts may be stopped. */
  const listRuns = (worker: string, { startWithinMs }: PreemptionNeed, isPreemptible: (record: WorkflowRecord, step: Step) => boolean, isWorthless: (record: WorkflowRecord) => boolean): { runs: PreemptibleRun[], ending: Step[] } => {
    const runs: PreemptibleRun[] = []
    const ending: Step[] = []
    sessions.get(worker)?.runs.forEach((run) => {
      const taskStep = findTaskStep(run.task)
      const record = taskStep === undefined ? undefined : findRecord(getState(), taskStep.stepName)
      if (taskStep === undefined || record === undefined) return
      const { step, stepName } = taskStep
      if (run.stopReason !== undefined) return ending.push(step)
      if (step.lasting) return
      const loss = estimateLoss(options, run, step, { queue: record.queue, image: step.image, step: Number(stepName.slice(stepName.lastIndexOf('.') + 1)) })
      if (isPreemptible(record, step) && !pausedUntil.has(run.task)) runs.push({ task: run.task, worker, step, isWorthless: isWorthless(record), ...loss })
      else if (loss.endsInMs <= startWithinMs) ending.push(step)
    })
    return { runs, ending }
  }

  /** The workers of a pool that a group is checked on, with the number of its tasks that the others can hold already. */
  const selectWorkers = (need: PreemptionNeed, pool: Pool | undefined): { workers: PlacementCandidate[], sampledShare: number, held: number } => {
    const all = pool?.workers ?? []
    const held = all.reduce((sum, worker) => sum + countHeld(worker, need, need.count), 0)
    const able = all.filter((worker) => canHelp(need, worker))
    const start = offset % Math.max(1, able.length)
    offset += MAX_CHECKED_WORKERS
    const workers = [...able.slice(start), ...able.slice(0, start)].slice(0, MAX_CHECKED_WORKERS)
    return { workers, sampledShare: workers.length / Math.max(1, able.length), held }
  }

  const stop = ({ task, worker, unsavedMs, isWorthless }: PreemptibleRun, { stepName, group }: TrackedGroup): void => {
    const session = sessions.get(worker)
    const run = session?.runs.get(task)
    if (session === undefined || run === undefined) return
    pausedUntil.set(task, clock.now() + REPEAT_MS)
    metrics.count('run.preempted', 1, { queue: group.record.queue })
    logger.info('run.preempt', { task, attempt: run.attempt, worker, for: stepName, unsavedMs: Math.round(unsavedMs), worthless: isWorthless })
    stopRun(session, run, 'preempted')
  }

  return {
    run: (trackedGroups, pools, wallTime) => {
      const now = clock.now()
      if (now < nextCheckAt) return
      ;[pausedUntil, groupRetryAt].forEach((times) => times.forEach((at, key) => { if (at <= now) times.delete(key) }))
      const blocked = trackedGroups.filter(({ group, progress, stepName }) => progress.isBlocked && group.priority === URGENT_PRIORITY && !groupRetryAt.has(stepName) && getLateness(group, wallTime) === 0)
      const queues = new Map(blocked.length === 0 ? [] : getState().catalog?.queues.map((queue) => [queue.name, queue]))
      const isWorthless = createWorthlessCheck(queues, wallTime)
      const isPreemptible = ({ queue }: WorkflowRecord, { fills, gang }: Step): boolean => fills && !gang && (queues.get(queue)?.priority ?? URGENT_PRIORITY) > URGENT_PRIORITY
      blocked.sort((a, b) => a.group.dueAt - b.group.dueAt).slice(0, MAX_CHECKED_GROUPS).forEach((tracked) => {
        groupRetryAt.set(tracked.stepName, now + GROUP_RETRY_MS)
        const need = createNeed(tracked, wallTime)
        const { workers, sampledShare, held } = selectWorkers(need, pools.get(tracked.group.record.service))
        if (need.startWithinMs < MIN_STOP_MARGIN_MS || workers.length === 0 || held >= need.count) return
        const described = workers.map((candidate) => ({ candidate, ...listRuns(candidate.id, need, isPreemptible, isWorthless) }))
        choosePreempted({ ...need, sampledShare, count: need.count - held }, described, settings.restoreMs).forEach((run) => stop(run, tracked))
      })
      nextCheckAt = now + Math.max(CHECK_MS, REST_FACTOR * (clock.now() - now))
    }
  }
}

/** The tasks have to start before their slack is used up. A long-running task has no slack, so it waits only for what ends sooner than a stop would help. */
function createNeed ({ stepName, group }: TrackedGroup, wallTime: number): PreemptionNeed {
  const { step, stepNumber, dueAt, indexes, record } = group
  const slackMs = dueAt - wallTime - estimateTailMs(record.workflow.steps, stepNumber)
  return { step, count: indexes.length, sampledShare: 1, startWithinMs: step.lasting ? MIN_STOP_MARGIN_MS : slackMs, countStepRuns: (_worker: string, { stepRuns }: Candidate) => stepRuns?.get(stepName) ?? 0 }
}

function estimateLoss ({ clock, settings, runDurations }: PreemptorOptions, run: RunView, step: Step, work: WorkKey): Pick<PreemptibleRun, 'unsavedMs' | 'endsInMs'> {
  const now = clock.now()
  const elapsedMs = run.confirmedAt === undefined ? 0 : now - run.confirmedAt
  return {
    unsavedMs: step.checkpoints ? elapsedMs % settings.checkpointMs : elapsedMs,
    endsInMs: runDurations.forecastEnd(work, step.expectedRunMs, getRunProgress(run), now).expectedAt - now
  }
}

/** Checks each workflow once, although many runs belong to it. */
function createWorthlessCheck (queues: ReadonlyMap<string, Queue>, wallTime: number): (record: WorkflowRecord) => boolean {
  const known = new Map<WorkflowRecord, boolean>()
  return (record) => {
    const value = known.get(record) ?? (record.workflow.recurrence === undefined && computeOpenWork(record, queues.get(record.queue), wallTime) === undefined)
    known.set(record, value)
    return value
  }
}
