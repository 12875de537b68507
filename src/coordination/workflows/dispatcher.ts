import type { Clock, Logger, Metrics } from '../../common/index.js'
import { formatTaskName, getLocalName, parseTaskName, type Assignment, type Step, type WorkerRecord, type WorkflowsState } from '../../state/index.js'
import type { Advisor } from './advice.js'
import { listEvacuated, UNKNOWN_STAY_MS } from './evacuation.js'
import type { HoldReply } from './orders.js'
import { addTask, canHold, chooseWorker, type Candidate, type PlacementNeeds } from './placing.js'
import { compareGroups, listWaiting, type WaitingGroup } from './plan.js'
import type { Run, Session } from './session.js'
import type { FillingRun, ServingRun, Sharing } from './sharing.js'
import type { Signal } from './signal.js'
import type { WorkerHealth } from './workerHealth.js'

/** Passes over the waiting tasks are at least this far apart, so that a burst of changes shares one. */
const PASS_GAP_MS = 8
/** A workflow of which nothing runs for this long gets a task placed even beside a service that bears it badly. */
const STARVED_MS = 1000
/** How often the load is logged. */
const LOAD_LOG_MS = 1000
/**
 * Part of a pool's cores that lasting work leaves free for short urgent work, unless one worker has twice the room
 * that a waiting task needs; the short work of the reference loads takes 2 to 6% of the cores.
 */
const SHORT_WORK_SHARE = 0.05
/** Assignments of one pass; an entry of the log stays small. */
const MAX_ASSIGNMENTS = 400
/** Names of tasks whose steps are remembered; several times what runs at the size aimed at. */
const MAX_KNOWN_TASKS = 50_000

export interface DispatcherOptions {
  clock: Clock
  logger: Logger
  metrics: Metrics
  sessions: ReadonlyMap<string, Session>
  health: WorkerHealth
  sharing: Sharing
  advisor: Advisor
  getState (): WorkflowsState
  isActive (): boolean
  /** True for a worker whose host is about to go down. */
  isClosing (worker: string): boolean
  /** Resolves when the assignments are recorded, or it is known that they were not, or nothing is known. */
  assign (assignments: Assignment[]): Promise<void>
  stopRun (session: Session, run: Run, reason: string): void
  wake: Signal
}

export interface Dispatcher {
  /** Asks for a pass soon. */
  schedule (): void
  /** The waiting tasks of a workflow, or of all, may have changed. */
  markChanged (workflow?: string): void
  observeReply (session: Session, reply: HoldReply): void
  stop (): void
}

/** Gives waiting tasks to workers, most urgent first. One pass at a time; each is one entry of the log. */
export function createDispatcher (options: DispatcherOptions): Dispatcher {
  const { clock, logger, getState, wake } = options
  const { sharing } = options
  const waiting = createWaitingIndex(options)
  const tasks = createTaskIndex(getState)
  /** Since when a step waits while nothing of it runs. */
  const idleSince = new Map<string, number>()
  const stopping = new AbortController()
  let loadLoggedAt = -Infinity

  const logLoad = (groups: WaitingGroup[], candidates: Map<string, Placing[]>): void => {
    const now = clock.now()
    if (now - loadLoggedAt < LOAD_LOG_MS) return
    loadLoggedAt = now
    const all = [...candidates.values()].flat()
    logger.info('dispatch.load', {
      waiting: groups.reduce((sum, { indexes }) => sum + indexes.length, 0),
      groups: groups.length,
      workers: all.length,
      cores: Math.round(all.reduce((sum, { cores }) => sum + cores, 0)),
      freeCores: Math.round(all.reduce((sum, { freeCores }) => sum + freeCores, 0)),
      freeMemoryMb: Math.round(all.reduce((sum, { freeMemoryMb }) => sum + freeMemoryMb, 0)),
      spareCores: Math.round(all.reduce((sum, { spareCores }) => sum + spareCores, 0)),
      serving: all.reduce((sum, { serving }) => sum + serving.length, 0),
      servingWorkers: all.filter(({ serving }) => serving.length > 0).length,
      filling: all.reduce((sum, { filling }) => sum + filling.length, 0),
      mixedWorkers: all.filter(({ serving, filling }) => serving.length > 0 && filling.length > 0).length,
      slowWorkers: all.filter(({ slowness }) => slowness > 2).length
    })
  }

  const runPass = async (): Promise<void> => {
    const wallTime = clock.wall()
    const candidates = listCandidates(options, tasks)
    const groups = waiting.listGroups(wallTime)
    logLoad(groups, candidates)
    const assignments: Assignment[] = []
    const starved = updateStarved(idleSince, groups, clock.now())
    groups.forEach((group) => {
      if (assignments.length < MAX_ASSIGNMENTS) assignments.push(...placeGroup(options, group, candidates, starved.has(group)))
    })
    stopStalled(options)
    drainWorkers(options)
    if (assignments.length === 0) return
    assignments.forEach(([task, worker, attempt]) => logger.info('run.assign', { task, attempt, worker }))
    options.metrics.count('run.assigned', assignments.length)
    await options.assign(assignments)
  }

  const runPasses = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      await wake.wait(Infinity)
      if (!stopping.signal.aborted && options.isActive()) await runPass()
      await clock.sleep(PASS_GAP_MS)
    }
  }

  runPasses().catch((error: unknown) => {
    logger.error('dispatch.failed', { message: error instanceof Error ? error.stack : String(error) })
  })

  return {
    schedule: () => wake.notify(),
    markChanged: (workflow) => waiting.markChanged(workflow),
    observeReply: (session) => observeSharing(options, sharing, session),
    stop: () => {
      stopping.abort()
      wake.notify()
    }
  }
}

