import type { Resources } from '../../state/schemas.js'
import type { PlacementTask } from './types.js'

/** Smallest weight of a new value in the averages, which then reflect about the last 20 values. */
const MIN_SMOOTHING_GAIN = 0.05
/** Measured tasks of a class at which the size margin is half its initial value. */
const TASKS_FOR_HALF_MARGIN = 3
/** The margin does not fall below this unless it starts lower, because reported usage is noisy by a few percent. */
const MIN_MARGIN = 0.02
/** Measured tasks of a class before its measured size may overrule a declared size that fits no worker. */
const MIN_TASKS_TO_OVERRULE = 8

/** Measured sizes and run times of a job class of one member. */
export interface ClassSize {
  /** Number of tasks with usage reports. */
  measuredTasks: number
  cores: Average
  memoryBytes: Average
  runMs: Average
  runs: number
  updatedAt: number
}

interface Average { mean: number, variance: number }

export interface SizeEstimate {
  size: Resources
  source: 'declared' | 'learned'
  margin: number
  measuredTasks: number
  updatedAt: number
}

export interface SizeEstimates {
  find (task: PlacementTask): ClassSize | undefined
  estimate (task: PlacementTask, initialMargin: number): SizeEstimate
  estimateRunMs (task: PlacementTask): number
  /** `isFirstReport` marks the first report of a task; only this one counts as a measured task, while every report updates the averages. */
  recordUsage (task: PlacementTask, usage: Resources, isFirstReport: boolean, now: number): void
  recordRun (task: PlacementTask, runMs: number, now: number): void
  /** True when enough tasks of the class were measured to trust its measured size more than a declared size that fits no worker. */
  canOverruleDeclaration (task: PlacementTask): boolean
}

export function createSizeEstimates (): SizeEstimates {
  const classes = new Map<string, ClassSize>()
  const getClass = (task: PlacementTask): ClassSize => {
    const key = getClassKey(task)
    const classSize = classes.get(key)
    if (classSize !== undefined) return classSize
    const created: ClassSize = { measuredTasks: 0, cores: createAverage(), memoryBytes: createAverage(), runMs: createAverage(), runs: 0, updatedAt: 0 }
    classes.set(key, created)
    return created
  }
  const find = (task: PlacementTask): ClassSize | undefined => classes.get(getClassKey(task))
  return {
    find,
    estimate: (task, initialMargin) => estimateSize(task, find(task), initialMargin),
    estimateRunMs: (task) => {
      const classSize = find(task)
      if (classSize === undefined || classSize.runs === 0) return task.expectedRunMs
      const weight = classSize.runs / (classSize.runs + 1)
      return classSize.runMs.mean * weight + task.expectedRunMs * (1 - weight)
    },
    recordUsage: (task, usage, isFirstReport, now) => {
      const classSize = getClass(task)
      if (isFirstReport) classSize.measuredTasks += 1
      const gain = Math.max(isFirstReport ? 1 / classSize.measuredTasks : 0, MIN_SMOOTHING_GAIN)
      updateAverage(classSize.cores, usage.cores, gain)
      updateAverage(classSize.memoryBytes, usage.memoryBytes, gain)
      classSize.updatedAt = now
    },
    recordRun: (task, runMs, now) => {
      const classSize = getClass(task)
      classSize.runs += 1
      updateAverage(classSize.runMs, runMs, Math.max(1 / classSize.runs, MIN_SMOOTHING_GAIN))
      classSize.updatedAt = now
    },
    canOverruleDeclaration: (task) => (find(task)?.measuredTasks ?? 0) >= MIN_TASKS_TO_OVERRULE
  }
}

export function getClassKey (task: PlacementTask): string {
  return `${task.member}/${task.jobClass}`
}

export function computeMargin (initialMargin: number, measuredTasks: number): number {
  return Math.max(initialMargin / (1 + measuredTasks / TASKS_FOR_HALF_MARGIN), Math.min(initialMargin, MIN_MARGIN))
}

function estimateSize (task: PlacementTask, classSize: ClassSize | undefined, initialMargin: number): SizeEstimate {
  const measuredTasks = classSize?.measuredTasks ?? 0
  const margin = computeMargin(initialMargin, measuredTasks)
  if (classSize === undefined || measuredTasks === 0) {
    return { size: computeWithMargin(task.size.cores, task.size.memoryBytes, task.size.accelerators, margin), source: 'declared', margin, measuredTasks, updatedAt: 0 }
  }
  // Cores can be reclaimed and the deviations of many tasks cancel out, so the estimate is the mean.
  // Memory cannot be reclaimed, so the estimate is two standard deviations above the mean.
  const cores = classSize.cores.mean
  const memoryBytes = classSize.memoryBytes.mean + 2 * Math.sqrt(classSize.memoryBytes.variance)
  return { size: computeWithMargin(cores, memoryBytes, task.size.accelerators, margin), source: 'learned', margin, measuredTasks, updatedAt: classSize.updatedAt }
}

function computeWithMargin (cores: number, memoryBytes: number, accelerators: number, margin: number): Resources {
  return { cores: cores * (1 + margin), memoryBytes: memoryBytes * (1 + margin), accelerators }
}

function createAverage (): Average {
  return { mean: 0, variance: 0 }
}

function updateAverage (average: Average, value: number, gain: number): void {
  const difference = value - average.mean
  average.mean += gain * difference
  average.variance = gain >= 1 ? 0 : (1 - gain) * (average.variance + gain * difference * difference)
}
