import { expect, test } from 'vitest'
import { createServiceWatch } from '../../src/coordination/workflows/serviceWatch.js'

const TARGET_MS = 18

test('a stretch over the target counts from a later reading than its first, or goes on after a reading within it', () => {
  const watch = createServiceWatch(1000)
  const look = (at: number, tailMs: number | undefined): string[] => {
    const { over, recovered } = watch.update(tailMs === undefined ? [] : [{ task: 't', tailMs, targetMs: TARGET_MS }], at)
    const describe = ({ withinAt, since, readAt }: { withinAt: number, since: number, readAt: number }): string => `${withinAt} ${since} ${readAt}`
    return [...over.map((service) => `over ${describe(service)}`), ...recovered.map((service) => `recovered ${describe(service)}`)]
  }
  const looks: Array<[number, number | undefined]> = [[1500, 30], [2000, 40], [2500, 18], [3000, 19], [3500, undefined], [4000, 20]]
  expect(looks.flatMap(([at, tailMs]) => look(at, tailMs))).toEqual([
    'over 1000 1500 1500',
    'over 1000 1500 2000',
    'recovered 1000 1500 2000',
    'over 2500 3000 3000',
    'recovered 2500 3000 3000',
    'over 3500 4000 4000'
  ])
})
