import { CLOCK_RATE_BOUND, GRANT_MS } from './terms.js'

/**
 * The lease grants that workers have given to a coordinator's term. The coordinator holds its lease while a majority of each
 * witness set has granted it. There are several sets while earlier epochs may still have a coordinator.
 */
export interface Witnesses {
  /**
   * Records a granted request. The lease is counted from `sentAt`, the time at which the request was sent; `noted` is the
   * version of the in-sync set that the worker stores.
   */
  recordGrant (worker: string, sentAt: number, noted: number): void
  removeGrant (worker: string): void
  /** Time until which a majority of each set has granted the lease; `-Infinity` without such a majority. */
  getDeadline (): number
  hasLease (now: number): boolean
  /** A majority of each set stores this version of the in-sync set, or a later one. */
  isInSyncSetStored (version: number): boolean
  setWitnessSets (sets: string[][]): void
}

interface Grant { deadline: number, noted: number }

export function createWitnesses (initialSets: string[][]): Witnesses {
  const grants = new Map<string, Grant>()
  let sets = initialSets
  // A grant can only extend the lease, so a computed deadline stays valid until it is reached or a grant is removed.
  let cachedDeadline = -Infinity

  const getDeadline = (): number => Math.min(...sets.map((set) => findMajorityValue(set, (worker) => grants.get(worker)?.deadline)))

  return {
    recordGrant: (worker, sentAt, noted) => {
      const granted = sentAt + GRANT_MS * (1 - CLOCK_RATE_BOUND)
      const known = grants.get(worker)?.deadline ?? -Infinity
      grants.set(worker, { deadline: Math.max(granted, known), noted })
    },
    removeGrant: (worker) => {
      grants.delete(worker)
      cachedDeadline = -Infinity
    },
    getDeadline,
    hasLease: (now) => {
      if (cachedDeadline <= now) cachedDeadline = getDeadline()
      return cachedDeadline > now
    },
    isInSyncSetStored: (version) => sets.every((set) => findMajorityValue(set, (worker) => grants.get(worker)?.noted) >= version),
    setWitnessSets: (next) => {
      sets = next
      cachedDeadline = -Infinity
    }
  }
}

/** The largest value that a majority of the set reaches or exceeds; `Infinity` for an empty set. */
function findMajorityValue (set: string[], getValue: (worker: string) => number | undefined): number {
  if (set.length === 0) return Infinity
  const values = set
    .map((worker) => getValue(worker) ?? -Infinity)
    .sort((left, right) => right - left)
  return values[Math.floor(set.length / 2)] as number
}
