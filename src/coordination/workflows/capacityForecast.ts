import type { Step } from '../../state/index.js'

export interface Capacity { cores: number, memoryMb: number, accelerators: number }

/** Capacity that the end of a run releases. */
export interface Release extends Capacity { expectedAt: number, /** Nine of ten such runs end by this time. */ lateAt: number }

/** What is free on a worker now, and what its running short tasks will release. */
export interface WorkerForecast { worker: string, rack: string | undefined, free: Capacity, releases: readonly Release[] }

/** A group of `count` tasks that have to start at the same time. */
export interface TaskNeeds {
  step: Pick<Step, 'cores' | 'memoryMb' | 'accelerators'>
  count: number
  /** Most workers that may hold the tasks. */
  maxWorkers: number
  /** How many of the tasks a worker may take beside its runs. */
  countLimit (worker: string): number
}

export interface WorkerSet {
  /** The chosen workers, and what each is expected to have free at `readyAt` beside the tasks of the group. */
  spare: ReadonlyMap<string, Capacity>
  /** Time at which the workers are expected to have the capacity for all tasks of the group. */
  readyAt: number
  /** Time at which they have it if their runs end late. */
  lateAt: number
}

/** Times at which a worker can hold one task more than before. */
interface Gain { worker: WorkerForecast, at: number }

type EndTime = 'expectedAt' | 'lateAt'

/**
 * Finds the fewest workers that can hold a group at the earliest possible time, given the expected ends of runs. Handles
 * single tasks, and gangs that need several workers at once. The cost grows with the runs on the given workers.
 */
export function findWorkerSet (forecasts: readonly WorkerForecast[], needs: TaskNeeds, now: number): WorkerSet | undefined {
  const readyAt = estimateReadyAt(forecasts, needs, 'expectedAt', now)
  if (readyAt === undefined) return undefined
  const holding = forecasts
    .map((forecast) => ({ forecast, free: computeFree(forecast, readyAt) }))
    .map(({ forecast, free }) => ({ forecast, free, held: countTasks(free, needs, forecast.worker) }))
    .filter(({ held }) => held > 0)
    .sort((a, b) => b.held - a.held)
  let missing = needs.count
  const chosen = holding.filter(({ held }) => {
    if (missing <= 0) return false
    missing -= held
    return true
  })
  const lateAt = estimateReadyAt(chosen.map(({ forecast }) => forecast), needs, 'lateAt', now) ?? readyAt
  const spare = new Map(chosen.map(({ forecast, free, held }) => [forecast.worker, computeSpare(free, needs.step, Math.min(held, needs.count))]))
  return { spare, readyAt, lateAt: Math.max(readyAt, lateAt) }
}

/** Fewest runs that have to end on one of the workers before it can hold a task; infinite if none can. */
export function countEndsNeeded (forecasts: readonly WorkerForecast[], needs: TaskNeeds, now: number): number {
  return forecasts.reduce((fewest, forecast) => {
    const readyAt = estimateReadyAt([forecast], { ...needs, count: 1 }, 'expectedAt', now)
    if (readyAt === undefined) return fewest
    const ends = readyAt <= now ? 0 : forecast.releases.filter((release) => release.expectedAt <= readyAt && isUseful(release, forecast.free, needs.step)).length
    return Math.min(fewest, ends)
  }, Infinity)
}

export function hasCapacityFor (capacity: Capacity, { cores, memoryMb, accelerators }: Capacity): boolean {
  return capacity.cores >= cores && capacity.memoryMb >= memoryMb && capacity.accelerators >= accelerators
}

export function addCapacity (capacity: Capacity, { cores, memoryMb, accelerators }: Capacity, times = 1): Capacity {
  return { cores: capacity.cores + cores * times, memoryMb: capacity.memoryMb + memoryMb * times, accelerators: capacity.accelerators + accelerators * times }
}

/** True if a release contributes to what the task still lacks. */
function isUseful (release: Capacity, free: Capacity, step: Capacity): boolean {
  return (release.cores > 0 && free.cores < step.cores) || (release.memoryMb > 0 && free.memoryMb < step.memoryMb) || (release.accelerators > 0 && free.accelerators < step.accelerators)
}

function estimateReadyAt (forecasts: readonly WorkerForecast[], needs: TaskNeeds, endTime: EndTime, now: number): number | undefined {
  const gains = forecasts.flatMap((worker) => listGains(worker, needs, endTime, now)).sort((a, b) => a.at - b.at)
  const held = new Map<string, number>()
  return gains.find(({ worker: { worker } }, position) => {
    held.set(worker, (held.get(worker) ?? 0) + 1)
    return position + 1 >= needs.count && countLargest([...held.values()], needs.maxWorkers) >= needs.count
  })?.at
}

function countLargest (values: number[], count: number): number {
  return values.sort((a, b) => b - a).slice(0, count).reduce((sum, value) => sum + value, 0)
}

function listGains (worker: WorkerForecast, needs: TaskNeeds, endTime: EndTime, now: number): Gain[] {
  const gains: Gain[] = []
  let free = worker.free
  const addGains = (at: number): void => {
    const held = countTasks(free, needs, worker.worker)
    while (gains.length < held) gains.push({ worker, at })
  }
  addGains(now)
  worker.releases.toSorted((a, b) => a[endTime] - b[endTime]).forEach((release) => {
    free = addCapacity(free, release)
    addGains(Math.max(now, release[endTime]))
  })
  return gains
}

function computeFree ({ free, releases }: WorkerForecast, at: number): Capacity {
  return releases.filter(({ expectedAt }) => expectedAt <= at).reduce((sum, release) => addCapacity(sum, release), free)
}

function computeSpare (free: Capacity, step: Capacity, tasks: number): Capacity {
  return addCapacity(free, step, -tasks)
}

/** Number of the group's tasks that fit into the capacity. */
function countTasks (free: Capacity, { step, count, countLimit }: TaskNeeds, worker: string): number {
  if (!hasCapacityFor(free, step)) return 0
  const countBy = (available: number, needed: number): number => needed > 0 ? Math.floor(available / needed) : count
  return Math.min(count, countLimit(worker), countBy(free.cores, step.cores), countBy(free.memoryMb, step.memoryMb), countBy(free.accelerators, step.accelerators))
}
