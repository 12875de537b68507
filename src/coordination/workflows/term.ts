import { runSupervised, type Clock, type Logger, type Metrics, type EventLoopMeter } from '../../common/index.js'
import { findSessionHost, getStepName, parseTaskName, type ReplicatedLog, type Assignment, type Entry, type WorkerRunEnds, type RunEnd, type Step, type WorkflowsState } from '../../state/index.js'
import { splitAssignments, type AssignmentBatch } from './assignmentEntries.js'
import { createAdvisor, type AdviceClient } from './advice.js'
import { findStep } from './candidates.js'
import { createCompetition, type Competition, type CompetitionSettings } from './competition.js'
import { createCopySupport } from './copySupport.js'
import { createDispatcher, type Dispatcher } from './dispatcher.js'
import { createClockJumpDetector } from './clockJumpDetector.js'
import { computeMajorityAge } from './majorityAge.js'
import { createSessionAssigner } from './sessionAssignment.js'
import { createReplicaLagTracker } from './replicaLag.js'
import type { ReportedRefusal, SessionsReply, SessionsRequest, WorkerReport } from './sessionMessages.js'
import type { RunView, WorkerView } from './sessionState.js'
import type { InterferenceModel } from './interferenceModel.js'
import { createRunCopies } from './runCopies.js'
import { createRunDurations, recordRunEnd, type RunDurations } from './runDurations.js'
import { createSignal } from './signal.js'
import { createStartBackoff } from './startBackoff.js'
import { AUTHORITY_CHECK_INTERVAL_MS, MAX_AUTHORITY_AGE_MS, MAX_UNCONFIRMED_STARTS, PROPOSE_TIMEOUT_MS } from './timing.js'
import { startMaintenance, type HostClient } from './hostMaintenance.js'
import type { ServiceBound } from './serviceWatch.js'
import { createWorkerHealth, type WorkerHealth } from './workerHealth.js'
import { createWorkerViews } from './workerViews.js'
import { createZoneEvacuations } from './zoneEvacuation.js'

/** Reasons for which workers refuse a start because of the order, not of their own state. */
const REFUSALS_OF_WORK: ReadonlySet<string> = new Set(['invalid', 'no-ticket'])

export interface TermOptions {
  clock: Clock
  logger: Logger
  metrics: Metrics
  work: EventLoopMeter
  log: ReplicatedLog
  /** Name of this host. */
  self: string
  hosts: HostClient
  /** Length of the order lease on a host, see `MaintenanceOptions`. */
  hostLeaseMs: number
  advice: AdviceClient
  competition: CompetitionSettings
  /** Time within which starts in an evacuated zone end, see `createZoneEvacuations`. */
  evacuateMs?: number
  /** Model of the interference between images that share workers; kept across terms. */
  interferenceModel: InterferenceModel
  serviceBound: ServiceBound
  looksAhead?: boolean | undefined
  /** False turns copies of stragglers off; absent: true. */
  allowsCopies?: boolean
  /** Term of the log, used as fencing token: workers refuse orders of earlier terms. */
  fence: number
}

/** The leader's state and activity during one term. It ends with the term; the next leader rebuilds it. */
export interface Term {
  readonly fence: number
  readonly workers: ReadonlyMap<string, WorkerView>
  readonly health: WorkerHealth
  readonly runDurations: RunDurations
  isActive (): boolean
  getAuthorityAt (): number
  /** Processes the reports of a session host and returns its authority and the runs to stop. */
  exchange (from: string, request: SessionsRequest): SessionsReply
  /** Tasks of a priority or a more urgent one that wait for the scheduler although workers have free capacity. */
  getSchedulerLoad: Dispatcher['getLoad']
  readonly competition: Competition
  /** True if a worker is known to have started a task of an open workflow during this term. */
  hasStarted (workflow: string): boolean
  stop (): void
}

