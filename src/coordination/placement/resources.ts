import type { Resources } from '../../state/schemas.js'

export type Dimension = keyof Resources
export const DIMENSIONS: readonly Dimension[] = ['cores', 'memoryBytes', 'accelerators']

/** Relative tolerance of comparisons, so that rounding errors of sums never reject an exact fit. */
const ROUNDING = 1e-9

export function createResources (cores = 0, memoryBytes = 0, accelerators = 0): Resources {
  return { cores, memoryBytes, accelerators }
}

export function addResources (total: Resources, amount: Resources, factor = 1): void {
  total.cores += amount.cores * factor
  total.memoryBytes += amount.memoryBytes * factor
  total.accelerators += amount.accelerators * factor
}

export function isWithin (amount: Resources, limit: Resources): boolean {
  return findExcess(amount, limit) === undefined
}

/** The first dimension in which `amount`, added to `held`, exceeds `limit`. */
export function findExcess (amount: Resources, limit: Resources, held?: Resources): Dimension | undefined {
  if ((held?.cores ?? 0) + amount.cores > limit.cores * (1 + ROUNDING)) return 'cores'
  if ((held?.memoryBytes ?? 0) + amount.memoryBytes > limit.memoryBytes * (1 + ROUNDING)) return 'memoryBytes'
  if ((held?.accelerators ?? 0) + amount.accelerators > limit.accelerators * (1 + ROUNDING)) return 'accelerators'
  return undefined
}

/** Dominant share: the largest part of `total` that `amount` takes in any dimension. */
export function computeDominantShare (amount: Resources, total: Resources): number {
  return DIMENSIONS.reduce((most, dimension) =>
    total[dimension] > 0 ? Math.max(most, amount[dimension] / total[dimension]) : most, 0)
}

/**
 * Undefined if `amount` fits one of the capacities. Otherwise the capacity that comes closest is taken (the one whose
 * largest ratio of amount to capacity is smallest), and its dimension with the largest ratio is returned.
 */
export function findInfeasibleDimension (amount: Resources, capacities: Resources[]): Dimension | undefined {
  if (capacities.length === 0 || capacities.some((capacity) => isWithin(amount, capacity))) return undefined
  const excesses = capacities.map((capacity) => DIMENSIONS
    .filter((dimension) => amount[dimension] > capacity[dimension])
    .map((dimension) => ({ dimension, ratio: amount[dimension] / Math.max(capacity[dimension], 1e-9) }))
    .reduce((worst, excess) => excess.ratio > worst.ratio ? excess : worst))
  return excesses.reduce((closest, excess) => excess.ratio < closest.ratio ? excess : closest).dimension
}
