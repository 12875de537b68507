import { listUnfinishedTasks, type JobRecord, type Resources, type Service, type TaskOutcome } from '../../state/index.js'
import type { PlacementTask } from '../placement/types.js'
import type { JournalEntry, JournalState } from './journal.js'

/** A task that this zone owns and that has no outcome in the replicated state yet. */
export interface TaskSpec {
  task: PlacementTask
  /** Index within the job; for a service replica, index within the zone. */
  number: number
  cancelled: boolean
  command: string
  /** Earliest start after a failed or refused attempt, monotonic ms. */
  notBefore: number
  /** Applied index of the replicated log when this host first saw the task. */
  seenAtIndex: number
}

/**
 * `held`: not started, because an attempt that this host does not know may be running or may have ended the task.
 * `ending`: the outcome is not stored safely yet, so it is not reported.
 */
export type TaskState = 'queued' | 'held' | 'starting' | 'running' | 'evicting' | 'ending' | TaskOutcome

export interface TaskView {
  id: string
  job: string
  state: TaskState
  attempt: number
  worker: string | undefined
  checkpoint: string | undefined
  service: string | undefined
}

export interface TaskFilter { job?: string, worker?: string, state?: TaskState }

export interface TaskTable {
  readonly journal: JournalState
  readonly specs: Map<string, TaskSpec>
  /** Entries with an active attempt on the worker. */
  listOn (worker: string): JournalEntry[]
  /** Workers with at least one active attempt. */
  listWorkers (): string[]
  /** Updates the lists of `listOn`; called after a record of the task was applied. */
  update (task: string): void
  /** Aligns the specs of a job with its record in the replicated state and returns those that changed. */
  syncJob (job: string, record: JobRecord | undefined, index: number): { added: TaskSpec[], cancelled: TaskSpec[], removed: TaskSpec[] }
  syncService (service: string, current: Service | undefined, index: number): { added: TaskSpec[], cancelled: TaskSpec[], removed: TaskSpec[] }
}

const SERVICE_PREFIX = 'service:'

export function createTaskTable (journal: JournalState, availabilityZone: string): TaskTable {
  const specs = new Map<string, TaskSpec>()
  const groups = new Map<string, Map<string, TaskSpec>>()
  const onWorker = new Map<string, Set<string>>()
  const placed = new Map<string, string>()

  const update = (task: string): void => {
    const worker = journal.entries.get(task)?.worker
    const previous = placed.get(task)
    if (previous === worker) return
    if (previous !== undefined) onWorker.get(previous)?.delete(task)
    if (worker === undefined) {
      placed.delete(task)
      return
    }
    placed.set(task, worker)
    const set = onWorker.get(worker) ?? new Set()
    onWorker.set(worker, set.add(task))
  }

  const syncGroup = (group: string, wanted: TaskSpec[], cancelAll: boolean): { added: TaskSpec[], cancelled: TaskSpec[], removed: TaskSpec[] } => {
    const known = groups.get(group) ?? new Map<string, TaskSpec>()
    const wantedIds = new Set(wanted.map((spec) => spec.task.id))
    const added = wanted.filter((spec) => !known.has(spec.task.id))
    const removed = [...known.values()].filter((spec) => !wantedIds.has(spec.task.id))
    added.forEach((spec) => {
      known.set(spec.task.id, spec)
      specs.set(spec.task.id, spec)
    })
    removed.forEach((spec) => {
      known.delete(spec.task.id)
      specs.delete(spec.task.id)
    })
    const cancelled = cancelAll ? [...known.values()].filter((spec) => !spec.cancelled) : []
    cancelled.forEach((spec) => { spec.cancelled = true })
    if (known.size === 0) groups.delete(group)
    else groups.set(group, known)
    return { added, cancelled, removed }
  }

  journal.entries.forEach((entry) => update(entry.task))

  return {
    journal,
    specs,
    update,
    listOn: (worker) => [...onWorker.get(worker) ?? []].flatMap((task) => journal.entries.get(task) ?? []),
    listWorkers: () => [...onWorker].filter(([, tasks]) => tasks.size > 0).map(([worker]) => worker),
    syncJob: (job, record, index) => {
      const open = record === undefined ? [] : listUnfinishedTasks(record, availabilityZone)
      const wanted = open.map((number) => specs.get(`${job}/${number}`) ?? createBatchSpec(record as JobRecord, number, index))
      return syncGroup(job, wanted, record?.cancelled ?? false)
    },
    syncService: (service, current, index) => {
      const count = current?.replicasPerZone ?? 0
      const wanted = current === undefined ? [] : Array.from({ length: count }, (_, number) => createReplicaSpec(current, number, index))
      return syncGroup(SERVICE_PREFIX + service, wanted, false)
    }
  }
}

export function isReplica (task: string): boolean {
  return task.startsWith(SERVICE_PREFIX)
}

/** Splits the id of a batch task, `job/number`. */
export function parseTaskId (id: string): { job: string, number: number } {
  const slash = id.lastIndexOf('/')
  return { job: id.slice(0, slash), number: Number(id.slice(slash + 1)) }
}

export function addResources (left: Resources, right: Resources): Resources {
  return {
    cores: left.cores + right.cores,
    memoryBytes: left.memoryBytes + right.memoryBytes,
    accelerators: left.accelerators + right.accelerators
  }
}

/** The first dimension in which a size exceeds a limit, if any. A relative tolerance allows for rounding in sums of fractions. */
export function findExcess (size: Resources, limit: Resources): keyof Resources | undefined {
  const dimensions = ['cores', 'memoryBytes', 'accelerators'] as const
  return dimensions.find((name) => size[name] > limit[name] * (1 + 1e-9))
}

function createBatchSpec ({ job }: JobRecord, number: number, index: number): TaskSpec {
  const { id, member, jobClass, size, expectedRunMs, urgent, idempotent, command } = job
  const task = { id: `${id}/${number}`, job: id, member, jobClass, size, expectedRunMs, urgent, idempotent, resumed: false }
  return { task, number, cancelled: false, command, notBefore: 0, seenAtIndex: index }
}

function createReplicaSpec ({ id, member, size }: Service, number: number, index: number): TaskSpec {
  const task = {
    id: `${SERVICE_PREFIX}${id}/${number}`, job: id, member, jobClass: id, service: id, size, expectedRunMs: Infinity, urgent: true, idempotent: true, resumed: false
  }
  return { task, number, cancelled: false, command: '', notBefore: 0, seenAtIndex: index }
}
