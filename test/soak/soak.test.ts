import { execFileSync } from 'node:child_process'
import { beforeAll, expect, test } from 'vitest'
import { renderResult, runSoak } from './soak.js'

const SECONDS = 14
const TIMEOUT_MS = 90_000
const SYSTEM = { voters: 3, entries: 2, workers: 8 }
/** Two scripts of faults: one between hosts, and one that also clears a disk or kills all processes. */
const SEEDS = [1, 2]
/** Seeds that exposed a fault of the software in the past, with that fault. */
const REGRESSION_SEEDS: Array<[seed: number, cause: string]> = [
  [14, 'a host that took over a worker after the cancel of a job did not stop the run of that job'],
  [329, 'a host that got SIGTERM while it started died of the signal'],
  [509, 'a host that got SIGHUP while it started died of the signal']
]

beforeAll(() => {
  execFileSync(process.execPath, ['deploy/build.mjs'], { stdio: 'inherit' })
}, TIMEOUT_MS)

// Guards against guarantees to clients and workers that are violated once processes, links or workers fail.
test.each(SEEDS)('no guarantee is violated under the faults of seed %i', { timeout: TIMEOUT_MS }, async (seed) => {
  const result = await runSoak({ ...SYSTEM, seed, seconds: SECONDS })
  expect(result.broken, renderResult(result)).toEqual([])
})

test.each(REGRESSION_SEEDS)('no guarantee is violated under the faults of regression seed %i: %s', { timeout: TIMEOUT_MS }, async (seed) => {
  const result = await runSoak({ ...SYSTEM, seed, seconds: SECONDS })
  expect(result.broken, renderResult(result)).toEqual([])
})
