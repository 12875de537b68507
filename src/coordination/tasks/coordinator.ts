import { isDeepStrictEqual } from 'node:util'
import { z } from 'zod'
import type { Clock, Logger, Network } from '../../common/index.js'
import { createMemoryJournalStore, workerSchema, type ReplicatedLog, type JournalStore, type Worker, type ZoneAuthority } from '../../state/index.js'
import { heartbeatSchema, HEARTBEAT_INTERVAL_MS, startSupervisor, type Heartbeat } from '../authority/supervisor.js'
import { compareTerms } from '../authority/terms.js'
import type { Explanation, Placement, Subject } from '../placement/types.js'
import { coordinatorTermSchema, type CoordinatorTerm } from './exchange.js'
import type { Eviction } from './dispatcher.js'
import type { PolicyInForce } from './activeTerm.js'
import { appendRequestSchema, createJournalMember } from './journalMember.js'
import { KEEPALIVE_MS } from './journalWriter.js'
import { startSession } from './session.js'
import type { Session, SessionPhase } from './sessionTypes.js'
import type { TaskFilter, TaskView } from './table.js'
import type { WorkerClient } from './workerLink.js'

/** In a zone that is cut off, a coordinator that was not heard for this long is replaced, ms. */
const SILENCE_LIMIT_MS = 1_500
/** Each further host of the journal group waits this much longer, so that two rarely claim together, ms. */
const RANK_DELAY_MS = 700
const WATCH_INTERVAL_MS = 100
const REGISTER_TIMEOUT_MS = 2_000

export interface ZoneCoordinatorOptions {
  clock: Clock
  network: Network
  logger: Logger
  log: ReplicatedLog
  availabilityZone: string
  /** Changes with each start of the host's process. */
  incarnation: string
  client: WorkerClient
  createPlacement: () => Placement
  /** Called for each eviction that this host orders. */
  onEviction?: (eviction: Eviction) => void
  journalStore?: JournalStore
  /** The configuration claim; without it the last known configuration counts. */
  getPolicy?: () => PolicyInForce
}

export interface ZoneStatus {
  availabilityZone: string
  epoch: number
  term: CoordinatorTerm | undefined
  phase: SessionPhase | 'standby'
  active: boolean
  /** The coordinator as far as this host knows. */
  coordinator: string
  tasks: number
  workers: { up: number, known: number }
}

/** One entry host's part in the coordination of its zone: standby, member of the journal group, coordinator. */
export interface ZoneCoordinator {
  listTasks (filter: TaskFilter): TaskView[]
  getTask (id: string): TaskView | undefined
  /** Registers a worker in the agreed log; on a host other than the coordinator it is forwarded. */
  registerWorker (worker: Worker): Promise<boolean>
  /** Moves the worker's tasks elsewhere and starts no more on it; `active` false takes it back. */
  drainWorker (id: string, active?: boolean): boolean
  explain (subject: Subject): Explanation[]
  status (): ZoneStatus
  /** Hands the coordination over and ends. */
  stop (): Promise<void>
  /** Ends at once, as a crash does. */
  abort (): void
}

const readRequestSchema = z.strictObject({ term: coordinatorTermSchema })