/** Starts a term as leader: assigns the workers to session hosts and dispatches tasks. */
export function startTerm (options: TermOptions): Term {
  const { clock, logger, log, fence, metrics } = options
  const health = createWorkerHealth({ clock, logger, metrics, suspendsFlapping: options.competition.flapSuspension })
  const startBackoff = createStartBackoff({ clock })
  const runDurations = createRunDurations()
  const stopping = new AbortController()
  let authorityAt = clock.now()
  const jumpDetector = createClockJumpDetector(clock)
  let clockMark = jumpDetector.getMark()
  /** Contacts with voters before this time do not count: this host was suspended since, and its clock did not count that time. */
  let ignoreHeardBefore = -Infinity
  const replicaLag = createReplicaLagTracker(clock, () => log.status().appliedIndex)
  const getState = (): WorkflowsState => log.state().workflows
  const evacuations = createZoneEvacuations({ clock, getState, evacuateMs: options.evacuateMs })
  const isActive = (): boolean => !stopping.signal.aborted && clock.now() - authorityAt < MAX_AUTHORITY_AGE_MS && !jumpDetector.hasJumped(clockMark)
  /** Open workflows of which a worker has started a task. */
  const startedWorkflows = new Set<string>()
  const views = createWorkerViews({
    clock,
    getState,
    onStarted: (task) => startedWorkflows.add(parseTaskName(task)?.workflow ?? ''),
    findHost: (worker) => {
      const record = getState().workers[worker]
      return record === undefined ? undefined : findSessionHost(getState().sessionHosts, record.life)
    }
  })
  const sessionAssigner = createSessionAssigner({
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

  /** Tells the session host of a worker to stop a run; the session host repeats the order to the worker until the run has ended. */
  const stopRun = (view: WorkerView, run: RunView, reason: string): void => {
    if (run.stopReason !== undefined) return
    run.stopReason = reason
    metrics.count('run.stopped', 1, { reason })
    logger.info('run.stop', { task: run.task, attempt: run.attempt, worker: view.worker, reason, percent: run.status?.percent })
    views.sendStop(view, run)
  }

  const recordEnd = (worker: string, [number, task, attempt, cause]: RunEnd): void => {
    // A worker lists an ended run until it is acknowledged, so several entries may contain the same end; only the first one releases the task.
    const run = views.findRun(worker, task, attempt)
    if (run !== undefined) copies.recordEnd(worker, run, cause)
    if (run === undefined || number === 0) return
    metrics.count('run.ended', 1, { cause })
    logger.info('run.end', { task, attempt, worker, number, cause })
    health.recordEnd(worker, task, cause)
    if (cause === 'succeeded') competition.recordSucceeded(task)
    recordRunEnd(runDurations, getState(), findTaskStep(task), run, cause, clock.now())
  }

  const recordEnds = ({ worker, bornAt, ends }: WorkerRunEnds): void => {
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
    if (view.reachable !== wasReachable) competition.recordDisturbance('reachability')
    if (!view.reachable && wasReachable === true) health.recordConnectionLoss(view.worker, views.workers.size)
    dispatcher.stopInterfering(view)
    const running = [...view.runs.values()].flatMap(({ status }) => status ?? [])
    health.observeRuns(view, { running, ends: [] }, findTaskStep)
    if (view.reachable && wasReachable !== true) dispatcher.schedule()
  }

  const observeRefusal = ([worker, task, , reason]: ReportedRefusal): void => {
    health.recordRefusal(worker, task, reason)
    if (REFUSALS_OF_WORK.has(reason)) startBackoff.recordRefusal(task)
    if (reason === 'no-ticket') advisor.dropTicket(getStepName(task), worker)
  }

  const pruneStarted = (workflow: string): void => {
    if (getState().workflows[workflow]?.outcome !== undefined) startedWorkflows.delete(workflow)
  }

  /** Discards what was learnt about an earlier incarnation of a worker. */
  const resetWorker = (worker: string): void => {
    health.reset(worker)
    advisor.removeWorker(worker)
  }

  /** Discards what is known of a worker if the entry just applied has removed it. */
  const pruneWorker = (worker: string): void => {
    if (getState().workers[worker] !== undefined || !views.workers.has(worker)) return
    resetWorker(worker)
    dispatcher.markChanged()
    dispatcher.markWorkerChanged(worker)
    views.syncWorker(worker)
  }

  const exchange = (from: string, request: SessionsRequest): SessionsReply => {
    if (!isActive()) return { kind: 'not-leader' }
    const grantedAt = request.grantAgeMs === null || request.fence !== fence ? -Infinity : clock.now() - request.grantAgeMs
    sessionAssigner.recordPresence(from, request.availabilityZone, from === options.self ? clock.now() : grantedAt, request.isLeaving)
    copySupport.recordHost(from, request.knowsCopies === true)
    if (request.isLeaving) sessionAssigner.update()
    options.work.measure('term.reports', () => {
      request.reports.forEach((report) => observeReport(from, report))
      request.started.forEach(([worker, task, attempt]) => {
        startBackoff.recordStart(task)
        views.recordStart(worker, task, attempt)
      })
      request.refused.forEach(observeRefusal)
    })
    if (request.appliedIndex < replicaLag.getRequiredIndex(from, request.process)) return { kind: 'behind' }
    return { kind: 'granted', fence, authorityAgeMs: clock.now() - authorityAt, stops: views.takeStops(from, request, fence) }
  }

  const handlers: Partial<{ [K in Entry['kind']]: (entry: Extract<Entry, { kind: K }>, index: number) => void }> = {
    'workflow.assign': ({ assignments, copies = [] }) => assignments.concat(copies).forEach(([task, worker]) => {
      dispatcher.markChanged(parseTaskName(task)?.workflow)
      dispatcher.markWorkerChanged(worker)
      views.syncRun(worker, task)
    }),
    'workflow.end': ({ lives }) => {
      lives.forEach(recordEnds)
      lives.forEach(({ worker }) => pruneWorker(worker))
      lives.forEach(({ ends }) => ends.forEach(([, task]) => pruneStarted(parseTaskName(task)?.workflow ?? '')))
      dispatcher.schedule()
    },
    'workflow.cancel': ({ id }) => {
      dispatcher.markChanged(id)
      pruneStarted(id)
    },
    'life.report': ({ life }) => {
      const isNew = views.workers.get(life.id)?.bornAt !== life.bornAt
      dispatcher.markChanged()
      dispatcher.markWorkerChanged(life.id)
      if (isNew) resetWorker(life.id)
      views.syncWorker(life.id)
      dispatcher.schedule()
    },
    'life.expire': ({ worker }) => {
      competition.recordDisturbance('expiry')
      dispatcher.markChanged()
      dispatcher.markWorkerChanged(worker)
      pruneWorker(worker)
      views.syncWorker(worker)
      dispatcher.schedule()
    },
    'life.leave': ({ worker }) => {
      dispatcher.markWorkerChanged(worker)
      pruneWorker(worker)
      dispatcher.schedule()
    },
    'life.remove': ({ worker }) => {
      pruneWorker(worker)
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
    'zone.evacuate': () => dispatcher.schedule(),
    'zone.readmit': () => dispatcher.schedule(),
    'sessions.divide': (_entry, index) => {
      replicaLag.recordSessionAssignment(index)
      views.syncHosts()
    }
  }

  const runAuthority = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const status = log.status()
      if (status.role !== 'leader' || status.term !== fence) return stop()
      if (jumpDetector.hasJumped(clockMark)) {
        ignoreHeardBefore = clock.now()
        // Contacts the voters now instead of waiting for their next heartbeats.
        log.readBarrier(clock.now() + MAX_AUTHORITY_AGE_MS)
      }
      clockMark = jumpDetector.getMark()
      const heardAt = clock.now() - computeMajorityAge(status.progress)
      authorityAt = heardAt < ignoreHeardBefore ? -Infinity : Math.max(authorityAt, heardAt)
      replicaLag.recordApplied()
      views.resendStops()
      if (isActive()) sessionAssigner.update()
      dispatcher.schedule()
      await clock.sleep(AUTHORITY_CHECK_INTERVAL_MS)
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

  const proposeAssignments = async ({ assignments, copies }: AssignmentBatch, copyHosts: string[] | undefined): Promise<void> => {
    const result = await log.propose({ kind: 'workflow.assign', assignments, ...copies.length > 0 && { copies, ...copyHosts !== undefined && { copyHosts } } }, clock.now() + PROPOSE_TIMEOUT_MS)
    if (!result.err) return
    logger.warn('run.assign-not-recorded', { runs: assignments.length + copies.length, reason: result.val.kind })
    // The same tasks would not fit into the next entry either.
    if (result.val.kind === 'entry-too-large') assignments.slice(0, 1).forEach(([task]) => startBackoff.recordRefusal(task))
  }

  const findTaskStep = (task: string): Step | undefined => findStep(getState(), task)
  const advisor = createAdvisor({ clock, logger, client: options.advice })
  const maintenance = startMaintenance({
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
  const competition = createCompetition({ clock, logger, metrics, settings: options.competition, sessions: views.workers, runDurations, getState, stopRun })
  const copySupport = createCopySupport(getState)
  const listReplicas = (): string[] => [...log.status().voters, ...log.status().learners, ...getState().sessionHosts.map(({ host }) => host)]
  const copies = createRunCopies({
    clock,
    logger,
    metrics,
    sessions: views.workers,
    health,
    interferenceModel: options.interferenceModel,
    advisor,
    durations: runDurations,
    getState,
    isEnabled: () => options.allowsCopies !== false && copySupport.isComplete(listReplicas())
  })
  const dispatcher: Dispatcher = createDispatcher({
    clock,
    logger,
    metrics,
    work: options.work,
    sessions: views.workers,
    health,
    interferenceModel: options.interferenceModel,
    serviceBound: options.serviceBound,
    evacuations,
    advisor,
    startBackoff,
    runDurations,
    looksAhead: options.looksAhead,
    competition,
    getState,
    isActive,
    copies,
    assign: async (assignments: Assignment[], copied: Assignment[]) => {
      const addTicket = ([task, worker, attempt]: Assignment): Assignment =>
        [task, worker, attempt, advisor.findTicket(getStepName(task), worker), views.workers.get(worker)?.bornAt]
      const copyHosts = copied.length > 0 ? copySupport.listNew(listReplicas()) : undefined
      const isGang = (task: string): boolean => findTaskStep(task)?.gang === true
      await Promise.all(splitAssignments(assignments.map(addTicket), copied.map(addTicket), isGang).map((batch) => proposeAssignments(batch, copyHosts)))
    },
    stopRun,
    isCordoned: (worker) => maintenance.isCordoned(worker),
    isBusy: (worker) => views.countUnconfirmed(views.workers.get(worker)?.host ?? '') > MAX_UNCONFIRMED_STARTS,
    wake: createSignal(clock)
  })
  const unsubscribe = log.subscribe((entry, index) => {
    evacuations.observeEntry(entry, true)
    const handler = handlers[entry.kind] as ((entry: Entry, index: number) => void) | undefined
    options.work.measure('term.apply', () => handler?.(entry, index))
  })
  const state = getState()
  logger.info('term.start', { fence, workers: Object.keys(state.workers).length, workflows: Object.keys(state.workflows).length - state.ended.length, catalog: state.catalog?.version })
  logger.info('scheduling.switches', { reservations: options.looksAhead !== false, copies: options.allowsCopies !== false, ...options.competition })
  Object.keys(state.workers).forEach(views.syncWorker)
  runSupervised({ clock, logger, event: 'term.failed', isStopped: () => stopping.signal.aborted }, runAuthority)
  dispatcher.schedule()
  return { fence, workers: views.workers, health, runDurations, isActive, getAuthorityAt: () => authorityAt, getSchedulerLoad: dispatcher.getLoad, competition, hasStarted: (workflow) => startedWorkflows.has(workflow), exchange, stop }
}
