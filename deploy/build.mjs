// Bundles the programs for the platform and stores the compiled code beside the bundle, because a restart on a
// small host spends most of its time on reading and compiling modules. A build has a folder of its own, named by its
// content, and the entry file changes to it by one rename: a process that starts meanwhile finds one whole build.
import { execFileSync } from 'node:child_process'
import { createHash } from 'node:crypto'
import { copyFileSync, existsSync, mkdirSync, readFileSync, renameSync, rmSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { dirname, join } from 'node:path'
import { build } from 'esbuild'

// The main file of this package hides its modules from the bundler, so its other build is taken.
const resultsFolder = dirname(createRequire(import.meta.url).resolve('ts-results'))
const bundleResults = {
  name: 'ts-results',
  setup (builder) {
    builder.onResolve({ filter: /^ts-results$/ }, () => ({ path: 'ts-results', namespace: 'results' }))
    builder.onLoad({ filter: /.*/, namespace: 'results' }, () => ({
      contents: `import * as results from ${JSON.stringify(join(resultsFolder, 'esm', 'index.js'))}\nexport default results`,
      resolveDir: resultsFolder
    }))
  }
}

const LOADER = 'deploy/loader.cjs'
const ENTRY = 'target/sequoiadrift.cjs'

const { outputFiles: [bundle] } = await build({
  entryPoints: ['platform/main.ts'],
  write: false,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  minifyWhitespace: true,
  plugins: [bundleResults],
  external: ['bufferutil', 'utf-8-validate', 'pino-pretty'],
  logLevel: 'warning'
})

const hash = createHash('sha256').update(bundle.contents).update(readFileSync(LOADER)).update(process.version).digest('hex').slice(0, 16)
const name = `build-${hash}`
if (!existsSync(`target/${name}`)) {
  const unfinished = `target/unfinished-${process.pid}`
  mkdirSync(unfinished, { recursive: true })
  writeFileSync(`${unfinished}/bundle.cjs`, bundle.contents)
  copyFileSync(LOADER, `${unfinished}/loader.cjs`)
  execFileSync(process.execPath, [`${unfinished}/loader.cjs`, '--compile'], { stdio: 'inherit' })
  // Another build of the same content may have been faster.
  if (existsSync(`target/${name}`)) rmSync(unfinished, { recursive: true })
  else renameSync(unfinished, `target/${name}`)
}
writeFileSync(`${ENTRY}.${process.pid}`, `require('./${name}/loader.cjs')\n`)
renameSync(`${ENTRY}.${process.pid}`, ENTRY)
