import { expect, test } from 'vitest'
import { createDispatchLoad } from '../../src/fakes/dispatchLoad.js'

const SIZE = { workers: 34, waitingTasks: 200, seed: 1 }
/** Time for a scheduling pass, the commit of its assignments, and the pause before the next pass. */
const PASS_CYCLE_MS = 48

test('blocked groups are placed in the next passes after capacity becomes free, before their retry time', async () => {
  const load = createDispatchLoad({ ...SIZE, endsPerSecond: 0 })
  await load.run(1000)
  const { placed: placedBefore } = await load.run(200)
  load.endShortTasks(0.2)
  const { placed } = await load.run(PASS_CYCLE_MS)
  expect([placedBefore, placed > 20]).toEqual([0, true])
})

// Guards against assigning more tasks than the session hosts can order: they would wait there in a queue that is not ordered by urgency.
test('workers with too many unconfirmed starts receive no tasks, and the scheduler reports the tasks that wait for it', async () => {
  let isBusy = true
  const load = createDispatchLoad({ ...SIZE, endsPerSecond: 0, isBusy: () => isBusy })
  load.endShortTasks(0.5)
  const { placed: placedBusy } = await load.run(1500)
  const behind = load.dispatcher.getLoad(2)
  isBusy = false
  const { placed } = await load.run(200)
  expect([placedBusy, behind.pendingTasks > 100, behind.startsPerSecond, placed > 100, load.dispatcher.getLoad(2).pendingTasks]).toEqual([0, true, 0, true, 0])
})
