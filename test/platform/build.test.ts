import { spawn } from 'node:child_process'
import { existsSync, readFileSync } from 'node:fs'
import { appendFile, cp, mkdtemp, rm, symlink } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { dirname, join, resolve } from 'node:path'
import { setImmediate } from 'node:timers/promises'
import { crc32 } from 'node:zlib'
import { expect, test } from 'vitest'

const BUILDS = 3
const TIMEOUT_MS = 120_000
const COPIED_PATHS = ['deploy', 'platform']
const LINKED_PATHS = ['src', 'node_modules', 'package.json', 'tsconfig.json']

/** Returns checksums of the files that a program would read if it started now; -1 for a missing file. */
function readFiles (folder: string): number[] {
  const entry = join(folder, 'target', 'sequoiadrift.cjs')
  const loader = /^require\('(.+)'\)\s*$/.exec(readFileSync(entry, 'utf8'))?.[1]
  const build = loader === undefined ? dirname(entry) : dirname(join(dirname(entry), loader))
  return [loader === undefined ? entry : join(build, 'loader.cjs'), join(build, 'bundle.cjs')].map((file) => existsSync(file) ? crc32(readFileSync(file)) : -1)
}

async function runBuild (folder: string, onTick: () => void): Promise<void> {
  const child = spawn(process.execPath, ['deploy/build.mjs'], { cwd: folder, stdio: 'inherit' })
  const state = { isRunning: true }
  const ended = new Promise<void>((resolve, reject) => child.once('exit', (code) => code === 0 ? resolve() : reject(new Error(`the build ended with ${code}`)))).finally(() => { state.isRunning = false })
  while (state.isRunning) {
    onTick()
    await setImmediate()
  }
  await ended
}

// If a build wrote its files in place, a program that starts meanwhile could read a truncated bundle, or the loader of one
// build with the bundle of another.
test('a program that starts while a build runs reads only the files of one complete build', { timeout: TIMEOUT_MS }, async () => {
  const folder = await mkdtemp(join(tmpdir(), 'sequoiadrift-build-'))
  try {
    await Promise.all(LINKED_PATHS.map((name) => symlink(resolve(name), join(folder, name))))
    await Promise.all(COPIED_PATHS.map((name) => cp(name, join(folder, name), { recursive: true })))
    await runBuild(folder, () => {})
    const completeBuilds = new Set([JSON.stringify(readFiles(folder))])
    const seen = new Set<string>()
    for (let build = 0; build < BUILDS; build += 1) {
      await appendFile(join(folder, 'deploy', 'loader.cjs'), '// another build\n')
      await appendFile(join(folder, 'platform', 'main.ts'), `\nprocess.env.BUILD = '${build}'\n`)
      await runBuild(folder, () => seen.add(JSON.stringify(readFiles(folder))))
      completeBuilds.add(JSON.stringify(readFiles(folder)))
    }
    expect([...seen].filter((files) => !completeBuilds.has(files))).toEqual([])
  } finally {
    await rm(folder, { recursive: true })
  }
})
