import { Err, Ok, type Result } from '../common/index.js'
import type { Entry, EntryKind, Host, Job, Member, Policy, Service, TaskOutcome, Worker } from './schemas.js'
import { createTable, findIn, removeInheritance } from './tables.js'
import { createWorkflowsState, removeWorkflowInheritance, workflowHandlers, type WorkflowRejection, type WorkflowsState } from './workflows/index.js'

const MAX_REMEMBERED_REQUESTS = 10_000
/**
 * Ended jobs whose records are kept. A zone's part of a job keeps the ids of its ended tasks only until the whole job has
 * ended.
 */
const MAX_ENDED_JOBS = 20_000

export interface Configuration {
  revision: number
  preset: string
  presets: Record<string, Policy>
  setBy: string
  reason: string
  /** Wall-clock ms at which the configuration was proposed or activated; only for display. */
  since: number
}

/** Which host coordinates the tasks of an availability zone. `epoch` increments with each new coordinator. */
export interface ZoneAuthority {
  availabilityZone: string
  epoch: number
  host: string
  incarnation: string
  /** Workers whose lease grants count in this epoch: the coordinator needs grants from a majority of them. */
  witnesses: string[]
  /** Entry hosts that store replicas of the zone's task journal in this epoch. */
  journalGroup: string[]
  /**
   * Witness sets of earlier epochs after which no coordinator is known to have completed its takeover. A new coordinator
   * needs grants from a majority of each set as well: two sets with few common workers have majorities that do not overlap,
   * so an earlier coordinator could still have its lease.
   */
  unsettled?: Array<{ epoch: number, witnesses: string[] }>
  /** True once an earlier epoch had witnesses, so that its coordinator may have started tasks. */
  witnessed?: boolean
  retired: boolean
}

export interface JobRecord {
  job: Job
  /** The zones that own the job's tasks at creation: the first zone owns the first `tasks` task numbers, and so on. */
  zones: Array<{ availabilityZone: string, tasks: number }>
  /** Owning zone of each task that was transferred to another zone, by task number. */
  moved: Record<number, string>
  outcomes: Record<number, TaskOutcome>
  cancelled: boolean
  createdAt: number
}

/**
 * The state machine: every entry host computes the same state by applying the replicated log in order. It holds only plain
 * data, so that a snapshot is its serialized form.
 */
export interface ReplicatedState {
  /** True once the deployment is bootstrapped: its first hosts and members were copied from the settings. */
  founded: boolean
  configuration: Configuration
  /** A configuration change that is committed but not yet activated. */
  pending: Configuration | undefined
  members: Record<string, Member>
  services: Record<string, Service>
  jobs: Record<string, JobRecord>
  /** Ids of jobs whose tasks have all ended, oldest first. */
  endedJobs: string[]
  hosts: Record<string, Host>
  workers: Record<string, Worker>
  zones: Record<string, ZoneAuthority>
  workflows: WorkflowsState
  /** Outcome of each operator request, by request id, so that a resent request returns its first outcome. */
  requests: Record<string, EntryOutcome>
  /** Ids in `requests`, oldest first. */
  requestOrder: string[]
}

/** Why an applied entry left the state unchanged. Every host computes the same rejection. */
export type Rejection =
  | { kind: 'stale-revision', baseRevision: number, currentRevision: number, preset: string, setBy: string, reason: string }
  | { kind: 'change-pending', pendingRevision: number, preset: string, setBy: string }
  | { kind: 'unknown-preset', preset: string, known: string[] }
  | { kind: 'unknown-member', member: string }
  | { kind: 'unknown-service', service: string }
  | { kind: 'unknown-job', job: string }
  | { kind: 'unknown-host', host: string }
  | { kind: 'unknown-worker', worker: string }
  | { kind: 'unknown-zone', availabilityZone: string }
  | { kind: 'not-owner', id: string }
  | { kind: 'already-exists', id: string }
  | { kind: 'epoch-superseded', availabilityZone: string, epoch: number, host: string }
  | { kind: 'zone-retired', availabilityZone: string }
  | { kind: 'not-pending', revision: number }
  | { kind: 'outcome-is-final', job: string, task: number, outcome: TaskOutcome }
  | { kind: 'no-unknown-outcome', job: string, task: number }
  | { kind: 'already-founded' }
  | { kind: 'invalid-division', expected: number, actual: number }
  | WorkflowRejection

