import { Err, Ok, type Clock, type Result } from '../../common/index.js'
import type { ExecutorClient, ExecutorConnection, ExecutorFailure } from './types.js'

/** A connection that received bytes within this time is used without a liveness check. */
const LIVENESS_VALID_MS = 1000
const OPEN_TIMEOUT_MS = 500
const LIVENESS_CHECK_TIMEOUT_MS = 250
const MAX_IDLE_MS = 4000

/** Abort reason. The default reason is an exception with a stack trace, whose creation costs time on every request. */
const WORK_SETTLED = Symbol('settled')

interface IdleConnection { connection: ExecutorConnection, lastAliveAt: number }

export interface ConnectionPool {
  /**
   * Returns an idle connection that received bytes within the last second or has just passed a liveness check, or else a
   * new one. When this fails, no byte of the request has been sent.
   */
  acquire (url: string, deadline: number): Promise<Result<ExecutorConnection, ExecutorFailure>>
  /** Takes back a connection after it has delivered a complete answer at `lastAliveAt`. */
  release (connection: ExecutorConnection, lastAliveAt: number): void
  /** Closes a connection and removes it from the pool. */
  retire (connection: ExecutorConnection): void
  /** Sets the limit and the URL of the executor. Closes idle connections above the limit, to another URL, or unused for `MAX_IDLE_MS`. */
  setLimit (limit: number, url: string): void
  count (): number
  stop (): void
}

/** Creates the pool of connections from this host to one executor. Connections that are being opened count towards the limit. */
export function createConnectionPool (clock: Clock, client: ExecutorClient, holder: string): ConnectionPool {
  const open = new Set<ExecutorConnection>()
  let opening = 0
  let idle: IdleConnection[] = []
  let limit = 0
  let currentUrl = ''
  let stopped = false

  const count = (): number => open.size + opening

  const retire = (connection: ExecutorConnection): void => {
    open.delete(connection)
    connection.close()
  }

  const closeIdle = (shouldClose: (item: IdleConnection, index: number) => boolean): void => {
    const closing = idle.filter(shouldClose)
    idle = idle.filter((item) => !closing.includes(item))
    closing.forEach((item) => retire(item.connection))
  }

  const setLimit: ConnectionPool['setLimit'] = (value, url) => {
    limit = value
    const oldest = clock.now() - MAX_IDLE_MS
    closeIdle((item) => url !== currentUrl || item.lastAliveAt < oldest || !item.connection.isOpen())
    currentUrl = url
    const surplus = count() - limit
    if (surplus > 0) closeIdle((_, index) => index < surplus)
  }

  const checkIdle = async (item: IdleConnection, deadline: number): Promise<boolean> => {
    if (!item.connection.isOpen()) return false
    if (clock.now() - item.lastAliveAt < LIVENESS_VALID_MS) return true
    const result = await waitWithTimeout(clock, item.connection.check(), Math.min(LIVENESS_CHECK_TIMEOUT_MS, deadline - clock.now()))
    return result !== undefined && result.ok
  }

  const openNew = async (url: string, deadline: number): Promise<Result<ExecutorConnection, ExecutorFailure>> => {
    if (stopped || count() >= limit) return Err({ kind: 'not-sent', message: 'the share of connections is in use' })
    opening += 1
    const opened = client.open(url, holder)
    const result = await waitWithTimeout(clock, opened, Math.min(OPEN_TIMEOUT_MS, deadline - clock.now()))
    if (result === undefined) {
      // The connection counts towards the limit until it is closed, because the executor may already have accepted it.
      opened.then((lateResult) => {
        opening -= 1
        if (lateResult.ok) lateResult.val.close()
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

  const acquire: ConnectionPool['acquire'] = async (url, deadline) => {
    for (let item = idle.pop(); item !== undefined; item = idle.pop()) {
      if (await checkIdle(item, deadline)) return Ok(item.connection)
      retire(item.connection)
      // Connections to one executor often fail together. Checking each in turn would use up the time of the request, so all
      // that would need a check are closed.
      const oldest = clock.now() - LIVENESS_VALID_MS
      closeIdle((other) => other.lastAliveAt < oldest)
    }
    return await openNew(url, deadline)
  }

  const release = (connection: ExecutorConnection, lastAliveAt: number): void => {
    if (!open.has(connection)) return
    if (stopped || !connection.isOpen() || count() > limit) retire(connection)
    else idle.push({ connection, lastAliveAt })
  }

  const stop = (): void => {
    stopped = true
    idle = []
    open.forEach((connection) => connection.close())
    open.clear()
  }

  return { acquire, release, retire, setLimit, count, stop }
}

/** Waits for `work` for at most `ms`; resolves with undefined on timeout. The work itself is not cancelled. */
export async function waitWithTimeout<T> (clock: Clock, work: Promise<T>, ms: number): Promise<T | undefined> {
  const controller = new AbortController()
  const result = await Promise.race([work, clock.sleep(Math.max(0, ms), controller.signal).then(() => undefined)])
  controller.abort(WORK_SETTLED)
  return result
}
