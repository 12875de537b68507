import { Err, Ok, type Clock, type Result } from '../../common/index.js'
import type { CreditLoan, CreditReply, CreditRequest, TargetsSummary } from './messages.js'
import { announcementSchema, type AnnounceFailure, type Announcement, type AnnounceReply } from './types.js'

const CREDIT_MS = 1000
const ANNOUNCE_MS = 250
const FORGET_MS = 3000
/** Longer than any message can be on its way. */
const HOLDER_MS = 60_000
/** Clocks of two hosts run apart by at most 1%; a granter waits that much longer than the holder. */
const DRIFT_FACTOR = 1.01
/** Bytes that a holder sent just before its credit expired have reached the executor after this time. */
const DELIVERY_MS = 50
const SETTLE_MS = CREDIT_MS * (DRIFT_FACTOR - 1) + DELIVERY_MS
/** A holder needs a connection for each slot and one to replace it when the first falls silent. */
const CONNECTIONS_PER_SLOT = 2
/** A holder that still wants slots asks again within this time. */
const WANT_MEMORY_MS = 150

interface LedgerLoan { slots: number, connections: number, deadline: number }

interface Entry {
  announcement: Announcement
  lastSeen: number
  /** Credits that an earlier home lent have expired by then. */
  readyAt: number
  /** The present report was made after this time; undefined before the first echo. */
  reportedAfter: number | undefined
  /** The executor turns to no other home without leaving credits that expire before its own wait ends. */
  authorityDeadline: number
  loans: Map<string, LedgerLoan>
}

interface Want { service: string, slots: number, expiry: number, isOffered: boolean }

/** The home's record of its executors and of the slots and connections that it has lent. */
export interface HomeLedger {
  announce (input: Announcement): Result<AnnounceReply, AnnounceFailure>
  /** Undefined when the request is older than one that was already applied. */
  take (request: CreditRequest): CreditReply | undefined
  summarize (draining: boolean): TargetsSummary
  /** Holders to be told that slots have come free; each is returned once. */
  listOffers (): string[]
  list (): Array<{ announcement: Announcement, lentSlots: number, lentConnections: number }>
}

