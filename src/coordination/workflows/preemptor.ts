import type { Clock, Logger, Metrics } from '../../common/index.js'
import { parseTaskName, type Queue, type Step, type WorkflowRecord, type WorkflowsState } from '../../state/index.js'
import { findStep, type Pool } from './candidates.js'
import { MIN_STOP_MARGIN_MS } from './evacuation.js'
import { estimateTailMs, getLateness } from './plan.js'
import type { Candidate } from './placement.js'
import { canHelp, choosePreempted, type PreemptibleRun, type PreemptionNeed } from './preemption.js'
import { computeOpenWork } from './roomForecast.js'
import { findWorkKey, getRunProgress, type RunDurations } from './runDurations.js'
import type { RunView, WorkerView } from './sessionState.js'
import type { TrackedGroup } from './waiting.js'

/** Interval of the check; a fraction of the slack of the shortest work, about 700 ms on the reference sites. */
const CHECK_MS = 50
/** A task that was preempted is not preempted again for this long. */
const REPEAT_MS = 5000
/** Most groups that are considered in one check; the others wait for the next. */
const MAX_CHECKED_GROUPS = 8
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
  let checkedAt = -Infinity

  /** Lists the runs on a worker that may be stopped, and the steps of the others that free their capacity in time. */
  const listRuns = (worker: string, { startWithinMs }: PreemptionNeed, isPreemptible: (record: WorkflowRecord, step: Step) => boolean, isWorthless: (record: WorkflowRecord) => boolean): { runs: PreemptibleRun[], ending: Step[] } => {
    const runs: PreemptibleRun[] = []
    const ending: Step[] = []
    sessions.get(worker)?.runs.forEach((run) => {
      const step = findStep(getState(), run.task)
      const record = getState().workflows[parseTaskName(run.task)?.workflow ?? '']
      if (step === undefined || record === undefined) return
      const loss = estimateLoss(options, run, step)
      if (run.stopReason !== undefined) ending.push(step)
      else if (isPreemptible(record, step) && !pausedUntil.has(run.task)) runs.push({ task: run.task, worker, step, isWorthless: isWorthless(record), ...loss })
      else if (!step.lasting && loss.endsInMs <= startWithinMs) ending.push(step)
    })
    return { runs, ending }
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
      if (clock.now() - checkedAt < CHECK_MS) return
      checkedAt = clock.now()
      pausedUntil.forEach((until, task) => { if (until <= clock.now()) pausedUntil.delete(task) })
      const blocked = trackedGroups.filter(({ group, progress }) => progress.isBlocked && group.priority === URGENT_PRIORITY && getLateness(group, wallTime) === 0)
      const queues = new Map(blocked.length === 0 ? [] : getState().catalog?.queues.map((queue) => [queue.name, queue]))
      const isWorthless = createWorthlessCheck(queues, wallTime)
      const isPreemptible = ({ queue }: WorkflowRecord, { fills, lasting, gang }: Step): boolean => fills && !lasting && !gang && (queues.get(queue)?.priority ?? URGENT_PRIORITY) > URGENT_PRIORITY
      blocked.sort((a, b) => a.group.dueAt - b.group.dueAt).slice(0, MAX_CHECKED_GROUPS).forEach((tracked) => {
        const need = createNeed(tracked, wallTime)
        const workers = pools.get(tracked.group.record.service)?.workers ?? []
        // Most groups wait for cores that best-effort runs do not hold; for these the runs are not listed.
        if (need.startWithinMs < MIN_STOP_MARGIN_MS || !workers.some((candidate) => canHelp(need, candidate))) return
        const described = workers.map((candidate) => ({ candidate, ...listRuns(candidate.id, need, isPreemptible, isWorthless) }))
        choosePreempted(need, described, settings.restoreMs).forEach((run) => stop(run, tracked))
      })
    }
  }
}

/** The tasks have to start before their slack is used up. A long-running task has no slack, so it waits only for what ends sooner than a stop would help. */
function createNeed ({ stepName, group }: TrackedGroup, wallTime: number): PreemptionNeed {
  const { step, stepNumber, dueAt, indexes, record } = group
  const slackMs = dueAt - wallTime - estimateTailMs(record.workflow.steps, stepNumber)
  return { step, count: indexes.length, startWithinMs: step.lasting ? MIN_STOP_MARGIN_MS : slackMs, countStepRuns: (_worker: string, { stepRuns }: Candidate) => stepRuns?.get(stepName) ?? 0 }
}

function estimateLoss ({ clock, settings, runDurations, getState }: PreemptorOptions, run: RunView, step: Step): Pick<PreemptibleRun, 'unsavedMs' | 'endsInMs'> {
  const now = clock.now()
  const elapsedMs = run.confirmedAt === undefined ? 0 : now - run.confirmedAt
  const work = findWorkKey(getState(), run.task)
  return {
    unsavedMs: step.checkpoints ? elapsedMs % settings.checkpointMs : elapsedMs,
    endsInMs: work === undefined ? Infinity : runDurations.forecastEnd(work, step.expectedRunMs, getRunProgress(run), now).expectedAt - now
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
