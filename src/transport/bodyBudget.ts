/**
 * Byte budget for request bodies that a process holds: bodies that still arrive, and requests that have not been answered.
 * Load: every client of a listening address, also hostile ones. Decides only; the caller closes what is to be dropped.
 */

/** Time constant of the recent rate of a body. */
const RATE_TIME_MS = 1000
/** When the budget is exhausted, bodies are dropped until this share is in use, so that the bodies are not sorted for each chunk. */
const DROP_TO_SHARE = 0.9

/** Slowest progress that a body may make, measured over `SLOW_WINDOW_MS`. 100 callers that share 2 Mbit/s get 2,500 bytes/s each. */
export const MIN_BODY_BYTES_PER_SECOND = 2000
export const SLOW_WINDOW_MS = 5000

/** One request of which bytes are held. */
export interface HeldBody {
  /** Bytes that it is charged, at their cost in memory. */
  chargedBytes: number
  /** Bytes received of late; decays with `RATE_TIME_MS`. */
  recentBytes: number
  updatedAt: number
  /** Bytes received since `windowStartedAt`. */
  windowBytes: number
  windowStartedAt: number
  /** A request that has arrived whole may be running, so it is never dropped. */
  isComplete: boolean
}

export interface BodyBudget {
  /** Starts to account for a request. */
  open (now: number): HeldBody
  /** Records that bytes of a body have arrived, whether or not they cost memory. */
  recordProgress (body: HeldBody, bytes: number, now: number): void
  /** Charges bytes; returns the bodies to drop, which may include `body` itself, and of which nothing is charged any more. */
  charge (body: HeldBody, bytes: number, now: number): HeldBody[]
  /** Marks a request as arrived whole. */
  confirmComplete (body: HeldBody): void
  /** Ends the account of a request; may be called repeatedly. */
  release (body: HeldBody): void
  /** Bodies that did not reach the minimum rate in the last `SLOW_WINDOW_MS`. To be called several times in that time. */
  listSlow (now: number): HeldBody[]
  getBytes (): number
}

export function createBodyBudget (maxBytes: number): BodyBudget {
  const bodies = new Set<HeldBody>()
  let usedBytes = 0

  const release = (body: HeldBody): void => {
    if (!bodies.delete(body)) return
    usedBytes -= body.chargedBytes
  }

  const dropOthers = (now: number): HeldBody[] => {
    const dropped: HeldBody[] = []
    const candidates = [...bodies].filter(({ isComplete }) => !isComplete).sort((a, b) => compareProgress(a, b, now))
    candidates.every((candidate) => {
      if (usedBytes <= maxBytes * DROP_TO_SHARE) return false
      release(candidate)
      dropped.push(candidate)
      return true
    })
    return dropped
  }

  return {
    open: (now) => {
      const body: HeldBody = { chargedBytes: 0, recentBytes: 0, updatedAt: now, windowBytes: 0, windowStartedAt: now, isComplete: false }
      bodies.add(body)
      return body
    },
    recordProgress: (body, bytes, now) => {
      body.recentBytes = computeRecentBytes(body, now) + bytes
      body.updatedAt = now
      body.windowBytes += bytes
    },
    charge: (body, bytes, now) => {
      if (!bodies.has(body)) return [body]
      body.chargedBytes += bytes
      usedBytes += bytes
      if (usedBytes <= maxBytes) return []
      const dropped = dropOthers(now)
      if (usedBytes <= maxBytes) return dropped
      release(body)
      return [...dropped, body]
    },
    confirmComplete: (body) => { body.isComplete = true },
    release,
    listSlow: (now) => [...bodies].filter((body) => {
      if (body.isComplete || now - body.windowStartedAt < SLOW_WINDOW_MS) return false
      const isSlow = body.windowBytes < MIN_BODY_BYTES_PER_SECOND * (now - body.windowStartedAt) / 1000
      Object.assign(body, { windowBytes: 0, windowStartedAt: now })
      return isSlow
    }),
    getBytes: () => usedBytes
  }
}

/** Bytes of a body that arrived within about the last second. */
export function computeRecentBytes ({ recentBytes, updatedAt }: HeldBody, now: number): number {
  return recentBytes * Math.exp((updatedAt - now) / RATE_TIME_MS)
}

/**
 * Orders bodies by what arrived of late in proportion to what they hold, least first; of equal ones the larger first. A small
 * request that has just arrived is the last to be dropped, and a body that stopped short of its end is the first.
 */
export function compareProgress (a: HeldBody, b: HeldBody, now: number): number {
  const computeProgress = (body: HeldBody): number => Math.min(1, computeRecentBytes(body, now) / Math.max(1, body.chargedBytes))
  return computeProgress(a) - computeProgress(b) || b.chargedBytes - a.chargedBytes
}
