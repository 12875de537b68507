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

/** A placement with its own virtual time and a short way to observe and decide. */
export interface Script {
  placement: Placement
  now: number
  observe (...observations: Observation[]): void
  queue (...tasks: PlacementTask[]): void
  setPolicy (preset: string, change?: Partial<Policy>, isolated?: boolean): void
  /** Advances time and decides; starts are confirmed as recorded. */
  decide (ms?: number): Decision[]
}

export function createScript (workers: number, seed = 1, capacity = { cores: 32, memoryBytes: 125 * GB, accelerators: 0 }): Script {
  const placement = createPlacement({ seed })
  const tasks = new Map<string, PlacementTask>()
  let revision = 0
  const script: Script = {
    placement,
    now: 0,
    observe: (...observations) => observations.forEach((observation) => placement.observe(observation, script.now)),
    queue: (...queued) => queued.forEach((task) => {
      tasks.set(task.id, task)
      script.observe({ kind: 'task-queued', task })
    }),
    setPolicy: (preset, change = {}, isolated = false) => {
      revision += 1
      script.observe({ kind: 'policy', preset, revision, policy: { ...(DEFAULT_PRESETS[preset] as Policy), ...change }, isolated })
    },
    decide: (ms = 1000) => {
      script.now += ms
      const decisions = placement.decide(script.now)
      decisions.forEach((decision) => {
        if (decision.kind === 'start') script.observe({ kind: 'task-started', task: tasks.get(decision.task) as PlacementTask, worker: decision.worker })
      })
      return decisions
    }
  }
  script.setPolicy('ordinary')
  Array.from({ length: workers }, (_, index) => script.observe({
    kind: 'worker-up', worker: `w${index}`, rack: `r${Math.floor(index / 8)}`, availabilityZone: 'almendral', capacity
  }))
  return script
}

/** Decisions in one line each, for snapshots. */
export function renderDecisions (decisions: Decision[]): string[] {
  return decisions.map((decision) => {
    const { kind, reason, ...rest } = decision
    return [kind, ...Object.entries(rest).map(([name, value]) => `${name}=${typeof value === 'object' ? JSON.stringify(value) : value}`), `"${reason.summary}"`].join(' ')
  })
}
