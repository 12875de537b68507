import { expect, test } from 'vitest'
import { measureStartDelay, measureTrafficAtPeak, measureTrafficAtRest } from '../../src/bench/tasks.js'

const LINK_TARGET_BYTES_PER_SECOND = 2_000
const URGENT_START_TARGET_MS = 3_200

test('the traffic of the exchange stays below the target for one worker link when idle and at peak load', async () => {
  const rest = await measureTrafficAtRest(10)
  const peak = await measureTrafficAtPeak(10)
  expect(rest.workerLinkBytesPerSecond).toBeLessThan(LINK_TARGET_BYTES_PER_SECOND)
  expect(peak.workerLinkBytesPerSecond).toBeLessThan(LINK_TARGET_BYTES_PER_SECOND)
  expect([rest.startsPerSecond, peak.startsPerSecond >= 25]).toEqual([0, true])
})

test('urgent tasks start within the target time while a zone carries its part of the load', async () => {
  expect((await measureStartDelay()).urgentMs).toBeLessThan(URGENT_START_TARGET_MS)
})
