import { fileURLToPath } from 'node:url'
import { openDeployment, openRecord, runCase, sleep } from '../support/deployment.mjs'
import { createConfiguration, createJobId, createRequester, prepare } from '../support/callers.mjs'
import { createJournal, openExecutor } from '../support/executor.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const STEP = { cpu: 2000, memMb: 512, runMs: 1000 }
/** Every 5 minutes for two years. Without the disruption: 8 times, as in the site file. */
const OCCURRENCES = HAS_TROUBLE ? 2 * 365 * 24 * 12 : 8
const INTERVAL_MS = 5 * 60_000
const ORDINARY_JOBS = 8
/** `finish_s`: jobs are asked for that long after the end of the traffic. */
const FINISH_MS = 14_000
/** A job may have nothing running for that long while a task's turn has come and there is capacity for it twice over. */
const IDLE_MS = 3000

await runCase(async () => {
  const record = openRecord(fileURLToPath(new URL('.', import.meta.url)))
  const deployment = await openDeployment({ record })
  const journal = createJournal()
  const executors = []
  for (const number of [0, 1, 2]) {
    executors.push(await openExecutor({
      name: `x${number}`, ip: `${deployment.network}.${100 + number}`, port: deployment.ports.peer + 200, zone: ['cerro-alegre', 'cerro-baron', 'almendral'][number], controls: deployment.controls, record, journal, findTask: () => STEP
    }))
  }
  try {
    await prepare(deployment, record, createConfiguration(1))
    await sleep(2000)
    const requester = createRequester(deployment, record)
    const createJob = () => ({ spec: 'x', phases: [{ count: 2, cpu: STEP.cpu, memMb: STEP.memMb, estimateMs: STEP.runMs }] })
    const submit = async (job) => {
      const id = createJobId()
      const { status } = await requester.submit(id, job)
      record('submitted', { id, status, repeatCount: job.repeatCount })
      return { id, status, at: performance.now() }
    }

    // An ordinary job first, to see that jobs run.
    const first = await submit(createJob())
    await sleep(4000)
    const firstState = (await requester.read(first.id)).body?.state
    if (first.status !== 200 || firstState !== 'completed') throw new Error(`the first job did not run: ${first.status} ${firstState}`)

    const scheduled = await submit({ ...createJob(), startAtMs: Date.now() + INTERVAL_MS, intervalMs: INTERVAL_MS, repeatCount: OCCURRENCES })
    if (scheduled.status !== 200) {
      record('verdict', { why: 'the scheduled job was not accepted', status: scheduled.status })
      return false
    }
    await sleep(1000)
    const jobs = []
    for (let number = 0; number < ORDINARY_JOBS; number += 1) {
      jobs.push(await submit(createJob()))
      await sleep(250)
    }
    const accepted = jobs.filter(({ status }) => status === 200)
    if (accepted.length === 0) throw new Error('no ordinary job was accepted')
    await sleep(FINISH_MS)
    const stuck = []
    for (const job of accepted) {
      const state = (await requester.read(job.id)).body?.state
      const starts = journal.runs.filter(({ task }) => task.startsWith(job.id)).length
      const waitedMs = Math.round(performance.now() - job.at)
      if (state !== 'completed' && starts === 0 && waitedMs > IDLE_MS) stuck.push({ id: job.id, state, starts, waitedMs })
    }
    record('verdict', { accepted: accepted.length, stuck })
    console.log(`${accepted.length} jobs accepted, ${stuck.length} of them not started after ${FINISH_MS / 1000} s; ${executors.length} executors, all empty`)
    return stuck.length > 0
  } finally {
    executors.forEach((executor) => executor.close())
    await deployment.close()
  }
})
