import { execFileSync, spawn } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterAll, beforeAll, expect, test } from 'vitest'

const TIMEOUT_MS = 60_000
const HOST = '127.0.0.19'
let folder = ''

beforeAll(async () => {
  execFileSync(process.execPath, ['deploy/build.mjs'], { stdio: 'inherit' })
  folder = await mkdtemp(join(tmpdir(), 'sequoiadrift-start-'))
  // Runs once the entry file has been read, while the program still starts.
  await writeFile(join(folder, 'hook.cjs'), "setImmediate(() => process.stdout.write('loaded\\n'))")
}, TIMEOUT_MS)

afterAll(() => rm(folder, { recursive: true }))

async function writeSettings (role: string): Promise<string> {
  const path = join(folder, `${role}.toml`)
  await writeFile(path, `
nodeName = "${role}"
role = "${role}"
ip = "${HOST}"
zone = "a"
internalPorts = [21_790, 21_799]
seeds = ["${HOST}:21791"]
bootstrap = true
dataDir = "${join(folder, role)}"
[listenAddrs]
control = "${HOST}:21791"
frontend = "${HOST}:21792"
readiness = "${HOST}:21793"
[faultTolerance]
machines = 0
[bounds]
graceS = 6
`)
  return path
}

test.each(['voter', 'entry'])('SIGTERM during the start ends a %s by the signal instead of a planned stop', { timeout: TIMEOUT_MS }, async (role) => {
  const settings = await writeSettings(role)
  const child = spawn(process.execPath, ['--require', join(folder, 'hook.cjs'), 'target/sequoiadrift.cjs', role], { env: { PATH: process.env.PATH, SEQUOIADRIFT_SETTINGS: settings }, stdio: ['ignore', 'pipe', 'inherit'] })
  const ended = new Promise<[number | null, string | null]>((resolve) => child.once('exit', (code, signal) => resolve([code, signal])))
  await new Promise((resolve) => child.stdout.once('data', resolve))
  child.stdout.resume()
  child.kill('SIGTERM')
  expect(await ended).toEqual([0, null])
})
