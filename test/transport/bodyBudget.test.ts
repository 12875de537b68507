import { expect, test } from 'vitest'
import { compareProgress, createBodyBudget, MIN_BODY_BYTES_PER_SECOND, SLOW_WINDOW_MS, type BodyBudget, type HeldBody } from '../../src/transport/bodyBudget.js'

function receive (budget: BodyBudget, body: HeldBody, bytes: number, now: number): HeldBody[] {
  budget.recordProgress(body, bytes, now)
  return budget.charge(body, bytes, now)
}

function openBody (budget: BodyBudget, bytes: number, now: number): HeldBody {
  const body = budget.open(now)
  receive(budget, body, bytes, now)
  return body
}

// Without this order a flood of bodies that stop short of their end would have small ordinary requests refused.
test('when the budget is exhausted, stopped and dribbling bodies are dropped before one that has just arrived', () => {
  const budget = createBodyBudget(1000)
  const stopped = openBody(budget, 450, 0)
  const dribbling = openBody(budget, 450, 0)
  budget.recordProgress(dribbling, 1, 5000)
  const small = budget.open(5000)
  expect(receive(budget, small, 150, 5000)).toEqual([stopped])
  expect(receive(budget, openBody(budget, 100, 5000), 350, 5000)).toEqual([dribbling])
  expect(budget.getBytes()).toBe(600)
})

// A refusal states that the request has not run, so a request that was passed on must stay.
test('a request that has arrived whole is never dropped, and the new one is refused instead', () => {
  const budget = createBodyBudget(1000)
  const whole = openBody(budget, 900, 0)
  budget.confirmComplete(whole)
  const late = budget.open(9000)
  expect(receive(budget, late, 200, 9000)).toEqual([late])
  expect(budget.getBytes()).toBe(900)
  budget.release(whole)
  budget.release(whole)
  expect(budget.getBytes()).toBe(0)
})

test('a dropped body is charged nothing more', () => {
  const budget = createBodyBudget(100)
  const body = budget.open(0)
  expect(receive(budget, body, 200, 0)).toEqual([body])
  expect([receive(budget, body, 10, 1), budget.getBytes()]).toEqual([[body], 0])
})

// 2 Mbit/s is the slowest link of the platform; 100 callers may share it.
test.each([250_000, 2500])('a body that arrives with %i bytes/s is not slow, one below the minimum rate is', (bytesPerSecond) => {
  const budget = createBodyBudget(1e9)
  const steady = budget.open(0)
  const slow = budget.open(0)
  const found = Array.from({ length: 68 }, (_, index) => (index + 1) * 250).flatMap((now) => {
    receive(budget, steady, bytesPerSecond / 4, now)
    receive(budget, slow, MIN_BODY_BYTES_PER_SECOND / 4 - 1, now)
    return budget.listSlow(now)
  })
  expect([found.includes(steady), found.includes(slow)]).toEqual([false, true])
})

// A body that stops just short of its end has a high mean rate for a long time.
test('a body that arrived fast and then stopped is slow after one more window', () => {
  const budget = createBodyBudget(1e9)
  const body = openBody(budget, 262_134, 0)
  expect([budget.listSlow(SLOW_WINDOW_MS), budget.listSlow(2 * SLOW_WINDOW_MS)]).toEqual([[], [body]])
})

test('of bodies with equal progress the larger is dropped first', () => {
  const budget = createBodyBudget(1e9)
  const bodies = [100, 300, 200].map((bytes) => openBody(budget, bytes, 0))
  expect(bodies.sort((a, b) => compareProgress(a, b, 0)).map(({ chargedBytes }) => chargedBytes)).toEqual([300, 200, 100])
})
