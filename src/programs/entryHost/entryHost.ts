import { join } from 'node:path'
import { Err, Ok, createLogger, describeError, createNoopMetrics, createNoopEventLoopMeter, createRandom, createStatsdMetrics, createSystemClock, type Clock, type Logger, type Metrics, type Result } from '../../common/index.js'
import { createConfiguration, type ConfigurationModule } from '../../coordination/configuration/index.js'
import { createPlacement } from '../../coordination/placement/index.js'
import { createReportRecorder, type ReportRecorder } from '../../coordination/reports/index.js'
import { createRouter, type Router } from '../../coordination/routing/index.js'
import { createZoneCoordinator, type PolicyInForce, type ZoneCoordinator } from '../../coordination/tasks/index.js'
import { createFailure, type EntryHost } from '../../protocol/index.js'
import { createReplicatedState, createReplica, DEFAULT_PRESETS, describeStoreFailure, openDisk, openFileJournalStore, type FileJournalStore, type Replica, type ReplicaFailure } from '../../state/index.js'
import { createExecutorClient, createWorkerClient, openHttpServer, openPeerNetwork, type PeerNetwork } from '../../transport/index.js'
import { createHost, createMembers, createPresets, type HostSettings } from '../settings/index.js'
import { createOperations, describeHosts } from './operations.js'
import { findPrincipal } from './principals.js'
import { createQueryService } from './queries.js'
import { createReportObserver } from './reportObserver.js'
import { createRequestOperations } from './requests.js'
import { createViewOperations } from './views.js'
import { createWorkOperations } from './work.js'

const JOURNAL_FILE = 'journal'
const BOOTSTRAP_RETRY_MS = 500
const BOOTSTRAP_TIMEOUT_MS = 2_000

export interface RunningHost {
  /** Stops gracefully: ends readiness, then listening, waits for requests in flight, transfers state to other hosts, and stops all components. */
  stop (): Promise<void>
  /** Resolves when the host has stopped; with a failure if a fault of the replica stopped it. */
  waitUntilStopped (): Promise<ReplicaFailure | undefined>
  /** Logs an error that no other code has handled. */
  reportFault (kind: string, error: unknown): void
}

export interface StartFailure { kind: 'store-failure' | 'address-in-use', message: string }

export interface StartOptions {
  settings: HostSettings
  /** Whether to erase a corrupt store, so that the host replicates the log from its peers as a new incarnation. */
  repair: boolean
}

interface Components {
  clock: Clock
  logger: Logger
  metrics: Metrics
  network: PeerNetwork
  log: Replica
  configuration: ConfigurationModule
  router: Router
  coordinator: ZoneCoordinator
  recorder: ReportRecorder
  /** Absent on a host without a disk. */
  journalStore: FileJournalStore | undefined
}

/** Starts all components of an entry host and its HTTP server. */
export async function startEntryHost (options: StartOptions): Promise<Result<RunningHost, StartFailure>> {
  const { settings } = options
  const components = await startComponents(options)
  if (!components.ok) return components
  const { clock, logger } = components.val
  const state = { ready: true, stopping: undefined as Promise<void> | undefined }
  const replicaStopped = components.val.log.waitUntilStopped()
  let stop = async (): Promise<void> => {}
  const entryHost = createEntryHost(settings, components.val, state, () => stop())
  const server = await openServer(settings, entryHost, components.val)
  if (!server.ok) {
    await stopComponents(components.val)
    return server
  }
  stop = () => {
    state.stopping ??= stopGracefully(settings, components.val, server.val, state, clock)
    return state.stopping
  }
  logger.info('host-started', { http: settings.self.httpAddress, peer: settings.self.peerAddress, zone: settings.self.availabilityZone, disk: settings.self.hasDisk })
  proposeBootstrap(settings, components.val, state)
  return Ok({
    stop,
    waitUntilStopped: async () => {
      const failure = await replicaStopped
      await stop()
      return failure
    },
    reportFault: (kind, error) => logger.error('fault', { kind, message: describeError(error) })
  })
}

