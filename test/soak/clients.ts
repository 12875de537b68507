import { Pool } from 'undici'
import { z } from 'zod'
import type { Random } from '../../src/common/index.js'
import { getReadyUrl, type Host, type HostSet } from './hosts.js'
import { CONFIG_APPLY_MS, CONTACT_MS, type JobRecord, type InvariantChecker, type StepPlan } from './invariantChecker.js'

const REQUEST_TIMEOUT_MS = 3000
const MAX_ATTEMPTS = 6
const RETRY_MS = 200
const MAX_LONG_RUNNING_JOBS = 8
const MAX_CONNECTIONS = 16
const KEEP_ALIVE_MS = 50_000
const STATE_POLL_MS = 500
const READY_CHECK_MS = 1000
const FAILED_CHECKS_UNTIL_REMOVAL = 2
const OPERATOR_TIMEOUT_MS = 1000
const MAX_FAILURES = 2
/** One in this many jobs has a task that needs most of a worker, and so waits for a reservation while others take the free cores. */
const LARGE_TASK_INTERVAL = 9
const LARGE_TASK = { count: 1, cpu: 3500, memMb: 1024, runMs: 500, dependsOn: [], lasting: false, failures: 0 }
const SERVICES = [{ name: 'guarded', rejectsOverload: true }, { name: 'open', rejectsOverload: false }]
/** Settings that all queues of the configuration share. */
const QUEUE_SETTINGS = { kind: 'non_idempotent', targetLatencyMs: 2000, maxAttempts: MAX_FAILURES + 1, slackFactor: 4 }
const HOST_NAME = 'soak.example'
/** Queue that only configurations with an even version have. */
const OPTIONAL_QUEUE = 'extra'
/** Queue that no configuration has. */
const UNKNOWN_QUEUE = 'never'

export const listServices = (): typeof SERVICES => SERVICES

const stateSchema = z.object({ state: z.string() })
const versionSchema = z.object({ version: z.number() })

/** The connections of a client to one host; each concurrent request uses its own. */
interface Connection { host: Host, pool: Pool }

interface Answer { status: number, text: string, retryAfterMs: number }

export interface Traffic {
  /** Stops submitting jobs. The states of accepted jobs are still polled. */
  stopSubmitting (): void
  /** Sends the next version of the configuration; with `hasAllQueues` an even one, which has the optional queue. */
  putConfiguration (hasAllQueues?: boolean): Promise<void>
  putInvalidConfiguration (): Promise<void>
  /** Evacuates or readmits a zone, and repeats the request until it is acknowledged. */
  changeEvacuation (zone: string, change: 'start' | 'stop'): Promise<void>
  /** Cancels all long-running jobs, which don't end on their own. */
  cancelLongRunning (): Promise<void>
  counts: { accepted: number, refused: number, unclear: number, answers: number, breaks: number }
  close (): Promise<void>
}

export interface TrafficOptions { hosts: HostSet, checker: InvariantChecker, random: Random, clients: number, jobsPerS: number }

