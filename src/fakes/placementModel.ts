import { createRandom } from '../common/index.js'
import type { Decision, Observation, Placement } from '../coordination/placement/index.js'
import { createModelLatency, type WindowP99 } from './placementModelLatency.js'
import { createModelWorker, startOnWorker, runWorker, type ModelTask, type ModelWorker } from './placementModelWorker.js'
import { createJobStream, type ModelDeployment, type TaskTruth, type GroundTruth } from './placementGroundTruth.js'

const TICK_MS = 500
/** Batch work that arrives, as a part of all cores; slightly more than fits beside the services. */
const OFFERED_BATCH_LOAD = 0.9
/** Batch work that waits at the start, as the time that it takes to arrive at the offered load. */
const INITIAL_BACKLOG_MS = 60_000
const EXCHANGE_MS = 1000
const STOP_MS = 2000
const CHECKPOINT_MS = 3000
const DEFAULT_SETTLING_MS = 60_000
const TASK_LEASE_MS = 15_000

/** Events and loads during a run, by virtual time. */
export interface ModelScenario {
  name: string
  /** Load of each replica of a service; 1 is the load that it is designed for. */
  getLoad (service: number, now: number): number
  misdeclaredShare: number
  lostRack?: { rack: string, from: number, to: number }
  cancellationsAt?: number[]
  /** Part of the workers on which every task fails. */
  failingWorkers?: number
  failingClasses?: number
  urgentEveryMs: number
}

export interface ModelOptions {
  seed: number
  deployment: ModelDeployment
  scenario: ModelScenario
  truth: GroundTruth
  durationMs: number
  /** Time at the start that is excluded from the latency results, because all replicas start in it; 60 s by default. */
  settlingMs?: number
}

/** Hidden state of the model, which only the oracle may read. */
export interface ModelView {
  truth: GroundTruth
  tasks: Map<string, ModelTask>
  workers: ModelWorker[]
  getLoad (service: number): number
}

export interface ModelStop { decision: Extract<Decision, { kind: 'stop' }>, victimMember: string, aboveQuota: boolean, at: number }

export interface ModelResult {
  windows: WindowP99[]
  /** Core milliseconds of batch tasks, without the work of failed tasks and the work that was lost since a checkpoint. */
  batchWork: number
  stops: ModelStop[]
  urgentStartMs: number[]
  failedTasks: number
  guardRefusals: number
  overloadedTicks: number
  starts: number
  decideMs: number
  startsOnFailingWorkers: number
}

export type { ModelTask, ModelWorker }

export type CreatePolicy = (view: ModelView) => Placement

