import { runPlacementBench } from './placement.js'
import { runPlacementCost } from './placementCost.js'

// Usage: node dist/bench/placementMain.js [seed] [virtual seconds] [deployment,... | all | cost] [scenario,...]
const [seed = '1', seconds = '1200', deployments = 'all', scenarios] = process.argv.slice(2)
const figures = deployments === 'cost'
  ? runPlacementCost({ seed: Number(seed), workers: [73, 146, 365, 730], measuredMs: Number(seconds) * 1000 })
  : runPlacementBench({
    seed: Number(seed),
    durationMs: Number(seconds) * 1000,
    ...deployments !== 'all' && { deployments: deployments.split(',') },
    ...scenarios !== undefined && { scenarios: scenarios.split(',') }
  })
figures.forEach(({ name, value }) => process.stdout.write(`${name}=${value}\n`))
