import type { Clock, Logger, Metrics, WorkMeter } from '../../common/index.js'
import { findSessionHost, getStepName, parseTaskName, type AgreedLog, type Assignment, type Entry, type LifeEnds, type RunEnd, type Step, type WorkflowsState } from '../../state/index.js'
import { createAdvisor, type AdviceClient } from './advice.js'
import { findStep } from './candidates.js'
import { createDispatcher, type Dispatcher } from './dispatcher.js'
import { createClockWatch } from './clockWatch.js'
import { createDivision } from './division.js'
import { createLagWatch } from './lagWatch.js'
import type { ReportedRefusal, SessionsReply, SessionsRequest, WorkerReport } from './sessionMessages.js'
import type { RunView, WorkerView } from './sessionState.js'
import type { Sharing } from './sharing.js'
import { createSignal } from './signal.js'
import { AUTHORITY_CHECK_MS, AUTHORITY_MS, MAX_UNCONFIRMED_STARTS, PROPOSE_TIMEOUT_MS } from './timing.js'
import { startUpkeep, type HostClient } from './upkeep.js'
import { createWorkerHealth, type WorkerHealth } from './workerHealth.js'
import { createWorkerViews } from './workerViews.js'

export interface TermOptions {
  clock: Clock
  logger: Logger
  metrics: Metrics
  work: WorkMeter
  log: AgreedLog
  /** The name of this host. */
  self: string
  hosts: HostClient
  hostLeaseMs: number
  advice: AdviceClient
  /** What this and earlier terms have learned of images that share workers. */
  sharing: Sharing
  /** The term of the log; workers refuse orders of earlier ones. */
  fence: number
}

/** What one term of the leader knows and does. Everything here is lost with the term and rebuilt by the next. */
export interface Term {
  readonly fence: number
  readonly workers: ReadonlyMap<string, WorkerView>
  readonly health: WorkerHealth
  isActive (): boolean
  getAuthorityAt (): number
  /** Takes what a host that keeps sessions has seen, and tells it what to stop. */
  exchange (from: string, request: SessionsRequest): SessionsReply
  /** What the scheduler is behind with at a priority or before it. */
  getSchedulerLoad: Dispatcher['getLoad']
  stop (): void
}

