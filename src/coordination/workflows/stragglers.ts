import type { RunDurations, RunProgress, WorkKey } from './runDurations.js'

/** A run is a straggler if its whole duration is forecast to be this many times the usual one, and longer than that of nine of ten runs. */
const STRAGGLER_FACTOR = 1.5
/** A copy has to end earlier than the original by this share of its own duration and by `MIN_GAIN_MS`, as both forecasts are uncertain. */
const MIN_GAIN_SHARE = 0.25
/** Covers the commit of the assignment and the start order of a copy, 20 to 50 ms on the reference sites. */
const MIN_GAIN_MS = 100
/** With fewer ended runs than this, the usual duration is taken from the running tasks of the same step. */
const MIN_SAMPLES = 8
/** Running tasks of a step, with the one in question, from which its usual duration is taken; fewer say little. */
const MIN_SIBLINGS = 4
/** Percentage from which the duration of a running sibling is projected; lower ones are too inaccurate. */
const MIN_SIBLING_PERCENT = 10
/** A worker with at least this slowness is the cause of a slow run; below it, the other tasks on the worker make progress as usual. */
const SLOW_WORKER = 2
/** Copies may be at most this share of the running tasks of a pool, but always one: on the reference sites 3 runs in 100 take 7 times as long. */
const MAX_COPY_SHARE = 0.05
/** Ended copies of a work, counted with decay, from which their share of wins is trusted; five copies reach it. */
const MIN_OUTCOMES = 4
/** Below this share of wins the tasks of a work are long by themselves, so that a copy takes as long as the original. */
const MIN_WIN_SHARE = 0.2
/** Weight that past outcomes keep with each new one. */
const OUTCOME_DECAY = 0.9
/** A work whose copies rarely win gets one copy in this time, so that a change is noticed. */
const TRIAL_INTERVAL_MS = 10_000

/** One confirmed run of a step that allows copies, as the leader knows it. */
export interface ObservedRun {
  task: string
  worker: string
  /** Name of the step and occurrence of the task. */
  stepName: string
  work: WorkKey
  estimateMs: number
  /** Steady-clock times; `progressAt` is when the worker read `percent`. */
  progress: RunProgress
  /** False if the task has a copy already or the run is being stopped; it still counts as a sibling of others. */
  isEligible: boolean
}

export interface Straggler { run: ObservedRun, remainingMs: number, copyMs: number, cause: 'long-task' | 'slow-worker' }

/**
 * Lists the runs for which a copy is justified, those that gain most first: they are far beyond their likely end, and a copy
 * is expected to end earlier by a margin. Takes time in proportion to the number of runs.
 */
export function listStragglers (runs: readonly ObservedRun[], durations: RunDurations, getSlowness: (worker: string) => number, now: number): Straggler[] {
  const siblings = new Map<string, ObservedRun[]>()
  runs.forEach((run) => {
    const known = siblings.get(run.stepName)
    if (known === undefined) siblings.set(run.stepName, [run])
    else known.push(run)
  })
  const usual = new Map([...siblings].map(([stepName, members]) => [stepName, estimateUsual(members, durations)]))
  return runs.filter(({ isEligible }) => isEligible).flatMap((run): Straggler[] => {
    const { usualMs, lateMs } = usual.get(run.stepName) as Usual
    const remainingMs = durations.forecastEnd(run.work, run.estimateMs, run.progress, now).expectedAt - now
    // A copy counts with its whole duration: a checkpoint is recorded only when a run ends, so what it saves is unknown.
    const copyMs = usualMs
    const totalMs = now - run.progress.startedAt + remainingMs
    const isFarBeyond = totalMs > Math.max(lateMs, STRAGGLER_FACTOR * usualMs)
    if (!isFarBeyond || remainingMs < copyMs * (1 + MIN_GAIN_SHARE) + MIN_GAIN_MS) return []
    return [{ run, remainingMs, copyMs, cause: getSlowness(run.worker) >= SLOW_WORKER ? 'slow-worker' : 'long-task' }]
  }).sort((a, b) => (b.remainingMs - b.copyMs) - (a.remainingMs - a.copyMs))
}

/** Usual duration of the tasks of a step, and the duration within which nine of ten end. */
interface Usual { usualMs: number, lateMs: number }

function estimateUsual (siblings: readonly ObservedRun[], durations: RunDurations): Usual {
  const { work, estimateMs } = siblings[0] as ObservedRun
  const { expectedMs, lateMs, samples } = durations.forecast(work, estimateMs)
  if (samples >= MIN_SAMPLES) return { usualMs: expectedMs, lateMs }
  const projected = siblings.filter(({ progress: { percent } }) => percent >= MIN_SIBLING_PERCENT)
    .map(({ progress: { startedAt, percent, progressAt } }) => (progressAt - startedAt) * 100 / percent).sort((a, b) => a - b)
  if (projected.length < MIN_SIBLINGS) return { usualMs: expectedMs, lateMs }
  const usualMs = projected[Math.floor(projected.length / 2)] as number
  return { usualMs, lateMs: projected[Math.floor((projected.length - 1) * 0.9)] as number }
}

/** Number of further copies that a pool may have. */
export function countAllowedCopies (runningTasks: number, copies: number): number {
  return Math.max(1, Math.floor(MAX_COPY_SHARE * runningTasks)) - copies
}

/** Outcomes of the copies of one work, with decay, and when the next copy may start although copies rarely win. */
export interface CopyRecord { won: number, ended: number, nextTrialAt: number }

export function createCopyRecord (): CopyRecord {
  return { won: 0, ended: 0, nextTrialAt: -Infinity }
}

export function addOutcome (record: CopyRecord, hasWon: boolean): CopyRecord {
  return { ...record, won: record.won * OUTCOME_DECAY + Number(hasWon), ended: record.ended * OUTCOME_DECAY + 1 }
}

/** True if copies of the work are worth their cost by their outcomes so far, or one is due as a trial. */
export function canCopyWork ({ won, ended, nextTrialAt }: CopyRecord, now: number): boolean {
  return ended < MIN_OUTCOMES || won >= MIN_WIN_SHARE * ended || now >= nextTrialAt
}

export function recordCopy (record: CopyRecord, now: number): CopyRecord {
  return { ...record, nextTrialAt: now + TRIAL_INTERVAL_MS }
}
