import { Err, Ok, type Clock } from '../common/index.js'
import { applyEntry, createReplicatedState, type ReplicatedLog, type Entry } from '../state/index.js'

/** Another host's replica of the log. It applies each entry after the first host; while it is unreachable, it falls behind. */
export interface MemoryFollower extends ReplicatedLog {
  setReachable (reachable: boolean): void
}

/** A replicated log in memory. Several fake hosts of one process may share it. */
export interface MemoryLog extends ReplicatedLog {
  /** While false, proposals and read barriers fail, as in a zone without a connection to the leader. */
  setReachable (reachable: boolean): void
  /** Adds a host, which follows the first one. */
  join (follower: string): MemoryFollower
}

type Listener = (entry: Entry, index: number) => void

/** Creates a log. With `slow` each proposal takes `commitMs`, as with a disk sync. */
export function createMemoryLog (host: string, slow?: { clock: Clock, commitMs: number }): MemoryLog {
  const state = createReplicatedState()
  const listeners = new Set<Listener>()
  const entries: Entry[] = []
  const hosts = [host]
  const followers = new Set<() => void>()
  let reachable = true

  const log: MemoryLog = {
    propose: async (entry) => {
      if (!reachable) return Err({ kind: 'no-leader', message: 'no leader can be reached' })
      if (slow !== undefined) await slow.clock.sleep(slow.commitMs)
      const outcome = applyEntry(state, entry)
      const index = entries.push(structuredClone(entry))
      listeners.forEach((listener) => listener(entry, index))
      followers.forEach((follow) => follow())
      return outcome.accepted
        ? Ok({ index, value: outcome.value })
        : Err({ kind: 'rejected', rejection: outcome.rejection })
    },
    readBarrier: async () => reachable ? Ok(entries.length) : Err({ kind: 'no-leader', message: 'no leader can be reached' }),
    state: () => state,
    status: () => ({
      role: 'leader',
      term: 1,
      leader: reachable ? host : undefined,
      commitIndex: entries.length,
      appliedIndex: entries.length,
      voters: [...hosts],
      learners: [],
      progress: hosts.map((name) => ({ host: name, matchIndex: entries.length, votes: true, lastHeardAgoMs: 0 })),
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
      const joined = createFollower(log, entries)
      followers.add(joined.follow)
      return joined.log
    }
  }
  return log
}

function createFollower (log: MemoryLog, entries: readonly Entry[]): { log: MemoryFollower, follow: () => void } {
  const state = createReplicatedState()
  const listeners = new Set<Listener>()
  let applied = 0
  let reachable = true

  const follow = (): void => {
    if (!reachable) return
    entries.slice(applied).forEach((recorded) => {
      const entry = structuredClone(recorded)
      applied += 1
      applyEntry(state, entry)
      listeners.forEach((listener) => listener(entry, applied))
    })
  }

  return {
    follow,
    log: {
      ...log,
      propose: async (entry, deadline) => reachable ? log.propose(entry, deadline) : Err({ kind: 'no-leader', message: 'no leader can be reached' }),
      state: () => state,
      status: () => ({ ...log.status(), role: 'follower', appliedIndex: applied, commitIndex: applied, progress: [] }),
      subscribe: (listener) => {
        listeners.add(listener)
        return () => { listeners.delete(listener) }
      },
      setReachable: (value) => {
        reachable = value
        follow()
      }
    }
  }
}
