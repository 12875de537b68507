import { StatsD } from 'hot-shots'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

export type MetricTags = Record<string, string>

/** Counters, gauges and timings; docs/metrics.md lists all names. */
export interface Metrics {
  count (name: string, value?: number, tags?: MetricTags): void
  gauge (name: string, value: number, tags?: MetricTags): void
  /** Records a duration in milliseconds. */
  timing (name: string, ms: number, tags?: MetricTags): void
  close (): void
}

/** Sends metrics as StatsD datagrams to `host:port`; several lines share a datagram to keep the packet rate low. */
export function createStatsdMetrics (host: string, port: number, tags: MetricTags): Metrics {
  const client = new StatsD({ host, port, prefix: 'sequoiadrift.', globalTags: tags, maxBufferSize: 1200, errorHandler: () => {} })
  return {
    count: (name, value = 1, extra = {}) => client.increment(name, value, extra),
    gauge: (name, value, extra = {}) => client.gauge(name, value, extra),
    timing: (name, ms, extra = {}) => client.timing(name, ms, extra),
    close: () => client.close(() => {})
  }
}

/** Upper bounds of the buckets of latency histograms, from a network hop within a zone to the longest time budget of a client. */
const LATENCY_BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000]

/** Metrics that are kept in memory and rendered in the Prometheus text format. */
export interface PrometheusMetrics extends Metrics {
  readonly contentType: string
  render (): Promise<string>
}

/** Creates a registry of counters, gauges and latency histograms, which `render` prints in the Prometheus text format. */
export function createPrometheusMetrics (): PrometheusMetrics {
  const registry = new Registry()
  const known = new Map<string, Counter | Gauge | Histogram>()

  const find = <T extends Counter | Gauge | Histogram>(name: string, tags: MetricTags, create: (name: string, labelNames: string[]) => T): T => {
    const existing = known.get(name) as T | undefined
    if (existing !== undefined) return existing
    const created = create(`sequoiadrift_${name.replaceAll(/[.-]/g, '_')}`, Object.keys(tags))
    known.set(name, created)
    return created
  }
  const options = (name: string, labelNames: string[]): { name: string, help: string, labelNames: string[], registers: Registry[] } =>
    ({ name, help: 'see docs/metrics.md', labelNames, registers: [registry] })

  return {
    count: (name, value = 1, tags = {}) => find(name, tags, (full, labels) => new Counter(options(`${full}_total`, labels))).inc(tags, value),
    gauge: (name, value, tags = {}) => find(name, tags, (full, labels) => new Gauge(options(full, labels))).set(tags, value),
    timing: (name, ms, tags = {}) => find(name, tags, (full, labels) =>
      new Histogram({ ...options(`${full}_ms`, labels), buckets: LATENCY_BUCKETS_MS })).observe(tags, ms),
    close: () => registry.clear(),
    contentType: registry.contentType,
    render: () => registry.metrics()
  }
}

export function createNoopMetrics (): Metrics {
  return { count: () => {}, gauge: () => {}, timing: () => {}, close: () => {} }
}
