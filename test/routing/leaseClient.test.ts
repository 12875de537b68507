import { expect, test } from 'vitest'
import { createManualClock, createRandom, createSilentLogger, Ok } from '../../src/common/index.js'
import { createLeaseClient } from '../../src/coordination/routing/leaseClient.js'
import { createLeasedExecutors } from '../../src/coordination/routing/leasedExecutors.js'

// A later request of this host was faster. Guards against an owner that counts as without free slots until its next summary, so
// that requests wait although it has some.
test('after the reply to an overtaken request, slots are requested from the owner again', async () => {
  const clock = createManualClock(1000)
  const kinds: string[] = []
  const health = { getConcurrencyLimit: () => Infinity, listEjected: () => [], setExecutorCount: () => {} } as never
  const network = {
    self: 'h1',
    handle: () => {},
    request: async (_to: string, kind: string) => {
      kinds.push(kind)
      return Ok({ outdated: true })
    }
  }
  const client = createLeaseClient({
    clock,
    logger: createSilentLogger(),
    network,
    holder: 'h1/1',
    availabilityZone: 'a',
    leaseTable: {} as never,
    notifyHolders: () => {},
    leasedExecutors: createLeasedExecutors({ clock, random: createRandom(1), client: {} as never, holder: 'h1/1', availabilityZone: 'a', health }),
    health,
    getDemand: () => ({ queued: 2, inUse: 0, recentPeak: 2, lastRequestAt: clock.now() }),
    onChange: () => {}
  })
  client.observeSummary('h2', { availabilityZone: 'b', services: [{ service: 'desk', executors: 1, slots: 8, free: 4 }], leaving: [], draining: false })
  await clock.advance(500)
  client.stop()
  expect([kinds.length > 1, new Set(kinds)]).toEqual([true, new Set(['credit.take'])])
})
