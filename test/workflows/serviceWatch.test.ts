import { expect, test } from 'vitest'
import { createServiceWatch, type OverTarget } from '../../src/coordination/workflows/serviceWatch.js'

const TARGET_MS = 18

test('a period over target begins with its first reading over the target and ends with a reading within it', () => {
  const watch = createServiceWatch(1000, { overTargetMs: 4000, stopMs: 400 })
  const poll = (at: number, tailMs: number | undefined): string[] => {
    const { over, recovered } = watch.update(tailMs === undefined ? [] : [{ task: 't', tailMs, targetMs: TARGET_MS }], at)
    const describe = ({ lastWithinAt: withinAt, since, tailMs }: OverTarget): string => `${withinAt} ${since} ${tailMs}`
    return [...over.map((service) => `over ${describe(service)}`), ...recovered.map((service) => `recovered ${describe(service)}`)]
  }
  const polls: Array<[number, number | undefined]> = [[1500, 30], [2000, 40], [2500, 17], [3000, 19], [3500, 18], [4000, undefined], [4500, 20]]
  expect(polls.flatMap(([at, tailMs]) => poll(at, tailMs))).toEqual([
    'over 1000 1500 30',
    'over 1000 1500 40',
    'recovered 1000 1500 40',
    'over 2500 3000 19',
    'over 2500 3000 18',
    'recovered 2500 3000 18',
    'over 4000 4500 20'
  ])
})

test('a worker becomes overdue early enough for its best-effort runs to end within the bound', () => {
  const watch = createServiceWatch(0, { overTargetMs: 4000, stopMs: 400 })
  watch.update([{ task: 't', tailMs: 10, targetMs: TARGET_MS }], 1000)
  // The reading in the poll at 1,000 may have been taken at 0.
  const [service] = watch.update([{ task: 't', tailMs: 30, targetMs: TARGET_MS }], 1500).over
  expect(service?.stopBy).toBeLessThanOrEqual(0 + 4000 - 400)
  expect([3299, 3300].map((at) => watch.isOverdue(at))).toEqual([false, true])
  watch.update([{ task: 't', tailMs: 12, targetMs: TARGET_MS }], 3400)
  expect(watch.isOverdue(9000)).toBe(false)
})
