import type { Clock, Logger, Result } from '../../common/index.js'
import type { AgreedLog, Entry, Step, WaveRecord, WorkerRecord, WorkflowsState } from '../../state/index.js'
import { findTask } from '../../state/index.js'
import type { RunView, WorkerView } from './sessionState.js'

/** How often waves are looked at; a part of the time an upkeep takes. */
const CHECK_MS = 250
const ORDER_TIMEOUT_MS = 2000
/** An order that may have been lost is given again after this long; the owner of the hosts takes a repeated one for the same. */
const RESEND_MS = 1000
/** Answers of a worker may arrive this much later than they were given. */
const ANSWER_AGE_MS = 1000
/** Runs that neither end nor can be moved are stopped when this is left until the wave is due, for each host that still waits. */
const PATIENCE_MS = 3000

export type HostOrderFailure =
  | { kind: 'fenced' }
  /** The host is not up, is leaving, or is not of the wave. */
  | { kind: 'refused', reason: string }
  | { kind: 'unknown-host' }
  | { kind: 'no-answer', message: string }

/** Orders to the owner of the hosts. */
export interface HostClient {
  /** Takes a host down for upkeep; its next worker life shows that it is back. */
  startUpkeep (order: { host: string, wave: number, fence: number }, deadline: number): Promise<Result<void, HostOrderFailure>>
}

export interface UpkeepOptions {
  clock: Clock
  logger: Logger
  log: AgreedLog
  fence: number
  /** For so long nobody else may give orders for a host after one of its holder. */
  hostLeaseMs: number
  hosts: HostClient
  sessions: ReadonlyMap<string, WorkerView>
  isActive (): boolean
  isStopped (): boolean
  findStep (task: string): Step | undefined
  stopRun (session: WorkerView, run: RunView, reason: string): void
}

export interface Upkeep {
  /** Workers that get no new work because their hosts are about to go down. */
  isClosing (worker: string): boolean
}

/** Leads the hosts of a wave through their upkeep, a few at a time, and empties each before. */
export function startUpkeep (options: UpkeepOptions): Upkeep {
  const { clock, logger } = options
  const getState = (): WorkflowsState => options.log.state().workflows
  /** The leader before may have given orders until the term began. */
  const ordersFrom = clock.now() + options.hostLeaseMs
  const orders: Orders = { closing: new Set(), resendAt: new Map(), confirmedAt: new Map(), startedAt: clock.now() }

  const runWaves = async (): Promise<void> => {
    while (!options.isStopped()) {
      if (options.isActive() && clock.now() >= ordersFrom) {
        for (const record of Object.values(getState().waves)) await runWave(options, record, orders)
      }
      await clock.sleep(CHECK_MS)
    }
  }

  runWaves().catch((error: unknown) => {
    logger.error('upkeep.failed', { message: error instanceof Error ? error.stack : String(error) })
  })
  return { isClosing: (worker) => orders.closing.has(getState().workers[worker]?.life.host ?? '') }
}

export function isWaveDone ({ wave, done }: WaveRecord): boolean {
  return wave.hosts.every((host) => done.includes(host))
}

/** Hosts that are about to go down, when orders that may have been lost are given again, and when this term heard that one was given. */
interface Orders { closing: Set<string>, resendAt: Map<string, number>, confirmedAt: Map<string, number>, startedAt: number }

/**
 * True when a host is back from its upkeep: a later life of its worker has reported, or the one that was known when the
 * order was confirmed answers since, so the upkeep was over by then and only its answer had been lost.
 */
function isBack ({ log, sessions }: UpkeepOptions, { wave, confirmed }: WaveRecord, host: string, { confirmedAt, startedAt }: Orders): boolean {
  const since = (confirmedAt.get(`${wave.id} ${host}`) ?? startedAt) + ANSWER_AGE_MS
  return listLives(log.state().workflows, host).some(({ life }) => {
    const view = sessions.get(life.id)
    return life.bornAt > (confirmed[host] ?? Infinity) || (view !== undefined && view.bornAt === life.bornAt && view.readAt > since)
  })
}

