import { runSupervised, type Clock, type Logger, type Metrics, type Network, type EventLoopMeter } from '../../common/index.js'
import { findAttemptOn, findSessionHost, findTask, listRunWorkers, parseTaskName, type ReplicatedLog, type Entry, type SessionOwner, type WorkerIncarnation, type WorkerRecord, type WorkflowsState } from '../../state/index.js'
import { createEndRecorder } from './endRecorder.js'
import { createLeaderExchange } from './leaderExchange.js'
import type { WorkerClient } from './orders.js'
import { LEAVING_REASON, OTHER_RUN_SUCCEEDED, startRun, stopRun } from './runOrders.js'
import { runSession } from './session.js'
import type { SessionsReply, SessionsRequest } from './sessionMessages.js'
import { createRun, createSession, type Run, type Session, type SessionContext, type SessionOrigin } from './sessionState.js'
import type { ServiceBound } from './serviceWatch.js'
import { createStartQueue } from './startQueue.js'
import { computeLongestMs } from './workerClock.js'
import { createUnansweredStarts } from './unansweredStarts.js'
import { createZoneEvacuations } from './zoneEvacuation.js'
import { AUTHORITY_CHECK_INTERVAL_MS, DEFAULT_MAX_LEASE_MS, EXCHANGE_INTERVAL_MS, LEASE_MS, LEAVE_TIMEOUT_MS, MAX_CALL_DELAY_MS, MAX_LAG_MS, MAX_SESSION_AUTHORITY_AGE_MS, MAX_STARTS_IN_FLIGHT, MAX_STARTS_PER_WORKER, PROPOSE_TIMEOUT_MS, ORPHAN_CHECK_INTERVAL_MS } from './timing.js'

export interface SessionHostOptions {
  clock: Clock
  logger: Logger
  metrics: Metrics
  work: EventLoopMeter
  network: Network
  log: ReplicatedLog
  client: WorkerClient
  availabilityZone: string
  serviceBound: ServiceBound
  /** The longest lease that the workers grant; absent: `DEFAULT_MAX_LEASE_MS`. */
  maxLeaseMs?: number | undefined
  /** Time within which starts in an evacuated zone end, see `createZoneEvacuations`. */
  evacuateMs?: number
  /** Identifies this process; a restarted host has a new one. */
  process: string
  /** Handles the exchange in this process, without the network, while this host is the leader. */
  exchangeLocally (request: SessionsRequest): SessionsReply
}

export interface SessionHost {
  readonly sessions: ReadonlyMap<string, Session>
  /** Waits until the leader has assigned the workers to other session hosts, for at most `LEAVE_TIMEOUT_MS`, then ends the sessions. */
  stop (): Promise<void>
}

/**
 * Gives orders, on behalf of the current leader, to the workers that the session assignment gives to this host: starts
 * the tasks that the log assigns to them, renews their leases, records ended runs in the log and reports the state of
 * the workers to the leader. The leader decides and the session hosts execute, so that the cost of the orders is spread
 * over all hosts that have a replica of the log.
 */
