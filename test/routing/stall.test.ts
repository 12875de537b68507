import { expect, test } from 'vitest'
import { createManualClock, Ok } from '../../src/common/index.js'
import { runAttempt, type AttemptContext } from '../../src/coordination/routing/attempt.js'
import { EXECUTOR_HEADERS, type ExecutorConnection } from '../../src/coordination/routing/index.js'

// Guards against a lost answer: while the process is stalled, the answer waits in the socket, and the silence timeout, which
// has passed meanwhile, fires before the socket is read.
test('after a stall of the process, an answer that has already arrived is read before the attempt is given up as silent', async () => {
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
  const executor = { url: 'http://e1', deadline: 1e9, progressMs: 50, activeAttempts: new Map(), pool: { acquire: async () => Ok(connection), release: () => {}, retire: () => {} } }
  const context = { clock, leasedExecutors: { canUse: () => true, release: () => {}, abandon: () => {} }, holder: 'h1/1', estimateMs: 0, onSettled: () => {}, onLateAnswer: () => {} }
  const request = { member: 'm', service: 's', method: 'POST', path: '/', headers: {}, body: Buffer.from('x'), idempotent: false, deadline: 5_000 }
  const attempt = runAttempt(request, 'h1/1/0', executor as never, context as unknown as AttemptContext)
  await clock.advance(1_000)
  expect(await attempt).toMatchObject({ kind: 'answer', answer: { status: 200 } })
})
