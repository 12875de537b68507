import { createFigure, createReason } from './reasons.js'
import type { TaskRecord, WorkerRecord } from './records.js'
import { getClassKey } from './sizes.js'
import type { PlacementState } from './state.js'
import type { Decision, Observation } from './types.js'

type End = Extract<Observation, { kind: 'task-ended' }>['result']

/** Blame, in failures of classes that succeed elsewhere, at which a worker is quarantined. */
const BLAME_LIMIT = 2
const FAILURES_BEFORE_QUARANTINE = 3
/** One class of doubtful health never suffices to quarantine a worker. */
const BLAME_OF_DOUBTFUL_CLASS = 1.5
const FIRST_QUARANTINE_MS = 30_000
const LONGEST_QUARANTINE_MS = 600_000
/** Successes in a row until a returning worker has its full capacity; the tasks it may hold double with each. */
const SUCCESSES_TO_RETURN = 4
const LOSSES_OF_FLAPPING = 3
const FLAPPING_WINDOW_MS = 600_000
const FAILURES_OF_BROKEN_CLASS = 4
const WORKERS_OF_BROKEN_CLASS = 3
const FIRST_TRIAL_MS = 30_000
const LONGEST_TRIAL_MS = 600_000
/** Failures count half after this many newer results of the class. */
const RESULTS_REMEMBERED = 50
/** A task has outlived a failure when it has run for this many times as long. */
const SURVIVAL_FACTOR = 3

export interface ClassHealth {
  successes: number
  failures: number
  /** Failures by worker since the class last succeeded anywhere. */
  failedOn: Map<string, number>
  nextTrial: number
  trials: number
  /** Smoothed time from a start to a failure. */
  failureMs: number
  /** Running tasks that have outlived such a failure, on workers not counted in `failedOn`. */
  survivors: number
}

export function createClassHealth (): ClassHealth {
  return { successes: 0, failures: 0, failedOn: new Map(), nextTrial: 0, trials: 0, failureMs: 0, survivors: 0 }
}

export function recordResult (state: PlacementState, record: TaskRecord, worker: WorkerRecord, result: End, now: number): void {
  if (result !== 'succeeded' && result !== 'failed') return
  const key = getClassKey(record.task)
  const known = state.classHealth.get(key) ?? createClassHealth()
  state.classHealth.set(key, known)
  known.successes *= 1 - 1 / RESULTS_REMEMBERED
  known.failures *= 1 - 1 / RESULTS_REMEMBERED
  const { health } = worker
  if (result === 'succeeded') {
    known.successes += 1
    known.failedOn.clear()
    known.trials = 0
    health.failures.clear()
    recordRecovery(worker, record)
    return
  }
  known.failures += 1
  known.failureMs = known.failureMs === 0 ? now - record.startedAt : known.failureMs + 0.2 * (now - record.startedAt - known.failureMs)
  known.failedOn.set(worker.id, (known.failedOn.get(worker.id) ?? 0) + 1)
  updateSurvivors(state, key, known, now)
  if (isClassBroken(state, key)) {
    known.nextTrial = now + Math.min(LONGEST_TRIAL_MS, FIRST_TRIAL_MS * 2 ** known.trials)
    known.trials += 1
  }
  health.lastFailureAt = now
  health.failures.set(key, (health.failures.get(key) ?? 0) + 1)
  state.suspects.add(worker)
}

function recordRecovery (worker: WorkerRecord, record: TaskRecord): void {
  const { health } = worker
  if (record.startedAt < health.since || health.state === 'healthy' || health.state === 'quarantined') return
  health.successes += 1
  health.state = health.successes >= SUCCESSES_TO_RETURN ? 'healthy' : 'returning'
  if (health.state === 'healthy') health.quarantines = Math.max(0, health.quarantines - 1)
}

export function recordLoss (worker: WorkerRecord, now: number): void {
  if (!worker.up) return
  worker.health.losses = [...worker.health.losses.filter((at) => now - at < FLAPPING_WINDOW_MS), now]
}

/** Quarantines workers that fail what succeeds elsewhere or that flap, and probes them when their time is over. */
export function planHealth (state: PlacementState, now: number): Decision[] {
  const decisions: Decision[] = []
  state.suspects.forEach((worker) => {
    const flapping = worker.health.losses.filter((at) => now - at < FLAPPING_WINDOW_MS).length >= LOSSES_OF_FLAPPING
    const { state: health, deadline } = worker.health
    if (health === 'quarantined') {
      if (now >= deadline && worker.up) decisions.push(startProbe(state, worker, now))
      return
    }
    const { blame, failures } = computeBlame(state, worker, now)
    const limit = health === 'healthy' ? FAILURES_BEFORE_QUARANTINE : 1
    if (failures >= limit && blame >= (health === 'healthy' ? BLAME_LIMIT : 0.4)) {
      decisions.push(startQuarantine(state, worker, now, 'fails tasks of classes that succeed elsewhere', [
        createFigure('failures since its last success', failures, 'tasks'), createFigure('blame', blame, '')
      ]))
    } else if (flapping) {
      const losses = createFigure('losses', worker.health.losses.length, '', now - (worker.health.losses.at(-1) ?? now))
      decisions.push(startQuarantine(state, worker, now, `was lost ${LOSSES_OF_FLAPPING} times within ${FLAPPING_WINDOW_MS / 60_000} min`, [losses]))
    } else if (health === 'healthy' && failures === 0 && worker.health.losses.length === 0) {
      state.suspects.delete(worker)
    }
  })
  return decisions
}

