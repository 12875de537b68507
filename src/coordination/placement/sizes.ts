import type { Resources } from '../../state/schemas.js'
import type { PlacementTask } from './types.js'

/** Weight of the newest task in the averages; about the last 20 tasks count. */
const FORGETTING = 0.05
/** Evidence after which the margin is halved for the first time. */
const EVIDENCE_FOR_HALF_MARGIN = 3
/** Reported usage is noisy by a few percent, so some margin always remains. */
const SMALLEST_MARGIN = 0.02
/** Tasks measured before a declaration that fits no worker may be overruled. */
const EVIDENCE_TO_OVERRULE = 8

/** What is known of one job class of one member. */
export interface ClassSize {
  /** Number of tasks that were measured. */
  evidence: number
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
  evidence: number
  updatedAt: number
}

export interface SizeEstimates {
  find (task: PlacementTask): ClassSize | undefined
  estimate (task: PlacementTask, startingMargin: number): SizeEstimate
  estimateRunMs (task: PlacementTask): number
  /** `first` marks the first report of a task; later ones refine the same piece of evidence. */
  recordUsage (task: PlacementTask, usage: Resources, first: boolean, now: number): void
  recordRun (task: PlacementTask, runMs: number, now: number): void
  /** True when measurements show that a task fits although its declaration does not. */
  canOverrule (task: PlacementTask): boolean
}

export function createSizeEstimates (): SizeEstimates {
  const classes = new Map<string, ClassSize>()
  const getClass = (task: PlacementTask): ClassSize => {
    const key = getClassKey(task)
    const known = classes.get(key)
    if (known !== undefined) return known
    const created: ClassSize = { evidence: 0, cores: createAverage(), memoryBytes: createAverage(), runMs: createAverage(), runs: 0, updatedAt: 0 }
    classes.set(key, created)
    return created
  }
  const find = (task: PlacementTask): ClassSize | undefined => classes.get(getClassKey(task))
  return {
    find,
    estimate: (task, startingMargin) => estimateSize(task, find(task), startingMargin),
    estimateRunMs: (task) => {
      const known = find(task)
      if (known === undefined || known.runs === 0) return task.expectedRunMs
      const weight = known.runs / (known.runs + 1)
      return known.runMs.mean * weight + task.expectedRunMs * (1 - weight)
    },
    recordUsage: (task, usage, first, now) => {
      const known = getClass(task)
      if (first) known.evidence += 1
      const gain = Math.max(first ? 1 / known.evidence : 0, FORGETTING)
      updateAverage(known.cores, usage.cores, gain)
      updateAverage(known.memoryBytes, usage.memoryBytes, gain)
      known.updatedAt = now
    },
    recordRun: (task, runMs, now) => {
      const known = getClass(task)
      known.runs += 1
      updateAverage(known.runMs, runMs, Math.max(1 / known.runs, FORGETTING))
      known.updatedAt = now
    },
    canOverrule: (task) => (find(task)?.evidence ?? 0) >= EVIDENCE_TO_OVERRULE
  }
}

export function getClassKey (task: PlacementTask): string {
  return `${task.member}/${task.jobClass}`
}

export function computeMargin (startingMargin: number, evidence: number): number {
  return Math.max(startingMargin / (1 + evidence / EVIDENCE_FOR_HALF_MARGIN), Math.min(startingMargin, SMALLEST_MARGIN))
}

function estimateSize (task: PlacementTask, known: ClassSize | undefined, startingMargin: number): SizeEstimate {
  const evidence = known?.evidence ?? 0
  const margin = computeMargin(startingMargin, evidence)
  if (known === undefined || evidence === 0) {
    return { size: computeGuarded(task.size.cores, task.size.memoryBytes, task.size.accelerators, margin), source: 'declared', margin, evidence, updatedAt: 0 }
  }
  // Cores can be taken back and the differences of many tasks even out, so their estimate is the mean.
  // Memory cannot be taken back, so its estimate covers the spread.
  const cores = known.cores.mean
  const memoryBytes = known.memoryBytes.mean + 2 * Math.sqrt(known.memoryBytes.variance)
  return { size: computeGuarded(cores, memoryBytes, task.size.accelerators, margin), source: 'learned', margin, evidence, updatedAt: known.updatedAt }
}

function computeGuarded (cores: number, memoryBytes: number, accelerators: number, margin: number): Resources {
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
