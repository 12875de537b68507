import type { Policy } from '../../state/index.js'

/**
 * The policy of a host that holds no lease on a preset. It does not place a task next to a service if the interference
 * of the pair is unknown, evicts tasks only to keep a worker within its capacity, and leaves half of each worker to services.
 */
export const ISOLATION_POLICY: Policy = Object.freeze({
  tailLatencyWeight: 2,
  throughputWeight: 0.5,
  evictionWeight: 4,
  safetyMargin: 1,
  batchShare: 0.5,
  explorationRate: 0,
  evictionsPerMinute: 0,
  queuePerSlot: 2
})
