import { expect, test } from 'vitest'
import { createServiceWatch, type OverTarget } from '../../src/coordination/workflows/serviceWatch.js'

const TARGET_MS = 18

interface Poll { at: number, tailMs?: number, isAtWork?: boolean, hasAllRuns?: boolean, isAssigned?: boolean }

/** Processes polls and describes each change of the period over target. */
function listPeriods (polls: readonly Poll[]): string[] {
  const watch = createServiceWatch(1000, { overTargetMs: 4000, stopMs: 400 })
  const describe = ({ lastWithinAt, since, tailMs }: OverTarget): string => `${lastWithinAt} ${since} ${tailMs}`
  return polls.flatMap(({ at, tailMs, isAtWork = true, hasAllRuns = true, isAssigned = true }) => {
    const { over, recovered } = watch.update(isAtWork ? [{ task: 't', tailMs, targetMs: TARGET_MS }] : [], at, hasAllRuns ? undefined : () => isAssigned)
    return [...over.map((service) => `over ${describe(service)}`), ...recovered.map((service) => `recovered ${describe(service)}`)]
  })
}

test('a period over target begins after the last reading that proves the task within its target and ends with the next one', () => {
  const polls: Poll[] = [{ at: 1500, tailMs: 30 }, { at: 2000, tailMs: 40 }, { at: 2500, tailMs: 16 }, { at: 3000, tailMs: 19 }, { at: 3500, tailMs: 22 }, { at: 4000, isAtWork: false }, { at: 4500, tailMs: 20 }]
  expect(listPeriods(polls)).toEqual([
    'over 1000 1500 30',
    'over 1000 1500 40',
    'recovered 1000 1500 40',
    'over 2500 3000 19',
    'over 2500 3000 22',
    'recovered 2500 3000 22',
    'over 4000 4500 20'
  ])
})

test('a reading that is below the target by less than its error does not end a period over target', () => {
  // A tail latency of 18.4 ms may be reported as 17 ms.
  expect(listPeriods([{ at: 1500, tailMs: 10 }, { at: 2000, tailMs: 30 }, { at: 2500, tailMs: 17 }, { at: 3000, tailMs: 30 }])).toEqual([
    'over 1500 2000 30',
    'over 1500 2000 17',
    'over 1500 2000 30'
  ])
  // Nor does it count as within the target before the period, or begin one.
  expect(listPeriods([{ at: 1500, tailMs: 10 }, { at: 2000, tailMs: 18 }, { at: 2500, tailMs: 17 }, { at: 3000, tailMs: 30 }])).toEqual(['over 1500 3000 30'])
})

test('a poll without a reading of a task at work does not end a period over target', () => {
  expect(listPeriods([{ at: 1500, tailMs: 10 }, { at: 2000, tailMs: 30 }, { at: 2500 }, { at: 3000, tailMs: 30 }])).toEqual([
    'over 1500 2000 30',
    'over 1500 2000 30',
    'over 1500 2000 30'
  ])
  // Nor does it count as within the target before the period.
  expect(listPeriods([{ at: 1500, tailMs: 10 }, { at: 2000 }, { at: 2500, tailMs: 30 }])).toEqual(['over 1500 2500 30'])
  expect(listPeriods([{ at: 1500, isAtWork: false }, { at: 2000 }, { at: 2500 }, { at: 3000, tailMs: 30 }])).toEqual(['over 1500 3000 30'])
})

test('a poll in which the run of a task could not be read does not end a period over target', () => {
  expect(listPeriods([{ at: 1500, tailMs: 10 }, { at: 2000, tailMs: 30 }, { at: 2500, isAtWork: false, hasAllRuns: false }, { at: 3000, tailMs: 30 }])).toEqual([
    'over 1500 2000 30',
    'over 1500 2000 30',
    'over 1500 2000 30'
  ])
  expect(listPeriods([{ at: 1500, tailMs: 10 }, { at: 2000, isAtWork: false, hasAllRuns: false }, { at: 2500, tailMs: 30 }])).toEqual(['over 1500 2500 30'])
})

test('a task that has left the worker ends its period although other runs could not be read', () => {
  expect(listPeriods([{ at: 1500, tailMs: 10 }, { at: 2000, tailMs: 30 }, { at: 2500, isAtWork: false, hasAllRuns: false, isAssigned: false }])).toEqual([
    'over 1500 2000 30',
    'recovered 1500 2000 30'
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
