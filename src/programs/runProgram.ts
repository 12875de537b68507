import { runSafely } from 'cmd-ts'
import { EXIT_CODES } from './cli/output.js'

/** Runs a command line program with the arguments of this process and sets the exit code. */
export async function runProgram (program: Parameters<typeof runSafely>[0]): Promise<void> {
  const result = await runSafely(program, process.argv.slice(2))
  if (result._tag !== 'error') return
  const { message, into, exitCode } = result.error.config
  const write = into === 'stdout' ? console.log : console.error
  write(message)
  // `--help` ends here with exit code 0 and is a success; all other cases are usage errors.
  process.exitCode = exitCode === 0 ? EXIT_CODES.success : EXIT_CODES.usage
}
