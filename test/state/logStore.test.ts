import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect, test } from 'vitest'
import { createManualClock, createRandom } from '../../src/common/index.js'
import { createFakeDisk, type FakeDisk } from '../../src/fakes/fakeDisk.js'
import { openDisk, openLogStore, type Disk, type StoredEntry } from '../../src/state/index.js'
import { SYNC_MARKER, type OpenStoreOptions } from '../../src/state/logStore/index.js'

let ids = 0
const open = (disk: Disk, overrides: Partial<OpenStoreOptions> = {}) =>
  openLogStore({ disk, deployment: 'test', host: 'a', createIncarnation: () => `a-${ids++}`, clock: createManualClock(), ...overrides })
const entry = (index: number, term = 1): StoredEntry => ({ index, term, bytes: new Uint8Array(20).fill(index) })
const createInstantDisk = (seed = 1): FakeDisk => createFakeDisk({ clock: createManualClock(), random: createRandom(seed), syncMs: 0 })

/** Opens a store of a bootstrapped deployment and appends entries 1 to 3, each with a sync of its own. */
async function createFilledStore (disk: FakeDisk, view = disk.open()) {
  const { store } = (await open(view)).unwrap()
  await store.setFormation(7)
  await store.saveHardState({ term: 1, vote: 'a' })
  for (const index of [1, 2, 3]) await store.append([entry(index)])
  return store
}

const findLog = (disk: FakeDisk): string => disk.listFiles().find((file) => file.startsWith('log-')) ?? ''

test('a torn last record is dropped and all records that were synced before are kept', async () => {
  const disk = createInstantDisk()
  const store = await createFilledStore(disk)
  let steps = 0
  // The third step is the sync.
  disk.setStepListener(() => {
    steps += 1
    if (steps === 3) disk.crash()
  })
  store.append([entry(4)])
  await new Promise((resolve) => setTimeout(resolve, 5))
  disk.setStepListener(undefined)
  const { loaded } = (await open(disk.open())).unwrap()
  expect(loaded.entries.map(({ index }) => index)).toEqual([1, 2, 3])
})

test('damage to a last record that was synced is reported as corruption and not taken for a torn write', async () => {
  const disk = createInstantDisk()
  await createFilledStore(disk)
  disk.damage(findLog(disk), -SYNC_MARKER.length - 1)
  expect(await open(disk.open())).toMatchObject({ err: true, val: { kind: 'corrupt-record' } })
})

test('a damaged sync marker is not reported as corruption, because a crash may damage it', async () => {
  const disk = createInstantDisk()
  const view = disk.open()
  const store = await createFilledStore(disk, view)
  const end = (await view.read(findLog(disk))).unwrap()?.length ?? 0
  await store.append([entry(4)])
  disk.damage(findLog(disk), end - 1)
  expect((await open(disk.open())).unwrap().loaded.entries).toHaveLength(4)
})

test('a damaged record before others is reported as corruption, and repair starts a new incarnation', async () => {
  const disk = createInstantDisk()
  const { incarnation } = await createFilledStore(disk)
  disk.damage(findLog(disk), 60)
  expect(await open(disk.open())).toMatchObject({ err: true, val: { kind: 'corrupt-record', file: findLog(disk) } })
  const repaired = (await open(disk.open(), { repair: true })).unwrap()
  expect(repaired.loaded).toMatchObject({ repaired: true, entries: [], hardState: { term: 0 } })
  expect(repaired.store.incarnation).not.toBe(incarnation)
})

test.each(['identity', 'hard-state', 'snapshot'])('a damaged file %s is reported as corruption', async (file) => {
  const disk = createInstantDisk()
  const store = await createFilledStore(disk)
  await store.saveSnapshot({ index: 2, term: 1, bytes: new Uint8Array(50) }, [entry(3)])
  disk.damage(file, -1)
  expect(await open(disk.open())).toMatchObject({ err: true, val: { kind: 'corrupt-record', file } })
})

