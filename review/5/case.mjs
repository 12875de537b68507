import { fileURLToPath } from 'node:url'
import { openDeployment, openRecord, runCase, sleep } from '../support/deployment.mjs'
import { createConfiguration, createJobId, createRequester, prepare } from '../support/callers.mjs'
import { createJournal, openExecutor } from '../support/executor.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const EXECUTORS = 4
const SIZE = { cpu: 2300, memMb: 4600 }
const RUN_MS = 1000
const ORDINARY_BEFORE = 12
const ORDINARY_AFTER = 6
/** The widest step of the site's quick jobs. One of 19 jobs (0.053) can never be done; the site has up to 0.056 of a class. */
const WIDTH = 36
/** `finish_s`: jobs are asked for that long after the end of the traffic. */
const FINISH_MS = 14_000
/** A job may have nothing running for that long while a task's turn has come and there is capacity for it twice over. */
const IDLE_MS = 3000

await runCase(async () => {
  const record = openRecord(fileURLToPath(new URL('.', import.meta.url)))
  const deployment = await openDeployment({ record })
  const journal = createJournal()
  const poisoned = new Set()
  const findTask = (task) => ({ ...SIZE, runMs: RUN_MS, fails: poisoned.has(task.slice(0, 16)) })
  const executors = []
  for (let number = 0; number < EXECUTORS; number += 1) {
    executors.push(await openExecutor({
      name: `x${number}`, ip: `${deployment.network}.${100 + number}`, port: deployment.ports.peer + 200, zone: ['cerro-alegre', 'cerro-baron', 'almendral'][number % 3], controls: deployment.controls, record, journal, findTask
    }))
  }
  try {
    await prepare(deployment, record, createConfiguration(1))
    await sleep(2000)
    const requester = createRequester(deployment, record)
    const submit = async (count, isPoison = false) => {
      const id = createJobId()
      if (isPoison) poisoned.add(id)
      const { status } = await requester.submit(id, { spec: 'x', phases: [{ count, ...SIZE, estimateMs: RUN_MS }] })
      record('submitted', { id, count, isPoison, status })
      return { id, status }
    }
    for (let number = 0; number < ORDINARY_BEFORE; number += 1) {
      await submit(6)
      await sleep(350)
    }
    await sleep(3000)
    const poison = await submit(WIDTH, HAS_TROUBLE)
    await sleep(1500)
    const later = []
    for (let number = 0; number < ORDINARY_AFTER; number += 1) {
      later.push(await submit(6))
      await sleep(350)
    }
    const accepted = later.filter(({ status }) => status === 200)
    if (accepted.length === 0) throw new Error('no ordinary job was accepted')
    await sleep(FINISH_MS)
    const watchedFrom = performance.now()
    const asked = []
    for (const { id } of accepted) asked.push({ id, state: (await requester.read(id)).body?.state })
    await sleep(IDLE_MS + 500)
    const hasRun = (id) => journal.runs.some((run) => run.task.startsWith(id) && (run.isOpen || run.endedAt > watchedFrom))
    const busyCores = journal.runs.filter((run) => run.isOpen || run.endedAt > watchedFrom).length * SIZE.cpu / 1000
    const stuck = asked.filter(({ id, state }) => state !== 'completed' && !hasRun(id))
    record('verdict', { poison, accepted: accepted.length, stuck, busyCores, starts: accepted.map(({ id }) => journal.runs.filter(({ task }) => task.startsWith(id)).length) })
    console.log(`${accepted.length} jobs accepted after the one that can't be done; ${stuck.length} of them not done ${FINISH_MS / 1000} s later, with nothing running for ${IDLE_MS / 1000} s more, while ${busyCores} of ${EXECUTORS * 32} cores are in use`)
    return stuck.length > 0 && busyCores < EXECUTORS * 32 / 2
  } finally {
    executors.forEach((executor) => executor.close())
    await deployment.close()
  }
})
