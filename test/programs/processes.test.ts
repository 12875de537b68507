import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { startDaemon, waitUntilReady, type DaemonProcess } from '../../src/programs/demo/daemons.js'
import { openFakeTargets, type FakeTargets } from '../../src/programs/demo/targets.js'
import { createDeployment, sendRequest, TOKENS, waitFor, type Deployment } from '../../src/fakes/deployment.js'

// The compiled daemon, which `npm test` builds first.
const PROGRAM = 'dist/programs/daemon.js'
const ZONES = ['a', 'b', 'c']

let deployment: Deployment
let config: string
let daemons: Map<string, DaemonProcess>
let targets: FakeTargets | undefined

function start (id: string): DaemonProcess {
  const http = deployment.hosts.find((host) => host.id === id)!.url.slice('http://'.length)
  const daemon = startDaemon({ config, id, http, folder: deployment.folder, program: PROGRAM })
  daemons.set(id, daemon)
  return daemon
}

async function waitForAll (): Promise<void> {
  const ready = await Promise.all([...daemons.values()].map((daemon) => waitUntilReady(daemon, Date.now() + 15_000)))
  expect(ready).not.toContain(false)
}

const url = (id: string): string => daemons.get(id)!.url
const operator = (id: string, method: string, path: string, body?: unknown) => sendRequest(url(id), TOKENS.operator, method, path, body)

async function findLeader (among: string[]): Promise<string> {
  return await waitFor('a leader', 10_000, async () => {
    const answers = await Promise.all(among.map(async (id) => (await sendRequest(url(id), '', 'GET', '/health')).json))
    return answers.find(({ role }) => role === 'leader')?.host
  })
}

async function changePreset (ids: string[], preset: string, requestId: string): Promise<number> {
  const answer = await waitFor(`change ${requestId}`, 15_000, async () => {
    for (const id of ids) {
      const sent = await operator(id, 'POST', '/v1/preset', { preset, setBy: 'ana', reason: requestId, requestId }).catch(() => undefined)
      if (sent?.status === 200) return sent.json
    }
    return undefined
  })
  return answer.revision
}

beforeEach(async () => {
  deployment = await createDeployment(ZONES, 2)
  config = join(deployment.folder, 'settings.toml')
  await writeFile(config, deployment.toml)
  daemons = new Map()
  deployment.hosts.forEach(({ id }) => start(id))
  await waitForAll()
}, 30_000)

afterEach(async () => {
  daemons.forEach((daemon) => { daemon.kill('SIGCONT'); daemon.kill('SIGKILL') })
  await Promise.all([...daemons.values()].map((daemon) => daemon.waitUntilExit()))
  await targets?.close()
  targets = undefined
  await deployment.remove()
})

test('no accepted preset change is lost when the leader is killed repeatedly, and all hosts report the same preset', async () => {
  const ids = deployment.hosts.map(({ id }) => id)
  const accepted: number[] = []
  for (const [round, preset] of ['peak', 'maintenance', 'ordinary'].entries()) {
    accepted.push(await changePreset(ids, preset, `before-${round}`))
    const leader = await findLeader(ids)
    daemons.get(leader)!.kill('SIGKILL')
    await daemons.get(leader)!.waitUntilExit()
    const others = ids.filter((id) => id !== leader)
    accepted.push(await changePreset(others, round === 1 ? 'ordinary' : 'peak', `after-${round}`))
    start(leader)
    await waitForAll()
  }
  expect(accepted).toEqual([1, 2, 3, 4, 5, 6])
  const shown = await waitFor('the same claim on all hosts', 10_000, async () => {
    const answers = await Promise.all(ids.map(async (id) => (await operator(id, 'GET', '/v1/preset')).json))
    return answers.every(({ claim, revision }) => claim === 'in-force' && revision === 6) ? answers : undefined
  })
  expect(new Set(shown.map(({ preset, setBy, reason }) => `${preset} ${setBy} ${reason}`))).toEqual(new Set(['peak ana after-2']))
}, 90_000)

