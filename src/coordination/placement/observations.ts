import { recordAssignment, removeTask, setAllocation } from './allocations.js'
import { recordLoss, recordResult } from './health.js'
import { recordLatency } from './neighbours.js'
import { createTaskRecord, createWorkerRecord, type TaskRecord } from './records.js'
import { computeMargin } from './sizes.js'
import { getMember, updateCapacities, type PlacementState } from './state.js'
import type { Observation, PlacementTask } from './types.js'

/** Time for which no task is placed on a worker after its guard (its own overload protection) became active or it refused a task. */
const GUARD_PAUSE_MS = 10_000
/** Quantile of the latencies in the reports of executors. */
const REPORTED_QUANTILE = 0.99
/** Time for which the memory that a refusal has shown to be unavailable is not used for placements. */
const UNAVAILABLE_MS = 30_000
/** Usage reports this soon after a change of the CPU share may still show the old share. */
const THROTTLE_SETTLING_MS = 2000
const USAGE_SMOOTHING_GAIN = 0.3
/** Usage reports of a task before its allocation may be lowered, because usage may still grow at first. */
const MIN_REPORTS_TO_LOWER = 3
/** An allocation is lowered only below this part of its value, so that noise does not change the totals with each report. */
const LOWERING_THRESHOLD = 0.98

type Handler<K extends Observation['kind']> = (state: PlacementState, observation: Extract<Observation, { kind: K }>, now: number) => void

const handlers: { [K in Observation['kind']]: Handler<K> } = {
  policy: (state, { preset, revision, policy, isolated }, now) => {
    state.policy = { preset, revision, policy, isolated, since: now }
    state.workerList.forEach((worker) => { worker.forecasts = undefined })
  },
  member: (state, { member, quota, weight }) => {
    Object.assign(getMember(state, member), { quota, weight })
  },
  service: (state, { service, member, latencyMs, quantile }) => {
    state.services.set(service, { id: service, member, latencyMs: computeP99Objective(latencyMs, quantile) })
  },
  'worker-up': (state, { worker, rack, capacity }) => {
    const workerRecord = state.workers.get(worker)
    if (workerRecord === undefined) state.workers.set(worker, createWorkerRecord(worker, rack, capacity))
    else Object.assign(workerRecord, { rack, capacity, up: true, draining: false })
    updateCapacities(state)
  },
  'worker-down': (state, { worker }, now) => {
    const workerRecord = state.workers.get(worker)
    if (workerRecord === undefined) return
    recordLoss(workerRecord, now)
    state.workersToCheck.add(workerRecord)
    workerRecord.up = false
    workerRecord.guardActive = false
  },
  'worker-drain': (state, { worker }) => {
    const workerRecord = state.workers.get(worker)
    if (workerRecord !== undefined) workerRecord.draining = true
  },
  'task-queued': (state, { task }, now) => {
    if (state.tasks.has(task.id)) return
    const record = createTaskRecord(task, now)
    state.tasks.set(task.id, record)
    state.queue.add(record)
  },
  'task-cancelled': (state, { task }, now) => {
    const record = state.tasks.get(task)
    if (record === undefined) return
    if (record.state === 'queued') removeTask(state, record, now)
    else record.state = 'stopping'
  },
  'task-started': (state, { task, worker }, now) => recordStart(state, task, worker, now),
  'task-stopping': (state, { task }) => {
    const record = state.tasks.get(task)
    if (record !== undefined && record.state !== 'queued') record.state = 'stopping'
  },
  'task-checkpointed': (state, { task, worker }) => {
    const record = state.tasks.get(task)
    if (record?.worker?.id === worker && record.move !== undefined) record.move.checkpointed = true
  },
  'task-ended': recordEnd,
  usage: recordUsage,
  latency: recordLatency,
  guard: (state, { worker, active }, now) => {
    const workerRecord = state.workers.get(worker)
    if (workerRecord === undefined) return
    workerRecord.guardActive = active
    if (active) workerRecord.pausedUntil = now + GUARD_PAUSE_MS
  }
}

export function handleObservation (state: PlacementState, observation: Observation, now: number): void {
  const handler = handlers[observation.kind] as (state: PlacementState, observation: Observation, now: number) => void
  handler(state, observation, now)
}

