import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { request } from 'undici'
import { z } from 'zod'
import type { Random } from '../../src/common/index.js'
import { STOP_TIMEOUT_MS, type InvariantChecker, type WorkerIncarnation } from './invariantChecker.js'
import { openLink, splitAddress, type Link } from './links.js'

const HEARTBEAT_MS = 1500
const HEARTBEAT_TIMEOUT_MS = 1000
const MAX_LEASE_MS = 10_000
const MAX_POLL_WAIT_MS = 2000
const MAX_LISTED_ENDS = 500
/** Largest part by which the monotonic clock of a worker may be slow. */
const MAX_CLOCK_SLOWNESS = 0.02
const MAX_ORDER_DELAY_MS = 3000
/** Time until a long-running run reports 100 percent. */
const STARTUP_MS = 300
/** Time after the first refusal of a token within which its holder may not know of the refusal yet. */
const ORDER_LEASE_MS = 3000
/** Orders with a refused token that may arrive after that, as some are on their way or were delayed. */
const MAX_LATE_OUTDATED_ORDERS = 3
const WORKER_PORT = 21_010
const LINK_PORT = 21_011

const orderSchema = z.object({
  task: z.string().default(''),
  attempt: z.number().int().default(0),
  spec: z.string().default(''),
  deadlineMs: z.number().optional(),
  fencingToken: z.number().default(0),
  ackCursor: z.number().default(0),
  waitMs: z.number().default(0)
})
type Order = z.infer<typeof orderSchema>

interface Run { attempt: number, timer: NodeJS.Timeout | undefined, isStopping: boolean, startedAt: number, runMs: number }

interface ReportedEnd { number: number, task: string, attempt: number, how: string, done: ReturnType<InvariantChecker['observeEnd']> }

/** State of one process lifetime of the worker. */
interface Incarnation {
  record: WorkerIncarnation
  /** Whether its connections stay open without answers, also after its crash. */
  isSilent: boolean
  born: number
  originAt: number
  rate: number
  heartbeatSequence: number
  fence: number
  refusedTokens: Map<number, { firstAt: number, late: number }>
  lastEnd: number
  leaseUntil: number
  leaseTimer: NodeJS.Timeout | undefined
  running: Map<string, Run>
  /** Highest attempt that was stopped or has ended here, by task. */
  closedAttempts: Map<string, number>
  ends: ReportedEnd[]
  waiters: Set<() => void>
}

type Reply = [status: number, body: object]

export interface FakeWorker {
  name: string
  link: Link
  zone: string
  /** Faults of the worker itself; `lateShare` is the part of the orders that are executed late. `isCutOff` holds back heartbeats. */
  faults: { answerDelayMs: number, lateShare: number, isUnhealthy: boolean, isCutOff: boolean }
  /** Makes the connections to the incarnation stay open without answers, also after its crash. Orders on them are executed late or not at all. */
  silence (): void
  /** Ends the incarnation with all its runs; resolves when the next one has started, under the same id or a new one. */
  crash (downMs: number, keepsId: boolean): Promise<void>
  restore (): void
  close (): Promise<void>
}

export interface WorkerOptions { name: string, ip: string, service: string, rejectsOverload: boolean, zone: string, checker: InvariantChecker, random: Random, listControls: () => string[] }

