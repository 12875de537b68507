import { recordAssignment } from './starts.js'
import { createTaskRecord, createWorkerRecord, setPromise, updateTotals, type TaskRecord, type WorkerRecord } from './records.js'
import { addResources } from './resources.js'
import { getMember, updateCapacities, type PlacementState } from './state.js'
import type { Observation } from './types.js'

/** Time for which a worker receives nothing after its guard acted. */
const GUARD_PAUSE_MS = 10_000

type Handler<K extends Observation['kind']> = (state: PlacementState, observation: Extract<Observation, { kind: K }>, now: number) => void

const handlers: { [K in Observation['kind']]: Handler<K> } = {
  policy: (state, { preset, revision, policy, isolated }, now) => {
    state.policy = { preset, revision, policy, isolated, since: now }
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
  'worker-down': (state, { worker }) => {
    const known = state.workers.get(worker)
    if (known !== undefined) known.up = false
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
  'task-cancelled': (state, { task }) => {
    const record = state.tasks.get(task)
    if (record === undefined) return
    if (record.state === 'queued') removeTask(state, record)
    else record.state = 'stopping'
  },
  'task-started': (state, { task, worker }, now) => recordStart(state, task, worker, now),
  'task-stopping': (state, { task }) => {
    const record = state.tasks.get(task)
    if (record !== undefined && record.state !== 'queued') record.state = 'stopping'
  },
  'task-ended': (state, { task, worker }) => {
    const record = state.tasks.get(task)
    // An end reported by a worker that does not hold the task belongs to an earlier attempt.
    if (record?.worker?.id === worker) removeTask(state, record)
  },
  usage: (state, { task, worker, cores, memoryBytes, measuredAt }, now) => {
    const record = state.tasks.get(task)
    if (record?.worker?.id !== worker || measuredAt > now || measuredAt < record.startedAt) return
    recordUsage(state, record, cores, memoryBytes, now)
  },
  latency: () => {},
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

function recordStart (state: PlacementState, task: Extract<Observation, { kind: 'task-started' }>['task'], workerId: string, now: number): void {
  const worker = state.workers.get(workerId)
  if (worker === undefined) return
  const known = state.tasks.get(task.id)
  const record = known ?? createTaskRecord(task, now)
  if (record.worker === undefined) {
    state.tasks.set(task.id, record)
    recordAssignment(state, record, worker, state.sizes.estimate(task, state.policy.policy.safetyMargin).size, now)
  }
  if (record.worker === worker && record.state === 'starting') record.state = 'running'
}

/** Raises a promise that turns out to be too small. */
function recordUsage (state: PlacementState, record: TaskRecord, cores: number, memoryBytes: number, now: number): void {
  const usage = { cores, memoryBytes, accelerators: record.promise.accelerators }
  state.sizes.recordUsage(record.task, usage, record.reports === 0, now)
  record.reports += 1
  record.lastReportAt = now
  const promise = {
    cores: Math.max(record.promise.cores, cores),
    memoryBytes: Math.max(record.promise.memoryBytes, memoryBytes),
    accelerators: record.promise.accelerators
  }
  if (promise.cores > record.promise.cores || promise.memoryBytes > record.promise.memoryBytes) {
    setPromise(record, promise, getMember(state, record.task.member))
  }
}

function removeTask (state: PlacementState, record: TaskRecord): void {
  state.queue.remove(record)
  state.tasks.delete(record.task.id)
  const worker: WorkerRecord | undefined = record.worker
  if (worker === undefined) return
  worker.tasks.delete(record)
  worker.replicas = worker.replicas.filter((replica) => replica !== record)
  addResources(getMember(state, record.task.member).usage, record.promise, -1)
  updateTotals(worker)
}