export function createSessionHost (options: SessionHostOptions): SessionHost {
  const { clock, logger, log } = options
  const { self } = options.network
  const sessions = new Map<string, Session>()
  const stopping = new AbortController()
  const getState = (): WorkflowsState => log.state().workflows
  const getSessionOwner = (): SessionOwner => ({ host: self, division: getState().division })
  const recorder = createEndRecorder({ ...options, getSessionOwner })
  const starts = createStartQueue({ limit: MAX_STARTS_IN_FLIGHT, workerLimit: MAX_STARTS_PER_WORKER })
  const evacuations = createZoneEvacuations({ ...options, getState })
  const exchange = createLeaderExchange({ ...options, sessions, stopRun: (session, run, reason) => { stopRun(context, session, run, reason) } })

  const isOwnWorker = (worker: string): boolean => {
    const record = getState().workers[worker]
    return record !== undefined && findSessionHost(getState().sessionHosts, record.life) === self
  }
  const proposeChange = async (entry: Entry): Promise<boolean> => (await log.propose(entry, clock.now() + PROPOSE_TIMEOUT_MS)).ok

  let longestOverTargetMs = 0
  const recordLongestOverTarget = (ms: number): void => {
    longestOverTargetMs = Math.max(longestOverTargetMs, ms)
    options.metrics.gauge('service.longest_over_target', longestOverTargetMs)
  }

  const context: SessionContext = {
    clock,
    logger,
    metrics: options.metrics,
    work: options.work,
    client: options.client,
    starts,
    serviceBound: options.serviceBound,
    leaseMs: Math.min(LEASE_MS, options.maxLeaseMs ?? Infinity),
    longestLeaseMs: computeLongestMs(options.maxLeaseMs ?? DEFAULT_MAX_LEASE_MS),
    unansweredStarts: createUnansweredStarts(),
    evacuations,
    get fence () { return exchange.getFence() },
    getState,
    isActive: exchange.isActive,
    isStopped: () => stopping.signal.aborted,
    getAuthorityAt: exchange.getAuthorityAt,
    recordEnds: recorder.recordEnds,
    expireWorker: (worker, bornAt) => proposeChange({ kind: 'life.expire', worker, bornAt, judge: getSessionOwner(), at: clock.wall() }),
    removeWorker: (worker, bornAt) => proposeChange({ kind: 'life.remove', worker, bornAt, judge: getSessionOwner(), at: clock.wall() }),
    onFenced: (session) => {
      // The session was for an incarnation that a later one has replaced, or another host has the worker now.
      if (session.ended) return
      const term = exchange.getFence()
      logger.warn('sessions.fenced', { worker: session.worker, bornAt: session.bornAt, fence: term, repeated: session.fencedTerm === term })
      if (session.fencedTerm !== term) exchange.dropAuthority()
      session.fencedTerm = term
    },
    recordLongestOverTarget,
    onReportDue: (session, isUrgent) => exchange.queueReport(session.worker, isUrgent),
    waitForReport: ({ worker }) => exchange.waitForReport(worker),
    onStarted: (session, run) => exchange.addStart([session.worker, run.task, run.attempt]),
    onRefused: (session, run, reason) => exchange.addRefusal([session.worker, run.task, run.attempt, reason]),
    onReachabilityChange: (session) => exchange.queueReport(session.worker, true)
  }

  /** When this process first knew the incarnation of each worker. */
  const registrations = new Map<string, { bornAt: number, at: number }>()

  const getRegisteredAt = ({ id, bornAt }: WorkerIncarnation): number => {
    const known = registrations.get(id)
    if (known?.bornAt === bornAt) return known.at
    const at = clock.now()
    registrations.set(id, { bornAt, at })
    return at
  }

  /** What the session with a worker inherits. `isRegistered`: this host applies the registration of the incarnation just now. */
  const createOrigin = ({ life, isRestart }: WorkerRecord, existing: Session | undefined, isRegistered: boolean): SessionOrigin => {
    // An earlier process of this host may have ordered for the incarnations that were registered before the first grant of this process.
    const isFirst = isRegistered && isRestart !== true && log.status().appliedIndex > exchange.getFirstGrantIndex()
    const unknownStartsEndAt = isFirst ? -Infinity : clock.now() + MAX_LAG_MS + MAX_SESSION_AUTHORITY_AGE_MS + MAX_CALL_DELAY_MS
    return {
      // Another host may go on ordering for the former incarnation until it has applied the registration, too.
      foreignOrdersEndAt: isRestart === true ? getRegisteredAt(life) + MAX_LAG_MS + MAX_CALL_DELAY_MS : -Infinity,
      aliveAt: existing?.aliveAt ?? -Infinity,
      unknownStartsEndAt: existing?.unknownStartsEndAt ?? unknownStartsEndAt
    }
  }

  const addSession = (worker: string, isRegistered: boolean): void => {
    const record = getState().workers[worker]
    const existing = sessions.get(worker)
    if (record === undefined || existing?.bornAt === record.life.bornAt) return
    if (existing !== undefined) removeSession(existing)
    const session = createSession(context, record.life, createOrigin(record, existing, isRegistered))
    sessions.set(worker, session)
    exchange.queueReport(worker, true)
    Object.keys(record.assigned).forEach((task) => addRun(session, task, false, undefined))
    const isStopped = (): boolean => session.ended || context.isStopped()
    runSupervised({ clock, logger, event: 'worker.session-failed', fields: { worker }, isStopped }, () => runSession(context, session))
  }

  const removeSession = (session: Session): void => {
    session.ended = true
    session.wake.notify()
    sessions.delete(session.worker)
    exchange.dropReport(session.worker)
  }

  const addRun = (session: Session, task: string, isNew: boolean, ticket: string | undefined): Run => {
    // An earlier process of this host may already have ordered the tasks that were assigned before the first grant of this process.
    const isFirstOrder = isNew && log.status().appliedIndex > exchange.getFirstGrantIndex()
    const run = createRun(task, findAttemptOn(getState(), task, session.worker) ?? 1, clock.now(), isFirstOrder)
    run.ticket = ticket
    session.runs.set(task, run)
    return run
  }

  /** Adds, replaces or removes the run of a task so that it matches the replicated state. */
  const syncRun = (session: Session, task: string, ticket?: string): void => {
    const isAssigned = getState().workers[session.worker]?.assigned[task] !== undefined
    const run = session.runs.get(task)
    const isCurrent = isAssigned && run?.attempt === findAttemptOn(getState(), task, session.worker)
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

  /** Opens sessions with the workers that the session assignment gives to this host and ends all others. */
  const syncSessions = (): void => {
    sessions.forEach((session) => {
      const isCurrent = getState().workers[session.worker]?.life.bornAt === session.bornAt && isOwnWorker(session.worker)
      if (!isCurrent) removeSession(session)
      else syncSession(session.worker)
    })
    Object.keys(getState().workers).filter(isOwnWorker).forEach((worker) => addSession(worker, false))
  }

  /** Stops the runs of a worker that has announced its shutdown: their ends are known only while it answers. */
  const stopLeavingRuns = (session: Session): void => {
    if (getState().workers[session.worker]?.leaving === undefined) return
    session.runs.forEach((run) => { if (run.stopReason === undefined) stopRun(context, session, run, LEAVING_REASON) })
  }

  /** Discards what is known of a worker if the entry just applied has removed it. */
  const pruneWorker = (worker: string): void => {
    if (getState().workers[worker] !== undefined) return
    registrations.delete(worker)
    context.unansweredStarts.remove(worker)
    const session = sessions.get(worker)
    if (session !== undefined) removeSession(session)
  }

  /** Stops runs of ended workflows: the previous session host of a worker may not have stopped them, or a snapshot may have hidden the entry that ended the workflow. */
  const stopOrphanedRuns = (): void => sessions.forEach((session) => session.runs.forEach((run) => {
    const outcome = getState().workflows[parseTaskName(run.task)?.workflow ?? '']?.outcome
    if (outcome !== undefined && run.stopReason === undefined) stopRun(context, session, run, outcome)
    else stopLosingRun(session, run)
  }))

  /** Stops a run whose task has succeeded in its other run. */
  const stopLosingRun = (session: Session, run: Run): void => {
    if (run.stopReason === undefined && findTask(getState(), run.task)?.succeeded === true) stopRun(context, session, run, OTHER_RUN_SUCCEEDED)
  }

  const stopLosingRuns = (task: string): void => {
    const known = findTask(getState(), task)
    if (known?.succeeded !== true) return
    listRunWorkers(known).forEach((worker) => {
      const session = sessions.get(worker)
      const run = session?.runs.get(task)
      if (session !== undefined && run !== undefined) stopLosingRun(session, run)
    })
  }

  /** Stops the remaining runs of a workflow that has ended, for example because it was cancelled or another task failed. */
  const stopWorkflowRuns = (workflow: string | undefined): void => {
    const record = workflow === undefined ? undefined : getState().workflows[workflow]
    const outcome = record?.outcome
    if (record === undefined || outcome === undefined) return
    Object.entries(record.tasks).forEach(([taskKey, task]) => listRunWorkers(task).forEach((worker) => {
      const session = sessions.get(worker)
      const run = session?.runs.get(`${workflow}.${taskKey}`)
      if (session !== undefined && run !== undefined) stopRun(context, session, run, run.stopReason ?? outcome)
    }))
  }

  const handlers: Partial<{ [K in Entry['kind']]: (entry: Extract<Entry, { kind: K }>) => void }> = {
    'sessions.divide': syncSessions,
    'workflow.assign': ({ assignments, copies = [] }) => {
      const changedSessions = new Set<Session>()
      assignments.concat(copies).forEach(([task, worker, , ticket]) => {
        const session = sessions.get(worker)
        if (session === undefined) return
        syncRun(session, task, ticket)
        changedSessions.add(session)
      })
      changedSessions.forEach((session) => session.wake.notify())
    },
    'workflow.end': ({ lives }) => {
      const workflows = new Set<string | undefined>()
      lives.forEach(({ worker, ends }) => {
        ends.forEach(([, task]) => {
          const session = sessions.get(worker)
          if (session !== undefined) syncRun(session, task)
          stopLosingRuns(task)
          workflows.add(parseTaskName(task)?.workflow)
        })
        pruneWorker(worker)
      })
      workflows.forEach(stopWorkflowRuns)
    },
    'workflow.cancel': ({ id }) => stopWorkflowRuns(id),
    'life.report': ({ life }) => {
      const record = getState().workers[life.id]
      const isRegistered = record !== undefined && registrations.get(life.id)?.bornAt !== record.life.bornAt
      if (record !== undefined) getRegisteredAt(record.life)
      const session = sessions.get(life.id)
      if (isOwnWorker(life.id)) addSession(life.id, isRegistered)
      else if (session !== undefined) removeSession(session)
    },
    'life.expire': ({ worker }) => {
      syncSession(worker)
      pruneWorker(worker)
    },
    'life.leave': ({ worker }) => {
      const session = sessions.get(worker)
      if (session !== undefined) stopLeavingRuns(session)
      pruneWorker(worker)
    },
    'life.remove': ({ worker }) => pruneWorker(worker)
  }
  let lastIndex = log.status().appliedIndex
  const unsubscribe = log.subscribe((entry, index) => options.work.measure('sessions.apply', () => {
    // A snapshot replaced entries that were not applied here one by one. Meanwhile the workers of these sessions may have been assigned to other session hosts, which may have extended the leases.
    if (index > lastIndex + 1) {
      evacuations.reset()
      sessions.forEach(removeSession)
      syncSessions()
    }
    lastIndex = index
    evacuations.observeEntry(entry, exchange.isActive())
    const handler = handlers[entry.kind] as ((entry: Entry) => void) | undefined
    handler?.(entry)
  }))

  const runExchanges = async (): Promise<void> => {
    let checkedAt = -Infinity
    while (!stopping.signal.aborted) {
      if (clock.now() - checkedAt >= ORPHAN_CHECK_INTERVAL_MS) {
        checkedAt = clock.now()
        stopOrphanedRuns()
        sessions.forEach(stopLeavingRuns)
      }
      await exchange.sync()
      await clock.sleep(EXCHANGE_INTERVAL_MS, stopping.signal)
    }
  }

  /** Waits until the leader has assigned this host's workers to others, for at most `LEAVE_TIMEOUT_MS`. */
  const leave = async (): Promise<void> => {
    const deadline = clock.now() + LEAVE_TIMEOUT_MS
    exchange.announceLeave()
    while (clock.now() < deadline && getState().sessionHosts.some(({ host }) => host === self)) await clock.sleep(AUTHORITY_CHECK_INTERVAL_MS)
  }

  syncSessions()
  const loop = runSupervised({ clock, logger, event: 'sessions.failed', isStopped: () => stopping.signal.aborted }, runExchanges)

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
