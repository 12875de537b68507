/** Maximum delay of `setTimeout`, about 24 days; Node.js fires a timer with a longer delay at once. */
const MAX_TIMEOUT_MS = 2 ** 31 - 1

/** Source of time for all other code: a monotonic clock for deadlines and a wall clock for display only. */
export interface Clock {
  /** Monotonic milliseconds. */
  now (): number
  /** Milliseconds since 1970. This clock may jump, so no decision depends on it. */
  wall (): number
  /** Resolves once `now` has advanced by `ms`, never sooner, or as soon as `signal` is aborted. */
  sleep (ms: number, signal?: AbortSignal): Promise<void>
}

export interface ManualClock extends Clock {
  /** Advances the clock step by step and wakes each sleeper at its deadline, in order of the deadlines. */
  advance (ms: number): Promise<void>
  /** Shifts the wall clock; the monotonic clock stays as it is. */
  setWallOffset (ms: number): void
}

interface Sleeper {
  deadline: number
  order: number
  wake: () => void
}

export function createSystemClock (): Clock {
  return {
    now: () => performance.now(),
    wall: () => Date.now(),
    sleep: (ms, signal) => new Promise((resolve) => {
      if (signal?.aborted) return resolve()
      const until = performance.now() + ms
      const finish = (): void => {
        clearTimeout(timer)
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      const startTimer = (): NodeJS.Timeout => setTimeout(handleTimeout, Math.min(Math.ceil(until - performance.now()), MAX_TIMEOUT_MS))
      // Node.js counts timers in whole milliseconds, so one may fire before its time; a deadline would then not have passed yet.
      const handleTimeout = (): void => {
        if (performance.now() < until) timer = startTimer()
        else finish()
      }
      let timer = startTimer()
      signal?.addEventListener('abort', finish, { once: true })
    })
  }
}

export function createManualClock (start = 0): ManualClock {
  let now = start
  let order = 0
  let wallOffset = 0
  const sleepers = new Set<Sleeper>()

  const sleep = (ms: number, signal?: AbortSignal): Promise<void> => new Promise((resolve) => {
    if (signal?.aborted) return resolve()
    const sleeper: Sleeper = {
      deadline: now + Math.max(0, ms),
      order: order++,
      wake: () => {
        sleepers.delete(sleeper)
        signal?.removeEventListener('abort', sleeper.wake)
        resolve()
      }
    }
    sleepers.add(sleeper)
    signal?.addEventListener('abort', sleeper.wake, { once: true })
  })

  const advance = async (ms: number): Promise<void> => {
    const end = now + ms
    await waitForMicrotasks()
    for (let next = findNext(sleepers, end); next !== undefined; next = findNext(sleepers, end)) {
      now = Math.max(now, next.deadline)
      next.wake()
      await waitForMicrotasks()
    }
    now = end
  }

  return {
    now: () => now,
    wall: () => now + wallOffset,
    sleep,
    advance,
    setWallOffset: (ms) => { wallOffset = ms }
  }
}

function findNext (sleepers: Set<Sleeper>, end: number): Sleeper | undefined {
  return [...sleepers]
    .filter((sleeper) => sleeper.deadline <= end)
    .reduce<Sleeper | undefined>((first, sleeper) =>
      first === undefined || sleeper.deadline < first.deadline ||
      (sleeper.deadline === first.deadline && sleeper.order < first.order)
        ? sleeper
        : first, undefined)
}

/** Waits until the continuations of all resolved promises have run, also along chains of promises. */
function waitForMicrotasks (): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve))
}
