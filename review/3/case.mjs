import { fileURLToPath } from 'node:url'
import { findNetwork, openDeployment, openRecord, runCase, sleep } from '../support/deployment.mjs'
import { createConfiguration, createJobId, createRequester, prepare, QUEUE } from '../support/callers.mjs'
import { openAdvice } from '../support/advice.mjs'
import { createJournal, openExecutor } from '../support/executor.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const STEP = { cpu: 2000, memMb: 512, runMs: 6000 }
const TASKS = 4
/** One of these is lost, 0.125 of them; the site loses up to 0.14. */
const EXECUTORS = 8
const POLICY = { decisionMs: 100, perWorkerMs: 5, validityMs: 5000 }
/** `finish_s`: jobs are asked for that long after the end of the traffic. */
const FINISH_MS = 14_000
/** A job may have nothing running for that long while a task's turn has come and there is capacity for it twice over. */
const IDLE_MS = 3000
/** `recoveryS`, the longest time that the pages give the system after a loss; the leases of the lost executor end within it. */
const RECOVERY_MS = 12_000

await runCase(async () => {
  const record = openRecord(fileURLToPath(new URL('.', import.meta.url)))
  const place = await findNetwork()
  const port = place.port + 200
  // The policy: only executors of the kind `b` may run the steps of this queue.
  const kinds = new Map()
  const advice = await openAdvice({ ip: `${place.network}.200`, port, ...POLICY, mayRun: (_step, worker) => kinds.get(worker) === 'b', record })
  const deployment = await openDeployment({ record, place, advice: advice.address })
  const journal = createJournal()
  const executors = []
  const addExecutor = async (number, kind) => {
    kinds.set(`i-x${number}`, kind)
    const executor = await openExecutor({
      name: `x${number}`,
      ip: `${place.network}.${100 + number}`,
      port,
      zone: ['cerro-alegre', 'cerro-baron', 'almendral'][number % 3],
      labels: [kind, `r${number}`],
      controls: deployment.controls,
      record,
      journal,
      findTask: () => STEP,
      checkTicket: (ticket, task, id) => advice.isValid(ticket, task.slice(0, task.lastIndexOf('.')), id)
    })
    executors.push(executor)
    return executor
  }
  try {
    const lost = await addExecutor(0, 'b')
    for (let number = 1; number < EXECUTORS; number += 1) await addExecutor(number, 'a')
    await prepare(deployment, record, createConfiguration(1, [{ ...QUEUE, advice: POLICY }]))
    await sleep(2000)
    const requester = createRequester(deployment, record)
    const submit = async () => {
      const id = createJobId()
      const { status } = await requester.submit(id, { spec: 'x', phases: [{ count: TASKS, cpu: STEP.cpu, memMb: STEP.memMb, estimateMs: STEP.runMs }] })
      if (status !== 200) throw new Error(`the job was not accepted: ${status}`)
      return id
    }
    const listRuns = (id) => journal.runs.filter(({ task }) => task.startsWith(id))
    const job = await submit()
    const startedBy = performance.now() + 5000
    while (listRuns(job).length < TASKS && performance.now() < startedBy) await sleep(50)
    if (listRuns(job).length < TASKS) throw new Error('the job did not start')
    await sleep(1000)
    if (HAS_TROUBLE) lost.crash()
    await sleep(2000)
    const added = await addExecutor(EXECUTORS, 'b')
    await sleep(RECOVERY_MS)
    // A second job of the same queue shows whether the new executor can be used.
    const second = await submit()
    await sleep(FINISH_MS)
    const states = { job: (await requester.read(job)).body?.state, second: (await requester.read(second)).body?.state }
    const isIdle = listRuns(job).every(({ isOpen }) => !isOpen)
    const lastRunAt = Math.max(...listRuns(job).map(({ at, endedAt }) => endedAt ?? at))
    const idleMs = Math.round(performance.now() - lastRunAt)
    const secondRuns = listRuns(second).map(({ executor }) => executor)
    record('verdict', { states, runs: listRuns(job).map(({ executor, how }) => `${executor} ${how}`), idleMs, secondRuns })
    console.log(`the job is ${states.job}, nothing of it has run for ${idleMs} ms; the second job is ${states.second}, on ${[...new Set(secondRuns)].join()}; ${added.name} has ${added.life.running.size} runs`)
    return states.job !== 'completed' && isIdle && idleMs > RECOVERY_MS + IDLE_MS
  } finally {
    executors.forEach((executor) => executor.close())
    advice.close()
    await deployment.close()
  }
})
