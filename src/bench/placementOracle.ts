import type { Decision, Observation, Placement } from '../coordination/placement/index.js'
import type { ModelTask, ModelView, ModelWorker } from '../fakes/placementModel.js'
import { getInterferenceCost } from '../fakes/placementModelLatency.js'
import { computeP99, type ServiceTruth } from '../fakes/placementGroundTruth.js'

/** Part of the objective that the oracle uses up; the rest covers load changes until its next decision. */
const OBJECTIVE_USE = 0.94
const SHARES = [1, 0.8, 0.6, 0.4, 0.2, 0.1]
const REASON = { summary: 'oracle', figures: [], alternatives: [], preset: '', revision: 0 }

interface OracleWorker { worker: ModelWorker, tasks: Map<string, { task: ModelTask, share: number }> }

/**
 * Creates a placement that knows the true sizes, the true interference, the present load and the failing workers and classes.
 * It keeps to the batch share of the policy, as the real placement must.
 */
export function createOraclePlacement (view: ModelView, batchShare: number): Placement {
  const workers = new Map<string, OracleWorker>(view.workers.map((worker) => [worker.id, { worker, tasks: new Map() }]))
  const queued = new Map<string, string>()

  const computeObjectiveRatio = ({ worker, tasks }: OracleWorker, service: number, extra: number): number => {
    let neighbours = extra
    let own = false
    tasks.forEach(({ task, share }) => {
      // The first replica of the service is the one under test; further replicas count as its neighbours.
      if (task.serviceIndex === service && !own) own = true
      else neighbours += getInterferenceCost(view.truth, service, task) * task.size.cores * share / worker.capacity.cores
    })
    const truth = view.truth.services[service] as ServiceTruth
    return computeP99(truth, view.getLoad(service), neighbours, 1) / (truth.objectiveMs * OBJECTIVE_USE)
  }
  const listServices = ({ tasks }: OracleWorker): number[] => [...new Set([...tasks.values()].filter(({ task }) => task.serviceIndex >= 0).map(({ task }) => task.serviceIndex))]

  const scoreWorker = (candidate: OracleWorker, task: ModelTask): number | undefined => {
    const { worker, tasks } = candidate
    if (!worker.up || worker.failing) return undefined
    let cores = 0
    let batchCores = 0
    let memoryBytes = 0
    tasks.forEach(({ task: other }) => {
      cores += other.size.cores
      memoryBytes += other.size.memoryBytes
      if (other.serviceIndex < 0 && !other.task.urgent) batchCores += other.size.cores
    })
    if (cores + task.size.cores > worker.capacity.cores || memoryBytes + task.size.memoryBytes > worker.capacity.memoryBytes) return undefined
    const isBatch = task.serviceIndex < 0 && !task.task.urgent
    if (isBatch && batchCores + task.size.cores > batchShare * worker.capacity.cores) return undefined
    if (task.serviceIndex >= 0) {
      const replicasOfService = [...tasks.values()].filter(({ task: other }) => other.serviceIndex === task.serviceIndex).length
      return replicasOfService * 10 + cores / worker.capacity.cores + computeObjectiveRatio(candidate, task.serviceIndex, 0)
    }
    const added = task.size.cores / worker.capacity.cores
    let score = cores / worker.capacity.cores * 0.2
    for (const service of listServices(candidate)) {
      const cost = (view.truth.interference[service]?.[task.classIndex] as number) * added
      if (!task.task.urgent && computeObjectiveRatio(candidate, service, cost) > 1) return undefined
      score += cost * 5
    }
    return score
  }

  /** Throttles the neighbours with the highest interference, no further than the present load requires. */
  const planThrottles = (candidate: OracleWorker): Decision[] => {
    const services = listServices(candidate)
    const batch = [...candidate.tasks.values()].filter(({ task }) => task.serviceIndex < 0)
    const before = batch.map(({ share }) => share)
    batch.forEach((entry) => { entry.share = 1 })
    const getCost = ({ task }: { task: ModelTask }): number => services.reduce((sum, service) => sum + (view.truth.interference[service]?.[task.classIndex] as number), 0)
    const costly = [...batch].sort((one, other) => getCost(other) - getCost(one))
    for (const entry of costly) {
      for (const share of SHARES) {
        entry.share = share
        if (services.every((service) => computeObjectiveRatio(candidate, service, 0) <= 1)) break
      }
      if (services.every((service) => computeObjectiveRatio(candidate, service, 0) <= 1)) break
    }
    return batch.flatMap(({ task, share }, index) => share === before[index] ? [] : [{ kind: 'throttle', task: task.task.id, worker: candidate.worker.id, share, reason: REASON } as const])
  }

  const observe = (observation: Observation): void => {
    if (observation.kind === 'task-queued') queued.set(observation.task.id, observation.task.member)
    if (observation.kind === 'task-cancelled') queued.delete(observation.task)
    if (observation.kind === 'task-ended') workers.get(observation.worker)?.tasks.delete(observation.task)
  }

  const decide = (): Decision[] => {
    const decisions = [...workers.values()].flatMap(planThrottles)
    const order = [...queued.keys()].map((id) => view.tasks.get(id)).filter((task) => task !== undefined)
      .sort((one, other) => Number(other.task.urgent) - Number(one.task.urgent) || Number(other.serviceIndex >= 0) - Number(one.serviceIndex >= 0))
    const failed = new Set<string>()
    for (const task of order) {
      const shape = `${task.serviceIndex}/${task.classIndex}/${task.task.member}/${task.task.urgent}`
      if (failed.has(shape) || view.truth.classes[task.classIndex]?.failing === true) continue
      let best: OracleWorker | undefined
      let bestScore = Infinity
      for (const candidate of workers.values()) {
        const score = scoreWorker(candidate, task)
        if (score !== undefined && score < bestScore) {
          best = candidate
          bestScore = score
        }
      }
      if (best === undefined) {
        failed.add(shape)
        continue
      }
      queued.delete(task.task.id)
      best.tasks.set(task.task.id, { task, share: 1 })
      decisions.push({ kind: 'start', task: task.task.id, worker: best.worker.id, size: task.size, reason: REASON })
    }
    return decisions
  }
  return { observe, decide, explain: () => [] }
}
