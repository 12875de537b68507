import type { Clock, Logger, Metrics, Network, WorkMeter } from '../../common/index.js'
import { findSessionHost, findTask, parseTaskName, type AgreedLog, type Entry, type Judge, type WorkflowsState } from '../../state/index.js'
import { createEndRecorder } from './endRecorder.js'
import { createLeaderExchange } from './leaderExchange.js'
import type { WorkerClient } from './orders.js'
import { startRun, stopRun } from './runOrders.js'
import { runSession } from './session.js'
import type { SessionsReply, SessionsRequest } from './sessionMessages.js'
import { createRun, createSession, type Run, type Session, type SessionContext } from './sessionState.js'
import type { ServiceBound } from './serviceWatch.js'
import { createStartQueue } from './startQueue.js'
import { AUTHORITY_CHECK_MS, EXCHANGE_MS, LEAVE_TIMEOUT_MS, MAX_STARTS_IN_FLIGHT, MAX_STARTS_PER_WORKER, PROPOSE_TIMEOUT_MS, SWEEP_MS } from './timing.js'

export interface SessionHostOptions {
  clock: Clock
  logger: Logger
  metrics: Metrics
  work: WorkMeter
  network: Network
  log: AgreedLog
  client: WorkerClient
  availabilityZone: string
  serviceBound: ServiceBound
  /** Names this process. */
  process: string
  /** The exchange with this host itself while it leads. */
  exchangeHere (request: SessionsRequest): SessionsReply
}

export interface SessionHost {
  readonly sessions: ReadonlyMap<string, Session>
  /** Gives the sessions away, then ends them. */
  stop (): Promise<void>
}

/**
 * Gives orders to the workers that the agreed division assigns to this host, for whichever host leads: starts what
 * the log assigns to them, renews their leases, records their ends and tells the leader what it sees. The leader
 * decides and this host carries out, so that the work of orders is spread over all hosts with a replica of the log.
 */
