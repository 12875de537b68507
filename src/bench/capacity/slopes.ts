/** A straight line fitted to measured points, and its prediction of one point that was left out of the fit. */
export interface Slope {
  /** Value of the line at x = 0. */
  base: number
  perUnit: number
  check: { x: number, measured: number, predicted: number }
}

export interface Sample { x: number, y: number }

/** Fits a line by least squares to all samples but the one with the largest x, which checks the prediction. */
export function computeSlope (samples: Sample[]): Slope {
  const sorted = [...samples].sort((a, b) => a.x - b.x)
  const last = sorted.at(-1) as Sample
  const fitted = sorted.slice(0, -1)
  const mean = (pick: (sample: Sample) => number): number => fitted.reduce((sum, sample) => sum + pick(sample), 0) / fitted.length
  const meanX = mean(({ x }) => x)
  const meanY = mean(({ y }) => y)
  const xVariation = fitted.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0)
  const perUnit = xVariation === 0 ? 0 : fitted.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0) / xVariation
  const base = meanY - perUnit * meanX
  return { base, perUnit, check: { x: last.x, measured: last.y, predicted: base + perUnit * last.x } }
}
