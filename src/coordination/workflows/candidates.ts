import { formatTaskName, getStepName, parseTaskName, type Step, type WorkerRecord, type WorkflowsState } from '../../state/index.js'
import { addTask, type Candidate } from './placing.js'
import type { WorkerView } from './sessionState.js'
import type { Sharing } from './sharing.js'
import type { WorkerHealth } from './workerHealth.js'

/** Names of tasks whose steps are remembered; several times what runs at the size aimed at. */
const MAX_KNOWN_TASKS = 50_000

export interface CandidateOptions {
  sessions: ReadonlyMap<string, WorkerView>
  health: WorkerHealth
  sharing: Sharing
  getState (): WorkflowsState
  /** True for a worker whose host is about to go down. */
  isClosing (worker: string): boolean
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

/** `peers` counts the runs of each step. */
export interface Placing extends Candidate { peers: Map<string, number> }

/** Workers that may get work now, with what is left of them. */
export function listCandidates ({ sessions, health, sharing, getState, isClosing }: CandidateOptions, findShape: (task: string) => TaskShape | undefined): Map<string, Placing[]> {
  const state = getState()
  const byService = new Map<string, Placing[]>()
  sessions.forEach((session) => {
    const record = state.workers[session.worker]
    if (record === undefined || !session.reachable || session.ended || record.life.draining || isClosing(session.worker) || health.isPaused(session.worker)) return
    const candidate = createCandidate(sharing, findShape, record, session, health.getSlowness(session.worker))
    const others = byService.get(record.life.service)
    if (others === undefined) byService.set(record.life.service, [candidate])
    else others.push(candidate)
  })
  return byService
}

function createCandidate (sharing: Sharing, findShape: (task: string) => TaskShape | undefined, { life, assigned }: WorkerRecord, session: WorkerView, slowness: number): Placing {
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
    if (shape !== undefined) addRun(candidate, shape.step, shape.peerKey, sharing)
  }
  Object.keys(assigned).forEach(addShape)
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
  candidate.peers.set(peerKey, (candidate.peers.get(peerKey) ?? 0) + 1)
}

export function findStep (state: WorkflowsState, task: string): Step | undefined {
  const name = parseTaskName(task)
  return name === undefined ? undefined : state.workflows[name.workflow]?.workflow.steps[name.step]
}
