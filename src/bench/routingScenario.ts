import { build, type Histogram } from 'hdr-histogram-js'
import { createNoopMetrics, createRandom, createSilentLogger, createManualClock, type Clock, type ManualClock, type Random } from '../common/index.js'
import { createRouter, type ExecutorClient, type ExecutorConnection, type RequestOutcome, type RoutedRequest, type Router } from '../coordination/routing/index.js'
import { createFakeExecutor, createFakeExecutorClient, startAnnouncer, WORK_HEADER, type FakeExecutor } from '../fakes/executor.js'
import { createGate, createRoutingNetwork } from '../fakes/routingNetwork.js'
import { DEFAULT_PRESETS, type Policy, type Service } from '../state/index.js'

export const BENCH_SERVICE = 'desk'
const ZONES = ['cerro-alegre', 'cerro-baron', 'almendral']
const HOSTS_PER_ZONE = 2
const SLOTS = 8
const CONNECTIONS = 60
const ZONE_DELAY_MS = 1
const CONNECT_MS = 0.1
const WARM_UP_SHARE = 0.25
const STEP_MS = 50

export interface SystemUnderTest { route (request: RoutedRequest): Promise<RequestOutcome>, stop (): Promise<void> }
export interface Load { name: string, requestsPerSecond: number, durationMs: number, member?: string, idempotent?: boolean }
/** `good` counts answers with a status below 500 within the deadline; `goodput` is the rate of those that arrive in the measured window. */
export interface LoadResult { histogram: Histogram, sent: number, good: number, failed: number, goodput: number }
export interface RoutingScenario { executors: FakeExecutor[], clock: ManualClock }

/** Creates executors with exponential service times above a minimum, so that even healthy executors have a latency tail. */
export function createExecutors (clock: Clock, random: Random, count: number, meanMs: number): FakeExecutor[] {
  return Array.from({ length: count }, (_, index) => {
    const executor = createFakeExecutor({ clock, id: `e${index}`, service: BENCH_SERVICE, availabilityZone: ZONES[index % ZONES.length] as string, slots: SLOTS, connections: CONNECTIONS })
    executor.behaviour.serviceMs = () => meanMs * (0.5 - 0.5 * Math.log(1 - random.next()))
    return executor
  })
}

/** Starts the routers of the first deployment in one process, connected by an in-memory network. */
export async function startRouters (scenario: RoutingScenario, seed: number): Promise<SystemUnderTest> {
  const { clock, executors } = scenario
  const hosts = ZONES.flatMap((zone) => Array.from({ length: HOSTS_PER_ZONE }, (_, index) => ({ id: `${zone}-${index}`, availabilityZone: zone })))
  const getZone = (host: string): string => host.slice(0, host.lastIndexOf('-'))
  const network = createRoutingNetwork(clock, createRandom(seed), (from, to) => getZone(from) === getZone(to) ? 0 : ZONE_DELAY_MS)
  const routers = new Map<string, Router>(hosts.map((host, index) => [host.id, createRouter({
    self: host.id,
    incarnation: '1',
    availabilityZone: host.availabilityZone,
    secret: Buffer.from('bench'),
    clock,
    random: createRandom(seed + index),
    network: network.attach(host.id, createGate()),
    executors: createClient(clock, executors),
    getPolicy: () => DEFAULT_PRESETS.ordinary as Policy,
    getHosts: () => hosts,
    getService: (id) => ({ id, weight: 1 } as Service),
    logger: createSilentLogger(),
    metrics: createNoopMetrics()
  })]))
  const stoppers = executors.map((executor) => startAnnouncer({
    clock,
    executor,
    listHosts: () => hosts.filter((host) => host.availabilityZone === executor.createAnnouncement().availabilityZone).map((host) => host.id),
    announce: async (host, input) => routers.get(host)?.announceTarget(input)
  }))
  await clock.sleep(1600)
  const list = [...routers.values()]
  let next = 0
  return {
    route: (request) => (list[next++ % list.length] as Router).routeRequest(request),
    stop: async () => {
      stoppers.forEach((stop) => stop())
      await Promise.all(list.map((router) => router.stop()))
    }
  }
}