function startQuarantine (state: PlacementState, worker: WorkerRecord, now: number, summary: string, figures: ReturnType<typeof createFigure>[]): Decision {
  const { health } = worker
  const length = Math.min(LONGEST_QUARANTINE_MS, FIRST_QUARANTINE_MS * 2 ** health.quarantines)
  Object.assign(health, { state: 'quarantined', deadline: now + length, quarantines: health.quarantines + 1, successes: 0, losses: [], since: now })
  health.failures.clear()
  if (worker.reservedFor !== undefined) worker.reservedFor = undefined
  return { kind: 'quarantine', worker: worker.id, reason: createReason(state, summary, [...figures, createFigure('quarantine', length, 'ms')]) }
}

function startProbe (state: PlacementState, worker: WorkerRecord, now: number): Decision {
  Object.assign(worker.health, { state: 'probing', since: now, successes: 0 })
  return { kind: 'probe', worker: worker.id, reason: createReason(state, 'its quarantine is over; it receives one task', [createFigure('quarantines', worker.health.quarantines, '')]) }
}

/** Sums failures by the success of their classes on other workers, so that a broken class does not blame its workers. */
function computeBlame (state: PlacementState, worker: WorkerRecord, now: number): { blame: number, failures: number } {
  let blame = 0
  let failures = 0
  worker.health.failures.forEach((count, key) => {
    const known = state.classHealth.get(key) ?? createClassHealth()
    updateSurvivors(state, key, known, now)
    const elsewhere = Math.max(0, known.failures - count)
    const successes = known.successes + known.survivors
    const rate = (successes + 1) / (successes + elsewhere + 2)
    const proven = successes >= 5 && rate > 0.8
    blame += proven ? count * rate : Math.min(BLAME_OF_DOUBTFUL_CLASS, count * rate)
    failures += count
  })
  return { blame, failures }
}

function isClassBroken (state: PlacementState, key: string): boolean {
  const known = state.classHealth.get(key)
  return known !== undefined && known.survivors === 0 && known.failedOn.size >= WORKERS_OF_BROKEN_CLASS &&
    [...known.failedOn.values()].reduce((sum, count) => sum + count, 0) >= FAILURES_OF_BROKEN_CLASS
}

/** Tasks that outlive a typical failure are early evidence that a class works, long before the first success. */
function updateSurvivors (state: PlacementState, key: string, known: ClassHealth, now: number): void {
  known.survivors = 0
  state.tasks.forEach((record) => {
    if (record.worker === undefined || record.state !== 'running' || known.failedOn.has(record.worker.id)) return
    if (now - record.startedAt > SURVIVAL_FACTOR * known.failureMs && getClassKey(record.task) === key) known.survivors += 1
  })
}

/** A class that fails everywhere gets single trials at growing intervals. */
export function findClassHold (state: PlacementState, record: TaskRecord, now: number): string | undefined {
  const key = getClassKey(record.task)
  const known = state.classHealth.get(key)
  if (known === undefined || now >= known.nextTrial || !isClassBroken(state, key)) return undefined
  return `class ${record.task.jobClass} fails on every worker; next trial later`
}

/** The start of a trial postpones the next one until its result is known. */
export function recordTrial (state: PlacementState, record: TaskRecord, now: number): void {
  const key = getClassKey(record.task)
  const known = state.classHealth.get(key)
  if (known !== undefined && isClassBroken(state, key)) known.nextTrial = now + FIRST_TRIAL_MS
}

/** Why a worker that has failed may not take this task now. */
export function findHealthRejection (worker: WorkerRecord, record: TaskRecord): string | undefined {
  const { health } = worker
  if (health.state === 'healthy') {
    return health.failures.size > 0 && countStarting(worker) >= 2 ? 'it has failed its last tasks' : undefined
  }
  if (health.state === 'quarantined') return 'quarantined'
  if (record.task.service !== undefined || record.task.urgent || !record.task.idempotent) return 'returns from quarantine'
  const allowed = health.state === 'probing' ? 1 : 2 ** health.successes
  const held = [...worker.tasks].filter(({ startedAt }) => startedAt >= health.since).length
  return held >= allowed ? 'returns from quarantine' : undefined
}

function countStarting (worker: WorkerRecord): number {
  let count = 0
  worker.tasks.forEach(({ reports, task }) => { if (reports === 0 && task.service === undefined) count += 1 })
  return count
}
