import { Err, Ok, type Clock, type Result } from '../../common/index.js'
import type { ExecutorLease, LeaseReply, LeaseRequest, TargetsSummary } from './messages.js'
import { announcementSchema, type AnnounceFailure, type Announcement, type AnnounceReply } from './types.js'

/** Longest time from the grant or renewal of a lease to its deadline. */
const LEASE_MS = 1000
/** Interval at which executors announce themselves. */
const ANNOUNCE_INTERVAL_MS = 250
/** An executor that has not announced itself for this long is removed. */
const EXECUTOR_RETENTION_MS = 3000
/** A holder's last sequence number is kept this long, which is longer than any message can be in transit. */
const HOLDER_RETENTION_MS = 60_000
/** The clocks of two hosts run at rates that differ by at most 1%, so an owner waits that much longer than the lease holder. */
const CLOCK_DRIFT_FACTOR = 1.01
/** By this time after a lease has expired, all bytes that its holder sent before have reached the executor. */
const MAX_DELIVERY_MS = 50
/** Time after the deadline of a lease until no request of its holder can arrive at the executor any more. */
const LEASE_MARGIN_MS = LEASE_MS * (CLOCK_DRIFT_FACTOR - 1) + MAX_DELIVERY_MS
/** A holder needs one connection for each slot, and a second one to replace the first if that falls silent. */
const CONNECTIONS_PER_SLOT = 2
/** An unmet request is dropped after this time; a holder that still needs slots repeats its request within it. */
const UNMET_REQUEST_VALID_MS = 150

interface GrantedLease { slots: number, connections: number, deadline: number }

/** The owner's record of one executor. */
interface ExecutorEntry {
  announcement: Announcement
  lastSeen: number
  /** Leases that an earlier owner granted have expired by then, so this owner grants none before a report made after it. */
  earlierLeasesEndAt: number
  /** The last report was made after this time; undefined until an announcement returns an echo of this process. */
  reportedAfter: number | undefined
  /**
   * No lease is granted beyond this time. An executor that turns to another owner does so after its last announcement here,
   * so the leases granted here expire before the new owner's wait for earlier leases ends.
   */
  latestLeaseDeadline: number
  /** Leases by holder. */
  leases: Map<string, GrantedLease>
}

/** The slots that a holder requested and that could not be granted. `isNotified`: the holder was told that slots are free. */
interface UnmetRequest { service: string, slots: number, expiry: number, isNotified: boolean }

/** An owner's record of the executors that announce themselves to it, and of the slots and connections that it has leased out. */
export interface LeaseTable {
  announce (input: Announcement): Result<AnnounceReply, AnnounceFailure>
  /** Sets a holder's leases to what it keeps and requests, and renews them. Undefined when a later request was applied already. */
  applyRequest (request: LeaseRequest): LeaseReply | undefined
  summarize (draining: boolean): TargetsSummary
  /** Lists the holders whose unmet request could now be granted; each unmet request is listed once. */
  listHoldersToNotify (): string[]
  list (): Array<{ announcement: Announcement, lentSlots: number, lentConnections: number }>
}

