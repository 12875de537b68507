/**
 * Upper bounds of buckets grow by a constant ratio, from 0.1 ms to about 100 s. A quantile is at most 10% above the
 * exact one.
 */
const FIRST_BOUND_MS = 0.1
const BUCKET_RATIO = 1.1
const BUCKET_COUNT = 146

export type LatencyCounts = number[]

export interface LatencyHistogram {
  record (now: number, latencyMs: number): void
  /** Counts by bucket over the last hour, without the empty buckets at the end. */
  getCounts (now: number): LatencyCounts
}

const SLOT_MS = 15 * 60_000
const SLOT_COUNT = 4

/** Counts the latencies of the last hour in slots of 15 min, so that old ones are dropped in steps of 15 min. */
export function createLatencyHistogram (): LatencyHistogram {
  const quarterHours = Array.from({ length: SLOT_COUNT }, () => ({ slot: -1, counts: new Uint32Array(BUCKET_COUNT) }))
  let newestSlot = 0

  return {
    record: (now, latencyMs) => {
      newestSlot = Math.max(newestSlot, Math.floor(now / SLOT_MS))
      const quarterHour = quarterHours[newestSlot % SLOT_COUNT]!
      if (quarterHour.slot !== newestSlot) {
        quarterHour.slot = newestSlot
        quarterHour.counts.fill(0)
      }
      const bucket = computeBucket(latencyMs)
      quarterHour.counts[bucket] = quarterHour.counts[bucket]! + 1
    },
    getCounts: (now) => {
      const current = Math.max(newestSlot, Math.floor(now / SLOT_MS))
      const currentQuarterHours = quarterHours.filter((quarterHour) => quarterHour.slot > current - SLOT_COUNT)
      const counts = Array.from({ length: BUCKET_COUNT }, (_, bucket) =>
        currentQuarterHours.reduce((sum, quarterHour) => sum + quarterHour.counts[bucket]!, 0))
      // Empty buckets at the end are dropped to keep summary messages small.
      return counts.slice(0, counts.findLastIndex((count) => count > 0) + 1)
    }
  }
}

export function mergeLatencyCounts (first: LatencyCounts, second: LatencyCounts): LatencyCounts {
  const [longer, shorter] = first.length >= second.length ? [first, second] : [second, first]
  return longer.map((count, bucket) => count + (shorter[bucket] ?? 0))
}

/** Upper bound of the bucket that contains the quantile, ms; null without requests. */
export function computeQuantile (counts: LatencyCounts, quantile: number): number | null {
  const total = counts.reduce((sum, count) => sum + count, 0)
  if (total === 0) return null
  const rank = Math.ceil(total * quantile)
  let cumulative = 0
  const bucket = counts.findIndex((count) => {
    cumulative += count
    return cumulative >= rank
  })
  return Number((FIRST_BOUND_MS * BUCKET_RATIO ** bucket).toPrecision(4))
}

function computeBucket (latencyMs: number): number {
  if (!(latencyMs > FIRST_BOUND_MS)) return 0
  return Math.min(BUCKET_COUNT - 1, Math.ceil(Math.log(latencyMs / FIRST_BOUND_MS) / Math.log(BUCKET_RATIO)))
}
