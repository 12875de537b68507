import { createServer, type IncomingMessage, type RequestListener, type Server, type ServerOptions } from 'node:http'
import type { Socket } from 'node:net'
import { computeRecentBytes } from './bodyBudget.js'
import { findConnectionToClose, listExpiredConnections, type ConnectionPhase, type ConnectionTimeouts, type ConnectionView } from './connectionLimit.js'
import type { RefusalReason } from './refusals.js'
import type { AdmittedRequest, AnsweredRefusal, RequestGuard } from './requestGuard.js'

const CHECK_INTERVAL_MS = 250
/** Requests on one connection that have not been answered. Each costs memory from the moment that it is parsed. */
const MAX_UNANSWERED_PER_CONNECTION = 16
const HEADER_TIMEOUT_REPLY = 'HTTP/1.1 408 Request Timeout\r\nconnection: close\r\n\r\n'

export interface GuardedServerLimits extends ConnectionTimeouts {
  maxHeaderBytes: number
  maxBodyBytes: number
}

export interface GuardedServerOptions {
  guard: RequestGuard
  /** Label in metrics. */
  name: string
  maxConnections: number
  /** The limits in force, which may change while the server runs. */
  getLimits (): GuardedServerLimits
  describeRefusal (reason: AnsweredRefusal): object
  /** Options of the HTTP server of the runtime. */
  http?: ServerOptions
}

interface Connection extends ConnectionView {
  socket: Socket
  /** Requests that have not been answered. */
  unanswered: Set<AdmittedRequest>
  /** Bytes received when the connection became idle. */
  receivedBefore: number
  unsentBytes: number
}

/**
 * Creates an HTTP server that bounds its connections and passes on only requests that have arrived whole within the limits. Load:
 * all clients of one listening address, also hostile ones.
 */
export function createGuardedServer (options: GuardedServerOptions, listener: RequestListener): Server {
  const { guard, getLimits } = options
  const { clock } = guard
  const connections = new Map<Socket, Connection>()
  const server = createServer({ ...options.http, keepAliveTimeout: getLimits().idleTimeoutMs, maxHeaderSize: getLimits().maxHeaderBytes })

  const setPhase = (connection: Connection, phase: ConnectionPhase): void => {
    if (connection.phase !== phase) Object.assign(connection, { phase, since: clock.now() })
  }

  const closeConnection = ({ socket, phase }: Connection): void => {
    guard.recordRefusal(CLOSE_REASONS[phase])
    if (phase === 'header' && socket.writable) socket.write(HEADER_TIMEOUT_REPLY)
    socket.destroySoon()
    connections.delete(socket)
  }

  const admitConnection = (socket: Socket): boolean => {
    if (connections.size >= options.maxConnections) {
      updatePhases()
      const closed = findConnectionToClose([...connections.values()], getLimits(), clock.now())
      if (closed === undefined) return false
      closeConnection(closed)
    }
    const connection: Connection = { socket, phase: 'idle', since: clock.now(), unanswered: new Set(), receivedBefore: 0, unsentBytes: 0 }
    connections.set(socket, connection)
    socket.once('close', () => {
      connections.delete(socket)
      connection.unanswered.forEach((request) => request.handleClose())
    })
    return true
  }

  const updatePhases = (): void => connections.forEach((connection) => {
    const { socket, unsentBytes } = connection
    connection.unsentBytes = socket.writableLength
    const arriving = [...connection.unanswered].find(({ held }) => !held.isComplete)
    connection.recentBytes = arriving === undefined ? 0 : computeRecentBytes(arriving.held, clock.now())
    if (connection.unanswered.size > 0 && socket.writableLength === 0) setPhase(connection, arriving === undefined ? 'busy' : 'body')
    else if (connection.unanswered.size > 0) {
      if (socket.writableLength !== unsentBytes) setPhase(connection, 'busy')
      setPhase(connection, 'unread')
    } else if (socket.bytesRead > connection.receivedBefore) setPhase(connection, 'header')
  })

  const check = (): void => {
    const limits = getLimits()
    server.keepAliveTimeout = limits.idleTimeoutMs;
    (server as Server & { maxHeaderSize: number }).maxHeaderSize = limits.maxHeaderBytes
    guard.checkRequests()
    updatePhases()
    listExpiredConnections([...connections.values()], limits, clock.now()).forEach(closeConnection)
    guard.recordConnections(options.name, connections.size)
  }

  const observeAnswer = (connection: Connection, request: AdmittedRequest): void => {
    connection.unanswered.delete(request)
    if (connection.unanswered.size > 0) return
    setPhase(connection, 'idle')
    connection.receivedBefore = connection.socket.bytesRead
  }

  const closePipelined = (message: IncomingMessage): void => {
    guard.recordRefusal('pipelined')
    message.socket.destroy()
  }

  server.on('request', (message, reply) => {
    const connection = connections.get(message.socket)
    if (connection === undefined || message.socket.destroyed) return
    if (connection.unanswered.size >= MAX_UNANSWERED_PER_CONNECTION) return closePipelined(message)
    setPhase(connection, 'busy')
    const request = guard.admit(message, reply, { maxBodyBytes: getLimits().maxBodyBytes, describeRefusal: options.describeRefusal }, () => listener(message, reply))
    connection.unanswered.add(request)
    reply.once('close', () => observeAnswer(connection, request))
  })

  throttleConnections(server, (socket) => {
    const isAdmitted = admitConnection(socket)
    if (!isAdmitted) guard.recordRefusal('connections')
    return isAdmitted
  })
  const timer = setInterval(check, CHECK_INTERVAL_MS)
  timer.unref()
  server.once('close', () => clearInterval(timer))
  return server
}

const CLOSE_REASONS: Record<ConnectionPhase, RefusalReason> = { idle: 'idle', header: 'header-timeout', body: 'slow', busy: 'unread', unread: 'unread' }

/** Passes only admitted connections on to the HTTP server, which would otherwise create a parser for each. */
export function throttleConnections (server: Server, admit: (socket: Socket) => boolean): void {
  const accept = server.listeners('connection') as Array<(socket: Socket) => void>
  server.removeAllListeners('connection')
  server.on('connection', (socket: Socket) => {
    if (admit(socket)) accept.forEach((listener) => listener.call(server, socket))
    else socket.destroy()
  })
}
