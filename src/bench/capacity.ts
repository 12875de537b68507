import { execFileSync } from 'node:child_process'
import { mkdirSync, writeFileSync } from 'node:fs'
import { setMaxListeners } from 'node:events'
import { measurePoint, type HostCost, type Point, type PointPlan } from './capacity/point.js'
import { computeSlope } from './capacity/slopes.js'

const OUTPUT_FOLDER = 'data/capacity'

type Measure = 'core' | 'residentMb' | 'privateMb' | 'heapMb' | 'peerBytes'
const MEASURES: Record<Measure, { unit: string, digits: number }> = {
  core: { unit: '% of a core', digits: 3 },
  residentMb: { unit: 'MB resident', digits: 3 },
  privateMb: { unit: 'MB private', digits: 3 },
  heapMb: { unit: 'MB heap', digits: 3 },
  peerBytes: { unit: 'B/s to peers', digits: 1 }
}

interface Series {
  name: string
  unit: string
  plans: PointPlan[]
  getX (plan: PointPlan): number
  /** Tells whether the cost of a host belongs to the series. */
  select (host: HostCost): boolean
}

const IDLE_PLAN: PointPlan = { zones: 1, hostsPerZone: 2, workers: 0, runningTasks: 0, startsPerSecond: 0 }
const createPlans = (changes: Array<Partial<PointPlan>>): PointPlan[] => changes.map((change) => ({ ...IDLE_PLAN, ...change }))

/** The last plan of each series is the largest point: it is left out of the fit, and the prediction is compared with it. */
const SERIES: Series[] = [
  { name: 'leader by entry hosts', unit: 'host', plans: createPlans([{ zones: 3 }, { zones: 3, hostsPerZone: 3 }, { zones: 5, hostsPerZone: 3 }, { zones: 7, hostsPerZone: 4 }]), getX: (plan) => plan.zones * plan.hostsPerZone, select: ({ role }) => role === 'leader' },
  { name: 'voter by entry hosts', unit: 'host', plans: createPlans([{ zones: 3 }, { zones: 3, hostsPerZone: 3 }, { zones: 5, hostsPerZone: 3 }, { zones: 7, hostsPerZone: 4 }]), getX: (plan) => plan.zones * plan.hostsPerZone, select: ({ role }) => role === 'voter' },
  { name: 'host without a disk by entry hosts', unit: 'host', plans: createPlans([{ zones: 3 }, { zones: 3, hostsPerZone: 3 }, { zones: 5, hostsPerZone: 3 }, { zones: 7, hostsPerZone: 4 }]), getX: (plan) => plan.zones * plan.hostsPerZone, select: ({ role }) => role === 'follower' },
  { name: 'coordinator by workers', unit: 'worker', plans: createPlans([{ workers: 10 }, { workers: 25 }, { workers: 40 }, { workers: 73 }]), getX: (plan) => plan.workers, select: ({ coordinator }) => coordinator },
  { name: 'coordinator by running tasks', unit: 'task', plans: createPlans([{ workers: 20 }, { workers: 20, runningTasks: 200 }, { workers: 20, runningTasks: 400 }, { workers: 20, runningTasks: 780 }]), getX: (plan) => plan.runningTasks, select: ({ coordinator }) => coordinator },
  { name: 'coordinator by task starts', unit: 'start/s', plans: createPlans([{ workers: 20 }, { workers: 20, startsPerSecond: 8 }, { workers: 20, startsPerSecond: 16 }, { workers: 20, startsPerSecond: 29 }]), getX: (plan) => plan.startsPerSecond, select: ({ coordinator }) => coordinator }
]

async function runCapacity (): Promise<void> {
  const only = process.argv[2]
  const commit = execFileSync('git', ['rev-parse', '--short', 'HEAD'], { encoding: 'utf8' }).trim()
  const chosen = SERIES.filter(({ name }) => only === undefined || name.includes(only))
  const points = new Map<string, Point>()
  for (const plan of chosen.flatMap((series) => series.plans)) {
    const key = JSON.stringify(plan)
    if (points.has(key)) continue
    console.error(`measuring ${key}`)
    points.set(key, await measurePoint(plan))
  }
  const getPoint = (plan: PointPlan): Point => points.get(JSON.stringify(plan)) as Point
  const lines = [
    `commit=${commit}`,
    ...chosen.flatMap((series) => renderSeries(series, getPoint)),
    ...[...points.values()].flatMap(renderPoint)
  ]
  mkdirSync(OUTPUT_FOLDER, { recursive: true })
  writeFileSync(`${OUTPUT_FOLDER}/slopes.txt`, lines.join('\n') + '\n')
  console.log(lines.join('\n'))
}

function renderSeries (series: Series, getPoint: (plan: PointPlan) => Point): string[] {
  return (Object.keys(MEASURES) as Measure[]).map((measure) => {
    const factor = measure === 'core' ? 100 : 1
    const { unit, digits } = MEASURES[measure]
    const slope = computeSlope(series.plans.map((plan) => ({
      x: series.getX(plan),
      y: factor * computeMean(getPoint(plan).hosts.filter(series.select).map((host) => host[measure]))
    })))
    const { x, measured, predicted } = slope.check
    return `${series.name}: base=${slope.base.toFixed(digits)} slope=${slope.perUnit.toFixed(digits + 1)} ${unit} per ${series.unit}; ` +
      `at ${x}: measured=${measured.toFixed(digits)} predicted=${predicted.toFixed(digits)}`
  })
}

function renderPoint ({ plan, hosts, workerBytes, startedTasks }: Point): string[] {
  const kinds = Object.entries(hosts.find(({ role }) => role === 'leader')?.peerBytesByKind ?? {})
    .sort(([, a], [, b]) => b - a)
    .slice(0, 5)
    .map(([kind, bytes]) => `${kind}=${bytes.toFixed(0)}`)
  return [
    `point ${JSON.stringify(plan)}: worker link ${workerBytes.toFixed(0)} B/s, ${startedTasks} tasks ended, ` +
    `leader's messages in B/s: ${kinds.join(' ')}`
  ]
}

function computeMean (values: number[]): number {
  return values.length === 0 ? NaN : values.reduce((sum, value) => sum + value, 0) / values.length
}

// The loops of all targets listen to one stop signal, so many listeners are no sign of a leak.
setMaxListeners(0)

await runCapacity()
