import type { Clock } from '../../common/index.js'
import { findAttemptOn, findTask, type WorkflowsState } from '../../state/index.js'
import type { ReportedRun, SessionsRequest, StopOrder, WorkerReport } from './sessionMessages.js'
import type { RunView, WorkerView } from './sessionState.js'

/** A worker as the leader knows it from the reports of its session host. */
export interface ReportedWorker extends WorkerView {
  /** The session host of the worker; changes with the session assignment. */
  host: string | undefined
  readonly runs: Map<string, RunView>
  strays: Map<string, number>
  reportedAt: number
}

/** A longer time between two reports on a worker is a silence. Polls of workers with runs take up to 1.5 s. */
const MAX_REPORT_GAP_MS = 2000

/** Stops in one reply; a host gets the next ones after it has confirmed these. */
const MAX_STOPS_PER_REPLY = 5000
/** Twice the time that a stop takes on the reference sites, including both directions of the exchange. */
const RESEND_STOPS_MS = 1500

/** Stops for one session host that it has not confirmed, and the number of the last one. */
interface HostOrders { process: string, lastNumber: number, stops: StopOrder[] }

export interface WorkerViewsOptions {
  clock: Clock
  getState (): WorkflowsState
  findHost (worker: string): string | undefined
  /** A worker has started a run, or is known to have started it in an earlier term. */
  onStarted (task: string): void
}

/** The leader's view of the runs on all workers, and the stop orders for them. */
export interface WorkerViews {
  readonly workers: ReadonlyMap<string, ReportedWorker>
  /** Updates the view of a worker to match the replicated state. */
  syncWorker (worker: string): void
  syncRun (worker: string, task: string): void
  /** Applies a new session assignment: pending stops of a worker are sent to its new session host. */
  syncHosts (): void
  /** Returns the view of the worker, or undefined if the report is about another incarnation or does not come from the worker's session host. */
  recordReport (from: string, report: WorkerReport): ReportedWorker | undefined
  recordStart (worker: string, task: string, attempt: number): void
  findRun (worker: string, task: string, attempt: number): RunView | undefined
  /** Number of runs that were assigned to workers of a session host and whose start it has not reported yet. */
  countUnconfirmed (host: string): number
  sendStop (view: WorkerView, run: RunView): void
  /** Repeats stops whose run has not ended: a session host ignores the stop of a run whose assignment it has not applied yet. */
  resendStops (): void
  /** Returns the stops that the process of a session host has not received yet. */
  takeStops (from: string, request: Pick<SessionsRequest, 'process' | 'lastStop' | 'fence'>, fence: number): StopOrder[]
}

