import type { Logger, Metrics } from '../../common/index.js'
import type { PlacementCandidate, Pool } from './candidates.js'
import { addCapacity, hasCapacityFor } from './capacityForecast.js'
import { canKeepReserve } from './groups.js'
import { canHold } from './placement.js'
import { compareUrgencyClasses, getLateness } from './plan.js'
import { estimateEndAt, estimateSavedMs, measureIdleCores, recordOthers, removeWorkers, type Reservation, type StoredReservation } from './reservationRules.js'
import type { ReservationSearch } from './reservationSearch.js'
import type { RunDurations } from './runDurations.js'
import type { TrackedGroup } from './waiting.js'

/** A group that fits on no worker gets a reservation after this wait. Two tries on all workers; short work has about 600 ms of slack. */
const RESERVE_AFTER_MS = 200
/** Pause between two searches, and between two for one class of groups. A search takes about 1 ms on a site of 342 workers, so that at most 3% of the thread are used. */
const SEARCH_PAUSE_MS = 40
const SEARCH_INTERVAL_MS = 200
/** Largest share of a pool's workers that may be reserved. */
const MAX_RESERVED_SHARE = 0.1
/** Largest share that may be reserved for interrupted long-running tasks, which are a small share of the load. */
const MAX_INTERRUPTED_SHARE = 0.05
/** Workers reserved for one group of tasks that start independently. */
const MAX_RESERVED_PER_GROUP = 4
/** Time after `readyAt` that a reservation lasts at least: the end of a run reaches the leader after a report and a commit, and the group is tried in the next pass. */
const MIN_SPREAD_MS = 150
/** Delay before the next reservation of a group after one that was dropped because the forecast was wrong; doubles each time. */
const FIRST_RETRY_MS = 500
const MAX_RETRY_MS = 8000
/** Interval at which the worker for an interrupted long-running task is chosen again. */
const INTERRUPTED_REVIEW_MS = 1000
/** Interval at which data about groups that no longer wait is deleted. */
const PRUNE_MS = 1000
/** Groups that will end without value get no reservation; see `getLateness`. */
const WORTHLESS = 2

/** Reservations that a class of groups must respect, and the names of their workers. */
interface ClosedWorkers {
  closing: readonly StoredReservation[]
  excluded: string
  workers: ReadonlySet<string>
  holders: ReadonlySet<string>
  /** Latest `readyAt` and most spare cores of the reservations: a group that needs more can use none of the workers. */
  latestReadyAt: number
  mostSpareCores: number
}

type DropReason = 'late' | 'overtaken' | 'worker-unavailable' | 'not-waiting' | 'placed-elsewhere' | 'displaced' | 'review'

interface BlockedGroup { since: number, searchAt: number, retryMs: number }

export interface ReservationsOptions {
  logger: Logger
  metrics: Metrics
  runDurations: RunDurations
  search: ReservationSearch
  /** False: only interrupted long-running tasks get reservations. */
  looksAhead: boolean
}

/** The part of a pool that a group may use; `excluded` names the workers that are reserved for others. */
export interface SelectedPool { pool: Pool, excluded: string }

export interface Reservations {
  /** Drops reservations that have expired or lost their group or a worker; called at the start of each pass. */
  update (trackedGroups: readonly TrackedGroup[], pools: ReadonlyMap<string, Pool>, now: number, wallTime: number): void
  /** Returns the pool without the workers that are reserved for other groups and that the group may not use meanwhile. */
  selectPool (tracked: TrackedGroup, pool: Pool, now: number, wallTime: number): SelectedPool
  /** Returns the workers whose free capacity has grown, without those that are reserved for other groups. */
  selectFreed (tracked: TrackedGroup, pool: Pool, wallTime: number): readonly PlacementCandidate[]
  /** Records that the group was tried on all workers and some of its tasks fit on none. */
  recordBlocked (tracked: TrackedGroup, now: number): void
  recordPlaced (tracked: TrackedGroup, workers: readonly string[], now: number, wallTime: number): void
  /** Reserves workers for the blocked groups of interrupted long-running tasks. */
  openInterrupted (resumed: readonly TrackedGroup[], pools: ReadonlyMap<string, Pool>, now: number): void
  /** Reserves workers for the groups that were blocked in this pass. */
  openBlocked (pools: ReadonlyMap<string, Pool>, now: number, wallTime: number): void
  /** Returns the pools without the workers that are reserved for any group, for work that has no group, as copies of runs. */
  excludeReserved (pools: ReadonlyMap<string, Pool>): ReadonlyMap<string, Pool>
  list (): readonly Reservation[]
}

