import type { Clock } from '../../common/index.js'
import type { Service, TaskOutcome } from '../../state/index.js'
import type { EvictionCause } from '../placement/types.js'
import { computeBurnReport } from './burnReport.js'
import { formatCause, isCausedByRival } from './causes.js'
import { createCounterRing, type CounterRing } from './counterRing.js'
import { createLatencyHistogram, type LatencyHistogram } from './latencyHistogram.js'
import {
  BUDGET_WINDOW_MS, BURN_WINDOWS, DAY_WINDOW_MS, RECENT_WINDOW_MS,
  type BadCause, type BurnReport, type ReportSummary, type ServiceSummary
} from './schemas.js'

const HOUR_MS = 3_600_000
const DAY_MS = 24 * HOUR_MS
// Durations of the slots of the counter rings.
const BURN_SLOT_MS = 30_000
const RECENT_SLOT_MS = 300_000

// Limits that bound memory use. Job classes, members and eviction groups above them are counted under `OTHER_GROUP`.
const MAX_INTERFERENCE_CLASSES = 32
const MAX_MEMBERS = 500
const MAX_EVICTION_GROUPS = 1000
const MAX_RECENT_EVICTIONS = 100
export const OTHER_GROUP = '(other)'

export interface RequestRecord {
  service: string
  /** The caller's member. */
  member: string
  latencyMs: number
  /** `failed` means an answer with a server error. */
  outcome: 'answered' | 'failed' | 'not-run' | 'unknown'
  /** Why the request was bad; undefined if unknown. */
  cause?: BadCause
}

export interface EvictionRecord {
  member: string
  task: string
  job: string
  cause: EvictionCause
  /** Empty when no member caused it. */
  causingMember: string
  worker: string
}

export interface BatchEndRecord { member: string, outcome: TaskOutcome, cores: number, runMs: number }

/** Counts requests, evictions and ended batch tasks of this host. Its memory use is bounded, whatever the time and traffic. */
export interface ReportRecorder {
  recordRequest (record: RequestRecord): void
  recordEviction (record: EvictionRecord): void
  recordBatchEnd (record: BatchEndRecord): void
  /** The counts of this host, for transfer to another host. `now` is monotonic ms. */
  createSummary (now: number): ReportSummary
  /** A report of this host alone. For several hosts, use `mergeSummaries` and `computeBurnReport`. */
  createBurnReport (now: number): BurnReport
}

export interface ReportRecorderOptions {
  /** Id of this host. */
  self: string
  clock: Clock
  /** The services of the configuration; requests of other services are not counted. */
  getServices (): Record<string, Service>
}

/** The same counts in two rings: `recent` over a short time in fine slots, `long` over a long time in coarse slots. */
interface CounterRings { recent: CounterRing, long: CounterRing }
interface ServiceCounts {
  good: CounterRings
  bad: CounterRings
  latency: LatencyHistogram
  causes: Map<string, CounterRings & { cause: BadCause }>
}
type BatchCounts = Record<TaskOutcome | 'coreHours', CounterRings>

export function createReportRecorder ({ self, clock, getServices }: ReportRecorderOptions): ReportRecorder {
  const startedAt = clock.now()
  const services = new Map<string, ServiceCounts>()
  const evictions = new Map<string, CounterRings & Pick<EvictionRecord, 'member' | 'cause' | 'causingMember'>>()
  const recentEvictions: Array<EvictionRecord & { at: number }> = []
  const batch = new Map<string, BatchCounts>()

  const recordRequest = ({ service: id, latencyMs, outcome, cause }: RequestRecord): void => {
    const service = getServices()[id]
    if (service === undefined) return
    const now = clock.now()
    const counts = getOrAdd(services, id, createServiceCounts)
    if (outcome === 'answered') counts.latency.record(now, latencyMs)
    if (outcome === 'answered' && latencyMs <= service.objective.latencyMs) return addToRings(counts.good, now)
    addToRings(counts.bad, now)
    const attributed = chooseCause(counts, cause ?? defaultCauses[outcome])
    addToRings(getOrAdd(counts.causes, formatCause(attributed), () => ({ ...createCauseRings(), cause: attributed })), now)
  }

  const recordEviction = (record: EvictionRecord): void => {
    const now = clock.now()
    const { member, cause, causingMember } = record
    const key = JSON.stringify([member, cause, causingMember])
    // In the catch-all group, an eviction caused by a rival still counts as such, because its two member names differ.
    const group = evictions.has(key) || evictions.size < MAX_EVICTION_GROUPS
      ? { member, cause, causingMember }
      : { member: OTHER_GROUP, cause, causingMember: isCausedByRival(record) ? `${OTHER_GROUP} rival` : '' }
    addToRings(getOrAdd(evictions, JSON.stringify(Object.values(group)), () => ({ ...createDayRings(), ...group })), now)
    recentEvictions.push({ ...record, at: now })
    if (recentEvictions.length > MAX_RECENT_EVICTIONS) recentEvictions.shift()
  }

  const recordBatchEnd = ({ member, outcome, cores, runMs }: BatchEndRecord): void => {
    const now = clock.now()
    const key = batch.has(member) || batch.size < MAX_MEMBERS ? member : OTHER_GROUP
    const counts = getOrAdd(batch, key, createBatchCounts)
    addToRings(counts[outcome], now)
    addToRings(counts.coreHours, now, cores * runMs / HOUR_MS)
  }

  const createSummary = (now: number): ReportSummary => {
    const currentServices = getServices();
    [...services.keys()].filter((id) => currentServices[id] === undefined).forEach((id) => services.delete(id))
    // Groups without events in the last day no longer count against the limits.
    evictions.forEach((rings, key) => { if (rings.long.sum(now, DAY_WINDOW_MS) === 0) evictions.delete(key) })
    batch.forEach((counts, key) => { if (Object.values(counts).every((rings) => rings.long.sum(now, DAY_WINDOW_MS) === 0)) batch.delete(key) })
    const sumHourAndDay = (rings: CounterRings): { lastHour: number, lastDay: number } =>
      ({ lastHour: rings.recent.sum(now, RECENT_WINDOW_MS), lastDay: rings.long.sum(now, DAY_WINDOW_MS) })
    return {
      hosts: [self],
      coveredMs: now - startedAt,
      services: [...services].map(([service, counts]) => createServiceSummary(service, counts, now)),
      evictions: [...evictions.values()]
        .map(({ member, cause, causingMember, ...rings }) => ({ member, cause, causingMember, ...sumHourAndDay(rings) })),
      recentEvictions: recentEvictions.map(({ at, ...record }) => ({ agoMs: now - at, ...record })),
      batch: [...batch].map(([member, counts]) => ({
        member,
        succeeded: sumHourAndDay(counts.succeeded),
        failed: sumHourAndDay(counts.failed),
        cancelled: sumHourAndDay(counts.cancelled),
        refused: sumHourAndDay(counts.refused),
        unknown: sumHourAndDay(counts.unknown),
        coreHours: sumHourAndDay(counts.coreHours)
      }))
    }
  }

  return {
    recordRequest,
    recordEviction,
    recordBatchEnd,
    createSummary,
    createBurnReport: (now) => computeBurnReport(createSummary(now), getServices())
  }
}

