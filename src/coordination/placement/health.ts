import { createFigure, createReason } from './reasons.js'
import type { TaskRecord, WorkerRecord } from './records.js'
import { getClassKey } from './sizes.js'
import type { PlacementState } from './state.js'
import type { Decision, Observation } from './types.js'

type TaskResult = Extract<Observation, { kind: 'task-ended' }>['result']

/** Blame at which a healthy worker is quarantined; see `computeBlame`. */
const MIN_BLAME_FOR_QUARANTINE = 2
const MIN_FAILURES_FOR_QUARANTINE = 3
/**
 * Limit on the blame for the failures of one unproven class. A class is unproven while it has fewer than 5 recent successes, tasks
 * that have run for long included, or a success rate of at most 0.8 with its failures on other workers. The limit is below
 * `MIN_BLAME_FOR_QUARANTINE`, so that one such class alone never quarantines a healthy worker.
 */
const MAX_BLAME_OF_UNPROVEN_CLASS = 1.5
const INITIAL_QUARANTINE_MS = 30_000
const MAX_QUARANTINE_MS = 600_000
/** Successful tasks after which a returning worker is healthy again; each success doubles the number of tasks that it may hold. */
const SUCCESSES_TO_RETURN = 4
const FLAPPING_LOSSES = 3
const FLAPPING_WINDOW_MS = 600_000
const MIN_FAILURES_OF_FAILING_CLASS = 4
const MIN_WORKERS_OF_FAILING_CLASS = 3
const INITIAL_TRIAL_BACKOFF_MS = 30_000
const MAX_TRIAL_BACKOFF_MS = 600_000
/** Each result of a class scales the counts of its earlier results by 1 - 1 / `RESULT_DECAY_COUNT`; this many newer results reduce them to 36%. */
const RESULT_DECAY_COUNT = 50
/** A task that has run this many times as long as a typical failure of its class counts as a success of the class. */
const LONG_RUN_FACTOR = 3

export interface ClassHealth {
  successes: number
  failures: number
  /** Failures by worker since the class last succeeded anywhere. */
  failedOn: Map<string, number>
  /** A failing class starts no task before this time. */
  nextTrialAt: number
  /** Failures since the class was found failing; the exponent of the backoff. */
  trials: number
  /** Smoothed time from a start to a failure, ms; 0 before the first failure. */
  failureMs: number
  /** Running tasks that have run much longer than `failureMs`, on workers that are not in `failedOn`. */
  longRunningTasks: number
}

export function createClassHealth (): ClassHealth {
  return { successes: 0, failures: 0, failedOn: new Map(), nextTrialAt: 0, trials: 0, failureMs: 0, longRunningTasks: 0 }
}

/** Counts a success or a failure for the health of the class and of the worker. Other results say nothing about either. */
export function recordResult (state: PlacementState, record: TaskRecord, worker: WorkerRecord, result: TaskResult, now: number): void {
  if (result !== 'succeeded' && result !== 'failed') return
  const key = getClassKey(record.task)
  const classHealth = state.classHealth.get(key) ?? createClassHealth()
  state.classHealth.set(key, classHealth)
  classHealth.successes *= 1 - 1 / RESULT_DECAY_COUNT
  classHealth.failures *= 1 - 1 / RESULT_DECAY_COUNT
  const { health } = worker
  if (result === 'succeeded') {
    classHealth.successes += 1
    classHealth.failedOn.clear()
    classHealth.trials = 0
    health.failures.clear()
    recordRecovery(worker, record)
    return
  }
  classHealth.failures += 1
  classHealth.failureMs = classHealth.failureMs === 0 ? now - record.startedAt : classHealth.failureMs + 0.2 * (now - record.startedAt - classHealth.failureMs)
  classHealth.failedOn.set(worker.id, (classHealth.failedOn.get(worker.id) ?? 0) + 1)
  updateLongRunningTasks(state, key, classHealth, now)
  if (isClassFailing(state, key)) {
    classHealth.nextTrialAt = now + Math.min(MAX_TRIAL_BACKOFF_MS, INITIAL_TRIAL_BACKOFF_MS * 2 ** classHealth.trials)
    classHealth.trials += 1
  }
  health.lastFailureAt = now
  health.failures.set(key, (health.failures.get(key) ?? 0) + 1)
  state.workersToCheck.add(worker)
}

