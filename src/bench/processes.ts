import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { createDeployment, sendRequest, TOKENS, waitFor, type Deployment } from '../fakes/deployment.js'
import { startDaemon, waitUntilReady, type DaemonProcess } from '../programs/demo/daemons.js'
import { computeQuantile, type Figure } from './placement.js'

const START_TIMEOUT_MS = 30_000
const POLL_MS = 20
const ZONES = ['a', 'b', 'c']
const HOSTS_PER_ZONE = 3

interface Cluster {
  deployment: Deployment
  daemons: Map<string, DaemonProcess>
  start (id: string): Promise<void>
}

/** Measures nine daemon processes: time without accepted changes after kill -9 of the leader, and time until a change is in force on all hosts, also with one host frozen. */
export async function runProcessBench (trials = 8): Promise<Figure[]> {
  const cluster = await startCluster()
  try {
    const elections = await measureElections(cluster, trials)
    const changes = await measureChanges(cluster, trials, undefined)
    const frozen = await findFrozenHost(cluster)
    const changesFrozen = await measureChanges(cluster, trials, frozen)
    return [
      { name: 'processes.no_change_accepted_after_kill_p50', value: computeQuantile(elections, 0.5), unit: 'ms' },
      { name: 'processes.no_change_accepted_after_kill_max', value: Math.max(...elections), unit: 'ms' },
      { name: 'processes.change_in_force_on_9_hosts_max', value: Math.max(...changes), unit: 'ms' },
      { name: 'processes.change_in_force_one_frozen_p50', value: computeQuantile(changesFrozen, 0.5), unit: 'ms' },
      { name: 'processes.change_in_force_one_frozen_max', value: Math.max(...changesFrozen), unit: 'ms' },
      { name: 'processes.trials', value: trials, unit: 'trials' }
    ]
  } finally {
    await stopCluster(cluster)
  }
}

async function startCluster (): Promise<Cluster> {
  const deployment = await createDeployment(ZONES, HOSTS_PER_ZONE)
  const config = join(deployment.folder, 'settings.toml')
  await writeFile(config, deployment.toml)
  const daemons = new Map<string, DaemonProcess>()
  const start = async (id: string): Promise<void> => {
    const http = (deployment.hosts.find((host) => host.id === id)?.url ?? '').slice('http://'.length)
    const daemon = startDaemon({ config, id, http, folder: deployment.folder })
    daemons.set(id, daemon)
    if (!await waitUntilReady(daemon, Date.now() + START_TIMEOUT_MS)) throw new Error(`daemon ${id} was not ready in time`)
  }
  await Promise.all(deployment.hosts.map(({ id }) => start(id)))
  return { deployment, daemons, start }
}

async function stopCluster ({ deployment, daemons }: Cluster): Promise<void> {
  daemons.forEach((daemon) => daemon.kill('SIGCONT'))
  daemons.forEach((daemon) => daemon.kill('SIGKILL'))
  await Promise.all([...daemons.values()].map((daemon) => daemon.waitUntilExit()))
  await deployment.remove()
}

// Measures from the kill to the first change that another host accepts, so the time includes more than the election.
async function measureElections (cluster: Cluster, trials: number): Promise<number[]> {
  const times: number[] = []
  for (let trial = 0; trial < trials; trial += 1) {
    const leader = await findLeader(cluster)
    const other = [...cluster.daemons.values()].find(({ id }) => id !== leader) as DaemonProcess
    cluster.daemons.get(leader)?.kill('SIGKILL')
    const startedAt = performance.now()
    await waitFor('an accepted change', START_TIMEOUT_MS, async () => {
      const body = { token: 'a-token-of-a-new-member', quota: { cores: 1, memoryBytes: 1 }, requestId: `trial-${trial}` }
      return (await sendRequest(other.url, TOKENS.operator, 'PUT', `/v1/members/trial-${trial}`, body)).status === 200
    })
    times.push(performance.now() - startedAt)
    await cluster.start(leader)
  }
  return times
}

async function measureChanges (cluster: Cluster, trials: number, frozen: string | undefined): Promise<number[]> {
  const daemons = [...cluster.daemons.values()].filter(({ id }) => id !== frozen)
  const times: number[] = []
  for (let trial = 0; trial < trials; trial += 1) {
    const preset = trial % 2 === 0 ? 'peak' : 'ordinary'
    // A host that continues after SIGSTOP keeps its connections, so each trial begins once its lease is established again.
    if (frozen !== undefined) await waitAndFreeze(cluster, frozen)
    const startedAt = performance.now()
    const answer = await sendRequest((daemons[trial % daemons.length] as DaemonProcess).url, TOKENS.operator, 'POST', '/v1/preset', { preset, setBy: 'bench', reason: 'trial' })
    const { revision } = answer.json as { revision: number }
    await Promise.all(daemons.map((daemon) => waitForClaim(daemon, revision)))
    times.push(performance.now() - startedAt)
    if (frozen !== undefined) cluster.daemons.get(frozen)?.kill('SIGCONT')
  }
  return times
}

async function waitAndFreeze (cluster: Cluster, frozen: string): Promise<void> {
  const daemon = cluster.daemons.get(frozen) as DaemonProcess
  await waitFor('the lease of the host to be frozen', START_TIMEOUT_MS, async () =>
    (await sendRequest(daemon.url, TOKENS.operator, 'GET', '/v1/preset')).json.claim === 'in-force')
  daemon.kill('SIGSTOP')
}

async function waitForClaim (daemon: DaemonProcess, revision: number): Promise<void> {
  const deadline = performance.now() + START_TIMEOUT_MS
  while (performance.now() < deadline) {
    const { json } = await sendRequest(daemon.url, TOKENS.operator, 'GET', '/v1/preset')
    if (json.claim === 'in-force' && json.revision >= revision) return
    await new Promise((resolve) => setTimeout(resolve, POLL_MS))
  }
  throw new Error(`revision ${revision} was not in force on ${daemon.id} in time`)
}

async function findLeader (cluster: Cluster): Promise<string> {
  return await waitFor('a leader', START_TIMEOUT_MS, async () => {
    const answers = await Promise.all([...cluster.daemons.values()].map(async ({ url }) => (await sendRequest(url, '', 'GET', '/health')).json))
    return answers.find(({ role }) => role === 'leader')?.host as string | undefined
  })
}

/** Finds a host that is neither leader nor voter, so that freezing it delays a change only by its lease. */
async function findFrozenHost (cluster: Cluster): Promise<string> {
  const leader = await findLeader(cluster)
  return [...cluster.daemons.keys()].find((id) => id !== leader && !id.endsWith('-1')) as string
}
