import { createManualClock, createNoMetrics, createRandom, createSilentLogger, type ManualClock, type WorkMeter } from '../common/index.js'
import { createDispatcher, type Dispatcher } from '../coordination/workflows/dispatcher.js'
import { createRun, createSession, type Session, type SessionContext } from '../coordination/workflows/sessionState.js'
import { createInterferenceModel } from '../coordination/workflows/interferenceModel.js'
import { createSignal } from '../coordination/workflows/signal.js'
import { createWorkerHealth } from '../coordination/workflows/workerHealth.js'
import { createWorkflowsState, getStepName, parseTaskName, workflowHandlers, type Assignment, type Step, type WorkflowsState } from '../state/index.js'

const STEP: Step = {
  count: 1, cores: 2, memoryMb: 500, accelerators: 0, expectedRunMs: 3000, dependsOn: [], gang: false, rackSensitive: false, speculative: false, checkpoints: false, lasting: false, fills: false
}
const WORKER = { service: 'desk', availabilityZone: 'a', cores: 64, memoryMb: 250_000, accelerators: 0, draining: false }
const WORKERS_PER_RACK = 11
/** On each worker at the start; with the plain tasks all cores are requested. */
const SERVING_ON_WORKER = 4
const SERVING_CORES = 6
const SERVING_IMAGES = 12
const PLAIN_ON_WORKER = 10
const PLAIN_CORES = 4
const FILLING_ON_WORKER = 4
const FILLING_CORES = 3
const FILLING_IMAGES = 10
const TASKS_PER_GROUP = 14
/** How often tasks end and arrive, unless the load says otherwise. */
const TICK_MS = 8
const COMMIT_MS = 12
const READING_MS = 500
const TARGET_MS = 18
const MS_PER_S = 1000

/** Sizes of a load; the largest site has 342 workers, some 870 starts a second and 2,000 waiting tasks. */
export interface DispatchLoadOptions { workers: number, endsPerSecond: number, waitingTasks: number, seed: number, tickMs?: number, isBusy? (worker: string): boolean }

export interface DispatchFigures { placed: number, passes: number, busyMs: number, waiting: number, parts: Map<string, number> }

export interface DispatchLoad {
  state: WorkflowsState
  clock: ManualClock
  dispatcher: Dispatcher
  sessions: ReadonlyMap<string, Session>
  /** Plays the load and measures what the dispatcher takes of the thread for it. */
  run (ms: number): Promise<DispatchFigures>
  /** Ends the short tasks on a part of the workers, so that the backlog finds room at once. */
  endShort (share: number): void
}

