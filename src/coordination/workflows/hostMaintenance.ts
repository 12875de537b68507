import { runSupervised, type Clock, type Logger, type Result } from '../../common/index.js'
import type { ReplicatedLog, Entry, Step, MaintenanceWaveRecord, WorkerRecord, WorkflowsState } from '../../state/index.js'
import { formatStepKey, parseTaskName } from '../../state/index.js'
import type { RunView, WorkerView } from './sessionState.js'

/** Interval at which maintenance waves are checked; a fraction of the time that the maintenance of a host takes. */
const CHECK_MS = 250
const ORDER_TIMEOUT_MS = 2000
/** An order that may have been lost is repeated after this long; the owner of the hosts executes a repeated order only once. */
const RESEND_MS = 1000
/** An answer of a worker may arrive this long after the worker sent it. */
const MAX_REPLY_DELAY_MS = 1000
/** Runs that neither end nor can be moved are stopped this long before the wave is due, multiplied by the number of hosts that still wait for their maintenance. */
const STOP_LEAD_MS = 3000

export type HostOrderFailure =
  | { kind: 'fenced' }
  /** The host is not up, is leaving, or does not belong to the wave. */
  | { kind: 'refused', reason: string }
  | { kind: 'unknown-host' }
  | { kind: 'no-answer', message: string }

/** Sends orders to the owner of the hosts, an external system. */
export interface HostClient {
  /** Takes a host down for maintenance. The host is back when a new incarnation of its worker reports. */
  startUpkeep (order: { host: string, wave: number, fence: number }, deadline: number): Promise<Result<void, HostOrderFailure>>
}

export interface MaintenanceOptions {
  clock: Clock
  logger: Logger
  log: ReplicatedLog
  fence: number
  /** Length of the order lease on a host: for this long after an order only the process that gave it may give further orders for that host. */
  hostLeaseMs: number
  hosts: HostClient
  sessions: ReadonlyMap<string, WorkerView>
  isActive (): boolean
  isStopped (): boolean
  findStep (task: string): Step | undefined
  stopRun (session: WorkerView, run: RunView, reason: string): void
}

export interface HostMaintenance {
  /** True if the worker gets no new tasks because its host is about to go down. */
  isCordoned (worker: string): boolean
}

/** Takes the hosts of maintenance waves down for maintenance, at most `maxDown` of a wave at a time, and drains each host before. */
export function startMaintenance (options: MaintenanceOptions): HostMaintenance {
  const { clock, logger } = options
  const getState = (): WorkflowsState => options.log.state().workflows
  /** The previous leader may have given orders until this term began, so its order leases on hosts have to end first. */
  const ordersAllowedAt = clock.now() + options.hostLeaseMs
  const orders: TermOrders = { cordoned: new Set(), resendAt: new Map(), confirmedAt: new Map(), startedAt: clock.now() }

  const runWaves = async (): Promise<void> => {
    while (!options.isStopped()) {
      if (options.isActive() && clock.now() >= ordersAllowedAt) {
        for (const record of Object.values(getState().waves)) await runWave(options, record, orders)
      }
      await clock.sleep(CHECK_MS)
    }
  }

  runSupervised({ clock, logger, event: 'upkeep.failed', isStopped: options.isStopped }, runWaves)
  return { isCordoned: (worker) => orders.cordoned.has(getState().workers[worker]?.life.host ?? '') }
}

export function isWaveDone ({ wave, done }: MaintenanceWaveRecord): boolean {
  return wave.hosts.every((host) => done.includes(host))
}

/** Maintenance orders of this term. `cordoned`: hosts that are about to go down. By wave and host: `resendAt`, when an unconfirmed order is repeated; `confirmedAt`, when an order was confirmed. `startedAt`: start of the term. */
interface TermOrders { cordoned: Set<string>, resendAt: Map<string, number>, confirmedAt: Map<string, number>, startedAt: number }

/**
 * True if a host is back from its maintenance. Either a later incarnation of its worker has reported, or the incarnation
 * that was known when the order was confirmed has answered a poll since: then the maintenance was already over at the
 * confirmation, because the answer to an earlier copy of the order had been lost.
 */
function hasReturned ({ log, sessions }: MaintenanceOptions, { wave, confirmed }: MaintenanceWaveRecord, host: string, { confirmedAt, startedAt }: TermOrders): boolean {
  const since = (confirmedAt.get(`${wave.id} ${host}`) ?? startedAt) + MAX_REPLY_DELAY_MS
  return listHostWorkers(log.state().workflows, host).some(({ life }) => {
    const view = sessions.get(life.id)
    return life.bornAt > (confirmed[host] ?? Infinity) || (view !== undefined && view.bornAt === life.bornAt && view.readAt > since)
  })
}

