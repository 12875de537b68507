import type { Clock, Random } from '../../common/index.js'
import { createConnectionPool, type ConnectionPool } from './connections.js'
import type { HealthTable } from './health.js'
import type { CreditLoan } from './messages.js'
import type { ExecutorClient } from './types.js'

const CONNECTIONS_PER_SLOT = 2
const ABANDONED_LIMIT_MS = 60_000
/** Bytes sent before an attempt was given up have reached the executor after this time. */
const DELIVERY_MS = 50
const SCORE_TOLERANCE = 1.25
const RECENT_LEAVING_MS = 10_000

/** An executor of which this host holds slots, or held some that are still in use. */
export interface HeldExecutor {
  id: string
  home: string
  service: string
  availabilityZone: string
  rack: string
  url: string
  incarnation: string
  slots: number
  connections: number
  /** The slots may be used before this time. */
  deadline: number
  leaving: boolean
  progressMs: number
  otherLoad: number
  /** Attempts in flight and the time of their start. */
  active: Map<string, number>
  /** Attempts that were given up and may still be running there, and the time of that. */
  abandoned: Map<string, number>
  pool: ConnectionPool
}

export interface Holdings {
  list (service?: string): HeldExecutor[]
  get (executor: string): HeldExecutor | undefined
  /** Applies a loan; `sentAt` is the time at which its request was sent, from which its deadline counts. */
  applyLoan (home: string, loan: CreditLoan, sentAt: number): void
  /** Gives up the loans of a home that its reply did not mention. */
  applyAbsent (home: string, mentioned: Set<string>): void
  setSlots (executor: HeldExecutor, slots: number): void
  setLeaving (executor: string, incarnation: string): void
  canUse (executor: HeldExecutor): boolean
  countFree (executor: HeldExecutor): number
  /** Own zone first; of two at random the one with the lower expected time. */
  choose (service: string, tried: ReadonlySet<string>): HeldExecutor | undefined
  prune (): void
  stop (): void
}

export function createHoldings (options: {
  clock: Clock
  random: Random
  client: ExecutorClient
  holder: string
  availabilityZone: string
  health: HealthTable
}): Holdings {
  const { clock, random, client, holder, availabilityZone, health } = options
  const executors = new Map<string, HeldExecutor>()
  const leaving = new Map<string, number>()

  const list: Holdings['list'] = (service) => {
    const all = [...executors.values()]
    return service === undefined ? all : all.filter((item) => item.service === service)
  }

  const applyLoan: Holdings['applyLoan'] = (home, loan, sentAt) => {
    const deadline = sentAt + loan.remainingMs
    const known = executors.get(loan.executor)
    // A late reply of a home that the executor has left must not replace a newer loan.
    if (known !== undefined && known.home !== home && deadline <= known.deadline) return
    const item: HeldExecutor = known ?? createHeld(loan, home)
    executors.set(loan.executor, item)
    const isLeaving = loan.leaving || leaving.has(`${loan.executor} ${loan.incarnation}`)
    Object.assign(item, {
      home,
      url: loan.url,
      incarnation: loan.incarnation,
      slots: loan.slots,
      connections: loan.connections,
      deadline,
      leaving: isLeaving,
      progressMs: loan.progressMs,
      otherLoad: loan.otherLoad
    })
    item.pool.setLimit(loan.connections, loan.url)
    forgetFinished(item, loan, sentAt)
  }

  const createHeld = (loan: CreditLoan, home: string): HeldExecutor => ({
    id: loan.executor,
    home,
    service: loan.service,
    availabilityZone: loan.availabilityZone,
    rack: loan.rack,
    url: loan.url,
    incarnation: loan.incarnation,
    slots: 0,
    connections: 0,
    deadline: 0,
    leaving: false,
    progressMs: 0,
    otherLoad: 0,
    active: new Map(),
    abandoned: new Map(),
    pool: createConnectionPool(clock, client, holder)
  })

  /** The executor made its report at `sentAt - reportAgeMs` or later, so an attempt given up before that and not listed has ended. */
  const forgetFinished = (item: HeldExecutor, loan: CreditLoan, sentAt: number): void => {
    const reportedAfter = sentAt - loan.reportAgeMs
    for (const [id, abandonedAt] of item.abandoned) {
      if (abandonedAt + DELIVERY_MS < reportedAfter && !loan.running.includes(id)) item.abandoned.delete(id)
    }
  }

  const applyAbsent: Holdings['applyAbsent'] = (home, mentioned) => {
    list().filter((item) => item.home === home && !mentioned.has(item.id)).forEach((item) => {
      // The home has no record of the executor or no free slot; nothing new is started.
      setSlots(item, 0)
    })
  }

  const setSlots: Holdings['setSlots'] = (item, slots) => {
    item.slots = slots
    item.connections = Math.min(item.connections, slots * CONNECTIONS_PER_SLOT)
    item.pool.setLimit(item.connections, item.url)
  }

  const canUse = (item: HeldExecutor): boolean => !item.leaving && clock.now() < item.deadline

  const countFree = (item: HeldExecutor): number => {
    if (!canUse(item)) return 0
    const inUse = item.active.size + item.abandoned.size
    return Math.max(0, Math.min(item.slots - inUse, health.getAllowance(item.id) - item.active.size))
  }

  const computeScore = (item: HeldExecutor): number => {
    const [oldest] = item.active.values()
    const waited = oldest === undefined ? 0 : clock.now() - oldest
    const load = item.active.size + item.abandoned.size + item.otherLoad + 1
    return load * Math.max(health.getLatency(item.id), waited)
  }

  const choose: Holdings['choose'] = (service, tried) => {
    const free = list(service).filter((item) => !tried.has(item.id) && countFree(item) > 0)
    const own = free.filter((item) => item.availabilityZone === availabilityZone)
    const candidates = own.length > 0 ? own : free
    if (candidates.length <= 1) return candidates[0]
    const first = random.below(candidates.length)
    const second = (first + 1 + random.below(candidates.length - 1)) % candidates.length
    const pair = [candidates[first], candidates[second]] as [HeldExecutor, HeldExecutor]
    // A small difference is noise; following it would send everything to the same few executors.
    return computeScore(pair[0]) <= computeScore(pair[1]) * SCORE_TOLERANCE ? pair[0] : pair[1]
  }

  const prune = (): void => {
    const now = clock.now()
    for (const [id, item] of executors) {
      // Without a report for so long the executor is gone, and with it its slots.
      for (const [attempt, since] of item.abandoned) {
        if (since + ABANDONED_LIMIT_MS < now) item.abandoned.delete(attempt)
      }
      if (item.deadline <= now) setSlots(item, 0)
      else item.pool.setLimit(item.connections, item.url)
      if (item.deadline <= now && item.active.size === 0 && item.abandoned.size === 0) {
        item.pool.stop()
        executors.delete(id)
      }
    }
    for (const [id, since] of leaving) {
      if (since + RECENT_LEAVING_MS < now) leaving.delete(id)
    }
  }

  return {
    list,
    get: (executor) => executors.get(executor),
    applyLoan,
    applyAbsent,
    setSlots,
    setLeaving: (executor, incarnation) => {
      leaving.set(`${executor} ${incarnation}`, clock.now())
      const item = executors.get(executor)
      if (item?.incarnation === incarnation) item.leaving = true
    },
    canUse,
    countFree,
    choose,
    prune,
    stop: () => executors.forEach((item) => item.pool.stop())
  }
}
