import { performance } from 'node:perf_hooks'
import { createNoopMetrics, createNoopEventLoopMeter, createRandom, createSilentLogger, createSystemClock } from '../common/index.js'
import { createReplica, openDisk, type Disk, type Entry, type Replica, type Step } from '../state/index.js'
import { openPeerNetwork } from '../transport/index.js'
import { computeQuantile } from './placement.js'

/** Rates of log entries at 870 task starts per second, as in a deployment of 342 workers. */
const ASSIGNS_PER_SECOND = 40
const ENDS_PER_SECOND = 200
const SUBMITS_PER_SECOND = 30
const ASSIGNMENTS_PER_ENTRY = 20
const ENDS_PER_ENTRY = 3
const WORKERS = 245
const STEPS_PER_WORKFLOW = 4
const TASKS_PER_STEP = 7
const RUN_MS = 1000
const TICK_MS = 5
/** Disk sync on the hosts of the deployment; see docs/platform.md. */
const SYNC_MS = 9
const PROPOSE_TIMEOUT_MS = 5000
/**
 * Task name of the first assignment of each entry. It stands for no task: its attempt number is the time of the proposal,
 * in units of 1/100 ms.
 */
const TIMESTAMP_TASK = 'stamp'
const TIMESTAMP_UNITS_PER_MS = 100

export interface HostSetup { name: string, position: number, names: string[], voters: string[], firstPort: number, folder: string }
interface Quantiles { p50: number, p99: number }
export interface HostFigures {
  name: string
  role: string
  cpuMs: number
  entries: number
  messages: number
  appends: number
  snapshots: number
  failed: number
  longestBlockMs: number
  answeredMs: Quantiles
  /** Time from the proposal of an assignment on the leader until this host applied it. */
  appliedMs: Quantiles
}

const clock = createSystemClock()
const STEP: Step = {
  count: TASKS_PER_STEP, cores: 2, memoryMb: 1000, accelerators: 0, expectedRunMs: 1000, dependsOn: [], gang: false, rackSensitive: false, speculative: false, checkpoints: false, lasting: false, image: 'beads', fills: false
}

await runHost(JSON.parse(process.argv[2] ?? '{}') as HostSetup)

