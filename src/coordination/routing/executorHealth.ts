import type { Clock } from '../../common/index.js'

/** Weight of the newest attempt in the moving averages of an executor's latency and failure rate. */
const EXECUTOR_SMOOTHING = 0.2
const MIN_SAMPLES = 5
/** An executor is ejected as slow when its latency exceeds this multiple of the median of the others. */
const SLOW_RATIO = 3
const CONSECUTIVE_FAILURES = 3
const MAX_FAILURE_RATE = 0.5
/** Largest part of a service's executors that is ejected at a time, so that ejections do not overload the rest. */
const MAX_EJECTED_SHARE = 0.3
const FIRST_EJECTION_MS = 1000
const LONGEST_EJECTION_MS = 30_000
const RECORD_RETENTION_MS = 60_000
const DEFAULT_LATENCY_MS = 1
const SERVICE_SMOOTHING = 0.05
/**
 * An older estimate is not used. Requests are refused when the estimate shows that they would miss their deadline, so one
 * that is too high, for example after this host was frozen, would otherwise refuse the requests that could correct it.
 */
const ESTIMATE_VALID_MS = 1000

/** Averages and ejection state of one executor. */
interface ExecutorRecord {
  service: string
  latencyMs: number
  samples: number
  consecutiveFailures: number
  failureRate: number
  ejections: number
  lastAttemptAt: number
  /** The executor gets no requests before this time. */
  ejectedUntil: number
  /** Concurrent requests that the executor may get; 1 after an ejection, doubled with each success, Infinity when it is not limited. */
  concurrencyLimit: number
}

export type AttemptResult = 'success' | 'failure'

/** Outlier ejection: takes executors that fail or are slow out of use for a time, by this host's own measurements only. */
export interface HealthTable {
  recordAttempt (executor: string, service: string, result: AttemptResult, latencyMs: number): void
  /** Concurrent requests that this host may send to the executor now; 0 while it is ejected. */
  getConcurrencyLimit (executor: string): number
  getLatency (executor: string): number
  /** Estimated time of one request of the service, ms: the mean, and the mean plus two deviations; 0 without a recent measurement. */
  estimateService (service: string): { meanMs: number, highMs: number }
  /** Sets the number of executors of a service that the owners report, from which the limit of ejections follows. */
  setExecutorCount (service: string, executors: number): void
  listEjected (service: string): string[]
  /** Removes records of executors that were not used for `RECORD_RETENTION_MS`, which is longer than the longest ejection. */
  prune (): void
}

