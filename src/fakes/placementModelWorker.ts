import type { Random } from '../common/index.js'
import type { Resources } from '../state/index.js'
import type { ModelDeployment, TaskTruth, GroundTruth } from './placementGroundTruth.js'

const CHECKPOINT_EVERY_MS = 60_000
const FAILURE_MS = 2000

export interface ModelTask extends TaskTruth {
  state: 'queued' | 'starting' | 'running' | 'stopping'
  worker: ModelWorker | undefined
  progressMs: number
  checkpointMs: number
  checkpointAt: number
  share: number
  queuedAt: number
  startedAt: number
  attempt: number
  cancelled: boolean
  allocation: Resources
}

export interface ModelWorker {
  id: string
  rack: string
  capacity: Resources
  up: boolean
  failing: boolean
  /** Offset of its exchanges within each second, ms. */
  phase: number
  tasks: Set<ModelTask>
  /** Demanded cores divided by available cores. */
  overload: number
}

export interface ModelWorkerStep {
  batchWork: number
  overload: number
  ended: Array<{ task: ModelTask, end: 'succeeded' | 'failed' }>
}

export function createModelWorker (deployment: ModelDeployment, index: number, failing: boolean): ModelWorker {
  // The failing workers are spread over the racks by a stride that has no factor in common with the rack sizes.
  const rack = `rack-${Math.floor((failing ? (index * 13) % deployment.workers : index) / deployment.rackSize)}`
  return { id: `worker-${index}`, rack, capacity: deployment.capacity, up: true, failing, phase: (index * 137) % 1000, tasks: new Set(), overload: 0 }
}

/** Starts a task on a worker; the worker's guard refuses it if its true memory size does not fit. */
export function startOnWorker (worker: ModelWorker, task: ModelTask, now: number): 'running' | 'refused' {
  const memory = [...worker.tasks].filter(({ state }) => state !== 'starting').reduce((sum, { size }) => sum + size.memoryBytes, 0)
  if (memory + task.size.memoryBytes > worker.capacity.memoryBytes) return 'refused'
  task.state = 'running'
  task.startedAt = now
  task.checkpointAt = now
  return 'running'
}

export function isUsingResources (task: ModelTask): boolean {
  return task.state === 'running' || task.state === 'stopping'
}

export function runWorker (worker: ModelWorker, ms: number, now: number, truth: GroundTruth, random: Random): ModelWorkerStep {
  const step: ModelWorkerStep = { batchWork: 0, overload: 0, ended: [] }
  if (!worker.up) return step
  const running = [...worker.tasks].filter(isUsingResources)
  step.overload = running.reduce((sum, { size, share }) => sum + size.cores * share, 0) / worker.capacity.cores
  worker.overload = step.overload
  const speed = 1 / Math.max(1, step.overload)
  running.filter(({ serviceIndex }) => serviceIndex < 0).forEach((task) => {
    const done = Math.min(ms * task.share * speed, task.workMs - task.progressMs)
    task.progressMs += done
    step.batchWork += done * task.size.cores
    if (now - task.checkpointAt >= CHECKPOINT_EVERY_MS) {
      task.checkpointAt = now
      task.checkpointMs = task.progressMs
    }
    const failing = worker.failing || truth.classes[task.classIndex]?.failing === true
    if (failing && now - task.startedAt >= FAILURE_MS * (0.5 + random.next())) step.ended.push({ task, end: 'failed' })
    else if (task.progressMs >= task.workMs) step.ended.push({ task, end: 'succeeded' })
  })
  return step
}