export async function createZoneCoordinator (options: ZoneCoordinatorOptions): Promise<ZoneCoordinator> {
  const { clock, network, log, availabilityZone, incarnation } = options
  const logger = options.logger.child({ host: network.self, zone: availabilityZone })
  const controller = new AbortController()
  const { signal } = controller
  // A process that restarts must not continue a term of the previous one, whose promises and notes it does not know.
  const holder = `${network.self}~${incarnation}`
  const local = await createJournalMember(options.journalStore ?? createMemoryJournalStore())
  const supervisor = startSupervisor({ clock, network, logger, log, signal })
  let session: Session | undefined
  let highest: CoordinatorTerm = { epoch: 0, round: 0, host: '' }
  let coordinatorHost = ''
  let coordinatorHeardAt = clock.now()
  let leaving = false

  const observeTerm = (term: CoordinatorTerm): void => {
    if (compareTerms(term, highest) > 0) highest = term
  }

  observeTerm(local.getPromised())

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
      local,
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

  const watch = async (): Promise<void> => {
    while (!signal.aborted) {
      const zone = log.state().zones[availabilityZone]
      if (zone !== undefined && !leaving) await reviewZone(zone)
      await clock.sleep(WATCH_INTERVAL_MS, signal)
    }
  }

  const reviewZone = async (zone: ZoneAuthority): Promise<void> => {
    if (zone.retired) return await releaseSession()
    const isMine = zone.host === network.self && zone.incarnation === incarnation
    if (isMine && zone.epoch > highest.epoch) return start(zone, { epoch: zone.epoch, round: 0, host: holder })
    const isOutdated = session !== undefined && (zone.epoch > session.term.epoch || highest.epoch > session.term.epoch)
    if (isOutdated) return await releaseSession()
    if (isNeedlessClaim()) return session?.stop()
    if (session === undefined && isCoordinatorSilent(zone)) {
      const { epoch, round } = compareTerms(highest, { epoch: zone.epoch, round: 0, host: '' }) > 0 ? highest : { epoch: zone.epoch, round: 0 }
      start(zone, { epoch, round: round + 1, host: holder })
    }
  }

  /** A claim that was made because of a silence, as after a pause, ends when the coordinator is heard again. */
  const isNeedlessClaim = (): boolean => {
    const isRaised = session !== undefined && session.getPhase() === 'claiming' && session.term.round > 0
    return isRaised && clock.now() - coordinatorHeardAt < KEEPALIVE_MS
  }

  const releaseSession = async (): Promise<void> => {
    const previous = session
    session = undefined
    await previous?.release()
  }

  /** Only where the log cannot issue an epoch, a host of the journal group raises the round. */
  const isCoordinatorSilent = (zone: ZoneAuthority): boolean => {
    const rank = zone.journalGroup.indexOf(network.self)
    if (rank < 0 || zone.epoch === 0 || log.status().leader !== undefined) return false
    return clock.now() - coordinatorHeardAt > SILENCE_LIMIT_MS + rank * RANK_DELAY_MS
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

  const registerHere = async (worker: Worker): Promise<boolean> => {
    const known = log.state().workers[worker.id]
    // Announcements repeat every few seconds; only a change is worth an entry of the log.
    if (isDeepStrictEqual(known, worker)) return true
    const result = await log.propose({ kind: 'worker.register', worker }, clock.now() + REGISTER_TIMEOUT_MS)
    return result.ok
  }

  const registerWorker = async (worker: Worker): Promise<boolean> => {
    const host = coordinatorHost === '' ? log.state().zones[availabilityZone]?.host : coordinatorHost
    if (host === undefined || host === '' || host === network.self) return await registerHere(worker)
    const result = await network.request(host, 'worker.forward', worker, clock.now() + REGISTER_TIMEOUT_MS)
    // Any host may record a registration; the coordinator is only the usual one.
    return (result.ok && result.val === true) || await registerHere(worker)
  }

  network.handle('zone.heartbeat', async (from, body) => { supervisor.observe(from, heartbeatSchema.parse(body)) })
  network.handle('worker.forward', async (_from, body) => await registerHere(workerSchema.parse(body)))
  network.handle('journal.append', async (from, body) => {
    const request = appendRequestSchema.parse(body)
    const reply = await local.append(request)
    observeTerm(request.term)
    if (reply.kind !== 'higher-term') {
      coordinatorHeardAt = clock.now()
      coordinatorHost = from
    }
    return reply
  })
  network.handle('journal.read', async (_from, body) => {
    const { term } = readRequestSchema.parse(body)
    observeTerm(term)
    coordinatorHeardAt = clock.now()
    return await local.read(term)
  })
  watch()
  runHeartbeat()

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
