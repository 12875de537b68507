import { Pool } from 'undici'
import { z } from 'zod'
import type { Random } from '../../src/common/index.js'
import { getReadyUrl, type Host, type HostSet } from './hosts.js'
import { CONFIG_APPLY_MS, CONTACT_MS, type JobRecord, type Ledger, type StepPlan } from './ledger.js'

const PATIENCE_MS = 3000
const MAX_ATTEMPTS = 6
const RETRY_MS = 200
const MAX_LASTING = 8
const MAX_CONNECTIONS = 16
const KEEP_ALIVE_MS = 50_000
const FOLLOW_MS = 500
const READY_CHECK_MS = 1000
const MISSES_UNTIL_OUT = 2
const OPERATOR_WITHIN_MS = 1000
const MAX_FAILURES = 2
const SERVICES = [{ name: 'guarded', rejectsOverload: true }, { name: 'open', rejectsOverload: false }]
const BASE = { kind: 'non_idempotent', targetLatencyMs: 2000, maxAttempts: MAX_FAILURES + 1, slackFactor: 4 }
const HOST_NAME = 'soak.example'
const EXTRA_QUEUE = 'extra'
/** A queue that no configuration has. */
const NO_QUEUE = 'never'

export const listServices = (): typeof SERVICES => SERVICES

const stateSchema = z.object({ state: z.string() })
const versionSchema = z.object({ version: z.number() })

/** A client's connections to one host. Concurrent requests of the client use one connection each. */
interface Connection { host: Host, pool: Pool }

interface Answer { status: number, text: string, retryAfterMs: number }

export interface Traffic {
  /** No new jobs; what is accepted is still followed. */
  stopSubmitting (): void
  /** Sends the next version; `restoresQueues` chooses one in which all queues are there. */
  putConfiguration (restoresQueues?: boolean): Promise<void>
  putInvalid (): Promise<void>
  /** Cancels all lasting jobs, as no other client does at the end. */
  cancelLasting (): Promise<void>
  counts: { accepted: number, refused: number, unclear: number, answers: number, breaks: number }
  close (): Promise<void>
}

export interface TrafficOptions { hosts: HostSet, ledger: Ledger, random: Random, clients: number, jobsPerS: number }

