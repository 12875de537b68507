// Stand-ins for the operator and the requesters, as PROTOCOL.md tells them.
import { request, Agent } from 'node:http'
import { sleep } from './deployment.mjs'

const agent = new Agent({ keepAlive: true, maxSockets: 64 })

/** Sends one HTTP request. Resolves with status 0 if there was no complete answer. */
export function send (address, method, path, { headers = {}, body, timeoutMs = 3000 } = {}) {
  const [host, port] = address.split(':')
  return new Promise((resolve) => {
    const text = body === undefined ? undefined : typeof body === 'string' ? body : JSON.stringify(body)
    const outgoing = request({
      host, port, method, path, agent, timeout: timeoutMs, headers: { ...headers, ...(text === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }) }
    }, (answer) => {
      const chunks = []
      answer.on('data', (chunk) => chunks.push(chunk))
      answer.on('end', () => {
        const content = Buffer.concat(chunks).toString()
        let parsed
        try { parsed = JSON.parse(content) } catch { parsed = undefined }
        resolve({ status: answer.complete ? answer.statusCode : 0, body: parsed, headers: answer.headers })
      })
      answer.on('error', () => resolve({ status: 0 }))
    })
    const timer = setTimeout(() => outgoing.destroy(new Error('timeout')), timeoutMs)
    outgoing.on('close', () => clearTimeout(timer))
    outgoing.on('error', () => resolve({ status: 0 }))
    outgoing.end(text)
  })
}

/** Sends an order to `control` until it has a clear answer, to any node, with increasing backoff. */
export async function order (deployment, record, method, path, body, { limitMs = 20_000 } = {}) {
  const until = performance.now() + limitMs
  let backoffMs = 100
  for (let node = 0; performance.now() < until; node += 1) {
    const address = deployment.controls[node % deployment.controls.length]
    const answer = await send(address, method, path, { body, timeoutMs: 1000 })
    record('order', { method, path, address, status: answer.status })
    if (answer.status !== 0 && answer.status < 500 && answer.status !== 408 && answer.status !== 429) return answer
    await sleep(backoffMs)
    backoffMs = Math.min(1000, backoffMs * 1.5)
  }
  throw new Error(`${method} ${path} had no clear answer`)
}

export const QUEUE = { name: 'r-quote', host: 'nony24.example', pathPrefix: '/quote/', kind: 'non_idempotent', timeoutMs: 3000, targetLatencyMs: 1000, priority: 0, service: 'intake', maxAttempts: 3, slackFactor: 2 }
export const SERVICE = { name: 'intake', healthPath: '/healthz', maxConns: 64, protocol: 'h1', tls: false, rejectsOverload: true, standby: false }
export const LIMITS = { maxHeaderBytes: 16384, maxBodyBytes: 262144, headerTimeoutMs: 3000, idleTimeoutMs: 15000 }

export function createConfiguration (version, routes = [QUEUE], services = [SERVICE]) {
  return { version, routes, services, limits: LIMITS }
}

/** Starts the traffic of the platform: the first configuration, and entry hosts that are in rotation. */
export async function prepare (deployment, record, configuration) {
  await sleep(1500)
  const answer = await order(deployment, record, 'POST', '/config/put', configuration)
  if (answer.status !== 200) throw new Error(`the configuration was refused: ${JSON.stringify(answer.body)}`)
  for (let tries = 0; tries < 100; tries += 1) {
    const ready = await Promise.all(deployment.entries.map(deployment.isReady))
    if (ready.every(Boolean)) return
    await sleep(100)
  }
  throw new Error('the entry hosts did not become ready')
}

export function createJobId () {
  return Array.from({ length: 16 }, () => Math.floor(Math.random() * 16).toString(16)).join('')
}

/** A requester: asks one entry host, and after no clear answer another one, with the same id. */
export function createRequester (deployment, record, queue = QUEUE) {
  const call = async (method, id, body, { tries = 5, deadlineMs = 3000 } = {}) => {
    let answer = { status: 0 }
    for (let attempt = 0; attempt < tries; attempt += 1) {
      const address = deployment.frontends[Math.floor(Math.random() * deployment.frontends.length)]
      answer = await send(address, method, queue.pathPrefix + id, { headers: { host: queue.host, 'x-sequoiadrift-deadline-ms': String(deadlineMs) }, body, timeoutMs: deadlineMs })
      record('request', { method, id, address, status: answer.status, state: answer.body?.state, pending: answer.body?.pending })
      if (answer.status !== 0 && answer.status !== 502 && answer.status !== 503 && answer.status !== 504 && answer.status !== 429) return answer
      await sleep(answer.status === 429 || answer.status === 503 ? Math.min(2000, 1000 * Number(answer.headers?.['retry-after'] ?? 0.2)) : 100)
    }
    return answer
  }
  return {
    submit: (id, job, options) => call('POST', id, job, options),
    read: (id, options) => call('GET', id, undefined, options),
    cancel: (id, options) => call('DELETE', id, undefined, options),
    count: (options) => call('GET', '', undefined, options)
  }
}