/**
 * Holds workers for groups that fit on none now, until the runs there have ended. Handles a backlog of small tasks that
 * would take each piece of capacity as it becomes free, so that a large task or a gang would wait as long as it lasts.
 * Without blocked groups a call costs nothing; with them, the cost is bounded by the constants above.
 */
export function createReservations (options: ReservationsOptions): Reservations {
  const { logger, metrics, runDurations, search } = options
  let reservations: StoredReservation[] = []
  /** Groups that have fitted on no worker, by key. */
  const blockedGroups = new Map<string, BlockedGroup>()
  /** By equivalence class or group: time of the next search. */
  const searchAt = new Map<string, number>()
  let blockedInPass: TrackedGroup[] = []
  const selectedPools = new Map<string, Pool>()
  const closedByClass = new Map<string, ClosedWorkers>()
  /** Candidates of the reserved workers in this pass. */
  let reservedCandidates = new Map<string, PlacementCandidate>()
  let searchedAt = -Infinity
  let updatedAt = 0
  let prunedAt = 0

  const resetSelections = (): void => {
    selectedPools.clear()
    closedByClass.clear()
  }

  const remove = (reservation: StoredReservation): void => {
    reservations = reservations.filter((other) => other !== reservation)
    resetSelections()
    metrics.count('reservation.idle_core_ms', Math.round(reservation.idleCoreMs))
  }

  const drop = (reservation: StoredReservation, reason: DropReason, now: number): void => {
    remove(reservation)
    metrics.count('reservation.dropped', 1, { reason })
    logger.info('reservation.dropped', { group: reservation.group, workers: reservation.workers.join(), reason, lateMs: Math.round(now - reservation.readyAt), idleCoreMs: Math.round(reservation.idleCoreMs) })
    const blocked = blockedGroups.get(reservation.group)
    if (blocked === undefined || reservation.isExclusive || (reason !== 'late' && reason !== 'overtaken')) return
    blocked.searchAt = now + blocked.retryMs
    blocked.retryMs = Math.min(MAX_RETRY_MS, blocked.retryMs * 2)
  }

  const addReservation = (reservation: StoredReservation, pool: Pool, now: number): void => {
    reservations.push(reservation)
    pool.workers.filter(({ id }) => reservation.workers.includes(id)).forEach((worker) => reservedCandidates.set(worker.id, worker))
    resetSelections()
    const { group, workers, readyAt, expiresAt, waitingSince } = reservation
    logger.info('reservation.open', { group, workers: workers.join(), waitedMs: Math.round(now - waitingSince), readyInMs: Math.round(readyAt - now), expiresInMs: Math.round(expiresAt - now) })
  }

  const prune = (trackedGroups: readonly TrackedGroup[], now: number): void => {
    if (now - prunedAt < PRUNE_MS) return
    prunedAt = now
    const waiting = new Set(trackedGroups.map(({ key }) => key))
    blockedGroups.forEach((_blocked, key) => { if (!waiting.has(key)) blockedGroups.delete(key) })
    searchAt.forEach((at, key) => { if (at <= now) searchAt.delete(key) })
  }

  /** True if a group may use a worker that is reserved for a group of the same or a more urgent class. */
  const canUse = (reservation: StoredReservation, { group: { step, indexes } }: TrackedGroup, worker: string, getEndAt: () => number): boolean => {
    if (reservation.isExclusive) return false
    const candidate = reservedCandidates.get(worker)
    // A worker without free cores counts as closed, so that groups of one class see the same workers and share their failed tries.
    // Best-effort tasks need no free cores; the spare memory, which seldom differs between groups, decides for them.
    if (candidate === undefined || (!step.fills && !canHold(candidate, { step, countStepRuns: () => 0 }))) return false
    const spare = reservation.spare.get(worker)
    const needed = addCapacity({ cores: 0, memoryMb: 0, accelerators: 0 }, step.fills ? { ...step, cores: 0 } : step, indexes.length)
    return (spare !== undefined && hasCapacityFor(spare, needed)) || getEndAt() <= reservation.readyAt
  }

  /** Reserved workers that groups of one urgency class may not use in general; cached, because a pass tries many groups of few classes. */
  const getClosed = ({ group, progress }: TrackedGroup, wallTime: number): ClosedWorkers => {
    const { record: { service }, priority, step: { lasting } } = group
    const key = [service, priority, lasting, getLateness(group, wallTime), progress.isStarved].join()
    const known = closedByClass.get(key)
    if (known !== undefined) return known
    const hasPrecedence = ({ isExclusive, waiting }: StoredReservation): boolean => !isExclusive && (progress.isStarved || compareUrgencyClasses(group, waiting, wallTime) < 0)
    const closing = reservations.filter((reservation) => reservation.service === service && !hasPrecedence(reservation))
    const workers = closing.flatMap((reservation) => reservation.workers)
    const closed: ClosedWorkers = {
      closing,
      excluded: workers.join(),
      workers: new Set(workers),
      holders: new Set(closing.map((reservation) => reservation.group)),
      latestReadyAt: Math.max(...closing.map(({ readyAt }) => readyAt)),
      mostSpareCores: Math.max(...closing.flatMap(({ spare }) => [...spare.values()].map(({ cores }) => cores)))
    }
    closedByClass.set(key, closed)
    return closed
  }

  const listUsable = ({ closing, holders, latestReadyAt, mostSpareCores }: ClosedWorkers, tracked: TrackedGroup, now: number): string[] => {
    const { step, indexes } = tracked.group
    let endAt: number | undefined
    const getEndAt = (): number => {
      endAt ??= estimateEndAt(runDurations, tracked.group, now)
      return endAt
    }
    if (!step.fills && !holders.has(tracked.key) && step.cores * indexes.length > mostSpareCores && getEndAt() > latestReadyAt) return []
    return closing.flatMap((reservation) => reservation.workers.filter((worker) => reservation.group === tracked.key || canUse(reservation, tracked, worker, getEndAt)))
  }

  const countReserved = (service: string, isCounted: (reservation: StoredReservation) => boolean): number =>
    reservations.filter((reservation) => reservation.service === service && isCounted(reservation)).reduce((sum, { workers }) => sum + workers.length, 0)

  /** Opens a reservation if one is possible and pays; returns false if the group needs none now. */
  const openFor = ({ group, key }: TrackedGroup, since: number, pool: Pool, now: number, wallTime: number): boolean => {
    const { service } = group.record
    const isLessUrgent = ({ waiting, isExclusive }: StoredReservation): boolean => !isExclusive && compareUrgencyClasses(group, waiting, wallTime) < 0
    const held = new Set(reservations.filter((reservation) => !isLessUrgent(reservation)).flatMap(({ workers }) => workers))
    const maxReserved = Math.max(1, Math.floor(MAX_RESERVED_SHARE * pool.workers.length))
    const maxWorkers = maxReserved - countReserved(service, (reservation) => !isLessUrgent(reservation))
    const set = maxWorkers < 1 ? undefined : search.find(group, pool.workers.filter(({ id }) => !held.has(id)), maxWorkers, now)
    const savedMs = estimateSavedMs(group, now - since, wallTime)
    if (set === undefined || set.readyAt - now > savedMs) return false
    const workers = [...set.spare.keys()]
    reservations.filter((reservation) => isLessUrgent(reservation) && reservation.workers.some((worker) => set.spare.has(worker))).forEach((reservation) => drop(reservation, 'displaced', now))
    while (countReserved(service, () => true) + workers.length > maxReserved) drop(reservations.findLast((reservation) => reservation.service === service && isLessUrgent(reservation)) as StoredReservation, 'displaced', now)
    const expiresAt = Math.max(set.readyAt + MIN_SPREAD_MS, Math.min(set.lateAt, now + savedMs))
    addReservation({ group: key, workers, readyAt: set.readyAt, expiresAt, waiting: group, service, waitingSince: since, isExclusive: false, spare: new Map(set.spare), isOvertaken: false, idleCoreMs: 0 }, pool, now)
    return true
  }

  const isSearchDue = ({ key, equivalenceClass }: TrackedGroup, now: number): boolean => {
    const blocked = blockedGroups.get(key)
    return blocked !== undefined && now - blocked.since >= RESERVE_AFTER_MS && blocked.searchAt <= now && (searchAt.get(equivalenceClass ?? key) ?? -Infinity) <= now
  }

  const isEligible = ({ group, key }: TrackedGroup, pool: Pool, wallTime: number): boolean => {
    const { step, advice, indexes } = group
    const wanted = step.gang ? 1 : Math.min(MAX_RESERVED_PER_GROUP, indexes.length)
    return !step.fills && advice === undefined && getLateness(group, wallTime) < WORTHLESS &&
      reservations.filter((reservation) => reservation.group === key).length < wanted &&
      (!step.lasting || canKeepReserve(pool.workers, step))
  }

  const findDropReason = (reservation: StoredReservation, tracked: TrackedGroup | undefined, now: number): DropReason | undefined => {
    if (tracked === undefined) return 'not-waiting'
    if (!reservation.workers.every((worker) => reservedCandidates.has(worker))) return 'worker-unavailable'
    if (now < reservation.expiresAt) return undefined
    if (reservation.isExclusive) return 'review'
    return reservation.isOvertaken ? 'overtaken' : 'late'
  }

  return {
    update: (trackedGroups, pools, now, wallTime) => {
      const passedMs = now - updatedAt
      updatedAt = now
      blockedInPass = []
      resetSelections()
      prune(trackedGroups, now)
      if (reservations.length === 0) return
      const groups = new Map(trackedGroups.map((tracked) => [tracked.key, tracked]))
      const reserved = new Set(reservations.flatMap(({ workers }) => workers))
      reservedCandidates = new Map([...pools.values()].flatMap(({ workers }) => workers.filter(({ id }) => reserved.has(id)).map((worker) => [worker.id, worker])))
      reservations.forEach((reservation) => {
        const tracked = groups.get(reservation.group)
        reservation.waiting = tracked?.group ?? reservation.waiting
        reservation.idleCoreMs += measureIdleCores(reservation, reservedCandidates) * passedMs
        const reason = findDropReason(reservation, tracked, now)
        if (reason !== undefined) drop(reservation, reason, now)
      })
    },
    selectPool: (tracked, pool, now, wallTime) => {
      if (reservations.length === 0 || tracked.group.isResumed === true) return { pool, excluded: '' }
      const closed = getClosed(tracked, wallTime)
      const { closing, excluded, workers } = closed
      if (closing.length === 0) return { pool, excluded }
      const usable = listUsable(closed, tracked, now)
      const key = usable.length === 0 ? excluded : `${excluded}-${usable.join()}`
      const selected = selectedPools.get(key) ?? removeWorkers(pool, new Set([...workers].filter((worker) => !usable.includes(worker))))
      selectedPools.set(key, selected)
      return { pool: selected, excluded: key }
    },
    selectFreed: (tracked, { freed }, wallTime) => {
      if (reservations.length === 0 || freed.length === 0 || tracked.group.isResumed === true) return freed
      const { workers, holders } = getClosed(tracked, wallTime)
      return workers.size === 0 || holders.has(tracked.key) ? freed : freed.filter(({ id }) => !workers.has(id))
    },
    recordBlocked: (tracked, now) => {
      if (!options.looksAhead || tracked.group.isResumed === true) return
      // Of a class, only the first group is tried, so most groups have waited for longer than since their first try.
      if (!blockedGroups.has(tracked.key)) blockedGroups.set(tracked.key, { since: tracked.progress.idleSince ?? now, searchAt: -Infinity, retryMs: FIRST_RETRY_MS })
      if (isSearchDue(tracked, now)) blockedInPass.push(tracked)
    },
    recordPlaced: ({ key, group, progress }, workers, now, wallTime) => {
      reservations.filter((reservation) => reservation.workers.some((worker) => workers.includes(worker))).forEach((reservation) => {
        if (reservation.group !== key) return recordOthers(reservation, group, workers, wallTime)
        remove(reservation)
        const waitedMs = Math.round(now - reservation.waitingSince)
        metrics.timing('reservation.wait', waitedMs)
        logger.info('reservation.used', { group: key, workers: reservation.workers.join(), waitedMs, lateMs: Math.round(now - reservation.readyAt), idleCoreMs: Math.round(reservation.idleCoreMs) })
      })
      if (progress.isBlocked) return
      blockedGroups.delete(key)
      reservations.filter((reservation) => reservation.group === key).forEach((reservation) => drop(reservation, 'placed-elsewhere', now))
    },
    openInterrupted: (resumed, pools, now) => resumed.filter(({ progress }) => progress.isBlocked).forEach(({ group, key }) => {
      const pool = pools.get(group.record.service)
      if (pool === undefined || (searchAt.get(key) ?? -Infinity) > now) return
      const maxReserved = Math.max(1, Math.floor(MAX_INTERRUPTED_SHARE * pool.workers.length))
      const wanted = group.indexes.length - reservations.filter((reservation) => reservation.group === key).length
      const limit = Math.min(wanted, maxReserved - countReserved(group.record.service, ({ isExclusive }) => isExclusive))
      const isOpened = Array.from({ length: Math.max(0, limit) }).every(() => {
        const held = new Set(reservations.filter(({ isExclusive }) => isExclusive).flatMap(({ workers }) => workers))
        const set = search.findForInterrupted(group, pool.workers, pool.workers.filter(({ id }) => !held.has(id)), now)
        if (set === undefined) return false
        reservations.filter(({ workers }) => workers.some((worker) => set.spare.has(worker))).forEach((reservation) => drop(reservation, 'displaced', now))
        addReservation({ group: key, workers: [...set.spare.keys()], readyAt: Math.min(set.readyAt, now + INTERRUPTED_REVIEW_MS), expiresAt: now + INTERRUPTED_REVIEW_MS, waiting: group, service: group.record.service, waitingSince: now, isExclusive: true, spare: new Map(), isOvertaken: false, idleCoreMs: 0 }, pool, now)
        return true
      })
      if (!isOpened) searchAt.set(key, now + SEARCH_INTERVAL_MS)
    }),
    openBlocked: (pools, now, wallTime) => {
      blockedInPass.forEach((tracked) => {
        const pool = pools.get(tracked.group.record.service)
        // A group of the same class may have been looked at in this pass.
        if (pool === undefined || now - searchedAt < SEARCH_PAUSE_MS || !isSearchDue(tracked, now)) return
        const isSearched = isEligible(tracked, pool, wallTime)
        if (isSearched) searchedAt = now
        const isOpened = isSearched && openFor(tracked, blockedGroups.get(tracked.key)?.since ?? now, pool, now, wallTime)
        if (!isOpened) searchAt.set(tracked.equivalenceClass ?? tracked.key, now + SEARCH_INTERVAL_MS)
      })
    },
    excludeReserved: (pools) => {
      const reserved = new Set(reservations.flatMap(({ workers }) => workers))
      if (reserved.size === 0) return pools
      const isFree = ({ id }: PlacementCandidate): boolean => !reserved.has(id)
      return new Map([...pools].map(([service, { workers, freed, busy }]) => [service, { workers: workers.filter(isFree), freed: freed.filter(isFree), busy: busy.filter(isFree) }]))
    },
    list: () => reservations
  }
}
