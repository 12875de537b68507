const RETRY_SHARE = 0.1
/** Retries that are possible after a quiet time; small, so that a burst of failures is not doubled. */
const BURST = 10

/** Limits retries to a tenth of the requests, so that they cannot add up to an overload. */
export interface RetryBudget {
  recordRequest (): void
  claim (): boolean
}

export function createRetryBudget (): RetryBudget {
  let tokens = BURST
  return {
    recordRequest: () => { tokens = Math.min(BURST, tokens + RETRY_SHARE) },
    claim: () => {
      if (tokens < 1) return false
      tokens -= 1
      return true
    }
  }
}
