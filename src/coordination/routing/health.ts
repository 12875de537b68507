import type { Clock } from '../../common/index.js'

const SMOOTHING = 0.2
const MIN_SAMPLES = 5
const SLOW_RATIO = 3
const CONSECUTIVE_FAILURES = 3
const FAILURE_RATE = 0.5
/** At most this part of a service's executors is ejected at a time, so that ejection never causes an overload by itself. */
const EJECTED_SHARE = 0.3
const FIRST_EJECTION_MS = 1000
const LONGEST_EJECTION_MS = 30_000
const FORGET_MS = 60_000
const START_LATENCY_MS = 1
const ESTIMATE_SMOOTHING = 0.05
/**
 * An older estimate is not used. Requests are refused by the estimate, so a wrong one, for example after this host
 * was frozen, would otherwise keep out the very requests that correct it.
 */
const ESTIMATE_VALID_MS = 1000

interface Record {
  service: string
  latencyMs: number
  samples: number
  consecutiveFailures: number
  failureRate: number
  ejections: number
  lastAttemptAt: number
  /** While ejected: no requests before this time. */
  ejectedUntil: number
  /** Concurrent requests allowed after an ejection; Infinity when fully reinstated. */
  allowance: number
}

export type AttemptResult = 'success' | 'failure'

/** Judges executors by what this host measures itself. */
export interface HealthTable {
  recordAttempt (executor: string, service: string, result: AttemptResult, latencyMs: number): void
  /** Concurrent requests that the executor may be given by this host now. */
  getAllowance (executor: string): number
  getLatency (executor: string): number
  /** Expected time of one request of the service, ms: mean and a high estimate; 0 when nothing was measured lately. */
  estimateService (service: string): { meanMs: number, highMs: number }
  setPopulation (service: string, executors: number): void
  listEjected (service: string): string[]
  /** Forgets executors that have not been used for longer than the longest ejection. */
  prune (): void
}

export function createHealthTable (clock: Clock, reportEjection: (executor: string, service: string, reason: string) => void): HealthTable {
  const records = new Map<string, Record>()
  const populations = new Map<string, number>()
  const services = new Map<string, { meanMs: number, deviationMs: number, measuredAt: number }>()

  const getRecord = (executor: string, service: string): Record => {
    const known = records.get(executor)
    if (known !== undefined) return known
    const created: Record = { service, latencyMs: 0, samples: 0, consecutiveFailures: 0, failureRate: 0, ejections: 0, lastAttemptAt: clock.now(), ejectedUntil: -Infinity, allowance: Infinity }
    records.set(executor, created)
    return created
  }

  const listOf = (service: string): Array<[string, Record]> => [...records].filter(([, record]) => record.service === service)

  const isEjected = (record: Record): boolean => record.ejectedUntil > clock.now()

  const computeMedian = (service: string, except: string): number | undefined => {
    const values = listOf(service)
      .filter(([id, record]) => id !== except && record.samples >= MIN_SAMPLES && record.allowance === Infinity)
      .map(([, record]) => record.latencyMs)
      .sort((a, b) => a - b)
    return values.length < 2 ? undefined : values[Math.floor(values.length / 2)]
  }

  const findFault = (executor: string, record: Record): string | undefined => {
    if (record.consecutiveFailures >= CONSECUTIVE_FAILURES) return 'consecutive failures'
    if (record.samples >= MIN_SAMPLES && record.failureRate > FAILURE_RATE) return 'failure rate'
    const median = computeMedian(record.service, executor)
    // During the gradual return the latest attempts decide, since the average still remembers the slow time.
    const enough = record.samples >= MIN_SAMPLES || record.allowance !== Infinity
    return enough && median !== undefined && record.latencyMs > SLOW_RATIO * median ? 'slow' : undefined
  }

  const eject = (executor: string, record: Record, reason: string): void => {
    const population = Math.max(populations.get(record.service) ?? 0, listOf(record.service).length)
    const limit = population < 2 ? 0 : Math.max(1, Math.floor(population * EJECTED_SHARE))
    const impaired = listOf(record.service).filter(([id, other]) => id !== executor && other.allowance !== Infinity).length
    if (impaired >= limit) return
    record.ejections += 1
    record.ejectedUntil = clock.now() + Math.min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS * 2 ** (record.ejections - 1))
    record.allowance = 1
    record.samples = 0
    record.failureRate = 0
    record.consecutiveFailures = 0
    reportEjection(executor, record.service, reason)
  }

  const recordService = (service: string, latencyMs: number): void => {
    const known = services.get(service)
    if (known === undefined || known.measuredAt + ESTIMATE_VALID_MS < clock.now()) {
      services.set(service, { meanMs: latencyMs, deviationMs: latencyMs / 2, measuredAt: clock.now() })
      return
    }
    known.measuredAt = clock.now()
    known.deviationMs += ESTIMATE_SMOOTHING * (Math.abs(latencyMs - known.meanMs) - known.deviationMs)
    known.meanMs += ESTIMATE_SMOOTHING * (latencyMs - known.meanMs)
  }

  const recordAttempt: HealthTable['recordAttempt'] = (executor, service, result, latencyMs) => {
    const record = getRecord(executor, service)
    const failed = result === 'failure'
    record.latencyMs = record.samples === 0 ? latencyMs : record.latencyMs + SMOOTHING * (latencyMs - record.latencyMs)
    record.samples += 1
    record.lastAttemptAt = clock.now()
    record.failureRate += SMOOTHING * ((failed ? 1 : 0) - record.failureRate)
    record.consecutiveFailures = failed ? record.consecutiveFailures + 1 : 0
    if (!failed) recordService(service, latencyMs)
    if (isEjected(record)) return
    const fault = failed && record.allowance !== Infinity ? 'failure after return' : findFault(executor, record)
    if (fault !== undefined) eject(executor, record, fault)
    else if (!failed && record.allowance !== Infinity) reinstate(record)
  }

  const reinstate = (record: Record): void => {
    record.allowance *= 2
    if (record.allowance < 16) return
    record.allowance = Infinity
    record.ejections = 0
  }

  return {
    recordAttempt,
    getAllowance: (executor) => {
      const record = records.get(executor)
      if (record === undefined) return Infinity
      return isEjected(record) ? 0 : record.allowance
    },
    getLatency: (executor) => {
      const record = records.get(executor)
      return record === undefined || record.samples === 0 ? START_LATENCY_MS : record.latencyMs
    },
    estimateService: (service) => {
      const known = services.get(service)
      return known === undefined || known.measuredAt + ESTIMATE_VALID_MS < clock.now()
        ? { meanMs: 0, highMs: 0 }
        : { meanMs: known.meanMs, highMs: known.meanMs + 2 * known.deviationMs }
    },
    setPopulation: (service, executors) => { populations.set(service, executors) },
    listEjected: (service) => listOf(service).filter(([, record]) => isEjected(record)).map(([id]) => id),
    prune: () => {
      const oldest = clock.now() - FORGET_MS
      for (const [executor, record] of records) {
        if (record.lastAttemptAt < oldest) records.delete(executor)
      }
    }
  }
}