async function runHost (setup: HostSetup): Promise<void> {
  const { name, position, names, voters, firstPort } = setup
  const addresses = new Map(names.map((other, index) => [other, `127.0.0.${index + 1}:${firstPort + index}`]))
  const network = await openPeerNetwork({
    self: name, listenHost: `127.0.0.${position + 1}`, listenPort: firstPort + position, secret: 's'.repeat(32), clock, logger: createSilentLogger(), metrics: createNoopMetrics(), work: createNoopEventLoopMeter(), findAddress: (host) => addresses.get(host)
  })
  let snapshots = 0
  const disk = createSlowDisk((await openDisk(setup.folder)).unwrap())
  const work = createNoopEventLoopMeter()
  const replica = (await createReplica({
    deployment: 'load',
    self: name,
    availabilityZone: `zone-${position % 3}`,
    clock,
    random: createRandom(position + 1),
    network,
    logger: createSilentLogger(),
    work: { ...work, measure: (part, action) => { if (part === 'log.snapshot') snapshots += 1; return action() } },
    disk,
    bootstrapVoters: voters,
    seeds: names
  })).unwrap()

  const running = new Map<string, Array<{ task: string, attempt: number, dueAt: number }>>()
  const waitingTasks: string[] = []
  const ends = new Map<string, number>()
  let answered: number[] = []
  let applied: number[] = []
  let failed = 0
  let submitted = 0
  let longestBlockMs = 0

  replica.subscribe((entry) => {
    if (entry.kind === 'workflow.submit') {
      entry.workflow.steps.forEach((step, number) => {
        Array.from({ length: step.count }).forEach((_, index) => waitingTasks.push(`${entry.workflow.id}.0.${number}.${index}`))
      })
    }
    if (entry.kind !== 'workflow.assign') return
    entry.assignments.forEach(([task, worker, attempt]) => {
      if (task === TIMESTAMP_TASK) return applied.push(readSharedTimeMs() - attempt / TIMESTAMP_UNITS_PER_MS)
      const tasks = running.get(worker) ?? []
      running.set(worker, tasks)
      return tasks.push({ task, attempt, dueAt: clock.now() + RUN_MS })
    })
    waitingTasks.splice(0, entry.assignments.length - 1)
  })

  const propose = async (entry: Entry, isCounted: boolean): Promise<void> => {
    const startedAt = clock.now()
    const result = await replica.propose(entry, startedAt + PROPOSE_TIMEOUT_MS)
    if (!result.ok) failed += 1
    if (isCounted) answered.push(clock.now() - startedAt)
  }

  const proposeSubmit = (): void => {
    submitted += 1
    propose({ kind: 'workflow.submit', queue: 'quotes', at: clock.wall(), workflow: { id: `${name}-${submitted}-9e88b53aa315d574`, command: '{"match":"beads"}'.repeat(4), steps: Array.from({ length: STEPS_PER_WORKFLOW }, () => STEP) } }, false)
  }

  let next = 0
  const proposeAssign = (): void => {
    // The offset skips tasks whose assignments were proposed and are not applied yet.
    const tasks = waitingTasks.slice(ASSIGNMENTS_PER_ENTRY * 2, ASSIGNMENTS_PER_ENTRY * 3)
    const assignments = tasks.map((task, index): [string, string, number] => [task, `worker-${(next + Math.floor(index / 3)) % WORKERS}`, 1])
    next += 7
    propose({ kind: 'workflow.assign', assignments: [[TIMESTAMP_TASK, 'none', Math.round(readSharedTimeMs() * TIMESTAMP_UNITS_PER_MS)], ...assignments] }, true)
  }

  const proposeEnd = (): void => {
    // The leader proposes no ends, so the workers are divided among the others.
    const followers = names.filter((other) => other !== replica.status().leader)
    const found = [...running].find(([worker, tasks]) => Number(worker.slice('worker-'.length)) % followers.length === followers.indexOf(name) && (tasks[ENDS_PER_ENTRY - 1]?.dueAt ?? Infinity) <= clock.now())
    const worker = found?.[0] ?? 'worker-0'
    const number = ends.get(worker) ?? 0
    const tasks = found === undefined ? Array.from({ length: ENDS_PER_ENTRY }, () => ({ task: '9e88b53aa315d574.0.0.0', attempt: 1 })) : found[1].splice(0, ENDS_PER_ENTRY)
    ends.set(worker, number + tasks.length)
    propose({ kind: 'workflow.end', lives: [{ worker, bornAt: 1, ends: tasks.map(({ task, attempt }, index) => [number + index + 1, task, attempt, 'succeeded', '']) }], judge: { host: '', division: 0 }, at: clock.wall() }, true)
  }

  const runLoad = async (): Promise<void> => {
    while (replica.status().leader === undefined) await clock.sleep(TICK_MS)
    if (isLeader(replica)) await proposeInitialEntries(replica)
    const startedAt = clock.now()
    let last = startedAt
    const counts = { submit: 0, assign: 0, end: 0 }
    while (true) {
      await clock.sleep(TICK_MS)
      const now = clock.now()
      longestBlockMs = Math.max(longestBlockMs, now - last - TICK_MS)
      last = now
      const seconds = (now - startedAt) / 1000
      const repeat = (key: keyof typeof counts, rate: number, action: () => void): void => {
        while (counts[key] < seconds * rate) {
          counts[key] += 1
          action()
        }
      }
      if (isLeader(replica)) {
        repeat('submit', SUBMITS_PER_SECOND, proposeSubmit)
        repeat('assign', ASSIGNS_PER_SECOND, proposeAssign)
      } else {
        repeat('end', ENDS_PER_SECOND / (names.length - 1), proposeEnd)
      }
    }
  }

  let start = { cpu: process.cpuUsage(), applied: 0, traffic: network.getTraffic() }
  const handlers: Record<string, () => unknown> = {
    reset: () => {
      answered = []
      applied = []
      failed = 0
      snapshots = 0
      longestBlockMs = 0
      start = { cpu: process.cpuUsage(), applied: replica.status().appliedIndex, traffic: network.getTraffic() }
      return 'reset'
    },
    read: (): HostFigures => {
      const cpu = process.cpuUsage(start.cpu)
      const traffic = network.getTraffic()
      const countMessages = (view: typeof traffic, kinds: string[]): number => kinds.reduce((sum, kind) => sum + (view.kinds[kind]?.messages ?? 0), 0)
      const kinds = Object.keys(traffic.kinds)
      return {
        name,
        role: replica.status().role,
        cpuMs: (cpu.user + cpu.system) / 1000,
        entries: replica.status().appliedIndex - start.applied,
        messages: countMessages(traffic, kinds) - countMessages(start.traffic, kinds),
        appends: countMessages(traffic, ['log.append']) - countMessages(start.traffic, ['log.append']),
        snapshots,
        failed,
        longestBlockMs,
        answeredMs: summarize(answered),
        appliedMs: summarize(applied)
      }
    },
    stop: () => process.exit(0)
  }
  process.on('message', (command: string) => { process.send?.(handlers[command]?.()) })
  process.on('disconnect', () => process.exit(0))
  await runLoad()
}

/** Wraps a disk so that each sync takes at least `SYNC_MS`. */
function createSlowDisk (disk: Disk): Disk {
  const addSyncDelay = async <T>(action: Promise<T>): Promise<T> => (await Promise.all([action, clock.sleep(SYNC_MS)]))[0]
  return {
    ...disk,
    sync: (file) => addSyncDelay(disk.sync(file)),
    writeAtomic: (file, bytes) => addSyncDelay(disk.writeAtomic(file, bytes))
  }
}

/** Proposes the catalog and the workers that the load needs. */
async function proposeInitialEntries (replica: Replica): Promise<void> {
  const propose = async (entry: Entry): Promise<unknown> => replica.propose(entry, clock.now() + PROPOSE_TIMEOUT_MS)
  await propose({
    kind: 'catalog.put',
    catalog: {
      version: 1,
      queues: [{ name: 'quotes', hostName: 'desk.example', pathPrefix: '/quotes/', service: 'desk', requestTimeoutMs: 3000, priority: 0, maxAttempts: 2, slackFactor: 2, objectiveMs: 500 }],
      pools: [{ service: 'desk', rejectsOverload: true, maxConnections: 64, standby: false }],
      document: '{}'
    }
  })
  await Promise.all(Array.from({ length: WORKERS }, (_, index) => propose({
    kind: 'life.report',
    life: { id: `worker-${index}`, bornAt: 1, service: 'desk', address: '', availabilityZone: 'zone-0', cores: 32, memoryMb: 100_000, accelerators: 0, labels: [], draining: false }
  })))
}

function isLeader (replica: Replica): boolean {
  return replica.status().role === 'leader'
}

/** Reads a clock that all processes of the machine share, in ms. */
function readSharedTimeMs (): number {
  return performance.timeOrigin + performance.now()
}

function summarize (values: number[]): Quantiles {
  return { p50: computeQuantile(values, 0.5), p99: computeQuantile(values, 0.99) }
}
