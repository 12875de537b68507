import type { Clock, Network, Random } from '../../common/index.js'
import type { HealthTable } from './health.js'
import type { HeldExecutor, Holdings } from './holdings.js'
import type { HomeLedger } from './home.js'
import { creditReplySchema, type CreditReply, type CreditRequest, type TargetsSummary } from './messages.js'

const RENEW_MS = 250
const IDLE_MS = 1000
const EXCHANGE_MS = 250
const MIN_GAP_MS = 3
/** A home without free slots is asked again after this time; it sends `credit.offer` when slots come free earlier. */
const ASK_AGAIN_MS = 60
const SUMMARY_VALID_MS = 3000
const RECENT_USE_MS = 2000
/** An exchange that is older than this does not hold back requests to other homes. */
const PENDING_MS = 30
const SPARE_SHARE = 0.25
/** Spare slots are taken while more than the second part of the zone's slots is free, and returned below the first. */
const SCARCE_SHARE = 0.1
const AMPLE_SHARE = 0.3
const WOKEN = Symbol('woken')
const DRAIN_MS = 1000
const DRAIN_POLL_MS = 10

interface ServiceView { free: number, slots: number, executors: number }
interface Home {
  host: string
  availabilityZone: string
  services: Map<string, ServiceView>
  excess: Map<string, number>
  lastHeard: number
  draining: boolean
  /** The home may still count slots as lent to this host. */
  hasLent: boolean
  renewAt: number
  askAfter: number
  sequence: number
  pending: { since: number, wants: Map<string, number> }
  wake: () => void
}

export interface Demand { queued: number, inUse: number, recentPeak: number, lastRequestAt: number }

/** Borrows slots from homes and returns those that are not needed; one sequential loop for each home. */
export interface Borrower {
  observeSummary (host: string, summary: TargetsSummary): void
  /** The home has free slots again. */
  observeOffer (host: string): void
  /** More slots are wanted now. */
  wake (service: string): void
  /** Called when a slot becomes free; true when it is given back rather than used again. */
  releaseExcess (executor: HeldExecutor): boolean
  /** An equal share of the zone's slots, which this host can hold soon if it does not yet. */
  countShare (service: string): number
  /** Returns everything that is not in use. */
  drain (): Promise<void>
  stop (): void
}