/** Runs one policy in virtual time against workers that behave by a ground truth hidden from it. */
export function runPlacementModel (options: ModelOptions, createPolicy: CreatePolicy): ModelResult {
  const { deployment, scenario, truth, durationMs } = options
  const random = createRandom(options.seed + 1)
  const jobs = createJobStream(truth, options.seed + 2, scenario.misdeclaredShare)
  const tasks = new Map<string, ModelTask>()
  const workers = Array.from({ length: deployment.workers }, (_, index) => createModelWorker(deployment, index,
    index < Math.round((scenario.failingWorkers ?? 0) * deployment.workers)))
  const workersById = new Map(workers.map((worker) => [worker.id, worker]))
  const result: ModelResult = { windows: [], batchWork: 0, stops: [], urgentStartMs: [], failedTasks: 0, guardRefusals: 0, overloadedTicks: 0, starts: 0, decideMs: 0, startsOnFailingWorkers: 0 }
  // Each member submits its next job at the time at which its previous jobs would be done at the offered load.
  const submittedWork = new Map(deployment.members.map(({ id }) => [id, 0]))
  const offeredCores = OFFERED_BATCH_LOAD * deployment.workers * deployment.capacity.cores / deployment.members.length
  const timers: Array<{ at: number, run: () => void }> = []
  let now = 0

  const latency = createModelLatency(truth, scenario, workers, options.settlingMs ?? DEFAULT_SETTLING_MS)
  const placement = createPolicy({ truth, tasks, workers, getLoad: (service) => latency.getLoad(service, now) })
  const observe = (observation: Observation): void => {
    const started = performance.now()
    placement.observe(observation, now)
    result.decideMs += performance.now() - started
  }
  const schedule = (delayMs: number, run: () => void): void => { timers.push({ at: now + delayMs, run }) }

  // Commands reach a worker with its exchange once a second, so they arrive in order.
  const computeExchangeDelay = (worker: string): number => EXCHANGE_MS - (now + (workersById.get(worker)?.phase ?? 0)) % EXCHANGE_MS
  const submit = (known: TaskTruth): void => {
    tasks.set(known.task.id, { ...known, state: 'queued', worker: undefined, progressMs: 0, checkpointMs: 0, checkpointAt: 0, share: 1, queuedAt: now, startedAt: 0, attempt: 0, cancelled: false, allocation: known.task.size })
    observe({ kind: 'task-queued', task: known.task })
  }

  const endTask = (task: ModelTask, end: Extract<Observation, { kind: 'task-ended' }>['result']): void => {
    const worker = task.worker
    if (worker === undefined) return
    worker.tasks.delete(task)
    task.worker = undefined
    observe({ kind: 'task-ended', task: task.task.id, worker: worker.id, result: end })
    if (end === 'succeeded' || end === 'failed' || task.cancelled) {
      if (end === 'failed') {
        result.failedTasks += 1
        result.batchWork -= task.progressMs * task.size.cores
      }
      tasks.delete(task.task.id)
      return
    }
    if (task.serviceIndex < 0) result.batchWork -= (task.progressMs - task.checkpointMs) * task.size.cores
    task.progressMs = task.checkpointMs
    task.state = 'queued'
    task.share = 1
    task.queuedAt = now
    task.task = { ...task.task, resumed: end !== 'refused' }
    observe({ kind: 'task-queued', task: task.task })
  }

  const stopTask = (task: ModelTask): void => {
    if (task.state === 'stopping' || task.state === 'queued') return
    task.state = 'stopping'
    const attempt = task.attempt
    schedule(STOP_MS, () => { if (task.attempt === attempt) endTask(task, 'stopped') })
  }

  const applyStart = (decision: Extract<Decision, { kind: 'start' }>): void => {
    const task = tasks.get(decision.task)
    const worker = workersById.get(decision.worker)
    if (task === undefined || worker === undefined || task.state !== 'queued') return
    result.starts += 1
    if (worker.failing) result.startsOnFailingWorkers += 1
    Object.assign(task, { state: 'starting', worker, attempt: task.attempt + 1, allocation: decision.size, startedAt: now })
    worker.tasks.add(task)
    observe({ kind: 'task-started', task: task.task, worker: worker.id })
    const attempt = task.attempt
    // Urgent starts are sent at once, others with the worker's next exchange.
    schedule(task.task.urgent ? 50 : computeExchangeDelay(worker.id), () => {
      if (task.attempt !== attempt || task.state !== 'starting') return
      const end = startOnWorker(worker, task, now)
      if (end === 'refused') {
        result.guardRefusals += 1
        observe({ kind: 'guard', worker: worker.id, active: true })
        endTask(task, 'refused')
      } else if (task.task.urgent && worker.up) result.urgentStartMs.push(now - task.queuedAt)
    })
  }

  const isMemberAboveQuota = (member: string): boolean => {
    const share = deployment.members.find(({ id }) => id === member)?.quotaShare ?? 0
    const allocations = [...tasks.values()].filter((task) => task.task.member === member && task.worker !== undefined).map((task) => task.allocation)
    return allocations.reduce((sum, { cores }) => sum + cores, 0) > share * deployment.capacity.cores * deployment.workers ||
      allocations.reduce((sum, { memoryBytes }) => sum + memoryBytes, 0) > share * deployment.capacity.memoryBytes * deployment.workers
  }

  const handlers: { [K in Decision['kind']]: (decision: Extract<Decision, { kind: K }>) => void } = {
    start: applyStart,
    throttle: ({ task, worker, share }) => schedule(computeExchangeDelay(worker), () => { const known = tasks.get(task); if (known !== undefined) known.share = share }),
    checkpoint: ({ task }) => {
      const known = tasks.get(task)
      const attempt = known?.attempt
      schedule(CHECKPOINT_MS, () => {
        if (known?.worker === undefined || known.attempt !== attempt) return
        known.checkpointMs = known.progressMs
        observe({ kind: 'task-checkpointed', task, worker: known.worker.id })
      })
    },
    stop: (decision) => {
      const known = tasks.get(decision.task)
      if (known === undefined || known.state === 'queued') return
      result.stops.push({ decision, victimMember: known.task.member, aboveQuota: decision.causingMember !== known.task.member && isMemberAboveQuota(decision.causingMember), at: now })
      observe({ kind: 'task-stopping', task: decision.task })
      stopTask(known)
    },
    refuse: ({ task }) => { tasks.delete(task) },
    quarantine: () => {},
    probe: () => {}
  }

  const applyEvents = (): void => {
    const { lostRack } = scenario
    if (lostRack?.from === now) {
      workers.filter(({ rack }) => rack === lostRack.rack).forEach((worker) => {
        worker.up = false
        observe({ kind: 'worker-down', worker: worker.id })
        const lost = [...worker.tasks]
        schedule(TASK_LEASE_MS, () => lost.forEach((task) => { if (task.worker === worker) endTask(task, 'lost') }))
      })
    }
    if (lostRack?.to === now) {
      workers.filter(({ rack }) => rack === lostRack.rack).forEach((worker) => {
        worker.up = true
        observe({ kind: 'worker-up', worker: worker.id, rack: worker.rack, availabilityZone: 'zone', capacity: deployment.capacity })
      })
    }
    if (scenario.cancellationsAt?.includes(now) === true) {
      [...tasks.values()].filter(({ serviceIndex }) => serviceIndex < 0).forEach((task) => {
        if (random.next() < 0.5) return
        task.cancelled = true
        observe({ kind: 'task-cancelled', task: task.task.id })
        if (task.state === 'queued') {
          tasks.delete(task.task.id)
        } else stopTask(task)
      })
    }
    deployment.members.forEach(({ id }) => {
      while ((submittedWork.get(id) ?? 0) < (now + INITIAL_BACKLOG_MS) * offeredCores) {
        const job = jobs.next(id)
        submittedWork.set(id, (submittedWork.get(id) ?? 0) + job.reduce((sum, { workMs, size }) => sum + workMs * size.cores, 0))
        job.forEach(submit)
      }
    })
    if (now > 0 && now % scenario.urgentEveryMs === 0) {
      const member = deployment.members[(now / scenario.urgentEveryMs) % deployment.members.length] as { id: string }
      submit(jobs.nextUrgent(member.id))
    }
  }

  const decide = (): void => {
    const started = performance.now()
    const decisions = placement.decide(now)
    result.decideMs += performance.now() - started
    decisions.forEach((decision) => (handlers[decision.kind] as (decision: Decision) => void)(decision))
  }

  observe({ kind: 'policy', preset: 'ordinary', revision: 1, policy: deployment.policy, isolated: false })
  deployment.members.forEach(({ id, quotaShare }) => observe({ kind: 'member', member: id, weight: 1, quota: { cores: quotaShare * deployment.workers * deployment.capacity.cores, memoryBytes: quotaShare * deployment.workers * deployment.capacity.memoryBytes, accelerators: 0 } }))
  truth.services.forEach((service) => observe({ kind: 'service', service: service.id, member: service.member, latencyMs: service.objectiveMs, quantile: 0.99 }))
  workers.forEach((worker) => observe({ kind: 'worker-up', worker: worker.id, rack: worker.rack, availabilityZone: 'zone', capacity: deployment.capacity }))
  truth.services.forEach((service, serviceIndex) => Array.from({ length: deployment.replicas }, (_, index) => submit({
    task: { id: `${service.id}-${index}`, job: service.id, member: service.member, jobClass: service.id, service: service.id, size: service.size, expectedRunMs: 1e9, urgent: false, idempotent: true, resumed: false },
    classIndex: -1,
    serviceIndex,
    size: service.size,
    workMs: Infinity
  })))

  for (; now < durationMs; now += TICK_MS) {
    const due = timers.filter(({ at }) => at <= now)
    timers.splice(0, timers.length, ...timers.filter(({ at }) => at > now))
    due.sort((one, other) => one.at - other.at).forEach(({ run }) => run())
    applyEvents()
    workers.forEach((worker) => {
      const step = runWorker(worker, TICK_MS, now, truth, random)
      result.batchWork += step.batchWork
      if (step.overload > 1) result.overloadedTicks += 1
      step.ended.forEach(({ task, end }) => endTask(task, end))
    })
    latency.step(now, random, schedule, observe)
    decide()
  }
  result.windows = latency.listWindows()
  return result
}
