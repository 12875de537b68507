import { Err, type Clock, type Logger, type Metrics, type Network, type Random, type Result } from '../../common/index.js'
import type { Policy, Service } from '../../state/index.js'
import { createClaimStore, type ClaimLimits } from './claims.js'
import { createBorrower, createWakeup, type Borrower } from './credits.js'
import { createDispatcher } from './dispatcher.js'
import { createHealthTable } from './health.js'
import { createHoldings } from './holdings.js'
import { createHomeLedger, parseAnnouncement } from './home.js'
import { createKeyedRequests, type EntryHost } from './idempotency.js'
import { checkRequest } from './requests.js'
import { creditRequestSchema, summarySchema, type TargetsSummary } from './messages.js'
import type { AnnounceFailure, AnnounceReply, ExecutorClient, NotRunReason, RequestOutcome, RoutedRequest, TargetStatus, UnknownReason } from './types.js'

const SWEEP_MS = 100
const SUMMARY_MS = 1000
const SUMMARY_DEADLINE_MS = 500
const DRAIN_POLL_MS = 10

export interface RouterOptions {
  self: string
  /** Differs for each process of a host. */
  incarnation: string
  availabilityZone: string
  /** Shared by all entry hosts of the deployment; signs idempotency keys. */
  secret: Uint8Array
  clock: Clock
  random: Random
  network: Network
  executors: ExecutorClient
  getPolicy (): Policy
  getHosts (): EntryHost[]
  getService (service: string): Service | undefined
  logger: Logger
  metrics: Metrics
  /** Called once for each outcome, for service objectives. */
  report? (event: RequestReport): void
  claimLimits?: Partial<ClaimLimits>
}

export interface RequestReport { service: string, member: string, outcome: RequestOutcome['kind'], status: number | undefined, reason?: NotRunReason | UnknownReason, latencyMs: number }

export interface Router {
  routeRequest (request: RoutedRequest): Promise<RequestOutcome>
  /** For executors, every `renewMs`. The input is checked against `announcementSchema`. */
  announceTarget (input: unknown): Promise<Result<AnnounceReply, AnnounceFailure>>
  issueKey (member: string): string
  listTargets (): TargetStatus[]
  /** Accepts nothing new, lets requests in flight end, returns credits and hands answers to a peer. */
  drain (): Promise<void>
  stop (): Promise<void>
}

