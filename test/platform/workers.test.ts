import { createServer, type IncomingMessage, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { createWorkerClient } from '../../platform/workers.js'
import { createNoopEventLoopMeter, createSilentLogger, createSystemClock } from '../../src/common/index.js'
import type { WorkerIncarnation } from '../../src/state/index.js'

const BORN_AT = 1000
const DEADLINE_MS = 2000
const SHORT_DEADLINE_MS = 300
/** Connections that the client opens to one worker. */
const MAX_CONNECTIONS = 4
const WAITING_ORDERS = 8

let server: Server
/** Start time of the incarnation that answers. */
let bornAt: number
/** Paths on which requests get no answer. */
let isSilent: (path: string) => boolean
/** Whether the worker ends the connection with each answer. */
let closes: boolean
let received: Array<{ path: string, body: { task?: string, ackCursor?: number } }> = []

/** Opens a worker that has restarted with the same id and address: its incarnation is later than that of the orders. */
beforeEach(async () => {
  received = []
  bornAt = BORN_AT + 1
  isSilent = () => false
  closes = false
  server = createServer(async (request: IncomingMessage, response) => {
    const chunks: Buffer[] = []
    for await (const chunk of request) chunks.push(chunk as Buffer)
    received.push({ path: request.url ?? '', body: JSON.parse(Buffer.concat(chunks).toString()) })
    if (isSilent(request.url ?? '')) return
    if (closes) response.setHeader('connection', 'close')
    const lists = request.url === '/hold' ? { born: bornAt, running: [], finished: [[1, 'a.0.0.0', 1, 'done', '']] } : {}
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

// An order that waits behind one without an answer finds its connection lost. It would go out on a new one, to whichever incarnation answers there.
test('an order that waited on a lost connection is not sent on a new one before the incarnation is checked there', async () => {
  const clock = createSystemClock()
  const client = createWorkerClient({ clock, logger: createSilentLogger(), work: createNoopEventLoopMeter() })
  const incarnation = createIncarnation()
  bornAt = BORN_AT
  isSilent = (path) => path === '/run-start'
  const orders = Array.from({ length: WAITING_ORDERS }, (_, index) => client.start(incarnation, { task: `a.0.0.${index}`, attempt: 1, command: 'run', checkpoint: '', fence: 1, leaseUntil: 10_000, ticket: undefined }, clock.now() + (index < MAX_CONNECTIONS ? SHORT_DEADLINE_MS : DEADLINE_MS)))
  while (received.filter(({ path }) => path === '/run-start').length < MAX_CONNECTIONS) await clock.sleep(5)
  // The worker restarts; its old connections are silent.
  received = []
  bornAt = BORN_AT + 1
  isSilent = () => false
  const replies = await Promise.all(orders)
  await client.close()
  expect({ accepted: replies.filter(({ ok }) => ok).length, starts: received.filter(({ path }) => path === '/run-start').length }).toEqual({ accepted: 0, starts: 0 })
})

test('an order whose connection has ended since the check is not sent on a new one to a later incarnation', async () => {
  const clock = createSystemClock()
  const client = createWorkerClient({ clock, logger: createSilentLogger(), work: createNoopEventLoopMeter() })
  bornAt = BORN_AT
  closes = true
  const reply = await client.start(createIncarnation(), { task: 'a.0.0.0', attempt: 1, command: 'run', checkpoint: '', fence: 1, leaseUntil: 10_000, ticket: undefined }, clock.now() + DEADLINE_MS)
  await client.close()
  expect({ accepted: reply.ok, starts: received.filter(({ path }) => path === '/run-start').length }).toEqual({ accepted: false, starts: 0 })
})
