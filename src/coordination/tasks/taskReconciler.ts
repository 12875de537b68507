import { runSupervised, type Clock, type Logger } from '../../common/index.js'
import { findOwningZone, type ReplicatedLog, type Entry, type Resources, type Worker } from '../../state/index.js'
import type { Placement } from '../placement/types.js'
import type { Attempts } from './attemptTypes.js'
import type { JournalRecord } from './journal.js'
import { WORKER_LOST_MS } from './leases.js'
import { isReplica, parseTaskId, type TaskSpec, type TaskTable } from './table.js'

/** The local replica of the log counts as current for this long after a successful read barrier, ms. */
const LOG_CURRENT_MS = 2_000
const READ_INTERVAL_MS = 500
/** The subscription does not deliver entries that arrive in a snapshot of the log, so the whole state is compared at this interval, ms. */
const FULL_COMPARISON_INTERVAL_MS = 10_000

export interface TaskReconcilerOptions {
  availabilityZone: string
  log: ReplicatedLog
  table: TaskTable
  attempts: Attempts
  placement: Placement
  clock: Clock
  logger: Logger
  signal: AbortSignal
  /** Every registered worker has answered this coordinator since it became active. */
  haveAllWorkersReported (): boolean
  record (records: JournalRecord[]): void
  onChange (): void
  /** Passes the task to the placement as soon as it may be started. */
  enqueue (spec: TaskSpec): void
}

/** Keeps the task table in line with the jobs and services of the replicated state, and decides which tasks may be started. */
export interface TaskReconciler {
  /** Applies changes of the replicated state since the last call. */
  update (): void
  /** The task must not be started yet: an attempt that this host does not know may be running or may have ended the task. */
  isHeld (spec: TaskSpec): boolean
  isLogCurrent (): boolean
}