test('damage to the only record of a log is reported as corruption, because a crash cannot tear a record that was written atomically with the file', async () => {
  const disk = createInstantDisk()
  await createFilledStore(disk)
  await open(disk.open())
  disk.damage(findLog(disk), -SYNC_MARKER.length - 1)
  expect(await open(disk.open())).toMatchObject({ err: true, val: { kind: 'corrupt-record' } })
})

test.each([{ host: 'b' }, { deployment: 'other' }])('the folder of another host or deployment is refused, also with repair: %o', async (overrides) => {
  const disk = createInstantDisk()
  await createFilledStore(disk)
  expect(await open(disk.open(), { ...overrides, repair: true })).toMatchObject({ err: true, val: { kind: 'foreign-folder' } })
  expect((await open(disk.open())).unwrap().loaded.entries).toHaveLength(3)
})

const countBytes = async (disk: FakeDisk, view: Disk): Promise<number> =>
  (await Promise.all(disk.listFiles().map(async (file) => (await view.read(file)).unwrap()?.length ?? 0))).reduce((sum, length) => sum + length, 0)

// Guards against a voter that ends and starts again for as long as its disk is full, and against a part of a record that stands
// before intact ones: the store would then count as corrupt.
test.each([0, 5, 20, 40, 49])('writes wait for space on a full disk, nothing counts as durable meanwhile, and after %i bytes of the first write no entry is lost or damaged', async (takenBytes) => {
  const clock = createManualClock()
  const disk = createFakeDisk({ clock, random: createRandom(1), syncMs: 0 })
  const view = disk.open()
  const reports: boolean[] = []
  const { store } = (await open(view, { clock, onFullDisk: (isFull) => { reports.push(isFull) } })).unwrap()
  await store.setFormation(7)
  await store.saveHardState({ term: 1, vote: 'a' })
  await store.append([entry(1)])
  disk.setCapacity(await countBytes(disk, view) + takenBytes)
  const done: string[] = []
  store.append([entry(2)]).then((result) => { done.push(`append ${result.ok}`) })
  store.saveHardState({ term: 2, vote: 'b' }).then((result) => { done.push(`term ${result.ok}`) })
  await clock.advance(5000)
  expect([done, reports]).toEqual([[], [true]])
  disk.setCapacity(1e9)
  await clock.advance(1000)
  await store.append([entry(3, 2)])
  expect([done, reports]).toEqual([['append true', 'term true'], [true, false]])
  disk.crash()
  const { loaded } = (await open(disk.open())).unwrap()
  expect([loaded.entries.map(({ index }) => index), loaded.hardState]).toEqual([[1, 2, 3], { term: 2, vote: 'b' }])
})

test('a store on a full disk opens once there is space again', async () => {
  const clock = createManualClock()
  const disk = createFakeDisk({ clock, random: createRandom(1), syncMs: 0 })
  await createFilledStore(disk)
  disk.crash()
  disk.setCapacity(0)
  const opened: number[] = []
  open(disk.open(), { clock }).then((result) => opened.push(result.unwrap().loaded.entries.length))
  await clock.advance(3000)
  expect(opened).toEqual([])
  disk.setCapacity(1e9)
  await clock.advance(1000)
  expect(opened).toEqual([3])
})

test('a store that waits for space can be closed', async () => {
  const clock = createManualClock()
  const disk = createFakeDisk({ clock, random: createRandom(1), syncMs: 0 })
  const { store } = (await open(disk.open(), { clock })).unwrap()
  disk.setCapacity(0)
  const appending = store.append([entry(1)])
  await clock.advance(500)
  store.abandonWaits()
  await clock.advance(500)
  expect(await appending).toMatchObject({ err: true, val: { kind: 'disk-full' } })
  await store.close()
})