async function runWave (options: UpkeepOptions, record: WaveRecord, orders: Orders): Promise<void> {
  if (isWaveDone(record)) return
  const { wave, ordered, confirmed, done } = record
  for (const host of Object.keys(confirmed).filter((host) => !done.includes(host))) {
    if (isBack(options, record, host, orders)) await recordDone(options, wave.id, host)
  }
  const open = wave.hosts.filter((host) => !done.includes(host))
  const isDown = (host: string): boolean => ordered.includes(host)
  const unconfirmed = open.filter((host) => isDown(host) && confirmed[host] === undefined)
  const down = open.filter(isDown).length
  const next = open.filter((host) => !isDown(host)).slice(0, Math.max(0, wave.maxDown - down))
  const remaining = open.length - down
  const isLate = options.clock.wall() > wave.dueAt - remaining * PATIENCE_MS
  for (const host of [...unconfirmed, ...next]) await closeHost(options, record, host, isLate, orders)
}

/** Empties a host and orders its upkeep, again while it is not sure that the order was given. */
async function closeHost (options: UpkeepOptions, record: WaveRecord, host: string, isLate: boolean, { closing, resendAt, confirmedAt }: Orders): Promise<void> {
  const { log, clock, logger, sessions } = options
  const { wave: { id: wave }, ordered } = record
  const isFirst = !ordered.includes(host)
  const key = `${wave} ${host}`
  const lives = listLives(log.state().workflows, host)
  closing.add(host)
  const busy = lives.filter(({ life }) => !drainWorker(options, sessions.get(life.id), isLate))
  if (busy.length > 0 || clock.now() < (resendAt.get(key) ?? -Infinity)) return
  const propose = async (entry: Entry): Promise<boolean> => (await log.propose(entry, clock.now() + ORDER_TIMEOUT_MS)).ok
  const bornAt = Math.max(0, ...lives.map(({ life }) => life.bornAt))
  if (isFirst && !await propose({ kind: 'wave.order', wave, host })) return
  resendAt.set(key, clock.now() + RESEND_MS)
  const result = await options.hosts.startUpkeep({ host, wave, fence: options.fence }, clock.now() + ORDER_TIMEOUT_MS)
  logger.info('upkeep.order', { wave, host, fence: options.fence, first: isFirst, outcome: result.ok ? 'ordered' : result.val.kind })
  if (result.ok) {
    confirmedAt.set(key, clock.now())
    await propose({ kind: 'wave.confirm', wave, host, bornAt })
  }
  const failure = result.ok ? undefined : result.val.kind
  if (failure === 'unknown-host') await recordDone(options, wave, host)
  // A repeated order may be refused because the host is down by the one before.
  const isWithdrawn = isFirst && failure === 'refused' && await propose({ kind: 'wave.withdraw', wave, host })
  if (result.ok || failure === 'unknown-host' || isWithdrawn) closing.delete(host)
}

async function recordDone ({ log, clock, logger }: UpkeepOptions, wave: number, host: string): Promise<void> {
  const result = await log.propose({ kind: 'wave.done', wave, host }, clock.now() + ORDER_TIMEOUT_MS)
  logger.info('upkeep.done', { wave, host, outcome: result.ok ? 'recorded' : result.val.kind })
}

function listLives (state: WorkflowsState, host: string): WorkerRecord[] {
  return Object.values(state.workers).filter(({ life }) => life.host === host)
}

/** Moves what can be moved off a worker. Returns whether nothing runs there any more. */
function drainWorker (options: UpkeepOptions, session: WorkerView | undefined, isLate: boolean): boolean {
  if (session === undefined || session.runs.size === 0) return true
  session.runs.forEach((run) => {
    const step = options.findStep(run.task)
    if (step === undefined || run.stopReason !== undefined) return
    const mayStop = step.lasting ? canSpare(options, run.task, step) : step.checkpoints || isLate
    if (mayStop) options.stopRun(session, run, 'upkeep')
  })
  return false
}

/** True when one more task of a lasting step may be away. */
function canSpare ({ log, sessions }: UpkeepOptions, task: string, step: Step): boolean {
  if (step.maxUnavailable === undefined) return true
  const prefix = task.slice(0, task.lastIndexOf('.') + 1)
  const away = Array.from({ length: step.count }, (_, index) => {
    const record = findTask(log.state().workflows, `${prefix}${index}`)
    const run = record?.worker === undefined ? undefined : sessions.get(record.worker)?.runs.get(`${prefix}${index}`)
    return run?.row?.percent !== 100 || run.stopReason !== undefined
  }).filter(Boolean).length
  return away < step.maxUnavailable
}
