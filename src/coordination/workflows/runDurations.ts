import { parseTaskName, type EndCause, type Step, type WorkflowsState } from '../../state/index.js'
import type { RunView } from './sessionState.js'

/** Work whose durations are remembered; beyond it, the work that ended longest ago is dropped. The reference loads have about 60. */
const MAX_KNOWN_WORK = 500
/** Work with a longer image name is not remembered, so that callers cannot fill the memory with names. */
const MAX_IMAGE_LENGTH = 256
/** Latest runs that are remembered of each work. Large enough to contain the 3 in 100 that take several times as long. */
const WINDOW_SIZE = 64
/** The quantiles are computed again after this many new samples; sorting for each end would cost more than it changes. */
const REFRESH_SAMPLES = 8
/** Durations independent of the estimate are trusted from this many samples on; before, the estimate limits the error. */
const MIN_ABSOLUTE_SAMPLES = 16
/** Ratios of duration to estimate that are assumed until runs have ended: the median is 1, and nine of ten are below 3. They leave the window as samples arrive. */
const INITIAL_RATIOS = [0.3, 0.5, 0.7, 0.85, 1, 1, 1.2, 1.6, 2.2, 3]
/** Estimate in place of one that is missing. */
const DEFAULT_ESTIMATE_MS = 1000
const LATE_QUANTILE = 0.9
/** Progress reports are whole percents, so that from this percentage on the rate of progress is accurate within a few percent. */
const RELIABLE_PERCENT = 20
/** Progress over a shorter time is ignored: the delay of the reports is a large part of it. */
const MIN_PROGRESS_MS = 200
/** Nine of ten runs need less than the remaining time by their rate of progress times this. */
const PROGRESS_SPREAD = 1.3
/** A run that is older than every remembered one is expected to take this share of its age longer, and late twice as long: durations with a heavy tail grow with the age. */
const OVERRUN_SHARE = 0.5

export interface WorkKey { queue: string, image: string | undefined, step: number }

export interface DurationForecast {
  expectedMs: number
  /** Nine of ten runs end within this. */
  lateMs: number
  samples: number
}

/** Steady-clock times of a run. `percent` is 0 for a run whose progress does not date from `startedAt`, such as one that resumed from a checkpoint. */
export interface RunProgress { startedAt: number, percent: number, progressAt: number }

/** How long runs take compared with their estimates, learned by the leader from ended runs during its term. */
export interface RunDurations {
  recordEnd (work: WorkKey, estimateMs: number, ranMs: number): void
  /** Forecast for a run that has not started. */
  forecast (work: WorkKey, estimateMs: number): DurationForecast
  /** Steady-clock time at which a run is expected to end, never before `now`. */
  forecastEnd (work: WorkKey, estimateMs: number, run: RunProgress, now: number): { expectedAt: number, lateAt: number }
}

/** Latest durations of one work. */
interface Window {
  ratios: number[]
  durationsMs: number[]
  samples: number
  refreshedAt: number
  /** Sorted copies of the lists above; the one that varies less is used. */
  sortedRatios: readonly number[]
  sortedDurationsMs: readonly number[]
  isEstimateUsed: boolean
}

/**
 * Handles work with wrong estimates: a factor that is common to the runs of a work is corrected, and work whose duration
 * does not depend on its estimate is forecast from its durations alone. All operations take constant time.
 */
