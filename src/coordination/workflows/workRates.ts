import type { MeasuredRates, WorkKind } from './roomForecast.js'

const BUCKET_MS = 500
/** Work of a kind has to wait for capacity this long before its rate is used; several times a run of the reference loads. */
const WINDOW_BUCKETS = 10
/** The best rate of this time is used. It covers two periods of the oscillation of the service loads. */
const KEPT_BUCKETS = 50

interface Bucket { number: number, completed: number, /** By priority. */ accepted: Map<number, number>, /** Work of the kind waited for capacity whenever that was checked. */ isLimited: boolean, isChecked: boolean }

/** Rates at which the work of each pool is accepted and completed, by kind; learned again by each leader. */
export interface WorkRates {
  recordCompleted (service: string, kind: WorkKind, coreMs: number, now: number): void
  recordAccepted (service: string, kind: WorkKind, priority: number, coreMs: number, now: number): void
  /** Records whether work of the kind waits for capacity now. */
  recordWaiting (service: string, kind: WorkKind, isWaiting: boolean, now: number): void
  /** Undefined until work of the kind has waited for capacity long enough. Accepted work counts from this priority and more urgent ones. */
  get (service: string, kind: WorkKind, priority: number, now: number): MeasuredRates | undefined
}

/**
 * Measures the capacity of a pool for one kind of work by what it completes while more of that work waits. Handles loads in
 * which the usable cores are not known in advance, for example cores that services leave idle.
 */
export function createWorkRates (): WorkRates {
  const buckets = new Map<string, Bucket[]>()

  const getBucket = (service: string, kind: WorkKind, now: number): Bucket => {
    const key = `${kind} ${service}`
    const known = buckets.get(key) ?? []
    const number = Math.floor(now / BUCKET_MS)
    const last = known.at(-1)
    if (last !== undefined && last.number >= number) return last
    const created: Bucket = { number, completed: 0, accepted: new Map(), isLimited: true, isChecked: false }
    known.push(created)
    buckets.set(key, known.filter((bucket) => bucket.number > number - KEPT_BUCKETS))
    return created
  }

  return {
    recordCompleted: (service, kind, coreMs, now) => { getBucket(service, kind, now).completed += coreMs },
    recordAccepted: (service, kind, priority, coreMs, now) => {
      const { accepted } = getBucket(service, kind, now)
      accepted.set(priority, (accepted.get(priority) ?? 0) + coreMs)
    },
    recordWaiting: (service, kind, isWaiting, now) => {
      const bucket = getBucket(service, kind, now)
      bucket.isLimited &&= isWaiting
      bucket.isChecked = true
    },
    get: (service, kind, priority, now) => {
      const current = Math.floor(now / BUCKET_MS)
      // The current bucket is not complete.
      const complete = (buckets.get(`${kind} ${service}`) ?? []).filter(({ number }) => number < current)
      const byNumber = new Map(complete.map((bucket) => [bucket.number, bucket]))
      const listWindow = (last: number): Bucket[] => Array.from({ length: WINDOW_BUCKETS }, (_, index) => byNumber.get(last - index)).flatMap((bucket) => bucket ?? [])
      const windows = complete.map(({ number }) => listWindow(number)).filter((window) => window.length === WINDOW_BUCKETS && window.every(({ isLimited, isChecked }) => isLimited && isChecked))
      if (windows.length === 0) return undefined
      const windowMs = WINDOW_BUCKETS * BUCKET_MS
      const drain = Math.max(...windows.map((window) => window.reduce((sum, { completed }) => sum + completed, 0))) / windowMs
      const arrived = listWindow(current - 1).flatMap(({ accepted }) => [...accepted]).filter(([other]) => other <= priority).reduce((sum, [, coreMs]) => sum + coreMs, 0)
      return { drain, arrival: arrived / windowMs }
    }
  }
}