test('after a failed sync the store writes no more, and a restart makes the entries that it reads durable', async () => {
  const disk = createInstantDisk()
  const store = await createFilledStore(disk)
  disk.setSyncFailures(1)
  expect(await store.append([entry(4)])).toMatchObject({ err: true, val: { kind: 'sync-failed' } })
  expect(await store.append([entry(4)])).toMatchObject({ err: true, val: { kind: 'sync-failed' } })
  disk.killProcess()
  const { loaded } = (await open(disk.open())).unwrap()
  // After a failed sync the kernel marks the pages of the old file as clean without writing them. Only entries that the restart
  // has written to a new file survive the crash.
  disk.crash()
  const again = (await open(disk.open())).unwrap()
  expect(again.loaded.entries).toEqual(loaded.entries)
})

test('a crash between any two disk operations loses no acknowledged term, entry or snapshot', async () => {
  const countSteps = async (seed: number, crashAt: number): Promise<number> => {
    const disk = createInstantDisk(seed)
    const confirmed = { last: 0, lastTerm: 0, term: 0, snapshot: 0 }
    let steps = 0
    disk.setStepListener(() => {
      steps += 1
      if (steps === crashAt) disk.crash()
    })
    const work = async (): Promise<void> => {
      const { store } = (await open(disk.open())).unwrap()
      await store.setFormation(7)
      await store.saveHardState({ term: 1, vote: 'a' })
      confirmed.term = 1
      const append = async (index: number, term: number): Promise<void> => {
        await store.append([entry(index, term)])
        Object.assign(confirmed, { last: index, lastTerm: term })
      }
      await append(1, 1)
      await append(2, 1)
      await store.saveSnapshot({ index: 1, term: 1, bytes: new Uint8Array(9) }, [entry(2)])
      confirmed.snapshot = 1
      await append(3, 1)
      await store.saveHardState({ term: 2, vote: 'b' })
      confirmed.term = 2
      await append(3, 2)
      await store.saveSnapshot({ index: 9, term: 2, bytes: new Uint8Array(9) }, [])
      confirmed.snapshot = 9
      await append(10, 2)
    }
    const finished = await Promise.race([work().then(() => true), new Promise((resolve) => setTimeout(() => resolve(false), 5))])
    disk.setStepListener(undefined)
    const { loaded } = (await open(disk.open())).unwrap()
    const base = loaded.snapshot?.index ?? 0
    const stored = loaded.entries.find(({ index }) => index === confirmed.last)
    expect(loaded.hardState.term).toBeGreaterThanOrEqual(confirmed.term)
    expect(base).toBeGreaterThanOrEqual(confirmed.snapshot)
    expect(base >= confirmed.last || (stored?.term ?? 0) >= confirmed.lastTerm, `step ${crashAt}`).toBe(true)
    loaded.entries.forEach(({ index }, position) => expect(index).toBe(base + 1 + position))
    return finished === true ? 0 : steps
  }
  const runs = await Promise.all([1, 2, 3, 4].flatMap((seed) =>
    Array.from({ length: 60 }, (_, step) => countSteps(seed, step + 1))))
  // Proves the coverage: many runs were interrupted, each at another step, and some ran to the end.
  expect(runs.filter((steps) => steps > 0).length).toBeGreaterThan(100)
  expect(runs).toContain(0)
})

test('a store in a real folder keeps entries and snapshot after it is closed and opened again', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'sequoiadrift-'))
  try {
    const disk = (await openDisk(folder)).unwrap()
    const { store } = (await open(disk)).unwrap()
    await store.setFormation(7)
    await store.saveHardState({ term: 3, vote: 'a' })
    await store.append([entry(1), entry(2)])
    await store.saveSnapshot({ index: 1, term: 1, bytes: new Uint8Array(9) }, [entry(2)])
    await store.append([entry(2, 3), entry(3, 3)])
    await store.close()
    const again = (await open((await openDisk(folder)).unwrap())).unwrap()
    expect(again.loaded).toMatchObject({ hardState: { term: 3 }, snapshot: { index: 1 }, entries: [{ index: 2, term: 3 }, { index: 3, term: 3 }] })
    await again.store.close()
  } finally {
    await rm(folder, { recursive: true })
  }
})
