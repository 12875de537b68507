import type { Server } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { createNoopMetrics, createSilentLogger, createSystemClock, type Metrics } from '../../src/common/index.js'
import { createGuardedServer } from '../../src/transport/guardedServer.js'
import { createRequestGuard, getReceivedBody } from '../../src/transport/requestGuard.js'

const HEAD = 'POST / HTTP/1.1\r\nhost: h\r\n'
const BODY_BYTES = 100_000
const closers: Array<() => unknown> = []
afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()))
})

interface Scene { port: number, passed: string[], answers: Array<() => void>, getBytes (): number }

/** Opens a server that answers with the length of the body, at once or when one of `answers` is called. */
async function openScene (answersAtOnce = true, maxConnections = 100): Promise<Scene> {
  const passed: string[] = []
  const answers: Array<() => void> = []
  let bytes = 0
  const metrics: Metrics = { ...createNoopMetrics(), gauge: (name, value) => { if (name === 'http.body-bytes') bytes = value } }
  const guard = createRequestGuard({ clock: createSystemClock(), logger: createSilentLogger(), metrics, bodyBytes: 400_000 })
  const limits = { maxHeaderBytes: 16_384, maxBodyBytes: BODY_BYTES, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
  const server: Server = createGuardedServer({ guard, name: 'test', maxConnections, getLimits: () => limits, describeRefusal: (reason) => ({ reason }) }, (message, reply) => {
    const text = getReceivedBody(message)?.readText() ?? ''
    passed.push(text)
    const answer = (): void => { reply.end(String(text.length)) }
    if (answersAtOnce) answer()
    else answers.push(answer)
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  closers.push(() => new Promise((resolve) => {
    server.close(resolve)
    server.closeAllConnections()
  }))
  return { port: (server.address() as AddressInfo).port, passed, answers, getBytes: () => bytes }
}

function open (port: number, text: string): { socket: Socket, received: Promise<string> } {
  const socket = connect(port, '127.0.0.1')
  closers.push(() => socket.destroy())
  socket.on('error', () => {})
  let answer = ''
  const received = new Promise<string>((resolve) => {
    socket.on('data', (data) => {
      answer += String(data)
      if (answer.includes('\r\n\r\n')) resolve(answer)
    })
    socket.on('close', () => resolve(answer))
  })
  socket.write(text)
  return { socket, received }
}

async function waitUntil (isTrue: () => boolean): Promise<void> {
  for (let tries = 0; tries < 200 && !isTrue(); tries++) await new Promise((resolve) => setTimeout(resolve, 25))
}

const getStatus = async (received: Promise<string>): Promise<number> => Number((await received).slice(9, 12))
const SMALL = `${HEAD}content-length: 2\r\n\r\n{}`

// Ordinary callers must get through while stopped bodies hold the budget, and what is refused must never run.
test('stopped bodies are dropped for an ordinary request, and none of them is passed on', async () => {
  const scene = await openScene()
  const stopped = Array.from({ length: 12 }, () => open(scene.port, `${HEAD}content-length: ${BODY_BYTES}\r\n\r\n${'x'.repeat(BODY_BYTES - 10)}`))
  await waitUntil(() => scene.getBytes() > 200_000)
  expect(await getStatus(open(scene.port, SMALL).received)).toBe(200)
  expect(scene.passed).toEqual(['{}'])
  const refused = stopped.filter(({ socket }) => socket.destroyed || socket.bytesRead > 0)
  expect(refused.length).toBeGreaterThan(0)
})

test('a body in chunks of one byte arrives intact, and one of more than the limit is refused', async () => {
  const scene = await openScene()
  const encode = (bytes: number): string => `${HEAD}transfer-encoding: chunked\r\n\r\n${Array.from({ length: bytes }, (_, index) => `1\r\n${index % 10}\r\n`).join('')}0\r\n\r\n`
  expect(await getStatus(open(scene.port, encode(20_000)).received)).toBe(200)
  expect(scene.passed).toEqual(['0123456789'.repeat(2000)])
  await open(scene.port, encode(BODY_BYTES + 1)).received
  expect(scene.passed.length).toBe(1)
})

// A client that sends requests and disconnects would otherwise hold the memory of requests that wait for the leader, uncharged.
test('a request stays charged after its client has gone, until it has been handled', async () => {
  const scene = await openScene(false)
  const { socket } = open(scene.port, SMALL)
  await waitUntil(() => scene.answers.length > 0)
  socket.destroy()
  await new Promise((resolve) => setTimeout(resolve, 600))
  expect(scene.getBytes()).toBeGreaterThan(0)
  scene.answers.forEach((answer) => answer())
  await waitUntil(() => scene.getBytes() === 0)
  expect(scene.getBytes()).toBe(0)
})

// Replies that wait for earlier ones on their connection are not told that it has closed; their requests stayed charged for ever.
test('many requests at once on one connection close it, and leave nothing charged once they have been handled', async () => {
  const scene = await openScene(false)
  await open(scene.port, 'GET / HTTP/1.1\r\nhost: h\r\n\r\n'.repeat(500)).received
  expect(scene.passed.length).toBeLessThanOrEqual(16)
  scene.answers.forEach((answer) => answer())
  await waitUntil(() => scene.getBytes() === 0)
  expect(scene.getBytes()).toBe(0)
})

// Stopped bodies would otherwise hold all connections of the address.
test('with all connections in use by stopped bodies, an ordinary caller gets one after the grace time', async () => {
  const scene = await openScene(true, 5)
  Array.from({ length: 5 }, () => open(scene.port, `${HEAD}content-length: 10\r\n\r\n{`))
  await new Promise((resolve) => setTimeout(resolve, 2500))
  expect(await getStatus(open(scene.port, SMALL).received)).toBe(200)
})
