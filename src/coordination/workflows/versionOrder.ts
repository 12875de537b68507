/** Versions of which the use is kept; requests live for seconds, and the catalog changes less often. */
const MAX_KEPT_VERSIONS = 16

/**
 * Order of the catalog versions by which an entry host has answered. A request that waited for a new leader may be answered by
 * a newer version than a request that arrived after it and was answered before it. Clients would then see the later request
 * handled by the older version.
 */
export interface VersionOrder {
  /**
   * True if an answer by the version keeps the order: no request that arrived clearly later was answered by an older version,
   * and none that arrived clearly earlier by a newer one.
   */
  isKept (arrivedAt: number, version: number): boolean
  /** Records that a request was answered by the version. */
  record (arrivedAt: number, version: number): void
}

/** `toleranceMs`: requests whose arrivals are less than this apart count as concurrent. */
export function createVersionOrder (toleranceMs: number): VersionOrder {
  /** By version: arrival of the earliest and of the latest request that it has answered. */
  const uses = new Map<number, { firstAt: number, lastAt: number }>()
  return {
    isKept: (arrivedAt, version) => [...uses].every(([other, { firstAt, lastAt }]) =>
      (other >= version || lastAt - arrivedAt <= toleranceMs) && (other <= version || arrivedAt - firstAt <= toleranceMs)),
    record: (arrivedAt, version) => {
      const use = uses.get(version)
      uses.set(version, { firstAt: Math.min(arrivedAt, use?.firstAt ?? Infinity), lastAt: Math.max(arrivedAt, use?.lastAt ?? -Infinity) })
      if (uses.size > MAX_KEPT_VERSIONS) uses.delete(Math.min(...uses.keys()))
    }
  }
}
