import { createPlacement, type Decision, type Observation, type Placement, type PlacementTask } from '../../src/coordination/placement/index.js'
import { DEFAULT_PRESETS, type Policy } from '../../src/state/index.js'

export const GB = 1e9

export function createTask (id: string, change: Partial<PlacementTask> = {}): PlacementTask {
  return {
    id,
    job: id.split('-')[0] as string,
    member: 'parish',
    jobClass: 'matching',
    size: { cores: 2, memoryBytes: 4 * GB, accelerators: 0 },
    expectedRunMs: 60_000,
    urgent: false,
    idempotent: true,
    resumed: false,
    ...change
  }
}

/** A placement with a virtual clock. Each observation and decision takes place at `now`. */
export interface PlacementScenario {
  placement: Placement
  now: number
  observe (...observations: Observation[]): void
  queue (...tasks: PlacementTask[]): void
  setPolicy (preset: string, change?: Partial<Policy>, isolated?: boolean): void
  /** Advances the clock by `ms`, 1000 by default, and decides. Each start is confirmed at once by a `task-started` observation. */
  decide (ms?: number): Decision[]
}

export function createScenario (workers: number, seed = 1, capacity = { cores: 32, memoryBytes: 125 * GB, accelerators: 0 }): PlacementScenario {
  const placement = createPlacement({ seed })
  const tasks = new Map<string, PlacementTask>()
  let revision = 0
  const scenario: PlacementScenario = {
    placement,
    now: 0,
    observe: (...observations) => observations.forEach((observation) => placement.observe(observation, scenario.now)),
    queue: (...queued) => queued.forEach((task) => {
      tasks.set(task.id, task)
      scenario.observe({ kind: 'task-queued', task })
    }),
    setPolicy: (preset, change = {}, isolated = false) => {
      revision += 1
      scenario.observe({ kind: 'policy', preset, revision, policy: { ...(DEFAULT_PRESETS[preset] as Policy), ...change }, isolated })
    },
    decide: (ms = 1000) => {
      scenario.now += ms
      const decisions = placement.decide(scenario.now)
      decisions.forEach((decision) => {
        if (decision.kind === 'start') scenario.observe({ kind: 'task-started', task: tasks.get(decision.task) as PlacementTask, worker: decision.worker })
      })
      return decisions
    }
  }
  scenario.setPolicy('ordinary')
  Array.from({ length: workers }, (_, index) => scenario.observe({
    kind: 'worker-up', worker: `w${index}`, rack: `r${Math.floor(index / 8)}`, availabilityZone: 'almendral', capacity
  }))
  return scenario
}

/** Renders each decision as one line without its figures and alternatives, for snapshots. */
export function renderDecisions (decisions: Decision[]): string[] {
  return decisions.map((decision) => {
    const { kind, reason, ...rest } = decision
    return [kind, ...Object.entries(rest).map(([name, value]) => `${name}=${typeof value === 'object' ? JSON.stringify(value) : value}`), `"${reason.summary}"`].join(' ')
  })
}
