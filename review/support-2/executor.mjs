// A stand-in executor that follows PROTOCOL.md.
import { Agent, createServer } from 'node:http'
import { send } from './callers.mjs'
import { now, wait } from './record.mjs'

const HEARTBEAT_MS = 1500
const MAX_HOLD_MS = 10_000
const MAX_WAIT_MS = 2000
const STOP_MS = 100
const MAX_ENDS = 500

/** The start and stop of runs, of all executors, as the bench would see them. */
export function createRunBook ({ record }) {
  const runs = []
  return {
    runs,
    start: (executor, task, attempt, order) => {
      const run = { executor, task, attempt, order, startedAt: now(), endedAt: undefined, how: undefined }
      runs.push(run)
      record('run-start', { executor, task, attempt, checkpoint: order.checkpoint ?? '' })
      return run
    },
    end: (run, how) => {
      run.endedAt = now()
      run.how = how
      record('run-end', { executor: run.executor, task: run.task, attempt: run.attempt, how })
    },
    /** Pairs of runs of one task that were there at the same time. */
    listOverlaps: () => runs.flatMap((first, position) => runs.slice(position + 1)
      .filter((second) => second.task === first.task && second.startedAt < (first.endedAt ?? Infinity) && first.startedAt < (second.endedAt ?? Infinity))
      .map((second) => [first, second]))
  }
}

/**
 * `address`: the one that it announces; `controls`: where it reports. Both may be proxies.
 * `getWork(task, order)`: `{ ms, how }` of a run; `ms` infinite for tasks that last. `intercept(path, order, execute)` may take over
 * a call: it returns a reply, or undefined to leave it without an answer.
 */
