import { expect, test } from 'vitest'
import { createDispatchLoad, type DispatchLoad } from '../../src/fakes/dispatchLoad.js'

/** The largest site, and a tenth of it at a tenth of the rate; on both 21 tasks end before each pass. */
const LARGE = { workers: 342, waitingTasks: 2000, endsPerSecond: 870, tickMs: 24 }
const SMALL = { workers: 34, waitingTasks: 200, endsPerSecond: 87, tickMs: 240 }
const WARM_UP_TICKS = 40
const MEASURED_TICKS = 40
const ROUNDS = 5
/** Placing a task may cost this many times as much with ten times the workers and the backlog; the search for one worker among all costs ten times. */
const MAX_GROWTH = 3

/** Processor time of the dispatcher for a placed task. */
async function measureTaskMs (load: DispatchLoad, tickMs: number): Promise<number> {
  const { busyMs, placed, waiting } = await load.run(MEASURED_TICKS * tickMs)
  expect(waiting).toBeGreaterThan(0)
  return busyMs / placed
}

// On the grown sites placing took more than the one processor of the leader, so that looks and ends came late (inc1).
test('what placing a task costs does not grow with the number of workers and of waiting tasks', async () => {
  const loads = [SMALL, LARGE].map((size) => ({ load: createDispatchLoad({ ...size, seed: 1 }), tickMs: size.tickMs }))
  for (const { load, tickMs } of loads) await load.run(WARM_UP_TICKS * tickMs)
  // Other processes only add to the time, so the least of some rounds counts; rounds alternate as their load changes.
  const rounds: number[][] = []
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const [position, { load, tickMs }] of loads.entries()) (rounds[position] ??= []).push(await measureTaskMs(load, tickMs))
  }
  const [small, large] = rounds.map((figures) => Math.min(...figures)) as [number, number]
  expect(large / small).toBeLessThan(MAX_GROWTH)
}, 60_000)
