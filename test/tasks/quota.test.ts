import { expect, test } from 'vitest'
import { computeZoneQuota } from '../../src/coordination/tasks/taskReconciler.js'
import type { Worker } from '../../src/state/index.js'

const createWorker = (id: string, availabilityZone: string, cores: number): Worker =>
  ({ id, availabilityZone, rack: 'r', url: '', capacity: { cores, memoryBytes: cores * 1e9, accelerators: 0 } })

test('each zone enforces a part of a quota, and the parts add up to the whole', () => {
  const workers = [createWorker('w1', 'a', 30), createWorker('w2', 'b', 10), createWorker('w3', 'b', 20)]
  const quota = { cores: 12, memoryBytes: 6e9, accelerators: 2 }
  const shares = ['a', 'b', 'c'].map((zone) => computeZoneQuota(quota, workers, zone))
  expect(shares.map(({ cores, memoryBytes }) => [cores, memoryBytes])).toEqual([[6, 3e9], [6, 3e9], [0, 0]])
  expect(computeZoneQuota(quota, workers, 'a').accelerators).toBe(2)
  expect(computeZoneQuota(quota, [], 'a')).toEqual(quota)
})
