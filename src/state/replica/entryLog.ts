import type { StoredEntry } from '../logStore/index.js'
import { decodeCommand, type Command } from './messages.js'

/** Size of an entry's term and length fields in a message. */
const ENTRY_OVERHEAD_BYTES = 10

/** The log entries in memory. The base is the last entry that was pruned; all later entries are available. */
export interface EntryLog {
  readonly baseIndex: number
  readonly lastIndex: number
  readonly bytes: number
  /** Undefined if the entry was pruned or does not exist; the term of the base entry itself stays known. */
  getTerm (index: number): number | undefined
  getEntry (index: number): StoredEntry | undefined
  /** Returns entries from an index on, up to a total size; at least one if there is any. */
  listFrom (index: number, maxBytes?: number): StoredEntry[]
  /** Removes every entry from the index on. */
  removeFrom (index: number): void
  append (entry: StoredEntry): void
  /** Decodes an entry and caches the command until `takeCommand`. */
  getCommand (entry: StoredEntry): Command
  /** Decodes an entry and removes the command from the cache, so that applying the command may modify it. */
  takeCommand (entry: StoredEntry): Command
  /** Drops all entries up to the index, which must be in the log. */
  prune (index: number): void
  /** Drops all entries and sets the base. */
  reset (index: number, term: number): void
  /** Returns the first of the consecutive entries that have the same term as the entry at the index. */
  findFirstOfTerm (index: number): number
}

export function createEntryLog (baseIndex: number, baseTerm: number, initial: StoredEntry[]): EntryLog {
  let entries = [...initial]
  let base = { index: baseIndex, term: baseTerm }
  let bytes = countBytes(entries)
  const commands = new WeakMap<StoredEntry, Command>()

  const getEntry = (index: number): StoredEntry | undefined => entries[index - base.index - 1]
  const getTerm = (index: number): number | undefined => index === base.index ? base.term : getEntry(index)?.term

  return {
    get baseIndex () { return base.index },
    get lastIndex () { return base.index + entries.length },
    get bytes () { return bytes },
    getTerm,
    getEntry,
    getCommand: (entry) => {
      const command = commands.get(entry) ?? decodeCommand(entry.bytes)
      commands.set(entry, command)
      return command
    },
    takeCommand: (entry) => {
      const command = commands.get(entry) ?? decodeCommand(entry.bytes)
      commands.delete(entry)
      return command
    },
    listFrom: (index, maxBytes = Infinity) => {
      const start = index - base.index - 1
      let size = 0
      let end = start
      while (end < entries.length) {
        size += ENTRY_OVERHEAD_BYTES + (entries[end]?.bytes.length ?? 0)
        if (size > maxBytes && end > start) break
        end += 1
      }
      return entries.slice(start, end)
    },
    removeFrom: (index) => {
      const removed = entries.splice(index - base.index - 1)
      bytes -= countBytes(removed)
    },
    append: (entry) => {
      entries.push(entry)
      bytes += entry.bytes.length
    },
    prune: (index) => {
      if (index <= base.index) return
      const term = getTerm(index) ?? 0
      entries = entries.slice(index - base.index)
      base = { index, term }
      bytes = countBytes(entries)
    },
    reset: (index, term) => {
      entries = []
      base = { index, term }
      bytes = 0
    },
    findFirstOfTerm: (index) => {
      const term = getTerm(index)
      let first = index
      while (first - 1 > base.index && getTerm(first - 1) === term) first -= 1
      return first
    }
  }
}

function countBytes (entries: StoredEntry[]): number {
  return entries.reduce((sum, entry) => sum + entry.bytes.length, 0)
}
