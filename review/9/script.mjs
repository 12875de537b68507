// One caller hands in a gang that is too large for one entry of the log.
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { createConfiguration, createJobId, createRoute } from '../support-2/callers.mjs'
import { now } from '../support-2/record.mjs'
import { hasTrouble, runScript } from '../support-2/script.mjs'

/** Tasks of the gang. The fields of each task are 0, so they are omitted and any executor has room. */
const GANG_TASKS = 50_000
const JOBS = 5
const INTERVAL_MS = 2000
/** Of RULES.md: jobs are asked for this long after the end of the traffic. */
const FINISH_MS = 14_000

runScript(dirname(fileURLToPath(import.meta.url)), {
  configuration: createConfiguration(1, [createRoute('q')]),
  executors: Array.from({ length: 6 }, () => ({ getWork: () => ({ ms: 500 }) })),
  play: async ({ record, wait, book, requester, deployment }) => {
    const submit = async (phase) => {
      const id = createJobId()
      const { status } = await requester.submit('q', id, { spec: 'x', phases: [phase] })
      record('submitted', { id, count: phase.count, status })
      return { id, status }
    }
    const ordinary = { count: 2, cpu: 500, memMb: 100, estimateMs: 500 }
    if ((await submit(ordinary)).status !== 200) throw new Error('the first job was not accepted')
    const gang = await submit({ count: hasTrouble ? GANG_TASKS : 50, gang: true, estimateMs: 500 })
    const jobs = []
    for (let sent = 0; sent < JOBS; sent += 1) {
      await wait(INTERVAL_MS)
      jobs.push({ ...await submit(ordinary), at: now() })
    }
    await wait(FINISH_MS)
    const accepted = jobs.filter(({ status }) => status === 200)
    const states = await Promise.all(accepted.map(({ id }) => requester.readState('q', id)))
    const starts = accepted.map(({ id }) => book.runs.filter(({ task }) => task.startsWith(id)).length)
    record('observed', { gang: gang.status, accepted: accepted.length, states: states.join(), starts: starts.join(), exits: deployment.list.map(({ name, exits }) => `${name}:${exits}`).join() })
    if (accepted.length === 0) throw new Error('no job was accepted after the gang')
    return accepted.flatMap(({ id, at }, number) => starts[number] === 0
      ? [`LOST: the accepted job ${id} is ${states[number]}, and no executor was told to start a task of it in ${Math.round((now() - at) / 1000)} s, with all executors idle`]
      : [])
  }
})
