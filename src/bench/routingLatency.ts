import { createNoopMetrics, createRandom, createSilentLogger, createSystemClock } from '../common/index.js'
import { createRouter, EXECUTOR_HEADERS, type ExecutorClient, type RoutedRequest } from '../coordination/routing/index.js'
import { startAnnouncer, type FakeExecutor } from '../fakes/executor.js'
import { createGate, createRoutingNetwork } from '../fakes/routingNetwork.js'
import { DEFAULT_PRESETS, type Policy, type Service } from '../state/index.js'

const ROUNDS = 1500
const WARM_UP = 200

/**
 * Measures median latencies over loopback of direct, routed and keyed (non-idempotent) requests. They alternate, so that
 * noise of the machine affects all three equally.
 */
export async function measureAddedLatency (executor: FakeExecutor, client: ExecutorClient): Promise<{ directMs: number, routedMs: number, keyedMs: number }> {
  const clock = createSystemClock()
  const hosts = ['h1', 'h2'].map((id) => ({ id, availabilityZone: 'cerro-alegre' }))
  const network = createRoutingNetwork(clock, createRandom(1), () => 0)
  const routers = hosts.map(({ id, availabilityZone }, index) => createRouter({
    self: id,
    incarnation: '1',
    availabilityZone,
    secret: Buffer.from('bench'),
    clock,
    random: createRandom(index),
    network: network.attach(id, createGate()),
    executors: client,
    getPolicy: () => DEFAULT_PRESETS.ordinary as Policy,
    getHosts: () => hosts,
    getService: (service) => ({ id: service, weight: 1 } as Service),
    logger: createSilentLogger(),
    metrics: createNoopMetrics()
  }))
  const [router] = routers
  if (router === undefined) throw new Error('no router')
  const stopAnnouncer = startAnnouncer({ clock, executor, listHosts: () => ['h1'], announce: async (_, input) => router.announceTarget(input) })
  await clock.sleep(1600)
  const connection = (await client.open(executor.url, 'direct')).unwrap()

  const createRequest = (idempotent: boolean): RoutedRequest => ({
    member: 'misterios', service: 'desk', method: 'POST', path: '/quote', headers: {}, body: Buffer.from('beads'), idempotent, deadline: clock.now() + 2000
  })
  const measure = async (run: () => Promise<unknown>): Promise<number> => {
    const startedAt = performance.now()
    await run()
    return performance.now() - startedAt
  }
  const times = { direct: [] as number[], routed: [] as number[], keyed: [] as number[] }
  for (let round = 0; round < ROUNDS; round++) {
    const id = `direct/${round}`
    const direct = await measure(() => connection.send({ id, method: 'POST', path: '/quote', headers: { [EXECUTOR_HEADERS.request]: id }, body: Buffer.from('beads') }, () => {}))
    const routed = await measure(() => router.routeRequest(createRequest(true)))
    const keyed = await measure(() => router.routeRequest(createRequest(false)))
    if (round < WARM_UP) continue
    times.direct.push(direct)
    times.routed.push(routed)
    times.keyed.push(keyed)
  }
  stopAnnouncer()
  connection.close()
  await Promise.all(routers.map((item) => item.stop()))
  return { directMs: computeMedian(times.direct), routedMs: computeMedian(times.routed), keyedMs: computeMedian(times.keyed) }
}

function computeMedian (values: number[]): number {
  return values.sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0
}
