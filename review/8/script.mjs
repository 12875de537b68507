// A worker takes a start order that got no answer, is cut off, restarts under its id behind the cut, and carries the order out late.
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { createConfiguration, createJobId, createRoute } from '../support-2/callers.mjs'
import { openProxy } from '../support-2/proxy.mjs'
import { now, waitUntil } from '../support-2/record.mjs'
import { hasTrouble, runScript } from '../support-2/script.mjs'

const RUN_MS = 15_000
const EXECUTORS = 9
const SETTLE_MS = 3000
/** Times since the order came. */
const CRASH_MS = 1000
const RESTART_MS = 2000
const LATE_MS = 7600
const HEAL_MS = 8000
const CONTROL_PORT = 8177
const FRONT_PORT = 8090
const proxies = []
/** The job whose start order is late. */
const lateJob = createJobId()
/** That order, its executor, and when it came. */
let first

const cutOff = ({ controls, front }) => [...controls, front].forEach((proxy) => ['forward', 'back'].forEach(proxy.cut))

runScript(dirname(fileURLToPath(import.meta.url)), {
  configuration: createConfiguration(1, [createRoute('q')]),
  executors: Array.from({ length: EXECUTORS }, (_, number) => ({
    getWork: (task, { spec }) => ({ ms: { lasts: Infinity, short: 500 }[spec] ?? RUN_MS }),
    intercept: async (path, order, execute) => {
      if (!hasTrouble || path !== '/run-start' || first !== undefined || !order.task.startsWith(lateJob)) return execute()
      first = { number, order, execute, at: now() }
      cutOff(proxies[number])
      return undefined
    }
  })),
  prepareExecutor: async (options, { voters, ip }) => {
    const controls = await Promise.all(voters.map((voter, number) => openProxy({ ip, port: CONTROL_PORT + number, target: { ip: voter.ip, port: 8166 } })))
    const front = await openProxy({ ip, port: FRONT_PORT, target: { ip, port: 8080 } })
    proxies.push({ controls, front })
    return { ...options, address: `${ip}:${FRONT_PORT}`, controls: controls.map(({ port }) => ({ ip, port })) }
  },
  closeAll: () => proxies.forEach(({ controls, front }) => [...controls, front].forEach((proxy) => proxy.close())),
  play: async ({ record, wait, book, requester, executors }) => {
    const submit = async (id, spec, phase) => {
      const { status } = await requester.submit('q', id, { spec, phases: [{ cpu: 300, memMb: 100, ...phase }] })
      if (status !== 200) throw new Error(`the job was not accepted: ${status}`)
    }
    // A task that lasts on each executor, and some that end.
    await submit(createJobId(), 'lasts', { count: EXECUTORS, longRunning: true, image: 'web', targetMs: 1000, antiAffinity: 1, estimateMs: 1000 })
    await submit(createJobId(), 'short', { count: 2 * EXECUTORS, estimateMs: 500 })
    if (!await waitUntil(() => book.runs.filter(({ how }) => how === 'done').length === 2 * EXECUTORS, 8000)) throw new Error('the first jobs did not run')
    await wait(SETTLE_MS)
    await submit(lateJob, 'long', { count: 1, estimateMs: RUN_MS })
    const isOrdered = () => first !== undefined || book.runs.some(({ task }) => task.startsWith(lateJob))
    if (!await waitUntil(isOrdered, 5000)) throw new Error('the task was not ordered')
    if (hasTrouble) {
      const executor = executors[first.number]
      const waitUntilSince = (ms) => wait(Math.max(0, first.at + ms - now()))
      record('cut', { executor: executor.id, task: first.order.task, attempt: first.order.attempt })
      await waitUntilSince(CRASH_MS)
      executor.crash()
      await waitUntilSince(RESTART_MS)
      executor.startLife()
      await waitUntilSince(LATE_MS)
      const [status] = await first.execute()
      record('carried-out-late', { executor: executor.id, task: first.order.task, attempt: first.order.attempt, status })
      await waitUntilSince(HEAL_MS)
      record('healed', { executor: executor.id })
      proxies.forEach(({ controls, front }) => [...controls, front].forEach((proxy) => proxy.heal()))
    }
    await wait(RUN_MS + 3000)
    record('observed', { state: await requester.readState('q', lateJob) })
    return book.listOverlaps().filter(([{ task }]) => task.startsWith(lateJob)).map(([one, other]) => `TWICE: ${one.task} ran on ${one.executor} (attempt ${one.attempt}) and on ${other.executor} (attempt ${other.attempt}) at the same time, for ${Math.round(Math.min(one.endedAt ?? Infinity, other.endedAt ?? Infinity) - Math.max(one.startedAt, other.startedAt))} ms`)
  }
})
