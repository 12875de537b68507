import { createRandom, type Random } from '../../src/common/index.js'
import type { RunningTask } from '../../src/fakes/runWorker.js'
import { createHosts, SERVICE_BOUND, type Hosts } from '../workflows/support.js'
import { createTroubles } from './troubles.js'

const HOSTS = ['h1', 'h2', 'h3', 'h4', 'h5']
const WORKERS = 6
const WORKER_CORES = 32
const SERVICES = ['calm', 'touchy', 'calm', 'touchy', 'calm', 'touchy']
const SERVICE_TASKS = 4
const SERVICE_CORES = 5
const FILLS = ['red', 'green', 'blue', 'white']
const TARGET_MS = 18
const UNLOADED_MS = 4
const MEAN_LOAD = 0.42
const SWING_MS = 10_000
const TASK_CORES = 3.5
/** Tasks beyond three of the largest batch: a calm day, a busy one, and more than the workers bear. */
const LARGEST_BATCHES = [6, 12, 18]
const TASK_MS = 2700
const BATCH_OBJECTIVE_MS = 3 * TASK_MS
const STEP_MS = 100
const READING_MS = 500
/** Readings are off by up to this part. */
const READING_ERROR = 0.05
/** A saturated service leaves work undone up to this, and catches up later. */
const MAX_BACKLOG_MS = 1500
const SETTLE_MS = 15_000
const LOAD_MS = 50_000
/** Longer than a play. */
const PLAY_MS = 90_000
/** Part of its time that an image disturbs a service much. */
const HEAVY_SHARE = 0.35
/** No service may be over its target by what fills beside it for longer. */
export const BOUND_MS = SERVICE_BOUND.overTargetMs

/** What one load did to services and callers. */
export interface ServicePlay {
  /** Longest time that a service was over its target on end, up to a moment without troubles at which work that fills was beside it, ms. */
  longestMs: number
  harmedShare: number
  batches: number
  onTime: number
  stops: number
  /** What was disturbed, and from when to when. */
  troubles: string[]
}

interface Service { backlogMs: number, overSince: number | undefined, sum: number, reading: number }

interface Pressure { value: number, until: number }

/** A filling image disturbs a service image by an amount that changes within seconds: most of the time little, at times much. */
function createPressures (random: Random): (service: string, fill: string, now: number) => number {
  const chooseNext = (from: number): Pressure => ({ value: random.next() < HEAVY_SHARE ? 1.3 + 1.7 * random.next() : 0.25 * random.next(), until: from + 3000 + random.below(15_000) })
  const pairs = new Map([...new Set(SERVICES)].flatMap((service) => FILLS.map((fill): [string, Pressure[]] => {
    const phases = [chooseNext(0)]
    while ((phases.at(-1)?.until ?? 0) < PLAY_MS) phases.push(chooseNext(phases.at(-1)?.until ?? 0))
    return [`${service} ${fill}`, phases]
  })))
  return (service, fill, now) => pairs.get(`${service} ${fill}`)?.find(({ until }) => until > now)?.value ?? 0
}

function getImage (task: string): string {
  return task.split('-')[0] ?? ''
}

function isService (task: string): boolean {
  return SERVICES.includes(getImage(task))
}

