// An executor that leaves is cut off one way, so that it gets no ack of its deregistration.
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { createConfiguration, createJobId, createRoute } from '../support-2/callers.mjs'
import { openProxy } from '../support-2/proxy.mjs'
import { waitUntil } from '../support-2/record.mjs'
import { hasTrouble, runScript } from '../support-2/script.mjs'

const RUN_MS = 12_000
/** Progress after which a task without checkpoints is left on an executor that drains. */
const PROGRESS_MS = 5000
const DRAIN_MS = 2000
/** It continues serving a little longer than `drainMs` after the ack. */
const LONGER_MS = 300
const EXECUTORS = 6
const CONTROL_PORT = 8177
const FRONT_PORT = 8090
const proxies = []

runScript(dirname(fileURLToPath(import.meta.url)), {
  configuration: createConfiguration(1, [createRoute('q')]),
  executors: Array.from({ length: EXECUTORS }, () => ({ getWork: () => ({ ms: RUN_MS }) })),
  // Each executor reports to the core, and is called by it, through proxies of its own.
  prepareExecutor: async (options, { voters, ip }) => {
    const controls = await Promise.all(voters.map((voter, number) => openProxy({ ip, port: CONTROL_PORT + number, target: { ip: voter.ip, port: 8166 } })))
    const front = await openProxy({ ip, port: FRONT_PORT, target: { ip, port: 8080 } })
    proxies.push({ controls, front })
    return { ...options, address: `${ip}:${FRONT_PORT}`, controls: controls.map(({ port }) => ({ ip, port })) }
  },
  closeAll: () => proxies.forEach(({ controls, front }) => [...controls, front].forEach((proxy) => proxy.close())),
  play: async ({ record, wait, book, requester, executors }) => {
    const id = createJobId()
    const accepted = await requester.submit('q', id, { spec: 'x', phases: [{ count: 1, cpu: 500, memMb: 100, estimateMs: RUN_MS }] })
    if (accepted.status !== 200) throw new Error(`the job was not accepted: ${accepted.status}`)
    if (!await waitUntil(() => book.runs.length > 0, 5000)) throw new Error('the task did not start')
    const leaving = executors.find((executor) => executor.id === book.runs[0].executor)
    const { controls, front } = proxies[executors.indexOf(leaving)]
    await wait(PROGRESS_MS)
    const life = leaving.getLife()
    life.state = 'draining'
    life.extra = { drainRemainingMs: DRAIN_MS }
    if (!await leaving.sendHeartbeat()) throw new Error('the draining report was not acknowledged')
    record('draining-acknowledged', { executor: leaving.id })
    await wait(DRAIN_MS + LONGER_MS)
    if (book.runs.some(({ endedAt }) => endedAt !== undefined)) throw new Error('the task was moved before the executor left')
    if (hasTrouble) {
      record('cut', { executor: leaving.id, direction: 'core to executor' })
      controls.forEach((proxy) => proxy.cut('back'))
      front.cut('forward')
    }
    // It deregisters, at the next node after a second without an answer, and ends; without an ack it ends anyway, after these tries.
    const isAcknowledged = await leaving.report('deregister', { born: life.born })
    record('deregistered', { executor: leaving.id, acknowledged: isAcknowledged })
    leaving.crash()
    await wait(1000)
    proxies.forEach((proxy) => [...proxy.controls, proxy.front].forEach((one) => one.heal()))
    return book.listOverlaps().map(([first, second]) => `TWICE: ${first.task} ran on ${first.executor} (attempt ${first.attempt}) and on ${second.executor} (attempt ${second.attempt}) at the same time, for ${Math.round(Math.min(first.endedAt, second.endedAt ?? Infinity) - Math.max(first.startedAt, second.startedAt))} ms`)
  }
})
