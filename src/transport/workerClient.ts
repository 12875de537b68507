import { Agent, request } from 'undici'
import { Err, Ok, type Clock, type NetworkFailure, type Result } from '../common/index.js'
import { exchangeReplySchema, type ExchangeReply, type ExchangeRequest, type WorkerClient } from '../coordination/tasks/index.js'

const CONNECT_TIMEOUT_MS = 500
const MAX_REPLY_BYTES = 4 * 1024 * 1024
/** Longer than the interval of exchanges, which is one second, so that each exchange finds the connection of the last one open. */
const KEEP_ALIVE_MS = 10_000

export interface HttpWorkerClient extends WorkerClient {
  close (): Promise<void>
}

/** Sends the periodic exchanges between entry host and workers over HTTP. */
export function createWorkerClient (clock: Clock): HttpWorkerClient {
  const agent = new Agent({
    connections: 2,
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: KEEP_ALIVE_MS,
    maxResponseSize: MAX_REPLY_BYTES
  })
  return {
    exchange: (url, body, deadline) => sendExchange(agent, url, body, Math.max(1, deadline - clock.now())),
    close: () => agent.destroy()
  }
}

async function sendExchange (agent: Agent, url: string, body: ExchangeRequest, timeoutMs: number): Promise<Result<ExchangeReply, NetworkFailure>> {
  try {
    const answer = await request(`${url}/v1/exchange`, {
      method: 'POST',
      dispatcher: agent,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      signal: AbortSignal.timeout(Math.ceil(timeoutMs))
    })
    const reply = await answer.body.json()
    const parsed = exchangeReplySchema.safeParse(reply)
    if (answer.statusCode === 200 && parsed.success) return Ok(parsed.data)
    return Err({ kind: 'remote-failure', to: url, message: `the worker answered ${answer.statusCode} with a reply that does not fit the schema` })
  } catch (error) {
    return Err(describeError(url, error))
  }
}

function describeError (url: string, error: unknown): NetworkFailure {
  const { name, code, message } = error as { name?: string, code?: string, message?: string }
  if (code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT') return { kind: 'unreachable', to: url, message: message ?? code }
  if (name === 'TimeoutError') return { kind: 'deadline-exceeded', to: url, message: 'the worker did not answer in time' }
  return { kind: 'remote-failure', to: url, message: message ?? 'the exchange failed' }
}