export function createRunDurations (): RunDurations {
  const windows = new Map<string, Window>()
  const initial = createWindow()

  const findWindow = (work: WorkKey): Window => {
    const window = windows.get(formatWorkKey(work)) ?? initial
    if (window.samples - window.refreshedAt >= REFRESH_SAMPLES) updateQuantiles(window)
    return window
  }

  /** Duration with this quantile among those longer than `ageMs`; undefined when the run is older than all remembered ones. */
  const findDuration = ({ isEstimateUsed, sortedRatios, sortedDurationsMs }: Window, estimateMs: number, quantile: number, ageMs: number): number | undefined => {
    const [values, unit] = isEstimateUsed ? [sortedRatios, estimateMs] : [sortedDurationsMs, 1]
    const first = values.findIndex((value) => value * unit > ageMs)
    return first < 0 ? undefined : getQuantile(values, quantile, first) * unit
  }

  return {
    recordEnd: (work, estimateMs, ranMs) => {
      if ((work.image?.length ?? 0) > MAX_IMAGE_LENGTH || !(ranMs > 0)) return
      const key = formatWorkKey(work)
      const window = windows.get(key) ?? createWindow()
      // A Map lists its keys in the order of their insertion, so the first one belongs to the work that ended longest ago.
      windows.delete(key)
      windows.set(key, window)
      if (windows.size > MAX_KNOWN_WORK) windows.delete(windows.keys().next().value as string)
      const position = window.samples % WINDOW_SIZE
      window.ratios[(position + INITIAL_RATIOS.length) % WINDOW_SIZE] = ranMs / getEstimate(estimateMs)
      window.durationsMs[position] = ranMs
      window.samples += 1
    },
    forecast: (work, estimateMs) => {
      const window = findWindow(work)
      const [expectedMs, lateMs] = [0.5, LATE_QUANTILE].map((quantile) => findDuration(window, getEstimate(estimateMs), quantile, 0) as number) as [number, number]
      return { expectedMs, lateMs, samples: window.samples }
    },
    forecastEnd: (work, estimateMs, { startedAt, percent, progressAt }, now) => {
      const window = findWindow(work)
      const ageMs = Math.max(0, now - startedAt)
      const remainingByAge = [0.5, LATE_QUANTILE].map((quantile, position) => (findDuration(window, getEstimate(estimateMs), quantile, ageMs) ?? ageMs * (1 + OVERRUN_SHARE * (position + 1))) - ageMs) as [number, number]
      const progressMs = progressAt - startedAt
      const remainingByRate = progressMs < MIN_PROGRESS_MS || percent <= 0 ? 0 : progressMs * 100 / percent - ageMs
      // A run that should have ended by its rate of progress has slowed down, so its age tells more.
      const weight = remainingByRate <= 0 ? 0 : Math.min(1, percent / RELIABLE_PERCENT)
      const expectedAt = now + weight * remainingByRate + (1 - weight) * remainingByAge[0]
      return { expectedAt, lateAt: Math.max(expectedAt, now + weight * remainingByRate * PROGRESS_SPREAD + (1 - weight) * remainingByAge[1]) }
    }
  }
}

/** Finds the key under which the durations of a task are learned. */
export function findWorkKey (state: WorkflowsState, task: string): WorkKey | undefined {
  const name = parseTaskName(task)
  const record = name === undefined ? undefined : state.workflows[name.workflow]
  return name === undefined || record === undefined ? undefined : { queue: record.queue, image: record.workflow.steps[name.step]?.image, step: name.step }
}

/** What the leader knows of the progress of a run, for `forecastEnd`. */
export function getRunProgress ({ attempt, isInherited, startedAt, confirmedAt, assignedAt, status, progressAt }: RunView): RunProgress {
  const isProgressOfRun = attempt === 1 && isInherited !== true
  return { startedAt: startedAt ?? confirmedAt ?? assignedAt, percent: isProgressOfRun ? status?.percent ?? 0 : 0, progressAt }
}

/**
 * Learns from the end of a run. Only a first attempt that succeeded ran for the whole duration of its task, and only of a
 * run that started in this term is the start known.
 */
export function recordRunEnd (durations: RunDurations, state: WorkflowsState, step: Step | undefined, run: RunView, cause: EndCause, now: number): void {
  if (cause !== 'succeeded' || run.attempt !== 1 || run.isInherited === true || run.startedAt === undefined) return
  const work = findWorkKey(state, run.task)
  if (work === undefined || step === undefined || step.lasting) return
  durations.recordEnd(work, step.expectedRunMs, now - run.startedAt)
}

function createWindow (): Window {
  const sortedRatios = [...INITIAL_RATIOS]
  return { ratios: [...INITIAL_RATIOS], durationsMs: [], samples: 0, refreshedAt: 0, sortedRatios, sortedDurationsMs: [], isEstimateUsed: true }
}

function updateQuantiles (window: Window): void {
  window.refreshedAt = window.samples
  window.sortedRatios = window.ratios.toSorted((a, b) => a - b)
  window.sortedDurationsMs = window.durationsMs.toSorted((a, b) => a - b)
  window.isEstimateUsed = window.samples < MIN_ABSOLUTE_SAMPLES || measureSpread(window.sortedRatios) <= measureSpread(window.sortedDurationsMs)
}

function measureSpread (sorted: readonly number[]): number {
  return getQuantile(sorted, LATE_QUANTILE, 0) / getQuantile(sorted, 1 - LATE_QUANTILE, 0)
}

/** Quantile of the elements from position `first` on. */
function getQuantile (sorted: readonly number[], quantile: number, first: number): number {
  return sorted[first + Math.floor((sorted.length - 1 - first) * quantile)] as number
}

function getEstimate (estimateMs: number): number {
  return estimateMs > 0 ? estimateMs : DEFAULT_ESTIMATE_MS
}

function formatWorkKey ({ queue, image, step }: WorkKey): string {
  return `${queue}\n${image ?? ''}\n${step}`
}
