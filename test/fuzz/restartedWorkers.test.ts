import fc from 'fast-check'
import { expect, test } from 'vitest'
import { CLASSES, listBroken, type Broken } from './restartOracle.js'
import { plan, play, type Plan } from './restartPlays.js'

const RUNS = Number(process.env.FUZZ_RUNS ?? 50)
const SEED = Number(process.env.FUZZ_SEED ?? 41)
const TEST_TIMEOUT_MS = 60_000 + RUNS * 2000

const plays = new Map<string, Promise<Broken>>()

/** Plays each plan once for all classes of failures. */
function runPlan (drawn: Plan): Promise<Broken> {
  const key = JSON.stringify(drawn, (_key, value) => value === Infinity ? 'Infinity' : value)
  const broken = plays.get(key) ?? play(drawn).then(listBroken)
  plays.set(key, broken)
  return broken
}

// Draws what the users' days contain on occasion: workers that restart under their old ids and addresses while calls for their
// former incarnations are under way, that are reported late or cut off soon after, and session hosts that change meanwhile.
test.each(CLASSES)('workers that restart and take calls for their former incarnations cause no failure of the class "%s"', async (failure) => {
  await fc.assert(fc.asyncProperty(plan, async (drawn) => {
    expect((await runPlan(drawn))[failure]).toEqual([])
  }), { seed: SEED, numRuns: RUNS, endOnFailure: true })
}, TEST_TIMEOUT_MS)
