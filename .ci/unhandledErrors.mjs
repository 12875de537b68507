// Reporter of the test run: writes the errors that no test has caught, which the JSON report leaves out.
import { mkdirSync, writeFileSync } from 'node:fs'

export const UNHANDLED_ERRORS = 'target/unhandled-errors.json'

export default class UnhandledErrorsReporter {
  onTestRunEnd (_modules, errors) {
    mkdirSync('target', { recursive: true })
    writeFileSync(UNHANDLED_ERRORS, JSON.stringify(errors.map(({ name, message, stack }) => ({ name, message, stack }))))
  }
}
