import { WebSocket } from 'ws'
import { Err, Ok, type NetworkFailure, type Result } from '../common/index.js'
import { decodeEnvelope, encodeEnvelope, MAX_MESSAGE_BYTES, type Envelope } from '../protocol/index.js'
import { createPeerOffer } from './peerAuth.js'
import type { PeerNetworkOptions } from './peerNetwork.js'
import type { TrafficCounter } from './traffic.js'

const CONNECT_TIMEOUT_MS = 1_000
/** A connection on which nothing was heard for this long is probed, and checked this often. */
const PING_INTERVAL_MS = 500
/** Without any byte from the peer for this long the connection is given up and a new one is opened. */
const SILENCE_LIMIT_MS = 1_500
/** When this process was stalled, bytes may have arrived that were not read yet, so silence is confirmed after this wait. */
const CONFIRM_MS = 50
const FIRST_RETRY_MS = 50
const MAX_RETRY_MS = 1_000
/** More than this waiting to be sent means that the peer does not read. */
const MAX_BUFFERED_BYTES = 32 * 1024 * 1024

export interface PeerLink {
  request (kind: string, body: unknown, deadline: number): Promise<Result<unknown, NetworkFailure>>
  close (): Promise<void>
}

interface Waiter { kind: string, finish: (result: Result<unknown, NetworkFailure>) => void }

interface Connection {
  socket: WebSocket
  waiters: Map<number, Waiter>
  lastHeardAt: number
}

/** Keeps one outgoing connection to a peer open from the first request on. */
export function createPeerLink (options: PeerNetworkOptions, to: string, traffic: TrafficCounter): PeerLink {
  const { clock } = options
  const logger = options.logger.child({ peer: to })
  const stopping = new AbortController()
  let connection: Connection | undefined
  let nextId = 0
  let running: Promise<void> | undefined
  const wakers = new Set<() => void>()

  const runLink = async (): Promise<void> => {
    let retryMs = FIRST_RETRY_MS
    while (!stopping.signal.aborted) {
      const opened = await openConnection()
      if (opened !== undefined) {
        retryMs = FIRST_RETRY_MS
        await watchConnection(opened)
      }
      await clock.sleep(retryMs, stopping.signal)
      retryMs = Math.min(MAX_RETRY_MS, retryMs * 2)
    }
  }

  const openConnection = async (): Promise<Connection | undefined> => {
    const address = options.findAddress(to)
    if (address === undefined) return undefined
    const offer = createPeerOffer(options.secret, options.self, to, clock.wall())
    const socket = new WebSocket(`ws://${address}`, {
      handshakeTimeout: CONNECT_TIMEOUT_MS,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
      headers: {
        'sequoiadrift-host': offer.host,
        'sequoiadrift-to': offer.to,
        'sequoiadrift-nonce': offer.nonce,
        'sequoiadrift-signed-at': offer.signedAt,
        'sequoiadrift-signature': offer.signature
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
    const opened: Connection = { socket, waiters: new Map(), lastHeardAt: clock.now() }
    socket.on('message', (data: Buffer) => receiveMessage(opened, data))
    socket.on('pong', () => { opened.lastHeardAt = clock.now() })
    connection = opened
    wakers.forEach((wake) => wake())
    return opened
  }

  // Resolves when the connection has closed or was retired because nothing came back on it.
  const watchConnection = async (watched: Connection): Promise<void> => {
    const closed = new AbortController()
    watched.socket.once('close', () => closed.abort())
    if (watched.socket.readyState !== watched.socket.OPEN) closed.abort()
    while (!closed.signal.aborted && !stopping.signal.aborted) {
      await clock.sleep(PING_INTERVAL_MS, closed.signal)
      if (closed.signal.aborted) break
      if (isSilent(watched)) await clock.sleep(CONFIRM_MS, closed.signal)
      if (isSilent(watched)) {
        logger.warn('peer-connection-silent')
        break
      }
      // Replies prove as much as a pong, so a connection in use needs no pings.
      if (clock.now() - watched.lastHeardAt >= PING_INTERVAL_MS) watched.socket.ping()
    }
    if (connection === watched) connection = undefined
    watched.socket.terminate()
    const failure: NetworkFailure = { kind: 'remote-failure', to, message: 'the connection ended before the reply' }
    watched.waiters.forEach((waiter) => waiter.finish(Err(failure)))
  }

  const isSilent = ({ lastHeardAt }: Connection): boolean => clock.now() - lastHeardAt > SILENCE_LIMIT_MS

  const receiveMessage = (from: Connection, data: Buffer): void => {
    from.lastHeardAt = clock.now()
    const envelope = options.work.measure('peer.decode', () => decodeEnvelope(data))
    if (!envelope.ok || envelope.val.type === 'request') {
      logger.warn('peer-reply-malformed', { bytes: data.length })
      from.socket.terminate()
      return
    }
    const kind = from.waiters.get(envelope.val.id)?.kind ?? 'late-reply'
    traffic.recordReceived(kind, data.length)
    finishRequest(from, envelope.val)
  }

  const finishRequest = (from: Connection, envelope: Exclude<Envelope, { type: 'request' }>): void => {
    const waiter = from.waiters.get(envelope.id)
    if (waiter === undefined) return
    waiter.finish(envelope.type === 'reply'
      ? Ok(envelope.body)
      : Err({ kind: 'remote-failure', to, message: envelope.message }))
  }

  const waitForConnection = async (deadline: number): Promise<Connection | undefined> => {
    running ??= runLink()
    if (connection !== undefined) return connection
    const opened = new AbortController()
    const wake = (): void => opened.abort()
    wakers.add(wake)
    // A host that cannot be reached is reported well before the deadline, so that callers can turn to another.
    await clock.sleep(Math.min(deadline - clock.now(), CONNECT_TIMEOUT_MS), AbortSignal.any([opened.signal, stopping.signal]))
    wakers.delete(wake)
    return connection
  }

  const request = async (kind: string, body: unknown, deadline: number): Promise<Result<unknown, NetworkFailure>> => {
    if (stopping.signal.aborted) return Err({ kind: 'unreachable', to, message: 'this host is stopping' })
    const used = await waitForConnection(deadline)
    if (used === undefined) return Err({ kind: 'unreachable', to, message: 'no connection' })
    if (used.socket.readyState !== used.socket.OPEN || used.socket.bufferedAmount > MAX_BUFFERED_BYTES) {
      return Err({ kind: 'unreachable', to, message: 'the connection accepts no more data' })
    }
    const id = nextId++
    const data = options.work.measure('peer.send', () => encodeEnvelope({ type: 'request', id, kind, body }))
    traffic.recordSent(kind, data.length)
    return await new Promise((resolve) => {
      const expired = (): void => finish(Err({ kind: 'deadline-exceeded', to, message: `no reply to ${kind} in time` }))
      const timer = setTimeout(expired, Math.max(0, deadline - clock.now()))
      const finish = (result: Result<unknown, NetworkFailure>): void => {
        clearTimeout(timer)
        used.waiters.delete(id)
        resolve(result)
      }
      used.waiters.set(id, { kind, finish })
      options.work.measure('peer.send', () => used.socket.send(data))
    })
  }

  return {
    request,
    close: async () => {
      stopping.abort()
      connection?.socket.close()
      await running
    }
  }
}
