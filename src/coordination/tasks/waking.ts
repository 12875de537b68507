/** Given to `abort` when it only ends a sleep: without a reason each call would build an exception with a stack. */
export const WOKEN = 'woken'
