/** Readings of tails cover this long. */
const READING_MS = 500
/** A neighbour that ended may still be in a reading for this long, as orders and answers take time. */
const RECENT_MS = 1000
/** A worker that has not been looked at for this long has left. */
const FORGET_MS = 60_000

/** What filling tasks of an image used, as a part of the worker's cores. */
export interface FillingUse { image: string, part: number }

/** A filling task that a worker lists: the part of the cores that it uses, and since when. */
export interface ListedFilling extends FillingUse { task: string, since: number }

interface Segment extends FillingUse { from: number, until: number }

/** What was used on average while readings were taken, and everything that may be in them. */
export interface FillingReading { uses: FillingUse[], recent: FillingUse[] }

export interface Windows {
  /** Takes the filling tasks that a worker lists now. */
  update (worker: string, filling: readonly ListedFilling[], now: number): FillingReading
}

/**
 * Remembers what filled a worker in the last moments: a tail still shows the pressure of a task that has just ended,
 * and not yet all of one that has just started.
 */
export function createWindows (): Windows {
  const workers = new Map<string, { tasks: Map<string, Segment[]>, at: number }>()

  const getTasks = (worker: string, now: number): Map<string, Segment[]> => {
    const known = workers.get(worker)
    if (known === undefined) workers.forEach(({ at }, name) => { if (now - at > FORGET_MS) workers.delete(name) })
    const tasks = known?.tasks ?? new Map<string, Segment[]>()
    workers.set(worker, { tasks, at: now })
    return tasks
  }

  return {
    update: (worker, filling, now) => {
      const tasks = getTasks(worker, now)
      const listed = new Set(filling.map(({ task }) => task))
      tasks.forEach((segments, task) => {
        if (!listed.has(task)) closeSegment(segments, now)
        const kept = segments.filter(({ until }) => until > now - RECENT_MS)
        if (kept.length > 0) tasks.set(task, kept)
        else tasks.delete(task)
      })
      filling.forEach(({ task, image, part, since }) => {
        const segments = tasks.get(task) ?? []
        tasks.set(task, segments)
        if (segments.at(-1)?.part === part && segments.at(-1)?.until === Infinity) return
        closeSegment(segments, Math.min(since, now))
        segments.push({ image, part, from: Math.min(since, now), until: Infinity })
      })
      if (tasks.size === 0) workers.delete(worker)
      const all = [...tasks.values()].flat()
      const uses = all.map(({ image, part, from, until }) => ({
        image, part: part * Math.max(0, Math.min(now, until) - Math.max(now - READING_MS, from)) / READING_MS
      }))
      return { uses: computeTotals(uses.filter(({ part }) => part > 0)), recent: computeTotals(all) }
    }
  }
}

function closeSegment (segments: Segment[], at: number): void {
  const last = segments.at(-1)
  if (last !== undefined) last.until = Math.min(last.until, at)
}

function computeTotals (uses: readonly FillingUse[]): FillingUse[] {
  const parts = new Map<string, number>()
  uses.forEach(({ image, part }) => parts.set(image, (parts.get(image) ?? 0) + part))
  return [...parts].map(([image, part]) => ({ image, part }))
}
