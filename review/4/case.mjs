import { fileURLToPath } from 'node:url'
import { openDeployment, openRecord, runCase, sleep } from '../support/deployment.mjs'
import { createConfiguration, createJobId, createRequester, prepare } from '../support/callers.mjs'
import { createJournal, openExecutor } from '../support/executor.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
/** One of these is lost, 0.125 of them; the site loses up to 0.14. */
const EXECUTORS = 8
const STEP = { cpu: 1000, memMb: 512, runMs: 3000 }
const JOBS = 10
/** `visible_ms` + 2 s, and the time that the submission of a job takes at most. */
const VISIBLE_MS = 3000 + 2000
const READ_EVERY_MS = 500
const READS = 20

await runCase(async () => {
  const record = openRecord(fileURLToPath(new URL('.', import.meta.url)))
  const deployment = await openDeployment({ record })
  const journal = createJournal()
  const executors = []
  const addExecutor = async (number, kind) => {
    executors.push(await openExecutor({
      name: `x${number}`, ip: `${deployment.network}.${100 + number}`, port: deployment.ports.peer + 200, zone: ['cerro-alegre', 'cerro-baron', 'almendral'][number % 3], labels: [kind, `r${number}`], controls: deployment.controls, record, journal, findTask: () => STEP
    }))
  }
  try {
    await addExecutor(0, 'b')
    for (let number = 1; number < EXECUTORS; number += 1) await addExecutor(number, 'a')
    await prepare(deployment, record, createConfiguration(1))
    await sleep(2000)
    const requester = createRequester(deployment, record)
    const submit = async () => {
      const id = createJobId()
      const { status } = await requester.submit(id, { spec: 'x', phases: [{ count: 2, cpu: STEP.cpu, memMb: STEP.memMb, estimateMs: STEP.runMs, requirements: 'b' }] })
      return { id, status, acceptedAt: performance.now() }
    }
    // A job first, to see that jobs of this kind run.
    const first = await submit()
    await sleep(5000)
    const firstState = (await requester.read(first.id)).body?.state
    if (firstState !== 'completed') throw new Error(`the first job did not run: ${first.status} ${firstState}`)

    if (HAS_TROUBLE) executors[0].loseDark()
    const jobs = []
    for (let number = 0; number < JOBS; number += 1) {
      const job = await submit()
      if (job.status === 200) jobs.push(job)
    }
    if (jobs.length < JOBS / 2) throw new Error(`only ${jobs.length} jobs were accepted`)
    const isBegun = ({ id }) => journal.runs.some(({ task }) => task.startsWith(id))
    const wrong = []
    for (let number = 0; number < READS; number += 1) {
      await sleep(READ_EVERY_MS)
      const sentAt = performance.now()
      const { status, body } = await requester.count({ tries: 1 })
      // Jobs that had not begun when the answer came, and were accepted that long before the request.
      const due = jobs.filter((job) => sentAt - job.acceptedAt > VISIBLE_MS && !isBegun(job)).length
      record('count', { status, pending: body?.pending, due })
      if (status === 200 && due > 0 && body.pending < due / 2) wrong.push({ pending: body.pending, due })
    }
    const states = []
    for (const { id } of jobs) states.push((await requester.read(id)).body?.state)
    record('verdict', { accepted: jobs.length, begun: jobs.filter(isBegun).length, wrong, states })
    console.log(`${jobs.length} jobs accepted, ${jobs.filter(isBegun).length} of them begun, ${wrong.length} of ${READS} counts wrong: ${JSON.stringify(wrong.at(-1) ?? null)}; states ${[...new Set(states)].join()}`)
    return wrong.length > 0
  } finally {
    executors.forEach((executor) => executor.close())
    await deployment.close()
  }
})