export function createLeaseTable (options: { clock: Clock, incarnation: string, availabilityZone: string }): LeaseTable {
  const { clock, incarnation, availabilityZone } = options
  const entries = new Map<string, ExecutorEntry>()
  const sequences = new Map<string, { sequence: number, seenAt: number }>()
  const unmetRequests = new Map<string, UnmetRequest>()
  const ownZoneHolders = new Set<string>()

  const announce = (input: Announcement): Result<AnnounceReply, AnnounceFailure> => {
    if (input.availabilityZone !== availabilityZone) {
      return Err({ kind: 'other-zone', message: `this host is in ${availabilityZone}, the executor in ${input.availabilityZone}` })
    }
    const now = clock.now()
    const known = entries.get(input.id)
    const isSameRegistration = known !== undefined && known.announcement.incarnation === input.incarnation &&
      known.announcement.homeSequence === input.homeSequence
    if (known !== undefined && !isSameRegistration && known.announcement.incarnation === input.incarnation &&
      known.announcement.homeSequence > input.homeSequence) {
      return Err({ kind: 'outdated-announcement', message: 'a later announcement has been received' })
    }
    const entry: ExecutorEntry = isSameRegistration
      ? known
      : { announcement: input, lastSeen: now, earlierLeasesEndAt: now + LEASE_MS + LEASE_MARGIN_MS, reportedAfter: undefined, latestLeaseDeadline: 0, leases: new Map() }
    entries.set(input.id, entry)
    applyReport(entry, input, now)
    return Ok({ echo: `${incarnation} ${now}`, renewMs: ANNOUNCE_INTERVAL_MS })
  }

  const applyReport = (entry: ExecutorEntry, input: Announcement, now: number): void => {
    entry.lastSeen = now
    const echoIssuedAt = parseEcho(input.echo, incarnation, now)
    // An announcement that returns an older echo than the one applied last was delayed or reordered.
    if (entry.reportedAfter !== undefined && (echoIssuedAt === undefined || echoIssuedAt < entry.reportedAfter)) return
    entry.announcement = { ...input, leaving: input.leaving || entry.announcement.leaving }
    if (echoIssuedAt === undefined) return
    entry.reportedAfter = echoIssuedAt
    entry.latestLeaseDeadline = echoIssuedAt + LEASE_MS
    for (const [holder, lease] of entry.leases) {
      if (lease.deadline + LEASE_MARGIN_MS < echoIssuedAt) entry.leases.delete(holder)
    }
  }

  const canGrant = (entry: ExecutorEntry): boolean => {
    const now = clock.now()
    return !entry.announcement.leaving && now < entry.latestLeaseDeadline &&
      entry.reportedAfter !== undefined && entry.reportedAfter >= entry.earlierLeasesEndAt
  }

  const applyRequest = (request: LeaseRequest): LeaseReply | undefined => {
    if (request.sequence <= (sequences.get(request.holder)?.sequence ?? -1)) return undefined
    sequences.set(request.holder, { sequence: request.sequence, seenAt: clock.now() })
    if (request.availabilityZone === availabilityZone) ownZoneHolders.add(request.holder)
    pruneExpired()
    const held = new Map(request.held.map(({ executor, slots }) => [executor, slots]))
    for (const [id, entry] of entries) applyKeptSlots(entry, request.holder, held.get(id) ?? 0)
    for (const slotRequest of request.wants) grantSlots(request.holder, slotRequest, request.availabilityZone === availabilityZone)
    const services = new Set([...entries.values()].map((entry) => entry.announcement.service))
    return {
      loans: [...entries.values()].flatMap((entry) => describeLease(entry, request.holder)),
      services: [...services].map((service) => ({
        service, free: countFree(service), excess: computeExcess(service, request.holder)
      }))
    }
  }

  /** Sets a lease to the slots that its holder keeps, at most those that no other holder occupies, and renews its deadline. */
  const applyKeptSlots = (entry: ExecutorEntry, holder: string, slots: number): void => {
    const lease = entry.leases.get(holder)
    if (slots === 0) {
      entry.leases.delete(holder)
      return
    }
    const mayGrant = canGrant(entry)
    if (lease === undefined && !mayGrant) return
    const kept = Math.min(slots, computeFreeSlots(entry, holder))
    setLease(entry, holder, mayGrant ? kept : Math.min(kept, lease?.slots ?? 0))
  }

  const setLease = (entry: ExecutorEntry, holder: string, slots: number): void => {
    const previous = entry.leases.get(holder)
    const connections = Math.min(slots * CONNECTIONS_PER_SLOT, computeFreeConnections(entry, holder))
    const deadline = Math.min(clock.now() + LEASE_MS, entry.latestLeaseDeadline)
    entry.leases.set(holder, {
      slots: Math.min(slots, connections),
      connections,
      deadline: Math.max(deadline, previous?.deadline ?? 0)
    })
  }

  const grantSlots = (holder: string, slotRequest: LeaseRequest['wants'][number], isOwnZone: boolean): void => {
    const candidates = [...entries.values()].filter((entry) =>
      entry.announcement.service === slotRequest.service && !slotRequest.avoid.includes(entry.announcement.id) && canGrant(entry))
    const wanted = Math.min(slotRequest.slots, computeGrantLimit(slotRequest.service, holder))
    let granted = 0
    for (; granted < wanted; granted++) {
      const best = findLeastLoaded(candidates)
      if (best === undefined) break
      setLease(best, holder, (best.leases.get(holder)?.slots ?? 0) + 1)
    }
    const name = `${holder} ${slotRequest.service}`
    // Holders in this zone return slots for unmet requests; they need not do so for a host in another zone.
    if (isOwnZone && slotRequest.slots > granted) unmetRequests.set(name, { service: slotRequest.service, slots: slotRequest.slots - granted, expiry: clock.now() + UNMET_REQUEST_VALID_MS, isNotified: false })
    else unmetRequests.delete(name)
  }

  const countLeasedSlots = (service: string, holder: string): number => [...entries.values()]
    .filter((entry) => entry.announcement.service === service)
    .reduce((sum, entry) => sum + (entry.leases.get(holder)?.slots ?? 0), 0)

  /** Computes the equal share of each holder, and the slots that other holders below their share still request. */
  const computeShares = (service: string, holder: string): { fairShare: number, unmetSlots: number } => {
    const now = clock.now()
    const validRequests = [...unmetRequests].filter(([, slotRequest]) => slotRequest.service === service && slotRequest.expiry > now)
    const holders = new Set(validRequests.map(([name]) => name.split(' ')[0] as string))
    const serviceEntries = [...entries.values()].filter((entry) => entry.announcement.service === service)
    serviceEntries.forEach((entry) => entry.leases.forEach((_, name) => { if (ownZoneHolders.has(name)) holders.add(name) }))
    holders.add(holder)
    const total = serviceEntries.reduce((sum, entry) => sum + entry.announcement.slots, 0)
    const fairShare = Math.max(1, Math.floor(total / holders.size))
    const unmetSlots = validRequests.reduce((sum, [name, slotRequest]) => {
      const other = name.split(' ')[0] as string
      return other === holder ? sum : sum + Math.min(slotRequest.slots, Math.max(0, fairShare - countLeasedSlots(service, other)))
    }, 0)
    return { fairShare, unmetSlots }
  }

  /** Slots of a holder above its fair share that unmet requests of other holders need. */
  const computeExcess = (service: string, holder: string): number => {
    const { fairShare: share, unmetSlots } = computeShares(service, holder)
    const fairShare = ownZoneHolders.has(holder) ? share : 0
    return Math.min(Math.max(0, unmetSlots - countFree(service)), Math.max(0, countLeasedSlots(service, holder) - fairShare))
  }

  /** Slots that a holder may be granted now: up to its fair share, or the free slots that holders below their share leave over. */
  const computeGrantLimit = (service: string, holder: string): number => {
    const { fairShare, unmetSlots } = computeShares(service, holder)
    return Math.max(0, ownZoneHolders.has(holder) ? fairShare - countLeasedSlots(service, holder) : 0, countFree(service) - unmetSlots)
  }

  const countFree = (service: string): number => [...entries.values()]
    .filter((entry) => entry.announcement.service === service && canGrant(entry))
    .reduce((sum, entry) => sum + computeFreeSlots(entry), 0)

  const describeLease = (entry: ExecutorEntry, holder: string): ExecutorLease[] => {
    const lease = entry.leases.get(holder)
    if (lease === undefined) return []
    const { id, service, availabilityZone: zone, rack, url, incarnation: process, leaving, progressMs, running } = entry.announcement
    const ownRequests = running.filter((item) => item.holder === holder)
    return [{
      executor: id,
      service,
      availabilityZone: zone,
      rack,
      url,
      incarnation: process,
      slots: lease.slots,
      connections: lease.connections,
      remainingMs: lease.deadline - clock.now(),
      leaving,
      progressMs,
      running: ownRequests.map((item) => item.request),
      reportAgeMs: clock.now() - (entry.reportedAfter ?? 0),
      otherLoad: running.length - ownRequests.length
    }]
  }

  const pruneExpired = (): void => {
    const now = clock.now()
    for (const [id, entry] of entries) {
      if (entry.lastSeen + EXECUTOR_RETENTION_MS < now) entries.delete(id)
    }
    for (const [name, slotRequest] of unmetRequests) {
      if (slotRequest.expiry <= now) unmetRequests.delete(name)
    }
    for (const [holder, { seenAt }] of sequences) {
      if (seenAt + HOLDER_RETENTION_MS >= now) continue
      sequences.delete(holder)
      ownZoneHolders.delete(holder)
    }
  }

  const summarize = (draining: boolean): TargetsSummary => {
    pruneExpired()
    const all = [...entries.values()]
    const services = [...new Set(all.map((entry) => entry.announcement.service))]
    return {
      availabilityZone,
      services: services.map((service) => {
        const grantable = all.filter((entry) => entry.announcement.service === service && canGrant(entry))
        const slots = grantable.reduce((sum, entry) => sum + entry.announcement.slots, 0)
        return { service, executors: grantable.length, slots, free: draining ? 0 : countFree(service) }
      }),
      leaving: all.filter((entry) => entry.announcement.leaving).map(({ announcement: { id, incarnation: process } }) => ({ executor: id, incarnation: process })),
      draining
    }
  }

  const list = (): ReturnType<LeaseTable['list']> => [...entries.values()].map((entry) => ({
    announcement: entry.announcement,
    lentSlots: [...entry.leases.values()].reduce((sum, lease) => sum + lease.slots, 0),
    lentConnections: [...entry.leases.values()].reduce((sum, lease) => sum + lease.connections, 0)
  }))

  const listHoldersToNotify = (): string[] => {
    const now = clock.now()
    const grantable = [...unmetRequests].filter(([name, slotRequest]) => {
      const holder = name.split(' ')[0] as string
      return slotRequest.expiry > now && !slotRequest.isNotified && computeGrantLimit(slotRequest.service, holder) > 0 && countFree(slotRequest.service) > 0
    })
    grantable.forEach(([, slotRequest]) => { slotRequest.isNotified = true })
    return grantable.map(([name]) => name.split(' ')[0] as string)
  }

  return { announce, applyRequest, summarize, listHoldersToNotify, list }
}

