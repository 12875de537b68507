import { readFile } from 'node:fs/promises'
import { expect, test } from 'vitest'
import { listRows, parseExperiment, emulationSchema, renderExperimentHtml, runExperiment, type Experiment } from '../../src/emulator/index.js'
import { describeSettingsFailure } from '../../src/programs/settings/index.js'

const SHORT = `
[system]
hosts = 3
workers = 2
[services]
images = ["calm", "touchy"]
tasks = 2
[play]
settle_ms = 4000
load_ms = 6000
[seeds]
count = 2
[vary]
"pressure.heavy_share" = [0, 1]
"troubles.script" = [[], [{ kind = "late-orders", at_ms = 5000, for_ms = 2000 }]]
`

function parseOk (text: string): Experiment {
  const parsed = parseExperiment('experiment.toml', text)
  if (!parsed.ok) throw new Error(describeSettingsFailure(parsed.val))
  return parsed.val
}

test('runs every variant of the file, with equal results for equal seeds', async () => {
  const [first, second] = [await runExperiment(parseOk(SHORT)), await runExperiment(parseOk(SHORT))]
  expect(second).toEqual(first)
  expect(first.map(({ variant, runs: plays }) => ({ variant, plays }))).toMatchSnapshot()
  const [light = 0, , heavy = 0] = first.map(({ overTargetShare }) => overTargetShare)
  expect(heavy).toBeGreaterThan(light)
}, 60_000)

test('lists shares and violating seeds in the rows of the table', () => {
  const seeds = Array.from({ length: 12 }, (_, index) => index + 1)
  expect(listRows([{ variant: 'a', runs: 12, longestOverTargetMs: 4100, violatingSeeds: seeds, overTargetShare: 0.0712, batches: 8, onTime: 6, stops: 20 }])).toMatchSnapshot()
})

test('renders a page with each variant and three charts', async () => {
  const page = await renderExperimentHtml([
    { variant: 'a<b', runs: 1, longestOverTargetMs: 4100, violatingSeeds: [7], overTargetShare: 0.25, batches: 4, onTime: 3, stops: 6 },
    { variant: 'c', runs: 1, longestOverTargetMs: 900, violatingSeeds: [], overTargetShare: 0, batches: 0, onTime: 0, stops: 0 }
  ])
  expect(page.match(/<svg /g)).toHaveLength(3)
  expect(page.match(/<tr><td[\s\S]*?<\/tr>/g)).toMatchSnapshot()
})

test.each([
  ['an unknown setting to vary', '[vary]\n"services.size" = [1]'],
  ['a value out of range', '[services]\nmean_load = 2'],
  ['the same image for a service and batch work', '[batches]\nimages = ["calm"]'],
  ['a range with its ends swapped', '[pressure]\nheavy = [3, 1]'],
  ['more than 100 combinations', `[vary]\n"services.tasks" = [${Array.from({ length: 101 }, (_, index) => index + 1).join()}]`],
  ['invalid TOML', '[services']
])('rejects an experiment with %s', (_case, text) => {
  const parsed = parseExperiment('experiment.toml', text)
  expect(parsed.ok ? 'accepted' : describeSettingsFailure(parsed.val)).toMatchSnapshot()
})

test('examples/experiment.toml shows the default settings', async () => {
  const { variants } = parseOk((await readFile('examples/experiment.toml', 'utf8')).replace(/\[vary\][\s\S]*/, ''))
  expect(variants.map(({ settings }) => settings)).toEqual([emulationSchema.parse({})])
})
