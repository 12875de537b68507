import type { Clock } from '../../common/index.js'
import { MAX_LAG_MS } from './timing.js'

/** Computes the log index that another host must have applied before it may give orders on behalf of this leader. */
export interface ReplicaLagTracker {
  /** Records the index that is applied here now; has to be called several times within `MAX_LAG_MS`. */
  recordApplied (): void
  /** Records the index of a new session assignment. Hosts must have applied it, since otherwise two of them could give orders to the same worker. */
  recordSessionAssignment (index: number): void
  /** The index that a process of a host must have applied. A process at its first request may be far behind, so it must reach the index that is applied here at that time. */
  getRequiredIndex (host: string, process: string): number
}

export function createReplicaLagTracker (clock: Clock, getAppliedIndex: () => number): ReplicaLagTracker {
  const processes = new Map<string, { process: string, index: number }>()
  let assignmentIndex = getAppliedIndex()
  /** Applied indices with their times, oldest first. The first item is the latest one older than `MAX_LAG_MS`, as soon as there is one. */
  let history: Array<{ at: number, index: number }> = []

  return {
    recordSessionAssignment: (index) => { assignmentIndex = index },
    recordApplied: () => {
      const lagStart = clock.now() - MAX_LAG_MS
      history.push({ at: clock.now(), index: getAppliedIndex() })
      const lastBeforeLag = history.findLastIndex(({ at }) => at <= lagStart)
      history = history.slice(Math.max(0, lastBeforeLag))
    },
    getRequiredIndex: (host, process) => {
      const known = processes.get(host)
      const firstRequest = known?.process === process ? known : { process, index: getAppliedIndex() }
      processes.set(host, firstRequest)
      const [oldest] = history
      const laggedIndex = oldest !== undefined && oldest.at <= clock.now() - MAX_LAG_MS ? oldest.index : 0
      return Math.max(assignmentIndex, firstRequest.index, laggedIndex)
    }
  }
}