/** Plays batch work in waves beside services whose loads swing, with pressures, readings, and delays or troubles drawn from the seed. */
export async function playServices (seed: number, withTroubles = false): Promise<ServicePlay> {
  const random = createRandom(seed)
  const readings = createRandom(seed)
  const getPressure = createPressures(createRandom(seed))
  const hosts = await createHosts(HOSTS, WORKERS, undefined, seed)
  const { clock, fleet, network } = hosts
  const services = new Map<string, Service>()
  const seen = { longestMs: 0, harmed: 0, watched: 0 }
  fleet.stopMs = random.below(SERVICE_BOUND.stopMs)
  fleet.plan = (task) => isService(task) ? { runMs: 0, result: 'never' } : { runMs: TASK_MS, result: 'succeeded' }
  fleet.measure = (task) => services.get(task)?.reading
  const maxDelayMs = random.pick([0, 50, 150, 300])
  const troubles = withTroubles ? createTroubles(hosts, createRandom(seed), SETTLE_MS + LOAD_MS) : undefined
  if (troubles === undefined) network.setFaults({ loss: 0, duplication: 0, maxDelayMs })

  const computeTail = (service: Service, load: number): number => {
    service.backlogMs = Math.min(MAX_BACKLOG_MS, Math.max(0, service.backlogMs + (load - 1) * STEP_MS))
    return UNLOADED_MS / Math.max(0.02, 1 - load) + service.backlogMs
  }

  const updateService = (task: string, running: ReadonlyMap<string, RunningTask>): void => {
    const now = clock.now()
    const service = services.get(task) ?? { backlogMs: 0, overSince: undefined, sum: 0, reading: UNLOADED_MS }
    services.set(task, service)
    const phase = Number(task.split('.')[0]?.split('-')[1]) / SERVICES.length
    const own = MEAN_LOAD * (1 + 0.5 * Math.sin((now / SWING_MS + phase) * 2 * Math.PI))
    const fills = [...running.keys()].filter((other) => !isService(other))
    const tail = computeTail(service, fills.reduce((sum, other) => sum + getPressure(getImage(task), getImage(other), now) * TASK_CORES / WORKER_CORES, own))
    service.overSince = tail > TARGET_MS ? service.overSince ?? now : undefined
    service.sum += tail
    if (now % READING_MS < STEP_MS) {
      service.reading = Math.ceil(service.sum * STEP_MS / READING_MS * (1 + READING_ERROR * (2 * readings.next() - 1)))
      service.sum = 0
    }
    seen.watched += 1
    if (service.overSince === undefined || fills.length === 0) return
    seen.harmed += 1
    if (troubles?.isCalm(now) === false) return
    seen.longestMs = Math.max(seen.longestMs, now - service.overSince)
  }

  const run = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      troubles?.update(clock.now())
      await clock.advance(STEP_MS)
      fleet.workers.forEach(({ running }) => [...running.keys()].filter(isService).forEach((task) => updateService(task, running)))
    }
  }

  SERVICES.forEach((image, number) => hosts.submit(`${image}-${number}`, [{ count: SERVICE_TASKS, cores: SERVICE_CORES, memoryMb: 100, lasting: true, image, tailTargetMs: TARGET_MS }]))
  await run(SETTLE_MS)
  const submittedAt = new Map<string, { at: number, count: number }>()
  const most = random.pick(LARGEST_BATCHES)
  for (const until = clock.now() + LOAD_MS; clock.now() < until;) {
    const id = `${random.pick(FILLS)}-${submittedAt.size}`
    const count = 3 + random.below(most)
    submittedAt.set(id, { at: clock.now(), count })
    hosts.submit(id, [{ count, cores: TASK_CORES, memoryMb: 100, fills: true, image: getImage(id), expectedRunMs: TASK_MS }])
    await run(STEP_MS * (4 + random.below(9)))
  }
  await run(BATCH_OBJECTIVE_MS)
  const play = summarizePlay(hosts, submittedAt)
  await hosts.stop()
  return { ...play, longestMs: seen.longestMs, harmedShare: seen.harmed / seen.watched, troubles: troubles?.kinds ?? [] }
}

function summarizePlay ({ fleet }: Hosts, submittedAt: ReadonlyMap<string, { at: number, count: number }>): Pick<ServicePlay, 'batches' | 'onTime' | 'stops'> {
  const ends = fleet.events.filter(({ kind }) => kind === 'ended')
  const onTime = [...submittedAt].filter(([id, { at, count }]) => {
    const done = ends.filter(({ task, cause }) => cause === 'succeeded' && task.startsWith(`${id}.`))
    return done.length === count && Math.max(...done.map((end) => end.at)) - at <= BATCH_OBJECTIVE_MS
  })
  return { batches: submittedAt.size, onTime: onTime.length, stops: ends.filter(({ cause }) => cause === 'stopped').length }
}
