// Stand-in for an executor with `controlMode = "invoke"`, as PROTOCOL.md tells it.
import { createServer } from 'node:http'
import { send } from './callers.mjs'

const HEARTBEAT_MS = 1500
const MAX_HOLD_MS = 10_000
const MAX_WAIT_MS = 2000
const MAX_LISTED_ENDS = 500
const STOP_MS = 100

/**
 * `findTask(task)` returns the step that a requester sent for a task, and how long a run of it takes: `{ cpu, memMb, runMs, lasts, fails }`.
 * `journal` receives what an observer of the executor's sockets sees: starts, ends, and ends that were taken note of.
 */
export async function openExecutor ({ name, ip, port, service = 'intake', zone = 'cerro-alegre', capacity = { cpu: 32_000, memMb: 128_000, gpu: 0 }, labels = ['a', 'r1'], machine, controls, record, journal, findTask, checkTicket }) {
  const address = `${ip}:${port}`
  const executor = { name, id: `i-${name}`, life: undefined, lives: 0, faults: { silent: false, answerDelayMs: 0, drop: undefined }, reported: 'ready', labels, capacity, service }
  const state = { isClosed: false }

  const getClock = (life) => performance.now() - life.startedAt + 1000

  const addEnd = (life, task, how, saved = '') => {
    const run = life.running.get(task)
    if (run === undefined || executor.life !== life) return
    clearTimeout(run.timer)
    life.running.delete(task)
    addUse(life, task, -1)
    life.closed.set(task, Math.max(life.closed.get(task) ?? 0, run.attempt))
    life.lastEnd += 1
    const end = { number: life.lastEnd, task, attempt: run.attempt, how, saved, lapsed: false }
    life.ends.push(end)
    journal.end({ executor: name, life: life.number, task, attempt: run.attempt, how, end })
    record('end', { executor: name, life: life.number, number: end.number, task, attempt: run.attempt, how })
    const { waiters } = life
    life.waiters = []
    waiters.forEach((wake) => wake())
  }

  const checkLease = (life) => {
    if (executor.life !== life) return
    const leftMs = life.leaseUntil - getClock(life)
    if (leftMs > 0) {
      life.leaseTimer = setTimeout(() => checkLease(life), Math.ceil(leftMs) + 1)
      return
    }
    life.leaseTimer = undefined
    life.ends.forEach((end) => { end.lapsed = true })
    if (life.running.size > 0) record('lease-lapsed', { executor: name, life: life.number, runs: life.running.size })
    ;[...life.running.keys()].forEach((task) => addEnd(life, task, 'lapsed'))
  }

  const extendLease = (life, deadlineMs) => {
    if (deadlineMs === undefined) return
    life.leaseUntil = Math.max(life.leaseUntil, Math.min(deadlineMs, getClock(life) + MAX_HOLD_MS))
    if (life.leaseTimer === undefined) checkLease(life)
  }

  const hasRoom = (life, task) => {
    const step = findTask(task)
    return life.used.cpu + (step?.cpu ?? 0) <= executor.capacity.cpu && life.used.memMb + (step?.memMb ?? 0) <= executor.capacity.memMb
  }

  const addUse = (life, task, sign) => {
    const step = findTask(task)
    life.used.cpu += sign * (step?.cpu ?? 0)
    life.used.memMb += sign * (step?.memMb ?? 0)
  }

  const handlers = {
    '/run-start': (life, { task, attempt, spec, deadlineMs, checkpoint, fencingToken, ticket }) => {
      const run = life.running.get(task)
      if (deadlineMs <= getClock(life)) return [409, { reason: 'late' }]
      extendLease(life, deadlineMs)
      if (run !== undefined && run.attempt === attempt && !run.stopping) return [200, {}]
      if (attempt <= Math.max(life.closed.get(task) ?? 0, run?.attempt ?? 0)) return [409, { reason: 'old' }]
      if (checkTicket !== undefined && !checkTicket(ticket, task, executor.id)) return [409, { reason: 'ticket' }]
      if (!hasRoom(life, task)) return [409, { reason: 'room' }]
      const step = findTask(task)
      const started = { attempt, stopping: false, startedAt: performance.now(), runMs: step?.runMs ?? 1000, lasts: step?.lasts === true }
      life.running.set(task, started)
      addUse(life, task, 1)
      record('start', { executor: name, life: life.number, task, attempt, fencingToken, ...(checkpoint === undefined ? {} : { checkpoint }) })
      journal.start({ executor: name, life: life.number, task, attempt, spec, checkpoint, labels: executor.labels, service: executor.service, fencingToken })
      if (!started.lasts) started.timer = setTimeout(() => addEnd(life, task, step?.fails === true ? 'failed' : 'done'), started.runMs)
      return [200, {}]
    },
    '/run-stop': (life, { task, attempt }) => {
      const run = life.running.get(task)
      life.closed.set(task, Math.max(life.closed.get(task) ?? 0, attempt))
      record('stop', { executor: name, task, attempt })
      if (run === undefined || run.attempt > attempt || run.stopping) return [200, {}]
      run.stopping = true
      setTimeout(() => addEnd(life, task, 'stopped'), STOP_MS)
      return [200, {}]
    },
    '/hold': async (life, { ackCursor = 0, deadlineMs, waitMs = 0 }) => {
      extendLease(life, deadlineMs)
      life.ends.filter(({ number }) => number <= ackCursor).forEach((end) => {
        journal.note({ executor: name, life: life.number, task: end.task, attempt: end.attempt, lapsed: end.lapsed, how: end.how })
        record('noted', { executor: name, number: end.number, task: end.task, attempt: end.attempt, how: end.how })
      })
      life.ends = life.ends.filter(({ number }) => number > ackCursor)
      if (life.ends.length === 0 && waitMs > 0) {
        await new Promise((resolve) => {
          const timer = setTimeout(resolve, Math.min(waitMs, MAX_WAIT_MS))
          life.waiters.push(() => { clearTimeout(timer); resolve() })
        })
      }
      return [200, {
        running: [...life.running].map(([task, run]) => [task, run.attempt, '', Math.min(100, Math.floor(100 * (performance.now() - run.startedAt) / (run.lasts ? 300 : run.runMs))), 100]),
        finished: life.ends.slice(0, MAX_LISTED_ENDS).map(({ number, task, attempt, how, saved }) => [number, task, attempt, how, saved])
      }]
    }
  }

  const execute = (life, path, body) => {
    const token = body.fencingToken ?? 0
    if (token < life.fence) {
      record('fenced', { executor: name, path, token, seen: life.fence, task: body.task })
      return [409, { reason: 'fence' }]
    }
    life.fence = token
    return handlers[path]?.(life, body) ?? [404, {}]
  }

  const handle = async (incoming, answer) => {
    const chunks = []
    for await (const chunk of incoming) chunks.push(chunk)
    const { life } = executor
    if (executor.faults.silent) return
    if (life === undefined || state.isClosed) return incoming.socket.destroy()
    if (incoming.url === '/healthz') return answer.writeHead(200).end()
    const reply = ([status, body]) => {
      if (executor.life !== life || executor.faults.silent) return
      answer.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify({ clockMs: Math.floor(getClock(life)), born: life.born, ...body }))
    }
    if (executor.faults.silent) return
    if (incoming.headers['x-sequoiadrift-expect-instance'] !== executor.id) return reply([421, {}])
    const body = JSON.parse(Buffer.concat(chunks).toString() || '{}')
    const late = executor.faults.late?.(incoming.url, body)
    if (late !== undefined) {
      // The call gets no answer and is carried out later.
      setTimeout(() => { if (executor.life === life) execute(life, incoming.url, { ...body, waitMs: 0 }) }, late)
      return
    }
    const result = await execute(life, incoming.url, body)
    if (incoming.url !== '/hold') record('call', { executor: name, path: incoming.url, task: body.task, attempt: body.attempt, status: result[0], reason: result[1].reason })
    reply(result)
  }

  const beat = async (life, changes = {}) => {
    life.seq += 1
    const body = {
      service: executor.service, address, zone, version: 'v1', slots: 8, state: executor.reported, coldRemainingMs: 0, capacity: executor.capacity, labels: executor.labels, machine: machine ?? `m-${name}`, clockMs: Math.floor(getClock(life)), seq: life.seq, born: life.born, ...changes
    }
    const first = Math.floor(Math.random() * controls.length)
    for (let offset = 0; offset < controls.length && executor.life === life; offset += 1) {
      if (executor.faults.silent) return false
      const { status } = await send(controls[(first + offset) % controls.length], 'POST', `/instances/${executor.id}/heartbeat`, { body, timeoutMs: 1000 })
      if (status >= 200 && status < 300) return true
    }
    return false
  }

  const runBeats = async (life) => {
    while (executor.life === life && !state.isClosed) {
      const nextAt = performance.now() + HEARTBEAT_MS
      await beat(life)
      await new Promise((resolve) => setTimeout(resolve, Math.max(0, nextAt - performance.now())))
    }
  }

  const startLife = () => {
    executor.lives += 1
    const life = { number: executor.lives, startedAt: performance.now(), born: Date.now(), seq: 0, fence: 0, lastEnd: 0, ends: [], running: new Map(), used: { cpu: 0, memMb: 0 }, closed: new Map(), leaseUntil: 0, leaseTimer: undefined, waiters: [] }
    executor.life = life
    record('executor-up', { executor: name, life: life.number, labels: executor.labels, service: executor.service })
    runBeats(life)
  }

  const endLife = () => {
    const { life } = executor
    if (executor.faults.silent) return
    if (life === undefined) return
    executor.life = undefined
    clearTimeout(life.leaseTimer)
    life.running.forEach((run) => clearTimeout(run.timer))
    journal.crash({ executor: name, life: life.number })
    record('executor-down', { executor: name, life: life.number })
    server.closeAllConnections()
  }

  const server = createServer((incoming, answer) => { handle(incoming, answer).catch(() => incoming.socket.destroy()) })
  server.keepAliveTimeout = 75_000
  await new Promise((resolve, reject) => server.once('error', reject).listen(port, ip, resolve))
  startLife()

  return Object.assign(executor, {
    address,
    /** Ends this lifetime with all its runs, for good. */
    crash: () => { endLife(); state.isClosed = true; server.close() },
    /** Loses power, for good: nothing runs any more, and nothing that is sent gets an answer. */
    loseDark: () => {
      executor.faults.silent = true
      const { life } = executor
      executor.life = undefined
      clearTimeout(life.leaseTimer)
      life.running.forEach((run) => clearTimeout(run.timer))
      journal.crash({ executor: name, life: life.number })
      record('executor-down', { executor: name, life: life.number, dark: true })
    },
    /** Ends this lifetime with all its runs, and starts another one under the same id. */
    restart: async (downMs, changes = {}) => {
      endLife()
      await new Promise((resolve) => setTimeout(resolve, downMs))
      Object.assign(executor, changes)
      if (!state.isClosed) startLife()
    },
    /** Cuts the executor off from all machines, and runs on: nothing that is sent arrives. */
    cut: () => { record('cut', { executor: name }); executor.faults.silent = true },
    heal: () => { record('heal', { executor: name }); executor.faults.silent = false },
    beat: (changes) => beat(executor.life, changes),
    close: () => {
      state.isClosed = true
      endLife()
      server.close()
    }
  })
}

