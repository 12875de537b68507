import { createRandom, createSystemClock } from '../common/index.js'
import { openHttpExecutor } from '../fakes/httpExecutor.js'
import { createExecutorClient } from '../transport/executorClient.js'
import type { Figure } from './placement.js'
import { measureAddedLatency } from './routingLatency.js'
import { createScenario, runInVirtualTime, runLoad, startNaive, startRouters, type Load, type LoadResult, type RoutingScenario, type SystemUnderTest } from './routingScenario.js'

export interface RoutingBenchOptions {
  seed?: number
  executors?: number
  /** Mean time of one request at an executor, ms. */
  meanMs?: number
  /** Length of each phase in virtual time, ms. */
  phaseMs?: number
  /** Names of phases to run; all by default. */
  phases?: string[]
}

const SLOTS = 8
const TIMEOUT_FACTOR = 10
const STOP_MS = 5000
const SLOW_FACTOR = 10

interface Phase { name: string, loads: Array<{ share: number, member?: string, name: string }>, prepare? (scenario: RoutingScenario, meanMs: number): void }

const createSteadyLoad = (share: number): Phase['loads'] => [{ name: 'steady', share }]

const PHASES: Phase[] = [
  { name: 'load-0.5', loads: createSteadyLoad(0.5) },
  { name: 'load-0.9', loads: createSteadyLoad(0.9) },
  { name: 'load-1.3', loads: createSteadyLoad(1.3) },
  {
    name: 'one-slow',
    loads: createSteadyLoad(0.5),
    prepare: ({ executors }) => {
      const [slow] = executors
      if (slow === undefined) return
      const { serviceMs } = slow.behaviour
      slow.behaviour.serviceMs = (request) => serviceMs(request) * SLOW_FACTOR
    }
  },
  {
    name: 'one-failing',
    loads: createSteadyLoad(0.5),
    prepare: ({ executors }) => { if (executors[0] !== undefined) executors[0].behaviour.mode = 'failing' }
  },
  { name: 'wave', loads: [{ name: 'steady', share: 0.3 }, { name: 'wave', share: 1.2, member: 'rum' }] }
]

/**
 * Measures the router and, for comparison, a naive one with the same loads. Capacity is the number of slots divided by the mean
 * time of a request. Load phases run in virtual time; the added latency is measured on loopback in real time.
 */
export async function runRoutingBench (options: RoutingBenchOptions = {}): Promise<Figure[]> {
  const { seed = 1, executors = 30, meanMs = 80, phaseMs = 4000 } = options
  const capacity = executors * SLOTS * 1000 / meanMs
  const figures: Figure[] = [{ name: 'capacity', value: capacity, unit: 'requests/s' }]
  const systems = { router: startRouters, naive: startNaive }
  for (const phase of PHASES.filter(({ name }) => options.phases?.includes(name) ?? true)) {
    for (const [name, start] of Object.entries(systems)) {
      const results = await runPhase(phase, start, { seed, executors, meanMs, phaseMs, capacity })
      results.forEach(([load, result]) => figures.push(...describeLoadResult(`${phase.name} ${load} ${name}`, result, capacity)))
    }
  }
  if (options.phases?.includes('added-latency') ?? true) figures.push(...await measureLatencyFigures())
  return [...figures, ...computeRatios(figures)]
}

async function runPhase (
  phase: Phase, start: (scenario: RoutingScenario, seed: number) => Promise<SystemUnderTest>,
  { seed, executors, meanMs, phaseMs, capacity }: Required<Omit<RoutingBenchOptions, 'phases'>> & { capacity: number }
): Promise<Array<[string, LoadResult]>> {
  const scenario = createScenario(seed, executors, meanMs)
  phase.prepare?.(scenario, meanMs)
  const { clock } = scenario
  const system = await runInVirtualTime(clock, start(scenario, seed))
  const results = await runInVirtualTime(clock, Promise.all(phase.loads.map(async (item, index): Promise<[string, LoadResult]> => {
    const load: Load = { ...item, requestsPerSecond: capacity * item.share, durationMs: phaseMs }
    return [item.name, await runLoad(system, clock, createRandom(seed + index), load, meanMs * TIMEOUT_FACTOR)]
  })))
  await system.stop()
  await clock.advance(STOP_MS)
  return results
}

function describeLoadResult (name: string, result: LoadResult, capacity: number): Figure[] {
  const getMs = (percentile: number): number => result.histogram.getValueAtPercentile(percentile) / 1000
  return [
    { name: `${name} p50`, value: getMs(50), unit: 'ms' },
    { name: `${name} p99`, value: getMs(99), unit: 'ms' },
    { name: `${name} p99.9`, value: getMs(99.9), unit: 'ms' },
    { name: `${name} goodput`, value: result.goodput / capacity, unit: 'part of capacity' },
    { name: `${name} failed`, value: result.failed / Math.max(1, result.sent), unit: 'part of requests' }
  ]
}

async function measureLatencyFigures (): Promise<Figure[]> {
  const { executor, close } = await openHttpExecutor({ clock: createSystemClock(), id: 'e0', service: 'desk', availabilityZone: 'cerro-alegre', serviceMs: 0 })
  const result = await measureAddedLatency(executor, createExecutorClient())
  await close()
  return [
    { name: 'direct call p50', value: result.directMs, unit: 'ms' },
    { name: 'routed call p50', value: result.routedMs, unit: 'ms' },
    { name: 'added median latency', value: result.routedMs - result.directMs, unit: 'ms' },
    { name: 'added median latency, not idempotent', value: result.keyedMs - result.directMs, unit: 'ms' }
  ]
}

/** Computes the ratios that section 1.5 of the design page names, from the figures of this run. */
function computeRatios (figures: Figure[]): Figure[] {
  const find = (name: string): number | undefined => figures.find((figure) => figure.name === name)?.value
  const healthy = find('load-0.5 steady router p99')
  const slow = find('one-slow steady router p99')
  return healthy === undefined || slow === undefined
    ? []
    : [{ name: 'p99 with one slow executor, against a healthy set', value: slow / healthy, unit: 'ratio' }]
}
