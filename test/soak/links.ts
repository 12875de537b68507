import { connect, createServer, type Socket } from 'node:net'

export type Direction = 'forward' | 'back'

/** A TCP proxy in front of one address, which can harm what passes. */
export interface Link {
  name: string
  address: string
  /** When the address behind refused a connection last: what was sent on it was not read. */
  getRefusedAt (): number
  /** Delays every byte from now on. */
  setDelay (delayMs: number): void
  /** Holds bytes of these directions until the link is healed, as a partition does. */
  setCut (directions: Direction[]): void
  /** Lets the open connections pass nothing more, while new ones work. */
  silence (): void
  reset (): void
  heal (): void
  close (): Promise<void>
}

interface Transfer { at: number, run: () => void }

interface Lane { direction: Direction, queue: Transfer[], timer: NodeJS.Timeout | undefined }

interface Session { client: Socket, target: Socket, lanes: Lane[], isSilent: boolean }

export function splitAddress (address: string): { host: string, port: number } {
  const [host = '', port] = address.split(':')
  return { host, port: Number(port) }
}

export async function openLink (name: string, address: string, targetAddress: string): Promise<Link> {
  const sessions = new Set<Session>()
  const state = { delayMs: 0, cut: new Set<Direction>(), refusedAt: -Infinity }

  const dispatchLane = (session: Session, lane: Lane): void => {
    clearTimeout(lane.timer)
    lane.timer = undefined
    if (session.isSilent || state.cut.has(lane.direction)) return
    const now = performance.now()
    while (lane.queue[0] !== undefined && lane.queue[0].at <= now) lane.queue.shift()?.run()
    const next = lane.queue[0]
    if (next !== undefined) lane.timer = setTimeout(() => dispatchLane(session, lane), Math.ceil(next.at - now))
  }

  const closeSession = (session: Session): void => {
    session.lanes.forEach((lane) => clearTimeout(lane.timer))
    sessions.delete(session)
    session.client.resetAndDestroy()
    session.target.resetAndDestroy()
  }

  const addLane = (session: Session, direction: Direction, from: Socket, to: Socket): void => {
    const lane: Lane = { direction, queue: [], timer: undefined }
    session.lanes.push(lane)
    const schedule = (run: () => void): void => {
      lane.queue.push({ at: performance.now() + state.delayMs, run })
      dispatchLane(session, lane)
    }
    from.on('data', (chunk) => schedule(() => to.write(chunk)))
    from.on('end', () => schedule(() => to.end()))
    // The end of a process resets its connections only where the link passes bytes.
    from.on('error', () => schedule(() => closeSession(session)))
    from.on('close', () => schedule(() => { if (to.destroyed) sessions.delete(session) }))
  }

  const server = createServer({ allowHalfOpen: true, noDelay: true }, (client) => {
    const target = connect({ ...splitAddress(targetAddress), allowHalfOpen: true, noDelay: true })
    target.once('error', (error: NodeJS.ErrnoException) => { if (error.code === 'ECONNREFUSED') state.refusedAt = performance.now() })
    const session: Session = { client, target, lanes: [], isSilent: false }
    sessions.add(session)
    addLane(session, 'forward', client, target)
    addLane(session, 'back', target, client)
  })
  await new Promise<void>((resolve, reject) => server.once('error', reject).listen(splitAddress(address), resolve))

  const dispatchAll = (): void => sessions.forEach((session) => session.lanes.forEach((lane) => dispatchLane(session, lane)))
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
      dispatchAll()
    },
    close: () => {
      closeAll()
      return new Promise((resolve) => server.close(() => resolve()))
    }
  }
}
