import { Ok, type Result } from '../common/index.js'

export type JournalStoreFailure = { kind: 'journal-not-written', message: string }

/** Keeps the lines of one host's journal. The caller encodes and decodes them. */
export interface JournalStore {
  /** True when a line that was appended survives a restart of the host. */
  readonly synced: boolean
  load (): Promise<string[]>
  append (lines: string[]): Promise<Result<void, JournalStoreFailure>>
  /** Replaces everything, as after a snapshot. */
  replace (lines: string[]): Promise<Result<void, JournalStoreFailure>>
}

/** Keeps the lines in memory only, for a host without a disk. */
export function createMemoryJournalStore (): JournalStore {
  // Nothing is read back, so nothing is kept: the journal member itself holds the state.
  return {
    synced: false,
    load: async () => [],
    append: async () => Ok(undefined),
    replace: async () => Ok(undefined)
  }
}
