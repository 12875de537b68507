import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterAll, beforeAll, expect, test } from 'vitest'
import { request } from 'undici'
import { startEntry, startVoter, type RunningProcess } from '../../platform/programs.js'
import type { ProcessSettings } from '../../platform/settings.js'
import { get, openStandInWorker, post, postText, sendHeartbeat, type StandInWorker } from './standIn.js'

const VOTERS = ['127.0.0.11', '127.0.0.12', '127.0.0.13']
const ENTRY = '127.0.0.14'
const PEER_PORT = 21_720
const CONTROL_PORT = 21_766
const CLIENT_PORT = 21_761
const READY_PORT = 21_767
const METRICS_PORT = 21_764
const WORKER_HOST = '127.0.0.15'
const QUEUE = { name: 'r-1', host: 'desk.example', pathPrefix: '/quotes/', kind: 'non_idempotent', timeoutMs: 3000, targetLatencyMs: 250, priority: 0, service: 'desk', maxAttempts: 2, slackFactor: 1.5 }
const CONFIG = { version: 3, routes: [QUEUE], services: [{ name: 'desk', healthPath: '/healthz', maxConns: 64, protocol: 'h1', tls: false, rejectsOverload: true, standby: false }], limits: {} }
const HOST = { host: 'desk.example' }
const CLIENTS = `http://${ENTRY}:${CLIENT_PORT}`

const programs = new Map<string, RunningProcess>()
const worker: { current?: StandInWorker } = {}
let folder = ''

function createSettings (hostId: string, more: Partial<ProcessSettings>): ProcessSettings {
  return {
    hostName: hostId, hostId, availabilityZone: 'a', peerPort: PEER_PORT, seedHosts: VOTERS, foundsDeployment: true, dataFolder: undefined, clientAddress: undefined, readinessAddress: undefined, controlAddress: undefined, toleratedLosses: 1, stopWithinMs: 6000, serviceBound: { overTargetMs: 4000, stopMs: 400 }, hostLeaseMs: 3000, allowsCopies: true, reorderMs: 250, evacuateMs: 5000, zones: [], hostApiAddress: undefined, adviceAddress: undefined, metricsPort: undefined, ...more
  }
}

async function waitFor (condition: string, check: () => Promise<boolean>): Promise<void> {
  const deadline = performance.now() + 15_000
  while (performance.now() < deadline) {
    if (await check().catch(() => false)) return
    await new Promise((resolve) => setTimeout(resolve, 50))
  }
  throw new Error(`${condition} did not happen in time`)
}

const getState = async (id: string): Promise<string> => (await get(`${CLIENTS}/quotes/${id}`, HOST)).text

beforeAll(async () => {
  folder = await mkdtemp(join(tmpdir(), 'sequoiadrift-platform-'))
  await Promise.all(VOTERS.map(async (host) => {
    programs.set(host, await startVoter(createSettings(host, { dataFolder: join(folder, host), controlAddress: `${host}:${CONTROL_PORT}` })))
  }))
  programs.set(ENTRY, await startEntry(createSettings(ENTRY, { clientAddress: `${ENTRY}:${CLIENT_PORT}`, readinessAddress: `${ENTRY}:${READY_PORT}`, metricsPort: METRICS_PORT })))
  worker.current = await openStandInWorker('i-1', WORKER_HOST, 200)
})

afterAll(async () => {
  await Promise.all([...programs.values()].map((program) => program.stop()))
  await worker.current?.close()
  await rm(folder, { recursive: true })
})

test('a job runs to completion over all interfaces, and invalid requests are refused', async () => {
  expect((await get(`http://${ENTRY}:${READY_PORT}/readyz`)).status).toBe(503)
  await waitFor('the configuration', async () => await post(`http://${VOTERS[1]}:${CONTROL_PORT}/config/put`, CONFIG) === 200)
  await waitFor('the report', async () => await sendHeartbeat(`${VOTERS[2]}:${CONTROL_PORT}`, worker.current!, 'desk') === 200)
  await waitFor('readiness', async () => (await get(`http://${ENTRY}:${READY_PORT}/readyz`)).status === 200)
  const job = { spec: 'x', phases: [{ count: 2, cpu: 500, memMb: 256, estimateMs: 200 }, { count: 1, cpu: 500, dependsOn: [0] }] }
  expect([
    await post(`${CLIENTS}/quotes/00000000000000a1`, job, HOST),
    await post(`${CLIENTS}/quotes/00000000000000a1`, job, HOST),
    await post(`${CLIENTS}/nowhere/00000000000000a2`, job, HOST),
    await post(`${CLIENTS}/quotes/00000000000000a3`, { phases: [] }, HOST),
    await post(`http://${VOTERS[0]}:${CONTROL_PORT}/config/put`, { ...CONFIG, version: 4, routes: [{ ...QUEUE, service: 'none' }] }),
    await post(`http://${VOTERS[0]}:${CONTROL_PORT}/instances/i-9/heartbeat`, { service: 7 })
  ]).toEqual([200, 200, 404, 400, 400, 400])
  await waitFor('the end', async () => await getState('00000000000000a1') === '{"state":"completed"}')
  expect(worker.current?.started).toHaveLength(3)
  expect((await get(`${CLIENTS}/quotes/00000000000000ff`, HOST)).status).toBe(410)
  expect((await get(`${CLIENTS}/quotes/`, HOST)).text).toBe('{"pending":0}')
  expect(JSON.parse((await get(`http://${VOTERS[2]}:${CONTROL_PORT}/config/get`)).text)).toEqual(CONFIG)
  expect((await get(`http://${ENTRY}:${METRICS_PORT}/metrics`)).text).toContain('sequoiadrift_http_request_ms_bucket')
})

