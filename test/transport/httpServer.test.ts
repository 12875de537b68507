import { connect } from 'node:net'
import { afterAll, beforeAll, expect, test } from 'vitest'
import { createSilentLogger } from '../../src/common/index.js'
import { findPorts, sendRequest } from '../../src/fakes/deployment.js'
import type { EntryHost } from '../../src/protocol/index.js'
import { openHttpServer, type HttpServer } from '../../src/transport/index.js'

const ARRIVAL_MS = 300
const bodies: number[] = []
let server: HttpServer
let port: number

// Only the methods that the requests of the test need; the controllers must call no others.
const entryHost = {
  identify: () => ({ role: 'member', member: 'm' }),
  isReady: () => true,
  now: () => 0,
  routeRequest: async ({ body }: { body: Buffer }) => {
    bodies.push(body.length)
    return { ok: true, val: { status: 200, headers: {}, body } }
  }
} as unknown as EntryHost

beforeAll(async () => {
  port = (await findPorts(1))[0]!
  server = await openHttpServer({ host: '127.0.0.1', port, entryHost, logger: createSilentLogger(), arrivalMs: ARRIVAL_MS })
})
afterAll(() => server.close())

/** Sends raw bytes and resolves with all bytes received until the connection closed. `end` closes the sending side. */
function sendRaw (text: string, end: boolean): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1')
    const chunks: Buffer[] = []
    socket.on('data', (chunk) => chunks.push(chunk))
    socket.on('error', () => {})
    socket.on('close', () => resolve(Buffer.concat(chunks).toString()))
    if (end) socket.end(text)
    else socket.write(text)
  })
}

const HEAD = 'POST /v1/services/s/requests/x HTTP/1.1\r\nhost: h\r\nauthorization: Bearer t\r\ncontent-length: 10\r\n\r\n'

test('slow, truncated and malformed input is answered with a typed error, is never passed on, and harms no other request', async () => {
  const [slow, truncated, malformed, overlong] = await Promise.all([
    sendRaw(`${HEAD}12345`, false),
    sendRaw(`${HEAD}12345`, true),
    sendRaw('not http at all\r\n\r\n', false),
    sendRaw(`GET /ready HTTP/1.1\r\nhost: h\r\nx: ${'y'.repeat(100_000)}\r\n\r\n`, false)
  ])
  const readKind = (answer: string): unknown => answer === '' ? 'closed' : /^HTTP\/1\.1 (\d+).*"kind":"([a-z-]+)"/s.exec(answer)?.slice(1)
  expect([slow, truncated, malformed, overlong].map(readKind)).toMatchSnapshot()
  expect(bodies).toEqual([])
  const answer = await sendRequest(`http://127.0.0.1:${port}`, 't', 'POST', '/v1/services/s/requests/x', '0123456789')
  expect([answer.status, answer.text, bodies]).toEqual([200, '0123456789', [10]])
})
