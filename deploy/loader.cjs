// Runs the bundle beside this file from its stored compiled code. `--compile` stores that code.
// The bundle replaces these handlers. Nothing has to be put in order and no settings have been read before it runs.
process.on('SIGTERM', () => process.exit(0))
process.on('SIGHUP', () => {})

const { readFileSync, writeFileSync } = require('node:fs')
const { join } = require('node:path')
const vm = require('node:vm')

const bundle = join(__dirname, 'bundle.cjs')
const cache = join(__dirname, 'bundle.cache')

function readCache () {
  try {
    return readFileSync(cache)
  } catch {
    return undefined
  }
}

const isCompiling = process.argv[2] === '--compile'
const script = new vm.Script(
  `(function (exports, require, module, __filename, __dirname) {${readFileSync(bundle, 'utf8')}\n})`,
  { filename: bundle, cachedData: isCompiling ? undefined : readCache(), importModuleDynamically: vm.constants.USE_MAIN_CONTEXT_DEFAULT_LOADER }
)
const run = script.runInThisContext()
if (isCompiling) {
  // Functions that have run once are part of the stored code.
  process.argv[2] = '--none'
  process.exit = () => {}
  console.error = () => {}
  run(module.exports, require, module, bundle, __dirname)
  setTimeout(() => {
    writeFileSync(cache, script.createCachedData())
  }, 500)
} else {
  run(module.exports, require, module, bundle, __dirname)
}
