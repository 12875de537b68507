import type { Decision, Placement, PlacementTask, Reason } from '../coordination/placement/types.js'
import type { Resources } from '../state/schemas.js'

const REASON: Reason = { summary: 'first worker with room', figures: [], alternatives: [], preset: 'ordinary', revision: 0 }

/** Creates a minimal placement for tests and the tasks benchmark: first fit on declared sizes. */
export function createFirstFitPlacement (): Placement {
  const workers = new Map<string, { capacity: Resources, drain: boolean }>()
  const queued = new Map<string, PlacementTask>()
  const placed = new Map<string, { worker: string, size: Resources, stopping: boolean }>()

  const hasRoom = (worker: string, capacity: Resources, size: Resources): boolean => {
    const sizes = [...placed.values()].filter((item) => item.worker === worker).map((item) => item.size)
    const dimensions = ['cores', 'memoryBytes', 'accelerators'] as const
    return dimensions.every((name) => sizes.reduce((sum, used) => sum + used[name], size[name]) <= capacity[name])
  }

  return {
    observe: (observation) => {
      const apply: Partial<Record<typeof observation.kind, () => void>> = {
        'worker-up': () => { if (observation.kind === 'worker-up') workers.set(observation.worker, { capacity: observation.capacity, drain: false }) },
        'worker-down': () => { if (observation.kind === 'worker-down') workers.delete(observation.worker) },
        'worker-drain': () => {
          const known = observation.kind === 'worker-drain' ? workers.get(observation.worker) : undefined
          if (known !== undefined) known.drain = true
        },
        'task-queued': () => {
          if (observation.kind !== 'task-queued') return
          placed.delete(observation.task.id)
          queued.set(observation.task.id, observation.task)
        },
        'task-cancelled': () => { if (observation.kind === 'task-cancelled') queued.delete(observation.task) },
        'task-started': () => {
          if (observation.kind !== 'task-started') return
          queued.delete(observation.task.id)
          placed.set(observation.task.id, { worker: observation.worker, size: observation.task.size, stopping: false })
        },
        'task-ended': () => { if (observation.kind === 'task-ended') placed.delete(observation.task) }
      }
      apply[observation.kind]?.()
    },
    decide: () => {
      const starts = [...queued.values()].flatMap((task): Decision[] => {
        const found = [...workers].find(([id, worker]) => !worker.drain && hasRoom(id, worker.capacity, task.size))
        if (found === undefined) return []
        queued.delete(task.id)
        placed.set(task.id, { worker: found[0], size: task.size, stopping: false })
        return [{ kind: 'start', task: task.id, worker: found[0], size: task.size, reason: REASON }]
      })
      const moves = [...placed].flatMap(([task, item]): Decision[] => {
        if (item.stopping || workers.get(item.worker)?.drain !== true) return []
        item.stopping = true
        return [{ kind: 'stop', task, worker: item.worker, cause: 'drain', causingMember: '', causingTask: '', reason: REASON }]
      })
      return [...starts, ...moves]
    },
    explain: () => []
  }
}