export function createTaskReconciler (options: TaskReconcilerOptions): TaskReconciler {
  const { log, table, attempts, placement, clock, signal, availabilityZone } = options
  const changedJobs = new Set<string>()
  const changedServices = new Set<string>()
  // Cancelled tasks that are held, so their cancellation waits until it is known whether they run or have ended.
  const deferredCancellations = new Set<TaskSpec>()
  let fullComparisonAt = -Infinity
  let logReadAt = -Infinity
  // When this coordinator became active. Workers report to it only from then on, so the wait for unreported attempts starts here.
  let startedAt = Infinity
  // After an incomplete recovery: an earlier coordinator may have started tasks that were created up to this log index.
  let recoveryIndex: number | undefined

  const collectChanges = (entry: Entry): void => {
    if (entry.kind === 'job.create') changedJobs.add(entry.job.id)
    if (entry.kind === 'job.cancel' || entry.kind === 'job.resolve') changedJobs.add(entry.job)
    if (entry.kind === 'job.summary') entry.outcomes.forEach(([job]) => changedJobs.add(job))
    if (entry.kind === 'zone.transfer') entry.tasks.forEach(([job]) => changedJobs.add(job))
    if (entry.kind === 'service.put') changedServices.add(entry.service.id)
    if (entry.kind === 'service.remove') changedServices.add(entry.service)
    if (entry.kind === 'member.put') observeMember(entry.member.id)
    if (entry.kind === 'worker.register' || entry.kind === 'worker.remove') Object.keys(log.state().members).forEach(observeMember)
    if (changedJobs.size + changedServices.size > 0) options.onChange()
  }

  const observeMember = (id: string): void => {
    const member = log.state().members[id]
    if (member === undefined) return
    const quota = computeZoneQuota(member.quota, Object.values(log.state().workers), availabilityZone)
    placement.observe({ kind: 'member', member: id, quota, weight: member.weight }, clock.now())
  }

  const applyChanges = ({ added, cancelled, removed }: ReturnType<TaskTable['syncJob']>): void => {
    removed.forEach((spec) => attempts.abandon(spec))
    added.forEach((spec) => {
      const entry = table.journal.entries.get(spec.task.id)
      if (entry?.checkpoint !== undefined) spec.task = { ...spec.task, resumed: true }
      const isPlaced = entry !== undefined && (entry.state === 'started' || entry.state === 'stopping')
      if (isPlaced && entry.worker !== undefined) placement.observe({ kind: 'task-started', task: spec.task, worker: entry.worker }, clock.now())
      else if (entry?.state !== 'final') options.enqueue(spec)
      if (entry?.state === 'stopping') placement.observe({ kind: 'task-stopping', task: spec.task.id }, clock.now())
    })
    cancelled.forEach((spec) => deferredCancellations.add(spec))
  }

  const markAllChanged = (): void => {
    const state = log.state()
    fullComparisonAt = clock.now()
    Object.keys(state.members).forEach(observeMember)
    Object.keys(state.services).forEach((id) => changedServices.add(id))
    Object.keys(state.jobs).forEach((id) => changedJobs.add(id))
    table.specs.forEach((spec) => (isReplica(spec.task.id) ? changedServices : changedJobs).add(spec.task.job))
  }

  const update = (): void => {
    if (startedAt === Infinity) startedAt = clock.now()
    if (clock.now() >= fullComparisonAt + FULL_COMPARISON_INTERVAL_MS) markAllChanged()
    const state = log.state()
    const index = log.status().appliedIndex
    changedJobs.forEach((job) => applyChanges(table.syncJob(job, state.jobs[job], index)))
    changedServices.forEach((id) => {
      const service = state.services[id]
      if (service !== undefined) {
        const { latencyMs, quantile } = service.objective
        placement.observe({ kind: 'service', service: id, member: service.member, latencyMs, quantile }, clock.now())
      }
      applyChanges(table.syncService(id, service, index))
    })
    changedJobs.clear()
    changedServices.clear()
    if (table.journal.incomplete) finishRecovery()
    cancelDeferred()
  }

  const cancelDeferred = (): void => {
    deferredCancellations.forEach((spec) => {
      const entry = table.journal.entries.get(spec.task.id)
      const isPlaced = entry !== undefined && entry.state !== 'idle'
      if (!isPlaced && isHeld(spec) && table.specs.has(spec.task.id)) return
      deferredCancellations.delete(spec)
      if (table.specs.has(spec.task.id)) attempts.cancel(spec)
    })
  }

  /**
   * Marks the journal as complete again once no earlier attempt can be running without a report. A non-idempotent task
   * without an attempt may have run before, so its outcome becomes `unknown`.
   */
  const finishRecovery = (): void => {
    const isOver = clock.now() > startedAt + WORKER_LOST_MS || (options.haveAllWorkersReported() && recoveryIndex !== undefined)
    if (!isOver || recoveryIndex === undefined) return
    const limit = recoveryIndex
    options.record([{ kind: 'incomplete', active: false }, { kind: 'settled', task: '', index: limit }])
    table.specs.forEach((spec) => {
      const entry = table.journal.entries.get(spec.task.id)
      const isUncertain = !spec.task.idempotent && spec.seenAtIndex <= limit && (entry === undefined || entry.state === 'idle')
      if (isUncertain) attempts.end(spec, 'unknown')
    })
  }

  const isHeld = (spec: TaskSpec): boolean => {
    const { journal } = table
    if (journal.entries.has(spec.task.id) && !journal.incomplete) return false
    if (!journal.incomplete) return log.status().appliedIndex < journal.settledIndex
    const mayRunUnreported = clock.now() <= startedAt + WORKER_LOST_MS && !(options.haveAllWorkersReported() && recoveryIndex !== undefined)
    return mayRunUnreported || !spec.task.idempotent
  }

  const readLog = async (): Promise<void> => {
    while (!signal.aborted) {
      const requestedAt = clock.now()
      const result = await log.readBarrier(requestedAt + READ_INTERVAL_MS)
      if (result.ok) {
        logReadAt = requestedAt
        // The barrier must start after the first comparison, so that tasks found by the comparison do not count as newer than the index.
        if (requestedAt > startedAt) recoveryIndex ??= result.val
      }
      await clock.sleep(READ_INTERVAL_MS, signal)
    }
  }

  const unsubscribe = log.subscribe(collectChanges)
  signal.addEventListener('abort', unsubscribe, { once: true })
  runSupervised({ clock, logger: options.logger, event: 'log-read-failed', isStopped: () => signal.aborted }, readLog)

  return { update, isHeld, isLogCurrent: () => clock.now() < logReadAt + LOG_CURRENT_MS }
}

/**
 * The zone's part of a member's quota. The quota holds for the whole deployment; each zone enforces a part in proportion to
 * the capacity of its workers.
 */
export function computeZoneQuota (quota: Resources, workers: Worker[], availabilityZone: string): Resources {
  const own = workers.filter((worker) => worker.availabilityZone === availabilityZone)
  const computeShare = (dimension: keyof Resources): number => {
    const total = workers.reduce((sum, { capacity }) => sum + capacity[dimension], 0)
    const held = own.reduce((sum, { capacity }) => sum + capacity[dimension], 0)
    return total === 0 ? quota[dimension] : quota[dimension] * held / total
  }
  return { cores: computeShare('cores'), memoryBytes: computeShare('memoryBytes'), accelerators: computeShare('accelerators') }
}

/**
 * Whether the replicated state does not need the task's outcome: it contains one, another zone owns the task, or the job
 * was removed. This host's replica may not contain a new job yet, so a missing job counts as removed only if the log is current.
 */
export function isSettled (log: ReplicatedLog, availabilityZone: string, task: string, isLogCurrent: boolean): boolean {
  const { job, number } = parseTaskId(task)
  const record = log.state().jobs[job]
  if (record === undefined) return isLogCurrent
  return record.outcomes[number] !== undefined || findOwningZone(record, number) !== availabilityZone
}
