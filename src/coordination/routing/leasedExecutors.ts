import type { Clock, Random } from '../../common/index.js'
import { createConnectionPool, type ConnectionPool } from './connectionPool.js'
import type { HealthTable } from './executorHealth.js'
import type { ExecutorLease } from './messages.js'
import type { ExecutorClient } from './types.js'

const CONNECTIONS_PER_SLOT = 2
/** An abandoned attempt that no report has shown as ended is dropped after this time. */
const ABANDONED_RETENTION_MS = 60_000
/** By this time after an attempt was abandoned, all bytes that were sent before have reached the executor. */
const MAX_DELIVERY_MS = 50
/** The first of two candidates is taken if its score is at most this multiple of the score of the second. */
const SCORE_TOLERANCE = 1.25
/** An executor's announcement that it is leaving is remembered this long, also when no lease on it is held. */
const LEAVING_RETENTION_MS = 10_000

/** An executor on which this host has leased slots, or had leased slots that are still in use. */
export interface LeasedExecutor {
  id: string
  /** The host that granted the lease. */
  owner: string
  service: string
  availabilityZone: string
  rack: string
  url: string
  incarnation: string
  slots: number
  connections: number
  /** The lease expires at this time; no attempt may start afterwards. */
  deadline: number
  leaving: boolean
  progressMs: number
  /** Number of requests of other hosts that the executor runs, by its last report. */
  otherLoad: number
  /** Attempts in flight by id, with the time of their start. */
  activeAttempts: Map<string, number>
  /** Attempts that this host gave up but that may still be running, by id, with the time at which they were given up. */
  abandonedAttempts: Map<string, number>
  pool: ConnectionPool
}

/** The executors on which this host has leased slots. */
export interface LeasedExecutors {
  list (service?: string): LeasedExecutor[]
  get (executor: string): LeasedExecutor | undefined
  /** Applies a lease that an owner granted or renewed. Its remaining time counts from `sentAt`, when the request for it was sent. */
  applyLease (owner: string, lease: ExecutorLease, sentAt: number): void
  /** Ends the leases of an owner that its reply does not list. */
  endUnlistedLeases (owner: string, listed: Set<string>): void
  setSlots (executor: LeasedExecutor, slots: number): void
  setLeaving (executor: string, incarnation: string): void
  /** Whether the lease is valid and the executor is not leaving. */
  canUse (executor: LeasedExecutor): boolean
  countFreeSlots (executor: LeasedExecutor): number
  /**
   * Chooses an executor with a free slot that was not tried yet, in this zone if there is one there. Of two random
   * candidates it takes the one with the lower expected time.
   */
  choose (service: string, tried: ReadonlySet<string>): LeasedExecutor | undefined
  /** Drops executors whose lease has expired and that run nothing for this host. */
  prune (): void
  stop (): void
}

