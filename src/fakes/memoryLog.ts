import { Err, Ok } from '../common/index.js'
import { applyEntry, createAgreedState, type AgreedLog, type Entry } from '../state/index.js'

/** An agreed log of one process without a disk. Several fake hosts may share it. */
export interface MemoryLog extends AgreedLog {
  /** While false, nothing can be proposed, as in a zone that is cut off. */
  setReachable (reachable: boolean): void
}

export function createMemoryLog (host: string): MemoryLog {
  const state = createAgreedState()
  const listeners = new Set<(entry: Entry, index: number) => void>()
  let index = 0
  let reachable = true

  return {
    propose: async (entry) => {
      if (!reachable) return Err({ kind: 'no-leader', message: 'no leader can be reached' })
      const outcome = applyEntry(state, entry)
      index += 1
      listeners.forEach((listener) => listener(entry, index))
      return outcome.accepted
        ? Ok({ index, value: outcome.value })
        : Err({ kind: 'rejected', rejection: outcome.rejection })
    },
    readBarrier: async () => reachable ? Ok(index) : Err({ kind: 'no-leader', message: 'no leader can be reached' }),
    state: () => state,
    status: () => ({
      role: 'leader',
      term: 1,
      leader: reachable ? host : undefined,
      commitIndex: index,
      appliedIndex: index,
      voters: [host],
      learners: [],
      progress: [],
      survivableLosses: 0
    }),
    subscribe: (listener) => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    },
    stop: async () => {},
    setReachable: (value) => { reachable = value }
  }
}
