import { expect, test } from 'vitest'
import { createManualClock, createSilentLogger } from '../../src/common/index.js'
import { computeColdReserve, computeColdSlowness } from '../../src/coordination/workflows/coldWorkers.js'
import { createWorkerDirectory } from '../../src/coordination/workflows/index.js'
import { createMemoryLog } from '../../src/fakes/memoryLog.js'
import { decodeHeartbeat } from '../../platform/wire.js'
import { createScene } from './support.js'

const HEARTBEAT_MS = 1500
const REPORT = { service: 's', address: '10.0.0.1:80', zone: 'a', state: 'ready', born: 5, capacity: { cpu: 1000, memMb: 10 } }

// Guards against one log entry for each report of each cold worker, and against a deadline that later reports do not correct.
test('the deadline of a cold worker is stored once, and again only when a report differs by more than one interval', async () => {
  const clock = createManualClock(1000)
  const log = createMemoryLog('h1')
  const directory = createWorkerDirectory({ clock, logger: createSilentLogger(), log })
  const outcomes: unknown[] = []
  const report = async (coldRemainingMs: number): Promise<void> => {
    const result = await directory.reportWorker(decodeHeartbeat('w', { ...REPORT, coldRemainingMs }, clock.wall()).unwrap(), Infinity)
    outcomes.push([result.val, Math.max(0, (log.state().workflows.workers.w?.life.coldUntil ?? 0) - clock.wall())])
    await clock.advance(HEARTBEAT_MS)
  }
  for (const remainingMs of [6000, 4400, 3100, 1400, 0, 0, 1400, 9000, 0]) await report(remainingMs)
  expect(outcomes).toEqual([
    ['recorded', 6000], ['unchanged', 4500], ['unchanged', 3000], ['unchanged', 1500], ['unchanged', 0], ['unchanged', 0],
    ['unchanged', 0], ['recorded', 9000], ['recorded', 0]
  ])
})

test('a cold worker is given more of its cores and counts as less slow until its deadline', () => {
  const life = { coldUntil: 20_000, cores: 16 }
  const at = (wallTime: number): [number, number] => [computeColdReserve(life, wallTime), computeColdSlowness(life, wallTime)]
  expect([at(0), at(10_000), at(15_000), at(20_000), at(30_000), [computeColdReserve({ cores: 16 }, 0), computeColdSlowness({}, 0)]])
    .toEqual([[8, 2], [8, 2], [4, 1.5], [0, 1], [0, 1], [0, 1]])
})

// Guards against a burst of tasks on the workers of a readmitted zone, all of which would run slowly.
test('a cold worker gets fewer tasks than a warm one, and as many once it is warm', async () => {
  const scene = await createScene(['warm'])
  scene.fleet.plan = () => ({ runMs: 0, result: 'never' })
  const { life } = scene.fleet.addWorker({ id: 'cold', address: '127.0.0.1:9' })
  scene.log.propose({ kind: 'life.report', life: { ...life, coldUntil: scene.clock.wall() + 12_000 } }, Infinity)
  await scene.run(300)
  const listCounts = (): number[] => ['warm', 'cold'].map((worker) => scene.fleet.workers.get(worker)!.running.size)
  await scene.submit('x', [{ count: 16, cores: 1, memoryMb: 0 }])
  await scene.run(500)
  const few = listCounts()
  await scene.submit('y', [{ count: 48, cores: 1, memoryMb: 0 }])
  await scene.run(500)
  const many = listCounts()
  await scene.run(14_000)
  expect({ few, many, warm: listCounts() }).toEqual({ few: [16, 0], many: [32, 16], warm: [32, 32] })
})