export interface Acceptance { revision?: number, epoch?: number }
export type EntryOutcome = { accepted: true, value: Acceptance } | { accepted: false, rejection: Rejection }

type EntryOf<K extends EntryKind> = Extract<Entry, { kind: K }>
type Handler<K extends EntryKind> = (state: ReplicatedState, entry: EntryOf<K>) => Result<Acceptance, Rejection>
type Handlers = { [K in EntryKind]: Handler<K> }

/** Presets of a new deployment; the settings may add more. */
export const DEFAULT_PRESETS: Record<string, Policy> = {
  ordinary: { tailLatencyWeight: 1, throughputWeight: 1, evictionWeight: 1, safetyMargin: 0.5, batchShare: 0.8, explorationRate: 0.02, evictionsPerMinute: 6, queuePerSlot: 4 },
  peak: { tailLatencyWeight: 4, throughputWeight: 0.5, evictionWeight: 1, safetyMargin: 0.8, batchShare: 0.5, explorationRate: 0, evictionsPerMinute: 12, queuePerSlot: 2 },
  maintenance: { tailLatencyWeight: 1, throughputWeight: 0.5, evictionWeight: 4, safetyMargin: 0.5, batchShare: 0.6, explorationRate: 0, evictionsPerMinute: 2, queuePerSlot: 4 }
}

export function createReplicatedState (presets: Record<string, Policy> = DEFAULT_PRESETS, preset = 'ordinary'): ReplicatedState {
  return {
    founded: false,
    configuration: { revision: 0, preset, presets, setBy: 'settings', reason: 'initial configuration', since: 0 },
    pending: undefined,
    members: createTable(),
    services: createTable(),
    jobs: createTable(),
    endedJobs: [],
    hosts: createTable(),
    workers: createTable(),
    zones: createTable(),
    workflows: createWorkflowsState(),
    requests: createTable(),
    requestOrder: []
  }
}

/** Prepares a state that was decoded from a snapshot: decoded tables inherit the properties of all objects. */
export function removeStateInheritance (state: ReplicatedState): void {
  const { members, services, jobs, hosts, workers, zones, requests } = state
  removeInheritance({ members, services, jobs, hosts, workers, zones, requests })
  removeWorkflowInheritance(state.workflows)
}

/** Applies one entry to the state in place. An entry with a known request id changes nothing and returns the first outcome. */
export function applyEntry (state: ReplicatedState, entry: Entry): EntryOutcome {
  const requestId = 'requestId' in entry ? entry.requestId : undefined
  const remembered = requestId === undefined ? undefined : state.requests[requestId]
  if (remembered !== undefined) return remembered
  const handler = handlers[entry.kind] as (state: ReplicatedState, entry: Entry) => Result<Acceptance, Rejection>
  const result = handler(state, entry)
  const outcome: EntryOutcome = result.ok
    ? { accepted: true, value: result.val }
    : { accepted: false, rejection: result.val }
  if (requestId !== undefined) recordRequest(state, requestId, outcome)
  return outcome
}

/** Returns the zone that owns a task, or undefined if the job has no task of this number. */
export function findOwningZone (record: JobRecord, task: number): string | undefined {
  const moved = record.moved[task]
  if (moved !== undefined) return moved
  return record.zones.reduce<{ left: number, owner?: string }>((walk, share) => {
    if (walk.owner !== undefined) return walk
    return walk.left < share.tasks
      ? { left: 0, owner: share.availabilityZone }
      : { left: walk.left - share.tasks }
  }, { left: task }).owner
}

/** Returns the numbers of a job's tasks that a zone owns and that have no outcome yet. */
export function listUnfinishedTasks (record: JobRecord, availabilityZone: string): number[] {
  return Array.from({ length: record.job.tasks }, (_, task) => task)
    .filter((task) => record.outcomes[task] === undefined && findOwningZone(record, task) === availabilityZone)
}

type WorkflowEntryKind = keyof typeof workflowHandlers

