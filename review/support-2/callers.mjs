// Stand-ins for requesters and for the operator.
import { request } from 'node:http'
import { now, wait } from './record.mjs'

export const HOST_NAME = 'review.example'
const DEADLINE_MS = 3000

/** Sends one request, on a connection of its own unless an agent is given; resolves with the status, 0 if there was no whole answer. */
export function send ({ ip, port, method, path, body, headers = {}, timeoutMs = DEADLINE_MS, agent = false }) {
  return new Promise((resolve) => {
    const sentAt = now()
    const text = body === undefined ? undefined : typeof body === 'string' ? body : JSON.stringify(body)
    const finish = (status, answer = '') => resolve({ status, text: answer, ms: Math.round(now() - sentAt) })
    const outgoing = request({ host: ip, port, method, path, agent, headers: { 'content-type': 'application/json', ...(text === undefined ? {} : { 'content-length': Buffer.byteLength(text) }), ...headers } }, (reply) => {
      const chunks = []
      reply.on('data', (chunk) => chunks.push(chunk))
      reply.on('end', () => finish(reply.statusCode, Buffer.concat(chunks).toString()))
      reply.on('error', () => finish(0))
      reply.on('aborted', () => finish(0))
    })
    outgoing.on('error', () => finish(0))
    setTimeout(() => {
      outgoing.destroy()
      finish(0)
    }, timeoutMs).unref()
    outgoing.end(text)
  })
}

/** A requester: sends to one of the entry hosts, in turn, as the platform forwards it. */
export function createRequester ({ record, entries }) {
  let turn = 0
  const call = async (method, path, body, entry) => {
    const host = entry ?? entries[turn++ % entries.length]
    const answer = await send({ ip: host.ip, port: 8161, method, path, body, headers: { host: HOST_NAME, 'x-sequoiadrift-deadline-ms': String(DEADLINE_MS) } })
    record('request', { method, path, host: host.name, status: answer.status, ms: answer.ms, ...(method === 'GET' && answer.status === 200 ? { answer: answer.text } : {}) })
    return answer
  }
  /** Sends again, to the next host, after no answer, 429, 502, 503 or 504, until the time is over. */
  const callUntilClear = async (method, path, body, timeoutMs) => {
    const deadline = now() + timeoutMs
    let answer = { status: 0 }
    while (now() < deadline) {
      answer = await call(method, path, body)
      if (![0, 429, 502, 503, 504].includes(answer.status)) return answer
      await wait(200)
    }
    return answer
  }
  return {
    call,
    callUntilClear,
    submit: (queue, id, body, timeoutMs = 10_000) => callUntilClear('POST', `/${queue}/${id}`, body, timeoutMs),
    cancel: (queue, id, timeoutMs = 10_000) => callUntilClear('DELETE', `/${queue}/${id}`, undefined, timeoutMs),
    readState: async (queue, id, timeoutMs = 3000) => {
      const answer = await callUntilClear('GET', `/${queue}/${id}`, undefined, timeoutMs)
      try {
        return answer.status === 200 ? JSON.parse(answer.text).state : String(answer.status)
      } catch {
        return String(answer.status)
      }
    }
  }
}

/** A job id: 16 hexadecimal digits. */
export const createJobId = () => Array.from({ length: 16 }, () => Math.floor(Math.random() * 16).toString(16)).join('')

export const createRoute = (name, fields = {}) => ({ name: `r-${name}`, host: HOST_NAME, pathPrefix: `/${name}/`, kind: 'non_idempotent', timeoutMs: 3000, targetLatencyMs: 1000, priority: 0, service: 'svc', maxAttempts: 3, slackFactor: 2, ...fields })

export const createConfiguration = (version, routes, services = [{ name: 'svc' }]) => ({
  version,
  routes,
  services: services.map((service) => ({ healthPath: '/healthz', maxConns: 64, protocol: 'h1', tls: false, rejectsOverload: true, standby: false, ...service })),
  limits: { maxHeaderBytes: 16384, maxBodyBytes: 262144, headerTimeoutMs: 3000, idleTimeoutMs: 15000 }
})

/** The operator: sends to the voters in turn until an answer is clear. */
export async function putConfiguration ({ record, voters, configuration, timeoutMs = 20_000, answerMs = 1000 }) {
  const deadline = now() + timeoutMs
  for (let turn = 0; now() < deadline; turn += 1) {
    const host = voters[turn % voters.length]
    const { status } = await send({ ip: host.ip, port: 8166, method: 'POST', path: '/config/put', body: configuration, timeoutMs: answerMs })
    record('config-put', { version: configuration.version, host: host.name, status })
    if (status >= 200 && status < 300) return true
    if ([400, 409, 412, 413, 422].includes(status)) return false
    await wait(300)
  }
  return false
}
