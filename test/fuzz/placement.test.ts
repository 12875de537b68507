import fc from 'fast-check'
import { expect, test } from 'vitest'
import { createNaivePlacement } from '../../src/bench/placementNaive.js'
import { createPlacement, type Placement } from '../../src/coordination/placement/index.js'
import { runPlacementModel, type ModelOptions, type ModelResult } from '../../src/fakes/placementModel.js'
import { createGroundTruth, type ModelDeployment } from '../../src/fakes/placementGroundTruth.js'
import { DEFAULT_PRESETS, type Policy } from '../../src/state/index.js'
import { createCheckedPlacement, createDisturbedPlacement, type Violation } from '../placement/checked.js'

const GB = 1e9
const RUNS = Number(process.env['FUZZ_RUNS'] ?? 1000)
const DURATION_MS = 24_000

const caseArbitrary = fc.record({
  seed: fc.integer({ min: 1, max: 1e6 }),
  workers: fc.integer({ min: 2, max: 5 }),
  cores: fc.constantFrom(8, 16, 32),
  memory: fc.constantFrom(16, 60, 125),
  services: fc.integer({ min: 1, max: 2 }),
  members: fc.integer({ min: 1, max: 3 }),
  quotaShare: fc.constantFrom(0.1, 0.4, 1),
  preset: fc.constantFrom('ordinary', 'peak', 'maintenance'),
  wrongShare: fc.constantFrom(0, 0.5, 1),
  waves: fc.boolean(),
  failing: fc.boolean(),
  lostRack: fc.boolean(),
  cancellations: fc.boolean(),
  disturbance: fc.constantFrom(0, 0.2, 0.6)
})
type FuzzCase = typeof caseArbitrary extends fc.Arbitrary<infer T> ? T : never

function createOptions (fuzzCase: FuzzCase): ModelOptions {
  const deployment: ModelDeployment = {
    name: 'fuzz',
    workers: fuzzCase.workers,
    rackSize: 2,
    capacity: { cores: fuzzCase.cores, memoryBytes: fuzzCase.memory * GB, accelerators: 0 },
    services: fuzzCase.services,
    replicas: 2,
    classes: 4,
    members: Array.from({ length: fuzzCase.members }, (_, index) => ({ id: `m${index}`, quotaShare: fuzzCase.quotaShare })),
    policy: DEFAULT_PRESETS[fuzzCase.preset] as Policy
  }
  return {
    seed: fuzzCase.seed,
    deployment,
    truth: createGroundTruth(deployment, fuzzCase.seed),
    durationMs: DURATION_MS,
    settlingMs: 5000,
    scenario: {
      name: 'fuzz',
      getLoad: (_, now) => fuzzCase.waves && now % 15_000 > 7500 ? 0.8 : 0.45,
      misdeclaredShare: fuzzCase.wrongShare,
      urgentEveryMs: 5000,
      ...fuzzCase.failing && { failingWorkers: 0.3 },
      ...fuzzCase.lostRack && { lostRack: { rack: 'rack-0', from: 10_000, to: 18_000 } },
      ...fuzzCase.cancellations && { cancellationsAt: [12_000, 20_000] }
    }
  }
}

function runCase (fuzzCase: FuzzCase, createInner: () => Placement): { result: ModelResult, violations: Violation[] } {
  let checked = createCheckedPlacement(createInner())
  const result = runPlacementModel(createOptions(fuzzCase), () => {
    checked = createCheckedPlacement(createInner())
    return createDisturbedPlacement(checked, fuzzCase.seed, fuzzCase.disturbance)
  })
  return { result, violations: checked.violations }
}

interface Totals { missedWindows: number, evictions: number, evictionsForServices: number, guardRefusals: number, urgentStartMs: number }

function createTotals (): Totals {
  return { missedWindows: 0, evictions: 0, evictionsForServices: 0, guardRefusals: 0, urgentStartMs: 0 }
}

function addTotals (totals: Totals, result: ModelResult): void {
  totals.missedWindows += result.windows.filter(({ p99Ms, objectiveMs }) => p99Ms > objectiveMs).length
  totals.evictions += result.stops.length
  totals.evictionsForServices += result.stops.filter(({ decision }) => decision.cause === 'interference').length
  totals.guardRefusals += result.guardRefusals
  totals.urgentStartMs += result.urgentStartMs.reduce((sum, ms) => sum + ms, 0) / Math.max(1, result.urgentStartMs.length)
}

test('no random case violates a placement rule, and in total the placement does better than the naive one', () => {
  const totals = { real: createTotals(), naive: createTotals() }
  fc.assert(fc.property(caseArbitrary, (fuzzCase) => {
    const real = runCase(fuzzCase, () => createPlacement({ seed: fuzzCase.seed }))
    const naive = runCase(fuzzCase, createNaivePlacement)
    expect(real.violations).toEqual([])
    addTotals(totals.real, real.result)
    addTotals(totals.naive, naive.result)
  }), { numRuns: RUNS, seed: 20_261_204, endOnFailure: process.env['FUZZ_SHRINK'] === undefined })
  if (process.env['FUZZ_PRINT'] !== undefined) console.log(totals)
  expect(totals.real.missedWindows).toBeLessThan(totals.naive.missedWindows)
  expect(totals.real.urgentStartMs).toBeLessThan(totals.naive.urgentStartMs)
  expect(totals.real.guardRefusals).toBeLessThan(totals.naive.guardRefusals)
  expect(totals.real.evictions).toBeLessThan(totals.naive.evictions)
  // The naive placement evicts only to protect services, so the limit of a tenth compares evictions of that cause only.
  expect(totals.real.evictionsForServices).toBeLessThan(totals.naive.evictionsForServices / 10)
}, 600_000)