/** Starts the router for comparison: it picks a random executor, tries three times, and has an unbounded queue in front of each executor. */
export async function startNaive (scenario: RoutingScenario, seed: number): Promise<SystemUnderTest> {
  const { clock, executors } = scenario
  const random = createRandom(seed)
  const client = createClient(clock, executors)
  const serviceQueues = new Map(executors.map((executor) => [executor.id, { busy: 0, waiting: [] as Array<() => void>, idle: [] as ExecutorConnection[] }]))
  let sequence = 0

  const tryOnce = async (request: RoutedRequest): Promise<RequestOutcome> => {
    const executor = random.pick(executors)
    const serviceQueue = serviceQueues.get(executor.id) as { busy: number, waiting: Array<() => void>, idle: ExecutorConnection[] }
    if (serviceQueue.busy >= SLOTS) await new Promise<void>((resolve) => serviceQueue.waiting.push(resolve))
    serviceQueue.busy += 1
    const opened = serviceQueue.idle.pop() ?? (await client.open(executor.url, 'naive')).unwrap()
    const result = await opened.send({ ...request, id: `naive/${sequence++}` }, () => {})
    serviceQueue.idle.push(opened)
    serviceQueue.busy -= 1
    serviceQueue.waiting.shift()?.()
    if (!result.ok) return { kind: 'unknown', reason: 'no-answer', message: result.val.message, next: 'resend' }
    return { kind: 'answered', ...result.val }
  }
  const route = async (request: RoutedRequest): Promise<RequestOutcome> => {
    let outcome = await tryOnce(request)
    for (let retry = 0; retry < 2 && (outcome.kind !== 'answered' || outcome.status >= 500); retry++) outcome = await tryOnce(request)
    return outcome
  }
  return { route, stop: async () => {} }
}

function createClient (clock: Clock, executors: FakeExecutor[]): ExecutorClient {
  const byUrl = new Map(executors.map((executor) => [executor.url, executor]))
  return createFakeExecutorClient(clock, CONNECT_MS, (url) => byUrl.get(url))
}

/** Sends open-loop load: requests are sent at random times, without waiting for earlier answers. */
export async function runLoad (system: SystemUnderTest, clock: Clock, random: Random, load: Load, timeoutMs: number): Promise<LoadResult> {
  const result: LoadResult = { histogram: build(), sent: 0, good: 0, failed: 0, goodput: 0 }
  const open = new Set<Promise<void>>()
  const loadStart = clock.now()
  const windowStart = loadStart + load.durationMs * WARM_UP_SHARE
  const loadEnd = loadStart + load.durationMs
  let next = clock.now()
  const sendOne = async (): Promise<void> => {
    const startedAt = clock.now()
    const work = `${load.name}-${result.sent++}`
    const outcome = await system.route({
      member: load.member ?? 'misterios',
      service: BENCH_SERVICE,
      method: 'POST',
      path: '/quote',
      headers: { [WORK_HEADER]: work },
      body: Buffer.alloc(0),
      idempotent: load.idempotent ?? true,
      deadline: startedAt + timeoutMs
    })
    const latencyMs = clock.now() - startedAt
    const isGood = outcome.kind === 'answered' && outcome.status < 500 && latencyMs <= timeoutMs
    // A request without a good answer is recorded with its full timeout. Without that, a router that fails slow requests would look fast.
    result.histogram.recordValue(Math.round((isGood ? latencyMs : timeoutMs) * 1000))
    if (isGood) {
      result.good += 1
      if (clock.now() > windowStart && clock.now() <= loadEnd) result.goodput += 1000 / (loadEnd - windowStart)
    } else result.failed += 1
  }
  while (clock.now() < loadEnd) {
    for (; next <= clock.now(); next += -Math.log(1 - random.next()) * 1000 / load.requestsPerSecond) {
      const sending = sendOne().finally(() => open.delete(sending))
      open.add(sending)
    }
    await clock.sleep(1)
  }
  await Promise.race([Promise.all(open), clock.sleep(timeoutMs + 1000)])
  return result
}

/** Advances the manual clock until the work is done, so that the figures depend neither on the load nor on the speed of the machine. */
export async function runInVirtualTime<T> (clock: ManualClock, work: Promise<T>): Promise<T> {
  const state: { result?: { value: T } } = {}
  const done = work.then((value) => { state.result = { value } })
  while (state.result === undefined) await Promise.race([done, clock.advance(STEP_MS)])
  return state.result.value
}

export function createScenario (seed: number, executors: number, meanMs: number): RoutingScenario {
  const clock = createManualClock()
  return { clock, executors: createExecutors(clock, createRandom(seed), executors, meanMs) }
}
