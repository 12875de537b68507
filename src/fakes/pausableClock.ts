import type { Clock, Network } from '../common/index.js'
import type { WorkerClient } from '../coordination/tasks/index.js'

/** The clock of one process: it may run at another rate, and while the process is paused nothing in it continues. */
export interface PausableClock extends Clock {
  setPaused (paused: boolean): void
  guard (network: Network): Network
  guardClient (client: WorkerClient): WorkerClient
}

export function createPausableClock (base: Clock, rate = 1): PausableClock {
  let waiting: Array<() => void> | undefined

  const waitWhilePaused = async <T>(promise: Promise<T>): Promise<T> => {
    const value = await promise
    if (waiting !== undefined) await new Promise<void>((resolve) => { waiting?.push(resolve) })
    return value
  }

  const setPaused = (paused: boolean): void => {
    const held = waiting ?? []
    waiting = paused ? held : undefined
    if (!paused) held.forEach((resume) => resume())
  }

  return {
    now: () => base.now() * rate,
    wall: () => base.wall(),
    sleep: (ms, signal) => waitWhilePaused(base.sleep(ms / rate, signal)),
    setPaused,
    guard: (network) => ({
      self: network.self,
      handle: network.handle,
      request: (to, kind, body, deadline) => waitWhilePaused(network.request(to, kind, body, deadline / rate))
    }),
    guardClient: (client) => ({
      exchange: (url, request, deadline) => waitWhilePaused(client.exchange(url, request, deadline / rate))
    })
  }
}