/** Opens a fake worker that follows the platform's PROTOCOL.md. */
export async function openWorker (options: WorkerOptions): Promise<FakeWorker> {
  const { name, ip, service, rejectsOverload, checker, random } = options
  const link = await openLink(`*>${name}`, `${ip}:${LINK_PORT}`, `${ip}:${WORKER_PORT}`)
  const faults = { answerDelayMs: 0, lateShare: 0, isUnhealthy: false, isCutOff: false }
  /** `silentLife` is the former incarnation while none is up, if its connections stay open. */
  const state: { id: string, life: Incarnation | undefined, silentLife: Incarnation | undefined, lives: number, isClosed: boolean } = { id: `i-${name}-0`, life: undefined, silentLife: undefined, lives: 0, isClosed: false }
  const lifeByConnection = new WeakMap<Socket, Incarnation | undefined>()

  const createIncarnation = (): Incarnation => ({
    record: { name: `${name}/${state.lives}`, zone: options.zone, service, rejectsOverload, capacity: { cpu: 4000, memMb: 8192 }, isUp: true },
    isSilent: false,
    born: Date.now(),
    originAt: performance.now(),
    rate: 1 - random.next() * MAX_CLOCK_SLOWNESS,
    heartbeatSequence: 0,
    fence: 0,
    refusedTokens: new Map(),
    lastEnd: 0,
    leaseUntil: 0,
    leaseTimer: undefined,
    running: new Map(),
    closedAttempts: new Map(),
    ends: [],
    waiters: new Set()
  })

  const getClock = (life: Incarnation): number => (performance.now() - life.originAt) * life.rate

  const addEnd = (life: Incarnation, task: string, how: string): void => {
    const run = life.running.get(task)
    if (run === undefined || !life.record.isUp) return
    clearTimeout(run.timer)
    life.running.delete(task)
    life.closedAttempts.set(task, Math.max(life.closedAttempts.get(task) ?? 0, run.attempt))
    life.lastEnd += 1
    life.ends.push({ number: life.lastEnd, task, attempt: run.attempt, how, done: checker.observeEnd(life.record, task, run.attempt, how) })
    life.waiters.forEach((wake) => wake())
  }

  const expireLease = (life: Incarnation): void => {
    if (!life.record.isUp) return
    const left = life.leaseUntil - getClock(life)
    if (left > 0) {
      life.leaseTimer = setTimeout(() => expireLease(life), Math.ceil(left / life.rate))
      return
    }
    life.leaseTimer = undefined
    checker.trace('lease-expired', { worker: life.record.name })
    life.ends.forEach((end) => { if (end.done !== undefined) end.done.lapsed = true })
    ;[...life.running.keys()].forEach((task) => addEnd(life, task, 'lapsed'))
  }

  const extendLease = (life: Incarnation, deadline: number | undefined): void => {
    if (deadline === undefined) return
    life.leaseUntil = Math.max(life.leaseUntil, Math.min(deadline, getClock(life) + MAX_LEASE_MS))
    if (life.leaseTimer === undefined) expireLease(life)
  }

  const hasRoom = (life: Incarnation, task: string): boolean => {
    const used = [...life.running.keys(), task].map((one) => checker.findStep(one))
    return used.reduce((sum, step) => sum + (step?.cpu ?? 0), 0) <= life.record.capacity.cpu && used.reduce((sum, step) => sum + (step?.memMb ?? 0), 0) <= life.record.capacity.memMb
  }

  const startRun = (life: Incarnation, { task, attempt, spec }: Order): void => {
    const step = checker.findStep(task)
    checker.observeStart(life.record, task, attempt, spec)
    const willFail = step !== undefined && checker.getFailures(task) < step.failures
    const runMs = step?.lasting === true ? Infinity : (step?.runMs ?? 0) * (0.7 + 0.6 * random.next())
    const timer = runMs === Infinity ? undefined : setTimeout(() => addEnd(life, task, willFail ? 'failed' : 'done'), runMs)
    life.running.set(task, { attempt, timer, isStopping: false, startedAt: performance.now(), runMs })
    checker.checkCapacity(life.record)
  }

  const handlers: Record<string, (life: Incarnation, order: Order) => Reply | Promise<Reply>> = {
    '/run-start': (life, order) => {
      const run = life.running.get(order.task)
      if (order.deadlineMs !== undefined && order.deadlineMs <= getClock(life)) return [409, { reason: 'late' }]
      extendLease(life, order.deadlineMs)
      if (run?.attempt === order.attempt && !run.isStopping) return [200, {}]
      if (order.attempt <= Math.max(life.closedAttempts.get(order.task) ?? 0, run?.attempt ?? 0)) return [409, { reason: 'old' }]
      if (rejectsOverload && !hasRoom(life, order.task)) return [409, { reason: 'room' }]
      startRun(life, order)
      return [200, {}]
    },
    '/run-stop': (life, { task, attempt }) => {
      const run = life.running.get(task)
      life.closedAttempts.set(task, Math.max(life.closedAttempts.get(task) ?? 0, attempt))
      if (run === undefined || run.attempt > attempt || run.isStopping) return [200, {}]
      run.isStopping = true
      setTimeout(() => addEnd(life, task, 'stopped'), random.next() * STOP_TIMEOUT_MS * 0.9)
      return [200, {}]
    },
    '/hold': async (life, { ackCursor, deadlineMs, waitMs }) => {
      extendLease(life, deadlineMs)
      life.ends.filter((end) => end.number <= ackCursor).forEach((end) => { if (end.done !== undefined) checker.observeEndAcknowledged(end.task, end.done) })
      life.ends = life.ends.filter((end) => end.number > ackCursor)
      if (life.ends.length === 0 && waitMs > 0) await waitForEnd(life, Math.min(waitMs, MAX_POLL_WAIT_MS))
      return [200, {
        running: [...life.running].map(([task, run]) => [task, run.attempt, '', computePercent(run), 500]),
        finished: life.ends.slice(0, MAX_LISTED_ENDS).map((end) => [end.number, end.task, end.attempt, end.how, ''])
      }]
    }
  }

  /** A host whose token was refused must learn that another leader gives the orders, and stop. */
  const observeOutdatedOrder = (life: Incarnation, path: string, { task, fencingToken }: Order): void => {
    const refused = life.refusedTokens.get(fencingToken) ?? { firstAt: performance.now(), late: 0 }
    life.refusedTokens.set(fencingToken, refused)
    if (performance.now() - refused.firstAt > ORDER_LEASE_MS) refused.late += 1
    if (refused.late > MAX_LATE_OUTDATED_ORDERS) checker.report('ONE', `${life.record.name} still receives ${path} for ${task} with token ${fencingToken}, which it refused before since it has seen ${life.fence}`)
  }

  const execute = async (life: Incarnation, path: string, order: Order): Promise<Reply> => {
    if (order.fencingToken < life.fence) {
      observeOutdatedOrder(life, path, order)
      return [409, { reason: 'fence' }]
    }
    life.fence = Math.max(life.fence, order.fencingToken)
    return await handlers[path]?.(life, order) ?? [404, {}]
  }

  const traceOrder = (life: Incarnation, path: string, { task, attempt, fencingToken }: Order, [status, body]: Reply, details: object = {}): void => {
    checker.trace('order', { worker: life.record.name, path, task, attempt, fence: fencingToken, status, ...('reason' in body ? { reason: body.reason } : {}), ...details })
  }

  /** The id is all that an order says of the incarnation that it was meant for, so the next one under that id executes it too. */
  const executeLate = async (meantFor: Incarnation, expectedId: unknown, path: string, order: Order): Promise<void> => {
    const { life } = state
    if (life === undefined || expectedId !== state.id) return
    const details = { meantFor: meantFor.record.name, clockMs: Math.floor(getClock(life)), deadlineMs: order.deadlineMs, cursor: order.ackCursor }
    traceOrder(life, `late ${path}`, order, await execute(life, path, { ...order, waitMs: 0 }), details)
  }

  const handleOrder = async (incoming: IncomingMessage, answer: ServerResponse): Promise<void> => {
    const chunks: Buffer[] = []
    for await (const chunk of incoming) chunks.push(chunk as Buffer)
    const { life } = state
    const meantFor = lifeByConnection.get(incoming.socket) ?? state.life
    if (meantFor === undefined || (life === undefined && !meantFor.isSilent)) {
      incoming.socket.destroy()
      return
    }
    const order = orderSchema.safeParse(JSON.parse(Buffer.concat(chunks).toString() || '{}'))
    const path = incoming.url ?? ''
    const expectedId = incoming.headers['x-sequoiadrift-expect-instance']
    const scheduleLate = ({ data }: { data: Order }): unknown => setTimeout(() => executeLate(meantFor, expectedId, path, data), random.next() * MAX_ORDER_DELAY_MS)
    if (life === undefined || meantFor.isSilent) {
      if (order.success && random.next() < faults.lateShare) scheduleLate(order)
      return
    }
    const sendReply = ([status, body]: Reply): void => {
      if (!answer.destroyed) answer.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify({ clockMs: Math.floor(getClock(life)), born: life.born, ...body }))
    }
    if (expectedId !== state.id) return sendReply([421, {}])
    if (!order.success) return sendReply([400, {}])
    if (faults.isUnhealthy && path !== '/hold') {
      traceOrder(life, path, order.data, [503, {}])
      return sendReply([503, {}])
    }
    if (random.next() < faults.lateShare) {
      // The sender gets no answer, and newer orders may be executed before this one.
      incoming.socket.destroy()
      scheduleLate(order)
      return
    }
    const reply = await execute(life, path, order.data)
    if (path !== '/hold') traceOrder(life, path, order.data, reply)
    if (faults.answerDelayMs > 0) await new Promise((resolve) => setTimeout(resolve, faults.answerDelayMs))
    if (state.life === life && !life.isSilent) sendReply(reply)
  }

  const sendHeartbeat = async (life: Incarnation): Promise<void> => {
    const controls = options.listControls()
    const first = random.below(controls.length)
    life.heartbeatSequence += 1
    const body = JSON.stringify({
      service, address: link.address, zone: options.zone, version: 'v1', slots: 8, state: 'ready', coldRemainingMs: 0, seq: life.heartbeatSequence, born: life.born, clockMs: Math.floor(getClock(life)), capacity: { ...life.record.capacity, gpu: 0 }, labels: ['kind-a', `rack-${options.zone}`]
    })
    for (const control of [...controls.slice(first), ...controls.slice(0, first)]) {
      if (!life.record.isUp || faults.isCutOff || state.isClosed) return
      const url = `http://${control}/instances/${state.id}/heartbeat`
      const status = await request(url, { method: 'POST', headers: { 'content-type': 'application/json' }, body, signal: AbortSignal.timeout(HEARTBEAT_TIMEOUT_MS) })
        .then(async (reply) => {
          await reply.body.dump()
          return reply.statusCode
        }, () => 0)
      if (status === 200) return
    }
  }

  const runHeartbeats = async (life: Incarnation): Promise<void> => {
    while (life.record.isUp && !state.isClosed) {
      const nextAt = performance.now() + HEARTBEAT_MS
      await sendHeartbeat(life)
      await new Promise((resolve) => setTimeout(resolve, Math.max(0, nextAt - performance.now())))
    }
  }

  const server = createServer((incoming, answer) => { handleOrder(incoming, answer).catch(() => incoming.socket.destroy()) })
  server.on('connection', (socket) => lifeByConnection.set(socket, state.life ?? state.silentLife))
  const listen = (): Promise<void> => new Promise((resolve, reject) => server.once('error', reject).listen(splitAddress(`${ip}:${WORKER_PORT}`), resolve))

  const startIncarnation = (): void => {
    state.lives += 1
    state.life = createIncarnation()
    state.silentLife = undefined
    checker.trace('life', { worker: state.life.record.name, id: state.id, born: state.life.born })
    runHeartbeats(state.life)
  }

  const endIncarnation = (): void => {
    const { life } = state
    if (life === undefined) return
    state.life = undefined
    clearTimeout(life.leaseTimer)
    life.running.forEach((run) => clearTimeout(run.timer))
    checker.observeCrash(life.record)
    life.waiters.forEach((wake) => wake())
    state.silentLife = life.isSilent ? life : undefined
    if (life.isSilent) return
    server.closeAllConnections()
    link.reset()
  }

  await listen()
  startIncarnation()
  return {
    name,
    zone: options.zone,
    link,
    faults,
    silence: () => { if (state.life !== undefined) state.life.isSilent = true },
    crash: async (downMs, keepsId) => {
      if (state.life === undefined) return
      endIncarnation()
      if (!keepsId) state.id = `i-${name}-${state.lives}`
      await new Promise((resolve) => setTimeout(resolve, downMs))
      if (!state.isClosed) startIncarnation()
    },
    restore: () => {
      Object.assign(faults, { answerDelayMs: 0, lateShare: 0, isUnhealthy: false, isCutOff: false })
      link.heal()
    },
    close: async () => {
      state.isClosed = true
      endIncarnation()
      await link.close()
      server.closeAllConnections()
      await new Promise((resolve) => server.close(resolve))
    }
  }
}

/** A long-running run reports its startup as progress, any other run its elapsed share. */
function computePercent ({ startedAt, runMs }: Run): number {
  const ranMs = performance.now() - startedAt
  return Math.min(100, Math.floor(100 * ranMs / (runMs === Infinity ? STARTUP_MS : runMs)))
}

function waitForEnd (life: Incarnation, withinMs: number): Promise<void> {
  return new Promise((resolve) => {
    const wake = (): void => {
      clearTimeout(timer)
      life.waiters.delete(wake)
      resolve()
    }
    const timer = setTimeout(wake, withinMs)
    life.waiters.add(wake)
  })
}
