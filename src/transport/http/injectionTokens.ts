/** Dependency injection token of the `EntryHost` that the controllers call. */
export const ENTRY_HOST = Symbol('EntryHost')