export function createBorrower (options: {
  clock: Clock
  random: Random
  network: Network
  holder: string
  availabilityZone: string
  ledger: HomeLedger
  /** Called after this host's own exchange with its ledger. */
  sendOffers (): void
  holdings: Holdings
  health: HealthTable
  getDemand (service: string): Demand
  onChange (): void
}): Borrower {
  const { clock, network, holder, availabilityZone, ledger, holdings, health, getDemand } = options
  const homes = new Map<string, Home>()
  const state = { stopped: false, draining: false }

  const observeSummary: Borrower['observeSummary'] = (host, summary) => {
    const home = homes.get(host) ?? startHome(host, summary.availabilityZone)
    home.lastHeard = clock.now()
    home.draining = summary.draining
    home.services = new Map(summary.services.map((item) => [item.service, { free: item.free, slots: item.slots, executors: item.executors }]))
    summary.leaving.forEach(({ executor, incarnation }) => holdings.setLeaving(executor, incarnation))
    home.services.forEach((_, service) => health.setPopulation(service, countKnown(service, (view) => view.executors)))
    // Requests may have waited for this home's first executor.
    if (summary.services.some(({ service, free }) => free > 0 && getDemand(service).queued > 0)) observeOffer(host)
  }

  const observeOffer: Borrower['observeOffer'] = (host) => {
    const home = homes.get(host)
    if (home === undefined) return
    home.askAfter = 0
    home.wake()
  }

  const startHome = (host: string, zone: string): Home => {
    const { wait, wake } = createWakeup(clock)
    const home: Home = {
      host, availabilityZone: zone, services: new Map(), excess: new Map(), lastHeard: 0, draining: false, hasLent: false, renewAt: 0, askAfter: 0, sequence: 0, pending: { since: 0, wants: new Map() }, wake
    }
    homes.set(host, home)
    runHome(home, wait)
    return home
  }

  const listLive = (): Home[] => [...homes.values()].filter((home) => home.lastHeard + SUMMARY_VALID_MS > clock.now())

  const countKnown = (service: string, getValue: (view: ServiceView) => number, zone?: string): number => listLive()
    .filter((home) => zone === undefined || home.availabilityZone === zone)
    .reduce((sum, home) => sum + (home.services.has(service) ? getValue(home.services.get(service) as ServiceView) : 0), 0)

  const runHome = async (home: Home, wait: (ms: number) => Promise<void>): Promise<void> => {
    while (!state.stopped) {
      const now = clock.now()
      const wants = planWants(home)
      const isDue = now >= home.renewAt || wants.length > 0 || hasReturn(home)
      const request = isDue ? planExchange(home, wants) : undefined
      if (request === undefined) {
        await wait(computeWait(home))
        continue
      }
      home.renewAt = now + RENEW_MS
      const gained = await runExchange(home, request)
      if (wants.length > 0 && !gained) home.askAfter = clock.now() + ASK_AGAIN_MS
      await clock.sleep(MIN_GAP_MS)
    }
  }

  const computeWait = (home: Home): number => {
    const now = clock.now()
    const times = [home.hasLent ? home.renewAt : now + IDLE_MS, home.askAfter, now + IDLE_MS]
    return Math.min(...times.filter((time) => time > now)) - now
  }

  const planExchange = (home: Home, wants: CreditRequest['wants']): CreditRequest | undefined => {
    const held = planHeld(home)
    if (held.length === 0 && wants.length === 0 && !home.hasLent) return undefined
    home.sequence += 1
    return { holder, availabilityZone, sequence: home.sequence, held, wants }
  }

  /** Lowers the slots that are not needed before the home is told, so that both never count on the same slot. */
  const planHeld = (home: Home): CreditRequest['held'] => {
    const own = holdings.list().filter((item) => item.home === home.host)
    new Set(own.map((item) => item.service)).forEach((service) => returnSurplus(home, service))
    return own
      .map((item) => ({ executor: item.id, slots: Math.max(item.slots, countInUse(item)) }))
      .filter((item) => item.slots > 0)
  }

  const returnSurplus = (home: Home, service: string): void => {
    let surplus = Math.max(computeSurplus(service), home.excess.get(service) ?? 0)
    const own = holdings.list(service).filter((item) => item.home === home.host)
    for (const item of own) {
      const unused = Math.max(0, item.slots - countInUse(item))
      const isUnwanted = !holdings.canUse(item) || state.draining
      // One slot of an ejected executor is kept: with it the executor is tried again when its time is over.
      const isImpaired = health.getAllowance(item.id) !== Infinity
      const given = isUnwanted ? unused : Math.min(unused, isImpaired ? item.slots - 1 : surplus)
      if (given === 0) continue
      if (!isUnwanted && !isImpaired) surplus -= given
      holdings.setSlots(item, item.slots - given)
    }
  }

  /** Unused slots that another host may be waiting for; others are returned with the next renewal. */
  const hasReturn = (home: Home): boolean => holdings.list().some((item) => item.home === home.host &&
    item.slots > countInUse(item) &&
    (state.draining || (home.excess.get(item.service) ?? 0) > 0 || (isScarce(item.service) && computeSurplus(item.service) > 0)))

  const computeTarget = (service: string): number => {
    const { queued, inUse, recentPeak, lastRequestAt } = getDemand(service)
    if (queued === 0 && clock.now() - lastRequestAt > RECENT_USE_MS) return inUse
    if (isScarce(service)) return queued + inUse
    return queued + recentPeak + Math.max(1, Math.ceil(recentPeak * SPARE_SHARE))
  }

  /** A home of another zone without free slots is not asked, so it need not wake for each request that waits. */
  const canLend = (home: Home, service: string): boolean =>
    home.services.has(service) && (home.availabilityZone === availabilityZone || (home.services.get(service)?.free ?? 0) > 0)

  /** Idle slots are kept for the next request only while the zone has others left. */
  const isScarce = (service: string): boolean => getFreeShare(service) <= SCARCE_SHARE

  const getFreeShare = (service: string): number =>
    countKnown(service, (view) => view.free, availabilityZone) / Math.max(1, countKnown(service, (view) => view.slots, availabilityZone))

  const computeSurplus = (service: string): number => {
    const slots = holdings.list(service)
      .filter((item) => holdings.canUse(item) && health.getAllowance(item.id) > 0)
      .reduce((sum, item) => sum + item.slots, 0)
    return Math.max(0, slots - computeTarget(service))
  }

  const planWants = (home: Home): CreditRequest['wants'] => {
    if (state.draining || home.draining || clock.now() < home.askAfter) return []
    const isOwnZone = home.availabilityZone === availabilityZone
    return [...home.services.keys()].flatMap((service) => {
      const slots = isOwnZone ? computeDeficit(home, service) : computeOverflow(home, service)
      return slots > 0 ? [{ service, slots, avoid: health.listEjected(service) }] : []
    })
  }

  const countPending = (service: string): number => [...homes.values()]
    .filter((home) => home.pending.since + PENDING_MS > clock.now())
    .reduce((sum, home) => sum + (home.pending.wants.get(service) ?? 0), 0)

  const countUsable = (service: string): number => holdings.list(service)
    .reduce((sum, item) => sum + Math.min(holdings.canUse(item) ? item.slots : 0, countInUse(item) + holdings.countFree(item)), 0)

  /** Slots for requests that wait are wanted at once; spare ones with the next renewal, lest they move to and fro. */
  const computeDeficit = (home: Home, service: string): number => {
    const { queued, inUse } = getDemand(service)
    const mayTakeSpare = clock.now() >= home.renewAt && getFreeShare(service) > AMPLE_SHARE
    const target = mayTakeSpare ? computeTarget(service) : queued + inUse
    return Math.max(0, target - countUsable(service) - countPending(service))
  }

  /** Another zone is asked only while requests wait and the own zone has no free slot. */
  const computeOverflow = (home: Home, service: string): number => {
    const { queued } = getDemand(service)
    const { free = 0, slots = 0 } = home.services.get(service) ?? {}
    // The last slots of another zone are left to its own hosts.
    if (queued === 0 || free <= SCARCE_SHARE * slots || countKnown(service, (view) => view.free, availabilityZone) > 0) return 0
    return Math.max(0, Math.min(queued - countPending(service), free))
  }

  const runExchange = async (home: Home, request: CreditRequest): Promise<boolean> => {
    const sentAt = clock.now()
    home.pending = { since: sentAt, wants: new Map(request.wants.map((want) => [want.service, want.slots])) }
    const before = countSlots(home)
    const reply = await sendExchange(home.host, request, sentAt)
    home.pending.wants.clear()
    if (state.stopped || reply === undefined) {
      // What was not returned expires by itself.
      home.hasLent = request.held.length > 0
      // An unanswered want is not repeated until the next summary shows the home alive.
      if (home.host !== network.self) home.services.forEach((view) => { view.free = 0 })
      return false
    }
    applyReply(home, reply, sentAt)
    return countSlots(home) > before
  }

  const sendExchange = async (host: string, request: CreditRequest, sentAt: number): Promise<CreditReply | undefined> => {
    if (host === network.self) {
      const reply = ledger.take(request)
      options.sendOffers()
      return reply
    }
    const kind = request.wants.length > 0 ? 'credit.take' : 'credit.return'
    const result = await network.request(host, kind, request, sentAt + EXCHANGE_MS)
    const parsed = result.ok ? creditReplySchema.safeParse(result.val) : undefined
    return parsed?.success ? parsed.data : undefined
  }

  const applyReply = (home: Home, reply: CreditReply, sentAt: number): void => {
    home.lastHeard = clock.now()
    home.hasLent = reply.loans.length > 0
    reply.loans.forEach((loan) => holdings.applyLoan(home.host, loan, sentAt))
    holdings.applyAbsent(home.host, new Set(reply.loans.map((loan) => loan.executor)))
    for (const { service, free, excess } of reply.services) {
      const view = home.services.get(service)
      if (view === undefined) home.services.set(service, { free, slots: 0, executors: 0 })
      else view.free = free
      home.excess.set(service, excess)
    }
    options.onChange()
    if (home.availabilityZone === availabilityZone) reply.services.forEach(({ service }) => wakeOthers(service))
  }

  /** Homes of other zones are asked as soon as the own zone turns out to have nothing left. */
  const wakeOthers = (service: string): void => {
    if (getDemand(service).queued === 0) return
    listLive().filter((home) => computeOverflow(home, service) > 0).forEach((home) => home.wake())
  }

  const countSlots = (home: Home): number => holdings.list()
    .filter((item) => item.home === home.host)
    .reduce((sum, item) => sum + item.slots, 0)

  const releaseExcess: Borrower['releaseExcess'] = (executor) => {
    const home = homes.get(executor.home)
    const excess = home?.excess.get(executor.service) ?? 0
    if (getDemand(executor.service).queued === 0 && isScarce(executor.service)) home?.wake()
    if (home === undefined || excess === 0 || executor.slots <= countInUse(executor)) return false
    home.excess.set(executor.service, excess - 1)
    holdings.setSlots(executor, executor.slots - 1)
    home.wake()
    return true
  }

  const drain = async (): Promise<void> => {
    state.draining = true
    homes.forEach((home) => home.wake())
    const limit = clock.now() + DRAIN_MS
    while (clock.now() < limit && [...homes.values()].some((home) => home.hasLent)) await clock.sleep(DRAIN_POLL_MS)
  }

  return {
    observeSummary,
    observeOffer,
    wake: (service) => listLive().filter((home) => canLend(home, service)).forEach((home) => home.wake()),
    releaseExcess,
    countShare: (service) => {
      const hosts = listLive().filter((home) => home.availabilityZone === availabilityZone).length
      return Math.floor(countKnown(service, (view) => view.slots, availabilityZone) / Math.max(1, hosts))
    },
    drain,
    stop: () => {
      state.stopped = true
      homes.forEach((home) => home.wake())
    }
  }
}

function countInUse (item: HeldExecutor): number {
  return item.active.size + item.abandoned.size
}

/** A wait that another part of the code can end early; an early call ends the next wait. */
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
      controller.abort(WOKEN)
    }
  }
}
