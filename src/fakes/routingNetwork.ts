import { Err, Ok, type Clock, type Network, type NetworkFailure, type Random, type RequestHandler, type Result } from '../common/index.js'

/** `refused`: requests fail at once. `silent`: messages are lost, and the sender waits until its deadline. */
export type CutKind = 'refused' | 'silent'

/** Blocks a simulated process while it is frozen, and for ever once it has crashed. */
export interface Gate {
  wait (): Promise<void>
  setFrozen (frozen: boolean): void
  crash (): void
  isCrashed (): boolean
}

export interface RoutingNetwork {
  /** Connects a process; replaces the earlier process of the same host. */
  attach (host: string, gate: Gate): Network
  setCut (a: string, b: string, cut: CutKind | undefined): void
  isCut (a: string, b: string): boolean
  /** Sets the part of the requests that are delivered twice, one of them with an additional delay. */
  setDuplicateRate (rate: number): void
}

const REPLIED = Symbol('replied')

interface Endpoint { gate: Gate, handlers: Map<string, RequestHandler> }

export function createGate (): Gate {
  let frozen = false
  let crashed = false
  let waiting: Array<() => void> = []
  return {
    wait: () => frozen || crashed ? new Promise((resolve) => { waiting.push(resolve) }) : Promise.resolve(),
    setFrozen: (value) => {
      frozen = value
      if (frozen || crashed) return
      const released = waiting
      waiting = []
      released.forEach((resolve) => resolve())
    },
    crash: () => {
      crashed = true
      waiting = []
    },
    isCrashed: () => crashed
  }
}

/** Creates the clock of a simulated process, whose sleeps end only while the gate is open. */
export function createGatedClock (clock: Clock, gate: Gate): Clock {
  return {
    now: clock.now,
    wall: clock.wall,
    sleep: async (ms, signal) => {
      await clock.sleep(ms, signal)
      await gate.wait()
    }
  }
}

/** Creates an in-memory network between entry hosts, with delays, cuts, duplicates and frozen processes. */
export function createRoutingNetwork (clock: Clock, random: Random, getDelayMs: (from: string, to: string) => number): RoutingNetwork {
  const endpoints = new Map<string, Endpoint>()
  const cuts = new Map<string, CutKind>()
  let duplicateRate = 0
  const getCut = (a: string, b: string): CutKind | undefined => cuts.get([a, b].sort().join(' '))

  // Skips the sleep for 0 ms, because a timer of the system clock takes at least 1 ms.
  const waitFor = async (ms: number): Promise<void> => { if (ms > 0) await clock.sleep(ms) }

  const deliver = async (from: string, to: string, kind: string, body: unknown, extraMs: number): Promise<Result<unknown, NetworkFailure> | undefined> => {
    await waitFor(getDelayMs(from, to) * (0.5 + random.next()) + extraMs)
    const endpoint = endpoints.get(to)
    if (endpoint === undefined || getCut(from, to) !== undefined) return undefined
    await endpoint.gate.wait()
    const handler = endpoint.handlers.get(kind)
    if (handler === undefined) return Err({ kind: 'remote-failure', to, message: `no handler for ${kind}` })
    const reply = await handler(from, structuredClone(body)).then((value) => Ok(value), (error) => Err({ kind: 'remote-failure' as const, to, message: String(error) }))
    await endpoint.gate.wait()
    await waitFor(getDelayMs(to, from) * (0.5 + random.next()))
    return getCut(from, to) === undefined ? structuredClone(reply) : undefined
  }

  const attach = (host: string, gate: Gate): Network => {
    const endpoint: Endpoint = { gate, handlers: new Map() }
    endpoints.set(host, endpoint)
    return {
      self: host,
      handle: (kind, handler) => { endpoint.handlers.set(kind, handler) },
      request: async (to, kind, body, deadline) => {
        await gate.wait()
        const peer = endpoints.get(to)
        if (peer === undefined || peer.gate.isCrashed() || getCut(host, to) === 'refused') {
          return Err({ kind: 'unreachable', to, message: 'connection refused' })
        }
        const copy = structuredClone(body)
        if (random.next() < duplicateRate) deliver(host, to, kind, copy, random.below(400))
        const controller = new AbortController()
        const timeout = clock.sleep(Math.max(0, deadline - clock.now()), controller.signal).then(() => undefined)
        const result = await Promise.race([deliver(host, to, kind, copy, 0).then((reply) => reply ?? timeout), timeout])
        controller.abort(REPLIED)
        await gate.wait()
        return result ?? Err({ kind: 'deadline-exceeded', to, message: `no reply to ${kind}` })
      }
    }
  }

  return {
    attach,
    setCut: (a, b, cut) => {
      const name = [a, b].sort().join(' ')
      if (cut === undefined) cuts.delete(name)
      else cuts.set(name, cut)
    },
    isCut: (a, b) => getCut(a, b) !== undefined,
    setDuplicateRate: (rate) => { duplicateRate = rate }
  }
}
