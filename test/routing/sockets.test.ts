import { expect, test } from 'vitest'
import { createNoopMetrics, createRandom, createSilentLogger, createSystemClock } from '../../src/common/index.js'
import { createRouter, type RoutedRequest } from '../../src/coordination/routing/index.js'
import { startAnnouncer, WORK_HEADER } from '../../src/fakes/executor.js'
import { openHttpExecutor } from '../../src/fakes/httpExecutor.js'
import { createGate, createRoutingNetwork } from '../../src/fakes/routingNetwork.js'
import { DEFAULT_PRESETS, type Policy, type Service } from '../../src/state/index.js'
import { createExecutorClient } from '../../src/transport/executorClient.js'
import { getText } from './cluster.js'

test('over real sockets each caller gets its own answer, slots and connections hold, and an executor that stops answering is noticed before the deadline', async () => {
  const clock = createSystemClock()
  const hosts = [{ id: 'h1', availabilityZone: 'z1' }]
  const router = createRouter({
    self: 'h1',
    incarnation: '1',
    availabilityZone: 'z1',
    secret: Buffer.from('secret'),
    clock,
    random: createRandom(1),
    network: createRoutingNetwork(clock, createRandom(1), () => 0).attach('h1', createGate()),
    executors: createExecutorClient(),
    getPolicy: () => ({ ...DEFAULT_PRESETS.ordinary as Policy, queuePerSlot: 50 }),
    getHosts: () => hosts,
    getService: (id) => ({ id, weight: 1 } as Service),
    logger: createSilentLogger(),
    metrics: createNoopMetrics()
  })
  const servers = await Promise.all(['e1', 'e2'].map((id) => openHttpExecutor({ clock, id, service: 'desk', availabilityZone: 'z1', serviceMs: 5, progressMs: 50 })))
  const stoppers = servers.map(({ executor }) => startAnnouncer({ clock, executor, listHosts: () => ['h1'], announce: async (_, input) => router.announceTarget(input) }))
  const send = (work: string, extra: Partial<RoutedRequest> = {}): ReturnType<typeof router.routeRequest> => router.routeRequest({
    member: 'm', service: 'desk', method: 'POST', path: '/', headers: { [WORK_HEADER]: work }, body: Buffer.from(`body of ${work}`), idempotent: false, deadline: clock.now() + 5000, ...extra
  })
  await clock.sleep(1600)

  const answers = await Promise.all(Array.from({ length: 200 }, (_, n) => send(`w${n}`, { idempotent: n % 2 === 0 })))
  expect(answers.map(getText)).toEqual(answers.map((_, n) => `w${n} body of w${n}`))
  servers.forEach(({ executor }) => {
    expect(executor.record.maxRunning).toBeLessThanOrEqual(8)
    expect(executor.record.maxConnections).toBeLessThanOrEqual(60)
  })

  // The requests never end, so only the missing progress lines show that the executors have failed.
  servers.forEach(({ executor }) => { executor.behaviour.mode = 'swallowing' })
  const startedAt = clock.now()
  expect(await send('mute')).toMatchObject({ kind: 'unknown', next: 'ask-again' })
  expect(clock.now() - startedAt).toBeLessThan(2500)
  stoppers.forEach((stop) => stop())
  await router.stop()
  await Promise.all(servers.map((server) => server.close()))
})