/** Starts to lead: divides the workers among the hosts, and dispatches. */
export function startTerm (options: TermOptions): Term {
  const { clock, logger, log, fence, metrics } = options
  const health = createWorkerHealth({ clock, logger })
  const stopping = new AbortController()
  let authorityAt = clock.now()
  const watch = createClockWatch(clock)
  let clockMark = watch.getMark()
  /** A majority heard before this may have been heard long ago: the clock has not counted the time of a suspension. */
  let countsFrom = -Infinity
  const lag = createLagWatch(clock, () => log.status().appliedIndex)
  const getState = (): WorkflowsState => log.state().workflows
  const isActive = (): boolean => !stopping.signal.aborted && clock.now() - authorityAt < AUTHORITY_MS && !watch.hasJumped(clockMark)
  const views = createWorkerViews({
    clock,
    getState,
    findHost: (worker) => {
      const record = getState().workers[worker]
      return record === undefined ? undefined : findSessionHost(getState().sessionHosts, record.life)
    }
  })
  const division = createDivision({
    clock,
    logger,
    leader: options.self,
    getHosts: () => getState().sessionHosts,
    getVoters: () => log.status().voters,
    propose: async (hosts) => {
      const result = await log.propose({ kind: 'sessions.divide', hosts }, clock.now() + PROPOSE_TIMEOUT_MS)
      if (result.err) logger.warn('sessions.divide-not-recorded', { reason: result.val.kind })
    }
  })

  /** Orders the end of a run; the host of its worker repeats the order until the run has ended. */
  const stopRun = (view: WorkerView, run: RunView, reason: string): void => {
    if (run.stopReason !== undefined) return
    run.stopReason = reason
    metrics.count('run.stopped', 1, { reason })
    logger.info('run.stop', { task: run.task, attempt: run.attempt, worker: view.worker, reason, percent: run.row?.percent })
    views.sendStop(view, run)
  }

  const recordEnd = (worker: string, [number, task, attempt, cause]: RunEnd): void => {
    // A worker lists an end until it was acknowledged; only the first entry releases the task.
    if (views.findRun(worker, task, attempt) === undefined || number === 0) return
    metrics.count('run.ended', 1, { cause })
    logger.info('run.end', { task, attempt, worker, number, cause })
    health.recordEnd(worker, cause)
  }

  const recordEnds = ({ worker, bornAt, ends }: LifeEnds): void => {
    const view = views.workers.get(worker)
    if (view === undefined || view.bornAt !== bornAt) return
    health.observeRuns(view, { running: [], ends }, findTaskStep)
    dispatcher.markWorkerChanged(worker)
    ends.forEach((end) => {
      recordEnd(worker, end)
      views.syncRun(worker, end[1])
      dispatcher.markChanged(parseTaskName(end[1])?.workflow)
    })
  }

  const observeReport = (from: string, report: WorkerReport): void => {
    const known = views.workers.get(report.worker)
    const wasReachable = known?.reachable
    if (known !== undefined) dispatcher.observeReport(known)
    const view = views.recordReport(from, report)
    if (view === undefined) return
    dispatcher.stopPressing(view)
    const running = [...view.runs.values()].flatMap(({ row }) => row ?? [])
    health.observeRuns(view, { running, ends: [] }, findTaskStep)
    if (view.reachable && wasReachable !== true) dispatcher.schedule()
  }

  const observeRefusal = ([worker, task, , reason]: ReportedRefusal): void => {
    health.recordRefusal(worker, reason)
    if (reason === 'no-ticket') advisor.dropTicket(getStepName(task), worker)
  }

  const exchange = (from: string, request: SessionsRequest): SessionsReply => {
    if (!isActive()) return { kind: 'not-leader' }
    const grantedAt = request.grantAgeMs === null || request.fence !== fence ? -Infinity : clock.now() - request.grantAgeMs
    division.recordPresence(from, request.availabilityZone, from === options.self ? clock.now() : grantedAt, request.isLeaving)
    if (request.isLeaving) division.update()
    options.work.measure('term.reports', () => {
      request.reports.forEach((report) => observeReport(from, report))
      request.started.forEach(([worker, task, attempt]) => views.recordStart(worker, task, attempt))
      request.refused.forEach(observeRefusal)
    })
    if (request.appliedIndex < lag.getRequiredIndex(from, request.process)) return { kind: 'behind' }
    return { kind: 'granted', fence, authorityAgeMs: clock.now() - authorityAt, stops: views.takeStops(from, request, fence) }
  }

  const handlers: Partial<{ [K in Entry['kind']]: (entry: Extract<Entry, { kind: K }>, index: number) => void }> = {
    'workflow.assign': ({ assignments }) => assignments.forEach(([task, worker]) => {
      dispatcher.markChanged(parseTaskName(task)?.workflow)
      dispatcher.markWorkerChanged(worker)
      views.syncRun(worker, task)
    }),
    'workflow.end': ({ lives }) => {
      lives.forEach(recordEnds)
      dispatcher.schedule()
    },
    'workflow.cancel': ({ id }) => dispatcher.markChanged(id),
    'life.report': ({ life }) => {
      const isNew = views.workers.get(life.id)?.bornAt !== life.bornAt
      dispatcher.markChanged()
      dispatcher.markWorkerChanged(life.id)
      if (isNew) health.reset(life.id)
      views.syncWorker(life.id)
      dispatcher.schedule()
    },
    'life.expire': ({ worker }) => {
      dispatcher.markChanged()
      dispatcher.markWorkerChanged(worker)
      views.syncWorker(worker)
      dispatcher.schedule()
    },
    'life.remove': ({ worker }) => {
      dispatcher.markChanged()
      dispatcher.markWorkerChanged(worker)
      views.syncWorker(worker)
      dispatcher.schedule()
    },
    'workflow.submit': ({ workflow }) => {
      dispatcher.markChanged(workflow.id)
      dispatcher.schedule()
    },
    'catalog.put': () => {
      dispatcher.markChanged()
      dispatcher.schedule()
    },
    'sessions.divide': (_entry, index) => {
      lag.recordDivision(index)
      views.syncHosts()
    }
  }

  const runAuthority = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const status = log.status()
      if (status.role !== 'leader' || status.term !== fence) return stop()
      if (watch.hasJumped(clockMark)) {
        countsFrom = clock.now()
        // Hears the voters now instead of with their next heartbeats.
        log.readBarrier(clock.now() + AUTHORITY_MS)
      }
      clockMark = watch.getMark()
      const heardAt = clock.now() - computeMajorityAge(status.progress)
      authorityAt = heardAt < countsFrom ? -Infinity : Math.max(authorityAt, heardAt)
      lag.recordApplied()
      views.resendStops()
      if (isActive()) division.update()
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
    logger.info('term.stop', { fence })
  }

  const findTaskStep = (task: string): Step | undefined => findStep(getState(), task)
  const advisor = createAdvisor({ clock, logger, client: options.advice })
  const upkeep = startUpkeep({
    clock,
    logger,
    log,
    fence,
    hostLeaseMs: options.hostLeaseMs,
    hosts: options.hosts,
    sessions: views.workers,
    isActive,
    isStopped: () => stopping.signal.aborted,
    findStep: findTaskStep,
    stopRun
  })
  const dispatcher: Dispatcher = createDispatcher({
    clock,
    logger,
    metrics,
    work: options.work,
    sessions: views.workers,
    health,
    sharing: options.sharing,
    advisor,
    getState,
    isActive,
    assign: async (assignments: Assignment[]) => {
      const ordered = assignments.map(([task, worker, attempt]): Assignment => {
        const ticket = advisor.findTicket(getStepName(task), worker)
        return ticket === undefined ? [task, worker, attempt] : [task, worker, attempt, ticket]
      })
      const result = await log.propose({ kind: 'workflow.assign', assignments: ordered }, clock.now() + PROPOSE_TIMEOUT_MS)
      if (result.err) logger.warn('run.assign-not-recorded', { runs: assignments.length, reason: result.val.kind })
    },
    stopRun,
    isClosing: (worker) => upkeep.isClosing(worker),
    isBusy: (worker) => views.countUnconfirmed(views.workers.get(worker)?.host ?? '') > MAX_UNCONFIRMED_STARTS,
    wake: createSignal(clock)
  })
  const unsubscribe = log.subscribe((entry, index) => {
    const handler = handlers[entry.kind] as ((entry: Entry, index: number) => void) | undefined
    options.work.measure('term.apply', () => handler?.(entry, index))
  })
  const state = getState()
  logger.info('term.start', { fence, workers: Object.keys(state.workers).length, workflows: Object.keys(state.workflows).length - state.ended.length, catalog: state.catalog?.version })
  Object.keys(state.workers).forEach(views.syncWorker)
  runAuthority()
  dispatcher.schedule()
  return { fence, workers: views.workers, health, isActive, getAuthorityAt: () => authorityAt, getSchedulerLoad: dispatcher.getLoad, exchange, stop }
}

/** How long ago a majority of the voters, this host included, was heard. */
export function computeMajorityAge (progress: Array<{ votes: boolean, lastHeardAgoMs: number }>): number {
  const ages = progress.filter(({ votes }) => votes).map(({ lastHeardAgoMs }) => lastHeardAgoMs).sort((a, b) => a - b)
  return ages[Math.floor(ages.length / 2)] ?? Infinity
}
