import type { Decision, Observation, Placement, PlacementTask } from '../coordination/placement/index.js'
import type { Resources } from '../state/index.js'

interface NaiveWorker { id: string, capacity: Resources, up: boolean, held: Resources, tasks: Map<string, PlacementTask> }

const DIMENSIONS = ['cores', 'memoryBytes', 'accelerators'] as const

const REASON = { summary: 'naive', figures: [], alternatives: [], preset: '', revision: 0 }

/** Creates a first-fit placement on declared sizes. On a latency report above the objective it evicts the largest neighbour. */
export function createNaivePlacement (): Placement {
  const workers = new Map<string, NaiveWorker>()
  const queued = new Map<string, PlacementTask>()
  const running = new Map<string, { task: PlacementTask, worker: NaiveWorker, stopping: boolean }>()
  const objectives = new Map<string, { latencyMs: number, member: string }>()
  let stops: Decision[] = []

  const hasFreeCapacity = ({ held, capacity }: NaiveWorker, size: Resources): boolean => DIMENSIONS.every((dimension) => held[dimension] + size[dimension] <= capacity[dimension])
  const updateAllocated = ({ held }: NaiveWorker, size: Resources, sign: number): void => DIMENSIONS.forEach((dimension) => { held[dimension] += sign * size[dimension] })

  const evictNeighbour = (worker: NaiveWorker, service: string): void => {
    const victims = [...worker.tasks.values()].filter((task) => task.service === undefined && running.get(task.id)?.stopping === false)
    if (victims.length === 0) return
    const victim = victims.reduce((largest, task) => task.size.cores > largest.size.cores ? task : largest)
    const entry = running.get(victim.id)
    if (entry !== undefined) entry.stopping = true
    const causing = [...worker.tasks.values()].find((task) => task.service === service)
    stops.push({ kind: 'stop', task: victim.id, worker: worker.id, cause: 'interference', causingMember: objectives.get(service)?.member ?? '', causingTask: causing?.id ?? '', reason: REASON })
  }

  const handlers: { [K in Observation['kind']]?: (observation: Extract<Observation, { kind: K }>) => void } = {
    service: (observation) => { objectives.set(observation.service, observation) },
    'worker-up': ({ worker, capacity }) => {
      const known = workers.get(worker)
      if (known === undefined) workers.set(worker, { id: worker, capacity, up: true, held: { cores: 0, memoryBytes: 0, accelerators: 0 }, tasks: new Map() })
      else known.up = true
    },
    'worker-down': ({ worker }) => {
      const known = workers.get(worker)
      if (known !== undefined) known.up = false
    },
    'task-queued': ({ task }) => { if (!running.has(task.id)) queued.set(task.id, task) },
    'task-cancelled': ({ task }) => { queued.delete(task) },
    'task-ended': ({ task }) => {
      const entry = running.get(task)
      if (entry?.worker.tasks.delete(task) === true) updateAllocated(entry.worker, entry.task.size, -1)
      running.delete(task)
    },
    latency: ({ service, worker, p99Ms }) => {
      const known = workers.get(worker)
      if (known !== undefined && p99Ms > (objectives.get(service)?.latencyMs ?? Infinity)) evictNeighbour(known, service)
    }
  }
  const observe = (observation: Observation): void => {
    const handler = handlers[observation.kind] as ((observation: Observation) => void) | undefined
    handler?.(observation)
  }

  const decide = (): Decision[] => {
    const decisions = stops
    stops = []
    const capacities = [...workers.values()]
    for (const task of queued.values()) {
      const excess = DIMENSIONS.find((dimension) => capacities.every(({ capacity }) => task.size[dimension] > capacity[dimension]))
      if (excess !== undefined && capacities.length > 0) {
        queued.delete(task.id)
        decisions.push({ kind: 'refuse', task: task.id, dimension: excess, reason: REASON })
        continue
      }
      const worker = capacities.find((candidate) => candidate.up && hasFreeCapacity(candidate, task.size))
      if (worker === undefined) continue
      queued.delete(task.id)
      worker.tasks.set(task.id, task)
      updateAllocated(worker, task.size, 1)
      running.set(task.id, { task, worker, stopping: false })
      decisions.push({ kind: 'start', task: task.id, worker: worker.id, size: task.size, reason: REASON })
    }
    return decisions
  }
  return { observe, decide, explain: () => [] }
}
