import { Err, Ok, type Result } from '../common/index.js'
import { checkTable, parseToml, type SettingsFailure } from '../programs/settings/index.js'
import { runEmulation, type PlayOutcome } from './play.js'
import { experimentSchema, playSchema, type PlaySettings } from './settings.js'

/** Combinations that one experiment may have; a seed of the default play takes about 2 s of one core. */
const MAX_VARIANTS = 100

/** One combination of the settings that an experiment varies. */
export interface Variant { name: string, settings: PlaySettings }

export interface Experiment { variants: Variant[], seeds: number[] }

/** What the seeds of one variant came to. */
export interface VariantOutcome {
  variant: string
  plays: number
  /** Longest time that a service was over its target on end beside work that fills, ms. */
  longestMs: number
  /** Seeds in which that reached the bound. */
  brokenSeeds: number[]
  /** Mean part of their time that services were over their targets beside such work. */
  harmedShare: number
  batches: number
  onTime: number
  stops: number
}

/** What one seed of a variant came to. */
export interface SeededOutcome extends PlayOutcome { seed: number }

type Table = Record<string, unknown>

export function listSeeds (first: number, count: number): number[] {
  return Array.from({ length: count }, (_, index) => first + index)
}

/** Reads the file of an experiment: a play, its seeds and what to vary. */
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
    const settings = checkTable(playSchema, file, chosen.reduce((play, [path, value]) => setPath(play, path.split('.'), value), base))
    if (!settings.ok) return settings
    variants.push({ name: chosen.map(([path, value]) => `${path}=${JSON.stringify(value)}`).join(' ') || 'as set', settings: settings.val })
  }
  return Ok({ variants, seeds: listSeeds(first, count) })
}

function setPath (table: Table, [key = '', ...rest]: readonly string[], value: unknown): Table {
  return { ...table, [key]: rest.length === 0 ? value : setPath((table[key] ?? {}) as Table, rest, value) }
}

/** Plays seeds one after the other. */
export async function runSeeds (settings: PlaySettings, seeds: readonly number[]): Promise<SeededOutcome[]> {
  const plays: SeededOutcome[] = []
  for (const seed of seeds) plays.push({ seed, ...await runEmulation(settings, seed) })
  return plays
}

export function summarizePlays ({ name, settings }: Variant, plays: readonly SeededOutcome[]): VariantOutcome {
  const sum = (get: (play: PlayOutcome) => number): number => plays.reduce((total, play) => total + get(play), 0)
  return {
    variant: name,
    plays: plays.length,
    longestMs: Math.max(...plays.map(({ longestMs }) => longestMs)),
    brokenSeeds: plays.filter(({ longestMs }) => longestMs >= settings.system.over_target_ms).map(({ seed }) => seed),
    harmedShare: sum(({ harmedShare }) => harmedShare) / plays.length,
    batches: sum(({ batches }) => batches),
    onTime: sum(({ onTime }) => onTime),
    stops: sum(({ stops }) => stops)
  }
}

/** Plays every variant with the same seeds, so that their figures can be compared side by side. */
export async function runExperiment ({ variants, seeds }: Experiment, onOutcome: (outcome: VariantOutcome) => void = () => {}): Promise<VariantOutcome[]> {
  const outcomes: VariantOutcome[] = []
  for (const variant of variants) {
    const outcome = summarizePlays(variant, await runSeeds(variant.settings, seeds))
    outcomes.push(outcome)
    onOutcome(outcome)
  }
  return outcomes
}
