import { expect, test } from 'vitest'
import { createFakeZone } from '../../src/fakes/zone.js'

test('a job in a zone with one host completes and its outcomes reach the replicated state', async () => {
  const zone = await createFakeZone({ hosts: 1, workers: 3 })
  await zone.addJob({ id: 'catalogue', tasks: 10 })
  await zone.advance(10_000)
  expect(zone.listActive()).toEqual(['h1'])
  await zone.advance(10_000)
  expect(Object.values(zone.log.state().jobs.catalogue!.outcomes)).toEqual(Array(10).fill('succeeded'))
  expect(zone.findActive()!.listTasks({})).toEqual([])
})
