import { connect, type Socket } from 'node:net'
import { Client, type Dispatcher } from 'undici'
import { Err, Ok, type Result } from '../common/index.js'
import {
  EXECUTOR_HEADERS, LIVENESS_PATH, type Answer, type ExecutorClient, type ExecutorConnection, type ExecutorFailure, type ExecutorRequest
} from '../coordination/routing/index.js'

const MAX_ANSWER_BYTES = 16 * 1024 * 1024
const CONNECT_TIMEOUT_MS = 1000
/** Statuses whose responses never have a body. */
const BODILESS_STATUSES = new Set([204, 304])

export interface ExecutorClientOptions {
  /** Size limit of an answer's body; a longer one fails as `truncated`. */
  maxAnswerBytes?: number
}

/**
 * Opens connections to executors over HTTP/1.1. Each connection has an HTTP client of its own that never reconnects, so that
 * the connection pool can count and close connections one by one. Requests have no time limit here; the caller closes the
 * connection when its own limit has passed.
 */
export function createExecutorClient ({ maxAnswerBytes = MAX_ANSWER_BYTES }: ExecutorClientOptions = {}): ExecutorClient {
  return {
    open: async (url, holder) => {
      const opened = await openSocket(url)
      return opened.ok ? Ok(createConnection(url, holder, opened.val, maxAnswerBytes)) : opened
    }
  }
}

function openSocket (url: string): Promise<Result<Socket, ExecutorFailure>> {
  return new Promise((resolve) => {
    const { hostname, port } = new URL(url)
    const socket = connect({ host: hostname, port: Number(port), noDelay: true })
    const reject = (error: Error): void => resolve(Err({ kind: 'not-sent', message: error.message }))
    socket.once('error', reject)
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => socket.destroy(new Error('no reply to the connect')))
    socket.once('connect', () => {
      socket.setTimeout(0)
      socket.off('error', reject)
      // Later errors of the socket are reported as the failure of the request that they interrupt.
      socket.on('error', () => {})
      resolve(Ok(socket))
    })
  })
}

function createConnection (url: string, holder: string, socket: Socket, maxAnswerBytes: number): ExecutorConnection {
  let isUsed = false
  const client = new Client(url, {
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    // The connection pool closes idle connections itself, well before this time.
    keepAliveTimeout: 600_000,
    keepAliveMaxTimeout: 600_000,
    maxResponseSize: maxAnswerBytes,
    connect: (_, callback) => {
      const isEnded = isUsed || socket.destroyed
      isUsed = true
      // Called in a microtask, because the client accepts the socket only after this function has returned.
      queueMicrotask(() => isEnded ? callback(new Error('the connection has ended'), null) : callback(null, socket))
    }
  })

  const close = (): void => {
    // A TCP reset drops unsent bytes, so that no part of an abandoned request reaches the executor later.
    socket.resetAndDestroy()
    client.destroy(null)
  }

  return {
    check: async () => {
      const headers = { [EXECUTOR_HEADERS.holder]: holder }
      const result = await sendRequest(client, { id: '', method: 'GET', path: LIVENESS_PATH, headers, body: Buffer.alloc(0) }, () => {})
      if (!result.ok) return result
      return result.val.status < 300 ? Ok(undefined) : Err({ kind: 'connection-lost', message: `liveness status ${result.val.status}` })
    },
    send: (request, onProgress) => sendRequest(client, request, onProgress),
    isOpen: () => !socket.destroyed && !client.destroyed,
    close
  }
}

/** What has been sent and received of one request. `status` is 0 until a final response starts. */
interface ExchangeState {
  isSent: boolean
  status: number
  headers: Record<string, string>
  chunks: Buffer[]
}

function sendRequest (client: Client, request: ExecutorRequest, onProgress: () => void): Promise<Result<Answer, ExecutorFailure>> {
  const exchange: ExchangeState = { isSent: false, status: 0, headers: {}, chunks: [] }
  return new Promise((resolve) => {
    const handler: Dispatcher.DispatchHandler = {
      onRequestStart: () => { exchange.isSent = true },
      onResponseStart: (_, status, headers) => {
        onProgress()
        // An interim response, such as 102, only shows that the executor is working.
        if (status < 200) return
        exchange.status = status
        exchange.headers = parseHeaders(headers)
      },
      onResponseData: (_, chunk) => {
        onProgress()
        exchange.chunks.push(chunk)
      },
      onResponseEnd: () => resolve(checkAnswer(exchange, request.method)),
      onResponseError: (_, error) => resolve(Err(describeError(exchange, error)))
    }
    const hasBody = request.body.length > 0
    client.dispatch({
      path: request.path,
      method: request.method as Dispatcher.HttpMethod,
      headers: request.headers,
      body: hasBody ? request.body : null
    }, handler)
  })
}

function parseHeaders (headers: Record<string, string | string[] | undefined>): Record<string, string> {
  return Object.fromEntries(Object.entries(headers)
    .flatMap(([name, value]) => value === undefined ? [] : [[name, Array.isArray(value) ? value.join(', ') : value]]))
}

/**
 * Checks that the answer is complete. An answer that has neither a length nor chunked encoding ends when the connection
 * closes, so a truncated one cannot be told from a complete one; it is refused.
 */
function checkAnswer (exchange: ExchangeState, method: string): Result<Answer, ExecutorFailure> {
  const { status, headers, chunks } = exchange
  const body = Buffer.concat(chunks)
  const length = headers['content-length']
  const mayHaveBody = method !== 'HEAD' && !BODILESS_STATUSES.has(status)
  const isDelimited = length !== undefined || /\bchunked$/i.test(headers['transfer-encoding'] ?? '')
  if (mayHaveBody && !isDelimited) return Err({ kind: 'truncated', message: 'the end of the answer cannot be checked' })
  if (mayHaveBody && length !== undefined && Number(length) !== body.length) {
    return Err({ kind: 'truncated', message: `${body.length} of ${length} bytes` })
  }
  return Ok({ status, headers, body })
}

function describeError (exchange: ExchangeState, error: Error): ExecutorFailure {
  if (!exchange.isSent) return { kind: 'not-sent', message: error.message }
  return { kind: exchange.status === 0 ? 'connection-lost' : 'truncated', message: error.message }
}
