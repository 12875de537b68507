import { readFile, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { createDeployment, sendRequest, TOKENS, waitFor, type Deployment } from '../../fakes/deployment.js'
import { startDaemon, waitUntilReady, type DaemonProcess } from '../../programs/demo/daemons.js'
import { openFakeTargets, type FakeTargets } from '../../programs/demo/targets.js'

const WARM_UP_MS = 6_000
const MEASURE_MS = 12_000
const START_TIMEOUT_MS = 30_000
const CPU_TICKS_PER_SECOND = 100
const LONG_RUN_COMMAND = 'run 3600000'
const SHORT_RUN_COMMAND = 'run 1000'

/** A deployment to measure, with no other load than this. */
export interface PointPlan {
  zones: number
  hostsPerZone: number
  workers: number
  runningTasks: number
  startsPerSecond: number
}

/** Resources that one entry host used, with its role. */
export interface HostCost {
  role: 'leader' | 'voter' | 'follower'
  coordinator: boolean
  /** Processor time as a part of one core. */
  core: number
  residentMb: number
  privateMb: number
  heapMb: number
  /** Bytes per second sent to and received from other entry hosts. */
  peerBytes: number
  peerBytesByKind: Record<string, number>
}

export interface Point {
  plan: PointPlan
  hosts: HostCost[]
  /** Bytes per second on the link of one worker in both directions, without HTTP headers. */
  workerBytes: number
  startedTasks: number
}

interface Sample {
  at: number
  cpuTicks: number
  health: any
}

/** Starts a deployment with one process per host, waits until it is in steady state and measures it. */
export async function measurePoint (plan: PointPlan): Promise<Point> {
  const deployment = await createDeployment(Array.from({ length: plan.zones }, (_, zone) => `z${zone + 1}`), plan.hostsPerZone)
  const config = join(deployment.folder, 'settings.toml')
  await writeFile(config, deployment.toml)
  const daemons = deployment.hosts.map(({ id, url }) => startDaemon({ config, id, http: url.slice('http://'.length), folder: deployment.folder }))
  const opened: { targets?: FakeTargets } = {}
  try {
    const ready = await Promise.all(daemons.map((daemon) => waitUntilReady(daemon, Date.now() + START_TIMEOUT_MS)))
    if (ready.includes(false)) throw new Error('a daemon was not ready in time')
    opened.targets = await openTargets(deployment, plan)
    return await measureSettled(plan, daemons, opened.targets)
  } finally {
    daemons.forEach((daemon) => daemon.kill('SIGKILL'))
    await Promise.all(daemons.map((daemon) => daemon.waitUntilExit()))
    await opened.targets?.close()
    await deployment.remove()
  }
}

async function openTargets (deployment: Deployment, plan: PointPlan): Promise<FakeTargets> {
  const zoneHosts = Object.fromEntries(deployment.hosts.map(({ zone }) => [zone, deployment.hosts.filter((host) => host.zone === zone).map(({ url }) => url)]))
  return await openFakeTargets({
    service: 'none', executors: 0, workers: plan.workers, workersPerRack: 8, cores: 64, memoryBytes: 250e9, serviceMs: 10, taskMs: 1_000
  }, zoneHosts, TOKENS.target)
}

async function measureSettled (plan: PointPlan, daemons: DaemonProcess[], targets: FakeTargets): Promise<Point> {
  const url = (daemons[0] as DaemonProcess).url
  await waitFor('registered workers', START_TIMEOUT_MS, async () => (await sendRequest(url, TOKENS.operator, 'GET', '/v1/workers')).json.length === plan.workers)
  if (plan.runningTasks > 0) {
    await createJob(url, 'running', plan.runningTasks, LONG_RUN_COMMAND)
    await waitFor('running tasks', START_TIMEOUT_MS, async () => countTasks(targets) >= plan.runningTasks)
  }
  const load = { running: true }
  const startLoop = runStarts(url, plan.startsPerSecond, load)
  await new Promise((resolve) => setTimeout(resolve, WARM_UP_MS))
  const before = await Promise.all(daemons.map(readSample))
  const workersBefore = countWorkerTraffic(targets)
  const startsBefore = await countStarts(url)
  await new Promise((resolve) => setTimeout(resolve, MEASURE_MS))
  const after = await Promise.all(daemons.map(readSample))
  const seconds = MEASURE_MS / 1000
  const workerBytes = plan.workers === 0 ? 0 : (countWorkerTraffic(targets) - workersBefore) / plan.workers / seconds
  const startedTasks = await countStarts(url) - startsBefore
  load.running = false
  await startLoop
  const hosts = await Promise.all(daemons.map((daemon, index) => computeCost(daemon, before[index] as Sample, after[index] as Sample)))
  return { plan, hosts, workerBytes, startedTasks }
}

// Submits one job per second, with as many tasks as are to start in that second.
async function runStarts (url: string, startsPerSecond: number, load: { running: boolean }): Promise<void> {
  if (startsPerSecond === 0) return
  for (let second = 0; load.running; second += 1) {
    const startedAt = performance.now()
    await createJob(url, `load-${second}`, startsPerSecond, SHORT_RUN_COMMAND)
    await new Promise((resolve) => setTimeout(resolve, Math.max(0, 1_000 - (performance.now() - startedAt))))
  }
}

async function createJob (url: string, id: string, tasks: number, command: string): Promise<void> {
  const size = { cores: 0.1, memoryBytes: 1e8, accelerators: 0 }
  const answer = await sendRequest(url, TOKENS.parish, 'POST', '/v1/jobs', { id, jobClass: 'load', size, tasks, expectedRunMs: 1_000, command })
  if (answer.status !== 201) throw new Error(`job ${id} was answered with ${answer.status}: ${answer.text}`)
}

async function countStarts (url: string): Promise<number> {
  const { json } = await sendRequest(url, TOKENS.parish, 'GET', '/v1/jobs')
  return (json as Array<{ id: string, succeeded?: number }>)
    .filter(({ id }) => id.startsWith('load-'))
    .reduce((sum, { succeeded }) => sum + (succeeded ?? 0), 0)
}

function countTasks (targets: FakeTargets): number {
  return targets.workers.reduce((sum, { core }) => sum + core.listTasks().length, 0)
}

function countWorkerTraffic (targets: FakeTargets): number {
  return targets.workers.reduce((sum, worker) => {
    const { sent, received } = worker.getTraffic()
    return sum + sent + received
  }, 0)
}

async function readSample (daemon: DaemonProcess): Promise<Sample> {
  const stat = await readFile(`/proc/${daemon.child.pid}/stat`, 'utf8')
  // Fields after the command name, which may contain spaces; user and system time are the 12th and 13th of them.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const { json } = await sendRequest(daemon.url, '', 'GET', '/health')
  return { at: performance.now(), cpuTicks: Number(fields[11]) + Number(fields[12]), health: json }
}

async function computeCost (daemon: DaemonProcess, before: Sample, after: Sample): Promise<HostCost> {
  const seconds = (after.at - before.at) / 1000
  const rollup = await readFile(`/proc/${daemon.child.pid}/smaps_rollup`, 'utf8')
  const readMb = (name: string): number => Number(new RegExp(`^${name}:\\s+(\\d+) kB`, 'm').exec(rollup)?.[1] ?? 0) / 1024
  const total = ({ health }: Sample): number => health.peerTraffic.sentBytes + health.peerTraffic.receivedBytes
  const kinds = Object.entries(after.health.peerTraffic.kinds as Record<string, { sentBytes: number, receivedBytes: number }>)
  const { role } = after.health as { role: string }
  return {
    role: role === 'leader' ? 'leader' : role === 'learner' ? 'follower' : 'voter',
    coordinator: after.health.zone.active === true,
    core: (after.cpuTicks - before.cpuTicks) / CPU_TICKS_PER_SECOND / seconds,
    residentMb: readMb('Rss'),
    privateMb: readMb('Private_Dirty'),
    heapMb: after.health.memory.heapUsed / 1e6,
    peerBytes: (total(after) - total(before)) / seconds,
    peerBytesByKind: Object.fromEntries(kinds.map(([kind, traffic]) => {
      const earlier = before.health.peerTraffic.kinds[kind] ?? { sentBytes: 0, receivedBytes: 0 }
      return [kind, (traffic.sentBytes + traffic.receivedBytes - earlier.sentBytes - earlier.receivedBytes) / seconds]
    }))
  }
}