/** Reads the time at which this process issued an echo; undefined if another process issued it. */
function parseEcho (echo: string | undefined, incarnation: string, now: number): number | undefined {
  const [issuer, time] = echo?.split(' ') ?? []
  const echoIssuedAt = Number(time)
  return issuer === incarnation && Number.isFinite(echoIssuedAt) && echoIssuedAt <= now ? echoIssuedAt : undefined
}

function findLeastLoaded (entries: ExecutorEntry[]): ExecutorEntry | undefined {
  return entries
    .map((entry) => ({ entry, free: Math.min(computeFreeSlots(entry), computeFreeConnections(entry)), slots: entry.announcement.slots }))
    .filter(({ free }) => free > 0)
    .reduce<{ entry: ExecutorEntry, free: number, slots: number } | undefined>((best, item) =>
      best === undefined || item.free / item.slots > best.free / best.slots ? item : best, undefined)?.entry
}

/** Slots that neither leases nor running requests occupy; those of the holder `except` count as free. */
function computeFreeSlots (entry: ExecutorEntry, except?: string): number {
  const running = new Map<string, number>()
  entry.announcement.running.forEach(({ holder }) => running.set(holder, (running.get(holder) ?? 0) + 1))
  return Math.max(0, entry.announcement.slots - countOccupied(entry, running, (lease) => lease.slots, except))
}

