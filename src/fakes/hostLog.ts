import { Err } from '../common/index.js'
import { applyEntry, createReplicatedState, type ReplicatedLog, type Entry } from '../state/index.js'
import type { MemoryLog } from './memoryLog.js'

/** A host's replica of a shared log. While the host is unreachable it applies no entries. */
export interface HostLog extends ReplicatedLog {
  setReachable (reachable: boolean): void
}

/** A shared log and the replicas of its hosts. */
export interface LogGroup {
  join (host: string): HostLog
  setLeader (host: string): void
}

export function createLogGroup (log: MemoryLog, firstLeader: string): LogGroup {
  const entries: Entry[] = []
  let leader = firstLeader
  log.subscribe((entry) => { entries.push(structuredClone(entry)) })

  const join = (host: string): HostLog => {
    const state = createReplicatedState()
    const listeners = new Set<(entry: Entry, index: number) => void>()
    let applied = 0
    let reachable = true

    const catchUp = (): void => {
      if (!reachable) return
      while (applied < entries.length) {
        const entry = entries[applied] as Entry
        applied += 1
        applyEntry(state, structuredClone(entry))
        listeners.forEach((listener) => listener(entry, applied))
      }
    }
    log.subscribe(catchUp)
    catchUp()

    return {
      state: () => state,
      propose: async (entry, deadline) => reachable
        ? await log.propose(structuredClone(entry), deadline)
        : Err({ kind: 'no-leader', message: 'no leader can be reached' }),
      readBarrier: async (deadline) => reachable ? await log.readBarrier(deadline) : Err({ kind: 'no-leader', message: 'no leader can be reached' }),
      status: () => ({
        ...log.status(),
        role: host === leader ? 'leader' : 'follower',
        leader: reachable ? leader : undefined,
        commitIndex: applied,
        appliedIndex: applied
      }),
      subscribe: (listener) => {
        listeners.add(listener)
        return () => { listeners.delete(listener) }
      },
      stop: async () => { listeners.clear() },
      setReachable: (value) => {
        reachable = value
        catchUp()
      }
    }
  }

  return { join, setLeader: (host) => { leader = host } }
}