/** A dispatcher over a state in memory whose workers are full, with a backlog of short work that never empties. */
export function createDispatchLoad ({ workers, endsPerSecond, waitingTasks, seed, tickMs = TICK_MS, isBusy }: DispatchLoadOptions): DispatchLoad {
  const random = createRandom(seed)
  const clock = createManualClock(10_000)
  const state = createWorkflowsState()
  const interferenceModel = createInterferenceModel()
  const sessions = new Map<string, Session>()
  const logger = createSilentLogger()
  /** Running short tasks and their workers; ended ones are replaced by the last. */
  const short: Array<[task: string, worker: string]> = []
  let submitted = 0
  let assigned = 0
  let assignMs = 0
  const parts = new Map<string, number>()
  const work: WorkMeter = {
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
      if (state.workflows[name?.workflow ?? '']?.workflow.steps[name?.step ?? 0]?.lasting === false) short.push([task, worker])
      markTask(task, worker)
    })
    assigned += assignments.length
  }

  const markTask = (task: string, worker: string): void => {
    markChanged(parseTaskName(task)?.workflow ?? '')
    markWorkerChanged(worker)
  }
  /** Empty while the state is filled. */
  const dispatchers: Dispatcher[] = []
  const markChanged = (workflow: string): void => dispatchers.forEach((dispatcher) => dispatcher.markChanged(workflow))
  const markWorkerChanged = (worker: string): void => dispatchers.forEach((dispatcher) => dispatcher.markWorkerChanged(worker))

  const submit = (id: string, queue: string, steps: Array<Partial<Step>>): void => {
    const whole = steps.map((step) => ({ ...STEP, ...step }))
    workflowHandlers['workflow.submit'](state, { queue, workflow: { id, command: '', steps: whole }, at: clock.wall() })
    submitted += whole.reduce((sum, { count }) => sum + count, 0)
    markChanged(id)
  }

  const submitShort = (): void => {
    const image = `f${random.below(FILLING_IMAGES)}`
    const kinds: Array<Partial<Step>> = [
      { fills: true, image, cores: FILLING_CORES },
      { fills: true, image, cores: FILLING_CORES, maxPerWorker: 2 },
      { cores: PLAIN_CORES },
      { cores: PLAIN_CORES, dataRack: `r${random.below(Math.ceil(workers / WORKERS_PER_RACK))}` },
      { cores: PLAIN_CORES, maxPerWorker: 1 },
      { cores: PLAIN_CORES, requiredLabel: 'large' }
    ]
    const kind = kinds[random.below(kinds.length)] as Partial<Step>
    submit(`b-${submitted}`, `q${random.below(3)}`, [{ ...kind, count: TASKS_PER_GROUP, expectedRunMs: 1000 + random.below(4000) }])
  }

  const endTask = (position: number): void => {
    const [task, worker] = short[position] as [string, string]
    short[position] = short.at(-1) as [string, string]
    short.pop()
    const session = sessions.get(worker)
    workflowHandlers['workflow.end'](state, { lives: [{ worker, bornAt: 1, ends: [[0, task, session?.runs.get(task)?.attempt ?? 1, 'succeeded', '']] }], judge: { host: 'h1', division: 1 }, at: clock.wall() })
    session?.runs.delete(task)
    markTask(task, worker)
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
    sessions.set(id, Object.assign(createSession({ clock } as unknown as SessionContext, life), { reachable: true }))
  })
  /** Spreads tasks over the workers, `each` on every one. */
  const fill = (kind: string, each: number, createStep: (number: number) => Partial<Step>): void => {
    const total = each * workers
    for (let placed = 0, number = 0; placed < total; placed += TASKS_PER_GROUP, number += 1) {
      const count = Math.min(TASKS_PER_GROUP, total - placed)
      submit(`${kind}-${number}`, 'q1', [{ ...createStep(number), count }])
      applyAssignments(Array.from({ length: count }, (_, index) => [`${kind}-${number}.0.0.${index}`, ids[(placed + index) % workers] as string, 1]))
    }
  }
  fill('serving', SERVING_ON_WORKER, (number) => ({ lasting: true, cores: SERVING_CORES, image: `s${number % SERVING_IMAGES}`, tailTargetMs: TARGET_MS }))
  fill('plain', PLAIN_ON_WORKER, () => ({ cores: PLAIN_CORES }))
  fill('filling', FILLING_ON_WORKER, (number) => ({ cores: FILLING_CORES, fills: true, image: `f${number % FILLING_IMAGES}` }))

  /** What the workers measure of their services; every second image of batch work disturbs every second service. */
  const observe = (): void => sessions.forEach((session) => {
    const rows = [...session.runs.keys()].map((task) => ({ task, step: state.workflows[parseTaskName(task)?.workflow ?? '']?.workflow.steps[0] as Step }))
    const filling = rows.filter(({ step }) => step?.fills).map(({ task, step }) => ({ task, image: step.image ?? '', coreShare: step.cores / WORKER.cores, since: 0 }))
    const serving = rows.filter(({ step }) => step?.tailTargetMs !== undefined).map(({ task, step }) => {
      const image = Number(step.image?.slice(1))
      const pressure = filling.reduce((sum, other) => sum + other.coreShare * ((image + Number(other.image.slice(1))) % 2 === 0 ? 0.1 : 1.2), 0)
      const own = 0.42 * (1 + 0.5 * Math.sin((clock.now() / 10_000 + image / SERVING_IMAGES) * 2 * Math.PI))
      return { task, step: getStepName(task), image: step.image ?? '', tailMs: 4 / Math.max(0.05, 1 - own - pressure), targetMs: TARGET_MS }
    })
    interferenceModel.observe(session.worker, serving, filling, clock.now())
  })
  observe()

  const dispatcher = createDispatcher({
    clock,
    logger,
    metrics: createNoMetrics(),
    work,
    sessions,
    health: createWorkerHealth({ clock, logger }),
    interferenceModel,
    advisor: { request: () => {}, findTicket: () => undefined, dropTicket: () => {}, stop: () => {} },
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
  let owedEnds = 0
  let observedAt = clock.now()

  const playTick = async (): Promise<number> => {
    owedEnds += endsPerSecond * tickMs / MS_PER_S
    while (owedEnds >= 1 && short.length > 0) {
      endTask(random.below(short.length))
      owedEnds -= 1
    }
    for (let missing = waitingTasks - (submitted - assigned); missing > 0; missing -= TASKS_PER_GROUP) submitShort()
    if (clock.now() - observedAt >= READING_MS) {
      observedAt = clock.now()
      observe()
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
    endShort: (share) => {
      const count = Math.floor(short.length * share)
      for (let ended = 0; ended < count; ended += 1) endTask(random.below(short.length))
    },
    run: async (ms) => {
      const before = assigned
      parts.clear()
      let passes = 0
      let busyMs = 0
      for (let passed = 0; passed < ms; passed += tickMs) {
        busyMs += await playTick()
        passes += 1
      }
      return { placed: assigned - before, passes, busyMs, waiting: submitted - assigned, parts: new Map(parts) }
    }
  }
}
