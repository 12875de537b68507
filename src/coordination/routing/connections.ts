import { Err, Ok, type Clock, type Result } from '../../common/index.js'
import type { ExecutorClient, ExecutorConnection, ExecutorFailure } from './types.js'

const PROOF_MS = 1000
const OPEN_MS = 500
const CHECK_MS = 250
const IDLE_MS = 4000

/** Given as a reason because the default one is an exception with a stack trace, which costs time on every request. */
const SETTLED = Symbol('settled')

interface Idle { connection: ExecutorConnection, provenAt: number }

export interface ConnectionPool {
  /**
   * Returns a connection with proof of life within the last second, checked or freshly opened.
   * Nothing of a request has been sent when this fails.
   */
  claim (url: string, deadline: number): Promise<Result<ExecutorConnection, ExecutorFailure>>
  /** Takes back a connection that has just delivered a whole answer. */
  release (connection: ExecutorConnection, provenAt: number): void
  retire (connection: ExecutorConnection): void
  /** Closes idle connections beyond `limit`, and idle ones of another URL or of old age. */
  setLimit (limit: number, url: string): void
  count (): number
  stop (): void
}

/** The connections of this host to one executor. Their number, including those that are being opened, stays within the limit. */
export function createConnectionPool (clock: Clock, client: ExecutorClient, holder: string): ConnectionPool {
  const open = new Set<ExecutorConnection>()
  let opening = 0
  let idle: Idle[] = []
  let limit = 0
  let currentUrl = ''
  let stopped = false

  const count = (): number => open.size + opening

  const retire = (connection: ExecutorConnection): void => {
    open.delete(connection)
    connection.close()
  }

  const closeIdle = (isUnwanted: (item: Idle, index: number) => boolean): void => {
    const unwanted = idle.filter(isUnwanted)
    idle = idle.filter((item) => !unwanted.includes(item))
    unwanted.forEach((item) => retire(item.connection))
  }

  const setLimit: ConnectionPool['setLimit'] = (value, url) => {
    limit = value
    const oldest = clock.now() - IDLE_MS
    closeIdle((item) => url !== currentUrl || item.provenAt < oldest || !item.connection.isOpen())
    currentUrl = url
    const surplus = count() - limit
    if (surplus > 0) closeIdle((_, index) => index < surplus)
  }

  const checkIdle = async (item: Idle, deadline: number): Promise<boolean> => {
    if (!item.connection.isOpen()) return false
    if (clock.now() - item.provenAt < PROOF_MS) return true
    const result = await waitAtMost(clock, item.connection.check(), Math.min(CHECK_MS, deadline - clock.now()))
    return result !== undefined && result.ok
  }

  const openNew = async (url: string, deadline: number): Promise<Result<ExecutorConnection, ExecutorFailure>> => {
    if (stopped || count() >= limit) return Err({ kind: 'not-sent', message: 'the share of connections is in use' })
    opening += 1
    const pending = client.open(url, holder)
    const result = await waitAtMost(clock, pending, Math.min(OPEN_MS, deadline - clock.now()))
    if (result === undefined) {
      // The attempt still counts, because the executor may see the connection until it is closed.
      pending.then((late) => {
        opening -= 1
        if (late.ok) late.val.close()
      })
      return Err({ kind: 'not-sent', message: 'no connection within the time limit' })
    }
    opening -= 1
    if (!result.ok) return result
    if (stopped || url !== currentUrl) {
      result.val.close()
      return Err({ kind: 'not-sent', message: 'the executor has moved' })
    }
    open.add(result.val)
    return result
  }

  const claim: ConnectionPool['claim'] = async (url, deadline) => {
    for (let item = idle.pop(); item !== undefined; item = idle.pop()) {
      if (await checkIdle(item, deadline)) return Ok(item.connection)
      retire(item.connection)
      // Connections to one executor often fall silent together; checking each in turn would take the request's time.
      const oldest = clock.now() - PROOF_MS
      closeIdle((other) => other.provenAt < oldest)
    }
    return await openNew(url, deadline)
  }

  const release = (connection: ExecutorConnection, provenAt: number): void => {
    if (!open.has(connection)) return
    if (stopped || !connection.isOpen() || count() > limit) retire(connection)
    else idle.push({ connection, provenAt })
  }

  const stop = (): void => {
    stopped = true
    idle = []
    open.forEach((connection) => connection.close())
    open.clear()
  }

  return { claim, release, retire, setLimit, count, stop }
}

/** Resolves with undefined when `ms` pass first. */
export async function waitAtMost<T> (clock: Clock, work: Promise<T>, ms: number): Promise<T | undefined> {
  const controller = new AbortController()
  const result = await Promise.race([work, clock.sleep(Math.max(0, ms), controller.signal).then(() => undefined)])
  controller.abort(SETTLED)
  return result
}
