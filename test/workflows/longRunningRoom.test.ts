import { expect, test } from 'vitest'
import { DEFAULT_COMPETITION } from '../../src/coordination/workflows/competition.js'
import { createSettledRoom } from '../../src/coordination/workflows/longRunningRoom.js'
import type { PlacementCandidate } from '../../src/coordination/workflows/candidates.js'
import { CATALOG, createCandidate, createScene } from './support.js'

function createWorkers (freeCores: number[]): PlacementCandidate[] {
  return freeCores.map((cores, index) => ({ ...createCandidate(`w${index}`, { freeCores: cores }), stepRuns: new Map<string, number>() }))
}

// Guards against long-running tasks that take what short work needs a moment later.
test('long-running tasks get what has been free for two seconds, in gaps that hold one', () => {
  const room = createSettledRoom()
  const observe = (freeCores: number[], now: number): void => room.observe('desk', createWorkers(freeCores), 4, now)
  const before = room.countTasks('desk', 4, 0)
  observe([9, 9, 3], 0)
  observe([4, 5, 3], 1000)
  observe([30, 30, 3], 2000)
  const settled = room.countTasks('desk', 4, 2000)
  room.recordPlaced('desk', 4)
  const afterOne = room.countTasks('desk', 4, 2000)
  observe([30, 30, 3], 3100)
  expect([before, settled, afterOne, room.countTasks('desk', 4, 3100), room.countTasks('desk', 4, 5200)]).toEqual([Infinity, 2, 1, 1, 1])
})

const WORKERS = Array.from({ length: 12 }, (_, index) => `w${index}`)
const SERVICE = { lasting: true, count: 8, cores: 3, expectedRunMs: 400 }
const RUN_MS = 500
const OBJECTIVE_MS = 1.5 * RUN_MS + 250
/** Longest wait of an interrupted long-running task once the workers have stopped coming and going. */
const MAX_CALM_WAIT_MS = 7000

/** Three of twelve workers are cut off one after the other, 8 s each. Long-running tasks request three quarters of all cores. */
async function playLosses (longRunningYields: boolean): Promise<{ onTime: number, waiting: number, calmWaitMs: number }> {
  const queues = ['services', 'quotes'].map((name) => ({ ...CATALOG.queues[0]!, name, pathPrefix: `/${name}/`, slackFactor: 1.5, objectiveMs: 250 }))
  const scene = await createScene([], { ...CATALOG, queues }, { competition: { ...DEFAULT_COMPETITION, longRunningLimit: false, longRunningYields } })
  for (const id of WORKERS) {
    const { life } = scene.fleet.addWorker({ id, address: `127.0.0.1:${scene.fleet.workers.size + 1}`, cores: 16, memoryMb: 64_000 })
    scene.log.propose({ kind: 'life.report', life }, Infinity)
    await scene.run(20)
  }
  await scene.run(3000)
  scene.fleet.plan = (task) => task.startsWith('service') ? { runMs: 0, result: 'never' } : { runMs: RUN_MS + 100, result: 'succeeded' }
  for (let number = 0; number < 6; number += 1) await scene.submit(`service${number}`, [SERVICE], {}, 'services')
  await scene.run(5000)
  const submittedAt = new Map<string, number>()
  const startedAt = scene.clock.now()
  for (let passed = 0; passed < 16_000; passed += 250) {
    WORKERS.slice(0, 3).forEach((id, index) => {
      const worker = scene.fleet.workers.get(id)
      if (worker !== undefined) worker.reachable = passed < 2000 * index || passed >= 2000 * index + 8000
    })
    submittedAt.set(`short${passed}`, scene.clock.now())
    await scene.submit(`short${passed}`, [{ count: 8, cores: 2, expectedRunMs: RUN_MS }], {}, 'quotes')
    await scene.run(startedAt + passed + 250 - scene.clock.now())
  }
  const calmFrom = scene.clock.now()
  await scene.run(10_000)
  const endedAt = new Map(scene.listEvents('ended').filter(({ cause }) => cause === 'succeeded').toSorted((a, b) => a.at - b.at).map(({ task, at }) => [task.split('.')[0], at]))
  const running = [...scene.fleet.workers.values()].flatMap((worker) => [...worker.running.keys()]).filter((task) => task.startsWith('service'))
  const lastStart = Math.max(...scene.listEvents('started').filter(({ task }) => task.startsWith('service')).map(({ at }) => at))
  return { onTime: [...submittedAt].filter(([id, at]) => (endedAt.get(id) ?? Infinity) - at <= OBJECTIVE_MS).length / submittedAt.size, waiting: 48 - running.length, calmWaitMs: lastStart - calmFrom }
}

// Guards against short work that is late for as long as lost workers are away, and longer, because the long-running tasks of these
// workers took the cores of the others first; and against long-running tasks that wait on when the workers are back.
test('short work goes on while workers are lost one after the other, and all long-running tasks run soon after', async () => {
  const [without, withYield] = [await playLosses(false), await playLosses(true)]
  expect([withYield.onTime - without.onTime >= 0.1, without.waiting, withYield.waiting, withYield.calmWaitMs <= MAX_CALM_WAIT_MS]).toEqual([true, 0, 0, true])
}, 60_000)
