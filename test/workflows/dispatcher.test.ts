import { expect, test } from 'vitest'
import { createDispatchLoad } from '../../src/fakes/dispatchLoad.js'

const SIZE = { workers: 34, waitingTasks: 200, seed: 1 }
/** A pass, the commit of its assignments and the gap to the next. */
const PASSES_MS = 48

test('groups that found no room are placed in the next passes after room has come free, not only when they are tried again', async () => {
  const load = createDispatchLoad({ ...SIZE, endsPerSecond: 0 })
  await load.run(1000)
  const { placed: placedFull } = await load.run(200)
  load.endShort(0.2)
  const { placed } = await load.run(PASSES_MS)
  expect([placedFull, placed > 20]).toEqual([0, true])
})

// Assigning more than the hosts of the workers' sessions can order only moves the queue to where nobody orders it.
test('workers whose starts are not confirmed get no work, and the scheduler then tells that it is behind', async () => {
  let isBusy = true
  const load = createDispatchLoad({ ...SIZE, endsPerSecond: 0, isBusy: () => isBusy })
  load.endShort(0.5)
  const { placed: placedBusy } = await load.run(1500)
  const behind = load.dispatcher.getLoad(2)
  isBusy = false
  const { placed } = await load.run(200)
  expect([placedBusy, behind.ahead > 100, behind.startsPerSecond, placed > 100, load.dispatcher.getLoad(2).ahead]).toEqual([0, true, 0, true, 0])
})
