import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock, Logger, Metrics } from '../common/index.js'
import { createBodyBudget, type HeldBody } from './bodyBudget.js'
import { createBodyReader, createSegmentPool, type BodyFailure, type BodyReader, type ReceivedBody } from './bodyReader.js'
import { createRefusalRecorder, type RefusalRecorder } from './refusals.js'

/** Charge of a request besides its body: header, request and reply objects. */
const REQUEST_BYTES = 16 * 1024
const RETRY_AFTER_S = 1
/** A connection is closed at the latest this long after a refusal on it, if the client does not take the answer. */
const LINGER_MS = 200
/** A request whose connection has closed stays charged until it has been handled, but at most this long. */
const MAX_ABANDONED_MS = 60_000
/** Largest share of the budget that the decoded form of one request is charged, so that a single request is always served. */
const MAX_DECODED_SHARE = 1 / 2

/** Refusals that are answered. Such a request was not passed on, so a 503 is true. */
export type AnsweredRefusal = 'budget' | 'slow' | 'too-large'
const STATUSES: Record<AnsweredRefusal, number> = { budget: 503, slow: 408, 'too-large': 413 }

/** A request that is held: it arrives, or is being handled. */
interface HeldRequest {
  held: HeldBody
  message: IncomingMessage
  reply: ServerResponse
  reader: BodyReader | undefined
  /** Content of the body of a refusal, which differs between servers. */
  describeRefusal (reason: AnsweredRefusal): object
  /** Steady-clock time at which the connection closed although the request was still being handled. */
  abandonedAt: number | undefined
}

const HELD_REQUEST = Symbol('heldRequest')
const RECEIVED_BODY = Symbol('receivedBody')
type GuardedMessage = IncomingMessage & { [HELD_REQUEST]?: { charge (bytes: number): boolean }, [RECEIVED_BODY]?: ReceivedBody }

/** The received body of a request that a guarded server has passed on; undefined if it has none. */
export function getReceivedBody (message: IncomingMessage): ReceivedBody | undefined {
  return (message as GuardedMessage)[RECEIVED_BODY]
}

/** Charges what a request needs besides its body, such as its decoded form. False: the request has to be refused. */
export function claimRequestBytes (message: IncomingMessage, bytes: number): boolean {
  return (message as GuardedMessage)[HELD_REQUEST]?.charge(bytes) ?? true
}

export interface AdmitOptions {
  maxBodyBytes: number
  describeRefusal (reason: AnsweredRefusal): object
}

export interface AdmittedRequest { readonly held: HeldBody, handleClose (): void }

/** Accounts for all requests of a process. Load: every listening address of it. */
export interface RequestGuard extends RefusalRecorder {
  readonly clock: Clock
  /**
   * Reads the body, and calls `pass` once the request has arrived whole; otherwise refuses it. `handleClose` of the returned request is
   * to be called when the connection has closed, because a reply that waits for earlier ones on its connection is not told.
   */
  admit (message: IncomingMessage, reply: ServerResponse, options: AdmitOptions, pass: () => void): AdmittedRequest
  /** Refuses the requests that arrive too slowly, and reports the bytes in use. To be called several times a second. */
  checkRequests (): void
  recordConnections (server: string, connections: number): void
}

export interface RequestGuardOptions { clock: Clock, logger: Logger, metrics: Metrics, bodyBytes: number }

export function createRequestGuard ({ clock, logger, metrics, bodyBytes }: RequestGuardOptions): RequestGuard {
  const budget = createBodyBudget(bodyBytes)
  const pool = createSegmentPool()
  const requests = new Map<HeldBody, HeldRequest>()
  const { recordRefusal } = createRefusalRecorder({ clock, logger, metrics })

  const release = (request: HeldRequest): void => {
    request.reader?.stop()
    budget.release(request.held)
    requests.delete(request.held)
  }

  const refuse = (request: HeldRequest, reason: AnsweredRefusal): void => {
    const { message, reply, describeRefusal } = request
    release(request)
    recordRefusal(reason)
    const { socket } = message
    socket.pause()
    setTimeout(() => socket.destroy(), LINGER_MS)
    if (reply.headersSent) return
    const text = JSON.stringify(describeRefusal(reason))
    reply.writeHead(STATUSES[reason], { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), connection: 'close', ...(reason === 'budget' ? { 'retry-after': String(RETRY_AFTER_S) } : {}) })
    reply.end(text)
  }

  const drop = (bodies: HeldBody[], reason: AnsweredRefusal): void => bodies.forEach((body) => {
    const request = requests.get(body)
    if (request !== undefined) refuse(request, reason)
  })

  const charge = (request: HeldRequest, bytes: number): boolean => {
    const dropped = budget.charge(request.held, bytes, clock.now())
    drop(dropped.filter((body) => body !== request.held), 'budget')
    return !dropped.includes(request.held)
  }

  /** Releases a request when it has been answered. One whose connection closed before stays charged while it is being handled. */
  const observeEnd = (request: HeldRequest): () => void => {
    const { reply } = request
    const handleClose = (): void => {
      if (reply.writableEnded || !request.held.isComplete) release(request)
      else request.abandonedAt ??= clock.now()
    }
    reply.once('close', handleClose)
    const end = reply.end.bind(reply) as (...parts: unknown[]) => ServerResponse
    reply.end = (...parts: unknown[]) => {
      if (request.abandonedAt !== undefined) release(request)
      return end(...parts)
    }
    return handleClose
  }

  const admit: RequestGuard['admit'] = (message, reply, options, pass) => {
    const request: HeldRequest = { held: budget.open(clock.now()), message, reply, reader: undefined, describeRefusal: options.describeRefusal, abandonedAt: undefined }
    requests.set(request.held, request)
    const handleClose = observeEnd(request)
    receive(request, options, pass)
    return { held: request.held, handleClose }
  }

  const receive = (request: HeldRequest, { maxBodyBytes }: AdmitOptions, pass: () => void): void => {
    const { message } = request
    if (!charge(request, REQUEST_BYTES)) return refuse(request, 'budget')
    const guarded = message as GuardedMessage
    guarded[HELD_REQUEST] = { charge: (bytes) => charge(request, Math.min(bytes, bodyBytes * MAX_DECODED_SHARE)) }
    const finish = (): void => {
      budget.confirmComplete(request.held)
      pass()
    }
    const announced = Number(message.headers['content-length'] ?? 0)
    if (announced > maxBodyBytes) return refuse(request, 'too-large')
    if (announced === 0 && message.headers['transfer-encoding'] === undefined) return finish()
    const dropBodies = (bodies: HeldBody[]): void => drop(bodies, 'budget')
    request.reader = createBodyReader(message, { budget, pool, held: request.held, maxBodyBytes, now: () => clock.now(), drop: dropBodies })
    request.reader.start((result: ReceivedBody | BodyFailure) => {
      if (typeof result === 'object') {
        guarded[RECEIVED_BODY] = result
        finish()
      } else if (result === 'too-large') refuse(request, 'too-large')
      else release(request)
    })
  }

  return {
    clock,
    admit,
    checkRequests: () => {
      const now = clock.now()
      drop(budget.listSlow(now), 'slow')
      const abandoned = [...requests.values()].filter(({ abandonedAt }) => abandonedAt !== undefined && now - abandonedAt > MAX_ABANDONED_MS)
      abandoned.forEach(release)
      metrics.gauge('http.body-bytes', budget.getBytes())
    },
    recordRefusal,
    recordConnections: (server, connections) => metrics.gauge('http.connections', connections, { server })
  }
}
