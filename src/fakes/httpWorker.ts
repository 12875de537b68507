import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { exchangeRequestSchema } from '../coordination/tasks/index.js'
import { createWorkerCore, type WorkerCore, type WorkerCoreOptions } from './worker.js'

export interface HttpWorker {
  core: WorkerCore
  url: string
  /** Bytes of the bodies of exchanges received and sent since the start. */
  getTraffic (): { received: number, sent: number }
  close (): Promise<void>
}

/** Opens a fake worker that serves the exchange with its coordinator over HTTP on loopback. */
export async function openHttpWorker (options: WorkerCoreOptions): Promise<HttpWorker> {
  const core = createWorkerCore(options)
  const traffic = { received: 0, sent: 0 }
  const server = createServer({ keepAliveTimeout: 30_000 }, (request, response) => { handleExchange(core, traffic, request, response) })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return {
    core,
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    getTraffic: () => ({ ...traffic }),
    close: () => new Promise((resolve) => {
      server.close(() => resolve())
      server.closeAllConnections()
    })
  }
}

async function handleExchange (core: WorkerCore, traffic: { received: number, sent: number }, request: IncomingMessage, response: ServerResponse): Promise<void> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  const body = Buffer.concat(chunks)
  traffic.received += body.length
  if (!core.isUp()) {
    request.socket.destroy()
    return
  }
  const parsed = exchangeRequestSchema.safeParse(JSON.parse(body.toString('utf8')))
  const reply = JSON.stringify(parsed.success ? core.handle(parsed.data) : { error: parsed.error.issues })
  traffic.sent += reply.length
  response.writeHead(parsed.success ? 200 : 400, { 'content-type': 'application/json' }).end(reply)
}
