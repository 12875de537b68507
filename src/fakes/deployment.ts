import { mkdtemp, rm } from 'node:fs/promises'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { request } from 'undici'
import { computeTokenHash } from '../programs/entryHost/principals.js'

export const TOKENS = { operator: 'test-operator-token', target: 'test-target-token', parish: 'test-token-of-parish', rival: 'test-token-of-rival' }

/** Below the ephemeral ports: an outgoing connection could otherwise take the port of a host that restarts. */
const FIRST_PORT = 10_000
const PORTS = 22_000

/** Finds ports of the loopback interface that are free at the moment; another process may still take them. */
export async function findPorts (count: number): Promise<number[]> {
  const ports = new Set<number>()
  while (ports.size < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS)
    if (await isFree(port)) ports.add(port)
  }
  return [...ports]
}

function isFree (port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}

export interface Deployment {
  folder: string
  toml: string
  hosts: Array<{ id: string, zone: string, url: string, peer: string }>
  remove (): Promise<void>
}

/** Creates the settings and the folder of a deployment on loopback: one voter and `hostsPerZone - 1` followers in each zone. */
export async function createDeployment (zones: string[], hostsPerZone: number): Promise<Deployment> {
  const folder = await mkdtemp(join(tmpdir(), 'sequoiadrift-'))
  const ports = await findPorts(zones.length * hostsPerZone * 2)
  const hosts = zones.flatMap((zone, z) => Array.from({ length: hostsPerZone }, (_, n) => {
    const index = (z * hostsPerZone + n) * 2
    return { id: `${zone}-${n + 1}`, zone, votes: n === 0, http: `127.0.0.1:${ports[index]}`, peer: `127.0.0.1:${ports[index + 1]}` }
  }))
  const member = (id: 'parish' | 'rival'): string => `[[members]]\nid = "${id}"\ntoken_hash = "${computeTokenHash(TOKENS[id])}"\nquota = { cores = 10000, memory_gb = 40000 }\n`
  const toml = `
[deployment]
name = "test"
[host]
data_folder = "${folder}/{host}"
ready_grace_ms = 100
drain_ms = 5000
[logs]
level = "silent"
[security]
cluster_secret = "0123456789012345678901234567890123456789"
operator_token_hash = "${computeTokenHash(TOKENS.operator)}"
target_token_hash = "${computeTokenHash(TOKENS.target)}"
${hosts.map(({ id, zone, votes, http, peer }) => `[[hosts]]
id = "${id}"
region = "r"
availability_zone = "${zone}"
http = "${http}"
peer = "${peer}"
has_disk = ${votes}
voter = ${votes}
`).join('')}
${member('parish')}${member('rival')}`
  return {
    folder,
    toml,
    hosts: hosts.map(({ id, zone, http, peer }) => ({ id, zone, url: `http://${http}`, peer })),
    remove: () => rm(folder, { recursive: true, force: true })
  }
}

export interface HttpAnswer {
  status: number
  headers: Record<string, unknown>
  text: string
  /** Parsed body, undefined if it is not JSON. */
  json: any
}

export async function sendRequest (url: string, token: string, method: string, path: string, body?: unknown, headers: Record<string, string> = {}): Promise<HttpAnswer> {
  const answer = await request(`${url}${path}`, {
    method: method as 'GET',
    headers: { authorization: `Bearer ${token}`, ...(body === undefined ? {} : { 'content-type': 'application/json' }), ...headers },
    body: body === undefined ? null : typeof body === 'string' ? body : JSON.stringify(body)
  })
  const text = await answer.body.text()
  return { status: answer.statusCode, headers: answer.headers, text, json: parseJson(text) }
}

/** Polls until `check` returns a value; fails after `timeoutMs`. */
export async function waitFor<T> (condition: string, timeoutMs: number, check: () => Promise<T | undefined | false>): Promise<T> {
  const deadline = performance.now() + timeoutMs
  while (performance.now() < deadline) {
    const value = await check().catch(() => undefined)
    if (value !== undefined && value !== false) return value
    await new Promise((resolve) => setTimeout(resolve, 50))
  }
  throw new Error(`${condition} did not happen within ${timeoutMs} ms`)
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
