import { mkdir, rm, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { createRandom } from '../../src/common/index.js'
import { listServices, openTraffic } from './clients.js'
import { CALM_MS, planFaults, renderFault, runFaults } from './faults.js'
import { openHosts } from './hosts.js'
import { CANCEL_MS, CONTACT_MS, createLedger, STOP_TIMEOUT_MS, type Broken } from './ledger.js'
import { openWorker } from './workers.js'

const SETUP_MS = 15_000
/** `finish_s`: so long after the end of the traffic all jobs are to have ended. */
const FINISH_MS = 14_000
const CHECK_MS = 250
const JOBS_PER_WORKER_S = 0.8
const MAX_JOBS_PER_S = 20

export interface SoakOptions { seed: number, seconds: number, voters: number, entries: number, workers: number }

export interface SoakResult { options: SoakOptions, broken: Broken[], script: string[], folder: string, counts: object }

const wait = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms))

/** Plays one seed: `seconds` of traffic with faults, then a calm phase in which all must complete. */
export async function runSoak (options: SoakOptions): Promise<SoakResult> {
  const { seed, seconds, voters, entries, workers } = options
  const startedAt = performance.now()
  const getTime = (): number => performance.now()
  const ledger = createLedger(getTime)
  const folder = join('target', 'soak', `seed-${seed}-${process.pid}`)
  await rm(folder, { recursive: true, force: true })
  // Other soaks on the same machine use other addresses.
  const network = `127.${100 + process.pid % 100}.${Math.floor(process.pid / 100) % 250}`
  const hosts = await openHosts({ folder, network, voters, entries, ledger })
  const script = planFaults(createRandom(seed), { durationMs: seconds * 1000, toleratedDisks: Math.floor((voters - 1) / 2) })
  const services = listServices()
  const standIns = await Promise.all(Array.from({ length: workers }, (_, number) => openWorker({
    ...services[number % services.length]!,
    service: services[number % services.length]!.name,
    name: `w${number}`,
    ip: `${network}.${100 + number}`,
    zone: ['a', 'b', 'c'][number % 3] ?? 'a',
    ledger,
    random: createRandom(seed + 1000 + number),
    listControls: () => [...hosts.controlLinks.values()].map((link) => link.address)
  })))
  const traffic = openTraffic({ hosts, ledger, random: createRandom(seed + 1), clients: 2 * entries, jobsPerS: Math.min(MAX_JOBS_PER_S, workers * JOBS_PER_WORKER_S) })
  const timer = setInterval(() => ledger.check(), CHECK_MS)
  const stopping = new AbortController()
  const handleSignal = (): void => { hosts.close().then(() => process.exit(1)) }
  process.once('SIGINT', handleSignal).once('SIGTERM', handleSignal)
  try {
    ledger.disturb('start')
    await Promise.all(hosts.list.map((host) => hosts.start(host)))
    await Promise.race([traffic.putConfiguration(), wait(SETUP_MS)])
    if (ledger.configuration.acked === 0) ledger.report('CONFIG', `the first configuration was not acknowledged within ${SETUP_MS} ms`)
    const trafficAt = performance.now()
    const faults = runFaults({ hosts, workers: standIns, traffic, ledger }, script, trafficAt, stopping.signal)
    await wait(seconds * 1000)
    await faults
    ledger.trace('calm', { open: ledger.listOpenJobs().length })
    traffic.stopSubmitting()
    await runCalm()
  } finally {
    stopping.abort()
    clearInterval(timer)
    await traffic.close()
    await Promise.all(standIns.map((worker) => worker.close()))
    await hosts.close()
    process.off('SIGINT', handleSignal).off('SIGTERM', handleSignal)
  }
  const header = `seed ${seed}, ${seconds} s, ${voters} voters, ${entries} entries, ${workers} workers`
  if (ledger.broken.length === 0) await rm(folder, { recursive: true, force: true })
  else {
    await mkdir(folder, { recursive: true })
    await writeFile(join(folder, 'trace.log'), [header, ...script.map(renderFault), ...ledger.lines].join('\n'))
  }
  const counts = { ...traffic.counts, faults: script.length, completed: [...ledger.jobs.values()].filter((job) => job.completedAt !== undefined).length, lasting: [...ledger.jobs.values()].filter((job) => job.steps[0]?.lasting === true && job.acceptedAt !== undefined).length, cancelled: [...ledger.jobs.values()].filter((job) => job.cancelledAt !== undefined).length, tookS: Math.round((performance.now() - startedAt) / 1000) }
  return { options, broken: ledger.broken, script: script.map(renderFault), folder, counts }

  async function runCalm (): Promise<void> {
    const calmAt = performance.now()
    // The states of a removed queue's jobs are not served, so all queues are there at the end.
    await traffic.putConfiguration(true)
    const deadline = calmAt + CONTACT_MS + FINISH_MS
    while (performance.now() < deadline && (ledger.listOpenJobs().length > 0 || performance.now() < calmAt + CALM_MS)) await wait(CHECK_MS)
    ledger.listOpenJobs().forEach((job) => ledger.report('FINISH', `${job.id} (queue ${job.queue}) is not completed ${Math.round((performance.now() - calmAt) / 1000)} s after the last fault: ${ledger.describeJob(job)}`))
    await traffic.cancelLasting()
    await wait(CANCEL_MS + STOP_TIMEOUT_MS + 2 * CHECK_MS)
  }
}

export function renderResult ({ options, broken, script, folder, counts }: SoakResult): string {
  const header = `seed ${options.seed}: ${broken.length === 0 ? 'no promise broken' : `${broken.length} broken`}; ${Object.entries(counts).map(([name, count]) => `${name} ${String(count)}`).join(', ')}`
  if (broken.length === 0) return header
  return [
    header,
    ...broken.map(({ at, promise, message }) => `  ${(at / 1000).toFixed(3)} ${promise}: ${message}`),
    'script, from the start of the traffic:',
    ...script.map((line) => `  ${line}`),
    `logs and trace: ${folder}`
  ].join('\n')
}
