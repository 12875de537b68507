import { Err, runSupervised, type Clock, type Logger, type Metrics, type Network, type Random, type Result } from '../../common/index.js'
import type { Policy, Service } from '../../state/index.js'
import { createIdempotencyStore, type IdempotencyLimits } from './idempotencyStore.js'
import { createLeaseClient, createWakeup, type LeaseClient } from './leaseClient.js'
import { createDispatcher } from './dispatcher.js'
import { createHealthTable } from './executorHealth.js'
import { createLeasedExecutors } from './leasedExecutors.js'
import { createLeaseTable, parseAnnouncement } from './leaseTable.js'
import { createKeyedRequests, type HostLocation } from './keyedRequests.js'
import { checkRequest } from './requests.js'
import { leaseRequestSchema, targetsSummarySchema, type LeaseAnswer, type TargetsSummary } from './messages.js'
import type { AnnounceFailure, AnnounceReply, ExecutorClient, NotRunReason, RequestOutcome, RoutedRequest, TargetStatus, UnknownReason } from './types.js'

const HOUSEKEEPING_INTERVAL_MS = 100
const SUMMARY_INTERVAL_MS = 1000
const SUMMARY_TIMEOUT_MS = 500
const DRAIN_POLL_MS = 10

export interface RouterOptions {
  self: string
  /** Id of this process; a restarted host has another one. */
  incarnation: string
  availabilityZone: string
  /** Secret of the deployment with which all its entry hosts sign and check idempotency keys. */
  secret: Uint8Array
  clock: Clock
  random: Random
  network: Network
  executors: ExecutorClient
  getPolicy (): Policy
  getHosts (): HostLocation[]
  getService (service: string): Service | undefined
  logger: Logger
  metrics: Metrics
  /** Called once for each request that ends, to measure service objectives. */
  onOutcome? (event: RequestOutcomeEvent): void
  idempotencyLimits?: Partial<IdempotencyLimits>
}

/** The outcome of one request. */
export interface RequestOutcomeEvent { service: string, member: string, outcome: RequestOutcome['kind'], status: number | undefined, reason?: NotRunReason | UnknownReason, latencyMs: number }

export interface Router {
  routeRequest (request: RoutedRequest): Promise<RequestOutcome>
  /** Handles the announcement that an executor sends every `renewMs`. The input is checked against `announcementSchema`. */
  announceTarget (input: unknown): Promise<Result<AnnounceReply, AnnounceFailure>>
  issueKey (member: string): string
  listTargets (): TargetStatus[]
  /** Refuses new requests, waits until the accepted ones have ended, returns all leases and copies recorded answers to a peer. */
  drain (): Promise<void>
  stop (): Promise<void>
}

