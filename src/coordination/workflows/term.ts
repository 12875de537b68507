import type { Clock, Logger, Metrics, WorkMeter } from '../../common/index.js'
import { findTask, getStepName, parseTaskName, type AgreedLog, type Assignment, type Entry, type RunEnd, type WorkflowsState } from '../../state/index.js'
import { createAdvisor, type AdviceClient } from './advice.js'
import { findStep } from './candidates.js'
import { createDispatcher, type Dispatcher } from './dispatcher.js'
import type { HoldReply, WorkerClient } from './orders.js'
import { startRun, stopRun } from './runOrders.js'
import { runSession } from './session.js'
import { createRun, createSession, type Run, type Session, type SessionContext } from './sessionState.js'
import type { Sharing } from './sharing.js'
import { createSignal } from './signal.js'
import { AUTHORITY_CHECK_MS, AUTHORITY_MS, PROPOSE_TIMEOUT_MS } from './timing.js'
import { startUpkeep, type HostClient } from './upkeep.js'
import { createWorkerHealth, type WorkerHealth } from './workerHealth.js'

export interface TermOptions {
  clock: Clock
  logger: Logger
  metrics: Metrics
  work: WorkMeter
  log: AgreedLog
  client: WorkerClient
  hosts: HostClient
  advice: AdviceClient
  /** What this and earlier terms have learned of images that share workers. */
  sharing: Sharing
  /** The term of the log; workers refuse orders of earlier ones. */
  fence: number
}

/** What one term of the leader knows and does. Everything here is lost with the term and rebuilt by the next. */
export interface Term {
  readonly fence: number
  readonly sessions: ReadonlyMap<string, Session>
  readonly health: WorkerHealth
  isActive (): boolean
  getAuthorityAt (): number
  /** What the scheduler is behind with at a priority or before it. */
  getSchedulerLoad: Dispatcher['getLoad']
  stop (): void
}

