import { createManualClock, createNoopMetrics, createRandom, createSilentLogger, type ManualClock, type EventLoopMeter } from '../common/index.js'
import { createCompetition, DEFAULT_COMPETITION } from '../coordination/workflows/competition.js'
import { createDispatcher, type Dispatcher } from '../coordination/workflows/dispatcher.js'
import { createRun, createSession, type Session, type SessionContext } from '../coordination/workflows/sessionState.js'
import { createInterferenceModel } from '../coordination/workflows/interferenceModel.js'
import { createRunDurations } from '../coordination/workflows/runDurations.js'
import { createSignal } from '../coordination/workflows/signal.js'
import { createStartBackoff } from '../coordination/workflows/startBackoff.js'
import { createWorkerHealth } from '../coordination/workflows/workerHealth.js'
import { createZoneEvacuations } from '../coordination/workflows/zoneEvacuation.js'
import { createWorkflowsState, getStepName, parseTaskName, workflowHandlers, type Assignment, type Step, type WorkflowsState } from '../state/index.js'

const STEP: Step = {
  count: 1, cores: 2, memoryMb: 500, accelerators: 0, expectedRunMs: 3000, dependsOn: [], gang: false, rackSensitive: false, speculative: false, checkpoints: false, lasting: false, fills: false
}
const WORKER = { service: 'desk', availabilityZone: 'a', cores: 64, memoryMb: 250_000, accelerators: 0, draining: false }
const SERVICE_BOUND = { overTargetMs: 4000, stopMs: 400 }
const WORKERS_PER_RACK = 11
/** Tasks on each worker at the start. Latency-critical and ordinary tasks together request all cores of a worker. */
const LATENCY_CRITICAL_PER_WORKER = 4
const LATENCY_CRITICAL_CORES = 6
const LATENCY_CRITICAL_IMAGES = 12
const ORDINARY_PER_WORKER = 10
const ORDINARY_CORES = 4
const BEST_EFFORT_PER_WORKER = 4
const BEST_EFFORT_CORES = 3
const BEST_EFFORT_IMAGES = 10
const TASKS_PER_STEP = 14
/** Default interval at which tasks end and arrive. */
const TICK_MS = 8
const COMMIT_MS = 12
const READING_MS = 500
const TAIL_TARGET_MS = 18
const MS_PER_S = 1000

/** Size of the load. The largest site has 342 workers, about 870 starts per second and 2,000 waiting tasks. */
export interface DispatchLoadOptions { workers: number, endsPerSecond: number, waitingTasks: number, seed: number, tickMs?: number, looksAhead?: boolean, isBusy? (worker: string): boolean }

export interface DispatchFigures { placed: number, passes: number, busyMs: number, waiting: number, parts: Map<string, number> }

export interface DispatchLoad {
  state: WorkflowsState
  clock: ManualClock
  dispatcher: Dispatcher
  sessions: ReadonlyMap<string, Session>
  submit (id: string, queue: string, steps: Array<Partial<Step>>): void
  /** Runs the load for this virtual time and measures the real time that the dispatcher blocks the thread. */
  run (ms: number): Promise<DispatchFigures>
  /** Ends this part of the running short tasks, chosen at random, so that much of the backlog can be placed at once. */
  endShortTasks (share: number): void
}

