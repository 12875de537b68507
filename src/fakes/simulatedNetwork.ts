import { Err, Ok, type Clock, type Network, type NetworkFailure, type Random, type RequestHandler, type Result } from '../common/index.js'
import type { SimulatedProcess } from './simulatedProcess.js'

/** An in-memory network with one-way cuts and random delays, which also reorder messages. */
export interface SimulatedNetwork {
  /** Connects a process; replaces the endpoint of an earlier process of the same host. */
  createEndpoint (process: SimulatedProcess): Network
  /** Cuts or restores the link in this direction only. */
  setLink (from: string, to: string, up: boolean): void
  restoreLinks (): void
  isLinked (from: string, to: string): boolean
  /** Draws the delay of a message, in ms of the base clock. */
  chooseDelay (): number
  setMaxDelay (ms: number): void
}

export function createSimulatedNetwork (base: Clock, random: Random, initialMaxDelayMs: number): SimulatedNetwork {
  let maxDelayMs = initialMaxDelayMs
  const cuts = new Set<string>()
  const endpoints = new Map<string, { process: SimulatedProcess, handlers: Map<string, RequestHandler> }>()
  const isLinked = (from: string, to: string): boolean => from === to || !cuts.has(`${from} ${to}`)
  const chooseDelay = (): number => 1 + random.below(maxDelayMs)

  /** Resolves with true after the delivery, or with false if the link was cut; the sender isn't told of a loss. */
  const deliver = async (from: string, to: string): Promise<boolean> => {
    if (!isLinked(from, to)) return false
    await base.sleep(chooseDelay())
    return isLinked(from, to)
  }

  const exchange = async (sender: SimulatedProcess, to: string, kind: string, body: unknown): Promise<Result<unknown, NetworkFailure> | undefined> => {
    if (!await deliver(sender.host, to)) return undefined
    const target = endpoints.get(to)
    if (target === undefined) return undefined
    await target.process.waitUntilRunning()
    const handler = target.handlers.get(kind)
    if (handler === undefined) return undefined
    // Bodies are copied, as encoding and decoding would do, so that hosts share no objects.
    const reply = structuredClone(await handler(sender.host, structuredClone(body)))
    if (!await deliver(to, sender.host)) return undefined
    await sender.waitUntilRunning()
    return Ok(reply)
  }

  const createEndpoint = (process: SimulatedProcess): Network => {
    const handlers = new Map<string, RequestHandler>()
    endpoints.set(process.host, { process, handlers })
    const request = async (to: string, kind: string, body: unknown, deadline: number): Promise<Result<unknown, NetworkFailure>> => {
      const failure = (async () => {
        await process.clock.sleep(deadline - process.clock.now())
        return Err({ kind: 'deadline-exceeded', to, message: 'no reply in time' } as const)
      })()
      const reply = exchange(process, to, kind, body).then((result) => result ?? failure)
      return await Promise.race([reply, failure])
    }
    return { self: process.host, request, handle: (kind, handler) => { handlers.set(kind, handler) } }
  }

  return {
    createEndpoint,
    setLink: (from, to, up) => { if (up) cuts.delete(`${from} ${to}`); else cuts.add(`${from} ${to}`) },
    restoreLinks: () => cuts.clear(),
    isLinked,
    chooseDelay,
    setMaxDelay: (ms) => { maxDelayMs = ms }
  }
}
