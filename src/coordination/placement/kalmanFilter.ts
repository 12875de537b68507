/** Weight of the coefficient at `index` in one measurement. */
export interface Feature { index: number, weight: number }

/** Coefficients of a linear model with their covariances, updated by one measurement at a time. */
export interface KalmanFilter {
  /** Adds a coefficient with the mean and variance of its prior, and returns its index. Updates never lower it below `lowerBound`. */
  add (value: number, variance: number, lowerBound?: number): number
  getValue (index: number): number
  setValue (index: number, value: number): void
  getVariance (index: number): number
  /**
   * `residual` is the measured value less the one that the present coefficients predict. It is clipped to
   * `maxResidualDeviations` standard deviations of the prediction. `noiseVariance` is the variance of a measurement.
   */
  update (features: Feature[], residual: number, noiseVariance: number, maxResidualDeviations: number, now: number): void
}

const MIN_VARIANCE = 1e-6
const INITIAL_CAPACITY = 32

/**
 * A Kalman filter over constant coefficients. An update changes only the coefficients that the measurement involves,
 * and their covariances with all others, so its cost is linear in the number of coefficients. The covariances with
 * the others have to be updated too, since the covariance matrix would become indefinite otherwise.
 * Without measurements, the variance of a coefficient grows back to that of its prior within `forgettingMs`.
 */
export function createKalmanFilter (forgettingMs: number): KalmanFilter {
  const values: number[] = []
  const priorVariances: number[] = []
  const lowerBounds: number[] = []
  const updatedAt: number[] = []
  // A symmetric matrix. Its rows are longer than needed, so that a new coefficient rarely copies them.
  const covariances: Float64Array[] = []
  let measurementCovariances = new Float64Array(INITIAL_CAPACITY)
  /** Coefficients that the present measurement involves. */
  let isInvolved = new Uint8Array(INITIAL_CAPACITY)

  const extend = (capacity: number): void => {
    covariances.forEach((row, index) => { covariances[index] = computeCopy(row, capacity) })
    measurementCovariances = new Float64Array(capacity)
    isInvolved = new Uint8Array(capacity)
  }

  /** Raises the variance of a coefficient for the time since its last measurement. */
  const inflateVariance = (index: number, now: number): void => {
    const elapsed = now - (updatedAt[index] as number)
    updatedAt[index] = now
    if (elapsed <= 0) return
    const prior = priorVariances[index] as number
    const row = covariances[index] as Float64Array
    row[index] = Math.min(prior, (row[index] as number) + prior * elapsed / forgettingMs)
  }

  /** Computes the covariance of each coefficient with the measurement, and returns the variance of the measurement. */
  const computeMeasurementVariance = (features: Feature[], noiseVariance: number): number => {
    measurementCovariances.fill(0)
    for (const { index, weight } of features) {
      const row = covariances[index] as Float64Array
      for (let other = 0; other < values.length; other++) measurementCovariances[other] = (measurementCovariances[other] as number) + weight * (row[other] as number)
    }
    return Math.max(noiseVariance, features.reduce((sum, { index, weight }) => sum + weight * (measurementCovariances[index] as number), noiseVariance))
  }

  return {
    add: (value, variance, lowerBound = -Infinity) => {
      const index = values.length
      if (index >= measurementCovariances.length) extend(measurementCovariances.length * 2)
      values.push(value)
      priorVariances.push(variance)
      lowerBounds.push(lowerBound)
      updatedAt.push(0)
      const row = new Float64Array(measurementCovariances.length)
      row[index] = variance
      covariances.push(row)
      return index
    },
    getValue: (index) => values[index] as number,
    setValue: (index, value) => { values[index] = value },
    getVariance: (index) => (covariances[index] as Float64Array)[index] as number,
    update: (features, residual, noiseVariance, maxResidualDeviations, now) => {
      isInvolved.fill(0)
      features.forEach(({ index }) => {
        inflateVariance(index, now)
        isInvolved[index] = 1
      })
      const measurementVariance = computeMeasurementVariance(features, noiseVariance)
      const maxResidual = maxResidualDeviations * Math.sqrt(measurementVariance)
      const clippedResidual = Math.max(-maxResidual, Math.min(maxResidual, residual))
      for (const { index } of features) {
        const row = covariances[index] as Float64Array
        const gain = (measurementCovariances[index] as number) / measurementVariance
        values[index] = Math.max(lowerBounds[index] as number, (values[index] as number) + gain * clippedResidual)
        for (let other = 0; other < values.length; other++) {
          // The covariance of two involved coefficients must be reduced once, not once for each of them.
          if (isInvolved[other] === 1 && other > index) continue
          const reduced = (row[other] as number) - gain * (measurementCovariances[other] as number)
          row[other] = reduced
          const mirrored = covariances[other] as Float64Array
          mirrored[index] = reduced
        }
        row[index] = Math.max(row[index] as number, MIN_VARIANCE)
      }
    }
  }
}

function computeCopy (row: Float64Array, capacity: number): Float64Array {
  const copy = new Float64Array(capacity)
  copy.set(row)
  return copy
}
