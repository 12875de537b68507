import { fileURLToPath } from 'node:url'
import { openDeployment, openRecord, runCase, sleep } from '../support/deployment.mjs'
import { createConfiguration, createJobId, createRequester, prepare } from '../support/callers.mjs'
import { createJournal, openExecutor } from '../support/executor.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
/** One of these is cut off, 0.167 of them; the site cuts off up to 0.17. */
const EXECUTORS = 6
const SIZE = { cpu: 8, memMb: 8 }
const LONG_TASKS = 60
const SHORT_TASKS = 5000
const LONG_MS = 11_800
const SHORT_MS = 8000
const SHORT_SPREAD_MS = 1000
/** The cut lasts from shortly before the first end to shortly after the last one; the site cuts executors off for up to 5.5 s. */
const CUT_AFTER_MS = 8000
const CUT_MS = 4000

await runCase(async () => {
  const record = openRecord(fileURLToPath(new URL('.', import.meta.url)))
  const deployment = await openDeployment({ record })
  const journal = createJournal()
  const jobs = { long: createJobId(), short: createJobId() }
  const findTask = (task) => ({ ...SIZE, runMs: task.startsWith(jobs.long) ? LONG_MS : SHORT_MS + (Number(task.split('.').at(-1)) * 7919) % SHORT_SPREAD_MS })
  const executors = []
  for (let number = 0; number < EXECUTORS; number += 1) {
    executors.push(await openExecutor({
      name: `x${number}`,
      ip: `${deployment.network}.${100 + number}`,
      port: deployment.ports.peer + 200,
      zone: ['cerro-alegre', 'cerro-baron', 'almendral'][number % 3],
      // Two executors are of the kind that the jobs require.
      labels: [number < 2 ? 'b' : 'a', `r${number}`],
      controls: deployment.controls,
      record,
      journal,
      findTask
    }))
  }
  try {
    await prepare(deployment, record, createConfiguration(1))
    await sleep(2000)
    const requester = createRequester(deployment, record)
    for (const [id, count] of [[jobs.long, LONG_TASKS], [jobs.short, SHORT_TASKS]]) {
      const { status } = await requester.submit(id, { spec: 'x', phases: [{ count, ...SIZE, estimateMs: SHORT_MS, requirements: 'b' }] })
      if (status !== 200) throw new Error(`a job was not accepted: ${status}`)
    }
    const startedBy = performance.now() + 10_000
    while (journal.runs.length < LONG_TASKS + SHORT_TASKS && performance.now() < startedBy) await sleep(20)
    if (journal.runs.length < LONG_TASKS + SHORT_TASKS) throw new Error(`only ${journal.runs.length} tasks have started`)
    await sleep(Math.max(0, journal.runs[0].at + CUT_AFTER_MS - performance.now()))
    if (HAS_TROUBLE) executors[0].cut()
    await sleep(CUT_MS)
    if (HAS_TROUBLE) executors[0].heal()
    const until = performance.now() + 20_000
    const states = {}
    while (performance.now() < until && (states.long !== 'completed' || states.short !== 'completed')) {
      await sleep(500)
      states.long = (await requester.read(jobs.long)).body?.state
      states.short = (await requester.read(jobs.short)).body?.state
    }
    await sleep(2000)
    const lapsed = journal.runs.filter(({ how }) => how === 'lapsed').length
    const broken = [...journal.problems, ...journal.listRepeated()]
    record('verdict', { states, tasks: LONG_TASKS + SHORT_TASKS, starts: journal.runs.length, lapsed, broken: broken.length, examples: broken.slice(0, 5) })
    console.log(`${LONG_TASKS + SHORT_TASKS} tasks, ${journal.runs.length} starts, ${lapsed} leases lapsed; TWICE broken for ${broken.length} tasks`, states, JSON.stringify(broken[0] ?? null))
    return broken.length > 0
  } finally {
    executors.forEach((executor) => executor.close())
    await deployment.close()
  }
})
