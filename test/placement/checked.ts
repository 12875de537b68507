import { createRandom } from '../../src/common/index.js'
import type { Decision, Observation, Placement, PlacementTask } from '../../src/coordination/placement/index.js'
import type { Policy, Resources } from '../../src/state/index.js'

/** A task from its start decision to its end, with the extremes of its CPU share and of its reported usage. */
interface RunningTask { task: PlacementTask, worker: string, size: Resources, lowestShare: number, lowestCores: number, highestMemory: number, reports: number }
interface WorkerStatus { capacity: Resources, up: boolean, draining: boolean }

export interface Violation { rule: string, detail: string }

const DIMENSIONS = ['cores', 'memoryBytes', 'accelerators'] as const
/** Relative tolerance for rounding errors. */
const ROUNDING = 1 + 1e-6

/** Checks each decision of a placement against the rules, only by its observations and decisions, and records the violations. */
export function createCheckedPlacement (inner: Placement): Placement & { violations: Violation[] } {
  const violations: Violation[] = []
  const workers = new Map<string, WorkerStatus>()
  const queued = new Map<string, PlacementTask>()
  const runningTasks = new Map<string, RunningTask>()
  const quotas = new Map<string, Resources>()
  const measuredTasks = new Map<string, Set<string>>()
  const evictions: number[] = []
  let policy: Policy | undefined
  let isolated = false
  const addViolation = (rule: string, detail: string): void => { violations.push({ rule, detail }) }

  const observers: { [K in Observation['kind']]?: (observation: Extract<Observation, { kind: K }>, now: number) => void } = {
    policy: (observation) => { ({ policy, isolated } = observation) },
    member: ({ member, quota }) => { quotas.set(member, quota) },
    'worker-up': ({ worker, capacity }) => { workers.set(worker, { capacity, up: true, draining: false }) },
    'worker-down': ({ worker }) => { const status = workers.get(worker); if (status !== undefined) status.up = false },
    'worker-drain': ({ worker }) => { const status = workers.get(worker); if (status !== undefined) status.draining = true },
    'task-queued': ({ task }) => { if (!runningTasks.has(task.id)) queued.set(task.id, task) },
    'task-cancelled': ({ task }) => { queued.delete(task) },
    'task-ended': ({ task, worker }) => { if (runningTasks.get(task)?.worker === worker) runningTasks.delete(task) },
    usage: ({ task, worker, cores, memoryBytes, measuredAt }, now) => {
      const running = runningTasks.get(task)
      if (running?.worker !== worker || measuredAt > now) return
      const measuredIds = measuredTasks.get(`${running.task.member}/${running.task.jobClass}`) ?? new Set()
      measuredTasks.set(`${running.task.member}/${running.task.jobClass}`, measuredIds.add(task))
      running.reports += 1
      running.lowestCores = Math.min(running.lowestCores, cores)
      running.highestMemory = Math.max(running.highestMemory, memoryBytes)
    }
  }

  const sumAllocations = (member: string): Resources => [...runningTasks.values()].filter(({ task }) => task.member === member)
    .reduce((sum, { size }) => ({ cores: sum.cores + size.cores, memoryBytes: sum.memoryBytes + size.memoryBytes, accelerators: sum.accelerators + size.accelerators }), { cores: 0, memoryBytes: 0, accelerators: 0 })

  const checkStart = ({ task: id, worker: workerId, size }: Extract<Decision, { kind: 'start' }>): void => {
    const task = queued.get(id)
    const worker = workers.get(workerId)
    if (task === undefined) addViolation('only queued tasks are started', `${id} is not queued`)
    if (worker === undefined || !worker.up || worker.draining) addViolation('only workers that are up and not draining are used', `${id} on ${workerId}`)
    if (task === undefined || worker === undefined) return
    queued.delete(id)
    runningTasks.set(id, { task, worker: workerId, size, lowestShare: 1, lowestCores: Infinity, highestMemory: 0, reports: 0 })
    // Smallest allocation that each task can have by now. A task without usage reports has the size of its start; memory is lowered only after 3 reports.
    const total = { cores: 0, memoryBytes: 0, accelerators: 0 }
    runningTasks.forEach((other) => {
      if (other.worker !== workerId) return
      total.cores += Math.min(other.size.cores, other.lowestCores) * other.lowestShare
      total.memoryBytes += other.reports >= 3 ? Math.min(other.size.memoryBytes, other.highestMemory) : other.size.memoryBytes
      total.accelerators += other.size.accelerators
    })
    DIMENSIONS.forEach((dimension) => {
      if (total[dimension] > worker.capacity[dimension] * ROUNDING) addViolation('capacity', `${workerId} ${dimension} ${total[dimension]} of ${worker.capacity[dimension]}`)
    })
    if (!measuredTasks.has(`${task.member}/${task.jobClass}`)) {
      const fits = [...workers.values()].some(({ capacity }) => DIMENSIONS.every((dimension) => task.size[dimension] <= capacity[dimension]))
      const undersizedDimension = DIMENSIONS.find((dimension) => size[dimension] < task.size[dimension] / ROUNDING)
      if (fits && undersizedDimension !== undefined) addViolation('unmeasured sizes are at least as declared', `${id} ${undersizedDimension}`)
    }
  }

  const checkStop = (decision: Extract<Decision, { kind: 'stop' }>, now: number): void => {
    const victim = runningTasks.get(decision.task)
    if (victim === undefined) return addViolation('only running tasks are stopped', decision.task)
    if (decision.causingMember === '' || decision.causingTask === '') addViolation('evictions name their cause', decision.task)
    if (isolated && decision.cause !== 'capacity') addViolation('under the isolation rules, evictions are for capacity only', `${decision.task} ${decision.cause}`)
    const quota = quotas.get(decision.causingMember)
    const usage = sumAllocations(decision.causingMember)
    if (decision.causingMember !== victim.task.member && quota !== undefined && DIMENSIONS.some((dimension) => usage[dimension] > quota[dimension] * ROUNDING)) {
      addViolation('quota', `${decision.causingMember} above its quota evicts ${decision.task} of ${victim.task.member} for ${decision.cause}`)
    }
    if (decision.cause === 'capacity') return
    evictions.push(now)
    // The limit counts orders within 60 s. A stop follows its order after 10 s at most (the timeout of the checkpoint), so stops within 50 s come from orders within 60 s.
    if (policy !== undefined && evictions.filter((at) => now - at < 50_000).length > policy.evictionsPerMinute) addViolation('eviction limit', `${decision.task} at ${now}`)
  }

  const checkRefusal = ({ task: id, dimension }: Extract<Decision, { kind: 'refuse' }>): void => {
    const task = queued.get(id)
    if (task === undefined) return addViolation('only queued tasks are refused', id)
    const capacities = [...workers.values()].map(({ capacity }) => capacity)
    if (capacities.length === 0 || capacities.some((capacity) => DIMENSIONS.every((other) => task.size[other] <= capacity[other]))) addViolation('only tasks that fit no worker are refused', `${id} fits`)
    if (!capacities.some((capacity) => task.size[dimension] > capacity[dimension])) addViolation('refusals name the dimension', `${id} ${dimension}`)
    queued.delete(id)
  }

  const checkQueue = (): void => queued.forEach((task) => {
    const capacities = [...workers.values()].map(({ capacity }) => capacity)
    if (capacities.length === 0 || capacities.some((capacity) => DIMENSIONS.every((dimension) => task.size[dimension] <= capacity[dimension]))) return
    // From 8 measured tasks of its class on, the task may wait, because the measured size may overrule the declared one.
    if ((measuredTasks.get(`${task.member}/${task.jobClass}`)?.size ?? 0) < 8) addViolation('tasks that fit no worker are refused at once', task.id)
  })

  return {
    violations,
    observe: (observation, now) => {
      const observer = observers[observation.kind] as ((observation: Observation, now: number) => void) | undefined
      observer?.(observation, now)
      inner.observe(observation, now)
    },
    decide: (now) => {
      const decisions = inner.decide(now)
      decisions.forEach((decision) => {
        if (decision.kind === 'start') checkStart(decision)
        if (decision.kind === 'stop') checkStop(decision, now)
        if (decision.kind === 'refuse') checkRefusal(decision)
        if (decision.kind === 'throttle') {
          const running = runningTasks.get(decision.task)
          if (running !== undefined) running.lowestShare = Math.min(running.lowestShare, decision.share)
        }
      })
      checkQueue()
      return decisions
    },
    explain: inner.explain
  }
}