export function createRouter (options: RouterOptions): Router {
  const { self, incarnation, availabilityZone, clock, random, network, getHosts, logger, metrics } = options
  const holder = `${self}/${incarnation}`
  const leaseTable = createLeaseTable({ clock, incarnation, availabilityZone })
  const health = createHealthTable(clock, (executor, service, reason) => {
    logger.warn('executor-ejected', { executor, service, reason })
    metrics.count('ejections', 1, { service })
  })
  const leasedExecutors = createLeasedExecutors({ clock, random, client: options.executors, holder, availabilityZone, health })
  const idempotencyStore = createIdempotencyStore({ clock, host: self, incarnation, availabilityZone, secret: options.secret, limits: options.idempotencyLimits })
  const housekeepingWakeup = createWakeup(clock)
  let lastSentSet = ''
  const state = { stopped: false, draining: false, hasSentEmpty: false }

  const dispatcher = createDispatcher({
    clock,
    holder,
    leasedExecutors,
    health,
    getLeaseClient: () => leaseClient,
    getPolicy: options.getPolicy,
    getService: options.getService,
    logger,
    metrics
  })
  const leaseClient: LeaseClient = createLeaseClient({
    clock, logger, network, holder, availabilityZone, leaseTable, notifyHolders: () => notifyHolders(), leasedExecutors, health, getDemand: dispatcher.getDemand, onChange: dispatcher.dispatchAllQueues
  })
  const keyedRequests = createKeyedRequests({
    clock, network, availabilityZone, secret: options.secret, idempotencyStore, getHosts, run: dispatcher.run, logger
  })

  const routeRequest: Router['routeRequest'] = async (request) => {
    const startedAt = clock.now()
    const invalid = checkRequest(request)
    if (invalid !== undefined) return invalid
    const key = request.key ?? (request.idempotent ? undefined : idempotencyStore.issue(request.member))
    const outcome = key === undefined ? await dispatcher.run(request) : await keyedRequests.route(request, key)
    const latencyMs = clock.now() - startedAt
    metrics.timing('latency', latencyMs, { service: request.service })
    options.onOutcome?.({
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
    const result = leaseTable.announce(parsed.val)
    // A change of the usable or leaving executors is sent to the other hosts at once, not with the next regular summary.
    if (describeExecutorSet(leaseTable.summarize(state.draining)) !== lastSentSet) sendSummaries()
    return result
  }

  const sendSummaries = (): void => {
    const summary = leaseTable.summarize(state.draining)
    lastSentSet = describeExecutorSet(summary)
    leaseClient.observeSummary(self, summary)
    const isEmpty = summary.services.length === 0 && summary.leaving.length === 0 && !summary.draining
    const shouldSend = !isEmpty || !state.hasSentEmpty
    state.hasSentEmpty = isEmpty
    // An empty summary is sent only once. If it is lost, the other hosts drop the previous summary when it is too old.
    if (shouldSend) sendToHosts(summary)
    dispatcher.dispatchAllQueues()
  }

  const sendToHosts = (summary: TargetsSummary): void => {
    getHosts().filter((host) => host.id !== self).forEach((host) => {
      network.request(host.id, 'targets.summary', summary, clock.now() + SUMMARY_TIMEOUT_MS)
    })
  }

  network.handle('targets.summary', async (from, body) => {
    leaseClient.observeSummary(from, targetsSummarySchema.parse(body))
    return {}
  })
  const handleLeaseRequest = async (_: string, body: unknown): Promise<LeaseAnswer> => {
    const reply = leaseTable.applyRequest(leaseRequestSchema.parse(body)) ?? { outdated: true as const }
    notifyHolders()
    return reply
  }
  network.handle('credit.take', handleLeaseRequest)
  network.handle('credit.return', handleLeaseRequest)

  network.handle('credit.offer', async (from) => {
    leaseClient.observeFreeSlots(from)
    return {}
  })

  /** Tells hosts whose requests for slots were not met that slots are free now, so that they need not poll. */
  const notifyHolders = (): void => leaseTable.listHoldersToNotify().forEach((name) => {
    const host = name.slice(0, name.lastIndexOf('/'))
    if (host === self) leaseClient.observeFreeSlots(self)
    else network.request(host, 'credit.offer', {}, clock.now() + SUMMARY_TIMEOUT_MS)
  })

  const runHousekeeping = async (): Promise<void> => {
    let nextSummary = clock.now()
    while (!state.stopped) {
      if (clock.now() >= nextSummary) {
        nextSummary = clock.now() + SUMMARY_INTERVAL_MS
        sendSummaries()
        idempotencyStore.prune()
        health.prune()
        metrics.gauge('claims', idempotencyStore.count().records)
      }
      leasedExecutors.prune()
      dispatcher.decayPeaks()
      dispatcher.dispatchAllQueues()
      await housekeepingWakeup.wait(HOUSEKEEPING_INTERVAL_MS)
    }
  }

  const drain = async (): Promise<void> => {
    state.draining = true
    dispatcher.setDraining()
    logger.info('draining')
    sendSummaries()
    while (!state.stopped && dispatcher.countOpenRequests() > 0) await clock.sleep(DRAIN_POLL_MS)
    await leaseClient.drain()
    await keyedRequests.transferAnswers()
    logger.info('drained')
  }

  const listTargets = (): TargetStatus[] => {
    const owned = leaseTable.list().map(({ announcement, lentSlots, lentConnections }) => ({
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
      ejected: health.getConcurrencyLimit(announcement.id) === 0
    }))
    const ownedIds = new Set(owned.map((item) => item.id))
    const leased = leasedExecutors.list().filter((item) => !ownedIds.has(item.id)).map((item) => ({
      id: item.id,
      service: item.service,
      availabilityZone: item.availabilityZone,
      rack: item.rack,
      url: item.url,
      home: false,
      slots: item.slots,
      lentSlots: item.slots,
      lentConnections: item.connections,
      running: item.activeAttempts.size,
      leaving: item.leaving,
      ejected: health.getConcurrencyLimit(item.id) === 0
    }))
    return [...owned, ...leased]
  }

  runSupervised({ clock, logger, event: 'housekeeping-failed', isStopped: () => state.stopped }, runHousekeeping)

  return {
    routeRequest,
    announceTarget,
    issueKey: idempotencyStore.issue,
    listTargets,
    drain,
    stop: async () => {
      state.stopped = true
      housekeepingWakeup.wake()
      dispatcher.stop()
      leaseClient.stop()
      leasedExecutors.stop()
    }
  }
}

/** Describes the part of a summary whose changes are sent at once. Free slots are left out, as they change with every request. */
function describeExecutorSet ({ services, leaving, draining }: TargetsSummary): string {
  return JSON.stringify([services.map(({ service, slots }) => [service, slots]), leaving, draining])
}
