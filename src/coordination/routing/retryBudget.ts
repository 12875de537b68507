/** Tokens that each request adds to the budget; a retry costs one token. */
const RETRIES_PER_REQUEST = 0.1
/** Most retries in a row; small, so that a burst of failures does not double the load. */
const MAX_TOKENS = 10

/** Token bucket that limits retries to a tenth of the requests, so that retries cannot cause an overload. */
export interface RetryBudget {
  recordRequest (): void
  /** Takes a token for one retry; false when none is left. */
  tryConsume (): boolean
}

export function createRetryBudget (): RetryBudget {
  let tokens = MAX_TOKENS
  return {
    recordRequest: () => { tokens = Math.min(MAX_TOKENS, tokens + RETRIES_PER_REQUEST) },
    tryConsume: () => {
      if (tokens < 1) return false
      tokens -= 1
      return true
    }
  }
}
