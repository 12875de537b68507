import { WebSocketServer, type WebSocket } from 'ws'
import type { IncomingMessage } from 'node:http'
import type { AddressInfo } from 'node:net'
import { describeError, Err, type Clock, type Logger, type Metrics, type Network, type RequestHandler, type EventLoopMeter } from '../common/index.js'
import { decodeEnvelope, encodeEnvelope, MAX_MESSAGE_BYTES, type Envelope } from '../protocol/index.js'
import { createCredentialVerifier, type PeerCredential } from './peerAuth.js'
import { createPeerLink, type PeerLink } from './peerLink.js'
import { createTrafficCounter, type TrafficCounter, type TrafficView } from './traffic.js'

export interface PeerNetworkOptions {
  self: string
  listenHost: string
  listenPort: number
  secret: string
  clock: Clock
  logger: Logger
  metrics: Metrics
  work: EventLoopMeter
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
      await new Promise<void>((resolve) => server.close(() => resolve()))
    }
  }
}

function openServer (options: PeerNetworkOptions): Promise<WebSocketServer> {
  const verifier = createCredentialVerifier(options.secret, options.self)
  return new Promise((resolve, reject) => {
    const server = new WebSocketServer({
      host: options.listenHost,
      port: options.listenPort,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
      verifyClient: ({ req }: { req: IncomingMessage }) => verifier.accept(readCredential(req), options.clock.wall())
    })
    server.once('listening', () => resolve(server))
    server.once('error', reject)
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
