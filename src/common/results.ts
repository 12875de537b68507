import tsResults, { type Result } from 'ts-results'

/** `ts-results` is a CommonJS package, so its values are taken from the default import, here only. */
export const { Ok, Err } = tsResults
export type { Result }
