/** Time that a reading of a tail latency covers. */
const READING_WINDOW_MS = 500
/** For this long after the recorded end of a neighbour, readings may still include its interference, as orders and answers take time. */
const MAX_END_DELAY_MS = 1000
/** A worker without an update for this long is considered gone, and its state is dropped. */
const WORKER_RETENTION_MS = 60_000

/** Share of a worker's cores that the best-effort tasks of an image use. */
export interface BestEffortUse { image: string, coreShare: number }

/** A best-effort task that a worker lists, with its share of the cores and its start time. */
export interface ListedBestEffortRun extends BestEffortUse { task: string, since: number }

interface Segment extends BestEffortUse { from: number, until: number }

/** `averageUses` is the mean use over the time that a reading covers; `recent` is the use by all tasks that may have affected the reading. */
export interface ReadingUsage { averageUses: BestEffortUse[], recent: BestEffortUse[] }

export interface BestEffortWindows {
  /** Records the best-effort tasks that a worker lists now, and returns their use during the current reading. */
  update (worker: string, bestEffort: readonly ListedBestEffortRun[], now: number): ReadingUsage
}

/**
 * Tracks which best-effort tasks recently used the cores of each worker: a tail latency still includes the interference of
 * a task that has just ended, and not yet all of one that has just started.
 */
export function createBestEffortWindows (): BestEffortWindows {
  const workers = new Map<string, { tasks: Map<string, Segment[]>, at: number }>()

  const getSegments = (worker: string, now: number): Map<string, Segment[]> => {
    const existing = workers.get(worker)
    if (existing === undefined) workers.forEach(({ at }, name) => { if (now - at > WORKER_RETENTION_MS) workers.delete(name) })
    const tasks = existing?.tasks ?? new Map<string, Segment[]>()
    workers.set(worker, { tasks, at: now })
    return tasks
  }

  return {
    update: (worker, bestEffort, now) => {
      const tasks = getSegments(worker, now)
      const listed = new Set(bestEffort.map(({ task }) => task))
      tasks.forEach((segments, task) => {
        if (!listed.has(task)) closeSegment(segments, now)
        const kept = segments.filter(({ until }) => until > now - MAX_END_DELAY_MS)
        if (kept.length > 0) tasks.set(task, kept)
        else tasks.delete(task)
      })
      bestEffort.forEach(({ task, image, coreShare, since }) => {
        const segments = tasks.get(task) ?? []
        tasks.set(task, segments)
        if (segments.at(-1)?.coreShare === coreShare && segments.at(-1)?.until === Infinity) return
        closeSegment(segments, Math.min(since, now))
        segments.push({ image, coreShare, from: Math.min(since, now), until: Infinity })
      })
      if (tasks.size === 0) workers.delete(worker)
      const all = [...tasks.values()].flat()
      const averageUses = all.map(({ image, coreShare, from, until }) => ({
        image, coreShare: coreShare * Math.max(0, Math.min(now, until) - Math.max(now - READING_WINDOW_MS, from)) / READING_WINDOW_MS
      }))
      return { averageUses: computeTotalsByImage(averageUses.filter(({ coreShare }) => coreShare > 0)), recent: computeTotalsByImage(all) }
    }
  }
}

function closeSegment (segments: Segment[], at: number): void {
  const last = segments.at(-1)
  if (last !== undefined) last.until = Math.min(last.until, at)
}

function computeTotalsByImage (uses: readonly BestEffortUse[]): BestEffortUse[] {
  const shares = new Map<string, number>()
  uses.forEach(({ image, coreShare }) => shares.set(image, (shares.get(image) ?? 0) + coreShare))
  return [...shares].map(([image, coreShare]) => ({ image, coreShare }))
}
