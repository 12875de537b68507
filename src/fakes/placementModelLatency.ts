import type { Random } from '../common/index.js'
import type { Observation } from '../coordination/placement/index.js'
import type { ModelScenario } from './placementModel.js'
import { isUsingResources, type ModelTask, type ModelWorker } from './placementModelWorker.js'
import { computeNormal, computeP99, type ServiceTruth, type GroundTruth } from './placementGroundTruth.js'

const REPORT_EVERY_MS = 2000
const WINDOW_MS = 10_000
const LATENCY_NOISE = 0.08
const USAGE_NOISE = 0.05
const LOST_REPORT_RATE = 0.05
const DUPLICATED_REPORT_RATE = 0.02
const REQUESTS_PER_REPORT = 400
const TAIL_PROBABILITY = 0.01
/** Ratio of the p99 to the objective that is recorded for a service without a running replica. */
const NO_REPLICA_RATIO = 10

export interface WindowP99 { service: number, window: number, p99Ms: number, objectiveMs: number }

export interface ModelLatency {
  getLoad (service: number, now: number): number
  step (now: number, random: Random, schedule: (delayMs: number, run: () => void) => void, observe: (observation: Observation) => void): void
  listWindows (): WindowP99[]
}

/** Models the true latency of the replicas, and the late and noisy reports of latency and usage that the policy gets. */
export function createModelLatency (truth: GroundTruth, scenario: ModelScenario, workers: ModelWorker[], settlingMs: number): ModelLatency {
  const sums = new Map<string, { service: number, window: number, total: number, steps: number }>()
  const replicaCounts = truth.services.map(() => 0)
  const maxReplicaCounts = truth.services.map(() => 0)

  const getLoad = (service: number, now: number): number => {
    const running = replicaCounts[service] as number
    const missing = running === 0 ? 1 : (maxReplicaCounts[service] as number) / running
    return scenario.getLoad(service, now) * Math.min(missing, 2)
  }

  const step: ModelLatency['step'] = (now, random, schedule, observe) => {
    countReplicas(workers, replicaCounts, maxReplicaCounts)
    const tails = truth.services.map(() => [] as number[])
    for (const worker of workers) {
      if (!worker.up) continue
      for (const task of worker.tasks) {
        if (!isUsingResources(task)) continue
        if (task.serviceIndex >= 0) {
          const load = getLoad(task.serviceIndex, now) * (1 + 0.05 * computeNormal(random))
          const p99 = computeP99(truth.services[task.serviceIndex] as ServiceTruth, load, computeInterference(truth, worker, task), worker.overload)
          tails[task.serviceIndex]?.push(p99)
          if (isReportDue(task, now)) sendLatency(task, worker, p99, load)
        }
        if (isReportDue(task, now)) sendUsage(task, worker)
      }
    }
    if (now >= settlingMs) tails.forEach((replicas, service) => addToWindow(service, now, computeServiceP99(truth.services[service] as ServiceTruth, replicas)))

    function send (observation: Observation): void {
      if (random.next() < LOST_REPORT_RATE) return
      const lag = 1500 + random.below(3500)
      schedule(lag, () => observe(observation))
      if (random.next() < DUPLICATED_REPORT_RATE) schedule(lag + 1000, () => observe(observation))
    }
    function sendLatency (task: ModelTask, worker: ModelWorker, p99: number, load: number): void {
      send({ kind: 'latency', service: task.task.service as string, worker: worker.id, p99Ms: p99 * Math.exp(LATENCY_NOISE * computeNormal(random)), count: Math.round(load * REQUESTS_PER_REPORT), measuredAt: now })
    }
    function sendUsage (task: ModelTask, worker: ModelWorker): void {
      const cores = task.size.cores * task.share / Math.max(1, worker.overload)
      const noise = (): number => Math.max(0.5, 1 + USAGE_NOISE * computeNormal(random))
      send({ kind: 'usage', task: task.task.id, worker: worker.id, cores: cores * noise(), memoryBytes: task.size.memoryBytes * noise(), measuredAt: now })
    }
  }

  const addToWindow = (service: number, now: number, p99: number): void => {
    const window = Math.floor(now / WINDOW_MS)
    const key = `${service}/${window}`
    const sum = sums.get(key) ?? { service, window, total: 0, steps: 0 }
    sum.total += p99
    sum.steps += 1
    sums.set(key, sum)
  }

  return {
    getLoad,
    step,
    listWindows: () => [...sums.values()].map(({ service, window, total, steps }) => ({ service, window, p99Ms: total / steps, objectiveMs: (truth.services[service] as ServiceTruth).objectiveMs }))
  }
}

export function computeInterference (truth: GroundTruth, worker: ModelWorker, replica: ModelTask): number {
  let sum = 0
  for (const other of worker.tasks) {
    if (other !== replica && isUsingResources(other)) sum += getInterferenceCost(truth, replica.serviceIndex, other) * other.size.cores * other.share / worker.capacity.cores
  }
  return sum
}

export function getInterferenceCost (truth: GroundTruth, service: number, other: { serviceIndex: number, classIndex: number }): number {
  return (other.serviceIndex < 0 ? truth.interference[service]?.[other.classIndex] : truth.serviceInterference[service]?.[other.serviceIndex]) as number
}

function computeServiceP99 (service: ServiceTruth, replicas: number[]): number {
  return replicas.length > 0 ? computeMixtureP99(replicas) : service.objectiveMs * NO_REPLICA_RATIO
}

/** Computes the p99 over the requests of all replicas, each with an exponential tail and an equal part of the requests. */
export function computeMixtureP99 (replicas: number[]): number {
  let low = Math.min(...replicas)
  let high = Math.max(...replicas)
  for (let round = 0; round < 20 && high - low > 1e-3 * high; round++) {
    const middle = (low + high) / 2
    const tail = replicas.reduce((sum, p99) => sum + TAIL_PROBABILITY ** (middle / p99), 0) / replicas.length
    if (tail > TAIL_PROBABILITY) low = middle
    else high = middle
  }
  return high
}

function countReplicas (workers: ModelWorker[], running: number[], maxReplicaCounts: number[]): void {
  running.fill(0)
  workers.forEach((worker) => worker.tasks.forEach((task) => {
    if (worker.up && task.serviceIndex >= 0 && isUsingResources(task)) running[task.serviceIndex] = (running[task.serviceIndex] as number) + 1
  }))
  running.forEach((count, index) => { maxReplicaCounts[index] = Math.max(maxReplicaCounts[index] as number, count) })
}

/** Reports are due at intervals from the start of the task, so that different tasks report at different ticks. */
function isReportDue (task: ModelTask, now: number): boolean {
  return (now - task.startedAt) % REPORT_EVERY_MS === 0
}
