// Runs one script: opens the record, the deployment and the stand-ins, and ends everything that was started.
import { openRecord, wait } from './record.mjs'
import { openDeployment } from './deployment.mjs'
import { createRequester, putConfiguration } from './callers.mjs'
import { createRunBook, openExecutor } from './executor.mjs'

const LIMIT_MS = 115_000
/** The bound on configuration, after which a change is in force everywhere. */
const CONFIG_APPLY_MS = 2000

/** True unless `TROUBLE=0`: the script then does the same without the disruption. */
export const hasTrouble = process.env.TROUBLE !== '0'

/** `play` returns the list of what broke the rule; it throws if the case cannot run. */
export async function runScript (folder, { entries = 2, bounds = {}, configuration, executors, play, prepareExecutor = (options) => options, closeAll = () => {} }) {
  const { record } = openRecord(`${folder}/record.txt`)
  record('script', { trouble: hasTrouble })
  let deployment
  const opened = []
  const close = async () => {
    opened.forEach((executor) => executor.close())
    closeAll()
    await deployment?.close()
  }
  const finish = async (code, text) => {
    record('result', { code, text })
    console.log(text)
    await close()
    process.exit(code)
  }
  setTimeout(() => finish(2, 'the script took too long'), LIMIT_MS).unref()
  process.once('SIGTERM', () => finish(2, 'stopped')).once('SIGINT', () => finish(2, 'stopped'))
  try {
    deployment = await openDeployment({ record, entries, bounds })
    const book = createRunBook({ record })
    deployment.list.forEach(deployment.start)
    const { voters } = deployment
    for (const [number, options] of executors.entries()) {
      const ip = `${deployment.network}.${100 + number}`
      opened.push(await openExecutor({ record, book, id: `i-${number}`, ip, voters, zone: ['a', 'b', 'c'][number % 3], ...await prepareExecutor(options, { voters, ip, number }) }))
    }
    opened.forEach((executor) => executor.startLife())
    if (!await putConfiguration({ record, voters, configuration })) throw new Error('the first configuration was not acknowledged')
    await wait(CONFIG_APPLY_MS)
    const requester = createRequester({ record, entries: deployment.entries })
    const broken = await play({ record, wait, deployment, book, executors: opened, requester, voters })
    broken.forEach((text) => record('broken', { text }))
    await finish(broken.length > 0 ? 1 : 0, broken.length > 0 ? broken.join('\n') : 'held')
  } catch (error) {
    await finish(2, `the case could not run: ${error.stack}`)
  }
}
