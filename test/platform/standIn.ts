import { createServer, type Server } from 'node:http'
import { request } from 'undici'

/** A simulated worker that speaks the platform's published worker protocol. */
export interface StandInWorker { id: string, address: string, born: number, started: string[], close (): Promise<void> }

interface OrderBody { task: string, attempt: number, fencingToken?: number, ackCursor?: number, waitMs?: number }

interface RunningTask { attempt: number, endsAt: number }

export async function openStandInWorker (id: string, host: string, runMs: number): Promise<StandInWorker> {
  const running = new Map<string, RunningTask>()
  const started: string[] = []
  const born = Date.now()
  let finished: Array<[number, string, number, string, string]> = []
  let lastEnd = 0
  let fence = 0

  const collectEnds = (): void => running.forEach((run, task) => {
    if (run.endsAt > performance.now()) return
    running.delete(task)
    lastEnd += 1
    finished.push([lastEnd, task, run.attempt, 'done', ''])
  })

  const handlers: Record<string, (body: OrderBody) => Promise<[number, object]>> = {
    '/run-start': async ({ task, attempt }) => {
      if (!running.has(task)) {
        running.set(task, { attempt, endsAt: performance.now() + runMs })
        started.push(task)
      }
      return [200, {}]
    },
    '/run-stop': async ({ task }) => {
      running.delete(task)
      return [200, {}]
    },
    '/hold': async ({ ackCursor, waitMs }) => {
      finished = finished.filter(([number]) => number > (ackCursor ?? 0))
      const until = performance.now() + (waitMs ?? 0)
      collectEnds()
      while (finished.length === 0 && performance.now() < until) {
        await new Promise((resolve) => setTimeout(resolve, 10))
        collectEnds()
      }
      return [200, { running: [...running].map(([task, { attempt }]) => [task, attempt, '', 50, 1000]), finished }]
    }
  }

  const server = createServer(async (incoming, answer) => {
    const chunks: Buffer[] = []
    for await (const chunk of incoming) chunks.push(chunk as Buffer)
    const body = JSON.parse(Buffer.concat(chunks).toString() || '{}') as OrderBody
    const isFenced = (body.fencingToken ?? 0) < fence
    fence = Math.max(fence, body.fencingToken ?? 0)
    const isOther = incoming.headers['x-sequoiadrift-expect-instance'] !== id
    const [status, content] = isOther ? [421, {}] : isFenced ? [409, { reason: 'fence' }] : await handlers[incoming.url ?? '']?.(body) ?? [404, {}]
    answer.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify({ clockMs: Math.floor(performance.now()), born, ...content }))
  })
  await new Promise<void>((resolve) => server.listen(0, host, resolve))
  const address = `${host}:${(server.address() as { port: number }).port}`
  return { id, address, born, started, close: () => closeServer(server) }
}

export async function sendHeartbeat (control: string, worker: StandInWorker, service: string): Promise<number> {
  return post(`http://${control}/instances/${worker.id}/heartbeat`, {
    service, address: worker.address, zone: 'a', version: 'v1', slots: 8, state: 'ready', coldRemainingMs: 0, born: worker.born, seq: 1, capacity: { cpu: 16000, memMb: 32768, gpu: 0 }, labels: ['a', 'r1']
  })
}

export function post (url: string, body: object, headers: Record<string, string> = {}): Promise<number> {
  return postText(url, JSON.stringify(body), headers)
}

export async function postText (url: string, body: string, headers: Record<string, string> = {}): Promise<number> {
  const reply = await request(url, { method: 'POST', headers: { 'content-type': 'application/json', ...headers }, body, signal: AbortSignal.timeout(5000) })
  await reply.body.dump()
  return reply.statusCode
}

export async function get (url: string, headers: Record<string, string> = {}): Promise<{ status: number, text: string }> {
  const reply = await request(url, { headers, signal: AbortSignal.timeout(5000) })
  return { status: reply.statusCode, text: await reply.body.text() }
}

function closeServer (server: Server): Promise<void> {
  server.closeAllConnections()
  return new Promise((resolve) => server.close(() => resolve()))
}
