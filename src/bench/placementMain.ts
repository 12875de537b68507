import { runPlacementBench } from './placement.js'

// Usage: node dist/bench/placementMain.js [seed] [virtual seconds] [deployment,...] [scenario,...]
const [seed = '1', seconds = '1200', deployments, scenarios] = process.argv.slice(2)
runPlacementBench({
  seed: Number(seed),
  durationMs: Number(seconds) * 1000,
  ...deployments !== undefined && deployments !== 'all' && { deployments: deployments.split(',') },
  ...scenarios !== undefined && { scenarios: scenarios.split(',') }
}).forEach(({ name, value, unit }) => process.stdout.write(`${name}=${value} ${unit}\n`))
