import type { Clock, Logger, Metrics } from '../../common/index.js'
import { formatTaskName, getLocalName, parseTaskName, type Assignment, type Step, type WorkerRecord, type WorkflowsState } from '../../state/index.js'
import type { HoldReply } from './orders.js'
import { canHold, chooseWorker, isServing, type Candidate, type PlacementNeeds } from './placing.js'
import { compareGroups, listWaiting, type WaitingGroup } from './plan.js'
import type { Run, Session } from './session.js'
import type { Signal } from './signal.js'
import type { WorkerHealth } from './workerHealth.js'

/** Passes over the waiting tasks are at least this far apart, so that a burst of changes shares one. */
const PASS_GAP_MS = 4
/** Assignments of one pass; an entry of the log stays small. */
const MAX_ASSIGNMENTS = 400

export interface DispatcherOptions {
  clock: Clock
  logger: Logger
  metrics: Metrics
  sessions: ReadonlyMap<string, Session>
  health: WorkerHealth
  getState (): WorkflowsState
  isActive (): boolean
  /** Resolves when the assignments are recorded, or it is known that they were not, or nothing is known. */
  assign (assignments: Assignment[]): Promise<void>
  stopRun (session: Session, run: Run, reason: string): void
  pace (session: Session, run: Run, percent: number): Promise<boolean>
  wake: Signal
}

export interface Dispatcher {
  /** Asks for a pass soon. */
  schedule (): void
  observeReply (session: Session, reply: HoldReply): void
  findTicket (task: string, worker: string): string | undefined
  stop (): void
}

/** Gives waiting tasks to workers, most urgent first. One pass at a time; each is one entry of the log. */
export function createDispatcher (options: DispatcherOptions): Dispatcher {
  const { clock, logger, getState, wake } = options
  let stopped = false

  const runPass = async (): Promise<void> => {
    const wallTime = clock.wall()
    const candidates = listCandidates(options)
    const groups = listGroups(getState(), wallTime)
    const assignments: Assignment[] = []
    groups.forEach((group) => {
      if (assignments.length < MAX_ASSIGNMENTS) assignments.push(...placeGroup(group, candidates, getState()))
    })
    stopStalled(options)
    if (assignments.length === 0) return
    assignments.forEach(([task, worker, attempt]) => logger.info('run.assign', { task, attempt, worker }))
    options.metrics.count('run.assigned', assignments.length)
    await options.assign(assignments)
  }

  const runPasses = async (): Promise<void> => {
    while (!stopped) {
      await wake.wait(Infinity)
      if (!stopped && options.isActive()) await runPass()
      await clock.sleep(PASS_GAP_MS)
    }
  }

  runPasses().catch((error: unknown) => {
    logger.error('dispatch.failed', { message: error instanceof Error ? error.stack : String(error) })
  })

  return {
    schedule: () => wake.notify(),
    observeReply: () => {},
    findTicket: () => undefined,
    stop: () => {
      stopped = true
      wake.notify()
    }
  }
}

function listGroups (state: WorkflowsState, wallTime: number): WaitingGroup[] {
  const queues = new Map(state.catalog?.queues.map((queue) => [queue.name, queue]) ?? [])
  return Object.values(state.workflows)
    .filter((record) => record.outcome === undefined)
    .flatMap((record) => listWaiting(record, queues.get(record.queue), wallTime))
    .sort(compareGroups(wallTime))
}

interface Placing extends Candidate { peers: Map<string, number> }

/** Workers that may get work now, with what is left of them. */
function listCandidates ({ sessions, health, getState }: DispatcherOptions): Map<string, Placing[]> {
  const state = getState()
  const byService = new Map<string, Placing[]>()
  sessions.forEach((session) => {
    const record = state.workers[session.worker]
    if (record === undefined || !session.reachable || session.ended || record.life.draining || health.isPaused(session.worker)) return
    const candidate = createCandidate(state, record, session, health.getSlowness(session.worker))
    byService.set(record.life.service, [...byService.get(record.life.service) ?? [], candidate])
  })
  return byService
}

