import type { StoredEntry } from '../logStore/index.js'
import { decodeCommand, type Command } from './messages.js'

/** Term and lengths of one entry in a message. */
const ENTRY_OVERHEAD_BYTES = 10

/** The entries after the base, in memory. The base is the last entry that was dropped. */
export interface EntryLog {
  readonly baseIndex: number
  readonly lastIndex: number
  readonly bytes: number
  /** Nothing when the entry was dropped or does not exist. */
  getTerm (index: number): number | undefined
  getEntry (index: number): StoredEntry | undefined
  /** Entries from an index on, up to a size; at least one when there is any. */
  listFrom (index: number, maxBytes?: number): StoredEntry[]
  /** Removes every entry from the index on. */
  removeFrom (index: number): void
  append (entry: StoredEntry): void
  /** Decodes an entry and keeps the result until `takeCommand`. */
  getCommand (entry: StoredEntry): Command
  /** The decoded entry, for the one who applies it and may change it. */
  takeCommand (entry: StoredEntry): Command
  /** Drops entries up to the index, which must exist. */
  prune (index: number): void
  reset (index: number, term: number): void
  /** First index of the run of entries that have the same term as this one. */
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
