import { expect, test } from 'vitest'
import { createDispatchLoad, type DispatchLoad } from '../../src/fakes/dispatchLoad.js'

/** The largest site, and a site of a tenth of the size and rate; on both, 21 tasks end before each scheduling pass. */
const LARGE = { workers: 342, waitingTasks: 2000, endsPerSecond: 870, tickMs: 24 }
const SMALL = { workers: 34, waitingTasks: 200, endsPerSecond: 87, tickMs: 240 }
const WARM_UP_TICKS = 40
const MEASURED_TICKS = 40
const ROUNDS = 5
/** Largest growth of the cost per placed task with ten times the workers and backlog; a search over all workers would grow it by ten. */
const MAX_GROWTH = 3

/** Processor time of the dispatcher per placed task. */
async function measureTaskMs (load: DispatchLoad, tickMs: number): Promise<number> {
  const { busyMs, placed, waiting } = await load.run(MEASURED_TICKS * tickMs)
  expect(waiting).toBeGreaterThan(0)
  return busyMs / placed
}

// Guards against placement that takes more than the leader's one processor on a large site, which delayed polls of workers
// and the recording of task ends.
test('the cost of placing a task does not grow with the number of workers and waiting tasks', async () => {
  const loads = [SMALL, LARGE].map((size) => ({ load: createDispatchLoad({ ...size, seed: 1 }), tickMs: size.tickMs }))
  for (const { load, tickMs } of loads) await load.run(WARM_UP_TICKS * tickMs)
  // Other processes can only add time, so the fastest round counts; small and large rounds alternate as their load changes.
  const rounds: number[][] = []
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const [position, { load, tickMs }] of loads.entries()) (rounds[position] ??= []).push(await measureTaskMs(load, tickMs))
  }
  const [small, large] = rounds.map((figures) => Math.min(...figures)) as [number, number]
  expect(large / small).toBeLessThan(MAX_GROWTH)
}, 60_000)
