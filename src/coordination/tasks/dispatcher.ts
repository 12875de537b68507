import type { Clock, Logger } from '../../common/index.js'
import type { ReplicatedLog, Worker } from '../../state/index.js'
import type { Decision, EvictionCause, Observation, Placement } from '../placement/types.js'
import type { Attempts } from './attemptTypes.js'
import type { ExchangeReply } from './exchange.js'
import { applyRecord } from './journal.js'
import type { JournalWriter } from './journalWriter.js'
import type { PolicyInForce } from './activeTerm.js'
import { addResources, findExcess, type TaskFilter, type TaskSpec, type TaskState, type TaskTable, type TaskView } from './table.js'

/** A worker that has answered this coordinator and is not lost. */
export interface KnownWorker extends Worker { incarnation: string, leaving: boolean }

export interface DispatcherOptions {
  clock: Clock
  logger: Logger
  log: ReplicatedLog
  table: TaskTable
  attempts: Attempts
  placement: Placement
  writer: JournalWriter
  getPolicy (): PolicyInForce
  isHeld (spec: TaskSpec): boolean
  findWorker (id: string): KnownWorker | undefined
  onEviction (eviction: Eviction): void
}

/** An eviction at the time of its decision, for the reports. */
export interface Eviction {
  task: string
  member: string
  worker: string
  cause: EvictionCause
  causingMember: string
  causingTask: string
  /** Monotonic ms. */
  at: number
}

/** Passes observations to the placement and applies its decisions. */
export interface Dispatcher {
  run (): void
  /** Passes the task to the placement in the first run in which the task may be started. */
  enqueue (spec: TaskSpec): void
  addWorker (worker: Worker): void
  removeWorker (id: string): void
  drainWorker (id: string, active: boolean): void
  observeReply (worker: string, reply: ExchangeReply): void
  listTasks (filter: TaskFilter): TaskView[]
  getTask (id: string): TaskView | undefined
}

/** Why a decision of the placement is not applied. */
type DropReason =
  | 'task-not-queued' | 'task-held' | 'task-not-running' | 'worker-gone' | 'worker-leaving'
  | 'capacity-taken' | 'journal-not-writable' | 'second-copy-needed'
type DecisionHandlers = { [K in Decision['kind']]: (decision: Extract<Decision, { kind: K }>) => DropReason | undefined | void }

