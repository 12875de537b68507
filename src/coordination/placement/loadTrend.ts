/** Length of the window in which the regression is computed. */
const WINDOW_MS = 8000
const MIN_POINTS = 8
const MAX_POINTS = 64
/** A rise is significant when its slope is more than this many standard errors. */
const MIN_STANDARD_ERRORS = 3
/** Limit of the extrapolation above the smoothed load. */
const MAX_RISE = 0.6

interface Point { at: number, load: number }

/** Estimates the load of a service from the late reports of all its replicas. */
export interface LoadTrend {
  /** Smoothed load without extrapolation. */
  readonly load: number
  record (measuredAt: number, load: number): void
  /** Expected load at a time after the last report: a significant rise is extrapolated, a fall is not. */
  estimate (at: number): number
}

export function createLoadTrend (smoothingGain: number): LoadTrend {
  let points: Point[] = []
  let smoothed = 1
  return {
    get load () { return smoothed },
    record: (measuredAt, load) => {
      smoothed += smoothingGain * (load - smoothed)
      points.push({ at: measuredAt, load })
      const newest = points.reduce((latest, point) => Math.max(latest, point.at), -Infinity)
      points = points.filter(({ at }) => newest - at <= WINDOW_MS).slice(-MAX_POINTS)
    },
    estimate: (at) => {
      if (points.length < MIN_POINTS) return smoothed
      const { slope, error, meanAt, meanLoad } = computeRegression(points)
      if (slope <= MIN_STANDARD_ERRORS * error) return smoothed
      return Math.max(smoothed, Math.min(smoothed + MAX_RISE, meanLoad + slope * (at - meanAt)))
    }
  }
}

/** Linear regression of the load over time by least squares, with the standard error of the slope. */
function computeRegression (points: Point[]): { slope: number, error: number, meanAt: number, meanLoad: number } {
  const count = points.length
  const meanAt = points.reduce((sum, { at }) => sum + at, 0) / count
  const meanLoad = points.reduce((sum, { load }) => sum + load, 0) / count
  const squaredDeviations = points.reduce((sum, { at }) => sum + (at - meanAt) ** 2, 0)
  if (squaredDeviations === 0) return { slope: 0, error: Infinity, meanAt, meanLoad }
  const slope = points.reduce((sum, { at, load }) => sum + (at - meanAt) * (load - meanLoad), 0) / squaredDeviations
  const squaredResiduals = points.reduce((sum, { at, load }) => sum + (load - meanLoad - slope * (at - meanAt)) ** 2, 0)
  return { slope, error: Math.sqrt(squaredResiduals / (count - 2) / squaredDeviations), meanAt, meanLoad }
}
