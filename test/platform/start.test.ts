import { execFileSync, spawn, type ChildProcess } from 'node:child_process'
import { mkdtemp, readdir, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterAll, beforeAll, expect, onTestFinished, test } from 'vitest'
import { createSystemClock } from '../../src/common/index.js'
import { openDisk, openLogStore } from '../../src/state/index.js'

const TIMEOUT_MS = 60_000
const HOST = '127.0.0.19'
const OTHER_HOST = '127.0.0.20'
/** No host of these tests has these addresses. */
const ABSENT_SEEDS = ['127.0.0.21:21791', '127.0.0.22:21791']
let folder = ''

beforeAll(async () => {
  execFileSync(process.execPath, ['deploy/build.mjs'], { stdio: 'inherit' })
  folder = await mkdtemp(join(tmpdir(), 'sequoiadrift-start-'))
  // Prints `loaded` once the entry file has been read, while the program is still starting.
  await writeFile(join(folder, 'hook.cjs'), "setImmediate(() => process.stdout.write('loaded\\n'))")
  // Sends SIGTERM while the program replaces the signal handler of the loader.
  await writeFile(join(folder, 'takeover.cjs'), "process.prependListener('removeListener', (name) => { if (name === 'SIGTERM') process.kill(process.pid, 'SIGTERM') })")
}, TIMEOUT_MS)

afterAll(() => rm(folder, { recursive: true }))

async function writeSettings (role: string, host = HOST, seeds = [`${HOST}:21791`]): Promise<string> {
  const path = join(folder, `${role}.toml`)
  await writeFile(path, `
nodeName = "${role}"
role = "${role}"
ip = "${host}"
zone = "a"
internalPorts = [21_790, 21_799]
seeds = ${JSON.stringify(seeds)}
bootstrap = true
dataDir = "${join(folder, role)}"
[listenAddrs]
control = "${host}:21791"
frontend = "${host}:21792"
readiness = "${host}:21793"
[faultTolerance]
machines = 0
[bounds]
graceS = 6
`)
  return path
}

/** Reads the data folder of a voter that has ended: files that were not completed, and whether the store opens without a repair. */
async function checkStore (dataFolder: string): Promise<{ temporaryFiles: string[], isIntact: boolean }> {
  const files = await readdir(dataFolder)
  const opened = await openLogStore({ disk: (await openDisk(dataFolder)).unwrap(), deployment: 'platform', host: HOST, createIncarnation: () => 'new', clock: createSystemClock() })
  if (opened.ok) await opened.val.store.close()
  return { temporaryFiles: files.filter((file) => file.endsWith('.tmp')), isIntact: opened.ok && !opened.val.loaded.created }
}

interface Start { child: ChildProcess, ended: Promise<[number | null, string | null]> }

async function startProgram (role: string, hook: string, host = HOST, seeds?: string[]): Promise<Start> {
  const settings = await writeSettings(role, host, seeds)
  const child = spawn(process.execPath, ['--require', join(folder, hook), 'target/sequoiadrift.cjs', role], { env: { PATH: process.env.PATH, SEQUOIADRIFT_SETTINGS: settings }, stdio: ['ignore', 'pipe', 'inherit'] })
  onTestFinished(() => { child.kill('SIGKILL') })
  return { child, ended: new Promise((resolve) => child.once('exit', (code, signal) => resolve([code, signal]))) }
}

// A process that has no handler for SIGTERM is killed by it. Without the handlers of the loader, this would happen if the
// program added its own only once its start has finished, and files could be left half written.
test.each(['voter', 'entry'])('SIGTERM during the start ends the %s process with exit code 0', { timeout: TIMEOUT_MS }, async (role) => {
  const { child, ended } = await startProgram(role, 'hook.cjs')
  await new Promise((resolve) => child.stdout?.once('data', resolve))
  child.stdout?.resume()
  child.kill('SIGTERM')
  expect(await ended).toEqual([0, null])
  if (role === 'voter') expect(await checkStore(join(folder, role))).toEqual({ temporaryFiles: [], isIntact: true })
})

// If the program added its handler only once its start has finished, a SIGHUP before that would kill the process, or, with
// the empty handler of the loader still in place, the reload would be lost.
test.each(['voter', 'entry'])('SIGHUP during the start makes the %s process reload its settings', { timeout: TIMEOUT_MS }, async (role) => {
  const { child, ended } = await startProgram(role, 'hook.cjs')
  let output = ''
  const reloaded = new Promise<string>((resolve) => child.stdout?.on('data', (data) => {
    output += String(data)
    if (output.includes('event=reload')) resolve('reloaded')
  }))
  await new Promise((resolve) => child.stdout?.once('data', resolve))
  child.kill('SIGHUP')
  expect(await Promise.race([reloaded, ended])).toBe('reloaded')
  child.kill('SIGTERM')
  expect(await ended).toEqual([0, null])
})

// Node.js drops a signal that it has received but not yet emitted while the signal has no handler. If the handler of the
// loader were removed before the new one is added, a SIGTERM at that moment would be lost and the process would go on.
test('SIGTERM stops an entry host that is replacing the signal handlers of its loader', { timeout: TIMEOUT_MS }, async () => {
  const { child, ended } = await startProgram('entry', 'takeover.cjs')
  child.stdout?.resume()
  expect(await ended).toEqual([0, null])
})

/** Resolves when the program prints the text. */
function waitForLine ({ child }: Start, text: string): Promise<void> {
  return new Promise((resolve) => child.stdout?.on('data', (data) => { if (String(data).includes(text)) resolve() }))
}

// The platform may name other seeds without a signal. Guards against an entry host that was away while all control machines were
// exchanged, and asks the old ones for ever.
test('an entry host that knows no leader finds it by seeds that were exchanged without a signal, also twice in a row', { timeout: TIMEOUT_MS }, async () => {
  const voter = await startProgram('voter', 'hook.cjs')
  voter.child.stdout?.resume()
  const entry = await startProgram('entry', 'hook.cjs', OTHER_HOST, ABSENT_SEEDS.slice(0, 1))
  const found = waitForLine(entry, `event=leader.found host=entry leader=${HOST}`)
  const reloaded = waitForLine(entry, 'event=reload host=entry role=entry seeds=127.0.0.22')
  await waitForLine(entry, 'event=start')
  await writeSettings('entry', OTHER_HOST, ABSENT_SEEDS.slice(1))
  await reloaded
  await writeSettings('entry', OTHER_HOST)
  await found
  entry.child.kill('SIGTERM')
  voter.child.kill('SIGTERM')
  expect([await entry.ended, await voter.ended]).toEqual([[0, null], [0, null]])
})