async function startComponents ({ settings, repair }: StartOptions): Promise<Result<Components, StartFailure>> {
  const { self } = settings
  const clock = createSystemClock()
  const logger = await createLogger(settings.logs.level, { host: self.id })
  const metrics = settings.metrics === undefined
    ? createNoopMetrics()
    : createStatsdMetrics(settings.metrics.host, settings.metrics.port, { host: self.id, zone: self.availabilityZone })
  const random = createRandom(Math.floor(Math.random() * 0x7fffffff))
  const created: { log?: Replica, coordinator?: ZoneCoordinator } = {}
  const findAddress = (host: string): string | undefined =>
    created.log?.state().hosts[host]?.peerAddress ?? settings.hosts.find(({ id }) => id === host)?.peer
  const opened = await openNetwork(settings, { clock, logger, metrics, findAddress })
  if (!opened.ok) return opened
  const network = opened.val
  const disk = settings.dataFolder === undefined ? undefined : await openDisk(settings.dataFolder)
  if (disk?.err) return await abandonStart(network, 'the data folder cannot be opened', disk.val)
  const replica = await createReplica({
    deployment: settings.deployment.name,
    self: self.id,
    availabilityZone: self.availabilityZone,
    clock,
    random,
    network,
    logger,
    bootstrapVoters: settings.hosts.filter(({ voter }) => voter).map(({ id }) => id),
    seeds: settings.hosts.map(({ id }) => id).filter((id) => id !== self.id),
    repair,
    createState: () => createReplicatedState({ ...DEFAULT_PRESETS, ...createPresets(settings) }, settings.deployment.preset),
    ...(disk === undefined ? {} : { disk: disk.val })
  })
  if (!replica.ok) {
    await network.close()
    return Err({ kind: 'store-failure', message: describeStoreFailure(replica.val) })
  }
  const log = replica.val
  created.log = log
  const configuration = createConfiguration({ self: self.id, clock, network, log, logger, metrics })
  const recorder = createReportRecorder({ self: self.id, clock, getServices: () => log.state().services })
  const reportObserver = createReportObserver({ clock, log, recorder, availabilityZone: self.availabilityZone, isCoordinator: () => created.coordinator?.status().active === true })
  const router = createRouter({
    self: self.id,
    incarnation: log.incarnation,
    availabilityZone: self.availabilityZone,
    secret: Buffer.from(settings.security.cluster_secret),
    clock,
    random,
    network,
    executors: createExecutorClient(),
    getPolicy: () => configuration.getConfiguration().policy,
    getHosts: () => Object.values(log.state().hosts),
    getService: (service) => log.state().services[service],
    onOutcome: reportObserver.observeRequest,
    logger,
    metrics
  })
  const journalStore = settings.dataFolder === undefined ? undefined : await openFileJournalStore(join(settings.dataFolder, JOURNAL_FILE))
  const coordinator = await createZoneCoordinator({
    clock,
    network,
    logger,
    log,
    availabilityZone: self.availabilityZone,
    incarnation: log.incarnation,
    client: createWorkerClient(clock),
    createPlacement: () => reportObserver.observePlacement(createPlacement({ seed: random.below(0x7fffffff) })),
    ...(journalStore === undefined ? {} : { journalStore }),
    onEviction: reportObserver.observeEviction,
    getPolicy: () => getPolicyInForce(configuration)
  })
  created.coordinator = coordinator
  return Ok({ clock, logger, metrics, network, log, configuration, router, coordinator, recorder, journalStore })
}

function getPolicyInForce (configuration: ConfigurationModule): PolicyInForce {
  const { claim, lastKnownPreset, revision, policy } = configuration.getConfiguration()
  return { preset: lastKnownPreset, revision, policy, isolated: claim !== 'in-force' }
}

async function openNetwork (settings: HostSettings, context: { clock: Clock, logger: Logger, metrics: Metrics, findAddress: (host: string) => string | undefined }): Promise<Result<PeerNetwork, StartFailure>> {
  const [listenHost, port] = splitAddress(settings.self.peerAddress)
  try {
    return Ok(await openPeerNetwork({ ...context, work: createNoopEventLoopMeter(), self: settings.self.id, listenHost, listenPort: port, secret: settings.security.cluster_secret }))
  } catch (error) {
    return Err(describeListenError(settings.self.peerAddress, error))
  }
}

async function openServer (settings: HostSettings, entryHost: EntryHost, { logger, metrics }: Components): Promise<Result<{ close (): Promise<void> }, StartFailure>> {
  const [host, port] = splitAddress(settings.self.httpAddress)
  try {
    return Ok(await openHttpServer({ host, port, entryHost, logger, metrics }))
  } catch (error) {
    return Err(describeListenError(settings.self.httpAddress, error))
  }
}

