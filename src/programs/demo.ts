import { setMaxListeners } from 'node:events'
import { request } from 'undici'
import { openFakeTargets, type TargetPlan, type ZoneHosts } from './demo/targets.js'
import { startDaemon, waitUntilReady, type DaemonProcess } from './demo/daemons.js'
import { describeSettingsFailure, loadSettings, type Settings } from './settings/index.js'

const CONFIG = 'examples/taller-misterios.toml'
const LOG_FOLDER = 'data/logs'
const START_TIMEOUT_MS = 20_000
const TARGET_TOKEN = 'demo-target-token'
const MEMBER_TOKEN = 'demo-token-of-intake'

const PLAN: TargetPlan = { service: 'intake-desk', executors: 30, workers: 30, workersPerRack: 8, cores: 32, memoryBytes: 125e9, serviceMs: 10, taskMs: 3_000 }

const NEXT_STEPS = `
The demonstration runs: three availability zones with two entry hosts each, 30 executors and 30 workers.
In another terminal:

  alias sequoiadrift='node dist/programs/cli.js'
  export SEQUOIADRIFT_ENDPOINTS=ENDPOINTS

  export SEQUOIADRIFT_TOKEN=demo-token-of-intake
  sequoiadrift service call intake-desk /quote --body 'silver chain, 59 beads'
  sequoiadrift job create match-1 --class match --tasks 20 --cores 2 --memory-gb 4 --expected-run-ms 3000
  sequoiadrift job show match-1
  sequoiadrift explain task match-1/0

  export SEQUOIADRIFT_TOKEN=demo-operator-token
  sequoiadrift preset show
  sequoiadrift preset set peak --reason 'more quotes than usual'
  sequoiadrift host list
  sequoiadrift report burn

Logs are in ${LOG_FOLDER}. Ctrl-C stops everything gracefully.
`

async function runDemo (): Promise<void> {
  const loaded = await loadSettings(CONFIG)
  if (!loaded.ok) {
    console.error(describeSettingsFailure(loaded.val))
    process.exitCode = 2
    return
  }
  const settings = loaded.val
  const daemons = settings.hosts.map(({ id, http }) => startDaemon({ config: CONFIG, id, http, folder: LOG_FOLDER }))
  const deadline = Date.now() + START_TIMEOUT_MS
  const ready = await Promise.all(daemons.map((daemon) => waitUntilReady(daemon, deadline)))
  if (ready.includes(false)) {
    console.error(`not ready within ${START_TIMEOUT_MS} ms: ${daemons.filter((_, index) => ready[index] === false).map(({ id }) => id).join(', ')}; see ${LOG_FOLDER}`)
    await stopDaemons(daemons)
    process.exitCode = 1
    return
  }
  const targets = await openFakeTargets(PLAN, listZoneHosts(settings), TARGET_TOKEN)
  await createService(daemons[0] as DaemonProcess)
  console.log(NEXT_STEPS.replace('=ENDPOINTS', `=${daemons.map(({ url }) => url).join(',')}`))
  await waitForSignal()
  console.log('stopping')
  await stopDaemons(daemons)
  await targets.close()
}

async function createService (daemon: DaemonProcess): Promise<void> {
  const answer = await request(`${daemon.url}/v1/services/${PLAN.service}`, {
    method: 'PUT',
    headers: { authorization: `Bearer ${MEMBER_TOKEN}`, 'content-type': 'application/json' },
    body: JSON.stringify({ objective: { latencyMs: 50 }, replicasPerZone: 2, size: { cores: 2, memoryBytes: 4e9, accelerators: 0 } })
  })
  await answer.body.dump()
}

function listZoneHosts (settings: Settings): ZoneHosts {
  const zones = [...new Set(settings.hosts.map(({ availability_zone: zone }) => zone))]
  return Object.fromEntries(zones.map((zone) => [
    zone,
    settings.hosts.filter((host) => host.availability_zone === zone).map(({ http }) => `http://${http}`)
  ]))
}

function waitForSignal (): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGINT', () => resolve())
    process.once('SIGTERM', () => resolve())
  })
}

async function stopDaemons (daemons: DaemonProcess[]): Promise<void> {
  daemons.forEach((daemon) => daemon.kill('SIGTERM'))
  const codes = await Promise.all(daemons.map((daemon) => daemon.waitUntilExit()))
  codes.forEach((code, index) => console.log(`${daemons[index]?.id ?? ''} stopped with exit code ${code ?? 'none'}`))
}

// The loops of all targets listen to one AbortSignal, so many listeners are no sign of a leak.
setMaxListeners(0)

await runDemo()
