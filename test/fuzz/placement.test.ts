import fc from 'fast-check'
import { expect, test } from 'vitest'
import { createNaivePlacement } from '../../src/bench/placementNaive.js'
import { createPlacement, type Placement } from '../../src/coordination/placement/index.js'
import { runPlacementModel, type ModelOptions, type ModelResult } from '../../src/fakes/placementModel.js'
import { createTruth, type ModelDeployment } from '../../src/fakes/placementTruth.js'
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
type Case = typeof caseArbitrary extends fc.Arbitrary<infer T> ? T : never

function createOptions (given: Case): ModelOptions {
  const deployment: ModelDeployment = {
    name: 'fuzz',
    workers: given.workers,
    rackSize: 2,
    capacity: { cores: given.cores, memoryBytes: given.memory * GB, accelerators: 0 },
    services: given.services,
    replicas: 2,
    classes: 4,
    members: Array.from({ length: given.members }, (_, index) => ({ id: `m${index}`, quotaShare: given.quotaShare })),
    policy: DEFAULT_PRESETS[given.preset] as Policy
  }
  return {
    seed: given.seed,
    deployment,
    truth: createTruth(deployment, given.seed),
    durationMs: DURATION_MS,
    settlingMs: 5000,
    scenario: {
      name: 'fuzz',
      getLoad: (_, now) => given.waves && now % 15_000 > 7500 ? 0.8 : 0.45,
      wrongShare: given.wrongShare,
      urgentEveryMs: 5000,
      ...given.failing && { failingWorkers: 0.3 },
      ...given.lostRack && { lostRack: { rack: 'rack-0', from: 10_000, to: 18_000 } },
      ...given.cancellations && { cancellationsAt: [12_000, 20_000] }
    }
  }
}

function runCase (given: Case, createInner: () => Placement): { result: ModelResult, violations: Violation[] } {
  let checked = createCheckedPlacement(createInner())
  const result = runPlacementModel(createOptions(given), () => {
    checked = createCheckedPlacement(createInner())
    return createDisturbedPlacement(checked, given.seed, given.disturbance)
  })
  return { result, violations: checked.violations }
}

interface Totals { missed: number, evictions: number, forServices: number, refusedByGuard: number, urgentMs: number }

function createTotals (): Totals {
  return { missed: 0, evictions: 0, forServices: 0, refusedByGuard: 0, urgentMs: 0 }
}

function addTotals (totals: Totals, result: ModelResult): void {
  totals.missed += result.windows.filter(({ p99Ms, objectiveMs }) => p99Ms > objectiveMs).length
  totals.evictions += result.stops.length
  totals.forServices += result.stops.filter(({ decision }) => decision.cause === 'interference').length
  totals.refusedByGuard += result.guardRefusals
  totals.urgentMs += result.urgentStartMs.reduce((sum, ms) => sum + ms, 0) / Math.max(1, result.urgentStartMs.length)
}

test('no case breaks a rule that always holds, and in total the policy is better than the naive one', () => {
  const totals = { real: createTotals(), naive: createTotals() }
  fc.assert(fc.property(caseArbitrary, (given) => {
    const real = runCase(given, () => createPlacement({ seed: given.seed }))
    const naive = runCase(given, createNaivePlacement)
    expect(real.violations).toEqual([])
    addTotals(totals.real, real.result)
    addTotals(totals.naive, naive.result)
  }), { numRuns: RUNS, seed: 20_261_204, endOnFailure: process.env['FUZZ_SHRINK'] === undefined })
  if (process.env['FUZZ_PRINT'] !== undefined) console.log(totals)
  expect(totals.real.missed).toBeLessThan(totals.naive.missed)
  expect(totals.real.urgentMs).toBeLessThan(totals.naive.urgentMs)
  expect(totals.real.refusedByGuard).toBeLessThan(totals.naive.refusedByGuard)
  expect(totals.real.evictions).toBeLessThan(totals.naive.evictions)
  // The naive policy evicts only to protect services; the target of a tenth compares like with like.
  expect(totals.real.forServices).toBeLessThan(totals.naive.forServices / 10)
}, 600_000)
