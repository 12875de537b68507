import { parseArgs } from 'node:util'
import { renderResult, runSoak } from './soak.js'

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '40' },
    hosts: { type: 'string', default: '2' },
    voters: { type: 'string', default: '3' },
    workers: { type: 'string', default: '8' }
  }
})

const result = await runSoak({ seed: Number(values.seed), seconds: Number(values.seconds), voters: Number(values.voters), entries: Number(values.hosts), workers: Number(values.workers) })
console.log(renderResult(result))
process.exit(result.broken.length > 0 ? 1 : 0)