export function createSessionHost (options: SessionHostOptions): SessionHost {
  const { clock, logger, log } = options
  const { self } = options.network
  const sessions = new Map<string, Session>()
  const stopping = new AbortController()
  const getState = (): WorkflowsState => log.state().workflows
  const getJudge = (): Judge => ({ host: self, division: getState().division })
  const recorder = createEndRecorder({ ...options, getJudge })
  const starts = createStartQueue({ limit: MAX_STARTS_IN_FLIGHT, workerLimit: MAX_STARTS_PER_WORKER })
  const exchange = createLeaderExchange({ ...options, sessions, stopRun: (session, run, reason) => { stopRun(context, session, run, reason) } })

  const isOwn = (worker: string): boolean => {
    const record = getState().workers[worker]
    return record !== undefined && findSessionHost(getState().sessionHosts, record.life) === self
  }
  const proposeChange = async (entry: Entry): Promise<boolean> => (await log.propose(entry, clock.now() + PROPOSE_TIMEOUT_MS)).ok

  const context: SessionContext = {
    clock,
    logger,
    metrics: options.metrics,
    work: options.work,
    client: options.client,
    starts,
    serviceBound: options.serviceBound,
    get fence () { return exchange.getFence() },
    getState,
    isActive: exchange.isActive,
    isStopped: () => stopping.signal.aborted,
    getAuthorityAt: exchange.getAuthorityAt,
    recordEnds: recorder.recordEnds,
    expireLife: (worker, bornAt) => proposeChange({ kind: 'life.expire', worker, bornAt, judge: getJudge(), at: clock.wall() }),
    removeLife: (worker, bornAt) => proposeChange({ kind: 'life.remove', worker, bornAt, judge: getJudge(), at: clock.wall() }),
    onFenced: (worker) => {
      logger.warn('sessions.fenced', { worker, fence: exchange.getFence() })
      exchange.dropAuthority()
    },
    onNews: (session, isUrgent) => exchange.addNews(session.worker, isUrgent),
    onStarted: (session, run) => exchange.addStart([session.worker, run.task, run.attempt]),
    onRefused: (session, run, reason) => exchange.addRefusal([session.worker, run.task, run.attempt, reason]),
    onReachable: (session) => exchange.addNews(session.worker, true)
  }

  const addSession = (worker: string): void => {
    const record = getState().workers[worker]
    const existing = sessions.get(worker)
    if (record === undefined || existing?.bornAt === record.life.bornAt) return
    if (existing !== undefined) removeSession(existing)
    const session = createSession(context, record.life)
    sessions.set(worker, session)
    exchange.addNews(worker, true)
    Object.keys(record.assigned).forEach((task) => addRun(session, task, false, undefined))
    runSession(context, session).catch((error: unknown) => {
      logger.error('worker.session-failed', { worker, message: error instanceof Error ? error.stack : String(error) })
    })
  }

  const removeSession = (session: Session): void => {
    session.ended = true
    session.wake.notify()
    sessions.delete(session.worker)
    exchange.removeNews(session.worker)
  }

  const addRun = (session: Session, task: string, isNew: boolean, ticket: string | undefined): Run => {
    // What was assigned before the first grant of this process may have been ordered by an earlier one.
    const isFirstOrder = isNew && log.status().appliedIndex > exchange.getGrantedFrom()
    const run = createRun(task, findTask(getState(), task)?.attempt ?? 1, clock.now(), isFirstOrder)
    run.ticket = ticket
    session.runs.set(task, run)
    return run
  }

  /** Makes a run of a session what the agreed state says of its task. */
  const syncRun = (session: Session, task: string, ticket?: string): void => {
    const isAssigned = getState().workers[session.worker]?.assigned[task] !== undefined
    const run = session.runs.get(task)
    const isCurrent = isAssigned && run?.attempt === findTask(getState(), task)?.attempt
    if (isCurrent) return
    if (run !== undefined) session.runs.delete(task)
    if (!isAssigned) return
    const added = addRun(session, task, true, ticket)
    if (session.reachable) startRun(context, session, added)
  }

  const syncSession = (worker: string): void => {
    const session = sessions.get(worker)
    if (session === undefined) return
    new Set([...session.runs.keys(), ...Object.keys(getState().workers[worker]?.assigned ?? {})]).forEach((task) => syncRun(session, task))
    session.wake.notify()
  }

  /** Takes the sessions that the division gives to this host and ends all others. */
  const syncSessions = (): void => {
    sessions.forEach((session) => {
      const isCurrent = getState().workers[session.worker]?.life.bornAt === session.bornAt && isOwn(session.worker)
      if (!isCurrent) removeSession(session)
      else syncSession(session.worker)
    })
    Object.keys(getState().workers).filter(isOwn).forEach(addSession)
  }

  /** Ends the runs of ended workflows that an earlier host of their worker, or an entry that was not seen, has left. */
  const stopLeftovers = (): void => sessions.forEach((session) => session.runs.forEach((run) => {
    const outcome = getState().workflows[parseTaskName(run.task)?.workflow ?? '']?.outcome
    if (outcome !== undefined && run.stopReason === undefined) stopRun(context, session, run, outcome)
  }))

  /** Ends the runs of a workflow that has ended for another reason than their own ends. */
  const stopEnded = (workflow: string | undefined): void => {
    const record = workflow === undefined ? undefined : getState().workflows[workflow]
    const outcome = record?.outcome
    if (record === undefined || outcome === undefined) return
    Object.entries(record.tasks).forEach(([local, { worker }]) => {
      const session = worker === undefined ? undefined : sessions.get(worker)
      const run = session?.runs.get(`${workflow}.${local}`)
      if (session !== undefined && run !== undefined) stopRun(context, session, run, run.stopReason ?? outcome)
    })
  }

  const handlers: Partial<{ [K in Entry['kind']]: (entry: Extract<Entry, { kind: K }>) => void }> = {
    'sessions.divide': syncSessions,
    'workflow.assign': ({ assignments }) => {
      const touched = new Set<Session>()
      assignments.forEach(([task, worker, , ticket]) => {
        const session = sessions.get(worker)
        if (session === undefined) return
        syncRun(session, task, ticket)
        touched.add(session)
      })
      touched.forEach((session) => session.wake.notify())
    },
    'workflow.end': ({ lives }) => {
      const workflows = new Set<string | undefined>()
      lives.forEach(({ worker, ends }) => ends.forEach(([, task]) => {
        const session = sessions.get(worker)
        if (session !== undefined) syncRun(session, task)
        workflows.add(parseTaskName(task)?.workflow)
      }))
      workflows.forEach(stopEnded)
    },
    'workflow.cancel': ({ id }) => stopEnded(id),
    'life.report': ({ life }) => {
      const session = sessions.get(life.id)
      if (isOwn(life.id)) addSession(life.id)
      else if (session !== undefined) removeSession(session)
    },
    'life.expire': ({ worker }) => syncSession(worker),
    'life.remove': ({ worker }) => {
      const session = sessions.get(worker)
      if (session !== undefined) removeSession(session)
    }
  }
  let lastIndex = log.status().appliedIndex
  const unsubscribe = log.subscribe((entry, index) => options.work.measure('sessions.apply', () => {
    // A snapshot took the place of entries that were not seen here; other hosts may have had these workers meanwhile.
    if (index > lastIndex + 1) {
      sessions.forEach(removeSession)
      syncSessions()
    }
    lastIndex = index
    const handler = handlers[entry.kind] as ((entry: Entry) => void) | undefined
    handler?.(entry)
  }))

  const runExchanges = async (): Promise<void> => {
    let sweptAt = -Infinity
    while (!stopping.signal.aborted) {
      if (clock.now() - sweptAt >= SWEEP_MS) {
        sweptAt = clock.now()
        stopLeftovers()
      }
      await exchange.sync()
      await clock.sleep(EXCHANGE_MS, stopping.signal)
    }
  }

  /** Waits until the leader has given this host's workers to others, as long as that may take. */
  const leave = async (): Promise<void> => {
    const deadline = clock.now() + LEAVE_TIMEOUT_MS
    exchange.announceLeave()
    while (clock.now() < deadline && getState().sessionHosts.some(({ host }) => host === self)) await clock.sleep(AUTHORITY_CHECK_MS)
  }

  syncSessions()
  const loop = runExchanges().catch((error: unknown) => {
    logger.error('sessions.failed', { message: error instanceof Error ? error.stack : String(error) })
  })

  return {
    sessions,
    stop: async () => {
      await leave()
      stopping.abort()
      unsubscribe()
      starts.close()
      sessions.forEach(removeSession)
      await loop
    }
  }
}