/** Fake clients and an operator, which follow PROTOCOL.md. */
export function openTraffic ({ hosts, checker, random, clients, jobsPerS }: TrafficOptions): Traffic {
  const state = { isClosed: false, submits: true, nextId: 0, version: 0 }
  const counts = { accepted: 0, refused: 0, unclear: 0, answers: 0, breaks: 0 }
  const failedChecks = new Map(hosts.entries.map((host) => [host, FAILED_CHECKS_UNTIL_REMOVAL]))
  const connections = new Map<string, Connection>()
  const pools: Pool[] = []
  const loops: Array<Promise<void>> = []

  const wait = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms))

  const watchReadiness = async (host: Host): Promise<void> => {
    while (!state.isClosed) {
      const nextAt = performance.now() + READY_CHECK_MS
      const isReady = await fetch(getReadyUrl(host), { signal: AbortSignal.timeout(READY_CHECK_MS) }).then((reply) => reply.status === 200, () => false)
      failedChecks.set(host, isReady ? 0 : (failedChecks.get(host) ?? 0) + 1)
      await wait(Math.max(0, nextAt - performance.now()))
    }
  }

  /**
   * Returns the open connection of the client, or opens one as the platform's load balancer does: to a random host
   * that passes its readiness checks, or to any host if fewer than half of them pass. `avoid` is not chosen if there is another host.
   */
  const openConnection = (client: string, avoid: Host | undefined): Connection => {
    const existing = connections.get(client)
    if (existing !== undefined && existing.host !== avoid) return existing
    const inRotation = hosts.entries.filter((host) => (failedChecks.get(host) ?? 0) < FAILED_CHECKS_UNTIL_REMOVAL)
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
    const dropConnection = (): void => { if (connections.get(client) === connection) connections.delete(client) }
    const sentAt = performance.now()
    try {
      const reply = await pool.request({
        method,
        path,
        headers: { host: HOST_NAME, 'content-type': 'application/json', 'x-sequoiadrift-deadline-ms': String(REQUEST_TIMEOUT_MS) },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS)
      })
      const text = await reply.body.text()
      counts.answers += 1
      if (reply.headers.connection === 'close') dropConnection()
      return { answer: { status: reply.statusCode, text, retryAfterMs: Number(reply.headers['retry-after'] ?? 0) * 1000 }, host }
    } catch (error) {
      const { code, name } = error as Error & { code?: string }
      counts.breaks += 1
      checker.trace('no-answer', { client, host: host.name, method, path, error: code ?? name, ms: Math.round(performance.now() - sentAt) })
      const wasConnected = (hosts.clientLinks.get(host)?.getRefusedAt() ?? 0) < sentAt
      const isConnectionLost = wasConnected && (code === 'UND_ERR_SOCKET' || code === 'ECONNRESET' || code === 'EPIPE')
      if (isConnectionLost) checker.observeConnectionLoss(`${method} ${path} at ${host.name}`, sentAt, performance.now() - host.stoppedAt < CONTACT_MS * 3 || performance.now() - checker.configuration.ackedAt < CONTACT_MS)
      dropConnection()
      return { answer: undefined, host }
    }
  }

  const planSteps = (kind: string): StepPlan[] => {
    if (kind === 'lasting') return [{ count: 1 + random.below(2), cpu: 300, memMb: 128, runMs: 0, dependsOn: [], lasting: true, failures: 0 }]
    // These runs outlast a lease that is not renewed, which shows whether a host waits for the end of the lease.
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
    job.pendingAttempts += 1
    const { configuration } = checker
    const isSettled = Math.max(...configuration.sent.keys()) === configuration.acked && performance.now() > configuration.ackedAt + CONFIG_APPLY_MS
    const version = configuration.acked
    const { answer, host } = await send(client, 'POST', path, body, avoid)
    job.pendingAttempts -= 1
    checker.trace('submit', { client, job: job.id, host: host.name, status: answer?.status ?? 'none' })
    const isStillSettled = isSettled && Math.max(...configuration.sent.keys()) === version
    if (answer === undefined || answer.status === 502 || answer.status === 504) job.isOutcomeUnknown = true
    else if (answer.status >= 200 && answer.status < 300) {
      if (job.acceptedAt === undefined) counts.accepted += 1
      job.acceptedAt ??= performance.now()
      if (job.queue === UNKNOWN_QUEUE) checker.report('CONFIG', `${job.id} was accepted for a queue that never existed`)
      if (job.queue === OPTIONAL_QUEUE && isStillSettled && configuration.hasOptionalQueue.get(version) === false) checker.report('CONFIG', `${job.id} was accepted for a queue that version ${version} has removed`)
    } else if (answer.status === 404) {
      const isQueueConfigured = job.queue !== UNKNOWN_QUEUE && (job.queue !== OPTIONAL_QUEUE || configuration.hasOptionalQueue.get(version) === true)
      if (isQueueConfigured && isStillSettled) checker.report('CONFIG', `${job.id} got 404, and its queue is in version ${version}`)
    } else if (answer.status !== 429 && answer.status !== 503) checker.report('answer', `${job.id} got status ${answer.status}: ${answer.text.slice(0, 200)}`)
    return answer
  }

  /** Submits a job until it gets a conclusive answer; returns whether it was accepted. */
  const runSubmission = async (client: string, job: JobRecord): Promise<boolean> => {
    const isDuplicated = random.next() < 0.2
    const copy = isDuplicated ? wait(random.below(100)).then(() => submit(`${client}-copy`, job)) : undefined
    let avoid: Host | undefined
    for (let attempt = 0; attempt < MAX_ATTEMPTS && !state.isClosed; attempt += 1) {
      const answer = await submit(client, job, avoid)
      if (answer !== undefined && answer.status !== 502 && answer.status !== 504) {
        await copy
        if (job.acceptedAt !== undefined) {
          if (random.next() < 0.1) wait(1000 + random.below(3000)).then(() => submit(`${client}-copy`, job)).catch(() => {})
          return true
        }
        if (!job.isOutcomeUnknown && job.pendingAttempts === 0) {
          counts.refused += 1
          job.refusedAt = performance.now()
          if ([...checker.lines].some((line) => line.includes(' start ') && line.includes(job.id))) checker.report('REFUSED', `a task of ${job.id} has started, and all attempts to submit it were refused`)
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
    const shownState = parsed?.success === true ? parsed.data.state : ''
    checker.observeState(job, answer.status, shownState, sentAt)
    return shownState
  }

  const cancel = async (client: string, job: JobRecord): Promise<void> => {
    if (job.queue === UNKNOWN_QUEUE) return
    job.cancelSentAt ??= performance.now()
    while (!state.isClosed && job.cancelledAt === undefined) {
      const sentAt = performance.now()
      const { answer } = await send(client, 'DELETE', `/${job.queue}/${job.id}`)
      checker.trace('cancel', { job: job.id, status: answer?.status ?? 'none' })
      if (answer?.status === 410) checker.observeState(job, 410, '', sentAt)
      if (answer !== undefined && (answer.status < 300 || answer.status === 410)) job.cancelledAt = performance.now()
      else await wait(Math.max(RETRY_MS, answer?.retryAfterMs ?? 0))
    }
  }

  const runJob = async (client: string): Promise<void> => {
    const draw = random.next()
    const kind = draw < 0.08 ? 'lasting' : draw < 0.25 ? 'long' : 'batch'
    const queueDraw = random.next()
    const queue = queueDraw < 0.04 ? UNKNOWN_QUEUE : queueDraw < 0.12 ? OPTIONAL_QUEUE : random.pick(SERVICES).name
    const longRunningJobs = [...checker.jobs.values()].filter((job) => job.steps[0]?.lasting === true && job.cancelSentAt === undefined).length
    state.nextId += 1
    const id = (state.nextId * 0x10000 + random.below(0x10000)).toString(16).padStart(16, '0')
    const planned = planSteps(kind === 'lasting' && longRunningJobs >= MAX_LONG_RUNNING_JOBS ? 'batch' : kind)
    const steps = kind === 'batch' && state.nextId % LARGE_TASK_INTERVAL === 0 ? [LARGE_TASK] : planned
    const job = checker.addJob({ id, queue, spec: `spec ${id}`, steps })
    if (!await runSubmission(client, job)) {
      if (job.isOutcomeUnknown && random.next() < 0.5) await cancel(client, job)
      return
    }
    const isLongRunning = job.steps[0]?.lasting === true
    const cancelAt = random.next() < (isLongRunning ? 0.4 : 0.12) ? performance.now() + random.below(isLongRunning ? 12_000 : 1500) : Infinity
    while (!state.isClosed) {
      await wait(STATE_POLL_MS * (0.5 + random.next()))
      if (job.cancelSentAt === undefined && performance.now() > cancelAt) await cancel(client, job)
      const shownState = await readState(client, job)
      if (shownState === 'completed' || shownState === 'cancelled' || shownState === 'failed') return
      if (isLongRunning) await wait(STATE_POLL_MS)
    }
  }

  /** Submits jobs at random intervals. The jobs of a client run concurrently and share its connections. */
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
    return await fetch(`http://${control}${path}`, { method, ...(body === undefined ? {} : { body, headers: { 'content-type': 'application/json' } }), signal: AbortSignal.timeout(OPERATOR_TIMEOUT_MS) })
      .then(async (reply) => ({ status: reply.status, text: await reply.text() }), () => ({ status: 0, text: '' }))
  }

  const createConfiguration = (version: number): object => {
    const names = [...SERVICES.map(({ name }) => ({ queue: name, service: name })), ...(version % 2 === 0 ? [{ queue: OPTIONAL_QUEUE, service: 'guarded' }] : [])]
    return {
      version,
      routes: names.map(({ queue, service }, priority) => ({ ...QUEUE_SETTINGS, name: `r-${queue}`, host: HOST_NAME, pathPrefix: `/${queue}/`, timeoutMs: 2000 + version, priority, service })),
      services: SERVICES.map((service) => ({ ...service, healthPath: '/healthz', maxConns: 64, protocol: 'h1', tls: false, standby: false })),
      limits: { maxHeaderBytes: 16384, maxBodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
    }
  }

  const putConfiguration = async (hasAllQueues = false): Promise<void> => {
    const { configuration } = checker
    state.version += 1 + random.below(3)
    if (hasAllQueues) state.version += state.version % 2
    const { version } = state
    const body = JSON.stringify(createConfiguration(version))
    configuration.sent.set(version, body)
    configuration.hasOptionalQueue.set(version, version % 2 === 0)
    const deadline = performance.now() + 20_000
    while (!state.isClosed && performance.now() < deadline) {
      const { status, text } = await sendControl('POST', '/config/put', body)
      checker.trace('config-put', { version, status })
      if (status === 200) {
        if (version > configuration.acked) Object.assign(configuration, { acked: version, ackedAt: performance.now() })
        return
      }
      if (status >= 400 && status < 500 && status !== 408 && status !== 429) return checker.report('CONFIG', `version ${version} was refused with ${status}: ${text.slice(0, 200)}`)
      await wait(RETRY_MS)
    }
  }

  const putInvalidConfiguration = async (): Promise<void> => {
    const version = state.version + 1000
    const valid = createConfiguration(version) as { routes: object[] }
    const broken = random.pick([
      { ...valid, routes: valid.routes.map((route) => ({ ...route, service: 'nowhere' })) },
      { ...valid, routes: [...valid.routes, ...valid.routes] },
      { ...valid, routes: valid.routes.map((route) => ({ ...route, timeoutMs: 0 })) },
      undefined
    ])
    const { status } = await sendControl('POST', '/config/put', broken === undefined ? JSON.stringify(valid).slice(0, -20) : JSON.stringify(broken))
    if (status >= 200 && status < 400) checker.report('CONFIG', `an invalid configuration was answered with ${status}`)
  }

  const changeEvacuation = async (zone: string, change: 'start' | 'stop'): Promise<void> => {
    checker.evacuatedAt.delete(zone)
    const deadline = performance.now() + 20_000
    while (!state.isClosed && performance.now() < deadline) {
      const { status } = await sendControl('POST', `/evacuation/${zone}/${change}`, undefined)
      checker.trace('evacuation', { zone, change, status })
      if (status === 200 && change === 'start') checker.evacuatedAt.set(zone, performance.now())
      if (status === 200) return
      if (status !== 0 && status !== 503) return checker.report('CONFIG', `the ${change} of the evacuation of zone ${zone} was answered with ${status}`)
      await wait(RETRY_MS)
    }
  }

  const readConfigurations = async (): Promise<void> => {
    while (!state.isClosed) {
      const { acked } = checker.configuration
      const { status, text } = await sendControl('GET', '/config/get', undefined)
      if (status === 200) {
        const read = versionSchema.safeParse(JSON.parse(text))
        const version = read.success ? read.data.version : -1
        if (version < acked) checker.report('CONFIG', `version ${version} was read after version ${acked} was acknowledged`)
        if (JSON.stringify(JSON.parse(text)) !== checker.configuration.sent.get(version)) checker.report('CONFIG', `version ${version} was read with other content than was sent`)
      }
      await wait(300)
    }
  }

  hosts.entries.forEach((host) => loops.push(watchReadiness(host)))
  loops.push(readConfigurations())
  Array.from({ length: clients }, (_, number) => loops.push(runClient(number)))

  return {
    counts,
    stopSubmitting: () => { state.submits = false },
    putConfiguration,
    putInvalidConfiguration,
    changeEvacuation,
    cancelLongRunning: async () => {
      await Promise.all([...checker.jobs.values()].filter((job) => job.steps[0]?.lasting === true && (job.acceptedAt !== undefined || job.isOutcomeUnknown)).map((job) => cancel('last-client', job)))
    },
    close: async () => {
      state.isClosed = true
      await Promise.allSettled(pools.map((pool) => pool.destroy()))
      await Promise.allSettled(loops)
    }
  }
}