export function createHealthTable (clock: Clock, reportEjection: (executor: string, service: string, reason: string) => void): HealthTable {
  const records = new Map<string, ExecutorRecord>()
  const executorCounts = new Map<string, number>()
  const estimates = new Map<string, { meanMs: number, deviationMs: number, measuredAt: number }>()

  const getRecord = (executor: string, service: string): ExecutorRecord => {
    const known = records.get(executor)
    if (known !== undefined) return known
    const created: ExecutorRecord = { service, latencyMs: 0, samples: 0, consecutiveFailures: 0, failureRate: 0, ejections: 0, lastAttemptAt: clock.now(), ejectedUntil: -Infinity, concurrencyLimit: Infinity }
    records.set(executor, created)
    return created
  }

  const listRecords = (service: string): Array<[string, ExecutorRecord]> => [...records].filter(([, record]) => record.service === service)

  const isEjected = (record: ExecutorRecord): boolean => record.ejectedUntil > clock.now()

  const computeMedian = (service: string, except: string): number | undefined => {
    const values = listRecords(service)
      .filter(([id, record]) => id !== except && record.samples >= MIN_SAMPLES && record.concurrencyLimit === Infinity)
      .map(([, record]) => record.latencyMs)
      .sort((a, b) => a - b)
    return values.length < 2 ? undefined : values[Math.floor(values.length / 2)]
  }

  const findEjectionReason = (executor: string, record: ExecutorRecord): string | undefined => {
    if (record.consecutiveFailures >= CONSECUTIVE_FAILURES) return 'consecutive failures'
    if (record.samples >= MIN_SAMPLES && record.failureRate > MAX_FAILURE_RATE) return 'failure rate'
    const median = computeMedian(record.service, executor)
    // While the concurrency limit rises again, few attempts are let through, so the average decides without `MIN_SAMPLES` of
    // them; it still contains attempts from before the ejection.
    const hasEnoughSamples = record.samples >= MIN_SAMPLES || record.concurrencyLimit !== Infinity
    return hasEnoughSamples && median !== undefined && record.latencyMs > SLOW_RATIO * median ? 'slow' : undefined
  }

  const eject = (executor: string, record: ExecutorRecord, reason: string): void => {
    const executorCount = Math.max(executorCounts.get(record.service) ?? 0, listRecords(record.service).length)
    const limit = executorCount < 2 ? 0 : Math.max(1, Math.floor(executorCount * MAX_EJECTED_SHARE))
    const limited = listRecords(record.service).filter(([id, other]) => id !== executor && other.concurrencyLimit !== Infinity).length
    if (limited >= limit) return
    record.ejections += 1
    record.ejectedUntil = clock.now() + Math.min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS * 2 ** (record.ejections - 1))
    record.concurrencyLimit = 1
    record.samples = 0
    record.failureRate = 0
    record.consecutiveFailures = 0
    reportEjection(executor, record.service, reason)
  }

  const updateServiceEstimate = (service: string, latencyMs: number): void => {
    const known = estimates.get(service)
    if (known === undefined || known.measuredAt + ESTIMATE_VALID_MS < clock.now()) {
      estimates.set(service, { meanMs: latencyMs, deviationMs: latencyMs / 2, measuredAt: clock.now() })
      return
    }
    known.measuredAt = clock.now()
    known.deviationMs += SERVICE_SMOOTHING * (Math.abs(latencyMs - known.meanMs) - known.deviationMs)
    known.meanMs += SERVICE_SMOOTHING * (latencyMs - known.meanMs)
  }

  const recordAttempt: HealthTable['recordAttempt'] = (executor, service, result, latencyMs) => {
    const record = getRecord(executor, service)
    const failed = result === 'failure'
    record.latencyMs = record.samples === 0 ? latencyMs : record.latencyMs + EXECUTOR_SMOOTHING * (latencyMs - record.latencyMs)
    record.samples += 1
    record.lastAttemptAt = clock.now()
    record.failureRate += EXECUTOR_SMOOTHING * ((failed ? 1 : 0) - record.failureRate)
    record.consecutiveFailures = failed ? record.consecutiveFailures + 1 : 0
    if (!failed) updateServiceEstimate(service, latencyMs)
    if (isEjected(record)) return
    const ejectionReason = failed && record.concurrencyLimit !== Infinity ? 'failure after return' : findEjectionReason(executor, record)
    if (ejectionReason !== undefined) eject(executor, record, ejectionReason)
    else if (!failed && record.concurrencyLimit !== Infinity) raiseConcurrencyLimit(record)
  }

  const raiseConcurrencyLimit = (record: ExecutorRecord): void => {
    record.concurrencyLimit *= 2
    if (record.concurrencyLimit < 16) return
    record.concurrencyLimit = Infinity
    record.ejections = 0
  }

  return {
    recordAttempt,
    getConcurrencyLimit: (executor) => {
      const record = records.get(executor)
      if (record === undefined) return Infinity
      return isEjected(record) ? 0 : record.concurrencyLimit
    },
    getLatency: (executor) => {
      const record = records.get(executor)
      return record === undefined || record.samples === 0 ? DEFAULT_LATENCY_MS : record.latencyMs
    },
    estimateService: (service) => {
      const known = estimates.get(service)
      return known === undefined || known.measuredAt + ESTIMATE_VALID_MS < clock.now()
        ? { meanMs: 0, highMs: 0 }
        : { meanMs: known.meanMs, highMs: known.meanMs + 2 * known.deviationMs }
    },
    setExecutorCount: (service, executors) => { executorCounts.set(service, executors) },
    listEjected: (service) => listRecords(service).filter(([, record]) => isEjected(record)).map(([id]) => id),
    prune: () => {
      const oldest = clock.now() - RECORD_RETENTION_MS
      for (const [executor, record] of records) {
        if (record.lastAttemptAt < oldest) records.delete(executor)
      }
    }
  }
}
