import type { Clock, Logger, Metrics } from '../../common/index.js'
import type { PlacementCandidate } from './candidates.js'
import { getLateness } from './plan.js'
import type { TrackedGroup } from './waiting.js'

/** A long-running task waits for short work at most this long, because its caller has been told that it runs. */
const MAX_YIELD_MS = 60_000
/** Cores that short work has left free for this long may be taken; the platform lets a long-running task wait for 3 s while there are cores for two of it. */
const SETTLED_MS = 2000
const SAMPLE_INTERVAL_MS = 100
const YIELD_LOG_INTERVAL_MS = 1000
/** Tolerance of comparisons of core counts, which are sums of fractions. */
const CORES_EPSILON = 1e-6

/** Groups in the order in which a pass tries them; within each list by urgency. */
export interface DividedPass {
  /** Interrupted long-running tasks that wait for nothing. */
  first: TrackedGroup[]
  /** Short work that goes before long-running tasks. */
  short: TrackedGroup[]
  /** Long-running tasks that take only what short work leaves. */
  yielding: TrackedGroup[]
  rest: TrackedGroup[]
}

/**
 * Divides the groups of a pass, sorted by urgency, into the lists that it tries one after the other. Handles the loss of workers
 * from a pool in which long-running tasks request nearly all cores: placed first, the interrupted ones would take the cores of
 * the other workers for a minute or more, and short work, which is worth about a hundred times as much per core and second,
 * would be late all that time. Long-running tasks yield only to short work of the same or a more urgent priority that requests
 * cores and can still be on time.
 */
export function splitPass (sorted: readonly TrackedGroup[], { yields, now, wallTime }: { yields: boolean, now: number, wallTime: number }): DividedPass {
  const yielding = yields ? sorted.filter((tracked) => tracked.group.step.lasting && canYield(tracked, now)) : []
  const waiting = new Set(yielding)
  const first = sorted.filter((tracked) => isInterrupted(tracked) && !waiting.has(tracked))
  const others = sorted.filter((tracked) => !isInterrupted(tracked) && !waiting.has(tracked))
  if (yielding.length === 0) return { first, short: [], yielding, rest: others }
  const priority = Math.max(...yielding.map(({ group }) => group.priority))
  const isShort = ({ group }: TrackedGroup): boolean => !group.step.lasting && !group.step.fills && group.priority <= priority && getLateness(group, wallTime) === 0
  return { first, short: others.filter(isShort), yielding, rest: others.filter((tracked) => !isShort(tracked)) }
}

export function isInterrupted ({ group }: TrackedGroup): boolean {
  return group.isResumed === true
}

/** True while a long-running group may be kept waiting for short work. One that needs tickets is tried at once, because a try asks for them. */
export function canYield ({ group, progress }: TrackedGroup, now: number): boolean {
  return group.advice === undefined && now - (progress.idleSince ?? now) < MAX_YIELD_MS
}

/** Cores of the smallest task of the groups of a service; undefined if there is none. */
export function findSmallestTask (groups: readonly TrackedGroup[], service: string): number | undefined {
  const cores = groups.filter(({ group }) => group.record.service === service).map(({ group }) => group.step.cores)
  return cores.length === 0 ? undefined : Math.min(...cores)
}

interface Sample { at: number, cores: number }

/** Cores of each pool that short work has left free for a while. A new leader measures them again, and meanwhile lets long-running tasks take what is free. */
export interface SettledRoom {
  /** Records what is free now; to be called when the short work of a pass has been placed. `taskCores`: the smallest long-running task that waits, if one does. */
  observe (service: string, workers: readonly PlacementCandidate[], taskCores: number | undefined, now: number): void
  /** The most tasks of this size that may be placed now. */
  countTasks (service: string, taskCores: number, now: number): number
  recordPlaced (service: string, cores: number): void
}

/**
 * Measures the least free capacity of the last two seconds. Handles demand of short work that varies within a second: what is
 * free at one moment is needed at the next, and a long-running task that took it would keep it for a minute.
 */
export function createSettledRoom (): SettledRoom {
  const samplesByService = new Map<string, Sample[]>()
  /** By service: size of the smallest long-running task so far; smaller gaps are of no use to any. */
  const smallestTask = new Map<string, number>()

  return {
    observe: (service, workers, taskCores, now) => {
      if (taskCores !== undefined) smallestTask.set(service, Math.min(taskCores, smallestTask.get(service) ?? Infinity))
      const samples = samplesByService.get(service) ?? []
      if (now - (samples.at(-1)?.at ?? -Infinity) < SAMPLE_INTERVAL_MS) return
      // The last sample before the window shows that the room had settled when the window began.
      const firstNeeded = samples.findLastIndex(({ at }) => at <= now - SETTLED_MS)
      const size = Math.max(CORES_EPSILON, smallestTask.get(service) ?? 1)
      const cores = workers.reduce((sum, { freeCores }) => sum + Math.floor((freeCores + CORES_EPSILON) / size) * size, 0)
      samplesByService.set(service, [...samples.slice(Math.max(0, firstNeeded)), { at: now, cores }])
    },
    countTasks: (service, taskCores, now) => {
      const samples = samplesByService.get(service) ?? []
      const isSettled = samples.some(({ at }) => at <= now - SETTLED_MS)
      if (!isSettled || taskCores <= 0) return Infinity
      const cores = Math.min(...samples.map((sample) => sample.cores))
      return Math.max(0, Math.floor((cores + CORES_EPSILON) / taskCores))
    },
    recordPlaced: (service, cores) => samplesByService.get(service)?.forEach((sample) => { sample.cores -= cores })
  }
}

/** Reports how many long-running tasks wait for short work: a gauge with each call, a log line at most once a second while some do. */
export function createYieldReport ({ clock, logger, metrics }: { clock: Pick<Clock, 'now'>, logger: Logger, metrics: Metrics }): (yielding: readonly TrackedGroup[]) => void {
  let loggedAt = -Infinity
  return (yielding) => {
    const blocked = yielding.filter(({ progress }) => progress.isBlocked)
    const tasks = blocked.reduce((sum, { group }) => sum + group.indexes.length, 0)
    metrics.gauge('long_running.yielding', tasks)
    const now = clock.now()
    if (tasks === 0 || now - loggedAt < YIELD_LOG_INTERVAL_MS) return
    loggedAt = now
    const longestMs = blocked.reduce((longest, { progress }) => Math.max(longest, now - (progress.idleSince ?? now)), 0)
    logger.info('long-running.yield', { tasks, groups: blocked.length, longestMs: Math.round(longestMs) })
  }
}