export function createLeasedExecutors (options: {
  clock: Clock
  random: Random
  client: ExecutorClient
  holder: string
  availabilityZone: string
  health: HealthTable
}): LeasedExecutors {
  const { clock, random, client, holder, availabilityZone, health } = options
  const executors = new Map<string, LeasedExecutor>()
  const leaving = new Map<string, number>()

  const list: LeasedExecutors['list'] = (service) => {
    const all = [...executors.values()]
    return service === undefined ? all : all.filter((item) => item.service === service)
  }

  const applyLease: LeasedExecutors['applyLease'] = (owner, lease, sentAt) => {
    const deadline = sentAt + lease.remainingMs
    const known = executors.get(lease.executor)
    // A late reply of an owner that the executor has left must not replace a newer lease.
    if (known !== undefined && known.owner !== owner && deadline <= known.deadline) return
    const item: LeasedExecutor = known ?? createLeasedExecutor(lease, owner)
    executors.set(lease.executor, item)
    const isLeaving = lease.leaving || leaving.has(`${lease.executor} ${lease.incarnation}`)
    Object.assign(item, {
      owner,
      url: lease.url,
      incarnation: lease.incarnation,
      slots: lease.slots,
      connections: lease.connections,
      deadline,
      leaving: isLeaving,
      progressMs: lease.progressMs,
      otherLoad: lease.otherLoad
    })
    item.pool.setLimit(lease.connections, lease.url)
    removeEndedAttempts(item, lease, sentAt)
  }

  const createLeasedExecutor = (lease: ExecutorLease, owner: string): LeasedExecutor => ({
    id: lease.executor,
    owner,
    service: lease.service,
    availabilityZone: lease.availabilityZone,
    rack: lease.rack,
    url: lease.url,
    incarnation: lease.incarnation,
    slots: 0,
    connections: 0,
    deadline: 0,
    leaving: false,
    progressMs: 0,
    otherLoad: 0,
    activeAttempts: new Map(),
    abandonedAttempts: new Map(),
    pool: createConnectionPool(clock, client, holder)
  })

  /**
   * Removes abandoned attempts that have ended. The executor made its report at `sentAt - reportAgeMs` or later, so an
   * attempt whose bytes had all arrived before that time and that the report does not list has ended.
   */
  const removeEndedAttempts = (item: LeasedExecutor, lease: ExecutorLease, sentAt: number): void => {
    const reportedAfter = sentAt - lease.reportAgeMs
    for (const [id, abandonedAt] of item.abandonedAttempts) {
      if (abandonedAt + MAX_DELIVERY_MS < reportedAfter && !lease.running.includes(id)) item.abandonedAttempts.delete(id)
    }
  }

  const endUnlistedLeases: LeasedExecutors['endUnlistedLeases'] = (owner, listed) => {
    list().filter((item) => item.owner === owner && !listed.has(item.id)).forEach((item) => {
      // The owner does not know the executor any more or leases none of its slots to this host, so no attempt may start.
      setSlots(item, 0)
    })
  }

  const setSlots: LeasedExecutors['setSlots'] = (item, slots) => {
    item.slots = slots
    item.connections = Math.min(item.connections, slots * CONNECTIONS_PER_SLOT)
    item.pool.setLimit(item.connections, item.url)
  }

  const canUse = (item: LeasedExecutor): boolean => !item.leaving && clock.now() < item.deadline

  const countFreeSlots = (item: LeasedExecutor): number => {
    if (!canUse(item)) return 0
    const inUse = item.activeAttempts.size + item.abandonedAttempts.size
    return Math.max(0, Math.min(item.slots - inUse, health.getConcurrencyLimit(item.id) - item.activeAttempts.size))
  }

  const computeScore = (item: LeasedExecutor): number => {
    const [oldest] = item.activeAttempts.values()
    const waited = oldest === undefined ? 0 : clock.now() - oldest
    const load = item.activeAttempts.size + item.abandonedAttempts.size + item.otherLoad + 1
    return load * Math.max(health.getLatency(item.id), waited)
  }

  const choose: LeasedExecutors['choose'] = (service, tried) => {
    const free = list(service).filter((item) => !tried.has(item.id) && countFreeSlots(item) > 0)
    const inOwnZone = free.filter((item) => item.availabilityZone === availabilityZone)
    const candidates = inOwnZone.length > 0 ? inOwnZone : free
    if (candidates.length <= 1) return candidates[0]
    const first = random.below(candidates.length)
    const second = (first + 1 + random.below(candidates.length - 1)) % candidates.length
    const pair = [candidates[first], candidates[second]] as [LeasedExecutor, LeasedExecutor]
    // A small difference of the scores is noise; always following it would send all requests to the same few executors.
    return computeScore(pair[0]) <= computeScore(pair[1]) * SCORE_TOLERANCE ? pair[0] : pair[1]
  }

  const prune = (): void => {
    const now = clock.now()
    for (const [id, item] of executors) {
      // No report has shown the end of the attempt for so long, so the executor, and with it the occupied slot, no longer exists.
      for (const [attempt, since] of item.abandonedAttempts) {
        if (since + ABANDONED_RETENTION_MS < now) item.abandonedAttempts.delete(attempt)
      }
      if (item.deadline <= now) setSlots(item, 0)
      else item.pool.setLimit(item.connections, item.url)
      if (item.deadline <= now && item.activeAttempts.size === 0 && item.abandonedAttempts.size === 0) {
        item.pool.stop()
        executors.delete(id)
      }
    }
    for (const [id, since] of leaving) {
      if (since + LEAVING_RETENTION_MS < now) leaving.delete(id)
    }
  }

  return {
    list,
    get: (executor) => executors.get(executor),
    applyLease,
    endUnlistedLeases,
    setSlots,
    setLeaving: (executor, incarnation) => {
      leaving.set(`${executor} ${incarnation}`, clock.now())
      const item = executors.get(executor)
      if (item?.incarnation === incarnation) item.leaving = true
    },
    canUse,
    countFreeSlots,
    choose,
    prune,
    stop: () => executors.forEach((item) => item.pool.stop())
  }
}
