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

// Work that fits on no worker would otherwise count as waiting for the scheduler, and requests would be refused because of it.
test('groups that a full pass leaves out wait for the scheduler only if a worker has the capacity for them', async () => {
  const countPending = async (hugeTasks: number): Promise<[boolean, number]> => {
    const load = createDispatchLoad({ workers: 240, waitingTasks: 3000 + hugeTasks, seed: 1, endsPerSecond: 0 })
    if (hugeTasks > 0) load.submit('huge', 'q2', [{ count: hugeTasks, cores: 1000 }])
    await load.run(1000)
    load.endShortTasks(0.6)
    const { placed } = await load.run(16)
    return [placed >= 400, load.dispatcher.getLoad(2).pendingTasks]
  }
  const [plain, withHuge] = [await countPending(0), await countPending(500)]
  expect([withHuge, plain[0], plain[1] > 0]).toEqual([plain, true, true])
})