interface WaitingIndex {
  listGroups (wallTime: number): WaitingGroup[]
  markChanged (workflow: string | undefined): void
}

/** Keeps the waiting tasks of each workflow until it changes; most workflows do not change between two passes. */
function createWaitingIndex ({ getState }: DispatcherOptions): WaitingIndex {
  const known = new Map<string, WaitingGroup[]>()
  return {
    markChanged: (workflow) => workflow === undefined ? known.clear() : known.delete(workflow),
    listGroups: (wallTime) => {
      const state = getState()
      const queues = new Map(state.catalog?.queues.map((queue) => [queue.name, queue]) ?? [])
      return Object.values(state.workflows)
        .filter((record) => record.outcome === undefined)
        .flatMap((record) => {
          const { id, recurrence } = record.workflow
          const groups = known.get(id) ?? listWaiting(record, queues.get(record.queue), wallTime)
          // The tasks of a recurring workflow also change as time passes.
          if (recurrence === undefined) known.set(id, groups)
          return groups
        })
        .sort(compareGroups(wallTime))
    }
  }
}

interface TaskShape { step: Step, peerKey: string }

/** Finds the step of a task by its name, and remembers it. */
function createTaskIndex (getState: () => WorkflowsState): (task: string) => TaskShape | undefined {
  const known = new Map<string, TaskShape>()
  return (task) => {
    const shape = known.get(task)
    if (shape !== undefined) return shape
    const name = parseTaskName(task)
    const step = name === undefined ? undefined : getState().workflows[name.workflow]?.workflow.steps[name.step]
    if (name === undefined || step === undefined) return undefined
    if (known.size >= MAX_KNOWN_TASKS) known.clear()
    const created = { step, peerKey: getPeerKey(name.workflow, name.occurrence, name.step) }
    known.set(task, created)
    return created
  }
}

/** Groups of which nothing has run for long; lasting tasks count each by itself. */
function updateStarved (idleSince: Map<string, number>, groups: WaitingGroup[], now: number): Set<WaitingGroup> {
  const idle = groups.filter(({ step, indexes, record, occurrence, stepNumber }) =>
    step.lasting || indexes.length === step.count - (record.succeeded[`${occurrence}.${stepNumber}`] ?? 0))
  const keys = new Map(idle.map((group) => [getPeerKey(group.record.workflow.id, group.occurrence, group.stepNumber), group]))
  idleSince.forEach((_since, key) => { if (!keys.has(key)) idleSince.delete(key) })
  return new Set([...keys].filter(([key]) => {
    const since = idleSince.get(key) ?? now
    idleSince.set(key, since)
    return now - since >= STARVED_MS
  }).map(([, group]) => group))
}

interface Placing extends Candidate { peers: Map<string, number> }

