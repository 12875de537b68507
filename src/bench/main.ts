import * as log from './log.js'
import { runPlacementBench, type Figure } from './placement.js'
import { runPlacementCost } from './placementCost.js'
import { runProcessBench } from './processes.js'
import { runRoutingBench } from './routing.js'
import { measureScale } from './scale.js'
import * as tasks from './tasks.js'
import { measureWorkflowSizes } from './workflowSizes.js'

const PLACEMENT_SECONDS = 300
const COST_SECONDS = 20

type Benchmark = () => Promise<Figure[]>

/** Benchmarks by name; `npm run bench -- NAME ...` runs only those named. */
const BENCHMARKS: Record<string, Benchmark> = {
  routing: async () => (await runRoutingBench()).map((figure) => ({ ...figure, name: `routing.${figure.name}` })),
  log: async () => listFigures('log', {
    ...await log.measureCommits(),
    ...await log.measureElections(),
    ...await log.measureRestart(),
    ...await log.measureTraffic(),
    ...await log.measureMemory()
  }),
  processes: () => runProcessBench(),
  tasks: async () => [
    ...listFigures('tasks.rest', await tasks.measureTrafficAtRest()),
    ...listFigures('tasks.peak', await tasks.measureTrafficAtPeak()),
    ...listFigures('tasks.cost', await tasks.measureCost()),
    ...listFigures('tasks.memory', await tasks.measureMemory())
  ],
  sizes: async () => listFigures('sizes', await measureWorkflowSizes()),
  scale: async () => listFigures('scale', measureScale()),
  placement: async () => runPlacementBench({ seed: 1, durationMs: PLACEMENT_SECONDS * 1000 }),
  cost: async () => runPlacementCost({ seed: 1, workers: [73, 146, 365, 730], measuredMs: COST_SECONDS * 1000 })
}

async function runBench (names: string[]): Promise<void> {
  const unknown = names.filter((name) => BENCHMARKS[name] === undefined)
  if (unknown.length > 0) {
    console.error(`unknown benchmark: ${unknown.join(', ')}; known benchmarks: ${Object.keys(BENCHMARKS).join(', ')}`)
    process.exitCode = 2
    return
  }
  for (const name of names.length > 0 ? names : Object.keys(BENCHMARKS)) {
    const figures = await (BENCHMARKS[name] as Benchmark)()
    figures.forEach((figure) => console.log(`${figure.name}=${Number(figure.value.toPrecision(4))} ${figure.unit}`.trimEnd()))
  }
}

/** Flattens nested figures to names with dots. The names contain their units. */
function listFigures (prefix: string, figures: object): Figure[] {
  return Object.entries(figures).flatMap(([name, value]) => typeof value === 'object' && value !== null
    ? listFigures(`${prefix}.${name}`, value as object)
    : [{ name: `${prefix}.${name}`, value: Number(value), unit: '' }])
}

await runBench(process.argv.slice(2))
