/** Counts over a sliding time, in slots of equal width. Its size is fixed. */
export interface CounterRing {
  add (now: number, count?: number): void
  /** Sum of the slot of `now` and the ones before it that fit in `windowMs`. */
  sum (now: number, windowMs: number): number
}

/**
 * The slot of `now` is partly filled, so a window covers up to one slot less than its nominal length.
 * `now` is monotonic. A time before the newest slot counts in that slot, so that no later reading rewrites the past.
 */
export function createCounterRing (slotMs: number, slots: number): CounterRing {
  const counts = new Float64Array(slots)
  let newest: number | undefined

  const advanceTo = (now: number): number => {
    const slot = Math.floor(now / slotMs)
    if (newest === undefined) newest = slot
    if (slot > newest) {
      const stale = Math.min(slot - newest, slots)
      Array.from({ length: stale }, (_, index) => (newest! + 1 + index) % slots)
        .forEach((position) => { counts[position] = 0 })
      newest = slot
    }
    return newest
  }

  const sumOf = (start: number, end: number): number =>
    counts.subarray(start, end).reduce((sum, count) => sum + count, 0)

  return {
    add: (now, count = 1) => {
      const position = computePosition(advanceTo(now), slots)
      counts[position] = counts[position]! + count
    },
    sum: (now, windowMs) => {
      const end = computePosition(advanceTo(now), slots) + 1
      const length = Math.min(slots, Math.max(1, Math.round(windowMs / slotMs)))
      return length <= end
        ? sumOf(end - length, end)
        : sumOf(0, end) + sumOf(slots - (length - end), slots)
    }
  }
}

function computePosition (slot: number, slots: number): number {
  return ((slot % slots) + slots) % slots
}
