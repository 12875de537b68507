import { expect, test } from 'vitest'
import { createManualClock, createRandom, createSystemClock } from '../src/common/index.js'

test('the manual clock wakes sleepers in order of their deadlines, not of their calls to sleep', async () => {
  const clock = createManualClock()
  const woken: Array<[string, number]> = []
  const sleepThenNote = async (name: string, ms: number): Promise<void> => {
    await clock.sleep(ms)
    woken.push([name, clock.now()])
    if (name === 'a') await sleepThenNote('after-a', 5)
  }
  sleepThenNote('b', 20)
  sleepThenNote('a', 10)
  await clock.advance(30)
  expect(woken).toMatchInlineSnapshot(`
    [
      [
        "a",
        10,
      ],
      [
        "after-a",
        15,
      ],
      [
        "b",
        20,
      ],
    ]
  `)
})

test('an aborted sleep resolves at once, so that a stop does not wait for timers', async () => {
  const clock = createManualClock()
  const controller = new AbortController()
  const done = clock.sleep(1000, controller.signal).then(() => clock.now())
  controller.abort()
  expect(await done).toBe(0)
})

test('a seed repeats the same random numbers, so that a failing run can be reproduced', () => {
  const draw = (): number[] => {
    const random = createRandom(7)
    return [random.below(10), random.below(10), random.below(10), Math.floor(random.next() * 100)]
  }
  expect(draw()).toEqual(draw())
  expect(draw()).toMatchInlineSnapshot(`
    [
      0,
      0,
      5,
      22,
    ]
  `)
})

test('an infinite sleep does not end at once, as a timer of Node.js with a delay above its maximum does', async () => {
  const clock = createSystemClock()
  const controller = new AbortController()
  const startedAt = clock.now()
  const slept = clock.sleep(Infinity, controller.signal).then(() => clock.now() - startedAt)
  await clock.sleep(30)
  controller.abort()
  expect(await slept).toBeGreaterThan(25)
})

test('a sleep of the system clock never ends before its time by the monotonic clock', async () => {
  const clock = createSystemClock()
  const early = await Promise.all(Array.from({ length: 200 }, async (_, index) => {
    await clock.sleep(index * 0.31)
    const until = clock.now() + 20 + index * 0.17
    await clock.sleep(until - clock.now())
    return clock.now() < until
  }))
  expect(early.filter(Boolean)).toHaveLength(0)
})