function createCandidate (state: WorkflowsState, { life, assigned }: WorkerRecord, session: Session, slowness: number): Placing {
  const candidate: Placing = {
    id: life.id,
    service: life.service,
    availabilityZone: life.availabilityZone,
    labels: life.labels,
    cores: life.cores,
    memoryMb: life.memoryMb,
    accelerators: life.accelerators,
    freeCores: life.cores,
    freeMemoryMb: life.memoryMb,
    freeAccelerators: life.accelerators,
    serving: 0,
    filling: 0,
    slowness,
    peers: new Map()
  }
  const strays = [...session.strays.keys()].map((key) => key.slice(0, key.lastIndexOf('#')))
  new Set([...Object.keys(assigned), ...strays]).forEach((task) => {
    const name = parseTaskName(task)
    const step = name === undefined ? undefined : state.workflows[name.workflow]?.workflow.steps[name.step]
    if (name !== undefined && step !== undefined) addRun(candidate, step, getPeerKey(name.workflow, name.occurrence, name.step))
  })
  return candidate
}

function getPeerKey (workflow: string, occurrence: number, step: number): string {
  return `${workflow}.${occurrence}.${step}`
}

function addRun (candidate: Placing, step: Step, peerKey: string): void {
  candidate.freeCores -= step.cores
  candidate.freeMemoryMb -= step.memoryMb
  candidate.freeAccelerators -= step.accelerators
  if (isServing(step)) candidate.serving += 1
  if (step.fills) candidate.filling += 1
  candidate.peers.set(peerKey, (candidate.peers.get(peerKey) ?? 0) + 1)
}

/** Places the tasks of a group as far as there is room; a gang whole or not at all. */
function placeGroup (group: WaitingGroup, candidates: Map<string, Placing[]>, state: WorkflowsState): Assignment[] {
  const { record, occurrence, stepNumber, step, indexes } = group
  const workers = candidates.get(record.service) ?? []
  const peerKey = getPeerKey(record.workflow.id, occurrence, stepNumber)
  const needs: PlacementNeeds = {
    step,
    countPeers: (worker) => workers.find(({ id }) => id === worker)?.peers.get(peerKey) ?? 0,
    isAvoided: () => false
  }
  const gangAttempt = 1 + Math.max(0, ...indexes.map((index) => findAttempt(group, index)))
  if (step.gang && !canHoldGang(workers, needs, indexes.length)) return []
  const placed: Assignment[] = []
  indexes.every((index) => {
    const worker = chooseWorker(workers, needs) as Placing | undefined
    if (worker === undefined) return false
    addRun(worker, step, peerKey)
    const attempt = step.gang ? gangAttempt : findAttempt(group, index) + 1
    placed.push([formatTaskName({ workflow: record.workflow.id, occurrence, step: stepNumber, index }), worker.id, attempt])
    return true
  })
  return placed
}

function findAttempt ({ record, occurrence, stepNumber }: WaitingGroup, index: number): number {
  return record.tasks[getLocalName({ occurrence, step: stepNumber, index })]?.attempt ?? 0
}

/** Counts how often the step fits into what is free now. */
function canHoldGang (workers: Placing[], needs: PlacementNeeds, count: number): boolean {
  const { step } = needs
  const places = workers.filter((worker) => canHold(worker, needs)).reduce((sum, worker) => {
    const byCores = step.cores > 0 ? Math.floor(worker.freeCores / step.cores) : count
    const byMemory = step.memoryMb > 0 ? Math.floor(worker.freeMemoryMb / step.memoryMb) : count
    const byPeers = step.maxPerWorker === undefined ? count : step.maxPerWorker - needs.countPeers(worker.id)
    return sum + Math.min(byCores, byMemory, byPeers)
  }, 0)
  return places >= count
}

/** Ends runs that stand still, so that they go on elsewhere. */
function stopStalled ({ sessions, health, getState, stopRun }: DispatcherOptions): void {
  const findStep = (task: string): Step | undefined => {
    const name = parseTaskName(task)
    return name === undefined ? undefined : getState().workflows[name.workflow]?.workflow.steps[name.step]
  }
  sessions.forEach((session) => {
    if (!session.reachable || session.runs.size === 0) return
    health.listStandstill(session, findStep).forEach((task) => {
      const run = session.runs.get(task)
      if (run !== undefined) stopRun(session, run, 'standstill')
    })
  })
}
