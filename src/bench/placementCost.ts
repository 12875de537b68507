import { createRandom } from '../common/index.js'
import { createPlacement, type Decision, type Placement, type PlacementTask } from '../coordination/placement/index.js'
import { DEFAULT_PRESETS, type Policy } from '../state/index.js'
import type { Figure } from './placement.js'

const GB = 1e9
const SERVICES = 24
const CLASSES = 40
const MEMBERS = 48
/** Replicas, batch tasks and starts per worker in the intended deployment of 730 workers. */
const REPLICAS_PER_WORKER = 1600 / 730
const BATCH_TASKS_PER_WORKER = 6200 / 730
const STARTS_PER_WORKER_PER_SECOND = 290 / 730
const DECIDE_EVERY_MS = 250
const WARM_UP_MS = 20_000

export interface PlacementCostOptions { seed: number, workers: number[], measuredMs: number }

/** Measures the real time of observations and decisions in steady state, as a part of one core, for several numbers of workers. */
export function runPlacementCost (options: PlacementCostOptions): Figure[] {
  const rows = options.workers.map((workers) => ({ workers, ...measureCost(workers, options) }))
  const figures = rows.flatMap(({ workers, share, startMs, decideMs, starts, waiting }) => {
    const prefix = `placement.cost.workers_${workers}`
    return [
      { name: `${prefix}.core_share`, value: share * 100, unit: '%' },
      { name: `${prefix}.per_start`, value: startMs, unit: 'ms' },
      { name: `${prefix}.per_decide`, value: decideMs, unit: 'ms' },
      { name: `${prefix}.starts_per_s`, value: starts, unit: '1/s' },
      { name: `${prefix}.waiting`, value: waiting, unit: 'tasks' }
    ]
  })
  const [first, last] = [rows[0], rows.at(-1)]
  if (first === undefined || last === undefined || first === last) return figures
  // Exponent of the growth with the number of workers, at equal starts and reports per worker; 1 is linear.
  const exponent = Math.log(last.share / first.share) / Math.log(last.workers / first.workers)
  return [...figures, { name: 'placement.cost.growth_exponent', value: exponent, unit: '' }].map((figure) => ({ ...figure, value: Number(figure.value.toPrecision(4)) }))
}

function measureCost (workers: number, { seed, measuredMs }: PlacementCostOptions): { share: number, startMs: number, decideMs: number, starts: number, waiting: number } {
  const random = createRandom(seed)
  const placement = createPlacement({ seed })
  const running = new Map<string, { task: PlacementTask, worker: string, endsAt: number }>()
  let nextTask = 0
  let starts = 0
  let waiting = 0
  const submit = (service: string | undefined, now: number): void => {
    const classIndex = random.below(CLASSES)
    const task: PlacementTask = {
      id: `t${nextTask++}`,
      job: service ?? `j${Math.floor(nextTask / 20)}`,
      member: `m${random.below(MEMBERS)}`,
      jobClass: service ?? `c${classIndex}`,
      ...service !== undefined && { service },
      size: { cores: 1 + classIndex % 3 * 0.5, memoryBytes: (2 + classIndex % 5) * GB, accelerators: 0 },
      expectedRunMs: 20_000,
      urgent: service === undefined && random.below(100) === 0,
      idempotent: true,
      resumed: false
    }
    tasks.set(task.id, task)
    waiting += 1
    placement.observe({ kind: 'task-queued', task }, now)
  }
  const tasks = new Map<string, PlacementTask>()
  const apply = (decisions: Decision[], now: number): void => decisions.forEach((decision) => {
    if (decision.kind !== 'start') return
    const task = tasks.get(decision.task)
    if (task === undefined) return
    starts += 1
    waiting -= 1
    placement.observe({ kind: 'task-started', task, worker: decision.worker }, now)
    // Little's law: with this mean run time, the intended rate of starts keeps the intended number of tasks running.
    const runMs = BATCH_TASKS_PER_WORKER / STARTS_PER_WORKER_PER_SECOND * 1000 * (0.5 + random.next())
    running.set(task.id, { task, worker: decision.worker, endsAt: task.service === undefined ? now + runMs : Infinity })
  })

  placement.observe({ kind: 'policy', preset: 'ordinary', revision: 1, policy: DEFAULT_PRESETS['ordinary'] as Policy, isolated: false }, 0)
  Array.from({ length: SERVICES }, (_, index) => placement.observe({ kind: 'service', service: `s${index}`, member: 'm0', latencyMs: 20, quantile: 0.99 }, 0))
  Array.from({ length: workers }, (_, index) => placement.observe({ kind: 'worker-up', worker: `w${index}`, rack: `r${Math.floor(index / 10)}`, availabilityZone: 'z', capacity: { cores: 32, memoryBytes: 128 * GB, accelerators: 0 } }, 0))
  Array.from({ length: Math.round(workers * REPLICAS_PER_WORKER) }, (_, index) => submit(`s${index % SERVICES}`, 0))
  Array.from({ length: Math.round(workers * BATCH_TASKS_PER_WORKER) }, () => submit(undefined, 0))

  let totalMs = 0
  let decideTotalMs = 0
  let decides = 0
  let dueStarts = 0
  for (let now = 0; now < WARM_UP_MS + measuredMs; now += DECIDE_EVERY_MS) {
    if (now === WARM_UP_MS) [totalMs, decideTotalMs, decides, starts] = [0, 0, 0, 0]
    dueStarts += workers * STARTS_PER_WORKER_PER_SECOND * DECIDE_EVERY_MS / 1000
    for (; dueStarts >= 1; dueStarts--) submit(undefined, now)
    const ended = [...running.values()].filter(({ endsAt }) => endsAt <= now)
    const reporting = [...running.values()].filter((_, index) => index % 4 === (now / DECIDE_EVERY_MS) % 4)
    const started = performance.now()
    ended.forEach(({ task, worker }) => placement.observe({ kind: 'task-ended', task: task.id, worker, result: 'succeeded' }, now))
    sendReports(placement, reporting, now, random.next())
    const beforeDecide = performance.now()
    const decisions = placement.decide(now)
    const after = performance.now()
    totalMs += after - started
    decideTotalMs += after - beforeDecide
    decides += 1
    ended.forEach(({ task }) => { running.delete(task.id); tasks.delete(task.id) })
    apply(decisions, now)
  }
  return { share: totalMs / measuredMs, startMs: decideTotalMs / Math.max(1, starts), decideMs: decideTotalMs / decides, starts: starts / measuredMs * 1000, waiting }
}

/** Sends the usage reports of tasks and the latency reports of replicas; the caller passes each task once a second. */
function sendReports (placement: Placement, reporting: Array<{ task: PlacementTask, worker: string }>, now: number, noise: number): void {
  reporting.forEach(({ task, worker }) => {
    const factor = 0.9 + 0.2 * noise
    placement.observe({ kind: 'usage', task: task.id, worker, cores: task.size.cores * factor, memoryBytes: task.size.memoryBytes * 0.9, measuredAt: now - 500 }, now)
    if (task.service !== undefined) placement.observe({ kind: 'latency', service: task.service, worker, p99Ms: 8 + 2 * factor, count: 200 + Math.round(40 * noise), measuredAt: now - 500 }, now)
  })
}
