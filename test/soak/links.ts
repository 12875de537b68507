import { connect, createServer, type Socket } from 'node:net'

export type Direction = 'forward' | 'back'

/** A TCP proxy in front of one address that can delay, hold back or reset its connections. */
export interface Link {
  name: string
  address: string
  /** Time at which the target address last refused a connection. Nothing that was sent on that connection was read. */
  getRefusedAt (): number
  /** Delays every byte that arrives from now on. */
  setDelay (delayMs: number): void
  /** Holds back the bytes of these directions until `heal`, as a network partition does. */
  setCut (directions: Direction[]): void
  /** Makes the open connections pass no more bytes, without closing them. New connections work. */
  silence (): void
  reset (): void
  heal (): void
  close (): Promise<void>
}

/** A chunk or an end of stream that is passed on at a time. */
interface Transfer { at: number, run: () => void }

interface DirectionQueue { direction: Direction, queue: Transfer[], timer: NodeJS.Timeout | undefined }

interface Session { client: Socket, target: Socket, directionQueues: DirectionQueue[], isSilent: boolean }

export function splitAddress (address: string): { host: string, port: number } {
  const [host = '', port] = address.split(':')
  return { host, port: Number(port) }
}

export async function openLink (name: string, address: string, targetAddress: string): Promise<Link> {
  const sessions = new Set<Session>()
  const state = { delayMs: 0, cut: new Set<Direction>(), refusedAt: -Infinity }

  const sendDueTransfers = (session: Session, directionQueue: DirectionQueue): void => {
    clearTimeout(directionQueue.timer)
    directionQueue.timer = undefined
    if (session.isSilent || state.cut.has(directionQueue.direction)) return
    const now = performance.now()
    while (directionQueue.queue[0] !== undefined && directionQueue.queue[0].at <= now) directionQueue.queue.shift()?.run()
    const next = directionQueue.queue[0]
    if (next !== undefined) directionQueue.timer = setTimeout(() => sendDueTransfers(session, directionQueue), Math.ceil(next.at - now))
  }

  const closeSession = (session: Session): void => {
    session.directionQueues.forEach((directionQueue) => clearTimeout(directionQueue.timer))
    sessions.delete(session)
    session.client.resetAndDestroy()
    session.target.resetAndDestroy()
  }

  const addDirectionQueue = (session: Session, direction: Direction, from: Socket, to: Socket): void => {
    const directionQueue: DirectionQueue = { direction, queue: [], timer: undefined }
    session.directionQueues.push(directionQueue)
    const schedule = (run: () => void): void => {
      directionQueue.queue.push({ at: performance.now() + state.delayMs, run })
      sendDueTransfers(session, directionQueue)
    }
    from.on('data', (chunk) => schedule(() => to.write(chunk)))
    from.on('end', () => schedule(() => to.end()))
    // A reset is queued like data: if the link is cut, the other side doesn't learn that the process has ended.
    from.on('error', () => schedule(() => closeSession(session)))
    from.on('close', () => schedule(() => { if (to.destroyed) sessions.delete(session) }))
  }

  const server = createServer({ allowHalfOpen: true, noDelay: true }, (client) => {
    const target = connect({ ...splitAddress(targetAddress), allowHalfOpen: true, noDelay: true })
    target.once('error', (error: NodeJS.ErrnoException) => { if (error.code === 'ECONNREFUSED') state.refusedAt = performance.now() })
    const session: Session = { client, target, directionQueues: [], isSilent: false }
    sessions.add(session)
    addDirectionQueue(session, 'forward', client, target)
    addDirectionQueue(session, 'back', target, client)
  })
  await new Promise<void>((resolve, reject) => server.once('error', reject).listen(splitAddress(address), resolve))

  const sendAllDueTransfers = (): void => sessions.forEach((session) => session.directionQueues.forEach((directionQueue) => sendDueTransfers(session, directionQueue)))
  const closeAll = (): void => [...sessions].forEach(closeSession)
  return {
    name,
    address,
    getRefusedAt: () => state.refusedAt,
    setDelay: (delayMs) => { state.delayMs = delayMs },
    setCut: (directions) => { state.cut = new Set(directions) },
    silence: () => sessions.forEach((session) => { session.isSilent = true }),
    reset: closeAll,
    heal: () => {
      state.delayMs = 0
      state.cut.clear()
      sendAllDueTransfers()
    },
    close: () => {
      closeAll()
      return new Promise((resolve) => server.close(() => resolve()))
    }
  }
}
