import { WebSocketServer, type WebSocket } from 'ws'
import { createServer, type IncomingMessage, type Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { describeError, Err, type Clock, type Logger, type Metrics, type Network, type RequestHandler, type EventLoopMeter } from '../common/index.js'
import { decodeEnvelope, encodeEnvelope, MAX_MESSAGE_BYTES, type Envelope } from '../protocol/index.js'
import { createCredentialVerifier, type PeerCredential } from './peerAuth.js'
import { findConnectionToClose, type ConnectionView } from './connectionLimit.js'
import { throttleConnections } from './guardedServer.js'
import { createPeerLink, type PeerLink } from './peerLink.js'
import { createRefusalRecorder } from './refusals.js'
import { createTrafficCounter, type TrafficCounter, type TrafficView } from './traffic.js'

/** Time in which a peer must send the whole request that opens a link. */
const HANDSHAKE_TIMEOUT_MS = 5000
const CHECK_INTERVAL_MS = 1000
/** Connections of other hosts, if the process states no other limit. Each host opens one. */
const DEFAULT_MAX_CONNECTIONS = 512

export interface PeerNetworkOptions {
  self: string
  listenHost: string
  listenPort: number
  secret: string
  clock: Clock
  logger: Logger
  metrics: Metrics
  work: EventLoopMeter
  /** The most connections that other hosts may open to this one. */
  maxConnections?: number
  /** With more unsent bytes than this on a link, its peer is taken not to read, and requests fail at once. */
  maxUnsentBytes?: number
  /** Returns the `ip:port` of a host, or undefined for an unknown host. */
  findAddress (host: string): string | undefined
}

export interface PeerNetwork extends Network {
  /** The port on which the server listens; differs from `listenPort` if that is 0. */
  getPort (): number
  getTraffic (): TrafficView
  close (): Promise<void>
}

/**
 * Opens the network between entry hosts: listens for peers, and connects to a peer on the first request to it. A request and
 * its reply use the connection that the requesting host opened, so two hosts may share two connections.
 */
export async function openPeerNetwork (options: PeerNetworkOptions): Promise<PeerNetwork> {
  const handlers = new Map<string, RequestHandler>()
  const links = new Map<string, PeerLink>()
  const traffic = createTrafficCounter()
  const server = await openServer(options)
  server.on('connection', (socket, request) => handleConnection(options, handlers, traffic, socket, request))

  const getLink = (to: string): PeerLink => {
    const existing = links.get(to)
    if (existing !== undefined) return existing
    const link = createPeerLink(options, to, traffic)
    links.set(to, link)
    return link
  }

  return {
    self: options.self,
    // Callers count requests in flight, so an unexpected error has to reach them as a failure. Bytes may have been sent.
    request: (to, kind, body, deadline) => getLink(to).request(kind, body, deadline).catch((error: unknown) => {
      options.logger.error('peer-request-failed', { peer: to, kind, error: describeError(error) })
      return Err({ kind: 'remote-failure', to, message: 'an unexpected error' })
    }),
    handle: (kind, handler) => { handlers.set(kind, handler) },
    getPort: () => (server.address() as AddressInfo).port,
    getTraffic: traffic.getView,
    close: async () => {
      await Promise.all([...links.values()].map((link) => link.close()))
      server.clients.forEach((socket) => socket.terminate())
      server.close()
      await closeServer(server.options.server as Server)
    }
  }
}

function openServer (options: PeerNetworkOptions): Promise<WebSocketServer> {
  const verifier = createCredentialVerifier(options.secret, options.self)
  return new Promise((resolve, reject) => {
    const http = createLinkServer(options)
    const server = new WebSocketServer({
      server: http,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
      verifyClient: ({ req }: { req: IncomingMessage }) => verifier.accept(readCredential(req), options.clock.wall())
    })
    server.once('listening', () => resolve(server))
    server.once('error', reject)
    http.listen(options.listenPort, options.listenHost)
  })
}

/** Creates the HTTP server that links are opened on. Of too many connections, those that have not become links are closed first. */
function createLinkServer (options: PeerNetworkOptions): Server {
  const { clock, maxConnections = DEFAULT_MAX_CONNECTIONS } = options
  const { recordRefusal } = createRefusalRecorder(options)
  const timeouts = { headerTimeoutMs: HANDSHAKE_TIMEOUT_MS, idleTimeoutMs: HANDSHAKE_TIMEOUT_MS }
  const connections = new Map<Socket, ConnectionView & { socket: Socket }>()
  const server = createServer({ headersTimeout: HANDSHAKE_TIMEOUT_MS, requestTimeout: HANDSHAKE_TIMEOUT_MS, connectionsCheckingInterval: CHECK_INTERVAL_MS }, (request, reply) => {
    reply.writeHead(426, { connection: 'close' }).end()
    request.socket.destroySoon()
  })
  server.on('upgrade', ({ socket }) => {
    const connection = connections.get(socket)
    if (connection !== undefined) connection.phase = 'busy'
  })
  const admit = (socket: Socket): boolean => {
    if (connections.size >= maxConnections) {
      const replaced = findConnectionToClose([...connections.values()], timeouts, clock.now())
      if (replaced === undefined) return false
      replaced.socket.destroy()
      connections.delete(replaced.socket)
    }
    connections.set(socket, { socket, phase: 'header', since: clock.now() })
    socket.once('close', () => connections.delete(socket))
    return true
  }
  throttleConnections(server, (socket) => {
    const isAdmitted = admit(socket)
    if (!isAdmitted) recordRefusal('peer-connections')
    return isAdmitted
  })
  return server
}

function closeServer (server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve())
    server.closeAllConnections()
  })
}