export function createDispatcher (options: DispatcherOptions): Dispatcher {
  const { clock, logger, table, attempts, placement, writer } = options
  const { journal } = table
  const guardStates = new Map<string, boolean>()
  const leaving = new Set<string>()
  // Queued tasks that may not be started yet and are therefore still unknown to the placement.
  const pendingEnqueue = new Set<string>()
  let policyKey = ''

  const observePolicy = (): void => {
    const { preset, revision, policy, isolated } = options.getPolicy()
    const key = `${preset} ${revision} ${isolated}`
    if (key === policyKey) return
    policyKey = key
    placement.observe({ kind: 'policy', preset, revision, policy, isolated }, clock.now())
  }

  const isQueued = (spec: TaskSpec): boolean => {
    const entry = journal.entries.get(spec.task.id)
    return entry === undefined || entry.state === 'idle'
  }

  const checkStart = ({ task, worker, size }: Extract<Decision, { kind: 'start' }>): DropReason | undefined => {
    const spec = table.specs.get(task)
    const target = options.findWorker(worker)
    if (spec === undefined || spec.cancelled || !isQueued(spec)) return 'task-not-queued'
    if (options.isHeld(spec)) return 'task-held'
    if (target === undefined) return 'worker-gone'
    if (target.leaving || journal.draining.has(worker)) return 'worker-leaving'
    // Final check, independent of the placement's own accounts: the attempts on a worker never get more than its capacity.
    if (findExcess(addResources(attempts.sumAllocated(worker), size), target.capacity) !== undefined) return 'capacity-taken'
    if (!writer.isWritable()) return 'journal-not-writable'
    return !spec.task.idempotent && !writer.isDurable() ? 'second-copy-needed' : undefined
  }

  const findRunning = (task: string, worker: string) => {
    const entry = journal.entries.get(task)
    return entry?.worker === worker && (entry.state === 'started' || entry.state === 'stopping') ? entry : undefined
  }

  const handlers: DecisionHandlers = {
    start: (decision) => {
      const reason = checkStart(decision)
      const spec = table.specs.get(decision.task)
      const worker = options.findWorker(decision.worker)
      if (reason === undefined && spec !== undefined && worker !== undefined) attempts.start(spec, worker.id, worker.incarnation, decision.size)
      return reason
    },
    throttle: ({ task, worker, share }) => {
      if (findRunning(task, worker) === undefined) return 'task-not-running'
      attempts.throttle(task, share)
    },
    checkpoint: ({ task, worker }) => {
      if (findRunning(task, worker) === undefined) return 'task-not-running'
      attempts.checkpoint(task)
    },
    stop: ({ task, worker, cause, causingMember, causingTask }) => {
      const entry = findRunning(task, worker)
      if (entry === undefined) return 'task-not-running'
      if (entry.state === 'stopping') return 'task-not-running'
      const member = table.specs.get(task)?.task.member ?? ''
      logger.info('task-evict', { task, member, worker, cause, causingMember, causingTask })
      options.onEviction({ task, member, worker, cause, causingMember, causingTask, at: clock.now() })
      attempts.evict(entry)
    },
    refuse: ({ task }) => {
      const spec = table.specs.get(task)
      if (spec === undefined || !isQueued(spec) || options.isHeld(spec)) return 'task-not-queued'
      attempts.end(spec, 'refused')
    },
    // Only logged: the placement itself starts no tasks on a quarantined worker.
    quarantine: ({ worker }) => { logger.warn('worker-quarantine', { worker }) },
    probe: ({ worker }) => { logger.info('worker-probe', { worker }) }
  }

  const run = (): void => {
    observePolicy()
    enqueueEligible()
    placement.decide(clock.now()).forEach((decision) => {
      const handler = handlers[decision.kind] as (decision: Decision) => DropReason | undefined
      const reason = handler(decision)
      if (reason !== undefined) reportDroppedStart(decision, reason)
    })
  }

  /** Tells the placement the true state of the task, since it counts every start that it decided as placed. */
  const reportDroppedStart = (decision: Decision, reason: DropReason): void => {
    if (decision.kind !== 'start') return
    const spec = table.specs.get(decision.task)
    logger.info('decision-dropped', { task: decision.task, worker: decision.worker, reason })
    placement.observe(describeForPlacement(decision.task, spec), clock.now())
  }

  const describeForPlacement = (task: string, spec: TaskSpec | undefined): Observation => {
    const worker = journal.entries.get(task)?.worker
    if (spec !== undefined && worker !== undefined) return { kind: 'task-started', task: spec.task, worker }
    const isWaiting = spec !== undefined && !spec.cancelled && isQueued(spec)
    return isWaiting ? { kind: 'task-queued', task: spec.task } : { kind: 'task-cancelled', task }
  }

  const enqueueEligible = (): void => {
    pendingEnqueue.forEach((id) => {
      const spec = table.specs.get(id)
      const isWaiting = spec !== undefined && !spec.cancelled && isQueued(spec)
      if (isWaiting && (clock.now() < spec.notBefore || options.isHeld(spec))) return
      pendingEnqueue.delete(id)
      if (isWaiting) placement.observe({ kind: 'task-queued', task: spec.task }, clock.now())
    })
  }

  const drainWorker = (id: string, active: boolean): void => {
    if (journal.draining.has(id) === active) return
    const worker = options.findWorker(id)
    if (active) placement.observe({ kind: 'worker-drain', worker: id }, clock.now())
    else if (worker !== undefined) placement.observe({ ...worker, kind: 'worker-up', worker: id }, clock.now())
    const record = { kind: 'drain' as const, worker: id, active }
    applyRecord(journal, record)
    writer.append([record])
  }

  const observeReply = (worker: string, reply: ExchangeReply): void => {
    const now = clock.now()
    reply.usage.forEach(({ task, cores, memoryBytes, measuredAgoMs }) => {
      placement.observe({ kind: 'usage', task, worker, cores, memoryBytes, measuredAt: now - measuredAgoMs }, now)
    })
    reply.latency.forEach(({ service, p99Ms, count, measuredAgoMs }) => {
      placement.observe({ kind: 'latency', service, worker, p99Ms, count, measuredAt: now - measuredAgoMs }, now)
    })
    if ((guardStates.get(worker) ?? false) !== reply.guardActive) placement.observe({ kind: 'guard', worker, active: reply.guardActive }, now)
    guardStates.set(worker, reply.guardActive)
    if (reply.leaving && !leaving.has(worker)) {
      leaving.add(worker)
      placement.observe({ kind: 'worker-drain', worker }, now)
    }
    if (!reply.leaving) leaving.delete(worker)
  }

  const describeTask = (id: string): TaskView | undefined => {
    const spec = table.specs.get(id)
    const entry = journal.entries.get(id)
    if (spec === undefined && entry === undefined) return undefined
    const state = attempts.describeState(id)
    const isHeld = state === 'queued' && spec !== undefined && options.isHeld(spec)
    return {
      id,
      job: spec?.task.job ?? id.slice(0, id.lastIndexOf('/')),
      state: isHeld ? 'held' : state,
      attempt: entry?.attempt ?? 0,
      worker: entry?.worker,
      checkpoint: entry?.checkpoint,
      service: spec?.task.service
    }
  }

  const hasState = (view: TaskView, state: TaskState | undefined): boolean => state === undefined || view.state === state

  return {
    run,
    enqueue: (spec) => { pendingEnqueue.add(spec.task.id) },
    drainWorker,
    observeReply,
    getTask: describeTask,
    addWorker: ({ id, rack, availabilityZone, capacity }) => {
      placement.observe({ kind: 'worker-up', worker: id, rack, availabilityZone, capacity }, clock.now())
      if (journal.draining.has(id)) placement.observe({ kind: 'worker-drain', worker: id }, clock.now())
    },
    removeWorker: (id) => {
      guardStates.delete(id)
      leaving.delete(id)
      placement.observe({ kind: 'worker-down', worker: id }, clock.now())
    },
    listTasks: (filter) => [...new Set([...table.specs.keys(), ...journal.entries.keys()])]
      .flatMap((id) => describeTask(id) ?? [])
      .filter((view) => (filter.job === undefined || view.job === filter.job) &&
        (filter.worker === undefined || view.worker === filter.worker) && hasState(view, filter.state))
  }
}
