import { expect, test } from 'vitest'
import { createManualClock, createNoopMetrics, createSilentLogger } from '../../src/common/index.js'
import { createConfiguration } from '../../src/coordination/configuration/index.js'
import { createMemoryLog } from '../../src/fakes/memoryLog.js'

test('a single host leases the initial revision and brings a change into force', async () => {
  const clock = createManualClock()
  const network = { self: 'h1', request: async () => { throw new Error('not used') }, handle: () => {} }
  const configuration = createConfiguration({
    self: 'h1', clock, network, log: createMemoryLog('h1'), logger: createSilentLogger(), metrics: createNoopMetrics()
  })
  await clock.advance(2000)
  expect(configuration.getConfiguration()).toMatchObject({ claim: 'in-force', revision: 0, preset: 'ordinary' })
  const change = configuration.changePreset(
    { requestId: 'r1', baseRevision: 0, preset: 'peak', setBy: 'ana', reason: 'funeral' }, clock.now() + 3000)
  await clock.advance(3000)
  expect(await change).toEqual({ kind: 'in-force', revision: 1, currentRevision: 1 })
  expect(configuration.getConfiguration()).toMatchObject({ claim: 'in-force', preset: 'peak', setBy: 'ana' })
})
