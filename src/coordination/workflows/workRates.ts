import type { Queue } from '../../state/index.js'
import type { MeasuredRates, WorkKind } from './roomForecast.js'

const BUCKET_MS = 500
/** Work of a kind has to wait for capacity this long before its rate is used; several times a run of the reference loads. */
const WINDOW_BUCKETS = 10
/** The mean rate of this time is used. It covers two periods of the oscillation of the service loads. */
const KEPT_BUCKETS = 50

interface Bucket { number: number, completed: number, /** By queue. */ accepted: Map<string, { priority: number, coreMs: number }>, /** Work of the kind waited for capacity whenever that was checked. */ isLimited: boolean, isChecked: boolean }

type AcceptingQueue = Pick<Queue, 'name' | 'service' | 'priority'>

/** Rates at which the work of each pool is accepted and completed, by kind; learned again by each leader. */
export interface WorkRates {
  recordCompleted (service: string, kind: WorkKind, coreMs: number, now: number): void
  recordAccepted (queue: AcceptingQueue, kind: WorkKind, coreMs: number, now: number): void
  /** Records whether work of the kind waits for capacity now. */
  recordWaiting (service: string, kind: WorkKind, isWaiting: boolean, now: number): void
  /** Undefined until work of the kind has waited for capacity long enough. Accepted work counts from this priority and more urgent ones. */
  get (queue: AcceptingQueue, kind: WorkKind, now: number): MeasuredRates | undefined
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
    recordAccepted: ({ name, service, priority }, kind, coreMs, now) => {
      const { accepted } = getBucket(service, kind, now)
      accepted.set(name, { priority, coreMs: (accepted.get(name)?.coreMs ?? 0) + coreMs })
    },
    recordWaiting: (service, kind, isWaiting, now) => {
      const bucket = getBucket(service, kind, now)
      bucket.isLimited &&= isWaiting
      bucket.isChecked = true
    },
    get: ({ name, service, priority }, kind, now) => {
      const current = Math.floor(now / BUCKET_MS)
      // The current bucket is not complete.
      const complete = (buckets.get(`${kind} ${service}`) ?? []).filter(({ number }) => number < current)
      const byNumber = new Map(complete.map((bucket) => [bucket.number, bucket]))
      const listWindow = (last: number): Bucket[] => Array.from({ length: WINDOW_BUCKETS }, (_, index) => byNumber.get(last - index)).flatMap((bucket) => bucket ?? [])
      const windows = complete.map(({ number }) => listWindow(number)).filter((window) => window.length === WINDOW_BUCKETS && window.every(({ isLimited, isChecked }) => isLimited && isChecked))
      if (windows.length === 0) return undefined
      const windowMs = WINDOW_BUCKETS * BUCKET_MS
      // The best of these windows would be too high by a quarter, as few runs end in each.
      const limited = new Set(windows.flat())
      const drain = [...limited].reduce((sum, { completed }) => sum + completed, 0) / (limited.size * BUCKET_MS)
      const accepted = listWindow(current - 1).flatMap((bucket) => [...bucket.accepted])
      const measureArrival = (isCounted: (queue: string, priority: number) => boolean): number =>
        accepted.filter(([queue, work]) => isCounted(queue, work.priority)).reduce((sum, [, { coreMs }]) => sum + coreMs, 0) / windowMs
      return { drain, arrival: measureArrival((_queue, other) => other <= priority), queueArrival: measureArrival((queue) => queue === name) }
    }
  }
}
