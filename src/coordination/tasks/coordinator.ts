import { isDeepStrictEqual } from 'node:util'
import { z } from 'zod'
import { runSupervised, type Clock, type Logger, type Network } from '../../common/index.js'
import { createMemoryJournalStore, workerSchema, type ReplicatedLog, type JournalStore, type Worker, type ZoneAuthority } from '../../state/index.js'
import { heartbeatSchema, HEARTBEAT_INTERVAL_MS, startSupervisor, type Heartbeat } from '../authority/supervisor.js'
import { compareTerms } from '../authority/terms.js'
import type { Explanation, Placement, Subject } from '../placement/types.js'
import { coordinatorTermSchema, type CoordinatorTerm } from './exchange.js'
import type { Eviction } from './dispatcher.js'
import type { PolicyInForce } from './activeTerm.js'
import { appendRequestSchema, createJournalReplica } from './journalReplica.js'
import { KEEPALIVE_INTERVAL_MS } from './journalWriter.js'
import { startSession } from './session.js'
import type { Session, SessionPhase } from './sessionTypes.js'
import type { TaskFilter, TaskView } from './table.js'
import type { WorkerClient } from './workerLink.js'

/** While no leader of the replicated log is reachable, a coordinator that has not contacted this host for this long is replaced, ms. */
const COORDINATOR_TIMEOUT_MS = 1_500
/** Additional delay for each rank in the journal group, so that two hosts rarely claim at the same time, ms. */
const RANK_DELAY_MS = 700
const WATCH_INTERVAL_MS = 100
const REGISTER_TIMEOUT_MS = 2_000

export interface ZoneCoordinatorOptions {
  clock: Clock
  network: Network
  logger: Logger
  log: ReplicatedLog
  availabilityZone: string
  /** Identifies one run of the host's process. */
  incarnation: string
  client: WorkerClient
  createPlacement: () => Placement
  /** Called for each eviction that this host starts as coordinator. */
  onEviction?: (eviction: Eviction) => void
  journalStore?: JournalStore
  /** The policy that this host's configuration lease allows. Default: the preset of the last known configuration. */
  getPolicy?: () => PolicyInForce
}

export interface ZoneStatus {
  availabilityZone: string
  epoch: number
  term: CoordinatorTerm | undefined
  phase: SessionPhase | 'standby'
  active: boolean
  /** The host that this host believes to be the coordinator; empty when unknown. */
  coordinator: string
  tasks: number
  workers: { up: number, known: number }
}

/** The role of one entry host in its zone: standby host, journal replica or coordinator. */
export interface ZoneCoordinator {
  listTasks (filter: TaskFilter): TaskView[]
  getTask (id: string): TaskView | undefined
  /** Registers a worker in the replicated log. A host other than the coordinator forwards the request to the coordinator first. */
  registerWorker (worker: Worker): Promise<boolean>
  /** Moves the worker's tasks to other workers and starts no more on it; with `active` false, ends the drain. */
  drainWorker (id: string, active?: boolean): boolean
  explain (subject: Subject): Explanation[]
  status (): ZoneStatus
  /** Releases the coordinator lease, announces the departure to the supervisor and ends. */
  stop (): Promise<void>
  /** Ends without releasing the lease, as a crash does. */
  abort (): void
}

const readRequestSchema = z.strictObject({ term: coordinatorTermSchema })

