import { createManualClock, createNoopMetrics, createRandom, createSilentLogger, type ManualClock, type Random } from '../../src/common/index.js'
import { createRouter, type IdempotencyLimits, type RequestOutcome, type RoutedRequest, type Router } from '../../src/coordination/routing/index.js'
import { createFakeExecutor, createFakeExecutorClient, createGatedClient, startAnnouncer, WORK_HEADER, type FakeExecutor, type FakeExecutorOptions } from '../../src/fakes/executor.js'
import { createGate, createGatedClock, createRoutingNetwork, type Gate, type RoutingNetwork } from '../../src/fakes/routingNetwork.js'
import { DEFAULT_PRESETS, type Policy, type Service } from '../../src/state/index.js'

export interface TestHost { id: string, availabilityZone: string, router: Router, gate: Gate, incarnation: number, closeConnections (): void }

export interface Cluster {
  clock: ManualClock
  random: Random
  network: RoutingNetwork
  hosts: Map<string, TestHost>
  executors: Map<string, FakeExecutor>
  /** Host id and executor URL, separated by a space, of pairs that cannot connect. */
  cutExecutors: Set<string>
  /** Hosts that receive no announcements of executors. */
  deafHosts: Set<string>
  startHost (id: string, availabilityZone: string): TestHost
  crashHost (id: string): void
  addExecutor (options: Partial<FakeExecutorOptions> & { id: string, availabilityZone: string }): FakeExecutor
  router (id: string): Router
  stop (): Promise<void>
}

export const SERVICE = 'desk'
const ZONE_DELAY_MS = 1

export function createCluster (options: { seed?: number, policy?: Partial<Policy>, limits?: Partial<IdempotencyLimits>, services?: Record<string, number> } = {}): Cluster {
  const clock = createManualClock(1000)
  const random = createRandom(options.seed ?? 1)
  const hosts = new Map<string, TestHost>()
  const executors = new Map<string, FakeExecutor>()
  const cutExecutors = new Set<string>()
  const deafHosts = new Set<string>()
  const stoppers: Array<() => void> = []
  const getZone = (host: string): string => hosts.get(host)?.availabilityZone ?? ''
  const network = createRoutingNetwork(clock, random, (from, to) => getZone(from) === getZone(to) ? 0.1 : ZONE_DELAY_MS)
  const weights = options.services ?? { [SERVICE]: 1 }
  const policy = { ...DEFAULT_PRESETS.ordinary as Policy, ...options.policy }

  const startHost = (id: string, availabilityZone: string): TestHost => {
    const incarnation = (hosts.get(id)?.incarnation ?? 0) + 1
    const gate = createGate()
    const hostClock = createGatedClock(clock, gate)
    const find = (url: string): FakeExecutor | undefined => [...executors.values()].find((item) => item.url === url)
    const client = createGatedClient(createFakeExecutorClient(clock, 0.1, find, (url) => !cutExecutors.has(`${id} ${url}`)), gate)
    const host: TestHost = { id, availabilityZone, gate, incarnation, router: undefined as never, closeConnections: client.closeAll }
    hosts.set(id, host)
    host.router = createRouter({
      self: id,
      incarnation: String(incarnation),
      availabilityZone,
      secret: Buffer.from('a secret of the deployment'),
      clock: hostClock,
      random: createRandom(random.below(1e9)),
      network: network.attach(id, gate),
      executors: client,
      getPolicy: () => policy,
      getHosts: () => [...hosts.values()].map((item) => ({ id: item.id, availabilityZone: item.availabilityZone })),
      getService: (service) => service in weights ? { id: service, weight: weights[service] } as Service : undefined,
      logger: createSilentLogger(),
      metrics: createNoopMetrics(),
      idempotencyLimits: options.limits
    })
    return host
  }

  return {
    clock,
    random,
    network,
    hosts,
    executors,
    cutExecutors,
    deafHosts,
    startHost,
    crashHost: (id) => {
      const host = hosts.get(id) as TestHost
      host.gate.crash()
      host.closeConnections()
    },
    addExecutor: (extra) => {
      const executor = createFakeExecutor({ clock, service: SERVICE, ...extra })
      executors.set(executor.id, executor)
      stoppers.push(startAnnouncer({
        clock,
        executor,
        listHosts: () => [...hosts.values()].filter((host) => host.availabilityZone === extra.availabilityZone).map((host) => host.id),
        announce: async (id, input) => {
          const host = hosts.get(id) as TestHost
          if (host.gate.isCrashed() || deafHosts.has(id)) return undefined
          const controller = new AbortController()
          const announced = host.gate.wait().then(() => host.router.announceTarget(input))
          const reply = await Promise.race([announced, clock.sleep(300, controller.signal).then(() => undefined)])
          controller.abort()
          return reply
        }
      }))
      return executor
    },
    router: (id) => (hosts.get(id) as TestHost).router,
    stop: async () => {
      stoppers.forEach((stop) => stop())
      await Promise.all([...hosts.values()].map((host) => host.router.stop()))
      await clock.advance(3000)
    }
  }
}

export function createRequest (cluster: Cluster, work: string, extra: Partial<RoutedRequest> = {}, timeoutMs = 1000): RoutedRequest {
  return {
    member: 'misterios',
    service: SERVICE,
    method: 'POST',
    path: '/quote',
    headers: { [WORK_HEADER]: work },
    body: Buffer.from(`body of ${work}`),
    idempotent: false,
    deadline: cluster.clock.now() + timeoutMs,
    ...extra
  }
}

/** Advances the clock until the promise has settled, for at most `ms`. */
export async function settle<T> (cluster: Cluster, work: Promise<T>, ms = 5000): Promise<T> {
  const state: { result?: { value: T } } = {}
  work.then((value) => { state.result = { value } })
  for (let passed = 0; passed <= ms && state.result === undefined; passed += 5) await cluster.clock.advance(5)
  if (state.result === undefined) throw new Error(`not settled within ${ms} ms`)
  return state.result.value
}

export function getText (outcome: RequestOutcome): string {
  return outcome.kind === 'answered' ? Buffer.from(outcome.body).toString() : outcome.kind
}

export function countRuns (cluster: Cluster, work: string): number {
  return [...cluster.executors.values()].reduce((sum, executor) => sum + executor.record.runs.filter((run) => run.work === work).length, 0)
}
