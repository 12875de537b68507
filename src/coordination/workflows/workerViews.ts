import type { Clock } from '../../common/index.js'
import { findTask, type WorkflowsState } from '../../state/index.js'
import type { ReportedRun, SessionsRequest, StopOrder, WorkerReport } from './sessionMessages.js'
import type { RunView, WorkerView } from './sessionState.js'

/** A worker as the leader sees it through the reports of the host that gives it orders. */
export interface ReportedWorker extends WorkerView {
  /** The host that gives it orders; changes with the division. */
  host: string | undefined
  readonly runs: Map<string, RunView>
  strays: Map<string, number>
}

/** Twice the time that a stop takes on the reference sites, with both ways. */
const RESEND_STOPS_MS = 1500

interface HostOrders { process: string, lastNumber: number, stops: StopOrder[] }

export interface WorkerViewsOptions {
  clock: Clock
  getState (): WorkflowsState
  findHost (worker: string): string | undefined
}

/** What the leader knows of the runs on all workers, and the stops that it wants carried out there. */
export interface WorkerViews {
  readonly workers: ReadonlyMap<string, ReportedWorker>
  /** Makes the view of a worker what the agreed state says of it. */
  syncWorker (worker: string): void
  syncRun (worker: string, task: string): void
  /** Takes over a new division; stops that another host had to carry out go to the new one. */
  syncHosts (): void
  /** Returns the worker when the report is about its present life and comes from the host that gives it orders. */
  recordReport (from: string, report: WorkerReport): ReportedWorker | undefined
  recordStart (worker: string, task: string, attempt: number): void
  findRun (worker: string, task: string, attempt: number): RunView | undefined
  /** Orders given to a host and not confirmed yet. */
  countUnconfirmed (host: string): number
  sendStop (view: WorkerView, run: RunView): void
  /** Repeats stops that have had no effect, since a host may not know the run yet when it is told to stop it. */
  resendStops (): void
  /** The stops that a process has not received yet. */
  takeStops (from: string, request: Pick<SessionsRequest, 'process' | 'lastStop' | 'fence'>, fence: number): StopOrder[]
}

