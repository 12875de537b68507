import type { Clock } from '../common/index.js'
import { compareTerms } from '../coordination/authority/terms.js'
import type {
  AttemptOutcome, CoordinatorTerm, ExchangeReply, ExchangeRequest, FencingToken, InSyncSet, WorkerCommand
} from '../coordination/tasks/exchange.js'
import type { Resources } from '../state/schemas.js'

type StartCommand = Extract<WorkerCommand, { kind: 'start' }>

/** Behaviour of one attempt; with `runMs` of `Infinity` it runs until it is stopped. */
export interface RunPlan { runMs: number, result: 'succeeded' | 'failed', stopMs?: number }

/** Start or end of an attempt, with the time at which it happened, which may be earlier than the `update` that noticed it. */
export interface WorkerEvent {
  at: number
  kind: 'started' | 'ended'
  worker: string
  task: string
  attempt: number
  checkpoint: string | undefined
  result?: AttemptOutcome['result'] | 'crashed'
  size: Resources
}

export interface WorkerCoreOptions {
  id: string
  clock: Clock
  plan: (start: StartCommand) => RunPlan
  onEvent?: (event: WorkerEvent) => void
  /** Interval between measurements of the usage, ms. */
  measureMs?: number
}

/** A fake worker without sockets. It sets no timers: `handle` and `update` first advance its tasks to the present time. */
export interface WorkerCore {
  readonly id: string
  handle (request: ExchangeRequest): ExchangeReply
  update (): void
  /** Ends the process with all its tasks. */
  crash (): void
  /** Starts a new incarnation without any state of the previous one. */
  restart (): void
  isUp (): boolean
  setGuard (active: boolean): void
  setLeaving (): void
  /** Makes the task write a checkpoint without an order. */
  saveCheckpoint (task: string): void
  setLatency (service: string, p99Ms: number, count: number): void
  listTasks (): Array<{ task: string, attempt: number, cores: number }>
}

interface Running {
  start: StartCommand
  plan: RunPlan
  /** Work done up to `progressAt`, ms. */
  progress: number
  progressAt: number
  share: number
  leaseDeadline: number
  stopAt: number
  checkpoint: string | undefined
  checkpointOnStop: boolean
  changed: number
}

const KEPT_REPLIES = 64
const DEFAULT_STOP_MS = 200
const DEFAULT_MEASURE_MS = 5_000
/**
 * Time after a restart without lease grants, ms. The new process doesn't know to whom the previous one granted a lease, so it waits
 * until that lease has expired.
 */
const NO_GRANT_AFTER_RESTART_MS = 2_525

