export interface Feature { index: number, weight: number }

/** Coefficients of a linear model, each with a variance, updated by one measurement at a time. */
export interface Fit {
  /** Adds a coefficient with its prior; `lowest` bounds it from below. */
  add (value: number, variance: number, lowest?: number): number
  getValue (index: number): number
  setValue (index: number, value: number): void
  getVariance (index: number): number
  /** `difference` is the measured value less the one that the present coefficients give. */
  update (features: Feature[], difference: number, noise: number, largestSurprise: number, now: number): void
}

const SMALLEST_VARIANCE = 1e-6
const FIRST_ROOM = 32

/**
 * A Kalman filter over constant coefficients. An update changes only the coefficients that the measurement involves,
 * and their covariances with all others, so its cost is linear in the number of coefficients. Leaving out the
 * covariances with the others makes the matrix indefinite.
 * The variance of a coefficient returns to its prior within `forgettingMs` without measurements.
 */
export function createFit (forgettingMs: number): Fit {
  const values: number[] = []
  const priors: number[] = []
  const lowest: number[] = []
  const updatedAt: number[] = []
  // Symmetric; rows have spare room, so that a new coefficient seldom copies them.
  const covariances: Float64Array[] = []
  let spread = new Float64Array(FIRST_ROOM)
  let isActive = new Uint8Array(FIRST_ROOM)

  const extend = (room: number): void => {
    covariances.forEach((row, index) => { covariances[index] = computeCopy(row, room) })
    spread = new Float64Array(room)
    isActive = new Uint8Array(room)
  }

  const forget = (index: number, now: number): void => {
    const elapsed = now - (updatedAt[index] as number)
    updatedAt[index] = now
    if (elapsed <= 0) return
    const prior = priors[index] as number
    const row = covariances[index] as Float64Array
    row[index] = Math.min(prior, (row[index] as number) + prior * elapsed / forgettingMs)
  }

  /** Covariance of each coefficient with the measurement; returns the variance of the measurement. */
  const computeSpread = (features: Feature[], noise: number): number => {
    spread.fill(0)
    for (const { index, weight } of features) {
      const row = covariances[index] as Float64Array
      for (let other = 0; other < values.length; other++) spread[other] = (spread[other] as number) + weight * (row[other] as number)
    }
    return Math.max(noise, features.reduce((sum, { index, weight }) => sum + weight * (spread[index] as number), noise))
  }

  return {
    add: (value, variance, bound = -Infinity) => {
      const index = values.length
      if (index >= spread.length) extend(spread.length * 2)
      values.push(value)
      priors.push(variance)
      lowest.push(bound)
      updatedAt.push(0)
      const row = new Float64Array(spread.length)
      row[index] = variance
      covariances.push(row)
      return index
    },
    getValue: (index) => values[index] as number,
    setValue: (index, value) => { values[index] = value },
    getVariance: (index) => (covariances[index] as Float64Array)[index] as number,
    update: (features, difference, noise, largestSurprise, now) => {
      isActive.fill(0)
      features.forEach(({ index }) => {
        forget(index, now)
        isActive[index] = 1
      })
      const total = computeSpread(features, noise)
      const bound = largestSurprise * Math.sqrt(total)
      const surprise = Math.max(-bound, Math.min(bound, difference))
      for (const { index } of features) {
        const row = covariances[index] as Float64Array
        const gain = (spread[index] as number) / total
        values[index] = Math.max(lowest[index] as number, (values[index] as number) + gain * surprise)
        for (let other = 0; other < values.length; other++) {
          // Each pair of active coefficients is reduced once.
          if (isActive[other] === 1 && other > index) continue
          const reduced = (row[other] as number) - gain * (spread[other] as number)
          row[other] = reduced
          const mirrored = covariances[other] as Float64Array
          mirrored[index] = reduced
        }
        row[index] = Math.max(row[index] as number, SMALLEST_VARIANCE)
      }
    }
  }
}

function computeCopy (row: Float64Array, room: number): Float64Array {
  const copy = new Float64Array(room)
  copy.set(row)
  return copy
}