/**
 * Disturbs some kinds of observations with the probability `rate`, as a faulty network or clock would: usage and latency
 * reports are lost, dated 60 s into the future, or delivered twice, the second time at once or later; the other kinds
 * are delivered twice at once.
 */
export function createDisturbedPlacement (inner: Placement, seed: number, rate: number): Placement {
  const random = createRandom(seed)
  const delayed: Observation[] = []
  const disturbedKinds = new Set(['usage', 'latency', 'guard', 'task-started', 'task-ended', 'task-queued'])
  return {
    ...inner,
    observe: (observation, now) => {
      const isReport = observation.kind === 'usage' || observation.kind === 'latency'
      const draw = random.next()
      if (!disturbedKinds.has(observation.kind) || draw > rate) return inner.observe(observation, now)
      if (isReport && draw < rate * 0.25) return
      if (isReport && draw < rate * 0.5) return inner.observe({ ...observation, measuredAt: now + 60_000 }, now)
      if (isReport && draw < rate * 0.75) delayed.push(observation)
      else inner.observe(observation, now)
      inner.observe(observation, now)
    },
    decide: (now) => {
      delayed.splice(0, delayed.length > 5 ? 3 : 0).reverse().forEach((observation) => inner.observe(observation, now))
      return inner.decide(now)
    }
  }
}