test('with one host suspended, a preset change is in force on the others within 3 s, and the resumed host does not report the old preset as in force', async () => {
  const ids = deployment.hosts.map(({ id }) => id)
  const leader = await findLeader(ids)
  const frozen = ids.find((id) => id !== leader && id.endsWith('-2'))!
  daemons.get(frozen)!.kill('SIGSTOP')
  const startedAt = performance.now()
  await changePreset(ids.filter((id) => id !== frozen), 'peak', 'while-frozen')
  const claims = await Promise.all(ids.filter((id) => id !== frozen).map((id) => waitFor(`the claim of ${id}`, 3_000, async () => {
    const { json } = await operator(id, 'GET', '/v1/preset')
    return json.claim === 'in-force' && json.revision === 1
  })))
  expect(performance.now() - startedAt).toBeLessThan(3_000)
  expect(claims).not.toContain(false)
  daemons.get(frozen)!.kill('SIGCONT')
  const first = (await operator(frozen, 'GET', '/v1/preset')).json
  expect(first.claim === 'in-force' && first.revision === 0).toBe(false)
}, 60_000)

test('a planned restart of all hosts one after the other fails no request', async () => {
  const zoneHosts = Object.fromEntries(ZONES.map((zone) => [zone, deployment.hosts.filter((host) => host.zone === zone).map((host) => host.url)]))
  targets = await openFakeTargets({
    service: 'quotes', executors: 6, workers: 3, workersPerRack: 8, cores: 8, memoryBytes: 32e9, serviceMs: 50, taskMs: 300
  }, zoneHosts, TOKENS.target)
  await sendRequest(url('a-1'), TOKENS.parish, 'PUT', '/v1/services/quotes', { objective: { latencyMs: 200 } })
  const isReady = new Map(deployment.hosts.map(({ id }) => [id, true]))
  await waitFor('an answer on every host', 10_000, async () => {
    const answers = await Promise.all([...isReady.keys()].map((id) => sendRequest(url(id), TOKENS.parish, 'GET', '/v1/services/quotes/requests/up')))
    return answers.every(({ status }) => status === 200)
  })

  const outcomes: string[] = []
  const traffic = { running: true }
  // Plays the load balancer: polls readiness, so that requests go only to hosts that are ready.
  const poll = async (): Promise<void> => {
    while (traffic.running) {
      await Promise.all([...isReady.keys()].map(async (id) => {
        isReady.set(id, await sendRequest(url(id), '', 'GET', '/ready').then(({ status }) => status === 200, () => false))
      }))
      await new Promise((resolve) => setTimeout(resolve, 10))
    }
  }
  const call = async (client: number): Promise<void> => {
    for (let turn = client; traffic.running; turn += 1) {
      const ready = [...isReady].filter(([, value]) => value).map(([id]) => id)
      const id = ready[turn % ready.length]
      if (id === undefined) continue
      const sent = await sendRequest(url(id), TOKENS.parish, 'POST', '/v1/services/quotes/requests/quote', `beads ${turn}`)
        .then(({ status, text }) => status === 200 ? 'answered' : text, (error: Error) => `${id}: ${error.message}`)
      outcomes.push(sent)
    }
  }
  const loops = [poll(), ...Array.from({ length: 8 }, (_, client) => call(client))]
  for (const { id } of deployment.hosts) {
    daemons.get(id)!.kill('SIGTERM')
    expect(await daemons.get(id)!.waitUntilExit()).toBe(0)
    start(id)
    expect(await waitUntilReady(daemons.get(id)!, Date.now() + 15_000)).toBe(true)
  }
  traffic.running = false
  await Promise.all(loops)
  const failed = outcomes.filter((outcome) => outcome !== 'answered')
  expect(failed).toEqual([])
  expect(outcomes.length).toBeGreaterThan(100)
}, 120_000)
