// Compares the failed tests of the last run with those that KNOWN-RED.txt lists on lines `Test: FILE > NAME`.
// Its argument is the exit status of the run.
import { existsSync, readFileSync } from 'node:fs'
import { relative } from 'node:path'
import { UNHANDLED_ERRORS } from './unhandledErrors.mjs'

const RESULTS = 'target/tests.json'
const listed = existsSync('KNOWN-RED.txt')
  ? [...readFileSync('KNOWN-RED.txt', 'utf8').matchAll(/^\s*Test: (\S+ > .+)$/gm)].map((match) => match[1])
  : []
const { testResults } = JSON.parse(readFileSync(RESULTS, 'utf8'))
const all = testResults.flatMap(({ name, status, assertionResults }) => assertionResults.length === 0
  ? [{ test: `${relative('.', name)} > (file)`, status }]
  : assertionResults.map((result) => ({ test: `${relative('.', name)} > ${result.fullName}`, status: result.status })))
const failed = all.filter(({ status }) => status === 'failed').map(({ test }) => test)
const passed = all.filter(({ status }) => status === 'passed').map(({ test }) => test)
const unhandled = existsSync(UNHANDLED_ERRORS) ? JSON.parse(readFileSync(UNHANDLED_ERRORS, 'utf8')) : [{ message: 'the run has written no list of unhandled errors' }]
const unexpected = failed.filter((test) => !listed.includes(test))
const mended = listed.filter((test) => !failed.includes(test))
failed.filter((test) => listed.includes(test)).forEach((test) => console.log(`known red: ${test}`))
unexpected.forEach((test) => console.log(`failed: ${test}`))
mended.forEach((test) => console.log(`listed in KNOWN-RED.txt, but it did not fail: ${test}`))
unhandled.forEach(({ message, stack }) => console.log(`unhandled error: ${stack ?? message}`))
console.log(`${passed.length} passed, ${failed.length} failed`)
const isUnexplained = process.argv[2] !== '0' && failed.length === 0
if (isUnexplained) console.log(`the run ended with status ${process.argv[2]} though no test failed`)
process.exitCode = isUnexplained || unhandled.length > 0 || unexpected.length > 0 || mended.length > 0 || all.length === 0 ? 1 : 0
