import { fork, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import type { HostFigures, HostSetup } from './logLoadHost.js'

/** Hosts with a replica in the grown deployment. */
const HOSTS = 8
/** The first so many of them vote. */
const VOTERS = 5
const FIRST_PORT = 23_500
const WARM_UP_MS = 6000
const MEASURED_MS = 15_000
const HOST_PROGRAM = fileURLToPath(new URL('./logLoadHost.js', import.meta.url))

interface Host { name: string, process: ChildProcess }

/**
 * Runs the replicated log of a grown deployment with one process per host, under the log entries of 870 task starts per second.
 * `node dist/bench/logLoad.js [folder for cpu profiles]`
 */
async function runLogLoad (profiles: string | undefined): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'sequoiadrift-load-'))
  const names = Array.from({ length: HOSTS }, (_, position) => `h${position}`)
  const hosts = names.map((name, position): Host => {
    const setup: HostSetup = { name, position, names, voters: names.slice(0, VOTERS), firstPort: FIRST_PORT, folder: join(folder, name) }
    const execArgv = profiles === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${profiles}`, `--cpu-prof-name=${name}.cpuprofile`]
    return { name, process: fork(HOST_PROGRAM, [JSON.stringify(setup)], { execArgv }) }
  })
  try {
    await wait(WARM_UP_MS)
    await Promise.all(hosts.map((host) => sendCommand(host, 'reset')))
    await wait(MEASURED_MS)
    const figures = await Promise.all(hosts.map((host) => sendCommand(host, 'read') as Promise<HostFigures>))
    report(figures)
  } finally {
    await Promise.all(hosts.map(async ({ process }) => {
      if (process.exitCode !== null) return
      process.send('stop')
      await once(process, 'exit')
    }))
    await rm(folder, { recursive: true, force: true })
  }
}

function report (figures: HostFigures[]): void {
  const leader = figures.find(({ role }) => role === 'leader')
  if (leader === undefined) throw new Error('no leader was elected')
  const followers = figures.filter((each) => each !== leader)
  const seconds = MEASURED_MS / 1000
  console.log(`leader: ${format(leader.cpuMs / leader.entries)} ms of processor time an entry, ${format(leader.cpuMs / MEASURED_MS)} cores, ${format(leader.entries / seconds)} entries/s, ${format(leader.messages / seconds)} messages/s, ${format(leader.appends / seconds)} of them appends and replies, longest block ${format(leader.longestBlockMs)} ms`)
  console.log(`followers: ${followers.map(({ name, role, cpuMs, appliedMs }) => `${name} ${role} ${format(cpuMs / MEASURED_MS)} cores, applied after p50 ${format(appliedMs.p50)} p99 ${format(appliedMs.p99)} ms`).join('\n  ')}`)
  console.log(`assign, proposed on the leader until answered there: p50 ${format(leader.answeredMs.p50)} p99 ${format(leader.answeredMs.p99)} ms`)
  console.log(`end, proposed on a follower until answered there: p50 ${format(computeMean(followers.map(({ answeredMs }) => answeredMs.p50)))} p99 ${format(computeMean(followers.map(({ answeredMs }) => answeredMs.p99)))} ms`)
  console.log(`assign, proposed on the leader until applied on a follower: p50 ${format(computeMean(followers.map(({ appliedMs }) => appliedMs.p50)))} p99 ${format(computeMean(followers.map(({ appliedMs }) => appliedMs.p99)))} ms`)
  console.log(`snapshots: ${leader.snapshots}; failed proposals: ${figures.reduce((sum, { failed }) => sum + failed, 0)}`)
}

async function sendCommand (host: Host, command: string): Promise<unknown> {
  host.process.send(command)
  const [reply] = await once(host.process, 'message') as [unknown]
  return reply
}

function wait (ms: number): Promise<void> {
  return new Promise((resolve) => { setTimeout(resolve, ms) })
}

function computeMean (values: number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
}

function format (value: number): string {
  return String(Number(value.toPrecision(3)))
}

await runLogLoad(process.argv[2])
