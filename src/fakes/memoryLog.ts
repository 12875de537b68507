import { Err, Ok, type Clock } from '../common/index.js'
import { applyEntry, createAgreedState, type AgreedLog, type Entry } from '../state/index.js'

/** An agreed log of one process without a disk. Several fake hosts may share it. */
export interface MemoryLog extends AgreedLog {
  /** While false, nothing can be proposed, as in a zone that is cut off. */
  setReachable (reachable: boolean): void
  /** The log as another host sees it that follows the first one without any lag. */
  join (follower: string): AgreedLog
}

/** With a clock each proposal takes `commitMs`, as if a disk were synced. */
export function createMemoryLog (host: string, slow?: { clock: Clock, commitMs: number }): MemoryLog {
  const state = createAgreedState()
  const listeners = new Set<(entry: Entry, index: number) => void>()
  let index = 0
  let reachable = true
  const hosts = [host]

  const log: MemoryLog = {
    propose: async (entry) => {
      if (!reachable) return Err({ kind: 'no-leader', message: 'no leader can be reached' })
      if (slow !== undefined) await slow.clock.sleep(slow.commitMs)
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
      voters: [...hosts],
      learners: [],
      progress: hosts.map((name) => ({ host: name, matchIndex: index, votes: true, lastHeardAgoMs: 0 })),
      survivableLosses: 0
    }),
    subscribe: (listener) => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    },
    stop: async () => {},
    setReachable: (value) => { reachable = value },
    join: (follower) => {
      hosts.push(follower)
      return { ...log, status: () => ({ ...log.status(), role: 'follower', progress: [] }) }
    }
  }
  return log
}