/** Creates a dispatcher on an in-memory state whose workers are full, with a backlog of short tasks that never empties. */
export function createDispatchLoad ({ workers, endsPerSecond, waitingTasks, seed, tickMs = TICK_MS, looksAhead, isBusy }: DispatchLoadOptions): DispatchLoad {
  const random = createRandom(seed)
  const clock = createManualClock(10_000)
  const state = createWorkflowsState()
  const interferenceModel = createInterferenceModel()
  const sessions = new Map<string, Session>()
  const logger = createSilentLogger()
  /** Running short tasks with their workers. An ended task is replaced by the last element of the list. */
  const shortTasks: Array<[task: string, worker: string]> = []
  let submitted = 0
  let assigned = 0
  let assignMs = 0
  const parts = new Map<string, number>()
  const work: EventLoopMeter = {
    measure: (part, run) => {
      const startedAt = performance.now()
      const result = run()
      parts.set(part, (parts.get(part) ?? 0) + performance.now() - startedAt)
      return result
    },
    stop: () => {}
  }

  const applyAssignments = (assignments: Assignment[]): void => {
    workflowHandlers['workflow.assign'](state, { assignments })
    assignments.forEach(([task, worker, attempt]) => {
      sessions.get(worker)?.runs.set(task, createRun(task, attempt, clock.now(), true))
      const name = parseTaskName(task)
      if (state.workflows[name?.workflow ?? '']?.workflow.steps[name?.step ?? 0]?.lasting === false) shortTasks.push([task, worker])
      markTaskChanged(task, worker)
    })
    assigned += assignments.length
  }

  const markTaskChanged = (task: string, worker: string): void => {
    markChanged(parseTaskName(task)?.workflow ?? '')
    markWorkerChanged(worker)
  }
  /** Empty while the initial state is built, so that no change is announced to a dispatcher. */
  const dispatchers: Dispatcher[] = []
  const markChanged = (workflow: string): void => dispatchers.forEach((dispatcher) => dispatcher.markChanged(workflow))
  const markWorkerChanged = (worker: string): void => dispatchers.forEach((dispatcher) => dispatcher.markWorkerChanged(worker))

  const submit = (id: string, queue: string, steps: Array<Partial<Step>>): void => {
    const completeSteps = steps.map((step) => ({ ...STEP, ...step }))
    workflowHandlers['workflow.submit'](state, { queue, workflow: { id, command: '', steps: completeSteps }, at: clock.wall() })
    submitted += completeSteps.reduce((sum, { count }) => sum + count, 0)
    markChanged(id)
  }

  const submitShort = (): void => {
    const image = `f${random.below(BEST_EFFORT_IMAGES)}`
    const kinds: Array<Partial<Step>> = [
      { fills: true, image, cores: BEST_EFFORT_CORES },
      { fills: true, image, cores: BEST_EFFORT_CORES, maxPerWorker: 2 },
      { cores: ORDINARY_CORES },
      { cores: ORDINARY_CORES, dataRack: `r${random.below(Math.ceil(workers / WORKERS_PER_RACK))}` },
      { cores: ORDINARY_CORES, maxPerWorker: 1 },
      { cores: ORDINARY_CORES, requiredLabel: 'large' }
    ]
    const kind = kinds[random.below(kinds.length)] as Partial<Step>
    submit(`b-${submitted}`, `q${random.below(3)}`, [{ ...kind, count: TASKS_PER_STEP, expectedRunMs: 1000 + random.below(4000) }])
  }

  const endTask = (position: number): void => {
    const [task, worker] = shortTasks[position] as [string, string]
    shortTasks[position] = shortTasks.at(-1) as [string, string]
    shortTasks.pop()
    const session = sessions.get(worker)
    workflowHandlers['workflow.end'](state, { lives: [{ worker, bornAt: 1, ends: [[0, task, session?.runs.get(task)?.attempt ?? 1, 'succeeded', '']] }], judge: { host: 'h1', division: 1 }, at: clock.wall() })
    session?.runs.delete(task)
    markTaskChanged(task, worker)
  }

  workflowHandlers['sessions.divide'](state, { hosts: [{ host: 'h1', availabilityZone: 'a' }] })
  workflowHandlers['catalog.put'](state, {
    catalog: {
      version: 1,
      queues: [0, 1, 2].map((priority) => ({ name: `q${priority}`, hostName: 'desk.example', pathPrefix: `/q${priority}/`, service: 'desk', requestTimeoutMs: 3000, priority, maxAttempts: 2, slackFactor: 3, objectiveMs: 2000 })),
      pools: [{ service: 'desk', rejectsOverload: true, maxConnections: 64, standby: false }],
      document: '{}'
    }
  })
  const ids = Array.from({ length: workers }, (_, index) => `w${index}`)
  ids.forEach((id, index) => {
    const rack = `r${Math.floor(index / WORKERS_PER_RACK)}`
    const life = { ...WORKER, id, bornAt: 1, address: `127.0.0.1:${index + 1}`, rack, labels: [rack, ...index % 4 === 0 ? ['large'] : []] }
    workflowHandlers['life.report'](state, { life })
    sessions.set(id, Object.assign(createSession({ clock, serviceBound: SERVICE_BOUND } as unknown as SessionContext, life), { reachable: true }))
  })
  /** Submits and assigns `perWorker` tasks to each worker. */
  const fill = (kind: string, perWorker: number, createStep: (number: number) => Partial<Step>): void => {
    const total = perWorker * workers
    for (let placed = 0, number = 0; placed < total; placed += TASKS_PER_STEP, number += 1) {
      const count = Math.min(TASKS_PER_STEP, total - placed)
      submit(`${kind}-${number}`, 'q1', [{ ...createStep(number), count }])
      applyAssignments(Array.from({ length: count }, (_, index) => [`${kind}-${number}.0.0.${index}`, ids[(placed + index) % workers] as string, 1]))
    }
  }
  fill('serving', LATENCY_CRITICAL_PER_WORKER, (number) => ({ lasting: true, cores: LATENCY_CRITICAL_CORES, image: `s${number % LATENCY_CRITICAL_IMAGES}`, tailTargetMs: TAIL_TARGET_MS }))
  fill('plain', ORDINARY_PER_WORKER, () => ({ cores: ORDINARY_CORES }))
  fill('filling', BEST_EFFORT_PER_WORKER, (number) => ({ cores: BEST_EFFORT_CORES, fills: true, image: `f${number % BEST_EFFORT_IMAGES}` }))

  /**
   * Reports the tail latencies of latency-critical tasks. Interference depends on the pair of images: it is strong (1.2) if the
   * sum of their numbers is odd, and weak (0.1) if it is even.
   */
  const observeReadings = (): void => sessions.forEach((session) => {
    const runs = [...session.runs.keys()].map((task) => ({ task, step: state.workflows[parseTaskName(task)?.workflow ?? '']?.workflow.steps[0] as Step }))
    const bestEffort = runs.filter(({ step }) => step?.fills).map(({ task, step }) => ({ task, image: step.image ?? '', coreShare: step.cores / WORKER.cores, since: 0 }))
    const latencyCritical = runs.filter(({ step }) => step?.tailTargetMs !== undefined).map(({ task, step }) => {
      const image = Number(step.image?.slice(1))
      const interference = bestEffort.reduce((sum, other) => sum + other.coreShare * ((image + Number(other.image.slice(1))) % 2 === 0 ? 0.1 : 1.2), 0)
      const ownLoad = 0.42 * (1 + 0.5 * Math.sin((clock.now() / 10_000 + image / LATENCY_CRITICAL_IMAGES) * 2 * Math.PI))
      return { task, step: getStepName(task), image: step.image ?? '', tailMs: 4 / Math.max(0.05, 1 - ownLoad - interference), targetMs: TAIL_TARGET_MS }
    })
    interferenceModel.observe(session.worker, latencyCritical, bestEffort, clock.now())
  })
  observeReadings()

  const runDurations = createRunDurations()
  const dispatcher = createDispatcher({
    clock,
    logger,
    metrics: createNoopMetrics(),
    work,
    sessions,
    health: createWorkerHealth({ clock, logger }),
    interferenceModel,
    serviceBound: { stopMs: 400 },
    evacuations: createZoneEvacuations({ clock, getState: () => state }),
    advisor: { request: () => {}, findTicket: () => undefined, dropTicket: () => {}, removeWorker: () => {}, stop: () => {} },
    startBackoff: createStartBackoff({ clock }),
    runDurations,
    competition: createCompetition({ clock, logger, metrics: createNoopMetrics(), settings: DEFAULT_COMPETITION, sessions, runDurations, getState: () => state, stopRun: () => {} }),
    looksAhead,
    getState: () => state,
    isActive: () => true,
    assign: async (assignments) => {
      await clock.sleep(COMMIT_MS)
      const startedAt = performance.now()
      applyAssignments(assignments)
      assignMs += performance.now() - startedAt
    },
    stopRun: () => {},
    isCordoned: () => false,
    isBusy: (worker) => isBusy?.(worker) ?? false,
    wake: createSignal(clock)
  })
  dispatchers.push(dispatcher)
  let dueEnds = 0
  let observedAt = clock.now()

  const runTick = async (): Promise<number> => {
    dueEnds += endsPerSecond * tickMs / MS_PER_S
    while (dueEnds >= 1 && shortTasks.length > 0) {
      endTask(random.below(shortTasks.length))
      dueEnds -= 1
    }
    for (let missing = waitingTasks - (submitted - assigned); missing > 0; missing -= TASKS_PER_STEP) submitShort()
    if (clock.now() - observedAt >= READING_MS) {
      observedAt = clock.now()
      observeReadings()
    }
    assignMs = 0
    const startedAt = performance.now()
    dispatcher.schedule()
    await clock.advance(tickMs)
    return performance.now() - startedAt - assignMs
  }

  return {
    state,
    clock,
    dispatcher,
    sessions,
    submit,
    endShortTasks: (share) => {
      const count = Math.floor(shortTasks.length * share)
      for (let ended = 0; ended < count; ended += 1) endTask(random.below(shortTasks.length))
    },
    run: async (ms) => {
      const before = assigned
      parts.clear()
      let passes = 0
      let busyMs = 0
      for (let passed = 0; passed < ms; passed += tickMs) {
        busyMs += await runTick()
        passes += 1
      }
      return { placed: assigned - before, passes, busyMs, waiting: submitted - assigned, parts: new Map(parts) }
    }
  }
}