export function createWorkerViews ({ clock, getState, findHost, onStarted }: WorkerViewsOptions): WorkerViews {
  const workers = new Map<string, ReportedWorker>()
  const orders = new Map<string, HostOrders>()
  const unconfirmedCounts = new Map<string, number>()

  const addUnconfirmed = (host: string | undefined, change: number): void => {
    if (host !== undefined) unconfirmedCounts.set(host, (unconfirmedCounts.get(host) ?? 0) + change)
  }

  const getHostOrders = (host: string): HostOrders => {
    const known = orders.get(host)
    if (known !== undefined) return known
    const created = { process: '', lastNumber: 0, stops: [] }
    orders.set(host, created)
    return created
  }

  const addRun = (view: ReportedWorker, task: string, isNew: boolean): void => {
    view.runs.set(task, {
      task,
      attempt: findAttemptOn(getState(), task, view.worker) ?? 1,
      isCopy: findTask(getState(), task)?.copy?.worker === view.worker,
      // Runs that were assigned in an earlier term count as confirmed.
      confirmedAt: isNew ? undefined : clock.now(),
      startedAt: undefined,
      assignedAt: clock.now(),
      stopReason: undefined,
      status: undefined,
      progressAt: clock.now(),
      isInherited: !isNew
    })
    if (isNew) addUnconfirmed(view.host, 1)
  }

  const removeRun = (view: ReportedWorker, run: RunView): void => {
    view.runs.delete(run.task)
    if (run.confirmedAt === undefined) addUnconfirmed(view.host, -1)
  }

  const confirm = (view: ReportedWorker, run: RunView, at: number): void => {
    if (run.confirmedAt === undefined) addUnconfirmed(view.host, -1)
    if (run.startedAt === undefined) onStarted(run.task)
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
    if (isAssigned && run?.attempt === findAttemptOn(getState(), task, worker)) return
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
    const created: ReportedWorker = { worker, bornAt: record.life.bornAt, host: findHost(worker), runs: new Map(), strays: new Map(), hasOverdueService: false, readAt: -Infinity, reportedAt: -Infinity, reachable: false, ended: false }
    workers.set(worker, created)
    Object.keys(record.assigned).forEach((task) => addRun(created, task, false))
  }

  /** Runs with a stop order, and when the order is repeated to the session host of their worker. */
  const pendingStops = new Map<RunView, { view: ReportedWorker, resendAt: number }>()

  const queueStop = (view: ReportedWorker, run: RunView): void => {
    const { worker, host } = view
    const { task, attempt, stopReason } = run
    if (host === undefined || stopReason === undefined) return
    pendingStops.set(run, { view, resendAt: clock.now() + RESEND_STOPS_MS })
    const known = getHostOrders(host)
    known.lastNumber += 1
    known.stops.push([known.lastNumber, worker, task, attempt, stopReason])
  }

  const queueStops = (view: ReportedWorker): void => view.runs.forEach((run) => queueStop(view, run))

  const recordRun = (view: ReportedWorker, [task, attempt, percent, reading, startedAgoMs]: ReportedRun): void => {
    const run = view.runs.get(task)
    if (run?.attempt !== attempt) return
    if (run.status?.percent !== percent) run.progressAt = clock.now()
    run.status = { task, attempt, checkpoint: '', percent, reading: reading ?? undefined }
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
      // The new session host has not reported yet whether it reaches the worker.
      view.reachable = false
      view.runs.forEach((run) => { if (run.confirmedAt === undefined) addUnconfirmed(host, 1) })
      queueStops(view)
    }),
    recordReport: (from, { worker, bornAt, reachable, hasOverdueService, readAgoMs, runs, strays }) => {
      const view = workers.get(worker)
      if (view === undefined || view.bornAt !== bornAt || view.host !== from) return undefined
      // While the worker was unreachable or its session host was silent, no progress could be reported, so that time does not count as a stall.
      const isAfterSilence = !view.reachable || clock.now() - view.reportedAt > MAX_REPORT_GAP_MS
      if (reachable && isAfterSilence) {
        view.reachableSince = clock.now()
        view.runs.forEach((run) => { run.progressAt = clock.now() })
      }
      Object.assign(view, { reachable, hasOverdueService, reportedAt: clock.now() })
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
    countUnconfirmed: (host) => unconfirmedCounts.get(host) ?? 0,
    sendStop: (view, run) => {
      const known = workers.get(view.worker)
      if (known !== undefined) queueStop(known, run)
    },
    resendStops: () => pendingStops.forEach(({ view, resendAt }, run) => {
      if (view.ended || view.runs.get(run.task) !== run) pendingStops.delete(run)
      else if (resendAt <= clock.now()) queueStop(view, run)
    }),
    takeStops: (from, { process, lastStop, fence: knownFence }, fence) => {
      const known = getHostOrders(from)
      if (known.process !== process) {
        // The new process has received none of the stops that were sent to the previous one.
        Object.assign(known, { process, stops: [] })
        workers.forEach((view) => { if (view.host === from) queueStops(view) })
      }
      if (knownFence === fence) known.stops = known.stops.filter(([number]) => number > lastStop)
      return known.stops.slice(0, MAX_STOPS_PER_REPLY)
    }
  }
}
