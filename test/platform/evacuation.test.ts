import { expect, onTestFinished, test } from 'vitest'
import { createNoopMetrics, createSilentLogger, createSystemClock } from '../../src/common/index.js'
import { createCatalogStore, createEvacuationStore, createWorkerDirectory } from '../../src/coordination/workflows/index.js'
import { createMemoryLog } from '../../src/fakes/memoryLog.js'
import { createRequestGuard } from '../../src/transport/requestGuard.js'
import { openControlServer } from '../../platform/control.js'

const ADDRESS = `127.0.${process.pid % 200}.9:21791`

// Guards against an operator who is told that an evacuation is in force before it is recorded, or that a known zone does not exist.
test('the paths of an evacuation answer 200 after the commit, 404 for an unknown zone and 503 without a majority', async () => {
  const clock = createSystemClock()
  const logger = createSilentLogger()
  const log = createMemoryLog('h1')
  const server = await openControlServer({ address: ADDRESS, clock, logger, log, catalogs: createCatalogStore({ clock, logger, log }), directory: createWorkerDirectory({ clock, logger, log }), evacuations: createEvacuationStore({ clock, logger, log, zones: ['north', 'a b'] }), guard: createRequestGuard({ clock, logger, metrics: createNoopMetrics(), bodyBytes: 1_000_000 }), maxConnections: 100 })
  onTestFinished(() => server.close())
  const send = async (path: string): Promise<[number, string]> => {
    const { status } = await fetch(`http://${ADDRESS}/evacuation/${path}`, { method: 'POST' })
    return [status, log.state().workflows.evacuatedZones?.map(({ zone }) => zone).join() ?? '']
  }
  const answers = [await send('north/start'), await send('north/start'), await send('a%20b/start'), await send('nowhere/start'), await send('north/other')]
  log.setReachable(false)
  answers.push(await send('north/stop'), await send('nowhere/stop'))
  log.setReachable(true)
  answers.push(await send('north/stop'), await send('north/stop'))
  expect(answers).toEqual([[200, 'north'], [200, 'north'], [200, 'north,a b'], [404, 'north,a b'], [404, 'north,a b'], [503, 'north,a b'], [503, 'north,a b'], [200, 'a b'], [200, 'a b']])
})
