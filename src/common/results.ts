import tsResults, { type Result } from 'ts-results'

/** `ts-results` is a CommonJS package: its values need the default import. Other files import them from here. */
export const { Ok, Err } = tsResults
export type { Result }
