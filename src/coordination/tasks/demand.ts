import type { Clock } from '../../common/index.js'
import { findOwningZone, type ReplicatedLog, type Entry, type Resources, type Worker } from '../../state/index.js'
import type { Placement } from '../placement/types.js'
import type { Attempts } from './attemptTypes.js'
import type { JournalRecord } from './journal.js'
import { WORKER_LOST_MS } from './leases.js'
import { isReplica, parseTaskId, type TaskSpec, type TaskTable } from './table.js'

/** The log counts as current for this long after a successful read, ms. */
const LOG_CURRENT_MS = 2_000
const READ_INTERVAL_MS = 500
/** Entries that arrive with a snapshot of the log are not announced one by one, so everything is compared now and then. */
const FULL_SYNC_MS = 10_000

export interface DemandOptions {
  availabilityZone: string
  log: ReplicatedLog
  table: TaskTable
  attempts: Attempts
  placement: Placement
  clock: Clock
  signal: AbortSignal
  /** Every registered worker has reported to this coordinator. */
  areWorkersKnown (): boolean
  record (records: JournalRecord[]): void
  onChange (): void
  /** Tells the placement of a task as soon as it may be started. */
  announce (spec: TaskSpec): void
}

/** Which tasks there are, as the agreed state says, and which of them may be started. */
export interface Demand {
  /** Takes in what changed in the agreed state. */
  update (): void
  /** The task may be running somewhere, or it may have ended already, as far as this host can know. */
  isHeld (spec: TaskSpec): boolean
  isLogCurrent (): boolean
}

export function createDemand (options: DemandOptions): Demand {
  const { log, table, attempts, placement, clock, signal, availabilityZone } = options
  const jobs = new Set<string>()
  const services = new Set<string>()
  // Cancelled tasks that may be running or may have ended out of sight.
  const deferred = new Set<TaskSpec>()
  let fullSyncAt = -Infinity
  let readAt = -Infinity
  // When this coordinator began to act: only then do workers report to it, and the holds count from there.
  let startedAt = Infinity
  // In a rebuilt table: tasks up to this index may have been started by an earlier coordinator.
  let rebuiltIndex: number | undefined

  const noteEntry = (entry: Entry): void => {
    if (entry.kind === 'job.create') jobs.add(entry.job.id)
    if (entry.kind === 'job.cancel' || entry.kind === 'job.resolve') jobs.add(entry.job)
    if (entry.kind === 'job.summary') entry.outcomes.forEach(([job]) => jobs.add(job))
    if (entry.kind === 'zone.transfer') entry.tasks.forEach(([job]) => jobs.add(job))
    if (entry.kind === 'service.put') services.add(entry.service.id)
    if (entry.kind === 'service.remove') services.add(entry.service)
    if (entry.kind === 'member.put') observeMember(entry.member.id)
    if (entry.kind === 'worker.register' || entry.kind === 'worker.remove') Object.keys(log.state().members).forEach(observeMember)
    if (jobs.size + services.size > 0) options.onChange()
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
      else if (entry?.state !== 'final') options.announce(spec)
      if (entry?.state === 'stopping') placement.observe({ kind: 'task-stopping', task: spec.task.id }, clock.now())
    })
    cancelled.forEach((spec) => deferred.add(spec))
  }

  const syncAll = (): void => {
    const state = log.state()
    fullSyncAt = clock.now()
    Object.keys(state.members).forEach(observeMember)
    Object.keys(state.services).forEach((id) => services.add(id))
    Object.keys(state.jobs).forEach((id) => jobs.add(id))
    table.specs.forEach((spec) => (isReplica(spec.task.id) ? services : jobs).add(spec.task.job))
  }

  const update = (): void => {
    if (startedAt === Infinity) startedAt = clock.now()
    if (clock.now() >= fullSyncAt + FULL_SYNC_MS) syncAll()
    const state = log.state()
    const index = log.status().appliedIndex
    jobs.forEach((job) => applyChanges(table.syncJob(job, state.jobs[job], index)))
    services.forEach((id) => {
      const service = state.services[id]
      if (service !== undefined) {
        const { latencyMs, quantile } = service.objective
        placement.observe({ kind: 'service', service: id, member: service.member, latencyMs, quantile }, clock.now())
      }
      applyChanges(table.syncService(id, service, index))
    })
    jobs.clear()
    services.clear()
    if (table.journal.incomplete) resolveRebuilt()
    cancelDeferred()
  }

  const cancelDeferred = (): void => {
    deferred.forEach((spec) => {
      const entry = table.journal.entries.get(spec.task.id)
      const isPlaced = entry !== undefined && entry.state !== 'idle'
      if (!isPlaced && isHeld(spec) && table.specs.has(spec.task.id)) return
      deferred.delete(spec)
      if (table.specs.has(spec.task.id)) attempts.cancel(spec)
    })
  }

  /** Ends the uncertainty after a lost journal, when nothing that was started before can be running unseen. */
  const resolveRebuilt = (): void => {
    const isOver = clock.now() > startedAt + WORKER_LOST_MS || (options.areWorkersKnown() && rebuiltIndex !== undefined)
    if (!isOver || rebuiltIndex === undefined) return
    const limit = rebuiltIndex
    options.record([{ kind: 'incomplete', active: false }, { kind: 'settled', task: '', index: limit }])
    table.specs.forEach((spec) => {
      const entry = table.journal.entries.get(spec.task.id)
      const isUnclear = !spec.task.idempotent && spec.seenAtIndex <= limit && (entry === undefined || entry.state === 'idle')
      if (isUnclear) attempts.end(spec, 'unknown')
    })
  }

  const isHeld = (spec: TaskSpec): boolean => {
    const { journal } = table
    if (journal.entries.has(spec.task.id) && !journal.incomplete) return false
    if (!journal.incomplete) return log.status().appliedIndex < journal.settledIndex
    const mayRunUnseen = clock.now() <= startedAt + WORKER_LOST_MS && !(options.areWorkersKnown() && rebuiltIndex !== undefined)
    return mayRunUnseen || !spec.task.idempotent
  }

  const readLog = async (): Promise<void> => {
    while (!signal.aborted) {
      const askedAt = clock.now()
      const result = await log.readBarrier(askedAt + READ_INTERVAL_MS)
      if (result.ok) {
        readAt = askedAt
        // A task that is in the first comparison must not count as newer than the index.
        if (askedAt > startedAt) rebuiltIndex ??= result.val
      }
      await clock.sleep(READ_INTERVAL_MS, signal)
    }
  }

  const unsubscribe = log.subscribe(noteEntry)
  signal.addEventListener('abort', unsubscribe, { once: true })
  readLog()

  return { update, isHeld, isLogCurrent: () => clock.now() < readAt + LOG_CURRENT_MS }
}

/** A member's quota is for the whole deployment; a zone enforces its share by the capacity of its workers. */
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
 * Whether the agreed state has no use for the outcome: it holds one, another zone owns the task, or the job is gone.
 * A job that is not known may also be one that this host has not heard of yet, so that needs a current log.
 */
export function isSettled (log: ReplicatedLog, availabilityZone: string, task: string, isLogCurrent: boolean): boolean {
  const { job, number } = parseTaskId(task)
  const record = log.state().jobs[job]
  if (record === undefined) return isLogCurrent
  return record.outcomes[number] !== undefined || findOwningZone(record, number) !== availabilityZone
}
