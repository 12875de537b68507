import { createDispatchLoad } from '../fakes/dispatchLoad.js'

/** Part of the running short tasks that ends before the burst scenario. */
const BURST_SHARE = 0.5

// Usage: node dist/bench/dispatchMain.js [virtual ms] [workers]; prints the dispatcher's real time per placed task and per pass.
const [ms = '3000', workers = '342'] = process.argv.slice(2)
const scale = Number(workers) / 342

async function runScenario (name: string, isBurst: boolean): Promise<void> {
  const load = createDispatchLoad({ workers: Number(workers), endsPerSecond: 870 * scale, waitingTasks: 2000 * scale, seed: 1 })
  await load.run(500)
  if (isBurst) load.endShortTasks(BURST_SHARE)
  const { placed, passes, busyMs, waiting, parts } = await load.run(isBurst ? 500 : Number(ms))
  const figures = { ms_per_task: busyMs / placed, ms_per_pass: busyMs / passes, placed, passes, waiting, ...Object.fromEntries([...parts].map(([part, total]) => [part, total / placed])) }
  Object.entries(figures).forEach(([figure, value]) => process.stdout.write(`${name}.${figure}=${Number(value.toFixed(4))}\n`))
}

await runScenario('full', false)
await runScenario('burst', true)
