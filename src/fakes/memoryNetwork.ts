import { Packr } from 'msgpackr'
import { Err, Ok, type Clock, type Network, type NetworkFailure, type Random, type RequestHandler, type Result } from '../common/index.js'
import type { HostProcess } from './hostProcess.js'

const packr = new Packr({ useRecords: false })
const NO_TRAFFIC: HostTraffic = { messages: 0, bytes: 0, largestBytes: 0 }

/** Faults of the messages in one direction of a link. Probabilities are between 0 and 1. */
export interface LinkFaults {
  minDelayMs: number
  maxDelayMs: number
  /** Probability that a message is lost. */
  loss: number
  /** Probability that a request is delivered twice. */
  duplication: number
  /** `refused`: requests fail at once and are not sent. `silent`: messages are lost, and the sender waits until its deadline. */
  cut: 'none' | 'refused' | 'silent'
}

export interface HostTraffic { messages: number, bytes: number, largestBytes: number }

/** A network between simulated hosts. Random delays reorder messages. */
export interface MemoryNetwork {
  /** Connects a process under a host name; replaces the earlier process of that name. */
  connect (host: string, process: HostProcess): Network
  disconnect (host: string): void
  /** Changes the faults of messages from one host to another, in this direction only. */
  setFaults (from: string, to: string, faults: Partial<LinkFaults>): void
  /** Changes the faults of all links, including links that are used for the first time later. */
  setAllFaults (faults: Partial<LinkFaults>): void
  /** Messages that a host has sent and received since the start. */
  getTraffic (host: string): HostTraffic
}

interface Attachment { process: HostProcess, handlers: Map<string, RequestHandler> }
type Reply = { ok: true, bytes: Uint8Array } | { ok: false, message: string }

export interface MemoryNetworkOptions { clock: Clock, random: Random, delayMs?: number }

export function createMemoryNetwork (options: MemoryNetworkOptions): MemoryNetwork {
  const { clock, random, delayMs = 1 } = options
  let defaults: LinkFaults = { minDelayMs: delayMs, maxDelayMs: delayMs, loss: 0, duplication: 0, cut: 'none' }
  const links = new Map<string, LinkFaults>()
  const attachments = new Map<string, Attachment>()
  const traffic = new Map<string, HostTraffic>()

  const getFaults = (from: string, to: string): LinkFaults => links.get(`${from}>${to}`) ?? defaults

  const recordTraffic = (host: string, bytes: number): void => {
    const total = traffic.get(host) ?? NO_TRAFFIC
    traffic.set(host, { messages: total.messages + 1, bytes: total.bytes + bytes, largestBytes: Math.max(total.largestBytes, bytes) })
  }

  /** Transmits one message; resolves with false if it is lost. */
  const carry = async (from: string, to: string, bytes: number): Promise<boolean> => {
    recordTraffic(from, bytes)
    const faults = getFaults(from, to)
    const isLost = faults.cut !== 'none' || random.next() < faults.loss
    const delay = faults.minDelayMs + random.next() * (faults.maxDelayMs - faults.minDelayMs)
    await clock.sleep(delay)
    if (isLost || getFaults(from, to).cut !== 'none') return false
    recordTraffic(to, bytes)
    return true
  }

  const deliver = async (from: string, to: string, kind: string, bytes: Uint8Array): Promise<Reply | undefined> => {
    if (!await carry(from, to, bytes.length + kind.length)) return undefined
    const target = attachments.get(to)
    if (target === undefined) return undefined
    await target.process.waitUntilRunning()
    const handler = target.handlers.get(kind)
    const reply = await runHandler(handler, from, bytes)
    if (!target.process.isAlive()) return undefined
    await target.process.waitUntilRunning()
    return await carry(to, from, reply.ok ? reply.bytes.length : reply.message.length) ? reply : undefined
  }

  const request = async (
    from: string, process: HostProcess, to: string, kind: string, body: unknown, remainingMs: number
  ): Promise<Result<unknown, NetworkFailure>> => {
    if (!process.isAlive()) return new Promise(() => {})
    const faults = getFaults(from, to)
    if (faults.cut === 'refused' || !attachments.has(to)) return Err({ kind: 'unreachable', to, message: 'connection refused' })
    if (remainingMs <= 0) return Err({ kind: 'unreachable', to, message: 'the deadline has passed' })
    const bytes = packr.pack(body)
    const timer = new AbortController()
    const reply = await new Promise<Reply | undefined>((resolve) => {
      const finish = (value: Reply | undefined): void => { if (value !== undefined) resolve(value) }
      deliver(from, to, kind, bytes).then(finish)
      if (random.next() < faults.duplication) deliver(from, to, kind, bytes).then(finish)
      clock.sleep(remainingMs, timer.signal).then(() => resolve(undefined))
    })
    timer.abort()
    await process.waitUntilRunning()
    if (reply === undefined) return Err({ kind: 'deadline-exceeded', to, message: 'no answer before the deadline' })
    return reply.ok ? Ok(packr.unpack(reply.bytes)) : Err({ kind: 'remote-failure', to, message: reply.message })
  }

  return {
    connect: (host, process) => {
      const handlers = new Map<string, RequestHandler>()
      attachments.set(host, { process, handlers })
      return {
        self: host,
        request: (to, kind, body, deadline) => request(host, process, to, kind, body, deadline - process.clock.now()),
        handle: (kind, handler) => { handlers.set(kind, handler) }
      }
    },
    disconnect: (host) => { attachments.delete(host) },
    setFaults: (from, to, faults) => { links.set(`${from}>${to}`, { ...getFaults(from, to), ...faults }) },
    setAllFaults: (faults) => {
      defaults = { ...defaults, ...faults }
      links.forEach((link, key) => links.set(key, { ...link, ...faults }))
    },
    getTraffic: (host) => traffic.get(host) ?? NO_TRAFFIC
  }
}

async function runHandler (handler: RequestHandler | undefined, from: string, bytes: Uint8Array): Promise<Reply> {
  if (handler === undefined) return { ok: false, message: 'no handler' }
  try {
    return { ok: true, bytes: packr.pack(await handler(from, packr.unpack(bytes))) }
  } catch (error) {
    return { ok: false, message: error instanceof Error ? error.message : String(error) }
  }
}
