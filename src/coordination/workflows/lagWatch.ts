import type { Clock } from '../../common/index.js'
import { MAX_LAG_MS } from './timing.js'

/** Tells how far another host has to have applied the log before it may give orders for this leader. */
export interface LagWatch {
  /** Notes what is applied here now; called several times within `MAX_LAG_MS`. */
  recordApplied (): void
  /** The division of the workers has changed: each worker has one host only once all of them know. */
  recordDivision (index: number): void
  /** The entry that a process of a host has to have applied. A process that speaks for the first time may be far behind. */
  getRequiredIndex (host: string, process: string): number
}

export function createLagWatch (clock: Clock, getAppliedIndex: () => number): LagWatch {
  const processes = new Map<string, { process: string, index: number }>()
  let dividedAt = getAppliedIndex()
  /** What was applied here and when, oldest first; the first one is older than `MAX_LAG_MS` as soon as there is one. */
  let history: Array<{ at: number, index: number }> = []

  return {
    recordDivision: (index) => { dividedAt = index },
    recordApplied: () => {
      const oldEnough = clock.now() - MAX_LAG_MS
      history.push({ at: clock.now(), index: getAppliedIndex() })
      const latestOld = history.findLastIndex(({ at }) => at <= oldEnough)
      history = history.slice(Math.max(0, latestOld))
    },
    getRequiredIndex: (host, process) => {
      const known = processes.get(host)
      const joined = known?.process === process ? known : { process, index: getAppliedIndex() }
      processes.set(host, joined)
      const [oldest] = history
      const lagging = oldest !== undefined && oldest.at <= clock.now() - MAX_LAG_MS ? oldest.index : 0
      return Math.max(dividedAt, joined.index, lagging)
    }
  }
}
