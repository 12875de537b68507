import type { CoordinatorTerm } from '../tasks/exchange.js'

/** Duration of a coordinator's lease on a worker, ms. */
export const GRANT_MS = 2_500
/** Maximum relative difference between the rates of two clocks over a lease. */
export const CLOCK_RATE_BOUND = 0.01

/** Orders terms by epoch, then round, then host. */
export function compareTerms (left: CoordinatorTerm, right: CoordinatorTerm): number {
  if (left.epoch !== right.epoch) return left.epoch - right.epoch
  if (left.round !== right.round) return left.round - right.round
  if (left.host === right.host) return 0
  return left.host < right.host ? -1 : 1
}

export function formatTerm (term: CoordinatorTerm): string {
  return `${term.epoch}.${term.round}.${term.host}`
}
