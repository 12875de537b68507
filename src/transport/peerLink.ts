import { WebSocket } from 'ws'
import { Err, Ok, type NetworkFailure, type Result } from '../common/index.js'
import { decodeEnvelope, encodeEnvelope, MAX_MESSAGE_BYTES, type Envelope } from '../protocol/index.js'
import { createPeerCredential } from './peerAuth.js'
import type { PeerNetworkOptions } from './peerNetwork.js'
import type { TrafficCounter } from './traffic.js'

const CONNECT_TIMEOUT_MS = 1_000
/** Interval at which a connection is checked. One that has received nothing for this long is pinged. */
const PING_INTERVAL_MS = 500
/** A connection that has received nothing from the peer for this long is closed, and a new one is opened. */
const SILENCE_TIMEOUT_MS = 1_500
/** Extra wait before a silent connection is closed, in which bytes that arrived during a stall of this process are read. */
const SILENCE_CONFIRM_MS = 50
const MIN_RETRY_DELAY_MS = 50
const MAX_RETRY_DELAY_MS = 1_000
/** Default of `maxUnsentBytes`. */
const MAX_UNSENT_BYTES = 32 * 1024 * 1024

export interface PeerLink {
  request (kind: string, body: unknown, deadline: number): Promise<Result<unknown, NetworkFailure>>
  close (): Promise<void>
}

/** A request that waits for its reply; `finish` settles it. */
interface PendingRequest { kind: string, finish: (result: Result<unknown, NetworkFailure>) => void }

interface Connection {
  socket: WebSocket
  /** By id of the request's envelope. */
  pendingRequests: Map<number, PendingRequest>
  lastHeardAt: number
}

