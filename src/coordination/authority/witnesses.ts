import { CLOCK_RATE_BOUND, GRANT_MS } from './terms.js'

/** What a coordinator knows about the promises that workers made to its term. */
export interface Witnesses {
  /** `sentAt` is when the granted request was sent: the holder counts its lease from there. */
  recordGrant (worker: string, sentAt: number, noted: number): void
  removeGrant (worker: string): void
  /** Until when a majority of each set is held; `-Infinity` without one. */
  getDeadline (): number
  isHeld (now: number): boolean
  /** A majority of each set holds this version of the journal note. */
  isNoted (version: number): boolean
  setSets (sets: string[][]): void
}

interface Grant { deadline: number, noted: number }

export function createWitnesses (initialSets: string[][]): Witnesses {
  const grants = new Map<string, Grant>()
  let sets = initialSets
  // A grant only extends the lease, so a former result stays good until it is reached.
  let heldUntil = -Infinity

  const getDeadline = (): number => Math.min(...sets.map((set) => findMajorityValue(set, (worker) => grants.get(worker)?.deadline)))

  return {
    recordGrant: (worker, sentAt, noted) => {
      const granted = sentAt + GRANT_MS * (1 - CLOCK_RATE_BOUND)
      const known = grants.get(worker)?.deadline ?? -Infinity
      grants.set(worker, { deadline: Math.max(granted, known), noted })
    },
    removeGrant: (worker) => {
      grants.delete(worker)
      heldUntil = -Infinity
    },
    getDeadline,
    isHeld: (now) => {
      if (heldUntil <= now) heldUntil = getDeadline()
      return heldUntil > now
    },
    isNoted: (version) => sets.every((set) => findMajorityValue(set, (worker) => grants.get(worker)?.noted) >= version),
    setSets: (next) => {
      sets = next
      heldUntil = -Infinity
    }
  }
}

/** The largest value that a majority of the set reaches; `Infinity` for an empty set. */
function findMajorityValue (set: string[], getValue: (worker: string) => number | undefined): number {
  if (set.length === 0) return Infinity
  const values = set
    .map((worker) => getValue(worker) ?? -Infinity)
    .sort((left, right) => right - left)
  return values[Math.floor(set.length / 2)] as number
}
