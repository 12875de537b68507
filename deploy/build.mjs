// Bundles the programs for the platform and stores a V8 code cache beside the bundle, because a restart on a small host spends
// most of its time reading and compiling modules. Each build has its own folder, named by the hash of its content. The entry file
// is replaced by one rename, so that a process that starts during a build always finds a complete build.
import { execFileSync } from 'node:child_process'
import { createHash } from 'node:crypto'
import { copyFileSync, existsSync, mkdirSync, readFileSync, renameSync, rmSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { dirname, join } from 'node:path'
import { build } from 'esbuild'

// The main file of this package is a UMD module, whose imports the bundler cannot find, so its ES module build is bundled instead.
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
  // Another process may have finished a build with the same content first.
  if (existsSync(`target/${name}`)) rmSync(unfinished, { recursive: true })
  else renameSync(unfinished, `target/${name}`)
}
writeFileSync(`${ENTRY}.${process.pid}`, `require('./${name}/loader.cjs')\n`)
renameSync(`${ENTRY}.${process.pid}`, ENTRY)