export function createHomeLedger (options: { clock: Clock, incarnation: string, availabilityZone: string }): HomeLedger {
  const { clock, incarnation, availabilityZone } = options
  const entries = new Map<string, Entry>()
  const sequences = new Map<string, { sequence: number, seenAt: number }>()
  const wants = new Map<string, Want>()
  const ownZone = new Set<string>()

  const announce = (input: Announcement): Result<AnnounceReply, AnnounceFailure> => {
    if (input.availabilityZone !== availabilityZone) {
      return Err({ kind: 'other-zone', message: `this host is in ${availabilityZone}, the executor in ${input.availabilityZone}` })
    }
    const now = clock.now()
    const known = entries.get(input.id)
    const sameHome = known !== undefined && known.announcement.incarnation === input.incarnation &&
      known.announcement.homeSequence === input.homeSequence
    if (known !== undefined && !sameHome && known.announcement.incarnation === input.incarnation &&
      known.announcement.homeSequence > input.homeSequence) {
      return Err({ kind: 'outdated-announcement', message: 'a later announcement has been received' })
    }
    const entry: Entry = sameHome
      ? known
      : { announcement: input, lastSeen: now, readyAt: now + CREDIT_MS + SETTLE_MS, reportedAfter: undefined, authorityDeadline: 0, loans: new Map() }
    entries.set(input.id, entry)
    applyReport(entry, input, now)
    return Ok({ echo: `${incarnation} ${now}`, renewMs: ANNOUNCE_MS })
  }

  const applyReport = (entry: Entry, input: Announcement, now: number): void => {
    entry.lastSeen = now
    const issuedAt = parseEcho(input.echo, incarnation, now)
    // An announcement that is not newer than the one applied was delayed or reordered.
    if (entry.reportedAfter !== undefined && (issuedAt === undefined || issuedAt < entry.reportedAfter)) return
    entry.announcement = { ...input, leaving: input.leaving || entry.announcement.leaving }
    if (issuedAt === undefined) return
    entry.reportedAfter = issuedAt
    entry.authorityDeadline = issuedAt + CREDIT_MS
    for (const [holder, loan] of entry.loans) {
      if (loan.deadline + SETTLE_MS < issuedAt) entry.loans.delete(holder)
    }
  }

  const canLend = (entry: Entry): boolean => {
    const now = clock.now()
    return !entry.announcement.leaving && now < entry.authorityDeadline &&
      entry.reportedAfter !== undefined && entry.reportedAfter >= entry.readyAt
  }

  const take = (request: CreditRequest): CreditReply | undefined => {
    if (request.sequence <= (sequences.get(request.holder)?.sequence ?? -1)) return undefined
    sequences.set(request.holder, { sequence: request.sequence, seenAt: clock.now() })
    if (request.availabilityZone === availabilityZone) ownZone.add(request.holder)
    pruneEntries()
    const held = new Map(request.held.map(({ executor, slots }) => [executor, slots]))
    for (const [id, entry] of entries) applyHeld(entry, request.holder, held.get(id) ?? 0)
    for (const want of request.wants) grantWant(request.holder, want, request.availabilityZone === availabilityZone)
    const services = new Set([...entries.values()].map((entry) => entry.announcement.service))
    return {
      loans: [...entries.values()].flatMap((entry) => describeLoan(entry, request.holder)),
      services: [...services].map((service) => ({
        service, free: countFree(service), excess: computeExcess(service, request.holder)
      }))
    }
  }

  /** Sets a loan to what its holder keeps, as far as the slots allow, and renews its deadline. */
  const applyHeld = (entry: Entry, holder: string, slots: number): void => {
    const loan = entry.loans.get(holder)
    if (slots === 0) {
      entry.loans.delete(holder)
      return
    }
    const lendable = canLend(entry)
    if (loan === undefined && !lendable) return
    const kept = Math.min(slots, computeFreeSlots(entry, holder))
    setLoan(entry, holder, lendable ? kept : Math.min(kept, loan?.slots ?? 0))
  }

  const setLoan = (entry: Entry, holder: string, slots: number): void => {
    const previous = entry.loans.get(holder)
    const connections = Math.min(slots * CONNECTIONS_PER_SLOT, computeFreeConnections(entry, holder))
    const deadline = Math.min(clock.now() + CREDIT_MS, entry.authorityDeadline)
    entry.loans.set(holder, {
      slots: Math.min(slots, connections),
      connections,
      deadline: Math.max(deadline, previous?.deadline ?? 0)
    })
  }

  const grantWant = (holder: string, want: CreditRequest['wants'][number], isOwnZone: boolean): void => {
    const candidates = [...entries.values()].filter((entry) =>
      entry.announcement.service === want.service && !want.avoid.includes(entry.announcement.id) && canLend(entry))
    const wanted = Math.min(want.slots, computeAllowance(want.service, holder))
    let granted = 0
    for (; granted < wanted; granted++) {
      const best = findFreest(candidates)
      if (best === undefined) break
      setLoan(best, holder, (best.loans.get(holder)?.slots ?? 0) + 1)
    }
    const name = `${holder} ${want.service}`
    // Slots are not taken from hosts of this zone for those of another.
    if (isOwnZone && want.slots > granted) wants.set(name, { service: want.service, slots: want.slots - granted, expiry: clock.now() + WANT_MEMORY_MS, isOffered: false })
    else wants.delete(name)
  }

  const countLent = (service: string, holder: string): number => [...entries.values()]
    .filter((entry) => entry.announcement.service === service)
    .reduce((sum, entry) => sum + (entry.loans.get(holder)?.slots ?? 0), 0)

  /** Unmet wants of other holders that have less than an equal share, and that share. */
  const computeNeed = (service: string, holder: string): { fair: number, unmet: number } => {
    const now = clock.now()
    const live = [...wants].filter(([, want]) => want.service === service && want.expiry > now)
    const holders = new Set(live.map(([name]) => name.split(' ')[0] as string))
    const lenders = [...entries.values()].filter((entry) => entry.announcement.service === service)
    lenders.forEach((entry) => entry.loans.forEach((_, name) => { if (ownZone.has(name)) holders.add(name) }))
    holders.add(holder)
    const total = lenders.reduce((sum, entry) => sum + entry.announcement.slots, 0)
    const fair = Math.max(1, Math.floor(total / holders.size))
    const unmet = live.reduce((sum, [name, want]) => {
      const other = name.split(' ')[0] as string
      return other === holder ? sum : sum + Math.min(want.slots, Math.max(0, fair - countLent(service, other)))
    }, 0)
    return { fair, unmet }
  }

  const computeExcess = (service: string, holder: string): number => {
    const { fair: share, unmet } = computeNeed(service, holder)
    const fair = ownZone.has(holder) ? share : 0
    return Math.min(Math.max(0, unmet - countFree(service)), Math.max(0, countLent(service, holder) - fair))
  }

  /** A holder below its share is served first; what is free beyond such wants goes to any holder. */
  const computeAllowance = (service: string, holder: string): number => {
    const { fair, unmet } = computeNeed(service, holder)
    return Math.max(0, ownZone.has(holder) ? fair - countLent(service, holder) : 0, countFree(service) - unmet)
  }

  const countFree = (service: string): number => [...entries.values()]
    .filter((entry) => entry.announcement.service === service && canLend(entry))
    .reduce((sum, entry) => sum + computeFreeSlots(entry), 0)

  const describeLoan = (entry: Entry, holder: string): CreditLoan[] => {
    const loan = entry.loans.get(holder)
    if (loan === undefined) return []
    const { id, service, availabilityZone: zone, rack, url, incarnation: process, leaving, progressMs, running } = entry.announcement
    const own = running.filter((item) => item.holder === holder)
    return [{
      executor: id,
      service,
      availabilityZone: zone,
      rack,
      url,
      incarnation: process,
      slots: loan.slots,
      connections: loan.connections,
      remainingMs: loan.deadline - clock.now(),
      leaving,
      progressMs,
      running: own.map((item) => item.request),
      reportAgeMs: clock.now() - (entry.reportedAfter ?? 0),
      otherLoad: running.length - own.length
    }]
  }

  const pruneEntries = (): void => {
    const now = clock.now()
    for (const [id, entry] of entries) {
      if (entry.lastSeen + FORGET_MS < now) entries.delete(id)
    }
    for (const [name, want] of wants) {
      if (want.expiry <= now) wants.delete(name)
    }
    for (const [holder, { seenAt }] of sequences) {
      if (seenAt + HOLDER_MS >= now) continue
      sequences.delete(holder)
      ownZone.delete(holder)
    }
  }

  const summarize = (draining: boolean): TargetsSummary => {
    pruneEntries()
    const all = [...entries.values()]
    const services = [...new Set(all.map((entry) => entry.announcement.service))]
    return {
      availabilityZone,
      services: services.map((service) => {
        const own = all.filter((entry) => entry.announcement.service === service && canLend(entry))
        const slots = own.reduce((sum, entry) => sum + entry.announcement.slots, 0)
        return { service, executors: own.length, slots, free: draining ? 0 : countFree(service) }
      }),
      leaving: all.filter((entry) => entry.announcement.leaving).map(({ announcement: { id, incarnation: process } }) => ({ executor: id, incarnation: process })),
      draining
    }
  }

  const list = (): ReturnType<HomeLedger['list']> => [...entries.values()].map((entry) => ({
    announcement: entry.announcement,
    lentSlots: [...entry.loans.values()].reduce((sum, loan) => sum + loan.slots, 0),
    lentConnections: [...entry.loans.values()].reduce((sum, loan) => sum + loan.connections, 0)
  }))

  const listOffers = (): string[] => {
    const now = clock.now()
    const offered = [...wants].filter(([name, want]) => {
      const holder = name.split(' ')[0] as string
      return want.expiry > now && !want.isOffered && computeAllowance(want.service, holder) > 0 && countFree(want.service) > 0
    })
    offered.forEach(([, want]) => { want.isOffered = true })
    return offered.map(([name]) => name.split(' ')[0] as string)
  }

  return { announce, take, summarize, listOffers, list }
}

