import { formatTaskName, getStepName, type Step, type WorkerLife, type WorkerRecord, type WorkflowsState } from '../../state/index.js'
import { addTask, type Candidate } from './placing.js'
import type { WorkerView } from './sessionState.js'
import type { Sharing } from './sharing.js'
import type { WorkerHealth } from './workerHealth.js'

/** Names of tasks whose steps are remembered; several times what runs at the size aimed at. */
const MAX_KNOWN_TASKS = 50_000
/** A worker is counted anew after this at the latest, since the mean loads that its services are expected to have drift. */
const CANDIDATE_AGE_MS = 5000

export interface CandidateOptions {
  sessions: ReadonlyMap<string, WorkerView>
  health: WorkerHealth
  sharing: Sharing
  getState (): WorkflowsState
  /** True for a worker whose host is about to go down. */
  isClosing (worker: string): boolean
  /** True while a worker's host has as many unconfirmed starts as it can carry out soon; absent: never. */
  isBusy? (worker: string): boolean
}

export interface TaskShape { step: Step, peerKey: string }

/** Finds the step of a task by its name, and remembers it. */
export function createTaskIndex (getState: () => WorkflowsState): (task: string) => TaskShape | undefined {
  const known = new Map<string, TaskShape>()
  return (task) => {
    const shape = known.get(task)
    if (shape !== undefined) return shape
    const step = findStep(getState(), task)
    if (step === undefined) return undefined
    if (known.size >= MAX_KNOWN_TASKS) known.clear()
    const created = { step, peerKey: getStepName(task) }
    known.set(task, created)
    return created
  }
}

/** `peers` counts the runs of each step whose number on a worker is limited. */
export interface Placing extends Candidate {
  peers: Map<string, number>
  /** Too many of its starts are not confirmed yet; it takes only lasting tasks that have stopped. */
  isBusy?: boolean
  /** Requested by lasting tasks, so that waiting for the end of short work sets the others free. */
  lastingCores?: number
}

/** Workers of one service that may get work now. */
export interface Pool {
  workers: Placing[]
  /** Those that have more room than at the last update. */
  freed: Placing[]
  /** Those that take only lasting tasks that have stopped. */
  busy: Placing[]
}

export interface Candidates {
  /** Brings what is known of the workers up to date. */
  update (now: number): Map<string, Pool>
  /** The runs of a worker have changed, or may have; of all when none is named. */
  markChanged (worker?: string): void
  /** A task was given the room of a worker; whether it is assigned there is seen at the next update. */
  recordPlaced (worker: string, task: string): void
}

interface Entry {
  life: WorkerLife
  session: WorkerView
  candidate: Placing
  /** Tasks that the candidate holds. */
  tasks: Set<string>
  isUsable: boolean
  isChanged: boolean
  hasStrays: boolean
  renewAt: number
}

/** Keeps the workers with what is left of each, and counts anew only those whose runs have changed. */
export function createCandidates (options: CandidateOptions, findShape: (task: string) => TaskShape | undefined): Candidates {
  const { sessions, health, sharing, getState, isClosing } = options
  const entries = new Map<string, Entry>()

  const isAvailable = (session: WorkerView, life: WorkerLife): boolean =>
    session.reachable && !session.ended && !life.draining && !isClosing(session.worker) && !health.isPaused(session.worker)

  const createEntry = (session: WorkerView, record: WorkerRecord, now: number): Entry => {
    const tasks = Object.keys(record.assigned)
    return {
      life: record.life,
      session,
      candidate: createCandidate(sharing, findShape, record, tasks, session),
      tasks: new Set(tasks),
      isUsable: false,
      isChanged: false,
      hasStrays: session.strays.size > 0,
      renewAt: now + CANDIDATE_AGE_MS
    }
  }

  /** The entry of a worker, counted anew where needed, and whether it has more room than before. */
  const updateEntry = (session: WorkerView, record: WorkerRecord, now: number): { entry: Entry, isFreed: boolean } => {
    const known = entries.get(session.worker)
    const entry = known === undefined || isOld(known, session, record, now) ? createEntry(session, record, now) : known
    if (entry !== known) entries.set(session.worker, entry)
    entry.isChanged = false
    const { candidate } = entry
    const slowness = health.getSlowness(session.worker)
    const isFreed = known?.isUsable !== true || (known.candidate.hasOverdueService === true && !session.hasOverdueService) || slowness < known.candidate.slowness || (entry !== known && hasMoreRoom(candidate, known.candidate))
    candidate.slowness = slowness
    candidate.hasOverdueService = session.hasOverdueService
    candidate.isBusy = options.isBusy?.(session.worker) ?? false
    entry.isUsable = !candidate.isBusy && isAvailable(session, record.life)
    return { entry, isFreed }
  }

  return {
    markChanged: (worker) => {
      if (worker === undefined) entries.clear()
      const entry = worker === undefined ? undefined : entries.get(worker)
      if (entry !== undefined) entry.isChanged = true
    },
    recordPlaced: (worker, task) => {
      const entry = entries.get(worker)
      entry?.tasks.add(task)
      if (entry !== undefined) entry.isChanged = true
    },
    update: (now) => {
      const state = getState()
      const pools = new Map<string, Pool>()
      sessions.forEach((session) => {
        const record = state.workers[session.worker]
        if (record === undefined) return entries.delete(session.worker)
        const { entry, isFreed } = updateEntry(session, record, now)
        if (!entry.isUsable && !(entry.candidate.isBusy === true && isAvailable(session, record.life))) return
        const { service } = record.life
        const pool = pools.get(service) ?? { workers: [], freed: [], busy: [] }
        pools.set(service, pool)
        pool.workers.push(entry.candidate)
        if (isFreed) pool.freed.push(entry.candidate)
        if (entry.candidate.isBusy === true) pool.busy.push(entry.candidate)
      })
      if (entries.size > sessions.size) entries.forEach((_entry, worker) => { if (!sessions.has(worker)) entries.delete(worker) })
      return pools
    }
  }
}

