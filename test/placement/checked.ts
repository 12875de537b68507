import { createRandom } from '../../src/common/index.js'
import type { Decision, Observation, Placement, PlacementTask } from '../../src/coordination/placement/index.js'
import type { Policy, Resources } from '../../src/state/index.js'

interface Held { task: PlacementTask, worker: string, size: Resources, lowestShare: number, lowestCores: number, highestMemory: number, reports: number }
interface KnownWorker { capacity: Resources, up: boolean, draining: boolean }

export interface Violation { rule: string, detail: string }

const DIMENSIONS = ['cores', 'memoryBytes', 'accelerators'] as const
const ROUNDING = 1 + 1e-6

/** Watches the port of a placement and notes each decision that breaks a rule; it sees nothing of the inside. */
export function createCheckedPlacement (inner: Placement): Placement & { violations: Violation[] } {
  const violations: Violation[] = []
  const workers = new Map<string, KnownWorker>()
  const queued = new Map<string, PlacementTask>()
  const held = new Map<string, Held>()
  const quotas = new Map<string, Resources>()
  const measured = new Map<string, Set<string>>()
  const evictions: number[] = []
  let policy: Policy | undefined
  let isolated = false
  const add = (rule: string, detail: string): void => { violations.push({ rule, detail }) }

  const observers: { [K in Observation['kind']]?: (observation: Extract<Observation, { kind: K }>, now: number) => void } = {
    policy: (observation) => { ({ policy, isolated } = observation) },
    member: ({ member, quota }) => { quotas.set(member, quota) },
    'worker-up': ({ worker, capacity }) => { workers.set(worker, { capacity, up: true, draining: false }) },
    'worker-down': ({ worker }) => { const known = workers.get(worker); if (known !== undefined) known.up = false },
    'worker-drain': ({ worker }) => { const known = workers.get(worker); if (known !== undefined) known.draining = true },
    'task-queued': ({ task }) => { if (!held.has(task.id)) queued.set(task.id, task) },
    'task-cancelled': ({ task }) => { queued.delete(task) },
    'task-ended': ({ task, worker }) => { if (held.get(task)?.worker === worker) held.delete(task) },
    usage: ({ task, worker, cores, memoryBytes, measuredAt }, now) => {
      const known = held.get(task)
      if (known?.worker !== worker || measuredAt > now) return
      const alike = measured.get(`${known.task.member}/${known.task.jobClass}`) ?? new Set()
      measured.set(`${known.task.member}/${known.task.jobClass}`, alike.add(task))
      known.reports += 1
      known.lowestCores = Math.min(known.lowestCores, cores)
      known.highestMemory = Math.max(known.highestMemory, memoryBytes)
    }
  }

  const sumHeld = (member: string): Resources => [...held.values()].filter(({ task }) => task.member === member)
    .reduce((sum, { size }) => ({ cores: sum.cores + size.cores, memoryBytes: sum.memoryBytes + size.memoryBytes, accelerators: sum.accelerators + size.accelerators }), { cores: 0, memoryBytes: 0, accelerators: 0 })

  const checkStart = ({ task: id, worker: workerId, size }: Extract<Decision, { kind: 'start' }>): void => {
    const task = queued.get(id)
    const worker = workers.get(workerId)
    if (task === undefined) add('started once', `${id} is not queued`)
    if (worker === undefined || !worker.up || worker.draining) add('only usable workers', `${id} on ${workerId}`)
    if (task === undefined || worker === undefined) return
    queued.delete(id)
    held.set(id, { task, worker: workerId, size, lowestShare: 1, lowestCores: Infinity, highestMemory: 0, reports: 0 })
    // Lowest promise that each task can have by now; an unreported task has exactly what it was started with.
    const total = { cores: 0, memoryBytes: 0, accelerators: 0 }
    held.forEach((other) => {
      if (other.worker !== workerId) return
      total.cores += Math.min(other.size.cores, other.lowestCores) * other.lowestShare
      total.memoryBytes += other.reports >= 3 ? Math.min(other.size.memoryBytes, other.highestMemory) : other.size.memoryBytes
      total.accelerators += other.size.accelerators
    })
    DIMENSIONS.forEach((dimension) => {
      if (total[dimension] > worker.capacity[dimension] * ROUNDING) add('capacity', `${workerId} ${dimension} ${total[dimension]} of ${worker.capacity[dimension]}`)
    })
    if (!measured.has(`${task.member}/${task.jobClass}`)) {
      const fits = [...workers.values()].some(({ capacity }) => DIMENSIONS.every((dimension) => task.size[dimension] <= capacity[dimension]))
      const less = DIMENSIONS.find((dimension) => size[dimension] < task.size[dimension] / ROUNDING)
      if (fits && less !== undefined) add('unmeasured sizes are at least as declared', `${id} ${less}`)
    }
  }

  const checkStop = (decision: Extract<Decision, { kind: 'stop' }>, now: number): void => {
    const victim = held.get(decision.task)
    if (victim === undefined) return add('stops what runs', decision.task)
    if (decision.causingMember === '' || decision.causingTask === '') add('evictions name their cause', decision.task)
    if (isolated && decision.cause !== 'capacity') add('isolation evicts for capacity only', `${decision.task} ${decision.cause}`)
    const quota = quotas.get(decision.causingMember)
    const usage = sumHeld(decision.causingMember)
    if (decision.causingMember !== victim.task.member && quota !== undefined && DIMENSIONS.some((dimension) => usage[dimension] > quota[dimension] * ROUNDING)) {
      add('quota', `${decision.causingMember} above its quota evicts ${decision.task} of ${victim.task.member} for ${decision.cause}`)
    }
    if (decision.cause === 'capacity') return
    evictions.push(now)
    // A stop may follow its order by the deadline of the checkpoint.
    if (policy !== undefined && evictions.filter((at) => now - at < 50_000).length > policy.evictionsPerMinute) add('allowance', `${decision.task} at ${now}`)
  }

  const checkRefusal = ({ task: id, dimension }: Extract<Decision, { kind: 'refuse' }>): void => {
    const task = queued.get(id)
    if (task === undefined) return add('refuses what is queued', id)
    const capacities = [...workers.values()].map(({ capacity }) => capacity)
    if (capacities.length === 0 || capacities.some((capacity) => DIMENSIONS.every((other) => task.size[other] <= capacity[other]))) add('refusals are right', `${id} fits`)
    if (!capacities.some((capacity) => task.size[dimension] > capacity[dimension])) add('refusals name the dimension', `${id} ${dimension}`)
    queued.delete(id)
  }

  const checkQueue = (): void => queued.forEach((task) => {
    const capacities = [...workers.values()].map(({ capacity }) => capacity)
    if (capacities.length === 0 || capacities.some((capacity) => DIMENSIONS.every((dimension) => task.size[dimension] <= capacity[dimension]))) return
    if ((measured.get(`${task.member}/${task.jobClass}`)?.size ?? 0) < 8) add('refused at once', task.id)
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
          const known = held.get(decision.task)
          if (known !== undefined) known.lowestShare = Math.min(known.lowestShare, decision.share)
        }
      })
      checkQueue()
      return decisions
    },
    explain: inner.explain
  }
}

/** Loses, delays, repeats and falsifies the times of reports, as a broken network and clock would. */
export function createDisturbedPlacement (inner: Placement, seed: number, rate: number): Placement {
  const random = createRandom(seed)
  const delayed: Observation[] = []
  const disturbed = new Set(['usage', 'latency', 'guard', 'task-started', 'task-ended', 'task-queued'])
  return {
    ...inner,
    observe: (observation, now) => {
      const report = observation.kind === 'usage' || observation.kind === 'latency'
      const dice = random.next()
      if (!disturbed.has(observation.kind) || dice > rate) return inner.observe(observation, now)
      if (report && dice < rate * 0.25) return
      if (report && dice < rate * 0.5) return inner.observe({ ...observation, measuredAt: now + 60_000 }, now)
      if (report && dice < rate * 0.75) delayed.push(observation)
      else inner.observe(observation, now)
      inner.observe(observation, now)
    },
    decide: (now) => {
      delayed.splice(0, delayed.length > 5 ? 3 : 0).reverse().forEach((observation) => inner.observe(observation, now))
      return inner.decide(now)
    }
  }
}