export function createWorkerViews ({ clock, getState, findHost }: WorkerViewsOptions): WorkerViews {
  const workers = new Map<string, ReportedWorker>()
  const orders = new Map<string, HostOrders>()
  const unconfirmed = new Map<string, number>()

  const addUnconfirmed = (host: string | undefined, change: number): void => {
    if (host !== undefined) unconfirmed.set(host, (unconfirmed.get(host) ?? 0) + change)
  }

  const getOrders = (host: string): HostOrders => {
    const known = orders.get(host)
    if (known !== undefined) return known
    const created = { process: '', lastNumber: 0, stops: [] }
    orders.set(host, created)
    return created
  }

  const addRun = (view: ReportedWorker, task: string, isNew: boolean): void => {
    view.runs.set(task, {
      task,
      attempt: findTask(getState(), task)?.attempt ?? 1,
      // Runs of an earlier term were ordered long ago.
      confirmedAt: isNew ? undefined : clock.now(),
      startedAt: undefined,
      assignedAt: clock.now(),
      stopReason: undefined,
      row: undefined,
      progressAt: clock.now()
    })
    if (isNew) addUnconfirmed(view.host, 1)
  }

  const removeRun = (view: ReportedWorker, run: RunView): void => {
    view.runs.delete(run.task)
    if (run.confirmedAt === undefined) addUnconfirmed(view.host, -1)
  }

  const confirm = (view: ReportedWorker, run: RunView, at: number): void => {
    if (run.confirmedAt === undefined) addUnconfirmed(view.host, -1)
    run.confirmedAt = at
    run.startedAt ??= at
  }

  const removeWorker = (view: ReportedWorker): void => {
    view.ended = true
    view.runs.forEach((run) => removeRun(view, run))
    workers.delete(view.worker)
  }

  const syncRun = (worker: string, task: string): void => {
    const view = workers.get(worker)
    if (view === undefined) return
    const isAssigned = getState().workers[worker]?.assigned[task] !== undefined
    const run = view.runs.get(task)
    if (isAssigned && run?.attempt === findTask(getState(), task)?.attempt) return
    if (run !== undefined) removeRun(view, run)
    if (isAssigned) addRun(view, task, true)
  }

  const syncWorker = (worker: string): void => {
    const record = getState().workers[worker]
    const known = workers.get(worker)
    if (known !== undefined && known.bornAt !== record?.life.bornAt) removeWorker(known)
    if (record === undefined) return
    const view = workers.get(worker)
    if (view !== undefined) {
      new Set([...view.runs.keys(), ...Object.keys(record.assigned)]).forEach((task) => syncRun(worker, task))
      return
    }
    const created: ReportedWorker = { worker, bornAt: record.life.bornAt, host: findHost(worker), runs: new Map(), strays: new Map(), hasOverdueService: false, readAt: -Infinity, reachable: false, ended: false }
    workers.set(worker, created)
    Object.keys(record.assigned).forEach((task) => addRun(created, task, false))
  }

  /** Runs that are to stop, and when their host is told again. */
  const stopping = new Map<RunView, { view: ReportedWorker, resendAt: number }>()

  const queueStop = (view: ReportedWorker, run: RunView): void => {
    const { worker, host } = view
    const { task, attempt, stopReason } = run
    if (host === undefined || stopReason === undefined) return
    stopping.set(run, { view, resendAt: clock.now() + RESEND_STOPS_MS })
    const known = getOrders(host)
    known.lastNumber += 1
    known.stops.push([known.lastNumber, worker, task, attempt, stopReason])
  }

  const queueStops = (view: ReportedWorker): void => view.runs.forEach((run) => queueStop(view, run))

  const recordRun = (view: ReportedWorker, [task, attempt, percent, reading, startedAgoMs]: ReportedRun): void => {
    const run = view.runs.get(task)
    if (run?.attempt !== attempt) return
    if (run.row?.percent !== percent) run.progressAt = clock.now()
    run.row = { task, attempt, checkpoint: '', percent, reading: reading ?? undefined }
    confirm(view, run, run.confirmedAt ?? clock.now() - startedAgoMs)
  }

  return {
    workers,
    syncWorker,
    syncRun,
    syncHosts: () => workers.forEach((view) => {
      const host = findHost(view.worker)
      if (host === view.host) return
      view.runs.forEach((run) => { if (run.confirmedAt === undefined) addUnconfirmed(view.host, -1) })
      view.host = host
      // The other host has yet to see whether it reaches the worker.
      view.reachable = false
      view.runs.forEach((run) => { if (run.confirmedAt === undefined) addUnconfirmed(host, 1) })
      queueStops(view)
    }),
    recordReport: (from, { worker, bornAt, reachable, hasOverdueService, readAgoMs, runs, strays }) => {
      const view = workers.get(worker)
      if (view === undefined || view.bornAt !== bornAt || view.host !== from) return undefined
      // Nothing was seen meanwhile, so the time without news is no standstill.
      if (reachable && !view.reachable) view.runs.forEach((run) => { run.progressAt = clock.now() })
      Object.assign(view, { reachable, hasOverdueService })
      if (readAgoMs !== null) view.readAt = clock.now() - readAgoMs
      view.strays = new Map(strays.map((key) => [key, clock.now()]))
      runs.forEach((run) => recordRun(view, run))
      return view
    },
    recordStart: (worker, task, attempt) => {
      const view = workers.get(worker)
      const run = view?.runs.get(task)
      if (view !== undefined && run?.attempt === attempt) confirm(view, run, clock.now())
    },
    findRun: (worker, task, attempt) => {
      const run = workers.get(worker)?.runs.get(task)
      return run?.attempt === attempt ? run : undefined
    },
    countUnconfirmed: (host) => unconfirmed.get(host) ?? 0,
    sendStop: (view, run) => {
      const known = workers.get(view.worker)
      if (known !== undefined) queueStop(known, run)
    },
    resendStops: () => stopping.forEach(({ view, resendAt }, run) => {
      if (view.ended || view.runs.get(run.task) !== run) stopping.delete(run)
      else if (resendAt <= clock.now()) queueStop(view, run)
    }),
    takeStops: (from, { process, lastStop, fence: knownFence }, fence) => {
      const known = getOrders(from)
      if (known.process !== process) {
        // Another process knows nothing of what the earlier one was told.
        Object.assign(known, { process, stops: [] })
        workers.forEach((view) => { if (view.host === from) queueStops(view) })
      }
      if (knownFence === fence) known.stops = known.stops.filter(([number]) => number > lastStop)
      return known.stops
    }
  }
}
