import { runSupervised, type Clock, type Logger, type Network } from '../../common/index.js'
import type { HealthTable } from './executorHealth.js'
import type { LeasedExecutor, LeasedExecutors } from './leasedExecutors.js'
import type { LeaseTable } from './leaseTable.js'
import { leaseAnswerSchema, type LeaseAnswer, type LeaseReply, type LeaseRequest, type TargetsSummary } from './messages.js'

const RENEW_INTERVAL_MS = 250
const IDLE_WAIT_MS = 1000
const EXCHANGE_TIMEOUT_MS = 250
const MIN_EXCHANGE_GAP_MS = 3
/** After a request that gained no slot the owner is asked again after this time, or earlier when it sends `credit.offer`. */
const REQUEST_RETRY_MS = 60
const SUMMARY_VALID_MS = 3000
/** Spare slots of a service are returned when it has had no request for this long. */
const SPARE_RETENTION_MS = 2000
/** A request that has been without a reply for longer than this no longer reduces the number of slots requested from other owners. */
const PENDING_VALID_MS = 30
/** Spare slots that a host keeps for its next requests, as a part of the recent peak of slots in use. */
const SPARE_SLOT_RATIO = 0.25
/**
 * Spare slots are requested while more than `AMPLE_FREE_RATIO` of the zone's slots are free, and returned at
 * `SCARCE_FREE_RATIO` or below. The gap keeps slots from moving to and fro.
 */
const SCARCE_FREE_RATIO = 0.1
const AMPLE_FREE_RATIO = 0.3
const WOKEN_EARLY = Symbol('woken')
const DRAIN_TIMEOUT_MS = 1000
const DRAIN_POLL_MS = 10

interface ServiceCapacity { free: number, slots: number, executors: number }
/** What this host knows about an owner of executors. */
interface Owner {
  host: string
  availabilityZone: string
  services: Map<string, ServiceCapacity>
  /** For each service, the slots that the owner last asked this host to return because other hosts have less than their share. */
  excess: Map<string, number>
  lastHeardAt: number
  draining: boolean
  /** The owner may still count slots as leased to this host. */
  hasGrantedLeases: boolean
  renewAt: number
  /** No slots are requested from this owner before this time. */
  requestAfter: number
  sequence: number
  /** Slots of each service in the request that is being exchanged. */
  pending: { since: number, requestedSlots: Map<string, number> }
  wake: () => void
}

/** Use of a service's slots by this host. `recentPeak` is the decaying peak of slots in use. */
export interface Demand { queued: number, inUse: number, recentPeak: number, lastRequestAt: number }

/**
 * Requests, renews and returns this host's slot leases. A loop for each owner sends one request at a time, which names all
 * slots that this host keeps there and those that it requests in addition.
 */
export interface LeaseClient {
  observeSummary (host: string, summary: TargetsSummary): void
  /** Called when an owner reports that it has free slots again. */
  observeFreeSlots (host: string): void
  /** Called when requests of the service wait: the loops of owners that may have free slots run at once. */
  wake (service: string): void
  /** Called when a slot becomes free; true when the slot is returned to its owner, false when this host may use it again. */
  returnExcessSlot (executor: LeasedExecutor): boolean
  /** An equal part of the zone's slots, which this host can lease within a short time. */
  computeFairShare (service: string): number
  /** Returns all unused slots and waits until the owners count no slot as leased to this host, for at most a second. */
  drain (): Promise<void>
  stop (): void
}

