// Bundles the programs for the platform and stores the compiled code beside the bundle, because a restart on a
// small host spends most of its time on reading and compiling modules.
import { execFileSync } from 'node:child_process'
import { copyFileSync, mkdirSync } from 'node:fs'
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

mkdirSync('target', { recursive: true })
await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/bundle.cjs',
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
copyFileSync('deploy/loader.cjs', 'target/sequoiadrift.cjs')
execFileSync(process.execPath, ['target/sequoiadrift.cjs', '--compile'], { stdio: 'inherit' })
