import { fileURLToPath } from 'node:url'
import { openDeployment, openRecord, runCase, sleep } from '../support/deployment.mjs'
import { createConfiguration, createJobId, createRequester, prepare } from '../support/callers.mjs'
import { createJournal, openExecutor } from '../support/executor.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
/** Four on each of two racks. One of them is lost, 0.125; the site loses up to 0.14. */
const EXECUTORS = 8
const EXECUTORS_PER_RACK = 4
/** The size of the site's tasks that last. */
const STEP = { cpu: 6400, memMb: 13_000, lasts: true }
const TASKS = 4
/** A lasting task may be without a run for 3 s, from 6 s after its last run; `recoveryS` is left for the loss before that. */
const RECOVERY_MS = 12_000
const IDLE_MS = 6000 + 3000

await runCase(async () => {
  const record = openRecord(fileURLToPath(new URL('.', import.meta.url)))
  const deployment = await openDeployment({ record })
  const journal = createJournal()
  const executors = []
  for (let number = 0; number < EXECUTORS; number += 1) {
    executors.push(await openExecutor({
      name: `x${number}`, ip: `${deployment.network}.${100 + number}`, port: deployment.ports.peer + 200, zone: ['cerro-alegre', 'cerro-baron', 'almendral'][number % 3], labels: ['a', `r${Math.floor(number / EXECUTORS_PER_RACK)}`], controls: deployment.controls, record, journal, findTask: () => STEP
    }))
  }
  try {
    await prepare(deployment, record, createConfiguration(1))
    await sleep(2000)
    const requester = createRequester(deployment, record)
    const id = createJobId()
    const { status } = await requester.submit(id, { spec: 'x', phases: [{ count: TASKS, cpu: STEP.cpu, memMb: STEP.memMb, estimateMs: 1000, longRunning: true, rackSensitive: true, antiAffinity: 1 }] })
    if (status !== 200) throw new Error(`the job was not accepted: ${status}`)
    await sleep(4000)
    if (journal.runs.length < TASKS) throw new Error(`only ${journal.runs.length} tasks have started`)
    const lost = executors.find(({ name }) => name === journal.runs[0].executor)
    if (HAS_TROUBLE) lost.loseDark()
    const lostAt = performance.now()
    await sleep(RECOVERY_MS + IDLE_MS + 5000)
    const state = (await requester.read(id)).body?.state
    const running = journal.runs.filter(({ isOpen }) => isOpen)
    const waiting = Array.from({ length: TASKS }, (_, index) => `${id}.0.0.${index}`).filter((task) => !running.some((run) => run.task === task))
    const used = new Set(running.map(({ executor }) => executor))
    const empty = executors.filter((executor) => executor !== lost && !used.has(executor.name)).map(({ name }) => name)
    const waitedMs = Math.round(performance.now() - lostAt)
    const usedCores = running.length * STEP.cpu / 1000
    record('verdict', { state, running: running.map(({ task, executor }) => `${task} ${executor}`), waiting, waitedMs, empty, usedCores })
    console.log(`the job is ${state}; ${waiting.length} of ${TASKS} tasks without a run for ${waitedMs} ms; empty executors: ${empty.join()}; ${usedCores} of ${(EXECUTORS - (HAS_TROUBLE ? 1 : 0)) * 32} cores in use`)
    return waiting.length > 0 && empty.length >= 2
  } finally {
    executors.forEach((executor) => executor.close())
    await deployment.close()
  }
})
