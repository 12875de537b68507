import type { Clock } from '../common/index.js'

/** A simulated process with its own clock rate, which can be frozen as by SIGSTOP. */
export interface SimulatedProcess {
  readonly host: string
  readonly clock: Clock
  isRunning (): boolean
  freeze (): void
  thaw (): void
  /** Ends the process: its pending sleeps and messages never complete. */
  crash (): void
  isCrashed (): boolean
  /** Resolves when the process runs; timers and messages of a frozen process wait for it. */
  waitUntilRunning (): Promise<void>
}

/** `rate` is the speed of the process's clock relative to `base`; `offset` is its value at the start. */
export function createSimulatedProcess (host: string, base: Clock, rate: number, offset: number): SimulatedProcess {
  const origin = base.now()
  let running = true
  let crashed = false
  let waiters: Array<() => void> = []

  const waitUntilRunning = (): Promise<void> => running
    ? Promise.resolve()
    : new Promise((resolve) => { waiters.push(resolve) })

  const clock: Clock = {
    now: () => offset + (base.now() - origin) * rate,
    wall: () => base.wall(),
    sleep: async (ms, signal) => {
      await base.sleep(ms / rate, signal)
      await waitUntilRunning()
    }
  }

  return {
    host,
    clock,
    isRunning: () => running,
    freeze: () => { running = false },
    thaw: () => {
      if (crashed) return
      running = true
      const ready = waiters
      waiters = []
      ready.forEach((resolve) => resolve())
    },
    crash: () => {
      running = false
      crashed = true
      waiters = []
    },
    isCrashed: () => crashed,
    waitUntilRunning
  }
}
