#!/usr/bin/env node
import { runSafely } from 'cmd-ts'
import { program } from './cli/commands/index.js'
import { EXIT_CODES } from './cli/output.js'

const result = await runSafely(program, process.argv.slice(2))
if (result._tag === 'error') {
  const { message, into, exitCode } = result.error.config
  const write = into === 'stdout' ? console.log : console.error
  write(message)
  // A request for help is a success; everything else is a wrong use of the command.
  process.exitCode = exitCode === 0 ? EXIT_CODES.success : EXIT_CODES.usage
}