/** Counts a success of a worker that is probed or returning, if the task started after the quarantine. */
function recordRecovery (worker: WorkerRecord, record: TaskRecord): void {
  const { health } = worker
  if (record.startedAt < health.since || health.state === 'healthy' || health.state === 'quarantined') return
  health.successes += 1
  health.state = health.successes >= SUCCESSES_TO_RETURN ? 'healthy' : 'returning'
  if (health.state === 'healthy') health.quarantines = Math.max(0, health.quarantines - 1)
}

/** Notes that a worker that was up has been lost; several losses within the window are flapping. */
export function recordLoss (worker: WorkerRecord, now: number): void {
  if (!worker.up) return
  worker.health.losses = [...worker.health.losses.filter((at) => now - at < FLAPPING_WINDOW_MS), now]
}

/**
 * Quarantines workers that flap (are lost repeatedly) or that fail tasks of classes which succeed on other workers.
 * When its quarantine is over, a worker is probed with one task.
 */
export function planHealth (state: PlacementState, now: number): Decision[] {
  const decisions: Decision[] = []
  state.workersToCheck.forEach((worker) => {
    const flapping = worker.health.losses.filter((at) => now - at < FLAPPING_WINDOW_MS).length >= FLAPPING_LOSSES
    const { state: health, deadline } = worker.health
    if (health === 'quarantined') {
      if (now >= deadline && worker.up) decisions.push(startProbe(state, worker, now))
      return
    }
    const { blame, failures } = computeBlame(state, worker, now)
    const limit = health === 'healthy' ? MIN_FAILURES_FOR_QUARANTINE : 1
    if (failures >= limit && blame >= (health === 'healthy' ? MIN_BLAME_FOR_QUARANTINE : 0.4)) {
      decisions.push(startQuarantine(state, worker, now, 'fails tasks of classes that succeed elsewhere', [
        createFigure('failures since its last success', failures, 'tasks'), createFigure('blame', blame, '')
      ]))
    } else if (flapping) {
      const losses = createFigure('losses', worker.health.losses.length, '', now - (worker.health.losses.at(-1) ?? now))
      decisions.push(startQuarantine(state, worker, now, `was lost ${FLAPPING_LOSSES} times within ${FLAPPING_WINDOW_MS / 60_000} min`, [losses]))
    } else if (health === 'healthy' && failures === 0 && worker.health.losses.length === 0) {
      state.workersToCheck.delete(worker)
    }
  })
  return decisions
}

function startQuarantine (state: PlacementState, worker: WorkerRecord, now: number, summary: string, figures: ReturnType<typeof createFigure>[]): Decision {
  const { health } = worker
  const length = Math.min(MAX_QUARANTINE_MS, INITIAL_QUARANTINE_MS * 2 ** health.quarantines)
  Object.assign(health, { state: 'quarantined', deadline: now + length, quarantines: health.quarantines + 1, successes: 0, losses: [], since: now })
  health.failures.clear()
  if (worker.reservedFor !== undefined) worker.reservedFor = undefined
  return { kind: 'quarantine', worker: worker.id, reason: createReason(state, summary, [...figures, createFigure('quarantine', length, 'ms')]) }
}

function startProbe (state: PlacementState, worker: WorkerRecord, now: number): Decision {
  Object.assign(worker.health, { state: 'probing', since: now, successes: 0 })
  return { kind: 'probe', worker: worker.id, reason: createReason(state, 'its quarantine is over; it receives one task', [createFigure('quarantines', worker.health.quarantines, '')]) }
}

/**
 * Blame is the number of failures on a worker, each weighted by the success rate of its class on other workers,
 * so that a class that fails on every worker does not count against them.
 */