/** Clients and an operator, by PROTOCOL.md. */
export function openTraffic ({ hosts, ledger, random, clients, jobsPerS }: TrafficOptions): Traffic {
  const state = { isClosed: false, submits: true, nextId: 0, version: 0 }
  const counts = { accepted: 0, refused: 0, unclear: 0, answers: 0, breaks: 0 }
  const misses = new Map(hosts.entries.map((host) => [host, MISSES_UNTIL_OUT]))
  const connections = new Map<string, Connection>()
  const pools: Pool[] = []
  const steps: Array<Promise<void>> = []

  const wait = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms))

  const watchReadiness = async (host: Host): Promise<void> => {
    while (!state.isClosed) {
      const nextAt = performance.now() + READY_CHECK_MS
      const isReady = await fetch(getReadyUrl(host), { signal: AbortSignal.timeout(READY_CHECK_MS) }).then((reply) => reply.status === 200, () => false)
      misses.set(host, isReady ? 0 : (misses.get(host) ?? 0) + 1)
      await wait(Math.max(0, nextAt - performance.now()))
    }
  }

  /** The platform puts a new connection on a host in rotation; an open one stays with its host. */
  const openConnection = (client: string, avoid: Host | undefined): Connection => {
    const existing = connections.get(client)
    if (existing !== undefined && existing.host !== avoid) return existing
    const inRotation = hosts.entries.filter((host) => (misses.get(host) ?? 0) < MISSES_UNTIL_OUT)
    const candidates = (inRotation.length * 2 < hosts.entries.length ? hosts.entries : inRotation).filter((host) => host !== avoid)
    const host = random.pick(candidates.length > 0 ? candidates : hosts.entries)
    const created = { host, pool: new Pool(`http://${hosts.clientLinks.get(host)?.address}`, { connections: MAX_CONNECTIONS, keepAliveTimeout: KEEP_ALIVE_MS, keepAliveMaxTimeout: KEEP_ALIVE_MS }) }
    connections.set(client, created)
    pools.push(created.pool)
    return created
  }

  const send = async (client: string, method: 'GET' | 'POST' | 'DELETE', path: string, body?: object, avoid?: Host): Promise<{ answer: Answer | undefined, host: Host }> => {
    const connection = openConnection(client, avoid)
    const { host, pool } = connection
    const leave = (): void => { if (connections.get(client) === connection) connections.delete(client) }
    const sentAt = performance.now()
    try {
      const reply = await pool.request({
        method,
        path,
        headers: { host: HOST_NAME, 'content-type': 'application/json', 'x-sequoiadrift-deadline-ms': String(PATIENCE_MS) },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
        signal: AbortSignal.timeout(PATIENCE_MS)
      })
      const text = await reply.body.text()
      counts.answers += 1
      if (reply.headers.connection === 'close') leave()
      return { answer: { status: reply.statusCode, text, retryAfterMs: Number(reply.headers['retry-after'] ?? 0) * 1000 }, host }
    } catch (error) {
      const { code, name } = error as Error & { code?: string }
      counts.breaks += 1
      ledger.trace('no-answer', { client, host: host.name, method, path, error: code ?? name, ms: Math.round(performance.now() - sentAt) })
      const wasRead = (hosts.clientLinks.get(host)?.getRefusedAt() ?? 0) < sentAt
      const isBroken = wasRead && (code === 'UND_ERR_SOCKET' || code === 'ECONNRESET' || code === 'EPIPE')
      if (isBroken) ledger.observeBreak(`${method} ${path} at ${host.name}`, sentAt, performance.now() - host.stoppedAt < CONTACT_MS * 3 || performance.now() - ledger.configuration.ackedAt < CONTACT_MS)
      leave()
      return { answer: undefined, host }
    }
  }

  const planSteps = (kind: string): StepPlan[] => {
    if (kind === 'lasting') return [{ count: 1 + random.below(2), cpu: 300, memMb: 128, runMs: 0, dependsOn: [], lasting: true, failures: 0 }]
    // Runs that outlast a lease without renewal show whether a host waits for its end.
    if (kind === 'long') return [{ count: 1 + random.below(3), cpu: 200, memMb: 128, runMs: 4000 + random.below(1000), dependsOn: [], lasting: false, failures: 0 }]
    return Array.from({ length: 1 + random.below(3) }, (_, number) => ({
      count: 1 + random.below(5),
      cpu: 200 + 100 * random.below(10),
      memMb: 128 * (1 + random.below(8)),
      runMs: 50 + random.below(1200),
      dependsOn: number > 0 && random.next() < 0.8 ? [random.below(number)] : [],
      lasting: false,
      failures: random.next() < 0.1 ? 1 + random.below(MAX_FAILURES) : 0
    }))
  }

  const submit = async (client: string, job: JobRecord, avoid?: Host): Promise<Answer | undefined> => {
    const path = `/${job.queue}/${job.id}`
    const body = {
      spec: job.spec,
      phases: job.steps.map((step) => ({ count: step.count, cpu: step.cpu, memMb: step.memMb, estimateMs: step.runMs, ...(step.dependsOn.length > 0 ? { dependsOn: step.dependsOn } : {}), ...(step.lasting ? { longRunning: true } : {}) }))
    }
    job.openAttempts += 1
    const { configuration } = ledger
    const isSettled = Math.max(...configuration.sent.keys()) === configuration.acked && performance.now() > configuration.ackedAt + CONFIG_APPLY_MS
    const version = configuration.acked
    const { answer, host } = await send(client, 'POST', path, body, avoid)
    job.openAttempts -= 1
    ledger.trace('submit', { client, job: job.id, host: host.name, status: answer?.status ?? 'none' })
    const isStillSettled = isSettled && Math.max(...configuration.sent.keys()) === version
    if (answer === undefined || answer.status === 502 || answer.status === 504) job.isUnclear = true
    else if (answer.status >= 200 && answer.status < 300) {
      if (job.acceptedAt === undefined) counts.accepted += 1
      job.acceptedAt ??= performance.now()
      if (job.queue === NO_QUEUE) ledger.report('CONFIG', `${job.id} was accepted for a queue that never existed`)
      if (job.queue === EXTRA_QUEUE && isStillSettled && configuration.hasExtra.get(version) === false) ledger.report('CONFIG', `${job.id} was accepted for a queue that version ${version} has removed`)
    } else if (answer.status === 404) {
      const isThere = job.queue !== NO_QUEUE && (job.queue !== EXTRA_QUEUE || configuration.hasExtra.get(version) === true)
      if (isThere && isStillSettled) ledger.report('CONFIG', `${job.id} got 404, and its queue is in version ${version}`)
    } else if (answer.status !== 429 && answer.status !== 503) ledger.report('answer', `${job.id} got status ${answer.status}: ${answer.text.slice(0, 200)}`)
    return answer
  }

  /** Sends a job until it has a clear answer. */
  const runSubmission = async (client: string, job: JobRecord): Promise<boolean> => {
    const isTwice = random.next() < 0.2
    const copy = isTwice ? wait(random.below(100)).then(() => submit(`${client}-copy`, job)) : undefined
    let avoid: Host | undefined
    for (let attempt = 0; attempt < MAX_ATTEMPTS && !state.isClosed; attempt += 1) {
      const answer = await submit(client, job, avoid)
      if (answer !== undefined && answer.status !== 502 && answer.status !== 504) {
        await copy
        if (job.acceptedAt !== undefined) {
          if (random.next() < 0.1) wait(1000 + random.below(3000)).then(() => submit(`${client}-copy`, job)).catch(() => {})
          return true
        }
        if (!job.isUnclear && job.openAttempts === 0) {
          counts.refused += 1
          job.refusedAt = performance.now()
          if ([...ledger.lines].some((line) => line.includes(' start ') && line.includes(job.id))) ledger.report('REFUSED', `a task of ${job.id} has started, and all attempts to submit it were refused`)
        }
        await wait(answer.retryAfterMs)
        return false
      }
      avoid = connections.get(client)?.host ?? avoid
      await wait(RETRY_MS)
    }
    await copy
    if (job.acceptedAt === undefined) counts.unclear += 1
    return job.acceptedAt !== undefined
  }

  const readState = async (client: string, job: JobRecord): Promise<string> => {
    const sentAt = performance.now()
    const { answer } = await send(client, 'GET', `/${job.queue}/${job.id}`)
    if (answer === undefined) return ''
    const parsed = answer.status === 200 ? stateSchema.safeParse(JSON.parse(answer.text)) : undefined
    const shown = parsed?.success === true ? parsed.data.state : ''
    ledger.observeState(job, answer.status, shown, sentAt)
    return shown
  }

  const cancel = async (client: string, job: JobRecord): Promise<void> => {
    if (job.queue === NO_QUEUE) return
    job.cancelSentAt ??= performance.now()
    while (!state.isClosed && job.cancelledAt === undefined) {
      const sentAt = performance.now()
      const { answer } = await send(client, 'DELETE', `/${job.queue}/${job.id}`)
      ledger.trace('cancel', { job: job.id, status: answer?.status ?? 'none' })
      if (answer?.status === 410) ledger.observeState(job, 410, '', sentAt)
      if (answer !== undefined && (answer.status < 300 || answer.status === 410)) job.cancelledAt = performance.now()
      else await wait(Math.max(RETRY_MS, answer?.retryAfterMs ?? 0))
    }
  }

  const runJob = async (client: string): Promise<void> => {
    const draw = random.next()
    const kind = draw < 0.08 ? 'lasting' : draw < 0.25 ? 'long' : 'batch'
    const place = random.next()
    const queue = place < 0.04 ? NO_QUEUE : place < 0.12 ? EXTRA_QUEUE : random.pick(SERVICES).name
    const lastingOpen = [...ledger.jobs.values()].filter((job) => job.steps[0]?.lasting === true && job.cancelSentAt === undefined).length
    state.nextId += 1
    const id = (state.nextId * 0x10000 + random.below(0x10000)).toString(16).padStart(16, '0')
    const job = ledger.addJob({ id, queue, spec: `spec ${id}`, steps: planSteps(kind === 'lasting' && lastingOpen >= MAX_LASTING ? 'batch' : kind) })
    if (!await runSubmission(client, job)) {
      if (job.isUnclear && random.next() < 0.5) await cancel(client, job)
      return
    }
    const isLasting = job.steps[0]?.lasting === true
    const cancelAt = random.next() < (isLasting ? 0.4 : 0.12) ? performance.now() + random.below(isLasting ? 12_000 : 1500) : Infinity
    while (!state.isClosed) {
      await wait(FOLLOW_MS * (0.5 + random.next()))
      if (job.cancelSentAt === undefined && performance.now() > cancelAt) await cancel(client, job)
      const shown = await readState(client, job)
      if (shown === 'completed' || shown === 'cancelled' || shown === 'failed') return
      if (isLasting) await wait(FOLLOW_MS)
    }
  }

  /** Each client has open jobs at the same time; all of them share its connection. */
  const runClient = async (number: number): Promise<void> => {
    const open = new Set<Promise<void>>()
    while (!state.isClosed) {
      await wait((1000 * clients / jobsPerS) * (0.5 + random.next()))
      if (!state.submits || state.isClosed) continue
      const job = runJob(`client-${number}`).finally(() => open.delete(job))
      open.add(job)
    }
    await Promise.all(open)
  }

  const sendControl = async (method: string, path: string, body: string | undefined): Promise<{ status: number, text: string }> => {
    const control = hosts.controlLinks.get(random.pick(hosts.voters))?.address ?? ''
    return await fetch(`http://${control}${path}`, { method, ...(body === undefined ? {} : { body, headers: { 'content-type': 'application/json' } }), signal: AbortSignal.timeout(OPERATOR_WITHIN_MS) })
      .then(async (reply) => ({ status: reply.status, text: await reply.text() }), () => ({ status: 0, text: '' }))
  }

  const createConfiguration = (version: number): object => {
    const names = [...SERVICES.map(({ name }) => ({ queue: name, service: name })), ...(version % 2 === 0 ? [{ queue: EXTRA_QUEUE, service: 'guarded' }] : [])]
    return {
      version,
      routes: names.map(({ queue, service }, priority) => ({ ...BASE, name: `r-${queue}`, host: HOST_NAME, pathPrefix: `/${queue}/`, timeoutMs: 2000 + version, priority, service })),
      services: SERVICES.map((service) => ({ ...service, healthPath: '/healthz', maxConns: 64, protocol: 'h1', tls: false, standby: false })),
      limits: { maxHeaderBytes: 16384, maxBodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
    }
  }

  const putConfiguration = async (restoresQueues = false): Promise<void> => {
    const { configuration } = ledger
    state.version += 1 + random.below(3)
    if (restoresQueues) state.version += state.version % 2
    const { version } = state
    const body = JSON.stringify(createConfiguration(version))
    configuration.sent.set(version, body)
    configuration.hasExtra.set(version, version % 2 === 0)
    const deadline = performance.now() + 20_000
    while (!state.isClosed && performance.now() < deadline) {
      const { status, text } = await sendControl('POST', '/config/put', body)
      ledger.trace('config-put', { version, status })
      if (status === 200) {
        if (version > configuration.acked) Object.assign(configuration, { acked: version, ackedAt: performance.now() })
        return
      }
      if (status >= 400 && status < 500 && status !== 408 && status !== 429) return ledger.report('CONFIG', `version ${version} was refused with ${status}: ${text.slice(0, 200)}`)
      await wait(RETRY_MS)
    }
  }

  const putInvalid = async (): Promise<void> => {
    const version = state.version + 1000
    const valid = createConfiguration(version) as { routes: object[] }
    const broken = random.pick([
      { ...valid, routes: valid.routes.map((route) => ({ ...route, service: 'nowhere' })) },
      { ...valid, routes: [...valid.routes, ...valid.routes] },
      { ...valid, routes: valid.routes.map((route) => ({ ...route, timeoutMs: 0 })) },
      undefined
    ])
    const { status } = await sendControl('POST', '/config/put', broken === undefined ? JSON.stringify(valid).slice(0, -20) : JSON.stringify(broken))
    if (status >= 200 && status < 400) ledger.report('CONFIG', `an invalid configuration was answered with ${status}`)
  }

  const readConfigurations = async (): Promise<void> => {
    while (!state.isClosed) {
      const { acked } = ledger.configuration
      const { status, text } = await sendControl('GET', '/config/get', undefined)
      if (status === 200) {
        const read = versionSchema.safeParse(JSON.parse(text))
        const version = read.success ? read.data.version : -1
        if (version < acked) ledger.report('CONFIG', `version ${version} was read after version ${acked} was acknowledged`)
        if (JSON.stringify(JSON.parse(text)) !== ledger.configuration.sent.get(version)) ledger.report('CONFIG', `version ${version} was read with other content than was sent`)
      }
      await wait(300)
    }
  }

  hosts.entries.forEach((host) => steps.push(watchReadiness(host)))
  steps.push(readConfigurations())
  Array.from({ length: clients }, (_, number) => steps.push(runClient(number)))

  return {
    counts,
    stopSubmitting: () => { state.submits = false },
    putConfiguration,
    putInvalid,
    cancelLasting: async () => {
      await Promise.all([...ledger.jobs.values()].filter((job) => job.steps[0]?.lasting === true && (job.acceptedAt !== undefined || job.isUnclear)).map((job) => cancel('last-client', job)))
    },
    close: async () => {
      state.isClosed = true
      await Promise.allSettled(pools.map((pool) => pool.destroy()))
      await Promise.allSettled(steps)
    }
  }
}
