/**
 * Decides which connections of a listening address to close. Load: every client, also hostile ones, up to the number of
 * descriptors of the process. Plain functions; `guardedServer.ts` holds the connections.
 */

import { MIN_BODY_BYTES_PER_SECOND } from './bodyBudget.js'

/** Descriptors reserved for files. */
const RESERVED_FDS = 200
/** Memory of an open connection: socket, parser, and a header of up to 16 KiB that has arrived in part. */
const CONNECTION_BYTES = 24 * 1024
/** Share of the memory of the machine that open connections may use. */
const CONNECTION_MEMORY_SHARE = 1 / 8
/** Shares of the connections: for requests of clients or workers, for each of readiness and metrics, and for links of other hosts. The rest is for outgoing connections. */
const REQUEST_SHARE = 1 / 2
const AUXILIARY_SHARE = 1 / 16
const MIN_AUXILIARY = 16
const PEER_SHARE = 1 / 4
/** Share of the memory of the machine for request bodies and what is decoded from them. */
const BODY_MEMORY_SHARE = 1 / 6
/** Share of the memory of the machine for bytes that a link to another host has not sent yet. */
const UNSENT_MEMORY_SHARE = 1 / 16
const MAX_UNSENT_BYTES = 32 * 1024 * 1024
/** If connections are to be closed, a header or body that has been arriving for longer than this may count as slow. */
const ARRIVAL_GRACE_MS = 1000
const MEBIBYTE = 1024 * 1024

export interface MachineLimits { memoryMb: number, maxFds: number }

/** The limits of a process, derived from the memory and the descriptors of its machine. */
export interface ProcessLimits {
  bodyBytes: number
  requestConnections: number
  auxiliaryConnections: number
  peerConnections: number
  unsentPeerBytes: number
}

export function computeProcessLimits ({ memoryMb, maxFds }: MachineLimits): ProcessLimits {
  const memoryBytes = memoryMb * MEBIBYTE
  const connections = Math.max(0, Math.min(maxFds - RESERVED_FDS, memoryBytes * CONNECTION_MEMORY_SHARE / CONNECTION_BYTES))
  return {
    bodyBytes: Math.floor(memoryBytes * BODY_MEMORY_SHARE),
    requestConnections: Math.max(MIN_AUXILIARY, Math.floor(connections * REQUEST_SHARE)),
    auxiliaryConnections: Math.max(MIN_AUXILIARY, Math.floor(connections * AUXILIARY_SHARE)),
    peerConnections: Math.max(MIN_AUXILIARY, Math.floor(connections * PEER_SHARE)),
    unsentPeerBytes: Math.min(MAX_UNSENT_BYTES, Math.floor(memoryBytes * UNSENT_MEMORY_SHARE))
  }
}

/**
 * `idle`: no byte of a next request has arrived. `header`: a header has arrived in part. `body`: a body has arrived in part.
 * `busy`: a request is being answered. `unread`: the client does not read its answer.
 */
export type ConnectionPhase = 'idle' | 'header' | 'body' | 'busy' | 'unread'

export interface ConnectionView { phase: ConnectionPhase, /** Steady-clock time at which the phase began. */ since: number, /** Bytes of the body that arrived within about the last second. */ recentBytes?: number }

export interface ConnectionTimeouts { headerTimeoutMs: number, idleTimeoutMs: number }

/** Connections whose phase has lasted too long. */
export function listExpiredConnections<T extends ConnectionView> (connections: readonly T[], { headerTimeoutMs, idleTimeoutMs }: ConnectionTimeouts, now: number): T[] {
  const limits: Record<ConnectionPhase, number> = { idle: idleTimeoutMs, header: headerTimeoutMs, body: Infinity, busy: Infinity, unread: idleTimeoutMs }
  return connections.filter(({ phase, since }) => now - since > limits[phase])
}

/**
 * The connection to close so that a new one can be accepted: the one that has been idle longest, if that exceeds the idle
 * time-out, otherwise the one whose header has been arriving longest, otherwise the one whose body arrives slowest, below the
 * minimum rate. Without one, the new connection is to be closed.
 */
export function findConnectionToClose<T extends ConnectionView> (connections: readonly T[], { idleTimeoutMs }: ConnectionTimeouts, now: number): T | undefined {
  const findOldest = (phase: ConnectionPhase, minMs: number): T | undefined => connections
    .filter((connection) => connection.phase === phase && now - connection.since >= minMs)
    .reduce<T | undefined>((oldest, connection) => oldest === undefined || connection.since < oldest.since ? connection : oldest, undefined)
  return findOldest('idle', idleTimeoutMs) ?? findOldest('header', ARRIVAL_GRACE_MS) ?? findSlowestBody(connections, now)
}

function findSlowestBody<T extends ConnectionView> (connections: readonly T[], now: number): T | undefined {
  return connections
    .filter(({ phase, since, recentBytes = 0 }) => phase === 'body' && now - since >= ARRIVAL_GRACE_MS && recentBytes < MIN_BODY_BYTES_PER_SECOND)
    .reduce<T | undefined>((slowest, connection) => slowest === undefined || (connection.recentBytes ?? 0) < (slowest.recentBytes ?? 0) ? connection : slowest, undefined)
}
