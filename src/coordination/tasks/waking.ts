/** Abort reason for a controller that only interrupts a sleep. Without a reason, each `abort` would create an exception with a stack trace. */
export const WAKE_REASON = 'woken'
