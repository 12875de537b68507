import { Err, Ok, type Clock, type Network, type NetworkFailure, type Random, type RequestHandler, type Result } from '../common/index.js'

export interface LinkFaults {
  /** Probability that a request or a reply is lost. */
  loss: number
  /** Probability that a request is delivered a second time, later. */
  duplication: number
  /** Longest additional delay of a message, ms. Random delays reorder messages. */
  maxDelayMs: number
}

/** An in-memory network with faults, between entry hosts and workers that are identified by name. */
export interface SimpleNetwork {
  join (name: string): Network
  /** Cuts the link in this direction only. */
  cut (from: string, to: string): void
  heal (from: string, to: string): void
  healAll (): void
  setFaults (faults: LinkFaults): void
  /** While a host or worker is down, all messages to and from it are lost. */
  setDown (name: string, down: boolean): void
  isCut (from: string, to: string): boolean
  /** Transmits one request and its reply; `serve` runs at the receiver. */
  carry<T> (from: string, to: string, deadline: number, serve: () => Promise<T>): Promise<Result<T, NetworkFailure>>
  /** Total length of the bodies as JSON, by sender. */
  bytes: Map<string, number>
}

const LINK_DELAY_MS = 1

export function createSimpleNetwork (clock: Clock, random: Random): SimpleNetwork {
  const cuts = new Set<string>()
  const down = new Set<string>()
  const handlers = new Map<string, RequestHandler>()
  const bytes = new Map<string, number>()
  let faults: LinkFaults = { loss: 0, duplication: 0, maxDelayMs: 0 }

  const isCut = (from: string, to: string): boolean => cuts.has(`${from}>${to}`)
  const isLost = (from: string, to: string): boolean =>
    isCut(from, to) || down.has(from) || down.has(to) || (faults.loss > 0 && random.next() < faults.loss)
  const chooseDelay = (): number => LINK_DELAY_MS + (faults.maxDelayMs > 0 ? random.below(faults.maxDelayMs) : 0)
  const addBytes = (from: string, body: unknown): void => {
    bytes.set(from, (bytes.get(from) ?? 0) + (JSON.stringify(body)?.length ?? 0))
  }

  const deliver = async <T>(from: string, to: string, serve: () => Promise<T>): Promise<Result<T, NetworkFailure> | undefined> => {
    if (isLost(from, to)) return undefined
    await clock.sleep(chooseDelay())
    if (down.has(to)) return undefined
    const reply = await serve().then(
      (value): Result<T, NetworkFailure> => Ok(value),
      (cause: unknown): Result<T, NetworkFailure> => Err({ kind: 'remote-failure', to, message: String(cause) })
    )
    if (isLost(to, from)) return undefined
    await clock.sleep(chooseDelay())
    return reply
  }

  const carry = async <T>(from: string, to: string, deadline: number, serve: () => Promise<T>): Promise<Result<T, NetworkFailure>> => {
    if (faults.duplication > 0 && random.next() < faults.duplication) {
      // The duplicate is served later, and its answer is ignored.
      clock.sleep(chooseDelay() * 3).then(() => isLost(from, to) ? undefined : serve()).catch(() => undefined)
    }
    const expiry = new AbortController()
    const timeout = clock.sleep(Math.max(0, deadline - clock.now()), expiry.signal).then(() => undefined)
    const reply = await Promise.race([deliver(from, to, serve).then((value) => value ?? timeout), timeout])
    expiry.abort('done')
    return reply ?? Err({ kind: 'deadline-exceeded', to, message: 'no answer in time' })
  }

  return {
    bytes,
    isCut,
    carry,
    cut: (from, to) => { cuts.add(`${from}>${to}`) },
    heal: (from, to) => { cuts.delete(`${from}>${to}`) },
    healAll: () => cuts.clear(),
    setFaults: (next) => { faults = next },
    setDown: (name, value) => {
      if (value) down.add(name)
      else down.delete(name)
    },
    join: (self) => ({
      self,
      handle: (kind, handler) => { handlers.set(`${self} ${kind}`, handler) },
      request: (to, kind, body, deadline) => carry(self, to, deadline, async () => {
        const handler = handlers.get(`${to} ${kind}`)
        if (handler === undefined) throw new Error(`${to} does not handle ${kind}`)
        addBytes(self, body)
        const reply = await handler(self, structuredClone(body))
        addBytes(to, reply)
        return structuredClone(reply)
      })
    })
  }
}
