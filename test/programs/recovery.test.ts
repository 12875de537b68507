import { readdir, readFile, stat, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { afterAll, beforeAll, expect, test } from 'vitest'
import { createDeployment, sendRequest, TOKENS, waitFor, type Deployment } from '../../src/fakes/deployment.js'
import { startDaemon, waitUntilReady, type DaemonProcess } from '../../src/programs/demo/daemons.js'
import { openFakeTargets, type FakeTargets } from '../../src/programs/demo/targets.js'

// The compiled daemon, which `npm test` builds first.
const PROGRAM = 'dist/programs/daemon.js'
const ZONES = ['a', 'b', 'c']
const TASKS = 9

let deployment: Deployment
let config: string
const daemons = new Map<string, DaemonProcess>()
const targets = new Map<string, FakeTargets>()

function start (id: string, flags: string[] = []): DaemonProcess {
  const http = deployment.hosts.find((host) => host.id === id)!.url.slice('http://'.length)
  const daemon = startDaemon({ config, id, http, folder: deployment.folder, program: PROGRAM, flags })
  daemons.set(id, daemon)
  return daemon
}

const url = (id: string): string => daemons.get(id)!.url
const readJob = async (id: string) => (await sendRequest(url('a-1'), TOKENS.parish, 'GET', `/v1/jobs/${id}`)).json
const countRunning = (zone: string): number => targets.get(zone)!.workers.reduce((sum, { core }) => sum + core.listTasks().length, 0)

beforeAll(async () => {
  deployment = await createDeployment(ZONES, 1)
  config = join(deployment.folder, 'settings.toml')
  await writeFile(config, deployment.toml)
  deployment.hosts.forEach(({ id }) => start(id))
  await Promise.all([...daemons.values()].map((daemon) => waitUntilReady(daemon, Date.now() + 15_000)))
  await Promise.all(ZONES.map(async (zone) => {
    targets.set(zone, await openFakeTargets({
      service: 'none', executors: 0, workers: 2, workersPerRack: 8, cores: 16, memoryBytes: 64e9, serviceMs: 5, taskMs: 1_000, prefix: zone
    }, { [zone]: [url(`${zone}-1`)] }, TOKENS.target))
  }))
  await waitFor('all workers', 10_000, async () => (await sendRequest(url('a-1'), TOKENS.operator, 'GET', '/v1/workers')).json.length === 6)
}, 40_000)

afterAll(async () => {
  daemons.forEach((daemon) => daemon.kill('SIGKILL'))
  await Promise.all([...daemons.values()].map((daemon) => daemon.waitUntilExit()))
  await Promise.all([...targets.values()].map((each) => each.close()))
  await deployment.remove()
})

test('after a lost zone is retired, its idempotent tasks run in other zones, the others wait for an operator, and no task gets two outcomes', async () => {
  const create = (id: string, idempotent: boolean) => sendRequest(url('a-1'), TOKENS.parish, 'POST', '/v1/jobs', {
    id, jobClass: 'match', size: { cores: 1, memoryBytes: 1e9 }, tasks: TASKS, expectedRunMs: 3_000, idempotent, command: 'run 4000'
  })
  expect([(await create('match', true)).status, (await create('charge', false)).status]).toEqual([201, 201])
  await waitFor('tasks in every zone', 10_000, async () => ZONES.every((zone) => countRunning(zone) > 0))
  daemons.get('c-1')!.kill('SIGKILL')
  targets.get('c')!.workers.forEach(({ core }) => core.crash())

  const refused = await sendRequest(url('a-1'), TOKENS.operator, 'POST', '/v1/zones/c/retire', { confirmedStopped: false, setBy: 'ana' })
  expect(refused.status).toBe(400)
  const retired = await waitFor('the retirement', 15_000, async () => {
    const answer = await sendRequest(url('a-1'), TOKENS.operator, 'POST', '/v1/zones/c/retire', { confirmedStopped: true, setBy: 'ana' })
    return answer.status === 200 ? answer.json : undefined
  })
  expect(retired.movedTasks).toBeGreaterThan(0)
  expect(retired.unknownOutcomes).toBeGreaterThan(0)

  const match = await waitFor('the end of the idempotent job', 30_000, async () => {
    const job = await readJob('match')
    return job.open === 0 ? job : undefined
  })
  expect(match.succeeded).toBe(TASKS)
  const charge = await waitFor('an outcome of every other task', 30_000, async () => {
    const job = await readJob('charge')
    return job.open === 0 ? job : undefined
  })
  expect([charge.succeeded, charge.unknown]).toEqual([TASKS - retired.unknownOutcomes, retired.unknownOutcomes])

  const task = Object.keys(charge.outcomes).find((number) => charge.outcomes[number] === 'unknown')!
  const resolve = (outcome: string) => sendRequest(url('a-1'), TOKENS.operator, 'POST', `/v1/jobs/charge/tasks/${task}/resolve`, { outcome, setBy: 'ana' })
  expect((await resolve('failed')).status).toBe(200)
  expect((await resolve('succeeded')).json.error.kind).toBe('conflict')
  expect((await readJob('charge')).outcomes[task]).toBe('failed')
}, 90_000)

test('a host with a corrupt store refuses to start and logs the reason; with --repair it catches up from the other hosts', async () => {
  const folder = join(deployment.folder, 'c-1')
  const files = await Promise.all((await readdir(folder)).map(async (name) => ({ name, size: (await stat(join(folder, name))).size })))
  const log = files.filter(({ name }) => name !== 'journal').sort((x, y) => y.size - x.size)[0]!
  const bytes = await readFile(join(folder, log.name))
  bytes.fill(0xff, Math.floor(bytes.length / 3), Math.floor(bytes.length / 3) + 20)
  await writeFile(join(folder, log.name), bytes)

  const readLog = async (): Promise<string> => await readFile(join(deployment.folder, 'c-1.log'), 'utf8')
  const broken = start('c-1')
  const exitCode = await broken.waitUntilExit()
  expect(exitCode, await readLog()).toBe(3)
  expect(await readLog()).toMatch(/corrupt/i)

  const repaired = start('c-1', ['--repair'])
  const isReady = await waitUntilReady(repaired, Date.now() + 15_000)
  expect(isReady, await readLog()).toBe(true)
  await waitFor('the log of the others', 10_000, async () => {
    const indexes = await Promise.all(['a-1', 'c-1'].map(async (id) => (await sendRequest(url(id), '', 'GET', '/health')).json.appliedIndex))
    return indexes[0] === indexes[1]
  })
}, 60_000)