function isOld (entry: Entry, session: WorkerView, { life, assigned }: WorkerRecord, now: number): boolean {
  return entry.session !== session || entry.life !== life || entry.hasStrays || session.strays.size > 0 || now >= entry.renewAt ||
    (entry.isChanged && !hasSameTasks(entry.tasks, assigned))
}

function hasSameTasks (tasks: ReadonlySet<string>, assigned: WorkerRecord['assigned']): boolean {
  const names = Object.keys(assigned)
  return names.length === tasks.size && names.every((task) => tasks.has(task))
}

function hasMoreRoom (candidate: Placing, before: Placing): boolean {
  return candidate.freeCores > before.freeCores || candidate.spareCores > before.spareCores ||
    candidate.freeMemoryMb > before.freeMemoryMb || candidate.freeAccelerators > before.freeAccelerators
}

function createCandidate (sharing: Sharing, findShape: (task: string) => TaskShape | undefined, { life, assigned }: WorkerRecord, tasks: readonly string[], session: WorkerView): Placing {
  const candidate: Placing = {
    id: life.id,
    service: life.service,
    availabilityZone: life.availabilityZone,
    labels: life.labels,
    rack: life.rack,
    cores: life.cores,
    memoryMb: life.memoryMb,
    accelerators: life.accelerators,
    freeCores: life.cores,
    spareCores: life.cores,
    freeMemoryMb: life.memoryMb,
    freeAccelerators: life.accelerators,
    serving: [],
    filling: [],
    slowness: 1,
    peers: new Map(),
    isBusy: false,
    lastingCores: 0
  }
  const addShape = (task: string): void => {
    const shape = findShape(task)
    if (shape !== undefined) addRun(candidate, shape.step, shape.peerKey, sharing)
  }
  tasks.forEach(addShape)
  if (session.strays.size === 0) return candidate
  const strays = [...session.strays.keys()].map((key) => key.slice(0, key.lastIndexOf('#')))
  strays.filter((task) => assigned[task] === undefined).forEach(addShape)
  return candidate
}

/** The name that `getStepName` gives the step's tasks. */
export function getPeerKey (workflow: string, occurrence: number, step: number): string {
  return getStepName(formatTaskName({ workflow, occurrence, step, index: 0 }))
}

export function addRun (candidate: Placing, step: Step, peerKey: string, sharing: Pick<Sharing, 'estimateUse'>): void {
  addTask(candidate, step, peerKey, sharing.estimateUse(step.image ?? ''))
  if (step.maxPerWorker !== undefined) candidate.peers.set(peerKey, (candidate.peers.get(peerKey) ?? 0) + 1)
  if (step.lasting && !step.fills) candidate.lastingCores = (candidate.lastingCores ?? 0) + step.cores
}

/** Asked for each run of each look at a worker; `parseTaskName` takes most of the time of a look for names alone. */
export function findStep (state: WorkflowsState, task: string): Step | undefined {
  const indexDot = task.lastIndexOf('.')
  const stepDot = task.lastIndexOf('.', indexDot - 1)
  const occurrenceDot = task.lastIndexOf('.', stepDot - 1)
  if (occurrenceDot <= 0 || stepDot <= occurrenceDot || indexDot <= stepDot) return undefined
  return state.workflows[task.slice(0, occurrenceDot)]?.workflow.steps[Number(task.slice(stepDot + 1, indexDot))]
}
