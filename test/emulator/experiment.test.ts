import { readFile } from 'node:fs/promises'
import { expect, test } from 'vitest'
import { listRows, parseExperiment, playSchema, renderExperimentHtml, runExperiment, type Experiment } from '../../src/emulator/index.js'
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

test('two experiments over the same seeds differ, or their variants are not played as the file says', async () => {
  const [first, second] = [await runExperiment(parseOk(SHORT)), await runExperiment(parseOk(SHORT))]
  expect(second).toEqual(first)
  expect(first.map(({ variant, plays }) => ({ variant, plays }))).toMatchSnapshot()
  const [light = 0, , heavy = 0] = first.map(({ harmedShare }) => harmedShare)
  expect(heavy).toBeGreaterThan(light)
}, 60_000)

test('the table of an experiment shows a share or a seed wrongly', () => {
  const seeds = Array.from({ length: 12 }, (_, index) => index + 1)
  expect(listRows([{ variant: 'a', plays: 12, longestMs: 4100, brokenSeeds: seeds, harmedShare: 0.0712, batches: 8, onTime: 6, stops: 20 }])).toMatchSnapshot()
})

test('the page of an experiment lacks a variant or a chart', async () => {
  const page = await renderExperimentHtml([
    { variant: 'a<b', plays: 1, longestMs: 4100, brokenSeeds: [7], harmedShare: 0.25, batches: 4, onTime: 3, stops: 6 },
    { variant: 'c', plays: 1, longestMs: 900, brokenSeeds: [], harmedShare: 0, batches: 0, onTime: 0, stops: 0 }
  ])
  expect(page.match(/<svg /g)).toHaveLength(3)
  expect(page.match(/<tr><td[\s\S]*?<\/tr>/g)).toMatchSnapshot()
})

test.each([
  ['an unknown setting to vary', '[vary]\n"services.size" = [1]'],
  ['a value out of its range', '[services]\nmean_load = 2'],
  ['an image of both a service and batch work', '[batches]\nimages = ["calm"]'],
  ['a range with its ends swapped', '[pressure]\nheavy = [3, 1]'],
  ['more combinations than can be compared', `[vary]\n"services.tasks" = [${Array.from({ length: 101 }, (_, index) => index + 1).join()}]`],
  ['what is not TOML', '[services']
])('an experiment with %s is played', (_case, text) => {
  const parsed = parseExperiment('experiment.toml', text)
  expect(parsed.ok ? 'accepted' : describeSettingsFailure(parsed.val)).toMatchSnapshot()
})

test('the example differs from the defaults that it says it shows', async () => {
  const { variants } = parseOk((await readFile('examples/experiment.toml', 'utf8')).replace(/\[vary\][\s\S]*/, ''))
  expect(variants.map(({ settings }) => settings)).toEqual([playSchema.parse({})])
})
