#!/usr/bin/env node
import { readFile, writeFile } from 'node:fs/promises'
import { command, number, option, optional, positional, string } from 'cmd-ts'
import { listRows, listSeeds, parseExperiment, renderExperimentHtml, runExperiment } from '../emulator/index.js'
import { EXIT_CODES, renderTable } from './cli/output.js'
import { runProgram } from './runProgram.js'
import { describeSettingsFailure } from './settings/index.js'

const program = command({
  name: 'emulator',
  description: 'simulates services and batch work on the same workers in virtual time and compares variants of the settings',
  args: {
    file: positional({ type: string, displayName: 'FILE', description: 'an experiment in TOML; examples/experiment.toml shows all settings' }),
    seeds: option({ type: optional(number), long: 'seeds', description: 'runs this many seeds instead of those of the file' }),
    html: option({ type: optional(string), long: 'html', description: 'writes an HTML page with charts to this file' })
  },
  handler: async ({ file, seeds, html }) => {
    const experiment = await loadExperiment(file)
    if (experiment === undefined) return
    const chosen = seeds === undefined ? experiment.seeds : listSeeds(experiment.seeds[0] ?? 1, seeds)
    const outcomes = await runExperiment({ ...experiment, seeds: chosen }, ({ variant }) => console.error(`finished variant ${variant}`))
    console.log(renderTable(listRows(outcomes)))
    if (html !== undefined) await writeFile(html, await renderExperimentHtml(outcomes))
  }
})

async function loadExperiment (file: string): Promise<Parameters<typeof runExperiment>[0] | undefined> {
  const text = await readFile(file, 'utf8').catch((error: unknown) => {
    console.error(`${file}: cannot be read: ${error instanceof Error ? error.message : String(error)}`)
    return undefined
  })
  const experiment = text === undefined ? undefined : parseExperiment(file, text)
  if (experiment?.ok === true) return experiment.val
  if (experiment !== undefined) console.error(describeSettingsFailure(experiment.val))
  process.exitCode = EXIT_CODES.usage
  return undefined
}

await runProgram(program)