/** Workers that may get work now, with what is left of them. */
function listCandidates ({ sessions, health, getState, isClosing }: DispatcherOptions, findShape: (task: string) => TaskShape | undefined): Map<string, Placing[]> {
  const state = getState()
  const byService = new Map<string, Placing[]>()
  sessions.forEach((session) => {
    const record = state.workers[session.worker]
    if (record === undefined || !session.reachable || session.ended || record.life.draining || isClosing(session.worker) || health.isPaused(session.worker)) return
    const candidate = createCandidate(findShape, record, session, health.getSlowness(session.worker))
    const others = byService.get(record.life.service)
    if (others === undefined) byService.set(record.life.service, [candidate])
    else others.push(candidate)
  })
  return byService
}

function createCandidate (findShape: (task: string) => TaskShape | undefined, { life, assigned }: WorkerRecord, session: Session, slowness: number): Placing {
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
    slowness,
    peers: new Map()
  }
  const addShape = (task: string): void => {
    const shape = findShape(task)
    if (shape !== undefined) addRun(candidate, shape.step, shape.peerKey)
  }
  Object.keys(assigned).forEach(addShape)
  const strays = [...session.strays.keys()].map((key) => key.slice(0, key.lastIndexOf('#')))
  strays.filter((task) => assigned[task] === undefined).forEach(addShape)
  return candidate
}

function getPeerKey (workflow: string, occurrence: number, step: number): string {
  return `${workflow}.${occurrence}.${step}`
}

function addRun (candidate: Placing, step: Step, peerKey: string): void {
  addTask(candidate, step)
  candidate.peers.set(peerKey, (candidate.peers.get(peerKey) ?? 0) + 1)
}

/** Places the tasks of a group as far as there is room; a gang whole or not at all. */
function placeGroup (options: DispatcherOptions, group: WaitingGroup, candidates: Map<string, Placing[]>, isStarved: boolean): Assignment[] {
  const { record, occurrence, stepNumber, step, indexes } = group
  const workers = listEligible(options, group, candidates.get(record.service) ?? [])
  const peerKey = getPeerKey(record.workflow.id, occurrence, stepNumber)
  const needs: PlacementNeeds = {
    step,
    countPeers: (worker) => workers.find(({ id }) => id === worker)?.peers.get(peerKey) ?? 0,
    estimateRisk: options.sharing.estimateRisk,
    acceptsRisk: isStarved
  }
  const gangAttempt = 1 + Math.max(0, ...indexes.map((index) => findAttempt(group, index)))
  if (step.gang && !canHoldGang(workers, needs, indexes.length)) return []
  const placed: Assignment[] = []
  indexes.every((index) => {
    const worker = chooseWorker(workers, needs)
    if (worker === undefined) return false
    if (step.lasting && !hasReserve(workers, step) && !(isStarved && worker.freeCores >= 2 * step.cores)) return false
    // One task is enough for a workflow to go on; each lasting task has users of its own.
    needs.acceptsRisk = isStarved && step.lasting
    addRun(worker, step, peerKey)
    const attempt = step.gang ? gangAttempt : findAttempt(group, index) + 1
    placed.push([formatTaskName({ workflow: record.workflow.id, occurrence, step: stepNumber, index }), worker.id, attempt])
    return true
  })
  return placed
}

/** Workers that the queue's policy allows, all on one rack where the step is the slower for more and one rack has the room. */
function listEligible ({ advisor }: DispatcherOptions, { record, occurrence, stepNumber, step, indexes, advice }: WaitingGroup, workers: Placing[]): Placing[] {
  const name = getPeerKey(record.workflow.id, occurrence, stepNumber)
  if (advice !== undefined) {
    const byRoom = workers.toSorted((a, b) => b.freeCores - a.freeCores)
    advisor.request(name, byRoom.map(({ id }) => id), advice)
  }
  const allowed = advice === undefined ? workers : workers.filter(({ id }) => advisor.findTicket(name, id) !== undefined)
  if (!step.rackSensitive) return allowed
  const racks = [...new Set(allowed.map(({ rack }) => rack))]
  const rack = racks.map((name) => allowed.filter((worker) => worker.rack === name)).find((members) => canHoldGang(members, { step, countPeers: () => 0 }, indexes.length))
  return rack ?? allowed
}

/** True when the pool keeps room for short work after one more task of the step. */
function hasReserve (workers: readonly Placing[], step: Step): boolean {
  const cores = workers.reduce((sum, worker) => sum + worker.cores, 0)
  const free = workers.reduce((sum, worker) => sum + worker.freeCores, 0)
  return free - step.cores >= SHORT_WORK_SHARE * cores
}

