import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { EXECUTOR_HEADERS, LIVENESS_PATH } from '../coordination/routing/index.js'
import { createFakeExecutor, type FakeExecutor, type FakeExecutorOptions } from './executor.js'

const KEEP_ALIVE_MS = 30_000

export interface HttpExecutor {
  executor: FakeExecutor
  close (): Promise<void>
}

/** Opens a fake executor that serves HTTP on loopback. */
export async function openHttpExecutor (options: FakeExecutorOptions): Promise<HttpExecutor> {
  const sockets = new Map<Socket, string | undefined>()
  const server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS, noDelay: true }, (request, response) => {
    handleRequest(executor, sockets, request, response, options)
  })
  server.on('connection', (socket) => {
    sockets.set(socket, undefined)
    socket.on('close', () => {
      const holder = sockets.get(socket)
      sockets.delete(socket)
      if (holder !== undefined) executor.setConnections(holder, -1)
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  const executor = createFakeExecutor({ ...options, url: `http://127.0.0.1:${port}` })
  return {
    executor,
    close: () => new Promise((resolve) => {
      server.close(() => resolve())
      sockets.forEach((_, socket) => socket.destroy())
    })
  }
}

async function handleRequest (
  executor: FakeExecutor, sockets: Map<Socket, string | undefined>, request: IncomingMessage, response: ServerResponse, options: FakeExecutorOptions
): Promise<void> {
  const headers = Object.fromEntries(Object.entries(request.headers).map(([name, value]) => [name, String(value)]))
  const holder = headers[EXECUTOR_HEADERS.holder] ?? ''
  // The first request of a connection tells which lease holder it belongs to.
  if (sockets.has(request.socket) && sockets.get(request.socket) === undefined) {
    sockets.set(request.socket, holder)
    executor.setConnections(holder, 1)
  }
  if (request.url === LIVENESS_PATH) {
    response.writeHead(200, { 'content-length': '2' }).end('ok')
    return
  }
  if (executor.behaviour.mode === 'swallowing') return
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  const body = Buffer.concat(chunks)
  const { progressMs = 0 } = options
  const timer = progressMs > 0 ? setInterval(() => response.writeProcessing(), progressMs) : undefined
  const work = { id: headers[EXECUTOR_HEADERS.request] ?? '', method: request.method ?? 'GET', path: request.url ?? '/', headers, body }
  const answer = await executor.run(work, holder)
  clearInterval(timer)
  if (answer === undefined) {
    request.socket.destroy()
    return
  }
  response.writeHead(answer.status, answer.headers).end(answer.body)
}
