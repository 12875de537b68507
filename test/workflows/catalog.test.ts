import { expect, test } from 'vitest'
import { createManualClock, createSilentLogger } from '../../src/common/index.js'
import { createCatalogStore, findCatalogProblem } from '../../src/coordination/workflows/catalog.js'
import { createWorkerDirectory } from '../../src/coordination/workflows/directory.js'
import { createMemoryLog } from '../../src/fakes/memoryLog.js'
import type { Catalog, WorkerIncarnation } from '../../src/state/index.js'
import { CATALOG } from './support.js'

function createStore (): ReturnType<typeof createCatalogStore> & { log: ReturnType<typeof createMemoryLog> } {
  const log = createMemoryLog('h1')
  return { ...createCatalogStore({ clock: createManualClock(), logger: createSilentLogger(), log }), log }
}

const QUEUE = CATALOG.queues[0]!

test('the highest version stays in force whatever arrives after it, and every valid one is acknowledged', async () => {
  const store = createStore()
  const put = (version: number, document: string): Promise<unknown> => store.putCatalog({ ...CATALOG, version, document }, 1000).then((result) => result.ok)
  expect([await put(3, 'three'), await put(2, 'two'), await put(3, 'other'), await put(7, 'seven'), await put(3, 'three')]).toEqual([true, true, true, true, true])
  const read = await store.readCatalog(1000)
  expect(read.ok && read.val?.document).toBe('seven')
})

test('the catalog is not read from memory without a majority', async () => {
  const store = createStore()
  await store.putCatalog(CATALOG, 1000)
  store.log.setReachable(false)
  expect((await store.readCatalog(1000)).ok).toBe(false)
})

test.each<[string, Catalog]>([
  ['unknown-service', { ...CATALOG, queues: [{ ...QUEUE, service: 'other' }] }],
  ['same-place', { ...CATALOG, queues: [QUEUE, { ...QUEUE, name: 'again' }] }],
  ['no-timeout', { ...CATALOG, queues: [{ ...QUEUE, requestTimeoutMs: 0 }] }]
])('a catalog with the problem %s is refused and changes nothing', async (kind, catalog) => {
  const store = createStore()
  expect(findCatalogProblem(catalog)?.kind).toBe(kind)
  expect((await store.putCatalog({ ...catalog, version: 9 }, 1000)).ok).toBe(false)
  expect(store.log.state().workflows.catalog).toBeUndefined()
})

const LIFE: WorkerIncarnation = { id: 'w1', bornAt: 10, service: 'desk', address: '127.0.0.1:1', availabilityZone: 'a', cores: 8, memoryMb: 100, accelerators: 0, labels: [], draining: false }

test('a report of an earlier incarnation, or from an address that a later one has taken over, changes nothing', async () => {
  const log = createMemoryLog('h1')
  const directory = createWorkerDirectory({ clock: createManualClock(), logger: createSilentLogger(), log })
  const report = async (life: Partial<WorkerIncarnation>): Promise<unknown> => (await directory.reportWorker({ ...LIFE, ...life }, 1000)).val
  expect([
    await report({}), await report({}), await report({ bornAt: 20, draining: true }), await report({}),
    await report({ bornAt: 20 }), await report({ id: 'w2', bornAt: 15 }), await report({ bornAt: 30 })
  ]).toEqual(['recorded', 'unchanged', 'recorded', 'stale', 'unchanged', 'stale', 'recorded'])
  expect(log.state().workflows.workers.w1?.life).toMatchObject({ bornAt: 30, draining: false })
})

// Guards against orders for a worker that has left: its last report may be delayed until after its departure.
test('a delayed report of a worker that has left does not bring it back, also after a restart; a later incarnation is recorded', async () => {
  const log = createMemoryLog('h1')
  const createDirectory = () => createWorkerDirectory({ clock: createManualClock(), logger: createSilentLogger(), log })
  const report = async (life: Partial<WorkerIncarnation>): Promise<unknown> => (await createDirectory().reportWorker({ ...LIFE, ...life }, 1000)).val
  const remove = async (bornAt: number | undefined): Promise<unknown> => (await createDirectory().removeWorker('w1', bornAt, 1000)).val
  expect([
    await report({}), await remove(10), await report({}), await report({ bornAt: 5 }), Object.keys(log.state().workflows.workers), await report({ bornAt: 20 }),
    // Without a start time the message may be of an earlier incarnation, so the worker may report again.
    await report({ bornAt: 20, draining: true }), await remove(undefined), await report({ bornAt: 20 })
  ]).toEqual(['recorded', 'recorded', 'stale', 'stale', [], 'recorded', 'recorded', 'recorded', 'recorded'])
})

test('a departure without a start time does not remove an incarnation that has not announced that it leaves', async () => {
  const log = createMemoryLog('h1')
  const directory = createWorkerDirectory({ clock: createManualClock(), logger: createSilentLogger(), log })
  const outcomes = [await directory.reportWorker(LIFE, 1000), await directory.removeWorker('w1', undefined, 1000)].map(({ val }) => val)
  expect([outcomes, Object.keys(log.state().workflows.workers)]).toEqual([['recorded', 'stale'], ['w1']])
})