const defaultCauses: Record<RequestRecord['outcome'], BadCause> = {
  answered: { kind: 'unattributed' },
  failed: { kind: 'failure' },
  'not-run': { kind: 'shedding' },
  unknown: { kind: 'failure' }
}

function chooseCause (counts: ServiceCounts, cause: BadCause): BadCause {
  if (cause.kind !== 'interference' || counts.causes.has(formatCause(cause)) || counts.causes.size < MAX_INTERFERENCE_CLASSES) return cause
  return { kind: 'interference', jobClass: OTHER_GROUP }
}

function createServiceSummary (service: string, { good, bad, latency, causes }: ServiceCounts, now: number): ServiceSummary {
  const sumWindow = (windowMs: number) => ({ good: good.recent.sum(now, windowMs), bad: bad.recent.sum(now, windowMs) })
  return {
    service,
    windows: {
      '5m': sumWindow(BURN_WINDOWS['5m']),
      '30m': sumWindow(BURN_WINDOWS['30m']),
      '1h': sumWindow(BURN_WINDOWS['1h']),
      '6h': sumWindow(BURN_WINDOWS['6h']),
      budget: { good: good.long.sum(now, BUDGET_WINDOW_MS), bad: bad.long.sum(now, BUDGET_WINDOW_MS) }
    },
    causes: [...causes.values()].map(({ cause, recent, long }) =>
      ({ cause, lastHour: recent.sum(now, RECENT_WINDOW_MS), budget: long.sum(now, BUDGET_WINDOW_MS) })),
    latency: latency.getCounts(now)
  }
}

function createServiceCounts (): ServiceCounts {
  const createBurnRings = (): CounterRings => ({
    recent: createCounterRing(BURN_SLOT_MS, BURN_WINDOWS['6h'] / BURN_SLOT_MS),
    long: createCounterRing(HOUR_MS, BUDGET_WINDOW_MS / HOUR_MS)
  })
  return { good: createBurnRings(), bad: createBurnRings(), latency: createLatencyHistogram(), causes: new Map() }
}

/** The long ring has slots of a day to save memory, because a service may need a pair of rings for each interfering job class. */
function createCauseRings (): CounterRings {
  return {
    recent: createCounterRing(RECENT_SLOT_MS, RECENT_WINDOW_MS / RECENT_SLOT_MS),
    long: createCounterRing(DAY_MS, BUDGET_WINDOW_MS / DAY_MS)
  }
}

function createDayRings (): CounterRings {
  return {
    recent: createCounterRing(RECENT_SLOT_MS, RECENT_WINDOW_MS / RECENT_SLOT_MS),
    long: createCounterRing(HOUR_MS, DAY_WINDOW_MS / HOUR_MS)
  }
}

function createBatchCounts (): BatchCounts {
  return {
    succeeded: createDayRings(),
    failed: createDayRings(),
    cancelled: createDayRings(),
    refused: createDayRings(),
    unknown: createDayRings(),
    coreHours: createDayRings()
  }
}

function addToRings (rings: CounterRings, now: number, count = 1): void {
  rings.recent.add(now, count)
  rings.long.add(now, count)
}

function getOrAdd<K, V> (map: Map<K, V>, key: K, create: () => V): V {
  const existing = map.get(key)
  if (existing !== undefined) return existing
  const value = create()
  map.set(key, value)
  return value
}
