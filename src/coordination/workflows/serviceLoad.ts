/** Expected load of a latency-critical task before any reading, as a share of the load that saturates it. */
export const PRIOR_LOAD = 0.42
const PRIOR_LOAD_VARIANCE = 0.15 ** 2
/** Variance of the slope (change of load per second) before any reading; a load that oscillates by half within 10 s changes by up to 0.13 per second. */
const PRIOR_SLOPE_VARIANCE = 0.09 ** 2
/** Square of the angular frequency of the oscillation, per s²: fits periods of 10 to 14 s, and the readings correct the remaining difference. */
const OSCILLATION_FREQUENCY_SQUARED = 0.3
/** Variance that the slope gains per second, so that oscillations of other periods are followed too. */
const SLOPE_PROCESS_NOISE = 0.03 ** 2
/** After a longer time without readings the phase of the oscillation counts as unknown. */
const MAX_READING_GAP_MS = 4000
/** Readings are means over the last half second, so they stand for the load in its middle. */
const READING_DELAY_MS = 250
const MS_PER_S = 1000
const FORECAST_STEP_MS = 250

/** Kalman filter state of the load of a latency-critical step, whose tasks all oscillate alike; slopes are per s. */
export interface ServiceLoad {
  value: number
  slope: number
  variance: number
  covariance: number
  slopeVariance: number
  at: number
}

export function createServiceLoad (mean: number, now: number): ServiceLoad {
  return { value: mean, slope: 0, variance: PRIOR_LOAD_VARIANCE, covariance: 0, slopeVariance: PRIOR_SLOPE_VARIANCE, at: now - READING_DELAY_MS }
}

/** Kalman prediction: advances a load to the time that a reading taken at `now` stands for. */
export function updateToReadingTime (load: ServiceLoad, mean: number, now: number): void {
  const at = now - READING_DELAY_MS
  const elapsedMs = at - load.at
  if (elapsedMs > MAX_READING_GAP_MS) Object.assign(load, createServiceLoad(mean, now))
  if (elapsedMs <= 0 || elapsedMs > MAX_READING_GAP_MS) return
  const seconds = elapsedMs / MS_PER_S
  Object.assign(load, computeNextState(load, mean, seconds))
  load.variance = Math.min(PRIOR_LOAD_VARIANCE, load.variance + 2 * seconds * load.covariance + seconds ** 2 * load.slopeVariance + SLOPE_PROCESS_NOISE * seconds ** 3 / 3)
  load.covariance += seconds * load.slopeVariance + SLOPE_PROCESS_NOISE * seconds ** 2 / 2
  load.slopeVariance = Math.min(PRIOR_SLOPE_VARIANCE, load.slopeVariance + SLOPE_PROCESS_NOISE * seconds)
  load.at = at
}

/** Kalman correction: applies to the load its share of the residual. */
export function applyResidual (load: ServiceLoad, residual: number, residualVariance: number): void {
  const gain = load.variance / residualVariance
  const slopeGain = load.covariance / residualVariance
  load.value = Math.max(0, load.value + gain * residual)
  load.slope += slopeGain * residual
  load.slopeVariance -= slopeGain * load.covariance
  load.covariance -= gain * load.covariance
  load.variance -= gain * load.variance
}

/** Highest load expected between `now` and `until`; the usual peak of the image when the last reading is too old. */
export function estimatePeak (load: ServiceLoad, now: number, until: number, { mean, peak }: { mean: number, peak: number }): number {
  if (now - load.at > MAX_READING_GAP_MS) return peak
  let state = { value: load.value, slope: load.slope }
  let highest = 0
  for (let at = load.at; at < until; at += FORECAST_STEP_MS) {
    state = computeNextState(state, mean, FORECAST_STEP_MS / MS_PER_S)
    if (at + FORECAST_STEP_MS >= now) highest = Math.max(highest, state.value)
  }
  return highest
}

function computeNextState ({ value, slope }: { value: number, slope: number }, mean: number, seconds: number): { value: number, slope: number } {
  const nextSlope = slope - OSCILLATION_FREQUENCY_SQUARED * (value - mean) * seconds
  return { value: Math.max(0, value + (slope + nextSlope) / 2 * seconds), slope: nextSlope }
}