// Guards against an odd entry of another writer that ends the processes that read it, or hides the workers.
test('odd entries among those of the workers change nothing', async () => {
  const { address = '', born = 0, started = [] } = worker.current ?? {}
  const entry = { service: 'desk', address, zone: 'a', state: 'ready', born: born + 1, capacity: { cpu: 16000, memMb: 32768 }, labels: ['a', 'r1'] }
  const before = started.length
  const nested = `${'['.repeat(500_000)}${']'.repeat(500_000)}`
  const statuses = []
  for (const text of [
    nested,
    JSON.stringify({ ...entry, labels: 0 }).replace('"labels":0', `"labels":${nested}`),
    JSON.stringify({ ...entry, born: 0 }).replace('"born":0', '"born":1e999'),
    JSON.stringify({ ...entry, born: Number.MAX_SAFE_INTEGER }),
    JSON.stringify({ ...entry, address: `${WORKER_HOST}:99999` }),
    JSON.stringify({ ...entry, capacity: { cpu: 1e308, memMb: 1e308 } })
  ]) {
    for (const id of ['i-1', 'i-odd']) statuses.push(await postText(`http://${VOTERS[0]}:${CONTROL_PORT}/instances/${id}/heartbeat`, text))
  }
  expect(statuses.filter((status) => status !== 400)).toEqual([])
  expect(await post(`${CLIENTS}/quotes/00000000000000e1`, { spec: 'x', phases: [{ count: 2, cpu: 500, memMb: 256, estimateMs: 200 }] }, HOST)).toBe(200)
  await waitFor('the end', async () => await getState('00000000000000e1') === '{"state":"completed"}')
  expect(started.length - before).toBe(2)
})

test('a cancelled job is reported as cancelled', async () => {
  await post(`${CLIENTS}/quotes/00000000000000b1`, { spec: 'x', phases: [{ count: 1, cpu: 500, longRunning: true }] }, HOST)
  await waitFor('the start', async () => worker.current?.started.includes('00000000000000b1.0.0.0') === true)
  const reply = await request(`${CLIENTS}/quotes/00000000000000b1`, { method: 'DELETE', headers: HOST })
  await reply.body.dump()
  expect([reply.statusCode, await getState('00000000000000b1')]).toEqual([200, '{"state":"cancelled"}'])
})

test('accepted jobs survive the planned stop of the leader, and a later job completes', async () => {
  for (const host of VOTERS.slice(0, 2)) {
    await programs.get(host)?.stop()
    programs.set(host, await startVoter(createSettings(host, { foundsDeployment: false, dataFolder: join(folder, host), controlAddress: `${host}:${CONTROL_PORT}` })))
    await waitFor('a leader', async () => await getState('00000000000000a1') === '{"state":"completed"}')
  }
  await waitFor('acceptance', async () => await post(`${CLIENTS}/quotes/00000000000000c1`, { spec: 'x', phases: [{ count: 1, cpu: 500 }] }, HOST) === 200)
  await waitFor('the end', async () => await getState('00000000000000c1') === '{"state":"completed"}')
})

test('a planned stop of an entry host fails no request', async () => {
  const statuses: number[] = []
  const stopping = programs.get(ENTRY)!.stop()
  programs.delete(ENTRY)
  // Like the platform's load balancer: polls readiness each second and sends requests until the second failed poll.
  const isReady = async (): Promise<boolean> => (await get(`http://${ENTRY}:${READY_PORT}/readyz`)).status === 200
  const misses: boolean[] = []
  const watching = (async () => {
    while (misses.length < 2) {
      await new Promise((resolve) => setTimeout(resolve, 1000))
      if (!await isReady()) misses.push(true)
    }
  })()
  while (misses.length < 2) statuses.push((await get(`${CLIENTS}/quotes/00000000000000a1`, HOST)).status)
  await Promise.all([watching, stopping])
  expect([statuses.length > 10, [...new Set(statuses)]]).toEqual([true, [200]])
  await expect(get(`${CLIENTS}/quotes/`, HOST)).rejects.toThrow()
})
