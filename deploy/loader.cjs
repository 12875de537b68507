// Runs the bundle beside this file from its V8 code cache; `--compile` writes that cache.
//
// These handlers serve until the bundle has replaced them. Until then SIGTERM may end the process at once, because no cleanup is
// needed, and SIGHUP may be ignored, because no settings have been read that a reload would replace.
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
  // The cache contains the functions that have run, so the bundle runs once with an unknown role. The error message and the exit
  // that an unknown role causes are disabled.
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