function findAttempt ({ record, occurrence, stepNumber }: WaitingGroup, index: number): number {
  return record.tasks[getLocalName({ occurrence, step: stepNumber, index })]?.attempt ?? 0
}

/** Counts how often the step fits into what is free now. */
function canHoldGang (workers: Placing[], needs: Pick<PlacementNeeds, 'step' | 'countPeers'>, count: number): boolean {
  const { step } = needs
  const places = workers.filter((worker) => canHold(worker, needs)).reduce((sum, worker) => {
    const byCores = step.cores > 0 ? Math.floor((step.fills ? worker.spareCores : worker.freeCores) / step.cores) : count
    const byMemory = step.memoryMb > 0 ? Math.floor(worker.freeMemoryMb / step.memoryMb) : count
    const byPeers = step.maxPerWorker === undefined ? count : step.maxPerWorker - needs.countPeers(worker.id)
    return sum + Math.min(byCores, byMemory, byPeers)
  }, 0)
  return places >= count
}

/** Learns from the tails on a worker and acts on those over their targets. */
function observeSharing (options: DispatcherOptions, sharing: Sharing, session: Session): void {
  const { clock, getState, stopRun, logger } = options
  const cores = getState().workers[session.worker]?.life.cores ?? 1
  const serving: ServingRun[] = []
  const filling: FillingRun[] = []
  session.runs.forEach((run) => {
    const step = findStep(getState(), run.task)
    if (run.row === undefined || run.stopReason !== undefined || step === undefined) return
    // A task that still starts has no tail of its own.
    const tailMs = run.row.percent === 100 ? run.row.reading : undefined
    if (step.tailTargetMs !== undefined) serving.push({ task: run.task, image: step.image ?? '', tailMs, targetMs: step.tailTargetMs })
    if (step.fills) filling.push({ task: run.task, image: step.image ?? '', part: step.cores / cores })
  })
  if (serving.length === 0) return
  const now = clock.now()
  sharing.observe(serving, filling, now)
  sharing.listPressing(session.worker, serving, filling).forEach((task) => {
    const run = session.runs.get(task)
    if (run === undefined) return
    const worst = serving.reduce((a, b) => (b.tailMs ?? 0) / b.targetMs > (a.tailMs ?? 0) / a.targetMs ? b : a)
    logger.info('run.pressing', { task, worker: session.worker, pressed: worst.task, tailMs: worst.tailMs, targetMs: worst.targetMs })
    stopRun(session, run, 'interference')
  })
}

export function findStep (state: WorkflowsState, task: string): Step | undefined {
  const name = parseTaskName(task)
  return name === undefined ? undefined : state.workflows[name.workflow]?.workflow.steps[name.step]
}

/** Moves work off workers that have announced that they leave. */
function drainWorkers (options: DispatcherOptions): void {
  const { clock, getState, sessions, stopRun } = options
  const now = clock.now()
  sessions.forEach((session) => {
    const life = getState().workers[session.worker]?.life
    if (life?.draining !== true || !session.reachable) return
    const runs = [...session.runs.values()].filter(({ stopReason }) => stopReason === undefined).flatMap((run) => {
      const step = findStep(getState(), run.task)
      return step === undefined ? [] : [{ task: run.task, step, elapsedMs: run.confirmedAt === undefined ? undefined : now - run.confirmedAt, percent: run.row?.percent ?? 0 }]
    })
    listEvacuated(runs, life.leavesAt === undefined ? UNKNOWN_STAY_MS : life.leavesAt - clock.wall()).forEach((task) => {
      const run = session.runs.get(task)
      if (run !== undefined) stopRun(session, run, 'draining')
    })
  })
}

/** Ends runs that stand still or crawl, so that they go on elsewhere. */
function stopStalled ({ sessions, health, getState, stopRun }: DispatcherOptions): void {
  const find = (task: string): Step | undefined => findStep(getState(), task)
  sessions.forEach((session) => {
    if (!session.reachable || session.runs.size === 0) return
    const stopAll = (tasks: string[], reason: string): void => tasks.forEach((task) => {
      const run = session.runs.get(task)
      if (run !== undefined) stopRun(session, run, reason)
    })
    stopAll(health.listStandstill(session, find), 'standstill')
    stopAll(health.listSlow(session, find), 'slow-worker')
  })
}