async function runWave (options: MaintenanceOptions, record: MaintenanceWaveRecord, orders: TermOrders): Promise<void> {
  if (isWaveDone(record)) return
  const { wave, ordered, confirmed, done } = record
  for (const host of Object.keys(confirmed).filter((host) => !done.includes(host))) {
    if (hasReturned(options, record, host, orders)) await recordDone(options, wave.id, host)
  }
  const open = wave.hosts.filter((host) => !done.includes(host))
  const isDown = (host: string): boolean => ordered.includes(host)
  const unconfirmed = open.filter((host) => isDown(host) && confirmed[host] === undefined)
  const down = open.filter(isDown).length
  const next = open.filter((host) => !isDown(host)).slice(0, Math.max(0, wave.maxDown - down))
  const remaining = open.length - down
  const mustStopRuns = options.clock.wall() > wave.dueAt - remaining * STOP_LEAD_MS
  for (const host of [...unconfirmed, ...next]) await drainHost(options, record, host, mustStopRuns, orders)
}

/** Drains a host and then orders its maintenance; repeats the order until it is confirmed. */
async function drainHost (options: MaintenanceOptions, record: MaintenanceWaveRecord, host: string, mustStopRuns: boolean, { cordoned, resendAt, confirmedAt }: TermOrders): Promise<void> {
  const { log, clock, logger, sessions } = options
  const { wave: { id: wave }, ordered } = record
  const isFirst = !ordered.includes(host)
  const key = `${wave} ${host}`
  const workers = listHostWorkers(log.state().workflows, host)
  cordoned.add(host)
  const undrained = workers.filter(({ life }) => !drainWorker(options, sessions.get(life.id), mustStopRuns))
  if (undrained.length > 0 || clock.now() < (resendAt.get(key) ?? -Infinity)) return
  const propose = async (entry: Entry): Promise<boolean> => (await log.propose(entry, clock.now() + ORDER_TIMEOUT_MS)).ok
  if (isFirst && !await propose({ kind: 'wave.order', wave, host })) return
  resendAt.set(key, clock.now() + RESEND_MS)
  const result = await options.hosts.startUpkeep({ host, wave, fence: options.fence }, clock.now() + ORDER_TIMEOUT_MS)
  logger.info('upkeep.order', { wave, host, fence: options.fence, first: isFirst, outcome: result.ok ? 'ordered' : result.val.kind })
  if (result.ok) {
    confirmedAt.set(key, clock.now())
    // The worker may have restarted by itself while the order was under way.
    const bornAt = Math.max(0, ...listHostWorkers(log.state().workflows, host).map(({ life }) => life.bornAt))
    await propose({ kind: 'wave.confirm', wave, host, bornAt })
  }
  const failure = result.ok ? undefined : result.val.kind
  if (failure === 'unknown-host') await recordDone(options, wave, host)
  // Only a first order is withdrawn: a repeated one may be refused because the host is already down after the previous one.
  const isWithdrawn = isFirst && failure === 'refused' && await propose({ kind: 'wave.withdraw', wave, host })
  if (result.ok || failure === 'unknown-host' || isWithdrawn) cordoned.delete(host)
}

async function recordDone ({ log, clock, logger }: MaintenanceOptions, wave: number, host: string): Promise<void> {
  const result = await log.propose({ kind: 'wave.done', wave, host }, clock.now() + ORDER_TIMEOUT_MS)
  logger.info('upkeep.done', { wave, host, outcome: result.ok ? 'recorded' : result.val.kind })
}

function listHostWorkers (state: WorkflowsState, host: string): WorkerRecord[] {
  return Object.values(state.workers).filter(({ life }) => life.host === host)
}

/** Stops the runs on a worker that can be moved: those with checkpoints, long-running tasks within the limit of their step, and with `mustStopRuns` also all other short tasks. Returns whether the worker has no runs left. */
function drainWorker (options: MaintenanceOptions, session: WorkerView | undefined, mustStopRuns: boolean): boolean {
  if (session === undefined || session.runs.size === 0) return true
  session.runs.forEach((run) => {
    const step = options.findStep(run.task)
    if (step === undefined || run.stopReason !== undefined) return
    const mayStop = step.lasting ? canMakeUnavailable(options, run.task, step) : step.checkpoints || mustStopRuns
    if (mayStop) options.stopRun(session, run, 'upkeep')
  })
  return false
}

/** True if one more task of a long-running step may become unavailable. */
function canMakeUnavailable ({ log, sessions }: MaintenanceOptions, task: string, step: Step): boolean {
  if (step.maxUnavailable === undefined) return true
  const name = parseTaskName(task)
  const record = log.state().workflows.workflows[name?.workflow ?? '']
  if (name === undefined || record === undefined) return false
  const prefix = `${formatStepKey(name.occurrence, name.step)}.`
  // Only assigned tasks can be at work; their number does not depend on the size of the step.
  const atWork = Object.entries(record.tasks).filter(([taskKey, { worker }]) => {
    if (worker === undefined || !taskKey.startsWith(prefix)) return false
    const run = sessions.get(worker)?.runs.get(`${name.workflow}.${taskKey}`)
    return run?.status?.percent === 100 && run.stopReason === undefined
  }).length
  return step.count - atWork < step.maxUnavailable
}
