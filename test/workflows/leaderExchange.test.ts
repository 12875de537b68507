import { expect, test } from 'vitest'
import { createManualClock, createSilentLogger, Ok, type Network } from '../../src/common/index.js'
import { createLeaderExchange } from '../../src/coordination/workflows/leaderExchange.js'
import type { SessionsReply } from '../../src/coordination/workflows/sessionMessages.js'
import type { Session } from '../../src/coordination/workflows/sessionState.js'
import type { ReplicatedLog } from '../../src/state/index.js'

const ROUND_TRIP_MS = 100

test('a report that was sent before a change does not count as the report of that change', async () => {
  const clock = createManualClock(1000)
  const granted: SessionsReply = { kind: 'granted', fence: 1, authorityAgeMs: 0, stops: [] }
  const network = { self: 'h2', request: async () => { await clock.sleep(ROUND_TRIP_MS); return Ok(granted) }, handle: () => {} } as unknown as Network
  const session = { worker: 'w1', bornAt: 1, reachable: true, hasOverdueService: false, readAt: 1000, runs: new Map(), strays: new Map(), wake: { notify: () => {} } } as unknown as Session
  const exchange = createLeaderExchange({
    clock,
    logger: createSilentLogger(),
    network,
    log: { status: () => ({ leader: 'h1', appliedIndex: 1 }) } as unknown as ReplicatedLog,
    availabilityZone: 'a',
    process: 'p',
    sessions: new Map([['w1', session]]),
    exchangeLocally: () => granted,
    stopRun: () => {}
  })
  let isReported = false
  exchange.queueReport('w1', true)
  exchange.sync()
  await clock.advance(ROUND_TRIP_MS / 2)
  exchange.queueReport('w1', true)
  exchange.waitForReport('w1').then(() => { isReported = true })
  await clock.advance(ROUND_TRIP_MS)
  expect(isReported).toBe(false)
  exchange.sync()
  await clock.advance(ROUND_TRIP_MS + 1)
  expect(isReported).toBe(true)
})
