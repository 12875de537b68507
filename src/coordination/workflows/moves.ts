import type { Clock, Logger } from '../../common/index.js'
import { findTask, getStepName, type Step, type WorkflowsState } from '../../state/index.js'
import { findStep } from './candidates.js'
import { listEvacuated, DEFAULT_NOTICE_MS } from './evacuation.js'
import type { RunView, WorkerView } from './sessionState.js'
import type { BestEffortRun, LatencyCriticalRun, InterferenceModel } from './interferenceModel.js'
import type { ServiceBound } from './serviceWatch.js'
import type { WorkerHealth } from './workerHealth.js'
import { EVACUATED_REASON, listIncompleteGangs, type ZoneEvacuations } from './zoneEvacuation.js'

/** Minimum interval, per worker, of the log line about a service that is over its target although no neighbour is stopped. */
const RETAINED_LOG_INTERVAL_MS = 1000

export interface MoveOptions {
  clock: Clock
  logger: Logger
  sessions: ReadonlyMap<string, WorkerView>
  health: WorkerHealth
  interferenceModel: InterferenceModel
  serviceBound: Pick<ServiceBound, 'stopMs'>
  evacuations: Pick<ZoneEvacuations, 'isStartBlocked'>
  getState (): WorkflowsState
  stopRun (session: WorkerView, run: RunView, reason: string): void
}

export interface InterferenceOptions extends MoveOptions {
  /** By worker: time of the last `run.retained` log line. */
  retainedLoggedAt: WeakMap<WorkerView, number>
}

/**
 * Updates the interference model with the last report of a worker. A reading covers the time before its report, so it is
 * attributed to the runs that are known before the next report is recorded.
 */
export function observeInterference (options: InterferenceOptions, session: WorkerView): void {
  const { clock, logger, interferenceModel } = options
  const { latencyCritical, bestEffort } = listColocated(options, session)
  interferenceModel.observe(session.worker, latencyCritical, bestEffort, clock.now()).forEach(({ service, neighbour, pressure, variance }) => {
    logger.info('interference.pair-known', { service, neighbour, pressure: pressure.toFixed(2), variance: variance.toFixed(3), worker: session.worker })
  })
}

/** Stops the best-effort tasks that keep latency-critical tasks over their targets. */
export function stopInterfering (options: InterferenceOptions, session: WorkerView): void {
  const { clock, stopRun, logger, interferenceModel } = options
  const { latencyCritical, bestEffort } = listColocated(options, session)
  const isWanted = ({ task }: { task: string }): boolean => session.runs.get(task)?.stopReason === undefined
  const interfering = interferenceModel.listInterfering(latencyCritical.filter(isWanted), bestEffort.filter(isWanted), clock.now())
  if (interfering.length === 0) recordRetained(options, session, latencyCritical, bestEffort.filter(isWanted))
  interfering.forEach((task) => {
    const run = session.runs.get(task)
    if (run === undefined) return
    const mostAffected = latencyCritical.reduce((a, b) => (b.tailMs ?? 0) / b.targetMs > (a.tailMs ?? 0) / a.targetMs ? b : a)
    logger.info('run.interfering', { task, worker: session.worker, affected: mostAffected.task, tailMs: mostAffected.tailMs, targetMs: mostAffected.targetMs, readAgeMs: Math.round(clock.now() - session.readAt) })
    stopRun(session, run, 'interference')
  })
}

