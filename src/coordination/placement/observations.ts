import { recordAssignment, removeTask, setPromise } from './accounts.js'
import { recordLoss, recordResult } from './health.js'
import { recordLatency } from './neighbours.js'
import { createTaskRecord, createWorkerRecord, type TaskRecord } from './records.js'
import { createResources } from './resources.js'
import { computeMargin } from './sizes.js'
import { getMember, updateCapacities, type PlacementState } from './state.js'
import type { Observation, PlacementTask } from './types.js'

/** Time for which a worker receives nothing after its guard acted. */
const GUARD_PAUSE_MS = 10_000
/** Time for which room that a refusal has shown to be missing is not offered again. */
const WITHHELD_MS = 30_000
const THROTTLE_SETTLING_MS = 2000
const USAGE_GAIN = 0.3
/** Reports of a task before its promise may be lowered; usage may still grow before that. */
const REPORTS_TO_LOWER = 3
/** Smaller reductions are not worth new sums. */
const LOWERING_STEP = 0.98

type Handler<K extends Observation['kind']> = (state: PlacementState, observation: Extract<Observation, { kind: K }>, now: number) => void

const handlers: { [K in Observation['kind']]: Handler<K> } = {
  policy: (state, { preset, revision, policy, isolated }, now) => {
    state.policy = { preset, revision, policy, isolated, since: now }
    state.workerList.forEach((worker) => { worker.outlook = undefined })
  },
  member: (state, { member, quota, weight }) => {
    Object.assign(getMember(state, member), { quota, weight })
  },
  service: (state, { service, member, latencyMs }) => {
    state.services.set(service, { id: service, member, latencyMs })
  },
  'worker-up': (state, { worker, rack, capacity }) => {
    const known = state.workers.get(worker)
    if (known === undefined) state.workers.set(worker, createWorkerRecord(worker, rack, capacity))
    else Object.assign(known, { rack, capacity, up: true, draining: false })
    updateCapacities(state)
  },
  'worker-down': (state, { worker }, now) => {
    const known = state.workers.get(worker)
    if (known === undefined) return
    recordLoss(known, now)
    state.suspects.add(known)
    known.up = false
    known.guardActive = false
  },
  'worker-drain': (state, { worker }) => {
    const known = state.workers.get(worker)
    if (known !== undefined) known.draining = true
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
    const known = state.workers.get(worker)
    if (known === undefined) return
    known.guardActive = active
    if (active) known.guardDeadline = now + GUARD_PAUSE_MS
  }
}

export function handleObservation (state: PlacementState, observation: Observation, now: number): void {
  const handler = handlers[observation.kind] as (state: PlacementState, observation: Observation, now: number) => void
  handler(state, observation, now)
}

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
  // An end reported by a worker that does not hold the task belongs to an earlier attempt.
  if (record === undefined || worker?.id !== workerId) return
  removeTask(state, record, now)
  recordResult(state, record, worker, result, now)
  if (result === 'succeeded' && record.share === 1) state.sizes.recordRun(record.task, now - record.startedAt, now)
  if (result !== 'refused') return
  // The worker has less room than its promises say, at least for a while.
  if (now >= worker.withheldDeadline) worker.withheld = createResources()
  worker.withheld.memoryBytes = Math.max(worker.withheld.memoryBytes, worker.capacity.memoryBytes - worker.held.memoryBytes - record.promise.memoryBytes * 0.9)
  worker.withheldDeadline = now + WITHHELD_MS
  worker.guardDeadline = now + GUARD_PAUSE_MS
}

/** Learns from a report, raises a promise that is too small and lowers one that is too large. */
function recordUsage (state: PlacementState, { task, worker: workerId, cores, memoryBytes, measuredAt }: Extract<Observation, { kind: 'usage' }>, now: number): void {
  const record = state.tasks.get(task)
  if (record?.worker?.id !== workerId || measuredAt > now || measuredAt <= record.lastReportAt || measuredAt < record.startedAt) return
  // A throttled task shows less than it needs.
  const throttled = record.share < 1 || measuredAt < record.shareChangedAt + THROTTLE_SETTLING_MS
  const needed = throttled ? Math.max(cores, record.reports > 0 ? record.observed.cores : record.promise.cores) : cores
  const first = record.reports === 0
  record.reports += 1
  record.lastReportAt = measuredAt
  record.observed.cores = first ? needed : record.observed.cores + USAGE_GAIN * (needed - record.observed.cores)
  record.observed.memoryBytes = Math.max(record.observed.memoryBytes, memoryBytes)
  if (!throttled) state.sizes.recordUsage(record.task, { cores, memoryBytes, accelerators: 0 }, first, now)
  updatePromise(state, record)
}

function updatePromise (state: PlacementState, record: TaskRecord): void {
  const { promise, observed } = record
  const evidence = state.sizes.find(record.task)?.evidence ?? 0
  const margin = 1 + computeMargin(state.policy.policy.safetyMargin, evidence)
  const wanted = { cores: observed.cores * margin, memoryBytes: observed.memoryBytes * margin }
  const canLower = record.reports >= REPORTS_TO_LOWER
  const cores = chooseFigure(promise.cores, observed.cores, wanted.cores, canLower)
  const memoryBytes = chooseFigure(promise.memoryBytes, observed.memoryBytes, wanted.memoryBytes, canLower)
  if (cores !== promise.cores || memoryBytes !== promise.memoryBytes) setPromise(state, record, { cores, memoryBytes, accelerators: promise.accelerators })
}

/** Small differences are left alone, so that noise does not move the sums with each report. */
function chooseFigure (promised: number, observed: number, wanted: number, canLower: boolean): number {
  if (observed > promised) return wanted
  return canLower && wanted < promised * LOWERING_STEP ? wanted : promised
}
