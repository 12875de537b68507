import { mkdir, rm, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { createRandom } from '../../src/common/index.js'
import { listServices, openTraffic } from './clients.js'
import { FAULT_FREE_MS, planFaults, renderFault, runFaults } from './faults.js'
import { openHosts } from './hosts.js'
import { CANCEL_MS, CONTACT_MS, createInvariantChecker, STOP_TIMEOUT_MS, type Violation } from './invariantChecker.js'
import { openWorker } from './fakeWorker.js'

const CONFIGURATION_TIMEOUT_MS = 15_000
/** Time after the end of the traffic within which every accepted job must complete; the setting `finish_s`. */
const FINISH_MS = 14_000
const CHECK_MS = 250
const JOBS_PER_WORKER_S = 0.8
const MAX_JOBS_PER_S = 20

export interface SoakOptions { seed: number, seconds: number, voters: number, entries: number, workers: number }

export interface SoakResult { options: SoakOptions, broken: Violation[], script: string[], folder: string, counts: object }

const wait = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms))

/** Runs one seed: `seconds` of traffic with faults, then a fault-free phase in which all jobs must complete. */
export async function runSoak (options: SoakOptions): Promise<SoakResult> {
  const { seed, seconds, voters, entries, workers } = options
  const startedAt = performance.now()
  const getTime = (): number => performance.now()
  const checker = createInvariantChecker(getTime)
  const folder = join('target', 'soak', `seed-${seed}-${process.pid}`)
  await rm(folder, { recursive: true, force: true })
  // The addresses depend on the process id, so that several soaks can run on one machine.
  const network = `127.${100 + process.pid % 100}.${Math.floor(process.pid / 100) % 250}`
  const hosts = await openHosts({ folder, network, voters, entries, checker })
  const script = planFaults(createRandom(seed), { durationMs: seconds * 1000, toleratedDisks: Math.floor((voters - 1) / 2) })
  const services = listServices()
  const fakeWorkers = await Promise.all(Array.from({ length: workers }, (_, number) => openWorker({
    ...services[number % services.length]!,
    service: services[number % services.length]!.name,
    name: `w${number}`,
    ip: `${network}.${100 + number}`,
    zone: ['a', 'b', 'c'][number % 3] ?? 'a',
    checker,
    random: createRandom(seed + 1000 + number),
    listControls: () => [...hosts.controlLinks.values()].map((link) => link.address)
  })))
  const traffic = openTraffic({ hosts, checker, random: createRandom(seed + 1), clients: 2 * entries, jobsPerS: Math.min(MAX_JOBS_PER_S, workers * JOBS_PER_WORKER_S) })
  const timer = setInterval(() => checker.check(), CHECK_MS)
  const stopping = new AbortController()
  const handleSignal = (): void => { hosts.close().then(() => process.exit(1)) }
  process.once('SIGINT', handleSignal).once('SIGTERM', handleSignal)
  try {
    checker.recordDisturbance('start')
    await Promise.all(hosts.list.map((host) => hosts.start(host)))
    await Promise.race([traffic.putConfiguration(), wait(CONFIGURATION_TIMEOUT_MS)])
    if (checker.configuration.acked === 0) checker.report('CONFIG', `the first configuration was not acknowledged within ${CONFIGURATION_TIMEOUT_MS} ms`)
    const trafficStartedAt = performance.now()
    const faults = runFaults({ hosts, workers: fakeWorkers, traffic, checker }, script, trafficStartedAt, stopping.signal)
    await wait(seconds * 1000)
    await faults
    checker.trace('calm', { open: checker.listUnfinishedJobs().length })
    traffic.stopSubmitting()
    await runRecoveryPhase()
  } finally {
    stopping.abort()
    clearInterval(timer)
    await traffic.close()
    await Promise.all(fakeWorkers.map((worker) => worker.close()))
    await hosts.close()
    process.off('SIGINT', handleSignal).off('SIGTERM', handleSignal)
  }
  const header = `seed ${seed}, ${seconds} s, ${voters} voters, ${entries} entries, ${workers} workers`
  if (checker.broken.length === 0) await rm(folder, { recursive: true, force: true })
  else {
    await mkdir(folder, { recursive: true })
    await writeFile(join(folder, 'trace.log'), [header, ...script.map(renderFault), ...checker.lines].join('\n'))
  }
  const counts = { ...traffic.counts, faults: script.length, completed: [...checker.jobs.values()].filter((job) => job.completedAt !== undefined).length, lasting: [...checker.jobs.values()].filter((job) => job.steps[0]?.lasting === true && job.acceptedAt !== undefined).length, cancelled: [...checker.jobs.values()].filter((job) => job.cancelledAt !== undefined).length, tookS: Math.round((performance.now() - startedAt) / 1000) }
  return { options, broken: checker.broken, script: script.map(renderFault), folder, counts }

  async function runRecoveryPhase (): Promise<void> {
    const recoveryAt = performance.now()
    // A host doesn't serve the states of jobs whose queue was removed, so the last configuration has all queues.
    await traffic.putConfiguration(true)
    const deadline = recoveryAt + CONTACT_MS + FINISH_MS
    while (performance.now() < deadline && (checker.listUnfinishedJobs().length > 0 || performance.now() < recoveryAt + FAULT_FREE_MS)) await wait(CHECK_MS)
    checker.listUnfinishedJobs().forEach((job) => checker.report('FINISH', `${job.id} (queue ${job.queue}) is not completed ${Math.round((performance.now() - recoveryAt) / 1000)} s after the last fault: ${checker.describeJob(job)}`))
    await traffic.cancelLongRunning()
    await wait(CANCEL_MS + STOP_TIMEOUT_MS + 2 * CHECK_MS)
  }
}

export function renderResult ({ options, broken, script, folder, counts }: SoakResult): string {
  const header = `seed ${options.seed}: ${broken.length === 0 ? 'no promise broken' : `${broken.length} broken`}; ${Object.entries(counts).map(([name, count]) => `${name} ${String(count)}`).join(', ')}`
  if (broken.length === 0) return header
  return [
    header,
    ...broken.map(({ at, guarantee, message }) => `  ${(at / 1000).toFixed(3)} ${guarantee}: ${message}`),
    'script, from the start of the traffic:',
    ...script.map((line) => `  ${line}`),
    `logs and trace: ${folder}`
  ].join('\n')
}
