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
  // Lower triangle of the covariances, by row.
  const covariances: number[][] = []

  const getCovariance = (one: number, other: number): number =>
    one >= other ? (covariances[one]?.[other] as number) : (covariances[other]?.[one] as number)
  const setCovariance = (one: number, other: number, value: number): void => {
    (covariances[Math.max(one, other)] as number[])[Math.min(one, other)] = value
  }

  const forget = (index: number, now: number): void => {
    const elapsed = now - (updatedAt[index] as number)
    updatedAt[index] = now
    if (elapsed <= 0) return
    const prior = priors[index] as number
    setCovariance(index, index, Math.min(prior, getCovariance(index, index) + prior * elapsed / forgettingMs))
  }

  return {
    add: (value, variance, bound = -Infinity) => {
      const index = values.length
      values.push(value)
      priors.push(variance)
      lowest.push(bound)
      updatedAt.push(0)
      covariances.push([...Array.from({ length: index }, () => 0), variance])
      return index
    },
    getValue: (index) => values[index] as number,
    setValue: (index, value) => { values[index] = value },
    getVariance: (index) => getCovariance(index, index),
    update: (features, difference, noise, largestSurprise, now) => {
      features.forEach(({ index }) => forget(index, now))
      const active = new Set(features.map(({ index }) => index))
      // Covariance of each coefficient with the measurement.
      const spread = values.map((_, index) => features.reduce((sum, other) => sum + getCovariance(index, other.index) * other.weight, 0))
      const total = Math.max(noise, noise + features.reduce((sum, { index, weight }) => sum + weight * (spread[index] as number), 0))
      const bound = largestSurprise * Math.sqrt(total)
      const surprise = Math.max(-bound, Math.min(bound, difference))
      features.forEach(({ index }) => {
        const gain = (spread[index] as number) / total
        values[index] = Math.max(lowest[index] as number, (values[index] as number) + gain * surprise)
        for (let other = 0; other < values.length; other++) {
          if (active.has(other) && other > index) continue
          const reduced = getCovariance(index, other) - gain * (spread[other] as number)
          setCovariance(index, other, index === other ? Math.max(reduced, SMALLEST_VARIANCE) : reduced)
        }
      })
    }
  }
}