export async function createZoneCoordinator (options: ZoneCoordinatorOptions): Promise<ZoneCoordinator> {
  const { clock, network, log, availabilityZone, incarnation } = options
  const logger = options.logger.child({ host: network.self, zone: availabilityZone })
  const controller = new AbortController()
  const { signal } = controller
  // The incarnation is part of the term, so that a restarted process cannot continue a term of the previous one,
  // whose lease grants and in-sync sets it does not know.
  const termHost = `${network.self}~${incarnation}`
  const localReplica = await createJournalReplica(options.journalStore ?? createMemoryJournalStore())
  const supervisor = startSupervisor({ clock, network, logger, log, signal })
  let session: Session | undefined
  let highestTerm: CoordinatorTerm = { epoch: 0, round: 0, host: '' }
  let coordinatorHost = ''
  let coordinatorContactAt = clock.now()
  let leaving = false

  const observeTerm = (term: CoordinatorTerm): void => {
    if (compareTerms(term, highestTerm) > 0) highestTerm = term
  }

  observeTerm(localReplica.getPromised())

  const getPolicy = options.getPolicy ?? ((): PolicyInForce => {
    const { preset, revision, presets } = log.state().configuration
    return { preset, revision, policy: presets[preset] as PolicyInForce['policy'], isolated: false }
  })

  const start = (zone: ZoneAuthority, term: CoordinatorTerm): void => {
    const previous = session
    observeTerm(term)
    logger.info('coordinator-claim', { epoch: term.epoch, round: term.round })
    const next: Session = startSession({
      clock,
      network,
      logger,
      log,
      zone,
      term,
      localReplica,
      getPolicy,
      client: options.client,
      createPlacement: options.createPlacement,
      onEviction: options.onEviction ?? (() => {}),
      onTerm: observeTerm,
      onEnd: () => { if (session === next) session = undefined }
    })
    session = next
    previous?.stop()
  }

  const watchZone = async (): Promise<void> => {
    while (!signal.aborted) {
      const zone = log.state().zones[availabilityZone]
      if (zone !== undefined && !leaving) await reconcileZone(zone)
      await clock.sleep(WATCH_INTERVAL_MS, signal)
    }
  }

  const reconcileZone = async (zone: ZoneAuthority): Promise<void> => {
    if (zone.retired) return await releaseSession()
    const isEpochHolder = zone.host === network.self && zone.incarnation === incarnation
    if (isEpochHolder && zone.epoch > highestTerm.epoch) return start(zone, { epoch: zone.epoch, round: 0, host: termHost })
    const isSuperseded = session !== undefined && (zone.epoch > session.term.epoch || highestTerm.epoch > session.term.epoch)
    if (isSuperseded) return await releaseSession()
    if (isClaimObsolete()) return session?.stop()
    if (session === undefined && isCoordinatorUnreachable(zone)) {
      const { epoch, round } = compareTerms(highestTerm, { epoch: zone.epoch, round: 0, host: '' }) > 0 ? highestTerm : { epoch: zone.epoch, round: 0 }
      start(zone, { epoch, round: round + 1, host: termHost })
    }
  }

  /** This host claims a raised round, because it received nothing from the coordinator (as after a pause), but has received an append since. */
  const isClaimObsolete = (): boolean => {
    const hasRaisedRound = session !== undefined && session.getPhase() === 'claiming' && session.term.round > 0
    return hasRaisedRound && clock.now() - coordinatorContactAt < KEEPALIVE_INTERVAL_MS
  }

  const releaseSession = async (): Promise<void> => {
    const previous = session
    session = undefined
    await previous?.release()
  }

  /**
   * Whether this host of the journal group should raise the round: no leader of the replicated log can issue an epoch, and the
   * coordinator has not contacted this host within the timeout for its rank.
   */
  const isCoordinatorUnreachable = (zone: ZoneAuthority): boolean => {
    const rank = zone.journalGroup.indexOf(network.self)
    if (rank < 0 || zone.epoch === 0 || log.status().leader !== undefined) return false
    return clock.now() - coordinatorContactAt > COORDINATOR_TIMEOUT_MS + rank * RANK_DELAY_MS
  }

  const composeHeartbeat = (): Heartbeat => ({
    availabilityZone,
    incarnation,
    leaving,
    ...(session === undefined
      ? {}
      : { coordinator: { term: session.term, active: session.isActive(), tasks: session.countTasks(), workersUp: session.countWorkers().up } })
  })

  const sendHeartbeat = async (): Promise<void> => {
    const { leader } = log.status()
    if (leader === undefined) return
    const heartbeat = composeHeartbeat()
    if (leader === network.self) supervisor.observe(network.self, heartbeat)
    else await network.request(leader, 'zone.heartbeat', heartbeat, clock.now() + HEARTBEAT_INTERVAL_MS)
  }

  const runHeartbeat = async (): Promise<void> => {
    while (!signal.aborted) {
      const startedAt = clock.now()
      await sendHeartbeat()
      await clock.sleep(Math.max(0, startedAt + HEARTBEAT_INTERVAL_MS - clock.now()), signal)
    }
  }

  const registerLocally = async (worker: Worker): Promise<boolean> => {
    const known = log.state().workers[worker.id]
    // Workers repeat their registration every few seconds; only a change needs a log entry.
    if (isDeepStrictEqual(known, worker)) return true
    const result = await log.propose({ kind: 'worker.register', worker }, clock.now() + REGISTER_TIMEOUT_MS)
    return result.ok
  }

  const registerWorker = async (worker: Worker): Promise<boolean> => {
    const host = coordinatorHost === '' ? log.state().zones[availabilityZone]?.host : coordinatorHost
    if (host === undefined || host === '' || host === network.self) return await registerLocally(worker)
    const result = await network.request(host, 'worker.forward', worker, clock.now() + REGISTER_TIMEOUT_MS)
    // Every host may propose a registration, so this host does if the coordinator fails to.
    return (result.ok && result.val === true) || await registerLocally(worker)
  }

  network.handle('zone.heartbeat', async (from, body) => { supervisor.observe(from, heartbeatSchema.parse(body)) })
  network.handle('worker.forward', async (_from, body) => await registerLocally(workerSchema.parse(body)))
  network.handle('journal.append', async (from, body) => {
    const request = appendRequestSchema.parse(body)
    const reply = await localReplica.append(request)
    observeTerm(request.term)
    if (reply.kind !== 'higher-term') {
      coordinatorContactAt = clock.now()
      coordinatorHost = from
    }
    return reply
  })
  network.handle('journal.read', async (_from, body) => {
    const { term } = readRequestSchema.parse(body)
    observeTerm(term)
    coordinatorContactAt = clock.now()
    return await localReplica.read(term)
  })
  const isStopped = (): boolean => signal.aborted
  runSupervised({ clock, logger, event: 'zone-watch-failed', isStopped }, watchZone)
  runSupervised({ clock, logger, event: 'heartbeat-failed', isStopped }, runHeartbeat)

  const getStatus = (): ZoneStatus => ({
    availabilityZone,
    epoch: log.state().zones[availabilityZone]?.epoch ?? 0,
    term: session?.term,
    phase: session?.getPhase() ?? 'standby',
    active: session?.isActive() ?? false,
    coordinator: session === undefined ? coordinatorHost : network.self,
    tasks: session?.countTasks() ?? 0,
    workers: session?.countWorkers() ?? { up: 0, known: 0 }
  })

  return {
    registerWorker,
    listTasks: (filter) => session?.listTasks(filter) ?? [],
    getTask: (id) => session?.getTask(id),
    drainWorker: (id, active = true) => session?.drainWorker(id, active) ?? false,
    explain: (subject) => session?.getPlacement()?.explain(subject) ?? [],
    status: getStatus,
    stop: async () => {
      leaving = true
      await releaseSession()
      await sendHeartbeat()
      controller.abort()
    },
    abort: () => {
      controller.abort()
      session?.stop()
    }
  }
}