/** Wraps the workflow handlers, so that each receives only the workflow part of the state. */
function createWorkflowHandlers (): Pick<Handlers, WorkflowEntryKind> {
  const wrapped = Object.entries(workflowHandlers).map(([kind, handler]) =>
    [kind, (state: ReplicatedState, entry: Entry) => handler(state.workflows, entry as never)])
  return Object.fromEntries(wrapped) as Pick<Handlers, WorkflowEntryKind>
}

const handlers: Handlers = {
  ...createWorkflowHandlers(),

  noop: () => Ok({}),

  'deployment.found': (state, { hosts, members }) => {
    if (state.founded) return Err({ kind: 'already-founded' })
    state.founded = true
    hosts.forEach((host) => addHost(state, host))
    members.forEach((member) => { state.members[member.id] = member })
    return Ok({})
  },

  'config.propose': (state, { change, wallTime }) => {
    const current = state.configuration
    if (state.pending !== undefined) {
      const { revision, preset, setBy } = state.pending
      return Err({ kind: 'change-pending', pendingRevision: revision, preset, setBy })
    }
    if (change.baseRevision !== current.revision) {
      const { revision, preset, setBy, reason } = current
      return Err({ kind: 'stale-revision', baseRevision: change.baseRevision, currentRevision: revision, preset, setBy, reason })
    }
    const presets = { ...current.presets, ...change.presets }
    if (findIn(presets, change.preset) === undefined) {
      return Err({ kind: 'unknown-preset', preset: change.preset, known: Object.keys(presets) })
    }
    const revision = current.revision + 1
    state.pending = { revision, preset: change.preset, presets, setBy: change.setBy, reason: change.reason, since: wallTime }
    return Ok({ revision })
  },

  'config.activate': (state, { revision, wallTime }) => {
    if (state.pending?.revision !== revision) return Err({ kind: 'not-pending', revision })
    state.configuration = { ...state.pending, since: wallTime }
    state.pending = undefined
    return Ok({ revision })
  },

  'member.put': (state, { member }) => {
    state.members[member.id] = member
    return Ok({})
  },

  'service.put': (state, { service }) => {
    if (state.members[service.member] === undefined) return Err({ kind: 'unknown-member', member: service.member })
    const existing = state.services[service.id]
    if (existing !== undefined && existing.member !== service.member) return Err({ kind: 'not-owner', id: service.id })
    state.services[service.id] = service
    return Ok({})
  },

  'service.remove': (state, { service, member }) => {
    const existing = state.services[service]
    if (existing === undefined) return Err({ kind: 'unknown-service', service })
    if (existing.member !== member) return Err({ kind: 'not-owner', id: service })
    delete state.services[service]
    return Ok({})
  },

  'job.create': (state, { job, zones, wallTime }) => {
    if (state.members[job.member] === undefined) return Err({ kind: 'unknown-member', member: job.member })
    if (state.jobs[job.id] !== undefined) return Err({ kind: 'already-exists', id: job.id })
    const assignedTasks = zones.reduce((sum, share) => sum + share.tasks, 0)
    if (assignedTasks !== job.tasks) return Err({ kind: 'invalid-division', expected: job.tasks, actual: assignedTasks })
    state.jobs[job.id] = { job, zones, moved: {}, outcomes: {}, cancelled: false, createdAt: wallTime }
    return Ok({})
  },

  'job.cancel': (state, { job, member }) => {
    const record = state.jobs[job]
    if (record === undefined) return Err({ kind: 'unknown-job', job })
    if (record.job.member !== member) return Err({ kind: 'not-owner', id: job })
    record.cancelled = true
    return Ok({})
  },

  'job.resolve': (state, { job, task, outcome }) => {
    const record = state.jobs[job]
    if (record === undefined) return Err({ kind: 'unknown-job', job })
    const existing = record.outcomes[task]
    if (existing === undefined) return Err({ kind: 'no-unknown-outcome', job, task })
    if (existing !== 'unknown') return Err({ kind: 'outcome-is-final', job, task, outcome: existing })
    record.outcomes[task] = outcome
    recordJobEnd(state, record)
    return Ok({})
  },

  // An outcome counts only from the zone that owns the task, and the first recorded outcome is final.
  'job.summary': (state, { availabilityZone, outcomes }) => {
    outcomes.forEach(([job, task, outcome]) => {
      const record = state.jobs[job]
      if (record === undefined || record.outcomes[task] !== undefined) return
      if (findOwningZone(record, task) !== availabilityZone) return
      record.outcomes[task] = outcome
      recordJobEnd(state, record)
    })
    return Ok({})
  },

  'host.add': (state, { host }) => {
    addHost(state, host)
    return Ok({})
  },

  'host.remove': (state, { host }) => {
    if (state.hosts[host] === undefined) return Err({ kind: 'unknown-host', host })
    delete state.hosts[host]
    return Ok({})
  },

  'worker.register': (state, { worker }) => {
    state.workers[worker.id] = worker
    return Ok({})
  },

  'worker.remove': (state, { worker }) => {
    if (state.workers[worker] === undefined) return Err({ kind: 'unknown-worker', worker })
    delete state.workers[worker]
    return Ok({})
  },

  'zone.grant': (state, { availabilityZone, previousEpoch, host, incarnation, settledEpoch = 0 }) => {
    const zone = state.zones[availabilityZone]
    if (zone === undefined) return Err({ kind: 'unknown-zone', availabilityZone })
    if (zone.retired) return Err({ kind: 'zone-retired', availabilityZone })
    if (zone.epoch !== previousEpoch) {
      return Err({ kind: 'epoch-superseded', availabilityZone, epoch: zone.epoch, host: zone.host })
    }
    const epoch = zone.epoch + 1
    state.zones[availabilityZone] = {
      ...zone,
      epoch,
      host,
      incarnation,
      witnesses: listIdsInZone(state.workers, availabilityZone),
      journalGroup: listIdsInZone(state.hosts, availabilityZone),
      unsettled: [...zone.unsettled ?? [], { epoch: zone.epoch, witnesses: zone.witnesses }]
        .filter((earlier) => earlier.epoch >= settledEpoch && earlier.witnesses.length > 0),
      witnessed: zone.witnessed === true || zone.witnesses.length > 0
    }
    return Ok({ epoch })
  },

  'zone.transfer': (state, { from, to, tasks }) => {
    if (state.zones[to] === undefined) return Err({ kind: 'unknown-zone', availabilityZone: to })
    tasks.forEach(([job, task]) => {
      const record = state.jobs[job]
      if (record !== undefined && findOwningZone(record, task) === from) record.moved[task] = to
    })
    return Ok({})
  },

  'zone.retire': (state, { availabilityZone }) => {
    const zone = state.zones[availabilityZone]
    if (zone === undefined) return Err({ kind: 'unknown-zone', availabilityZone })
    state.zones[availabilityZone] = { ...zone, retired: true }
    return Ok({ epoch: zone.epoch })
  }
}

