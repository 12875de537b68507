import { createManualClock, createNoopMetrics, createSilentLogger, Err, type EventLoopMeter, type ManualClock } from '../common/index.js'
import { createWorkflowCoordinator } from '../coordination/workflows/index.js'
import { COMMIT_MS, DEFAULT_SERVICE_BOUND, HOST_LEASE_MS, ONE_QUEUE, PLAIN_STEP } from '../emulator/index.js'
import { createMemoryLog } from '../fakes/memoryLog.js'
import { createFakeRunFleet } from '../fakes/runFleet.js'
import { checkEntry, type Entry, type Step } from '../state/index.js'

const SIZES = [10, 1000, 10_000, 100_000]
const WORKERS = 6
const GANG_TASKS = 1000
const TASK_MS = 500
const PLAYED_MS = 2000
/** Tasks that request nothing, so that any number fits on a worker. */
const SMALL_STEP: Step = { ...PLAIN_STEP, cores: 0, memoryMb: 0, expectedRunMs: TASK_MS }

type Shape = (tasks: number) => Array<{ id: string, step: Step }>

/** What a caller submits at once, by the total number of its tasks. */
const SHAPES: Record<string, Shape> = {
  one_step: (count) => [{ id: 'large', step: { ...SMALL_STEP, count } }],
  gangs: (count) => Array.from({ length: Math.ceil(count / GANG_TASKS) }, (_, number) => ({ id: `gang${number}`, step: { ...SMALL_STEP, gang: true, count: Math.min(count, GANG_TASKS) } }))
}

/** Keeps the longest call, in ms of real time, of each part. */
function createLongestMeter (longest: Map<string, number>): EventLoopMeter {
  return {
    measure: (part, work) => {
      const startedAt = performance.now()
      try {
        return work()
      } finally {
        longest.set(part, Math.max(longest.get(part) ?? 0, performance.now() - startedAt))
      }
    },
    stop: () => {}
  }
}

async function runFor (clock: ManualClock, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += 10) await clock.advance(10)
}

/** Plays one load with a leader in virtual time; returns the longest call of each part in ms, and the bytes of the largest entry. */
async function measureLoad (shape: Shape, tasks: number): Promise<Record<string, number>> {
  const clock = createManualClock(1000)
  const log = createMemoryLog('h1', { clock, commitMs: COMMIT_MS })
  const fleet = createFakeRunFleet(clock)
  const longest = new Map<string, number>()
  const entries = { bytes: 0, refused: 0 }
  const { propose } = log
  log.propose = async (entry: Entry, deadline) => {
    const checked = checkEntry(entry)
    if (checked.err) {
      entries.refused += 1
      return checked
    }
    entries.bytes = Math.max(entries.bytes, checked.val.bytes.length)
    return propose(entry, deadline)
  }
  const network = { self: 'h1', request: async () => Err({ kind: 'unreachable' as const, to: 'h2', message: 'no peers' }), handle: () => {} }
  fleet.plan = () => ({ runMs: TASK_MS, result: 'succeeded' })
  const coordinator = createWorkflowCoordinator({ clock, logger: createSilentLogger(), metrics: createNoopMetrics(), work: createLongestMeter(longest), network, log, availabilityZone: 'a', serviceBound: DEFAULT_SERVICE_BOUND, process: 'p1', client: fleet.client, hosts: fleet.hosts, hostLeaseMs: HOST_LEASE_MS, advice: fleet.advice })
  log.propose({ kind: 'catalog.put', catalog: ONE_QUEUE }, Infinity)
  Array.from({ length: WORKERS }, (_, number) => fleet.addWorker({ id: `w${number}`, address: `127.0.0.1:${number + 1}` })).forEach(({ life }) => log.propose({ kind: 'life.report', life }, Infinity))
  await runFor(clock, 500)
  longest.clear()
  shape(tasks).forEach(({ id, step }) => log.propose({ kind: 'workflow.submit', queue: 'quotes', workflow: { id, command: 'run', steps: [step] }, at: clock.wall() }, Infinity))
  await runFor(clock, PLAYED_MS)
  const started = fleet.events.filter(({ kind }) => kind === 'started').length
  await Promise.all([coordinator.stop(), runFor(clock, 1000)])
  const getLongest = (prefix: string): number => Math.max(0, ...[...longest].filter(([part]) => part.startsWith(prefix)).map(([, ms]) => ms))
  return { dispatch_ms: getLongest('dispatch.'), apply_ms: Math.max(getLongest('term.apply'), getLongest('sessions.apply')), session_ms: getLongest('session.'), entry_bytes: entries.bytes, refused_entries: entries.refused, started }
}

/** Measures the longest single calls on the thread and the largest entry for loads of different sizes. */
export async function measureWorkflowSizes (): Promise<Record<string, number>> {
  const figures: Record<string, number> = {}
  for (const [name, shape] of Object.entries(SHAPES)) {
    for (const tasks of SIZES) {
      const measured = await measureLoad(shape, tasks)
      Object.entries(measured).forEach(([figure, value]) => { figures[`${name}.${tasks}.${figure}`] = Number(value.toPrecision(4)) })
    }
  }
  return figures
}
