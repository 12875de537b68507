import { expect, test } from 'vitest'
import { createManualClock, Ok } from '../../src/common/index.js'
import { runAttempt, type AttemptContext } from '../../src/coordination/routing/attempt.js'
import { EXECUTOR_HEADERS, type ExecutorConnection } from '../../src/coordination/routing/index.js'

// The answer lies in the socket while the process is stalled; it is read only after the timers that ran out meanwhile.
test('after a stall of this process a request is not given up as silent before the answer that had arrived was read', async () => {
  const clock = createManualClock()
  const silenceMs = 500
  const connection: ExecutorConnection = {
    check: async () => Ok(undefined),
    isOpen: () => true,
    close: () => {},
    send: async ({ id }) => {
      await clock.sleep(silenceMs + 1)
      return Ok({ status: 200, headers: { [EXECUTOR_HEADERS.request]: id, 'content-length': '2' }, body: Buffer.from('ok') })
    }
  }
  const executor = { url: 'http://e1', deadline: 1e9, progressMs: 50, active: new Map(), pool: { claim: async () => Ok(connection), release: () => {}, retire: () => {} } }
  const context = { clock, holdings: { canUse: () => true, release: () => {}, abandon: () => {} }, holder: 'h1/1', estimateMs: 0, onSettled: () => {}, onLateAnswer: () => {} }
  const request = { member: 'm', service: 's', method: 'POST', path: '/', headers: {}, body: Buffer.from('x'), idempotent: false, deadline: 5_000 }
  const attempt = runAttempt(request, 'h1/1/0', executor as never, context as unknown as AttemptContext)
  await clock.advance(1_000)
  expect(await attempt).toMatchObject({ kind: 'answer', answer: { status: 200 } })
})