function addHost (state: ReplicatedState, host: Host): void {
  const { availabilityZone } = host
  state.hosts[host.id] = host
  state.zones[availabilityZone] ??= {
    availabilityZone, epoch: 0, host: '', incarnation: '', witnesses: [], journalGroup: [], retired: false
  }
}

function listIdsInZone (items: Record<string, { id: string, availabilityZone: string }>, availabilityZone: string): string[] {
  return Object.values(items)
    .filter((item) => item.availabilityZone === availabilityZone)
    .map((item) => item.id)
    .sort()
}

function recordRequest (state: ReplicatedState, requestId: string, outcome: EntryOutcome): void {
  state.requests[requestId] = outcome
  state.requestOrder.push(requestId)
  const oldest = state.requestOrder.length > MAX_REMEMBERED_REQUESTS ? state.requestOrder.shift() : undefined
  if (oldest !== undefined) delete state.requests[oldest]
}

function recordJobEnd (state: ReplicatedState, record: JobRecord): void {
  const outcomes = Object.values(record.outcomes)
  // A task with an unknown outcome waits for an operator to resolve it, so its job has not ended.
  if (outcomes.length < record.job.tasks || outcomes.includes('unknown')) return
  state.endedJobs.push(record.job.id)
  const oldest = state.endedJobs.length > MAX_ENDED_JOBS ? state.endedJobs.shift() : undefined
  if (oldest !== undefined) delete state.jobs[oldest]
}
