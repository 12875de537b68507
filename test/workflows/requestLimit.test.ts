import { expect, test } from 'vitest'
import type { WorkflowReply, WorkflowRequest } from '../../src/coordination/workflows/messages.js'
import { createRequestLimit, estimateRequestBytes } from '../../src/coordination/workflows/requestLimit.js'

const READ: WorkflowRequest = { kind: 'read', address: { hostName: 'h', path: '/q/1' }, remainingMs: 1000, heldMs: 0 }
const BYTES = estimateRequestBytes(READ)

// A leader that holds requests of all entry hosts without a bound runs out of memory when the log is slow.
test('requests beyond the bound are answered as not run without being handled, and pings always pass', async () => {
  const limit = createRequestLimit(2 * BYTES)
  const finishers: Array<(reply: WorkflowReply) => void> = []
  const handle = (): Promise<WorkflowReply> => new Promise((resolve) => finishers.push(resolve))
  const running = [limit.handle(READ, handle), limit.handle(READ, handle)]
  expect(await limit.handle(READ, handle)).toMatchObject({ kind: 'not-run', reason: 'request-bytes' })
  expect(await limit.handle({ kind: 'ping' }, async () => ({ kind: 'accepted' }))).toEqual({ kind: 'accepted' })
  expect(finishers.length).toBe(2)
  finishers.forEach((finish) => finish({ kind: 'accepted' }))
  await Promise.all(running)
  expect(await limit.handle(READ, async () => ({ kind: 'accepted' }))).toEqual({ kind: 'accepted' })
})

test('a failed handler releases its bytes, and a single request beyond the bound is handled', async () => {
  const limit = createRequestLimit(BYTES - 1)
  await expect(limit.handle(READ, async () => { throw new Error('failed') })).rejects.toThrow('failed')
  expect(await limit.handle(READ, async () => ({ kind: 'accepted' }))).toEqual({ kind: 'accepted' })
})