export function createRouter (options: RouterOptions): Router {
  const { self, incarnation, availabilityZone, clock, random, network, getHosts, logger, metrics } = options
  const holder = `${self}/${incarnation}`
  const ledger = createHomeLedger({ clock, incarnation, availabilityZone })
  const health = createHealthTable(clock, (executor, service, reason) => {
    logger.warn('executor-ejected', { executor, service, reason })
    metrics.count('ejections', 1, { service })
  })
  const holdings = createHoldings({ clock, random, client: options.executors, holder, availabilityZone, health })
  const claims = createClaimStore({ clock, host: self, incarnation, availabilityZone, secret: options.secret, limits: options.claimLimits })
  const sweeper = createWakeup(clock)
  let lastSet = ''
  const state = { stopped: false, draining: false, sentEmpty: false }

  const dispatcher = createDispatcher({
    clock,
    holder,
    holdings,
    health,
    getBorrower: () => borrower,
    getPolicy: options.getPolicy,
    getService: options.getService,
    logger,
    metrics
  })
  const borrower: Borrower = createBorrower({
    clock, random, network, holder, availabilityZone, ledger, sendOffers: () => sendOffers(), holdings, health, getDemand: dispatcher.getDemand, onChange: dispatcher.pump
  })
  const keyed = createKeyedRequests({
    clock, network, availabilityZone, secret: options.secret, claims, getHosts, run: dispatcher.run, logger
  })

  const routeRequest: Router['routeRequest'] = async (request) => {
    const startedAt = clock.now()
    const invalid = checkRequest(request)
    if (invalid !== undefined) return invalid
    const key = request.key ?? (request.idempotent ? undefined : claims.issue(request.member))
    const outcome = key === undefined ? await dispatcher.run(request) : await keyed.route(request, key)
    const latencyMs = clock.now() - startedAt
    metrics.timing('latency', latencyMs, { service: request.service })
    options.report?.({
      service: request.service,
      member: request.member,
      outcome: outcome.kind,
      status: outcome.kind === 'answered' ? outcome.status : undefined,
      ...('reason' in outcome ? { reason: outcome.reason } : {}),
      latencyMs
    })
    return outcome
  }

  const announceTarget: Router['announceTarget'] = async (input) => {
    const parsed = parseAnnouncement(input)
    if (!parsed.ok) return parsed
    if (state.draining || state.stopped) return Err({ kind: 'draining', message: 'this host is draining; announce to another one of the zone' })
    const result = ledger.announce(parsed.val)
    // Hosts learn at once of an executor that can be used or that is leaving, not with the next regular summary.
    if (describeSet(ledger.summarize(state.draining)) !== lastSet) sendSummaries()
    return result
  }

  const sendSummaries = (): void => {
    const summary = ledger.summarize(state.draining)
    lastSet = describeSet(summary)
    borrower.observeSummary(self, summary)
    const isEmpty = summary.services.length === 0 && summary.leaving.length === 0 && !summary.draining
    const isNews = !isEmpty || !state.sentEmpty
    state.sentEmpty = isEmpty
    // A host without executors says so once; the others forget an earlier summary by themselves.
    if (isNews) sendToHosts(summary)
    dispatcher.pump()
  }

  const sendToHosts = (summary: TargetsSummary): void => {
    getHosts().filter((host) => host.id !== self).forEach((host) => {
      network.request(host.id, 'targets.summary', summary, clock.now() + SUMMARY_DEADLINE_MS)
    })
  }

  network.handle('targets.summary', async (from, body) => {
    borrower.observeSummary(from, summarySchema.parse(body))
    return {}
  })
  const handleCredit = async (_: string, body: unknown): Promise<unknown> => {
    const reply = ledger.take(creditRequestSchema.parse(body)) ?? { outdated: true }
    sendOffers()
    return reply
  }
  network.handle('credit.take', handleCredit)
  network.handle('credit.return', handleCredit)

  network.handle('credit.offer', async (from) => {
    borrower.observeOffer(from)
    return {}
  })

  /** Tells hosts that found no free slot that there are some now, so that they need not poll. */
  const sendOffers = (): void => ledger.listOffers().forEach((name) => {
    const host = name.slice(0, name.lastIndexOf('/'))
    if (host === self) borrower.observeOffer(self)
    else network.request(host, 'credit.offer', {}, clock.now() + SUMMARY_DEADLINE_MS)
  })

  const runSweeper = async (): Promise<void> => {
    let nextSummary = clock.now()
    while (!state.stopped) {
      if (clock.now() >= nextSummary) {
        nextSummary = clock.now() + SUMMARY_MS
        sendSummaries()
        claims.prune()
        health.prune()
        metrics.gauge('claims', claims.count().claims)
      }
      holdings.prune()
      dispatcher.decayPeaks()
      dispatcher.pump()
      await sweeper.wait(SWEEP_MS)
    }
  }

  const drain = async (): Promise<void> => {
    state.draining = true
    dispatcher.setDraining()
    logger.info('draining')
    sendSummaries()
    while (!state.stopped && dispatcher.countOpen() > 0) await clock.sleep(DRAIN_POLL_MS)
    await borrower.drain()
    await keyed.handOver()
    logger.info('drained')
  }

  const listTargets = (): TargetStatus[] => {
    const own = ledger.list().map(({ announcement, lentSlots, lentConnections }) => ({
      id: announcement.id,
      service: announcement.service,
      availabilityZone: announcement.availabilityZone,
      rack: announcement.rack,
      url: announcement.url,
      home: true,
      slots: announcement.slots,
      lentSlots,
      lentConnections,
      running: announcement.running.length,
      leaving: announcement.leaving,
      ejected: health.getAllowance(announcement.id) === 0
    }))
    const homed = new Set(own.map((item) => item.id))
    const borrowed = holdings.list().filter((item) => !homed.has(item.id)).map((item) => ({
      id: item.id,
      service: item.service,
      availabilityZone: item.availabilityZone,
      rack: item.rack,
      url: item.url,
      home: false,
      slots: item.slots,
      lentSlots: item.slots,
      lentConnections: item.connections,
      running: item.active.size,
      leaving: item.leaving,
      ejected: health.getAllowance(item.id) === 0
    }))
    return [...own, ...borrowed]
  }

  runSweeper()

  return {
    routeRequest,
    announceTarget,
    issueKey: claims.issue,
    listTargets,
    drain,
    stop: async () => {
      state.stopped = true
      sweeper.wake()
      dispatcher.stop()
      borrower.stop()
      holdings.stop()
    }
  }
}

/** What hosts need to know at once; free slots change with every request. */
function describeSet ({ services, leaving, draining }: TargetsSummary): string {
  return JSON.stringify([services.map(({ service, slots }) => [service, slots]), leaving, draining])
}