async function abandonStart (network: PeerNetwork, summary: string, failure: { kind: string }): Promise<Result<never, StartFailure>> {
  await network.close()
  return Err({ kind: 'store-failure', message: `${summary}: ${JSON.stringify(failure)}` })
}

function createEntryHost (settings: HostSettings, components: Components, state: { ready: boolean }, stop: () => Promise<void>): EntryHost {
  const { log, clock, router, coordinator, configuration } = components
  const hashes = { operator: settings.security.operator_token_hash, target: settings.security.target_token_hash }
  const { availabilityZone } = settings.self
  const queries = createQueryService({
    network: components.network,
    clock,
    log,
    coordinator,
    handlers: {
      tasks: ({ job }) => coordinator.listTasks(job === undefined ? {} : { job }),
      explain: (subject) => coordinator.explain(subject),
      drainWorker: ({ worker }) => coordinator.drainWorker(worker),
      zone: () => coordinator.status(),
      targets: () => router.listTargets(),
      hosts: () => describeHosts(log),
      report: () => components.recorder.createSummary(clock.now())
    }
  })
  return {
    identify: (token) => findPrincipal(log.state(), hashes, token),
    isReady: () => state.ready && log.state().founded,
    getHealth: () => {
      const { role, term, leader, commitIndex, appliedIndex } = log.status()
      return { host: settings.self.id, role, term, leader: leader ?? null, commitIndex, appliedIndex, zone: coordinator.status(), peerTraffic: components.network.getTraffic(), memory: getMemoryUsage() }
    },
    now: () => clock.now(),
    ...createRequestOperations(router, log),
    ...createWorkOperations({ log, clock, queries, availabilityZone }),
    ...createViewOperations({ log, queries, router, coordinator, availabilityZone }),
    ...createOperations({ clock, log, configuration, queries }),
    drain: async () => {
      if (!state.ready) return Err(createFailure('draining', 'this host is already stopping'))
      stop()
      return Ok({ draining: settings.self.id })
    }
  }
}

/** While this host is the leader, proposes the hosts and members of the settings, until this or another host has bootstrapped the deployment. */
async function proposeBootstrap (settings: HostSettings, components: Components, state: { ready: boolean }): Promise<void> {
  const { log, clock, logger } = components
  const entry = { kind: 'deployment.found' as const, hosts: settings.hosts.map(createHost), members: createMembers(settings) }
  while (state.ready && !log.state().founded) {
    if (log.status().role === 'leader') {
      const result = await log.propose(entry, clock.now() + BOOTSTRAP_TIMEOUT_MS)
      if (result.ok) logger.info('deployment-founded', { deployment: settings.deployment.name, hosts: entry.hosts.length, members: entry.members.length })
    }
    await clock.sleep(BOOTSTRAP_RETRY_MS)
  }
}

async function stopGracefully (settings: HostSettings, components: Components, server: { close (): Promise<void> }, state: { ready: boolean }, clock: Clock): Promise<void> {
  const { logger } = components
  const deadline = clock.now() + settings.host.ready_grace_ms + settings.host.drain_ms
  state.ready = false
  logger.info('host-draining')
  // The load balancer needs this long to notice that the host is no longer ready.
  await clock.sleep(settings.host.ready_grace_ms)
  await Promise.race([server.close(), clock.sleep(deadline - clock.now())])
  await Promise.race([components.router.drain(), clock.sleep(deadline - clock.now())])
  await stopComponents(components)
  logger.info('host-stopped')
}

async function stopComponents ({ router, coordinator, configuration, log, network, metrics, journalStore }: Components): Promise<void> {
  await router.stop()
  await coordinator.stop()
  await journalStore?.close()
  await configuration.stop()
  await log.stop()
  await network.close()
  metrics.close()
}

function getMemoryUsage (): { rss: number, heapUsed: number, external: number } {
  const { rss, heapUsed, external } = process.memoryUsage()
  return { rss, heapUsed, external }
}

function describeListenError (address: string, error: unknown): StartFailure {
  return { kind: 'address-in-use', message: `cannot listen on ${address}: ${error instanceof Error ? error.message : 'unknown error'}` }
}

function splitAddress (address: string): [string, number] {
  const separator = address.lastIndexOf(':')
  return [address.slice(0, separator), Number(address.slice(separator + 1))]
}
