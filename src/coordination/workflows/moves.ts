import type { Clock, Logger } from '../../common/index.js'
import { getStepName, type Step, type WorkflowsState } from '../../state/index.js'
import { findStep } from './candidates.js'
import { listEvacuated, UNKNOWN_STAY_MS } from './evacuation.js'
import type { RunView, WorkerView } from './sessionState.js'
import type { FillingRun, ServingRun, Sharing } from './sharing.js'
import type { WorkerHealth } from './workerHealth.js'

/** A service whose neighbours all stay although it is over its target is logged this often for each worker. */
const LOG_KEPT_MS = 1000

export interface MoveOptions {
  clock: Clock
  logger: Logger
  sessions: ReadonlyMap<string, WorkerView>
  health: WorkerHealth
  sharing: Sharing
  getState (): WorkflowsState
  stopRun (session: WorkerView, run: RunView, reason: string): void
}

export interface SharingOptions extends MoveOptions {
  /** When it was last logged that work stays beside a service of a worker that is over its target. */
  keptLoggedAt: WeakMap<WorkerView, number>
}

/** Learns from the tails on a worker. A reading is of the time before its report, so it is compared with those who were there before the next one. */
export function observeSharing (options: SharingOptions, session: WorkerView): void {
  const { clock, logger, sharing } = options
  const { serving, filling } = listSharing(options, session)
  sharing.observe(session.worker, serving, filling, clock.now()).forEach(({ service, neighbour, pressure, variance }) => {
    logger.info('sharing.pair-known', { service, neighbour, pressure: pressure.toFixed(2), variance: variance.toFixed(3), worker: session.worker })
  })
}

/** Stops what presses tasks that serve over their targets. */
export function stopPressing (options: SharingOptions, session: WorkerView): void {
  const { clock, stopRun, logger, sharing } = options
  const { serving, filling } = listSharing(options, session)
  const isWanted = ({ task }: { task: string }): boolean => session.runs.get(task)?.stopReason === undefined
  const pressing = sharing.listPressing(serving.filter(isWanted), filling.filter(isWanted), clock.now())
  if (pressing.length === 0) recordKept(options, session, serving, filling.filter(isWanted))
  pressing.forEach((task) => {
    const run = session.runs.get(task)
    if (run === undefined) return
    const worst = serving.reduce((a, b) => (b.tailMs ?? 0) / b.targetMs > (a.tailMs ?? 0) / a.targetMs ? b : a)
    logger.info('run.pressing', { task, worker: session.worker, pressed: worst.task, tailMs: worst.tailMs, targetMs: worst.targetMs, readAgeMs: Math.round(clock.now() - session.readAt) })
    stopRun(session, run, 'interference')
  })
}

/** Says why work stays beside a service that is over its target. */
function recordKept ({ clock, logger, sharing, keptLoggedAt }: SharingOptions, session: WorkerView, serving: readonly ServingRun[], filling: readonly FillingRun[]): void {
  const now = clock.now()
  const over = serving.find(({ tailMs, targetMs }) => (tailMs ?? 0) > targetMs)
  if (over === undefined || filling.length === 0 || now - (keptLoggedAt.get(session) ?? -Infinity) < LOG_KEPT_MS) return
  keptLoggedAt.set(session, now)
  const { own, allowed, added } = sharing.estimatePressure(over, filling, now)
  logger.info('run.kept', {
    worker: session.worker,
    pressed: over.task,
    tailMs: over.tailMs,
    targetMs: over.targetMs,
    readAgeMs: Math.round(now - session.readAt),
    own: own.toFixed(2),
    allowed: allowed.toFixed(2),
    added: added.map(({ task, load }) => `${task}:${load.toFixed(3)}`).join(',')
  })
}

/** What serves and what fills on a worker, those that are about to be stopped included: they disturb until then. */
function listSharing ({ getState }: MoveOptions, session: WorkerView): { serving: ServingRun[], filling: FillingRun[] } {
  const cores = getState().workers[session.worker]?.life.cores ?? 1
  const serving: ServingRun[] = []
  const filling: FillingRun[] = []
  session.runs.forEach((run) => {
    const step = findStep(getState(), run.task)
    if (run.row === undefined || step === undefined) return
    // A task that still starts has no tail of its own.
    const tailMs = run.row.percent === 100 ? run.row.reading : undefined
    if (step.tailTargetMs !== undefined) serving.push({ task: run.task, step: getStepName(run.task), image: step.image ?? '', tailMs, targetMs: step.tailTargetMs })
    if (step.fills) filling.push({ task: run.task, image: step.image ?? '', part: step.cores / cores, since: run.startedAt ?? run.assignedAt })
  })
  return { serving, filling }
}

/** Moves work off workers that have announced that they leave. */
export function drainWorkers (options: MoveOptions): void {
  const { clock, getState, sessions, stopRun } = options
  const now = clock.now()
  sessions.forEach((session) => {
    const life = getState().workers[session.worker]?.life
    if (life?.draining !== true || !session.reachable) return
    const runs = [...session.runs.values()].filter(({ stopReason }) => stopReason === undefined).flatMap((run) => {
      const step = findStep(getState(), run.task)
      return step === undefined ? [] : [{ task: run.task, step, elapsedMs: run.confirmedAt === undefined ? undefined : now - run.confirmedAt, percent: run.row?.percent ?? 0 }]
    })
    listEvacuated(runs, life.leavesAt === undefined ? UNKNOWN_STAY_MS : life.leavesAt - clock.wall()).forEach((task) => {
      const run = session.runs.get(task)
      if (run !== undefined) stopRun(session, run, 'draining')
    })
  })
}

/** Ends runs that stand still or crawl, so that they go on elsewhere. */
export function stopStalled ({ sessions, health, getState, stopRun }: MoveOptions): void {
  const find = (task: string): Step | undefined => findStep(getState(), task)
  sessions.forEach((session) => {
    if (!session.reachable || session.runs.size === 0) return
    const stopAll = (tasks: string[], reason: string): void => tasks.forEach((task) => {
      const run = session.runs.get(task)
      if (run !== undefined) stopRun(session, run, reason)
    })
    stopAll(health.listStandstill(session, find), 'standstill')
    stopAll(health.listSlow(session, find), 'slow-worker')
  })
}
