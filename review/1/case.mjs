import { fileURLToPath } from 'node:url'
import { openDeployment, openRecord, runCase, sleep } from '../support/deployment.mjs'
import { createConfiguration, createJobId, createRequester, prepare, send } from '../support/callers.mjs'
import { createJournal, openExecutor } from '../support/executor.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const STEP = { cpu: 2000, memMb: 512, runMs: 1000 }
/** The interval of the site's scheduled jobs. */
const INTERVAL_MS = 2000
/** For a year. Without the disruption: 8 times, as in the site file. */
const OCCURRENCES = HAS_TROUBLE ? 365 * 24 * 3600 * 1000 / INTERVAL_MS : 8
const WATCH_MS = 40_000
/** Fault: on half of the core, processes end by themselves three times in the day. */
const OWN_ENDS = 3

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
    const submit = async (job, options) => {
      const id = createJobId()
      const { status } = await requester.submit(id, job, options)
      record('submitted', { id, status, repeatCount: job.repeatCount })
      return { id, status }
    }

    // An ordinary job first, to see that jobs run.
    const first = await submit(createJob())
    await sleep(4000)
    const firstState = (await requester.read(first.id)).body?.state
    if (first.status !== 200 || firstState !== 'completed') throw new Error(`the first job did not run: ${first.status} ${firstState}`)

    const scheduled = await submit({ ...createJob(), startAtMs: Date.now() + 60_000, intervalMs: INTERVAL_MS, repeatCount: OCCURRENCES })
    const jobs = []
    const reads = []
    const until = performance.now() + WATCH_MS
    for (let number = 0; performance.now() < until; number += 1) {
      jobs.push(await submit(createJob(), { tries: 1 }))
      reads.push((await send(deployment.controls[number % 3], 'GET', '/config/get', { timeoutMs: 1000 })).status)
      await sleep(2000)
    }
    const ownEnds = deployment.voters.map((host) => host.ownEnds ?? 0)
    const accepted = jobs.filter(({ status }) => status === 200)
    const begun = accepted.filter(({ id }) => journal.runs.some(({ task }) => task.startsWith(id))).length
    const answered = reads.filter((status) => status === 200).length
    record('verdict', { scheduled, ownEnds, jobs: jobs.length, accepted: accepted.length, begun, reads: reads.length, answered })
    console.log(`the scheduled job is answered ${scheduled.status}; the core's processes ended by themselves ${ownEnds.join()} times in ${WATCH_MS / 1000} s; of ${jobs.length} later jobs ${accepted.length} accepted, ${begun} begun; of ${reads.length} reads of the configuration ${answered} answered`)
    return ownEnds.filter((ends) => ends >= OWN_ENDS).length >= ownEnds.length / 2
  } finally {
    executors.forEach((executor) => executor.close())
    await deployment.close()
  }
})
