import type { CoordinatorTerm } from '../tasks/exchange.js'

/** Lease of a coordinator on a worker, ms. */
export const GRANT_MS = 2_500
/** Bound on the difference of two clock rates over a lease. */
export const CLOCK_RATE_BOUND = 0.01

export function compareTerms (left: CoordinatorTerm, right: CoordinatorTerm): number {
  if (left.epoch !== right.epoch) return left.epoch - right.epoch
  if (left.round !== right.round) return left.round - right.round
  if (left.host === right.host) return 0
  return left.host < right.host ? -1 : 1
}

export function formatTerm (term: CoordinatorTerm): string {
  return `${term.epoch}.${term.round}.${term.host}`
}