function computeBlame (state: PlacementState, worker: WorkerRecord, now: number): { blame: number, failures: number } {
  let blame = 0
  let failures = 0
  worker.health.failures.forEach((count, key) => {
    const classHealth = state.classHealth.get(key) ?? createClassHealth()
    updateLongRunningTasks(state, key, classHealth, now)
    const failuresElsewhere = Math.max(0, classHealth.failures - count)
    const successes = classHealth.successes + classHealth.longRunningTasks
    const successRate = (successes + 1) / (successes + failuresElsewhere + 2)
    const isProven = successes >= 5 && successRate > 0.8
    blame += isProven ? count * successRate : Math.min(MAX_BLAME_OF_UNPROVEN_CLASS, count * successRate)
    failures += count
  })
  return { blame, failures }
}

/** True when tasks of the class have failed on several workers, with no success since, and none of its tasks runs long. */
function isClassFailing (state: PlacementState, key: string): boolean {
  const classHealth = state.classHealth.get(key)
  return classHealth !== undefined && classHealth.longRunningTasks === 0 && classHealth.failedOn.size >= MIN_WORKERS_OF_FAILING_CLASS &&
    [...classHealth.failedOn.values()].reduce((sum, count) => sum + count, 0) >= MIN_FAILURES_OF_FAILING_CLASS
}

/** Counts tasks that run much longer than a typical failure takes: evidence that the class works, available before its first success. */
function updateLongRunningTasks (state: PlacementState, key: string, classHealth: ClassHealth, now: number): void {
  classHealth.longRunningTasks = 0
  state.tasks.forEach((record) => {
    if (record.worker === undefined || record.state !== 'running' || classHealth.failedOn.has(record.worker.id)) return
    if (now - record.startedAt > LONG_RUN_FACTOR * classHealth.failureMs && getClassKey(record.task) === key) classHealth.longRunningTasks += 1
  })
}

/** Why a task may not start because its class fails on every worker. Such a class gets single trials with exponential backoff. */
export function findClassBackoff (state: PlacementState, record: TaskRecord, now: number): string | undefined {
  const key = getClassKey(record.task)
  const classHealth = state.classHealth.get(key)
  if (classHealth === undefined || now >= classHealth.nextTrialAt || !isClassFailing(state, key)) return undefined
  return `class ${record.task.jobClass} fails on every worker; next trial later`
}

/** Postpones the next trial when a trial starts, because its result is not known yet. */
export function recordTrial (state: PlacementState, record: TaskRecord, now: number): void {
  const key = getClassKey(record.task)
  const classHealth = state.classHealth.get(key)
  if (classHealth !== undefined && isClassFailing(state, key)) classHealth.nextTrialAt = now + INITIAL_TRIAL_BACKOFF_MS
}

/**
 * Why the health of the worker keeps it from taking this task now. A worker back from quarantine takes only idempotent
 * batch tasks: one as a probe, and twice as many after each success. A healthy worker whose last task failed takes
 * further tasks only while fewer than two of its tasks lack a usage report.
 */
export function findHealthRejection (worker: WorkerRecord, record: TaskRecord): string | undefined {
  const { health } = worker
  if (health.state === 'healthy') {
    return health.failures.size > 0 && countUnreportedTasks(worker) >= 2 ? 'it has failed its last tasks' : undefined
  }
  if (health.state === 'quarantined') return 'quarantined'
  if (record.task.service !== undefined || record.task.urgent || !record.task.idempotent) return 'returns from quarantine'
  const allowed = health.state === 'probing' ? 1 : 2 ** health.successes
  const heldTasks = [...worker.tasks].filter(({ startedAt }) => startedAt >= health.since).length
  return heldTasks >= allowed ? 'returns from quarantine' : undefined
}

/** Batch and urgent tasks on the worker without a usage report. */
function countUnreportedTasks (worker: WorkerRecord): number {
  let count = 0
  worker.tasks.forEach(({ reports, task }) => { if (reports === 0 && task.service === undefined) count += 1 })
  return count
}