function computeFreeConnections (entry: ExecutorEntry, except?: string): number {
  const open = new Map(Object.entries(entry.announcement.openConnections))
  return Math.max(0, entry.announcement.connections - countOccupied(entry, open, (lease) => lease.connections, except))
}

/**
 * Sums what each holder occupies: the larger of its lease and of the number that the executor reports for it. A lease counts
 * until `announce` removes it, which happens with the first report made after its deadline and margin. That report shows
 * which requests of the holder are still running.
 */
function countOccupied (entry: ExecutorEntry, reported: Map<string, number>, getGranted: (lease: GrantedLease) => number, except?: string): number {
  const holders = new Set([...entry.leases.keys(), ...reported.keys()])
  return [...holders]
    .filter((holder) => holder !== except)
    .reduce((sum, holder) => {
      const lease = entry.leases.get(holder)
      return sum + Math.max(lease === undefined ? 0 : getGranted(lease), reported.get(holder) ?? 0)
    }, 0)
}

/** Validates an announcement of an executor. */
export function parseAnnouncement (input: unknown): Result<Announcement, AnnounceFailure> {
  const parsed = announcementSchema.safeParse(input)
  if (parsed.success) return Ok(parsed.data)
  const issue = parsed.error.issues[0]
  return Err({ kind: 'invalid-announcement', message: `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'invalid'}` })
}