/** Logs why all best-effort tasks stay beside a service that is over its target: its own load, the allowed load, and the load that each of them adds. */
function recordRetained ({ clock, logger, interferenceModel, retainedLoggedAt }: InterferenceOptions, session: WorkerView, latencyCritical: readonly LatencyCriticalRun[], bestEffort: readonly BestEffortRun[]): void {
  const now = clock.now()
  const overTarget = latencyCritical.find(({ tailMs, targetMs }) => (tailMs ?? 0) > targetMs)
  if (overTarget === undefined || bestEffort.length === 0 || now - (retainedLoggedAt.get(session) ?? -Infinity) < RETAINED_LOG_INTERVAL_MS) return
  retainedLoggedAt.set(session, now)
  const { ownLoad, allowedLoad, added } = interferenceModel.estimateInterference(overTarget, bestEffort, now)
  logger.info('run.retained', {
    worker: session.worker,
    affected: overTarget.task,
    tailMs: overTarget.tailMs,
    targetMs: overTarget.targetMs,
    readAgeMs: Math.round(now - session.readAt),
    ownLoad: ownLoad.toFixed(2),
    allowedLoad: allowedLoad.toFixed(2),
    added: added.map(({ task, load }) => `${task}:${load.toFixed(3)}`).join(',')
  })
}

/** Lists the latency-critical and best-effort runs on a worker. Runs that are being stopped are included, as they interfere until they end. */
function listColocated ({ getState }: MoveOptions, session: WorkerView): { latencyCritical: LatencyCriticalRun[], bestEffort: BestEffortRun[] } {
  const cores = getState().workers[session.worker]?.life.cores ?? 1
  const latencyCritical: LatencyCriticalRun[] = []
  const bestEffort: BestEffortRun[] = []
  session.runs.forEach((run) => {
    const step = findStep(getState(), run.task)
    if (run.status === undefined || step === undefined) return
    // A task that is still starting has no tail latency of its own.
    const tailMs = run.status.percent === 100 ? run.status.reading : undefined
    if (step.tailTargetMs !== undefined) latencyCritical.push({ task: run.task, step: getStepName(run.task), image: step.image ?? '', tailMs, targetMs: step.tailTargetMs })
    if (step.fills) bestEffort.push({ task: run.task, image: step.image ?? '', coreShare: step.cores / cores, since: run.startedAt ?? run.assignedAt })
  })
  return { latencyCritical, bestEffort }
}

/** Stops runs on draining workers that should continue elsewhere. */
export function drainWorkers (options: MoveOptions): void {
  const { clock, getState, sessions, stopRun } = options
  const now = clock.now()
  sessions.forEach((session) => {
    const life = getState().workers[session.worker]?.life
    if (life?.draining !== true || !session.reachable) return
    const runs = [...session.runs.values()].filter(({ stopReason }) => stopReason === undefined).flatMap((run) => {
      const step = findStep(getState(), run.task)
      return step === undefined ? [] : [{ task: run.task, step, elapsedMs: run.confirmedAt === undefined ? undefined : now - run.confirmedAt, percent: run.status?.percent ?? 0 }]
    })
    listEvacuated(runs, life.leavesAt === undefined ? DEFAULT_NOTICE_MS : life.leavesAt - clock.wall(), options.serviceBound.stopMs).forEach((task) => {
      const run = session.runs.get(task)
      if (run !== undefined) stopRun(session, run, 'draining')
    })
  })
}

/** Stops gangs that cannot become complete because a zone was evacuated, so that they are placed again elsewhere. */
export function stopIncompleteGangs ({ sessions, evacuations, getState, stopRun }: MoveOptions): void {
  listIncompleteGangs(getState(), sessions, evacuations.isStartBlocked).forEach(({ worker, run }) => stopRun(worker, run, EVACUATED_REASON))
}

/** Stops runs that make no progress or are on a slow worker, so that they continue elsewhere. */
export function stopStalled ({ sessions, health, getState, stopRun }: MoveOptions): void {
  const find = (task: string): Step | undefined => findStep(getState(), task)
  sessions.forEach((session) => {
    if (!session.reachable || session.runs.size === 0) return
    const stopAll = (tasks: string[], reason: string): void => tasks.forEach((task) => {
      const run = session.runs.get(task)
      if (run !== undefined) stopRun(session, run, reason)
    })
    stopAll(health.listStalled(session, find), 'standstill')
    // The copy of a slow run decides when to stop it.
    stopAll(health.listSlow(session, find).filter((task) => findTask(getState(), task)?.copy === undefined), 'slow-worker')
  })
}