export async function openExecutor ({ record, book, id, ip, port = 8080, zone = 'a', service = 'svc', voters, capacity = { cpu: 4000, memMb: 16_000, gpu: 0 }, labels = ['k', 'r1'], getWork, guards = true, getNeed = () => ({ cpu: 0, memMb: 0 }), intercept, address = `${ip}:${port}`, controls = voters.map((voter) => ({ ip: voter.ip, port: 8166 })) }) {
  let life
  let isClosed = false
  let turn = Math.floor(Math.random() * 3)
  const options = { heartbeats: true }
  /** Keeps one connection to each node, as the reports are frequent. */
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })

  const createLife = () => ({ born: Date.now(), originAt: now(), seq: 0, fence: 0, lastEnd: 0, leaseUntil: 0, running: new Map(), closed: new Map(), ends: [], waiters: new Set(), state: 'ready', extra: {} })
  const getClock = (of) => Math.floor(now() - of.originAt)

  const endRun = (of, task, how) => {
    const entry = of.running.get(task)
    if (entry === undefined) return
    clearTimeout(entry.timer)
    of.running.delete(task)
    of.closed.set(task, Math.max(of.closed.get(task) ?? 0, entry.run.attempt))
    of.lastEnd += 1
    of.ends.push([of.lastEnd, task, entry.run.attempt, how, entry.checkpoint])
    book.end(entry.run, how)
    of.waiters.forEach((wake) => wake())
  }

  const extendLease = (of, deadline) => {
    if (typeof deadline === 'number') of.leaseUntil = Math.max(of.leaseUntil, Math.min(deadline, getClock(of) + MAX_HOLD_MS))
  }

  const leaseTimer = setInterval(() => {
    if (life === undefined || life.running.size === 0 || getClock(life) < life.leaseUntil) return
    ;[...life.running.keys()].forEach((task) => endRun(life, task, 'lapsed'))
  }, 10)

  const hasRoom = (of, task) => {
    const needs = [...of.running.keys(), task].map(getNeed)
    return needs.reduce((sum, { cpu }) => sum + cpu, 0) <= capacity.cpu && needs.reduce((sum, { memMb }) => sum + memMb, 0) <= capacity.memMb
  }

  const handlers = {
    '/run-start': (of, order) => {
      const entry = of.running.get(order.task)
      if (order.deadlineMs <= getClock(of)) return [409, { reason: 'late' }]
      if (entry?.run.attempt === order.attempt) return [200, {}]
      extendLease(of, order.deadlineMs)
      if (order.attempt <= Math.max(of.closed.get(order.task) ?? 0, entry?.run.attempt ?? 0)) return [409, { reason: 'old' }]
      if (guards && !hasRoom(of, order.task)) return [409, { reason: 'room' }]
      const run = book.start(id, order.task, order.attempt, order)
      const { ms, how = 'done', checkpoint = '' } = getWork(order.task, order)
      const timer = ms === Infinity ? undefined : setTimeout(() => endRun(of, order.task, how), ms)
      of.running.set(order.task, { run, timer, checkpoint, startedAt: now(), ms })
      return [200, {}]
    },
    '/run-stop': (of, { task, attempt }) => {
      const entry = of.running.get(task)
      of.closed.set(task, Math.max(of.closed.get(task) ?? 0, attempt))
      if (entry !== undefined && entry.run.attempt <= attempt && !entry.isStopping) {
        entry.isStopping = true
        setTimeout(() => endRun(of, task, 'stopped'), STOP_MS)
      }
      return [200, {}]
    },
    '/hold': async (of, { ackCursor = 0, deadlineMs, waitMs = 0 }) => {
      extendLease(of, deadlineMs)
      of.ends = of.ends.filter(([number]) => number > ackCursor)
      if (of.ends.length === 0 && waitMs > 0) {
        await new Promise((resolve) => {
          const timer = setTimeout(resolve, Math.min(waitMs, MAX_WAIT_MS))
          of.waiters.add(() => {
            clearTimeout(timer)
            resolve()
          })
        })
      }
      return [200, {
        running: [...of.running].map(([task, { run, checkpoint, startedAt, ms }]) => [task, run.attempt, checkpoint, ms === Infinity ? 100 : Math.min(99, Math.floor(100 * (now() - startedAt) / ms)), 0]),
        finished: of.ends.slice(0, MAX_ENDS)
      }]
    },
    '/pace': () => [200, {}]
  }

  const execute = async (path, order) => {
    if (life === undefined) return undefined
    const of = life
    if ((order.fencingToken ?? 0) < of.fence) return [409, { reason: 'fence' }]
    of.fence = order.fencingToken ?? 0
    const [status, body] = await (handlers[path]?.(of, order) ?? [404, {}])
    return [status, { clockMs: getClock(of), born: of.born, ...body }]
  }

  const server = createServer({ keepAliveTimeout: 120_000 }, async (incoming, answer) => {
    const chunks = []
    try {
      for await (const chunk of incoming) chunks.push(chunk)
    } catch {
      return
    }
    if (incoming.method === 'GET') return answer.writeHead(200).end()
    const order = JSON.parse(Buffer.concat(chunks).toString() || '{}')
    const of = life
    if (of === undefined) return incoming.socket.destroy()
    const expected = incoming.headers['x-sequoiadrift-expect-instance']
    const isOther = expected !== undefined && expected !== id
    const reply = isOther ? [421, { clockMs: getClock(of), born: of.born }] : await (intercept?.(incoming.url, order, (late = order) => execute(incoming.url, late)) ?? execute(incoming.url, order))
    if (incoming.url !== '/hold') record('order', { executor: id, path: incoming.url, task: order.task ?? '', attempt: order.attempt ?? 0, fence: order.fencingToken ?? 0, status: reply?.[0] ?? 'none', ...(reply?.[1].reason === undefined ? {} : { reason: reply[1].reason }) })
    if (reply === undefined) return
    if (of !== life || answer.destroyed) return incoming.socket.destroy()
    answer.writeHead(reply[0], { 'content-type': 'application/json' }).end(JSON.stringify(reply[1]))
  })
  server.keepAliveTimeout = 120_000
  const sockets = new Set()
  server.on('connection', (socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
  })
  await new Promise((resolve, reject) => server.once('error', reject).listen(port, ip, resolve))

  const isRunning = () => !isClosed && life !== undefined
  const isCurrent = (of) => !isClosed && life === of

  const report = async (path, fields) => {
    for (let tries = 0; tries < controls.length && isRunning(); tries += 1) {
      const control = controls[turn++ % controls.length]
      const { status } = await send({ ...control, method: 'POST', path: `/instances/${id}/${path}`, body: fields, timeoutMs: 1000, agent })
      if (status >= 200 && status < 300) return true
    }
    return false
  }

  const sendHeartbeat = (of) => {
    of.seq += 1
    return report('heartbeat', { service, address, zone, version: 'v1', slots: 8, state: of.state, coldRemainingMs: 0, capacity, labels, clockMs: getClock(of), seq: of.seq, born: of.born, ...of.extra })
  }

  const runHeartbeats = async (of) => {
    while (isCurrent(of)) {
      const nextAt = now() + HEARTBEAT_MS
      if (options.heartbeats) await sendHeartbeat(of)
      await wait(Math.max(0, nextAt - now()))
    }
  }

  const executor = {
    id,
    options,
    getLife: () => life,
    sendHeartbeat: () => sendHeartbeat(life),
    report,
    execute,
    startLife: () => {
      life = createLife()
      record('executor-start', { executor: id, born: life.born })
      runHeartbeats(life)
    },
    /** Ends the life and all its runs; connections are reset. */
    crash: () => {
      const of = life
      life = undefined
      if (of === undefined) return
      record('executor-end', { executor: id, running: of.running.size })
      of.running.forEach((entry) => {
        clearTimeout(entry.timer)
        book.end(entry.run, 'crashed')
      })
      of.running.clear()
      of.waiters.forEach((wake) => wake())
      sockets.forEach((socket) => socket.resetAndDestroy())
    },
    close: () => {
      isClosed = true
      life = undefined
      clearInterval(leaseTimer)
      agent.destroy()
      sockets.forEach((socket) => socket.destroy())
      server.close()
    }
  }
  return executor
}
