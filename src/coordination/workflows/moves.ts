import type { Clock, Logger } from '../../common/index.js'
import { getStepName, type Step, type WorkflowsState } from '../../state/index.js'
import { findStep } from './candidates.js'
import { listEvacuated, UNKNOWN_STAY_MS } from './evacuation.js'
import type { RunView, WorkerView } from './sessionState.js'
import type { FillingRun, ServingRun, Sharing } from './sharing.js'
import type { WorkerHealth } from './workerHealth.js'

export interface MoveOptions {
  clock: Clock
  logger: Logger
  sessions: ReadonlyMap<string, WorkerView>
  health: WorkerHealth
  sharing: Sharing
  getState (): WorkflowsState
  stopRun (session: WorkerView, run: RunView, reason: string): void
}

/** Learns from the tails on a worker and acts on those over their targets. */
export function observeSharing (options: MoveOptions, session: WorkerView): void {
  const { clock, stopRun, logger, sharing } = options
  const { serving, filling } = listSharing(options, session)
  sharing.observe(session.worker, serving, filling, clock.now()).forEach(({ service, neighbour, pressure, variance }) => {
    logger.info('sharing.pair-known', { service, neighbour, pressure: pressure.toFixed(2), variance: variance.toFixed(3), worker: session.worker })
  })
  const isWanted = ({ task }: { task: string }): boolean => session.runs.get(task)?.stopReason === undefined
  sharing.listPressing(serving.filter(isWanted), filling.filter(isWanted), clock.now()).forEach((task) => {
    const run = session.runs.get(task)
    if (run === undefined) return
    const worst = serving.reduce((a, b) => (b.tailMs ?? 0) / b.targetMs > (a.tailMs ?? 0) / a.targetMs ? b : a)
    logger.info('run.pressing', { task, worker: session.worker, pressed: worst.task, tailMs: worst.tailMs, targetMs: worst.targetMs })
    stopRun(session, run, 'interference')
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
