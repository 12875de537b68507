/** Time over which the trend is fitted. */
const WINDOW_MS = 8000
const FEWEST_POINTS = 8
const MOST_POINTS = 64
/** A rise counts when it is this many times its standard error. */
const SIGNIFICANCE = 3
/** A rise is followed at most this far above the smoothed load. */
const LARGEST_RISE = 0.6

interface Point { at: number, load: number }

/** Follows the load of a service from late reports of all its replicas. */
export interface Trend {
  /** Smoothed load without extrapolation. */
  readonly load: number
  record (measuredAt: number, load: number): void
  /** The load at a time after the last report: a significant rise is extrapolated, a fall is not. */
  estimate (at: number): number
}

export function createTrend (gain: number): Trend {
  let points: Point[] = []
  let smoothed = 1
  return {
    get load () { return smoothed },
    record: (measuredAt, load) => {
      smoothed += gain * (load - smoothed)
      points.push({ at: measuredAt, load })
      const newest = points.reduce((latest, point) => Math.max(latest, point.at), -Infinity)
      points = points.filter(({ at }) => newest - at <= WINDOW_MS).slice(-MOST_POINTS)
    },
    estimate: (at) => {
      if (points.length < FEWEST_POINTS) return smoothed
      const { slope, error, meanAt, meanLoad } = computeLine(points)
      if (slope <= SIGNIFICANCE * error) return smoothed
      return Math.max(smoothed, Math.min(smoothed + LARGEST_RISE, meanLoad + slope * (at - meanAt)))
    }
  }
}

/** Least squares of load over time, with the standard error of the slope. */
function computeLine (points: Point[]): { slope: number, error: number, meanAt: number, meanLoad: number } {
  const count = points.length
  const meanAt = points.reduce((sum, { at }) => sum + at, 0) / count
  const meanLoad = points.reduce((sum, { load }) => sum + load, 0) / count
  const spread = points.reduce((sum, { at }) => sum + (at - meanAt) ** 2, 0)
  if (spread === 0) return { slope: 0, error: Infinity, meanAt, meanLoad }
  const slope = points.reduce((sum, { at, load }) => sum + (at - meanAt) * (load - meanLoad), 0) / spread
  const residual = points.reduce((sum, { at, load }) => sum + (load - meanLoad - slope * (at - meanAt)) ** 2, 0)
  return { slope, error: Math.sqrt(residual / (count - 2) / spread), meanAt, meanLoad }
}