/** Creates a link to a peer. From the first request on, it keeps one outgoing connection open and reopens it when it fails. */
export function createPeerLink (options: PeerNetworkOptions, to: string, traffic: TrafficCounter): PeerLink {
  const { clock, maxUnsentBytes = MAX_UNSENT_BYTES } = options
  const logger = options.logger.child({ peer: to })
  const stopping = new AbortController()
  let connection: Connection | undefined
  let nextId = 0
  let linkLoop: Promise<void> | undefined
  const connectionWaiters = new Set<() => void>()

  const runLink = async (): Promise<void> => {
    let retryDelayMs = MIN_RETRY_DELAY_MS
    while (!stopping.signal.aborted) {
      const newConnection = await openConnection()
      if (newConnection !== undefined) {
        retryDelayMs = MIN_RETRY_DELAY_MS
        await watchConnection(newConnection)
      }
      await clock.sleep(retryDelayMs, stopping.signal)
      retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, retryDelayMs * 2)
    }
  }

  const openConnection = async (): Promise<Connection | undefined> => {
    const address = options.findAddress(to)
    if (address === undefined) return undefined
    const credential = createPeerCredential(options.secret, options.self, to, clock.wall())
    const socket = new WebSocket(`ws://${address}`, {
      handshakeTimeout: CONNECT_TIMEOUT_MS,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
      headers: {
        'sequoiadrift-host': credential.host,
        'sequoiadrift-to': credential.to,
        'sequoiadrift-nonce': credential.nonce,
        'sequoiadrift-signed-at': credential.signedAt,
        'sequoiadrift-signature': credential.signature
      }
    })
    const isOpen = await new Promise<boolean>((resolve) => {
      socket.once('open', () => resolve(true))
      socket.on('error', () => resolve(false))
      socket.once('close', () => resolve(false))
    })
    if (!isOpen || stopping.signal.aborted) {
      socket.terminate()
      return undefined
    }
    const newConnection: Connection = { socket, pendingRequests: new Map(), lastHeardAt: clock.now() }
    socket.on('message', (data: Buffer) => receiveMessage(newConnection, data))
    socket.on('pong', () => { newConnection.lastHeardAt = clock.now() })
    connection = newConnection
    connectionWaiters.forEach((wake) => wake())
    return newConnection
  }

  /** Resolves when the connection has closed, or was closed here because the peer was silent. Fails its pending requests. */
  const watchConnection = async (watched: Connection): Promise<void> => {
    const closed = new AbortController()
    watched.socket.once('close', () => closed.abort())
    if (watched.socket.readyState !== watched.socket.OPEN) closed.abort()
    while (!closed.signal.aborted && !stopping.signal.aborted) {
      await clock.sleep(PING_INTERVAL_MS, closed.signal)
      if (closed.signal.aborted) break
      if (isSilent(watched)) await clock.sleep(SILENCE_CONFIRM_MS, closed.signal)
      if (isSilent(watched)) {
        logger.warn('peer-connection-silent')
        break
      }
      // A reply shows as well as a pong that the peer is alive, so a connection in use needs no pings.
      if (clock.now() - watched.lastHeardAt >= PING_INTERVAL_MS) watched.socket.ping()
    }
    if (connection === watched) connection = undefined
    watched.socket.terminate()
    const failure: NetworkFailure = { kind: 'remote-failure', to, message: 'the connection ended before the reply' }
    watched.pendingRequests.forEach((pending) => pending.finish(Err(failure)))
  }

  const isSilent = ({ lastHeardAt }: Connection): boolean => clock.now() - lastHeardAt > SILENCE_TIMEOUT_MS

  const receiveMessage = (from: Connection, data: Buffer): void => {
    from.lastHeardAt = clock.now()
    const envelope = options.work.measure('peer.decode', () => decodeEnvelope(data))
    if (!envelope.ok || envelope.val.type === 'request') {
      logger.warn('peer-reply-malformed', { bytes: data.length })
      from.socket.terminate()
      return
    }
    const kind = from.pendingRequests.get(envelope.val.id)?.kind ?? 'late-reply'
    traffic.recordReceived(kind, data.length)
    finishRequest(from, envelope.val)
  }

  const finishRequest = (from: Connection, envelope: Exclude<Envelope, { type: 'request' }>): void => {
    const pending = from.pendingRequests.get(envelope.id)
    if (pending === undefined) return
    pending.finish(envelope.type === 'reply'
      ? Ok(envelope.body)
      : Err({ kind: 'remote-failure', to, message: envelope.message }))
  }

  const waitForConnection = async (deadline: number): Promise<Connection | undefined> => {
    linkLoop ??= runLink()
    if (connection !== undefined) return connection
    const connected = new AbortController()
    const wake = (): void => connected.abort()
    connectionWaiters.add(wake)
    // The wait ends after the connect timeout even if the deadline is much later, so that the caller of an unreachable peer
    // can still try another host.
    await clock.sleep(Math.min(deadline - clock.now(), CONNECT_TIMEOUT_MS), AbortSignal.any([connected.signal, stopping.signal]))
    connectionWaiters.delete(wake)
    return connection
  }

  const request = async (kind: string, body: unknown, deadline: number): Promise<Result<unknown, NetworkFailure>> => {
    if (stopping.signal.aborted) return Err({ kind: 'unreachable', to, message: 'this host is stopping' })
    const current = await waitForConnection(deadline)
    if (current === undefined) return Err({ kind: 'unreachable', to, message: 'no connection' })
    if (current.socket.readyState !== current.socket.OPEN || current.socket.bufferedAmount > maxUnsentBytes) {
      return Err({ kind: 'unreachable', to, message: 'the connection accepts no more data' })
    }
    const id = nextId++
    const data = options.work.measure('peer.send', () => encodeEnvelope({ type: 'request', id, kind, body }))
    traffic.recordSent(kind, data.length)
    return await new Promise((resolve) => {
      const handleTimeout = (): void => finish(Err({ kind: 'deadline-exceeded', to, message: `no reply to ${kind} in time` }))
      const timer = setTimeout(handleTimeout, Math.max(0, deadline - clock.now()))
      const finish = (result: Result<unknown, NetworkFailure>): void => {
        clearTimeout(timer)
        current.pendingRequests.delete(id)
        resolve(result)
      }
      current.pendingRequests.set(id, { kind, finish })
      options.work.measure('peer.send', () => current.socket.send(data))
    })
  }

  return {
    request,
    close: async () => {
      stopping.abort()
      connection?.socket.close()
      await linkLoop
    }
  }
}