/** Starts to lead: a session for each known worker, and dispatching. */
export function startTerm (options: TermOptions): Term {
  const { clock, logger, log, fence } = options
  const sessions = new Map<string, Session>()
  const health = createWorkerHealth({ clock, logger })
  const stopping = new AbortController()
  let authorityAt = clock.now()
  const getState = (): WorkflowsState => log.state().workflows
  const isActive = (): boolean => !stopping.signal.aborted && clock.now() - authorityAt < AUTHORITY_MS

  const recordEnds = async (worker: string, bornAt: number, ends: RunEnd[]): Promise<boolean> => {
    const result = await log.propose({ kind: 'workflow.end', worker, bornAt, ends, at: clock.wall() }, clock.now() + PROPOSE_TIMEOUT_MS)
    if (result.err) logger.warn('run.end-not-recorded', { worker, ends: ends.length, reason: result.val.kind })
    return result.ok
  }

  const context: SessionContext = {
    clock,
    logger,
    metrics: options.metrics,
    work: options.work,
    client: options.client,
    fence,
    getState,
    isActive,
    isStopped: () => stopping.signal.aborted,
    getAuthorityAt: () => authorityAt,
    recordEnds,
    expireLife: async (worker, bornAt) => {
      const result = await log.propose({ kind: 'life.expire', worker, bornAt, at: clock.wall() }, clock.now() + PROPOSE_TIMEOUT_MS)
      return result.ok
    },
    removeLife: async (worker, bornAt) => {
      const result = await log.propose({ kind: 'life.remove', worker, bornAt, at: clock.wall() }, clock.now() + PROPOSE_TIMEOUT_MS)
      return result.ok
    },
    onFenced: (worker) => {
      logger.warn('term.fenced', { worker, fence })
      stop()
    },
    onReply: (session, reply) => options.work.measure('session.observe', () => observeReply(session, reply)),
    onEnds: (session, ends) => {
      ends.forEach(([number, task, attempt, cause]) => {
        options.metrics.count('run.ended', 1, { cause })
        logger.info('run.end', { task, attempt, worker: session.worker, number, cause })
        health.recordEnd(session.worker, cause)
      })
    },
    onRefused: (session, run, reason) => {
      health.recordRefusal(session.worker, reason)
      if (reason === 'no-ticket') advisor.dropTicket(getStepName(run.task), session.worker)
    },
    onReachable: () => dispatcher.schedule()
  }

  const observeReply = (session: Session, reply: HoldReply): void => {
    health.observeRuns(session, reply, (task) => findStep(getState(), task))
    dispatcher.observeReply(session, reply)
  }

  const addSession = (worker: string): void => {
    const record = getState().workers[worker]
    const existing = sessions.get(worker)
    if (record === undefined || existing?.bornAt === record.life.bornAt) return
    if (existing !== undefined) removeSession(existing)
    const session = createSession(context, record.life)
    Object.keys(record.assigned).forEach((task) => {
      session.runs.set(task, createRun(task, findTask(getState(), task)?.attempt ?? 1, clock.now(), false))
    })
    sessions.set(worker, session)
    health.reset(worker)
    runSession(context, session).catch((error: unknown) => {
      logger.error('worker.session-failed', { worker, message: error instanceof Error ? error.stack : String(error) })
    })
  }

  const removeSession = (session: Session): void => {
    session.ended = true
    session.wake.notify()
    sessions.delete(session.worker)
  }

  /** Makes the runs of a session those that the agreed state assigns to it. */
  const syncRuns = (session: Session, isNew: boolean): void => {
    const assigned = getState().workers[session.worker]?.assigned ?? {}
    session.runs.forEach((run) => {
      if (assigned[run.task] === undefined || findTask(getState(), run.task)?.attempt !== run.attempt) session.runs.delete(run.task)
    })
    Object.keys(assigned).filter((task) => !session.runs.has(task)).forEach((task) => {
      const run = createRun(task, findTask(getState(), task)?.attempt ?? 1, clock.now(), isNew)
      run.ticket = advisor.findTicket(getStepName(task), session.worker)
      session.runs.set(task, run)
      if (session.reachable) startRun(context, session, run)
    })
    session.wake.notify()
  }

  const handlers: Partial<{ [K in Entry['kind']]: (entry: Extract<Entry, { kind: K }>) => void }> = {
    'workflow.assign': ({ assignments }) => {
      assignments.forEach(([task, worker]) => { dispatcher.markChanged(parseTaskName(task)?.workflow); dispatcher.markWorkerChanged(worker) })
      new Set(assignments.map(([, worker]) => worker)).forEach((worker) => {
        const session = sessions.get(worker)
        if (session !== undefined) syncRuns(session, true)
      })
    },
    'workflow.end': ({ worker, ends }) => {
      ends.forEach(([, task]) => dispatcher.markChanged(parseTaskName(task)?.workflow))
      dispatcher.markWorkerChanged(worker)
      const session = sessions.get(worker)
      if (session !== undefined) syncRuns(session, true)
      dispatcher.schedule()
    },
    'workflow.cancel': ({ id }) => {
      dispatcher.markChanged(id)
      stopEnded()
    },
    'life.report': ({ life }) => {
      dispatcher.markChanged()
      dispatcher.markWorkerChanged(life.id)
      addSession(life.id)
      dispatcher.schedule()
    },
    'life.expire': ({ worker }) => {
      dispatcher.markChanged()
      dispatcher.markWorkerChanged(worker)
      const session = sessions.get(worker)
      if (session !== undefined) syncRuns(session, true)
      dispatcher.schedule()
    },
    'life.remove': ({ worker }) => {
      dispatcher.markChanged()
      dispatcher.markWorkerChanged(worker)
      const session = sessions.get(worker)
      if (session !== undefined) removeSession(session)
      dispatcher.schedule()
    },
    'workflow.submit': ({ workflow }) => {
      dispatcher.markChanged(workflow.id)
      dispatcher.schedule()
    },
    'catalog.put': () => {
      dispatcher.markChanged()
      dispatcher.schedule()
    }
  }

  /** Ends the runs of workflows that were cancelled, or that ended because another task failed for good. */
  const stopEnded = (): void => {
    sessions.forEach((session) => session.runs.forEach((run) => {
      const id = parseTaskName(run.task)?.workflow ?? ''
      const record = getState().workflows[id]
      if (record?.outcome !== undefined && run.stopReason === undefined) stopRun(context, session, run, record.outcome)
    }))
  }

  const runAuthority = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const status = log.status()
      if (status.role !== 'leader' || status.term !== fence) return stop()
      authorityAt = Math.max(authorityAt, clock.now() - computeMajorityAge(status.progress))
      options.work.measure('term.check', stopEnded)
      dispatcher.schedule()
      await clock.sleep(AUTHORITY_CHECK_MS)
    }
  }

  const stop = (): void => {
    if (stopping.signal.aborted) return
    stopping.abort()
    unsubscribe()
    dispatcher.stop()
    advisor.stop()
    sessions.forEach((session) => {
      session.ended = true
      session.wake.notify()
    })
    logger.info('term.stop', { fence })
  }

  const advisor = createAdvisor({ clock, logger, client: options.advice })
  const upkeep = startUpkeep({
    clock,
    logger,
    log,
    fence,
    hosts: options.hosts,
    sessions,
    isActive,
    isStopped: () => stopping.signal.aborted,
    findStep: (task) => findStep(getState(), task),
    stopRun: (session, run, reason) => { stopRun(context, session, run, reason) }
  })
  const dispatcher: Dispatcher = createDispatcher({
    clock,
    logger,
    metrics: options.metrics,
    work: options.work,
    sessions,
    health,
    sharing: options.sharing,
    advisor,
    getState,
    isActive,
    assign: async (assignments: Assignment[]) => {
      const result = await log.propose({ kind: 'workflow.assign', assignments }, clock.now() + PROPOSE_TIMEOUT_MS)
      if (result.err) logger.warn('run.assign-not-recorded', { runs: assignments.length, reason: result.val.kind })
    },
    stopRun: (session: Session, run: Run, reason: string) => { stopRun(context, session, run, reason) },
    isClosing: (worker) => upkeep.isClosing(worker),
    wake: createSignal(clock)
  })
  const unsubscribe = log.subscribe((entry) => {
    const handler = handlers[entry.kind] as ((entry: Entry) => void) | undefined
    options.work.measure('term.apply', () => handler?.(entry))
  })
  const state = getState()
  logger.info('term.start', { fence, workers: Object.keys(state.workers).length, workflows: Object.keys(state.workflows).length - state.ended.length, catalog: state.catalog?.version })
  Object.keys(state.workers).forEach(addSession)
  runAuthority()
  dispatcher.schedule()
  return { fence, sessions, health, isActive, getAuthorityAt: () => authorityAt, getSchedulerLoad: dispatcher.getLoad, stop }
}

/** How long ago a majority of the voters, this host included, was heard. */
export function computeMajorityAge (progress: Array<{ votes: boolean, lastHeardAgoMs: number }>): number {
  const ages = progress.filter(({ votes }) => votes).map(({ lastHeardAgoMs }) => lastHeardAgoMs).sort((a, b) => a - b)
  return ages[Math.floor(ages.length / 2)] ?? Infinity
}
