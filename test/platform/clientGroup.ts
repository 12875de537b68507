import { connect, type Socket } from 'node:net'
import { createProcessProbe } from './processProbe.js'

/** What the clients of a group send; `parts` are written one after the other, each once the one before has been taken. */
export interface ClientGroup {
  clients: number
  /** Connections that each client opens one after the other when the one before is closed by the server. */
  connectionsPerClient: number
  /** Parts of a request that stops just short of its end. */
  parts: readonly Buffer[]
  /** What completes the request. Only one client in `COMPLETE_EVERY` sends it. */
  end: Buffer
}

/** All other clients leave their requests unfinished and keep the connections open. */
export const COMPLETE_EVERY = 8
/** Bounds of an attack: time until all connections are closed by the clients. */
const ATTACK_MS = 12_000
const OPEN_INTERVAL_MS = 2

export interface AttackResult { isAlive: boolean, peakMb: number, peakFds: number }

/** Lets a group of clients loose on an address, and reports what the process used meanwhile at most. */
export async function runClientGroup (group: ClientGroup, host: string, port: number, pid: number): Promise<AttackResult> {
  const probe = createProcessProbe(pid)
  const sockets = new Set<Socket>()
  const deadline = performance.now() + ATTACK_MS
  const isOver = (): boolean => performance.now() > deadline

  const runClient = async (number: number): Promise<void> => {
    for (let opened = 0; opened < group.connectionsPerClient && !isOver(); opened++) {
      const socket = connect({ host, port, noDelay: true })
      sockets.add(socket)
      socket.on('error', () => {})
      socket.resume()
      const closed = new Promise<void>((resolve) => socket.once('close', () => resolve()))
      const parts = number % COMPLETE_EVERY === 0 ? [...group.parts, group.end] : group.parts
      for (const part of parts) {
        if (socket.destroyed) break
        await Promise.race([closed, new Promise((resolve) => socket.write(part, resolve))])
      }
      await closed
      sockets.delete(socket)
    }
  }

  const clients: Array<Promise<void>> = []
  for (let number = 0; number < group.clients; number++) {
    clients.push(runClient(number))
    if (number % 10 === 9) await sleep(OPEN_INTERVAL_MS)
  }
  const finished = Promise.all(clients)
  const closing = setTimeout(() => sockets.forEach((socket) => socket.destroy()), Math.max(0, deadline - performance.now()))
  await finished
  clearTimeout(closing)
  await sleep(500)
  return probe.stop()
}

export function sleep (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
