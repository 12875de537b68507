import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { createSystemClock } from '../../src/common/index.js'
import { EXECUTOR_HEADERS, type ExecutorConnection, type ExecutorRequest } from '../../src/coordination/routing/index.js'
import { openHttpExecutor } from '../../src/fakes/httpExecutor.js'
import { createExecutorClient } from '../../src/transport/executorClient.js'

const closers: Array<() => void> = []
afterEach(() => closers.splice(0).forEach((close) => close()))

const REQUEST: ExecutorRequest = { id: 'a/1', method: 'POST', path: '/quote', headers: { [EXECUTOR_HEADERS.request]: 'a/1' }, body: Buffer.from('beads') }

/** Opens a connection to a TCP server on which `reply` writes raw bytes for each request, numbered from 0. */
async function openRaw (reply: (socket: Socket, request: number) => void): Promise<ExecutorConnection> {
  let requests = 0
  const server: Server = createServer((socket) => {
    socket.on('error', () => {})
    socket.on('data', () => reply(socket, requests++))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const opened = await createExecutorClient().open(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, 'h/1')
  if (!opened.ok) throw new Error(opened.val.message)
  closers.push(() => { opened.val.close(); server.close() })
  return opened.val
}

async function sendTo (reply: (socket: Socket) => void): Promise<unknown> {
  const connection = await openRaw(reply)
  return (await connection.send(REQUEST, () => {})).val
}

test('a whole answer is returned with its headers', async () => {
  const { executor, close } = await openHttpExecutor({ clock: createSystemClock(), id: 'e', service: 's', availabilityZone: 'z', serviceMs: 1 })
  closers.push(() => { close() })
  const opened = await createExecutorClient().open(executor.url, 'h/1')
  if (!opened.ok) throw new Error(opened.val.message)
  closers.push(opened.val.close)
  expect((await opened.val.check()).ok).toBe(true)
  const result = await opened.val.send(REQUEST, () => {})
  expect(result.val).toMatchObject({ status: 200, headers: { [EXECUTOR_HEADERS.request]: 'a/1' }, body: Buffer.from(' beads') })
  expect(executor.createAnnouncement().openConnections).toEqual({ 'h/1': 1 })
})

test('a body that is shorter than its length is truncated, not a short success', async () => {
  expect(await sendTo((socket) => socket.end('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc'))).toMatchObject({ kind: 'truncated' })
})

test('a chunked body without its last chunk is truncated', async () => {
  expect(await sendTo((socket) => socket.end('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n'))).toMatchObject({ kind: 'truncated' })
})

test('a body that ends with the connection is truncated, because its end cannot be checked', async () => {
  expect(await sendTo((socket) => socket.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nabc'))).toMatchObject({ kind: 'truncated' })
})

test('a reset before the answer is "connection-lost", because the request may have run', async () => {
  expect(await sendTo((socket) => socket.resetAndDestroy())).toMatchObject({ kind: 'connection-lost' })
})

test('a reset within the body is truncated', async () => {
  const reply = (socket: Socket): void => { socket.write('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc', () => setTimeout(() => socket.resetAndDestroy(), 20)) }
  expect(await sendTo(reply)).toMatchObject({ kind: 'truncated' })
})

test('a refused connect is "not-sent"', async () => {
  const server = createServer()
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  await new Promise((resolve) => server.close(resolve))
  expect((await createExecutorClient().open(`http://127.0.0.1:${port}`, 'h/1')).val).toMatchObject({ kind: 'not-sent' })
})

test('a silent socket ends when the caller closes it, and the connection is never reopened', async () => {
  const connection = await openRaw(() => {})
  const sending = connection.send(REQUEST, () => {})
  setTimeout(connection.close, 50)
  expect((await sending).val).toMatchObject({ kind: 'connection-lost' })
  expect(connection.isOpen()).toBe(false)
  expect((await connection.send(REQUEST, () => {})).val).toMatchObject({ kind: 'not-sent' })
})

test('interim responses and slow headers count as progress, not as answers', async () => {
  let signs = 0
  const connection = await openRaw((socket) => {
    socket.write('HTTP/1.1 102 Processing\r\n\r\n')
    setTimeout(() => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n'), 30)
    setTimeout(() => socket.write('\r\nok'), 60)
  })
  const result = await connection.send(REQUEST, () => { signs++ })
  expect(result.val).toMatchObject({ status: 200, body: Buffer.from('ok') })
  expect(signs).toBeGreaterThanOrEqual(2)
})

test('an answer that is sent twice is not taken for the answer to the next request, because its id differs', async () => {
  const answer = `HTTP/1.1 200 OK\r\n${EXECUTOR_HEADERS.request}: a/1\r\ncontent-length: 2\r\n\r\nok`
  const connection = await openRaw((socket, request) => { if (request === 0) socket.write(answer + answer) })
  expect((await connection.send(REQUEST, () => {})).val).toMatchObject({ status: 200 })
  const second = await Promise.race([
    connection.send({ ...REQUEST, id: 'a/2' }, () => {}),
    new Promise<undefined>((resolve) => setTimeout(() => resolve(undefined), 200))
  ])
  const isOwnAnswer = second?.ok === true && second.val.headers[EXECUTOR_HEADERS.request] === 'a/2'
  expect(isOwnAnswer).toBe(false)
})