export function createLeaseClient (options: {
  clock: Clock
  logger: Logger
  network: Network
  holder: string
  availabilityZone: string
  leaseTable: LeaseTable
  /** Called after a lease request of this host to its own lease table. */
  notifyHolders (): void
  leasedExecutors: LeasedExecutors
  health: HealthTable
  getDemand (service: string): Demand
  onChange (): void
}): LeaseClient {
  const { clock, network, holder, availabilityZone, leaseTable, leasedExecutors, health, getDemand } = options
  const owners = new Map<string, Owner>()
  const state = { stopped: false, draining: false }

  const observeSummary: LeaseClient['observeSummary'] = (host, summary) => {
    const owner = owners.get(host) ?? startOwnerLoop(host, summary.availabilityZone)
    owner.lastHeardAt = clock.now()
    owner.draining = summary.draining
    owner.services = new Map(summary.services.map((item) => [item.service, { free: item.free, slots: item.slots, executors: item.executors }]))
    summary.leaving.forEach(({ executor, incarnation }) => leasedExecutors.setLeaving(executor, incarnation))
    owner.services.forEach((_, service) => health.setExecutorCount(service, sumCapacity(service, (capacity) => capacity.executors)))
    // Queued requests may be waiting for the first executor of this owner.
    if (summary.services.some(({ service, free }) => free > 0 && getDemand(service).queued > 0)) observeFreeSlots(host)
  }

  const observeFreeSlots: LeaseClient['observeFreeSlots'] = (host) => {
    const owner = owners.get(host)
    if (owner === undefined) return
    owner.requestAfter = 0
    owner.wake()
  }

  const startOwnerLoop = (host: string, zone: string): Owner => {
    const { wait, wake } = createWakeup(clock)
    const owner: Owner = {
      host, availabilityZone: zone, services: new Map(), excess: new Map(), lastHeardAt: 0, draining: false, hasGrantedLeases: false, renewAt: 0, requestAfter: 0, sequence: 0, pending: { since: 0, requestedSlots: new Map() }, wake
    }
    owners.set(host, owner)
    runSupervised({ clock, logger: options.logger, event: 'slot-exchange-failed', fields: { owner: host }, isStopped: () => state.stopped }, () => runOwnerLoop(owner, wait))
    return owner
  }

  const listLiveOwners = (): Owner[] => [...owners.values()].filter((owner) => owner.lastHeardAt + SUMMARY_VALID_MS > clock.now())

  const sumCapacity = (service: string, getValue: (capacity: ServiceCapacity) => number, zone?: string): number => listLiveOwners()
    .filter((owner) => zone === undefined || owner.availabilityZone === zone)
    .reduce((sum, owner) => sum + (owner.services.has(service) ? getValue(owner.services.get(service) as ServiceCapacity) : 0), 0)

  const runOwnerLoop = async (owner: Owner, wait: (ms: number) => Promise<void>): Promise<void> => {
    while (!state.stopped) {
      const now = clock.now()
      const requestedSlots = planSlotRequests(owner)
      const isDue = now >= owner.renewAt || requestedSlots.length > 0 || hasUrgentReturn(owner)
      const request = isDue ? planExchange(owner, requestedSlots) : undefined
      if (request === undefined) {
        await wait(computeWait(owner))
        continue
      }
      owner.renewAt = now + RENEW_INTERVAL_MS
      const gained = await runExchange(owner, request)
      if (requestedSlots.length > 0 && !gained) owner.requestAfter = clock.now() + REQUEST_RETRY_MS
      await clock.sleep(MIN_EXCHANGE_GAP_MS)
    }
  }

  const computeWait = (owner: Owner): number => {
    const now = clock.now()
    const times = [owner.hasGrantedLeases ? owner.renewAt : now + IDLE_WAIT_MS, owner.requestAfter, now + IDLE_WAIT_MS]
    return Math.min(...times.filter((time) => time > now)) - now
  }

  const planExchange = (owner: Owner, wants: LeaseRequest['wants']): LeaseRequest | undefined => {
    const held = planKeptSlots(owner)
    if (held.length === 0 && wants.length === 0 && !owner.hasGrantedLeases) return undefined
    owner.sequence += 1
    return { holder, availabilityZone, sequence: owner.sequence, held, wants }
  }

  /**
   * Lists the slots that this host keeps. Slots that are not needed are given up locally before the owner is told, so that
   * a slot is never used by this host and leased to another one at the same time.
   */
  const planKeptSlots = (owner: Owner): LeaseRequest['held'] => {
    const executors = leasedExecutors.list().filter((item) => item.owner === owner.host)
    new Set(executors.map((item) => item.service)).forEach((service) => returnSurplus(owner, service))
    return executors
      .map((item) => ({ executor: item.id, slots: Math.max(item.slots, countInUse(item)) }))
      .filter((item) => item.slots > 0)
  }

  const returnSurplus = (owner: Owner, service: string): void => {
    let surplus = Math.max(computeSurplus(service), owner.excess.get(service) ?? 0)
    const executors = leasedExecutors.list(service).filter((item) => item.owner === owner.host)
    for (const item of executors) {
      const unused = Math.max(0, item.slots - countInUse(item))
      const isUnusable = !leasedExecutors.canUse(item) || state.draining
      // One slot of an ejected executor is kept, so that a request can test the executor after the ejection.
      const isLimited = health.getConcurrencyLimit(item.id) !== Infinity
      const returned = isUnusable ? unused : Math.min(unused, isLimited ? item.slots - 1 : surplus)
      if (returned === 0) continue
      if (!isUnusable && !isLimited) surplus -= returned
      leasedExecutors.setSlots(item, item.slots - returned)
    }
  }

  /** Whether unused slots must be returned at once, because other hosts may be waiting for them. Other unused slots are returned with the next renewal. */
  const hasUrgentReturn = (owner: Owner): boolean => leasedExecutors.list().some((item) => item.owner === owner.host &&
    item.slots > countInUse(item) &&
    (state.draining || (owner.excess.get(item.service) ?? 0) > 0 || (isScarce(item.service) && computeSurplus(item.service) > 0)))

  /** Slots of the service that this host should hold. */
  const computeSlotTarget = (service: string): number => {
    const { queued, inUse, recentPeak, lastRequestAt } = getDemand(service)
    if (queued === 0 && clock.now() - lastRequestAt > SPARE_RETENTION_MS) return inUse
    if (isScarce(service)) return queued + inUse
    return queued + recentPeak + Math.max(1, Math.ceil(recentPeak * SPARE_SLOT_RATIO))
  }

  /** An owner in another zone is asked only if it has free slots; its loop would otherwise run for each queued request. */
  const mayHaveFreeSlots = (owner: Owner, service: string): boolean =>
    owner.services.has(service) && (owner.availabilityZone === availabilityZone || (owner.services.get(service)?.free ?? 0) > 0)

  /** When few slots of the zone are free, this host keeps no unused slots for its next requests. */
  const isScarce = (service: string): boolean => computeFreeRatio(service) <= SCARCE_FREE_RATIO

  const computeFreeRatio = (service: string): number =>
    sumCapacity(service, (capacity) => capacity.free, availabilityZone) / Math.max(1, sumCapacity(service, (capacity) => capacity.slots, availabilityZone))

  const computeSurplus = (service: string): number => {
    const slots = leasedExecutors.list(service)
      .filter((item) => leasedExecutors.canUse(item) && health.getConcurrencyLimit(item.id) > 0)
      .reduce((sum, item) => sum + item.slots, 0)
    return Math.max(0, slots - computeSlotTarget(service))
  }

  const planSlotRequests = (owner: Owner): LeaseRequest['wants'] => {
    if (state.draining || owner.draining || clock.now() < owner.requestAfter) return []
    const isOwnZone = owner.availabilityZone === availabilityZone
    return [...owner.services.keys()].flatMap((service) => {
      const slots = isOwnZone ? computeOwnZoneSlots(owner, service) : computeOtherZoneSlots(owner, service)
      return slots > 0 ? [{ service, slots, avoid: health.listEjected(service) }] : []
    })
  }

  const countPendingSlots = (service: string): number => [...owners.values()]
    .filter((owner) => owner.pending.since + PENDING_VALID_MS > clock.now())
    .reduce((sum, owner) => sum + (owner.pending.requestedSlots.get(service) ?? 0), 0)

  const countUsableSlots = (service: string): number => leasedExecutors.list(service)
    .reduce((sum, item) => sum + Math.min(leasedExecutors.canUse(item) ? item.slots : 0, countInUse(item) + leasedExecutors.countFreeSlots(item)), 0)

  /**
   * Slots to request from an owner in this zone. Slots for queued requests are requested at once, spare ones only with a
   * renewal, because slots would otherwise move between hosts all the time.
   */
  const computeOwnZoneSlots = (owner: Owner, service: string): number => {
    const { queued, inUse } = getDemand(service)
    const mayRequestSpare = clock.now() >= owner.renewAt && computeFreeRatio(service) > AMPLE_FREE_RATIO
    const target = mayRequestSpare ? computeSlotTarget(service) : queued + inUse
    return Math.max(0, target - countUsableSlots(service) - countPendingSlots(service))
  }

  /** Slots to request from an owner in another zone: none unless requests are queued and this zone has no free slot. */
  const computeOtherZoneSlots = (owner: Owner, service: string): number => {
    const { queued } = getDemand(service)
    const { free = 0, slots = 0 } = owner.services.get(service) ?? {}
    // The last free slots of another zone are left to the hosts of that zone.
    if (queued === 0 || free <= SCARCE_FREE_RATIO * slots || sumCapacity(service, (capacity) => capacity.free, availabilityZone) > 0) return 0
    return Math.max(0, Math.min(queued - countPendingSlots(service), free))
  }

  const runExchange = async (owner: Owner, request: LeaseRequest): Promise<boolean> => {
    const sentAt = clock.now()
    owner.pending = { since: sentAt, requestedSlots: new Map(request.wants.map((slotRequest) => [slotRequest.service, slotRequest.slots])) }
    const before = countLeasedSlots(owner)
    const reply = await sendExchange(owner.host, request, sentAt)
    owner.pending.requestedSlots.clear()
    if (state.stopped || reply === undefined) {
      // The request may have been lost. Slots that the owner still counts as leased become free when the lease expires.
      owner.hasGrantedLeases = request.held.length > 0
      // An owner that did not reply counts as having no free slots until its next summary arrives.
      if (owner.host !== network.self) owner.services.forEach((capacity) => { capacity.free = 0 })
      return false
    }
    // A later request of this host was faster; its own reply tells what this host holds.
    if ('outdated' in reply) return false
    applyReply(owner, reply, sentAt)
    return countLeasedSlots(owner) > before
  }

  const sendExchange = async (host: string, request: LeaseRequest, sentAt: number): Promise<LeaseAnswer | undefined> => {
    if (host === network.self) {
      const reply = leaseTable.applyRequest(request) ?? { outdated: true as const }
      options.notifyHolders()
      return reply
    }
    const kind = request.wants.length > 0 ? 'credit.take' : 'credit.return'
    const result = await network.request(host, kind, request, sentAt + EXCHANGE_TIMEOUT_MS)
    const parsed = result.ok ? leaseAnswerSchema.safeParse(result.val) : undefined
    return parsed?.success ? parsed.data : undefined
  }

  const applyReply = (owner: Owner, reply: LeaseReply, sentAt: number): void => {
    owner.lastHeardAt = clock.now()
    owner.hasGrantedLeases = reply.loans.length > 0
    reply.loans.forEach((lease) => leasedExecutors.applyLease(owner.host, lease, sentAt))
    leasedExecutors.endUnlistedLeases(owner.host, new Set(reply.loans.map((lease) => lease.executor)))
    for (const { service, free, excess } of reply.services) {
      const capacity = owner.services.get(service)
      if (capacity === undefined) owner.services.set(service, { free, slots: 0, executors: 0 })
      else capacity.free = free
      owner.excess.set(service, excess)
    }
    options.onChange()
    if (owner.availabilityZone === availabilityZone) reply.services.forEach(({ service }) => wakeOtherZones(service))
  }

  /** Runs the loops of owners in other zones as soon as a reply shows that this zone has no free slot for queued requests. */
  const wakeOtherZones = (service: string): void => {
    if (getDemand(service).queued === 0) return
    listLiveOwners().filter((owner) => computeOtherZoneSlots(owner, service) > 0).forEach((owner) => owner.wake())
  }

  const countLeasedSlots = (owner: Owner): number => leasedExecutors.list()
    .filter((item) => item.owner === owner.host)
    .reduce((sum, item) => sum + item.slots, 0)

  const returnExcessSlot: LeaseClient['returnExcessSlot'] = (executor) => {
    const owner = owners.get(executor.owner)
    const excess = owner?.excess.get(executor.service) ?? 0
    if (getDemand(executor.service).queued === 0 && isScarce(executor.service)) owner?.wake()
    if (owner === undefined || excess === 0 || executor.slots <= countInUse(executor)) return false
    owner.excess.set(executor.service, excess - 1)
    leasedExecutors.setSlots(executor, executor.slots - 1)
    owner.wake()
    return true
  }

  const drain = async (): Promise<void> => {
    state.draining = true
    owners.forEach((owner) => owner.wake())
    const limit = clock.now() + DRAIN_TIMEOUT_MS
    while (clock.now() < limit && [...owners.values()].some((owner) => owner.hasGrantedLeases)) await clock.sleep(DRAIN_POLL_MS)
  }

  return {
    observeSummary,
    observeFreeSlots,
    wake: (service) => listLiveOwners().filter((owner) => mayHaveFreeSlots(owner, service)).forEach((owner) => owner.wake()),
    returnExcessSlot,
    computeFairShare: (service) => {
      const hosts = listLiveOwners().filter((owner) => owner.availabilityZone === availabilityZone).length
      return Math.floor(sumCapacity(service, (capacity) => capacity.slots, availabilityZone) / Math.max(1, hosts))
    },
    drain,
    stop: () => {
      state.stopped = true
      owners.forEach((owner) => owner.wake())
    }
  }
}

function countInUse (item: LeasedExecutor): number {
  return item.activeAttempts.size + item.abandonedAttempts.size
}

/** Creates a wait that `wake` ends early. If nothing waits, `wake` ends the next wait at once. */
export function createWakeup (clock: Clock): { wait (ms: number): Promise<void>, wake (): void } {
  let controller = new AbortController()
  let isWoken = false
  return {
    wait: async (ms) => {
      if (!isWoken) {
        controller = new AbortController()
        await clock.sleep(ms, controller.signal)
      }
      isWoken = false
    },
    wake: () => {
      isWoken = true
      controller.abort(WOKEN_EARLY)
    }
  }
}
