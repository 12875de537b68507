import { createServer, type IncomingMessage, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { createWorkerClient } from '../../platform/workers.js'
import { createNoopEventLoopMeter, createSilentLogger, createSystemClock } from '../../src/common/index.js'
import type { WorkerIncarnation } from '../../src/state/index.js'

const BORN_AT = 1000
const DEADLINE_MS = 2000

let server: Server
let received: Array<{ path: string, body: { task?: string, ackCursor?: number } }> = []

/** Opens a worker that has restarted with the same id and address: its incarnation is later than that of the orders. */
beforeEach(async () => {
  received = []
  server = createServer(async (request: IncomingMessage, response) => {
    const chunks: Buffer[] = []
    for await (const chunk of request) chunks.push(chunk as Buffer)
    received.push({ path: request.url ?? '', body: JSON.parse(Buffer.concat(chunks).toString()) })
    const lists = request.url === '/hold' ? { born: BORN_AT + 1, running: [], finished: [[1, 'a.0.0.0', 1, 'done', '']] } : {}
    response.setHeader('content-type', 'application/json').end(JSON.stringify({ clockMs: 5, ...lists }))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
})

afterEach(() => new Promise((resolve) => {
  server.close(resolve)
  server.closeAllConnections()
}))

function createIncarnation (): WorkerIncarnation {
  return { id: 'i-1', bornAt: BORN_AT, service: 'desk', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, availabilityZone: 'a', cores: 8, memoryMb: 100, accelerators: 0, labels: [], draining: false }
}

// The worker has restarted with the same id and address, so the id in the request does not tell the incarnations apart. If
// the order were sent before the start time of the incarnation is checked, the later incarnation would execute it.
test('an order for one incarnation of a worker is not sent to a later incarnation with the same id', async () => {
  const clock = createSystemClock()
  const client = createWorkerClient({ clock, logger: createSilentLogger(), work: createNoopEventLoopMeter() })
  const reply = await client.start(createIncarnation(), { task: 'a.0.0.0', attempt: 1, command: 'run', checkpoint: '', fence: 1, leaseUntil: 10_000, ticket: undefined }, clock.now() + DEADLINE_MS)
  await client.close()
  expect({ outcome: reply.ok ? 'accepted' : reply.val.kind, starts: received.filter(({ path }) => path === '/run-start').length }).toEqual({ outcome: 'other-life', starts: 0 })
})

// The cursor counts the ended runs of one incarnation. If it were sent to a later incarnation with the same id, that one would
// take its own ended runs for acknowledged, although no host has received them.
test('a poll of one incarnation of a worker acknowledges no ended run of a later incarnation', async () => {
  const clock = createSystemClock()
  const client = createWorkerClient({ clock, logger: createSilentLogger(), work: createNoopEventLoopMeter() })
  const reply = await client.poll(createIncarnation(), { fence: 1, leaseUntil: undefined, acknowledged: 40, waitMs: 0 }, clock.now() + DEADLINE_MS)
  await client.close()
  expect({ outcome: reply.ok ? 'accepted' : reply.val.kind, acknowledged: Math.max(...received.map(({ body }) => body.ackCursor ?? 0)) }).toEqual({ outcome: 'other-life', acknowledged: 0 })
})
