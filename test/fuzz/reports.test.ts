import fc from 'fast-check'
import { expect, test } from 'vitest'
import { createCounterRing } from '../../src/coordination/reports/counterRing.js'
import { computeQuantile, createLatencyHistogram } from '../../src/coordination/reports/latencyHistogram.js'

const parameters = { seed: 20261204, numRuns: Number(process.env.FUZZ_RUNS ?? 200) }

// Slots are reused. After a gap, a slot that was not cleared would count old events again.
test('a counter ring gives the same sums as a list of all events, for any gaps between them', () => {
  const SLOT_MS = 10
  const SLOTS = 12
  const steps = fc.array(fc.record({ gap: fc.oneof(fc.integer({ min: 0, max: 30 }), fc.integer({ min: 0, max: 400 })), count: fc.nat(5) }), { maxLength: 60 })
  fc.assert(fc.property(steps, fc.integer({ min: 1, max: SLOTS }), (list, windowSlots) => {
    const ring = createCounterRing(SLOT_MS, SLOTS)
    const events: Array<{ slot: number, count: number }> = []
    let now = 0
    list.forEach(({ gap, count }) => {
      now += gap
      ring.add(now, count)
      const current = Math.floor(now / SLOT_MS)
      events.push({ slot: current, count })
      const expected = events.filter(({ slot }) => slot > current - windowSlots).reduce((sum, each) => sum + each.count, 0)
      expect(ring.sum(now, windowSlots * SLOT_MS)).toBe(expected)
    })
  }), parameters)
})

test('a quantile of the latency histogram is not below the exact one and at most 10% above it', () => {
  const latencies = fc.array(fc.double({ min: 0.11, max: 90_000, noNaN: true }), { minLength: 1, maxLength: 200 })
  fc.assert(fc.property(latencies, fc.constantFrom(0.5, 0.99, 0.999), (list, quantile) => {
    const histogram = createLatencyHistogram()
    list.forEach((latency) => histogram.record(0, latency))
    const exact = [...list].sort((a, b) => a - b)[Math.ceil(list.length * quantile) - 1]!
    const found = computeQuantile(histogram.getCounts(0), quantile)!
    // The quantile is rounded to four significant digits, so the limits leave 0.05% for rounding.
    expect(found).toBeGreaterThanOrEqual(exact * 0.9995)
    expect(found).toBeLessThanOrEqual(exact * 1.1005)
  }), parameters)
})
