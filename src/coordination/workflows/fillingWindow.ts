/** Readings of tails cover this long. */
const READING_MS = 500

/** What filling tasks of an image used, as a part of the worker's cores, on average over the time that a reading covers. */
export interface FillingUse { image: string, part: number }

interface Presence { image: string, part: number, from: number, until: number }

export interface Windows {
  /** Takes the filling tasks that a worker lists now; returns what was there while its readings were taken. */
  update (worker: string, filling: ReadonlyArray<{ task: string, image: string, part: number, since: number }>, now: number): FillingUse[]
}

/**
 * Remembers which tasks filled a worker in the last moments: a tail still shows the pressure of a task that has just
 * ended, and not yet all of one that has just started.
 */
export function createWindows (): Windows {
  const workers = new Map<string, Map<string, Presence>>()

  const getPresences = (worker: string): Map<string, Presence> => {
    const known = workers.get(worker)
    if (known !== undefined) return known
    const created = new Map<string, Presence>()
    workers.set(worker, created)
    return created
  }

  return {
    update: (worker, filling, now) => {
      const presences = getPresences(worker)
      const listed = new Set(filling.map(({ task }) => task))
      presences.forEach((presence, task) => {
        if (!listed.has(task)) presence.until = Math.min(presence.until, now)
        if (presence.until < now - READING_MS) presences.delete(task)
      })
      filling.forEach(({ task, image, part, since }) => presences.set(task, { image, part, from: since, until: Infinity }))
      if (presences.size === 0) workers.delete(worker)
      const parts = new Map<string, number>()
      presences.forEach(({ image, part, from, until }) => {
        const overlap = Math.max(0, Math.min(now, until) - Math.max(now - READING_MS, from)) / READING_MS
        if (overlap > 0) parts.set(image, (parts.get(image) ?? 0) + part * overlap)
      })
      return [...parts].map(([image, part]) => ({ image, part }))
    }
  }
}