export function createWorkerCore (options: WorkerCoreOptions): WorkerCore {
  const { id, clock, plan, onEvent = () => {}, measureMs = DEFAULT_MEASURE_MS } = options
  let generation = 1
  let up = true
  let guardActive = false
  let leaving = false
  let latency: ExchangeReply['latency'] = []

  let tasks = new Map<string, Running>()
  let outcomes = new Map<string, { outcome: AttemptOutcome, changed: number }>()
  let tokens = new Map<string, FencingToken>()
  let leaseGrant: { term: CoordinatorTerm, deadline: number } | undefined
  let journal: { term: CoordinatorTerm, note: InSyncSet } | undefined
  let lastSequence = 0
  let replies: Array<{ reply: number, sentAt: number }> = []
  let replyCount = 0
  let measuredAt = clock.now()
  let measuredReply = 0
  let noGrantBefore = -Infinity

  const getIncarnation = (): string => `${id}-${generation}`

  const emitEvent = (running: Running, kind: WorkerEvent['kind'], at: number, result?: WorkerEvent['result']): void => {
    const { task, attempt, cores, memoryBytes, accelerators } = running.start
    const checkpoint = kind === 'started' ? running.start.checkpoint : running.checkpoint
    onEvent({ at, kind, worker: id, task, attempt, checkpoint, result, size: { cores, memoryBytes, accelerators } })
  }

  const recordOutcome = (outcome: AttemptOutcome): void => {
    outcomes.set(`${outcome.task}#${outcome.attempt}`, { outcome, changed: replyCount + 1 })
  }

  const endTask = (running: Running, at: number, result: 'succeeded' | 'failed' | 'stopped', message: string): void => {
    const { task, attempt, token } = running.start
    tasks.delete(task)
    recordOutcome({ task, attempt, token, result, message, checkpoint: running.checkpoint })
    emitEvent(running, 'ended', at, result)
  }

  const computeProgress = (running: Running, at: number): number => running.progress + Math.max(0, at - running.progressAt) * running.share

  const update = (): void => {
    if (!up) return
    const now = clock.now()
    const measured = now - measuredAt >= measureMs
    if (measured) {
      measuredAt = now
      measuredReply = replyCount + 1
    }
    // Iterates over a copy, because ended tasks are removed from the map.
    for (const running of [...tasks.values()]) {
      const finishAt = running.progressAt + (running.plan.runMs - running.progress) / running.share
      const endAt = Math.min(finishAt, running.stopAt, running.leaseDeadline)
      if (endAt > now) continue
      if (endAt === finishAt) endTask(running, endAt, running.plan.result, '')
      else if (endAt === running.stopAt) {
        if (running.checkpointOnStop) running.checkpoint = encodeCheckpoint(computeProgress(running, endAt))
        endTask(running, endAt, 'stopped', 'stopped on request')
      } else endTask(running, endAt, 'stopped', 'the lease ran out')
    }
  }

  const recordRefusal = (start: Pick<StartCommand, 'task' | 'attempt' | 'token'>, message: string): void => {
    const { task, attempt, token } = start
    recordOutcome({ task, attempt, token, result: 'refused', message })
  }

  const handlers: { [K in WorkerCommand['kind']]: (command: Extract<WorkerCommand, { kind: K }>, leaseDeadline: number) => void } = {
    start: (command, leaseDeadline) => {
      const known = tokens.get(command.task)
      if (known !== undefined && compareTokens(command.token, known) <= 0) return
      tokens.set(command.task, command.token)
      if (tasks.has(command.task)) return recordRefusal(command, 'an earlier attempt is still running')
      if (guardActive || leaving) return recordRefusal(command, leaving ? 'the worker is leaving' : 'the guard refuses new work')
      const progress = decodeCheckpoint(command.checkpoint)
      const running: Running = {
        start: command,
        plan: plan(command),
        progress,
        progressAt: clock.now(),
        share: 1,
        leaseDeadline,
        stopAt: Infinity,
        checkpoint: command.checkpoint,
        checkpointOnStop: false,
        changed: replyCount + 1
      }
      tasks.set(command.task, running)
      emitEvent(running, 'started', clock.now())
    },
    stop: (command) => {
      const running = findAttempt(command)
      if (running === undefined) return refuseLaterStart(command)
      if (running.stopAt !== Infinity) return
      running.stopAt = clock.now() + (running.plan.stopMs ?? DEFAULT_STOP_MS)
      running.checkpointOnStop = command.checkpoint
      running.changed = replyCount + 1
    },
    throttle: (command) => {
      const running = findAttempt(command)
      if (running === undefined) return
      running.progress = computeProgress(running, clock.now())
      running.progressAt = clock.now()
      running.share = Math.max(command.share, 1e-6)
      running.changed = replyCount + 1
    },
    checkpoint: (command) => {
      const running = findAttempt(command)
      if (running === undefined) return
      running.checkpoint = encodeCheckpoint(computeProgress(running, clock.now()))
      running.changed = replyCount + 1
    }
  }

  /** Confirms a stop that arrives before its start, and records its token so that the start has no effect any more. */
  const refuseLaterStart = (command: Extract<WorkerCommand, { kind: 'stop' }>): void => {
    const known = tokens.get(command.task)
    if (known !== undefined && compareTokens(command.token, known) <= 0) return
    tokens.set(command.task, command.token)
    recordRefusal(command, 'stopped before it was started')
  }

  const findAttempt = ({ task, attempt }: { task: string, attempt: number }): Running | undefined => {
    const running = tasks.get(task)
    return running?.start.attempt === attempt ? running : undefined
  }

  /** Grants the worker's lease to the term of the request. Only one term holds it; another one has to wait until it expires. */
  const grantLease = (request: ExchangeRequest): boolean => {
    const now = clock.now()
    if (now < noGrantBefore) return false
    const order = leaseGrant === undefined ? 1 : compareTerms(request.term, leaseGrant.term)
    if (leaseGrant !== undefined && order < 0) return false
    if (order === 0 && request.sequence <= lastSequence) return false
    // A host that enters its own next term gives up the lease of its previous one.
    const isOwn = order === 0 || leaseGrant?.term.host === request.term.host
    if (leaseGrant !== undefined && !isOwn && now < leaseGrant.deadline) return false
    leaseGrant = { term: request.term, deadline: now + request.grantMs }
    lastSequence = request.sequence
    if (request.journal !== undefined) journal = { term: request.term, note: request.journal }
    return true
  }

  const applyCommands = (request: ExchangeRequest): boolean => {
    const { seen } = request
    const base = seen?.incarnation === getIncarnation() ? replies.find((item) => item.reply === seen.reply)?.sentAt : undefined
    if (base === undefined || base + request.taskLeaseMs <= clock.now()) return false
    for (const running of tasks.values()) running.leaseDeadline = Math.max(running.leaseDeadline, base + request.taskLeaseMs)
    for (const command of request.commands) {
      const handler = handlers[command.kind] as (command: WorkerCommand, leaseDeadline: number) => void
      handler(command, base + request.taskLeaseMs)
    }
    for (const { task, attempt } of request.acknowledged) {
      outcomes.delete(`${task}#${attempt}`)
      if (!tasks.has(task) && !hasOutcome(task)) tokens.delete(task)
    }
    return true
  }

  const hasOutcome = (task: string): boolean => [...outcomes.values()].some(({ outcome }) => outcome.task === task)

  const findSeenReply = ({ seen }: ExchangeRequest): number => seen?.incarnation === getIncarnation() ? seen.reply : 0

  const describeJournal = (term: CoordinatorTerm): Pick<ExchangeReply, 'noted' | 'journal'> => {
    if (journal === undefined) return { noted: 0 }
    return compareTerms(journal.term, term) === 0 ? { noted: journal.note.version } : { noted: 0, journal }
  }

  const describeUsage = ({ start, share }: Running): ExchangeReply['usage'][number] =>
    ({ task: start.task, cores: start.cores * share, memoryBytes: start.memoryBytes, measuredAgoMs: clock.now() - measuredAt })

  const handle = (request: ExchangeRequest): ExchangeReply => {
    update()
    const granted = grantLease(request)
    const applied = granted && applyCommands(request)
    replyCount += 1
    replies = [...replies.slice(1 - KEPT_REPLIES), { reply: replyCount, sentAt: clock.now() }]
    const seen = findSeenReply(request)
    const full = seen === 0
    const running = [...tasks.values()]
    return {
      worker: id,
      incarnation: getIncarnation(),
      reply: replyCount,
      granted,
      applied,
      ...(granted || leaseGrant === undefined ? {} : { promised: leaseGrant.term }),
      ...describeJournal(request.term),
      full,
      tasks: running.filter((item) => full || item.changed > seen).map(describeTask),
      outcomes: [...outcomes.values()].filter((item) => full || item.changed > seen).map((item) => item.outcome),
      usage: full || measuredReply > seen ? running.map(describeUsage) : [],
      latency,
      guardActive,
      leaving
    }
  }

  return {
    id,
    handle,
    update,
    crash: () => {
      if (!up) return
      update()
      tasks.forEach((running) => emitEvent(running, 'ended', clock.now(), 'crashed'))
      up = false
    },
    restart: () => {
      up = true
      generation += 1
      tasks = new Map()
      outcomes = new Map()
      tokens = new Map()
      leaseGrant = undefined
      journal = undefined
      lastSequence = 0
      replies = []
      leaving = false
      latency = []
      measuredAt = clock.now()
      noGrantBefore = clock.now() + NO_GRANT_AFTER_RESTART_MS
    },
    isUp: () => up,
    saveCheckpoint: (task) => {
      const running = tasks.get(task)
      if (running !== undefined) handlers.checkpoint({ ...running.start, kind: 'checkpoint' }, 0)
    },
    setGuard: (active) => { guardActive = active },
    setLeaving: () => { leaving = true },
    setLatency: (service, p99Ms, count) => { latency = [{ service, p99Ms, count, measuredAgoMs: 0 }] },
    listTasks: () => [...tasks.values()].map(({ start }) => ({ task: start.task, attempt: start.attempt, cores: start.cores }))
  }
}

function describeTask ({ start, stopAt, share, checkpoint }: Running): ExchangeReply['tasks'][number] {
  const { task, attempt, token } = start
  const state = stopAt !== Infinity ? 'stopping' : share < 1 ? 'throttled' : 'running'
  return { task, attempt, token, state, ...(checkpoint === undefined ? {} : { checkpoint }) }
}

function compareTokens (left: FencingToken, right: FencingToken): number {
  return left.epoch !== right.epoch ? left.epoch - right.epoch : left.sequence - right.sequence
}

/** Encodes the checkpoint of a fake task, which is the work that it has done, in ms. */
export function encodeCheckpoint (progress: number): string {
  return `work:${progress}`
}

export function decodeCheckpoint (checkpoint: string | undefined): number {
  return checkpoint === undefined ? 0 : Number(checkpoint.slice('work:'.length))
}
