import { expect, test } from 'vitest'
import { createDispatchLoad } from '../../src/fakes/dispatchLoad.js'

/** The largest site, at its rate of starts, and a tenth of it. */
const LARGE = { workers: 342, waitingTasks: 2000 }
const SMALL = { workers: 34, waitingTasks: 200 }
const ENDS_PER_SECOND = 870
const WARM_UP_MS = 400
const MEASURED_MS = 400
const ROUNDS = 3
/** Placing a task may cost this many times as much with ten times the workers and the backlog; the search for one worker among all costs ten times. */
const MAX_GROWTH = 3

/** Processor time of the dispatcher for a placed task; the least of some rounds, as other processes only add to it. */
async function measureTaskMs (size: { workers: number, waitingTasks: number }): Promise<number> {
  const load = createDispatchLoad({ ...size, endsPerSecond: ENDS_PER_SECOND, seed: 1 })
  await load.run(WARM_UP_MS)
  let least = Infinity
  for (let round = 0; round < ROUNDS; round += 1) {
    const { busyMs, placed, waiting } = await load.run(MEASURED_MS)
    expect(waiting).toBeGreaterThan(0)
    least = Math.min(least, busyMs / placed)
  }
  return least
}

// On the grown sites placing took more than the one processor of the leader, so that looks and ends came late (inc1).
test('what placing a task costs does not grow with the number of workers and of waiting tasks', async () => {
  await measureTaskMs(SMALL)
  const small = await measureTaskMs(SMALL)
  const large = await measureTaskMs(LARGE)
  expect(large / small).toBeLessThan(MAX_GROWTH)
}, 60_000)
