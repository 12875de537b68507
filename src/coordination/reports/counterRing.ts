/** Counts events in a sliding window, in a fixed number of slots of equal duration. */
export interface CounterRing {
  add (now: number, count?: number): void
  /** Sum of the slot of `now` and the earlier slots that fit into `windowMs`. */
  sum (now: number, windowMs: number): number
}

/**
 * The slot of `now` has only partly elapsed, so a window covers up to one slot less than `windowMs`.
 * `now` is monotonic. An event with a time before the newest slot counts in the newest one, because the slot of its time
 * may already have been reused.
 */
export function createCounterRing (slotMs: number, slots: number): CounterRing {
  const counts = new Float64Array(slots)
  let newestSlot: number | undefined

  /** Clears the slots between the newest one and that of `now`, and returns the newest. */
  const advanceTo = (now: number): number => {
    const slot = Math.floor(now / slotMs)
    if (newestSlot === undefined) newestSlot = slot
    if (slot > newestSlot) {
      const staleSlots = Math.min(slot - newestSlot, slots)
      Array.from({ length: staleSlots }, (_, index) => (newestSlot! + 1 + index) % slots)
        .forEach((position) => { counts[position] = 0 })
      newestSlot = slot
    }
    return newestSlot
  }

  const sumRange = (start: number, end: number): number =>
    counts.subarray(start, end).reduce((sum, count) => sum + count, 0)

  return {
    add: (now, count = 1) => {
      const position = computePosition(advanceTo(now), slots)
      counts[position] = counts[position]! + count
    },
    sum: (now, windowMs) => {
      const end = computePosition(advanceTo(now), slots) + 1
      const windowSlots = Math.min(slots, Math.max(1, Math.round(windowMs / slotMs)))
      return windowSlots <= end
        ? sumRange(end - windowSlots, end)
        : sumRange(0, end) + sumRange(slots - (windowSlots - end), slots)
    }
  }
}

function computePosition (slot: number, slots: number): number {
  return ((slot % slots) + slots) % slots
}