function readCredential (request: IncomingMessage): PeerCredential {
  const read = (name: string): string => String(request.headers[`sequoiadrift-${name}`] ?? '')
  return { host: read('host'), to: read('to'), nonce: read('nonce'), signedAt: read('signed-at'), signature: read('signature') }
}

function handleConnection (options: PeerNetworkOptions, handlers: Map<string, RequestHandler>, traffic: TrafficCounter, socket: WebSocket, request: IncomingMessage): void {
  const from = readCredential(request).host
  const logger = options.logger.child({ peer: from })
  logger.info('peer-connected')
  socket.on('error', (error) => logger.warn('peer-connection-failed', { error: error.message }))
  socket.on('close', () => logger.info('peer-disconnected'))
  const receive = (data: Buffer): void => {
    const envelope = options.work.measure('peer.decode', () => decodeEnvelope(data))
    if (!envelope.ok || envelope.val.type !== 'request') {
      logger.warn('peer-message-malformed', { bytes: data.length })
      socket.terminate()
      return
    }
    const { id, kind, body } = envelope.val
    traffic.recordReceived(kind, data.length)
    options.work.measure(kind, () => handleRequest(handlers, from, kind, body)).then(
      (reply) => options.work.measure('peer.send', () => sendReply(socket, traffic, kind, { type: 'reply', id, body: reply })),
      (error: unknown) => {
        const message = error instanceof Error ? error.message : 'handler failed'
        logger.warn('peer-request-failed', { kind, error: message })
        sendReply(socket, traffic, kind, { type: 'failure', id, message })
      }
    )
  }
  socket.on('message', receive)
}

async function handleRequest (handlers: Map<string, RequestHandler>, from: string, kind: string, body: unknown): Promise<unknown> {
  const handler = handlers.get(kind)
  if (handler === undefined) throw new Error(`no handler for message kind "${kind}"`)
  return await handler(from, body)
}

function sendReply (socket: WebSocket, traffic: TrafficCounter, kind: string, envelope: Envelope): void {
  if (socket.readyState !== socket.OPEN) return
  const data = encodeEnvelope(envelope)
  traffic.recordSent(kind, data.length)
  socket.send(data)
}