/** Observes all executors, and finds runs that break the rule TWICE, as it is written. */
export function createJournal () {
  const runs = []
  const problems = []
  const byTask = new Map()
  const findOpen = (task, except) => (byTask.get(task) ?? []).filter((run) => run.isOpen && run !== except)
  const findRun = ({ executor, life, task, attempt }) => byTask.get(task)?.findLast((run) => run.executor === executor && run.life === life && run.attempt === attempt)
  return {
    runs,
    problems,
    start: (run) => {
      const started = { ...run, at: performance.now(), isOpen: true, how: undefined, noted: false, lapsed: false }
      runs.push(started)
      byTask.set(run.task, [...byTask.get(run.task) ?? [], started])
      findOpen(run.task, started).forEach((other) => problems.push({ rule: 'TWICE', why: 'two runs at the same time', task: run.task, first: describe(other), second: describe(started) }))
    },
    end: ({ executor, life, task, attempt, how, end }) => {
      const run = findRun({ executor, life, task, attempt })
      Object.assign(run, { isOpen: false, how, endedAt: performance.now(), end })
    },
    note: ({ executor, life, task, attempt, lapsed }) => {
      const run = findRun({ executor, life, task, attempt })
      if (run !== undefined) Object.assign(run, { noted: true, lapsed })
    },
    crash: ({ executor, life }) => runs.filter((run) => run.executor === executor && run.life === life && run.isOpen).forEach((run) => { run.isOpen = false; run.how = 'crashed' }),
    /** A start after a run has ended `done`, if that end was taken note of then or later. */
    listRepeated: () => {
      return [...byTask.values()].flatMap((all) => all.filter((run) => all.some((done) => done.how === 'done' && done.noted && !done.lapsed && done.endedAt < run.at))
        .map((run) => ({ rule: 'TWICE', why: 'a start after an end `done` that was taken note of', task: run.task, second: describe(run), done: describe(all.find((done) => done.how === 'done' && done.noted && !done.lapsed && done.endedAt < run.at)) })))
    }
  }
}

function describe ({ executor, life, attempt, at, endedAt, how }) {
  return { executor, life, attempt, startedMs: Math.round(at), endedMs: endedAt === undefined ? undefined : Math.round(endedAt), how }
}
