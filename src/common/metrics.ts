import { StatsD } from 'hot-shots'

export type MetricTags = Record<string, string>

/** Counters, gauges and timings; docs/metrics.md lists every name. */
export interface Metrics {
  count (name: string, value?: number, tags?: MetricTags): void
  gauge (name: string, value: number, tags?: MetricTags): void
  /** Milliseconds. */
  timing (name: string, ms: number, tags?: MetricTags): void
  close (): void
}

/** Sends StatsD datagrams to `host:port`; lines are buffered to keep the packet rate low. */
export function createStatsdMetrics (host: string, port: number, tags: MetricTags): Metrics {
  const client = new StatsD({ host, port, prefix: 'sequoiadrift.', globalTags: tags, maxBufferSize: 1200, errorHandler: () => {} })
  return {
    count: (name, value = 1, extra = {}) => client.increment(name, value, extra),
    gauge: (name, value, extra = {}) => client.gauge(name, value, extra),
    timing: (name, ms, extra = {}) => client.timing(name, ms, extra),
    close: () => client.close(() => {})
  }
}

export function createNoMetrics (): Metrics {
  return { count: () => {}, gauge: () => {}, timing: () => {}, close: () => {} }
}