/** Reads the time at which this incarnation issued an echo. */
function parseEcho (echo: string | undefined, incarnation: string, now: number): number | undefined {
  const [issuer, time] = echo?.split(' ') ?? []
  const issuedAt = Number(time)
  return issuer === incarnation && Number.isFinite(issuedAt) && issuedAt <= now ? issuedAt : undefined
}

function findFreest (entries: Entry[]): Entry | undefined {
  return entries
    .map((entry) => ({ entry, free: Math.min(computeFreeSlots(entry), computeFreeConnections(entry)), slots: entry.announcement.slots }))
    .filter(({ free }) => free > 0)
    .reduce<{ entry: Entry, free: number, slots: number } | undefined>((best, item) =>
      best === undefined || item.free / item.slots > best.free / best.slots ? item : best, undefined)?.entry
}

/** Slots that neither a loan nor a running request of another holder occupies. */
function computeFreeSlots (entry: Entry, except?: string): number {
  const running = new Map<string, number>()
  entry.announcement.running.forEach(({ holder }) => running.set(holder, (running.get(holder) ?? 0) + 1))
  return Math.max(0, entry.announcement.slots - countOccupied(entry, running, (loan) => loan.slots, except))
}

function computeFreeConnections (entry: Entry, except?: string): number {
  const open = new Map(Object.entries(entry.announcement.openConnections))
  return Math.max(0, entry.announcement.connections - countOccupied(entry, open, (loan) => loan.connections, except))
}

/**
 * A loan counts until a report that was made after its deadline; the report shows what its holder left behind.
 * `announce` removes it then.
 */
function countOccupied (entry: Entry, reported: Map<string, number>, getLent: (loan: LedgerLoan) => number, except?: string): number {
  const holders = new Set([...entry.loans.keys(), ...reported.keys()])
  return [...holders]
    .filter((holder) => holder !== except)
    .reduce((sum, holder) => {
      const loan = entry.loans.get(holder)
      return sum + Math.max(loan === undefined ? 0 : getLent(loan), reported.get(holder) ?? 0)
    }, 0)
}

/** Parses what an executor sent. */
export function parseAnnouncement (input: unknown): Result<Announcement, AnnounceFailure> {
  const parsed = announcementSchema.safeParse(input)
  if (parsed.success) return Ok(parsed.data)
  const issue = parsed.error.issues[0]
  return Err({ kind: 'invalid-announcement', message: `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'invalid'}` })
}
