/** Buckets of equal ratio from 0.1 ms to about 100 s; a quantile is exact to 10%. */
const LOWEST_MS = 0.1
const GROWTH = 1.1
const BUCKETS = 146

export type LatencyCounts = number[]

export interface LatencyHistogram {
  record (now: number, latencyMs: number): void
  /** Counts by bucket over the last hour, as they go into a summary. */
  getCounts (now: number): LatencyCounts
}

const SLOT_MS = 15 * 60_000
const SLOTS = 4

/** Latencies of the last hour, in quarters, so that old ones leave in steps of 15 min. */
export function createLatencyHistogram (): LatencyHistogram {
  const quarters = Array.from({ length: SLOTS }, () => ({ slot: -1, counts: new Uint32Array(BUCKETS) }))
  let newest = 0

  return {
    record: (now, latencyMs) => {
      newest = Math.max(newest, Math.floor(now / SLOT_MS))
      const quarter = quarters[newest % SLOTS]!
      if (quarter.slot !== newest) {
        quarter.slot = newest
        quarter.counts.fill(0)
      }
      const bucket = computeBucket(latencyMs)
      quarter.counts[bucket] = quarter.counts[bucket]! + 1
    },
    getCounts: (now) => {
      const current = Math.max(newest, Math.floor(now / SLOT_MS))
      const live = quarters.filter((quarter) => quarter.slot > current - SLOTS)
      const counts = Array.from({ length: BUCKETS }, (_, bucket) =>
        live.reduce((sum, quarter) => sum + quarter.counts[bucket]!, 0))
      // Empty buckets at the end are left out to keep the summary message small.
      return counts.slice(0, counts.findLastIndex((count) => count > 0) + 1)
    }
  }
}

export function mergeLatencyCounts (first: LatencyCounts, second: LatencyCounts): LatencyCounts {
  const [longer, shorter] = first.length >= second.length ? [first, second] : [second, first]
  return longer.map((count, bucket) => count + (shorter[bucket] ?? 0))
}

/** Upper bound of the bucket that holds the quantile, ms; null without any request. */
export function computeQuantile (counts: LatencyCounts, quantile: number): number | null {
  const total = counts.reduce((sum, count) => sum + count, 0)
  if (total === 0) return null
  const rank = Math.ceil(total * quantile)
  let seen = 0
  const bucket = counts.findIndex((count) => {
    seen += count
    return seen >= rank
  })
  return Number((LOWEST_MS * GROWTH ** bucket).toPrecision(4))
}

function computeBucket (latencyMs: number): number {
  if (!(latencyMs > LOWEST_MS)) return 0
  return Math.min(BUCKETS - 1, Math.ceil(Math.log(latencyMs / LOWEST_MS) / Math.log(GROWTH)))
}
