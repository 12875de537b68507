import fc from 'fast-check'
import { expect, test } from 'vitest'
import { computeZoneShares, splitByWeights } from '../src/programs/entryHost/zoneShares.js'
import { applyEntry, createReplicatedState, jobSchema } from '../src/state/index.js'

const size = { cores: 2, memoryBytes: 1e9, accelerators: 0 }

test('a job is split by spare cores among the zones that can hold a task, and stays in its own zone when none can', () => {
  const state = createReplicatedState()
  const zones: Array<[string, number]> = [['a', 8], ['b', 24], ['c', 1]]
  zones.forEach(([availabilityZone, cores]) => applyEntry(state, {
    kind: 'worker.register',
    worker: { id: `w-${availabilityZone}`, availabilityZone, rack: 'r', capacity: { cores, memoryBytes: 1e10, accelerators: 0 }, url: '' }
  }))
  const divide = (tasks: number, cores = 2): unknown =>
    computeZoneShares(state, jobSchema.parse({ id: 'j', member: 'm', jobClass: 'x', size: { ...size, cores }, tasks, expectedRunMs: 1 }), 'c')
  expect({ eight: divide(8), one: divide(1), tooLarge: divide(3, 64) }).toMatchSnapshot()
})

test('shares are integers, not negative, and add up to the total', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 10_000 }), fc.array(fc.double({ min: 0.001, max: 1e6, noNaN: true }), { minLength: 1, maxLength: 10 }), (total, weights) => {
    const shares = splitByWeights(total, weights, 0)
    expect(shares.every((share) => Number.isInteger(share) && share >= 0)).toBe(true)
    expect(shares.reduce((all, share) => all + share, 0)).toBe(total)
  }), { seed: 1, numRuns: 300 })
})
