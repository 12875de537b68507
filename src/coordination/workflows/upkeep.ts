import type { Clock, Logger, Result } from '../../common/index.js'
import type { AgreedLog, Step, WaveRecord, WorkerRecord, WorkflowsState } from '../../state/index.js'
import { findTask } from '../../state/index.js'
import type { RunView, WorkerView } from './sessionState.js'

/** How often waves are looked at; a part of the time an upkeep takes. */
const CHECK_MS = 250
const ORDER_TIMEOUT_MS = 2000
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
  const closing = new Set<string>()
  const getState = (): WorkflowsState => options.log.state().workflows

  const runWaves = async (): Promise<void> => {
    while (!options.isStopped()) {
      if (options.isActive()) {
        for (const record of Object.values(getState().waves)) await runWave(options, record, closing)
      }
      await clock.sleep(CHECK_MS)
    }
  }

  runWaves().catch((error: unknown) => {
    logger.error('upkeep.failed', { message: error instanceof Error ? error.stack : String(error) })
  })
  return { isClosing: (worker) => closing.has(worker) }
}

export function isWaveDone ({ wave, done }: WaveRecord): boolean {
  return wave.hosts.every((host) => done.includes(host))
}

async function runWave (options: UpkeepOptions, record: WaveRecord, closing: Set<string>): Promise<void> {
  if (isWaveDone(record)) return
  const state = options.log.state().workflows
  const { wave, ordered, done } = record
  for (const host of wave.hosts.filter((host) => ordered[host] !== undefined && !done.includes(host))) {
    const isBack = listLives(state, host).some(({ life }) => life.bornAt > (ordered[host] ?? 0))
    if (isBack) await recordDone(options, wave.id, host)
  }
  const open = wave.hosts.filter((host) => !done.includes(host))
  const isDown = (host: string): boolean => ordered[host] !== undefined
  const down = open.filter(isDown).length
  const next = open.filter((host) => !isDown(host)).slice(0, Math.max(0, wave.maxDown - down))
  const remaining = open.length - down
  const isLate = options.clock.wall() > wave.dueAt - remaining * PATIENCE_MS
  for (const host of next) await closeHost(options, wave.id, host, isLate, closing)
}

async function closeHost (options: UpkeepOptions, wave: number, host: string, isLate: boolean, closing: Set<string>): Promise<void> {
  const { log, clock, logger, sessions } = options
  const lives = listLives(log.state().workflows, host)
  lives.forEach(({ life }) => closing.add(life.id))
  const busy = lives.filter(({ life }) => !drainWorker(options, sessions.get(life.id), isLate))
  if (busy.length > 0) return
  const bornAt = Math.max(0, ...lives.map(({ life }) => life.bornAt))
  const recorded = await log.propose({ kind: 'wave.order', wave, host, bornAt }, clock.now() + ORDER_TIMEOUT_MS)
  if (!recorded.ok) return
  const result = await options.hosts.startUpkeep({ host, wave, fence: options.fence }, clock.now() + ORDER_TIMEOUT_MS)
  logger.info('upkeep.order', { wave, host, fence: options.fence, outcome: result.ok ? 'ordered' : result.val.kind })
  if (!result.ok && result.val.kind === 'unknown-host') await recordDone(options, wave, host)
  // An order without an answer counts as given until the host is back or it turns out that it never left.
  if (!result.ok && result.val.kind === 'refused') await log.propose({ kind: 'wave.withdraw', wave, host }, clock.now() + ORDER_TIMEOUT_MS)
  lives.forEach(({ life }) => closing.delete(life.id))
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
