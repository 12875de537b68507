import { Err, Ok, type Result } from '../common/index.js'
import { checkTable, parseToml, type SettingsFailure } from '../programs/settings/index.js'
import { runEmulation, type EmulationOutcome } from './emulation.js'
import { experimentSchema, emulationSchema, type EmulationSettings } from './settings.js'

/** Limit of the combinations in one experiment, because each seed with the default settings takes about 2 s of one core. */
const MAX_VARIANTS = 100

/** One combination of the values of the settings listed under `vary`. */
export interface Variant { name: string, settings: EmulationSettings }

export interface Experiment { variants: Variant[], seeds: number[] }

/** Results of one variant over all seeds. */
export interface VariantOutcome {
  variant: string
  runs: number
  /** Maximum over the seeds of `ServiceOutcome.longestOverTargetMs`. */
  longestOverTargetMs: number
  /** Seeds in which `longestOverTargetMs` reached the bound `over_target_ms`. */
  violatingSeeds: number[]
  /** Mean over the seeds of `ServiceOutcome.overTargetShare`. */
  overTargetShare: number
  batches: number
  onTime: number
  stops: number
}

/** Results of one seed of a variant. */
export interface SeededOutcome extends EmulationOutcome { seed: number }

type Table = Record<string, unknown>

export function listSeeds (first: number, count: number): number[] {
  return Array.from({ length: count }, (_, index) => first + index)
}

/** Parses an experiment file: the settings of an emulation run, the seeds and the settings to vary. */
export function parseExperiment (file: string, text: string): Result<Experiment, SettingsFailure> {
  const table = parseToml(file, text)
  if (!table.ok) return table
  const checked = checkTable(experimentSchema, file, table.val)
  if (!checked.ok) return checked
  const { seeds: { first, count }, vary } = checked.val
  const combinations = Object.entries(vary).reduce<Array<Array<[string, unknown]>>>(
    (all, [path, values]) => all.flatMap((chosen) => values.map((value): Array<[string, unknown]> => [...chosen, [path, value]])), [[]])
  if (combinations.length > MAX_VARIANTS) {
    return Err({ kind: 'invalid-settings', file, issues: [{ key: 'vary', value: `${combinations.length} combinations`, allowed: `at most ${MAX_VARIANTS}` }] })
  }
  const { seeds: _seeds, vary: _vary, ...base } = table.val
  const variants: Variant[] = []
  for (const chosen of combinations) {
    const settings = checkTable(emulationSchema, file, chosen.reduce((settings, [path, value]) => setPath(settings, path.split('.'), value), base))
    if (!settings.ok) return settings
    variants.push({ name: chosen.map(([path, value]) => `${path}=${JSON.stringify(value)}`).join(' ') || 'as set', settings: settings.val })
  }
  return Ok({ variants, seeds: listSeeds(first, count) })
}

function setPath (table: Table, [key = '', ...rest]: readonly string[], value: unknown): Table {
  return { ...table, [key]: rest.length === 0 ? value : setPath((table[key] ?? {}) as Table, rest, value) }
}

/** Runs the emulation once for each seed, one after the other. */
export async function runSeeds (settings: EmulationSettings, seeds: readonly number[]): Promise<SeededOutcome[]> {
  const outcomes: SeededOutcome[] = []
  for (const seed of seeds) outcomes.push({ seed, ...await runEmulation(settings, seed) })
  return outcomes
}

export function summarizeRuns ({ name, settings }: Variant, outcomes: readonly SeededOutcome[]): VariantOutcome {
  const sum = (get: (run: EmulationOutcome) => number): number => outcomes.reduce((total, run) => total + get(run), 0)
  return {
    variant: name,
    runs: outcomes.length,
    longestOverTargetMs: Math.max(...outcomes.map(({ longestOverTargetMs }) => longestOverTargetMs)),
    violatingSeeds: outcomes.filter(({ longestOverTargetMs }) => longestOverTargetMs >= settings.system.over_target_ms).map(({ seed }) => seed),
    overTargetShare: sum(({ overTargetShare }) => overTargetShare) / outcomes.length,
    batches: sum(({ batches }) => batches),
    onTime: sum(({ onTime }) => onTime),
    stops: sum(({ stops }) => stops)
  }
}

/** Runs every variant with the same seeds, so that differences between results come from the settings alone. */
export async function runExperiment ({ variants, seeds }: Experiment, onOutcome: (outcome: VariantOutcome) => void = () => {}): Promise<VariantOutcome[]> {
  const outcomes: VariantOutcome[] = []
  for (const variant of variants) {
    const outcome = summarizeRuns(variant, await runSeeds(variant.settings, seeds))
    outcomes.push(outcome)
    onOutcome(outcome)
  }
  return outcomes
}