/** Confirms a start, or assigns a task that was found running after a takeover. */
function recordStart (state: PlacementState, task: PlacementTask, workerId: string, now: number): void {
  const worker = state.workers.get(workerId)
  if (worker === undefined) return
  const record = state.tasks.get(task.id) ?? createTaskRecord(task, now)
  if (record.worker === undefined) {
    state.tasks.set(task.id, record)
    recordAssignment(state, record, worker, state.sizes.estimate(task, state.policy.policy.safetyMargin).size, now)
  }
  if (record.worker === worker && record.state === 'starting') record.state = 'running'
}

function recordEnd (state: PlacementState, { task, worker: workerId, result }: Extract<Observation, { kind: 'task-ended' }>, now: number): void {
  const record = state.tasks.get(task)
  const worker = record?.worker
  // A report by a worker that does not hold the task concerns an earlier attempt.
  if (record === undefined || worker?.id !== workerId) return
  removeTask(state, record, now)
  recordResult(state, record, worker, result, now)
  if (result === 'succeeded' && record.share === 1) state.sizes.recordRun(record.task, now - record.startedAt, now)
  if (result !== 'refused') return
  // A refusal shows that the worker has less free memory than its allocations leave.
  if (now >= worker.unavailableUntil) worker.unavailableMemoryBytes = 0
  worker.unavailableMemoryBytes = Math.max(worker.unavailableMemoryBytes, worker.capacity.memoryBytes - worker.held.memoryBytes - record.allocation.memoryBytes * 0.9)
  worker.unavailableUntil = now + UNAVAILABLE_MS
  worker.pausedUntil = now + GUARD_PAUSE_MS
}

/**
 * The p99 that is expected when the given quantile of the latencies is `latencyMs`, for an exponential tail: executors report
 * p99 only, whatever the quantile of the objective.
 */
function computeP99Objective (latencyMs: number, quantile: number): number {
  return latencyMs * Math.log(1 - REPORTED_QUANTILE) / Math.log(1 - quantile)
}

/** Updates the size of the class by a usage report, and raises or lowers the allocation of the task to its measured usage with margin. */
function recordUsage (state: PlacementState, { task, worker: workerId, cores, memoryBytes, measuredAt }: Extract<Observation, { kind: 'usage' }>, now: number): void {
  const record = state.tasks.get(task)
  if (record?.worker?.id !== workerId || measuredAt > now || measuredAt <= record.lastReportAt || measuredAt < record.startedAt) return
  // A throttled task uses fewer cores than it needs, so its report never lowers the estimate.
  const throttled = record.share < 1 || measuredAt < record.shareChangedAt + THROTTLE_SETTLING_MS
  const needed = throttled ? Math.max(cores, record.reports > 0 ? record.observed.cores : record.allocation.cores) : cores
  const isFirstReport = record.reports === 0
  record.reports += 1
  record.lastReportAt = measuredAt
  record.observed.cores = isFirstReport ? needed : record.observed.cores + USAGE_SMOOTHING_GAIN * (needed - record.observed.cores)
  record.observed.memoryBytes = Math.max(record.observed.memoryBytes, memoryBytes)
  if (!throttled) state.sizes.recordUsage(record.task, { cores, memoryBytes, accelerators: 0 }, isFirstReport, now)
  updateAllocation(state, record)
}

function updateAllocation (state: PlacementState, record: TaskRecord): void {
  const { allocation, observed } = record
  const measuredTasks = state.sizes.find(record.task)?.measuredTasks ?? 0
  const margin = 1 + computeMargin(state.policy.policy.safetyMargin, measuredTasks)
  const wanted = { cores: observed.cores * margin, memoryBytes: observed.memoryBytes * margin }
  const canLower = record.reports >= MIN_REPORTS_TO_LOWER
  const cores = chooseAllocation(allocation.cores, observed.cores, wanted.cores, canLower)
  const memoryBytes = chooseAllocation(allocation.memoryBytes, observed.memoryBytes, wanted.memoryBytes, canLower)
  if (cores !== allocation.cores || memoryBytes !== allocation.memoryBytes) setAllocation(state, record, { cores, memoryBytes, accelerators: allocation.accelerators })
}

/** Raises an allocation below the observed usage; lowers one only if allowed and by more than the threshold. */
function chooseAllocation (allocated: number, observed: number, wanted: number, canLower: boolean): number {
  if (observed > allocated) return wanted
  return canLower && wanted < allocated * LOWERING_THRESHOLD ? wanted : allocated
}
