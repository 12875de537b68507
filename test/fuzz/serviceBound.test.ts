import { expect, test } from 'vitest'
import { BOUND_MS, playServices, type ServicePlay } from '../support/servicePlay.js'

const RUNS = Number(process.env.FUZZ_RUNS ?? 8)
/** Seeds that broke the bound before hosts kept it: after orders that were executed late, looks that were lost, a cut of the leader. */
const TROUBLED_SEEDS = [2, 57, 58, 99]
const TEST_TIMEOUT_MS = 60_000 + RUNS * 10_000

interface SeededPlay extends ServicePlay { seed: number }

async function playSeeds (seeds: readonly number[], withTroubles: boolean): Promise<SeededPlay[]> {
  const plays: SeededPlay[] = []
  for (const seed of seeds) plays.push({ seed, ...await playServices(seed, withTroubles) })
  const sum = (get: (play: ServicePlay) => number): number => plays.reduce((total, play) => total + get(play), 0)
  if (process.env.FUZZ_RUNS !== undefined) {
    console.log(`service bound: troubles=${withTroubles} runs=${plays.length} longest=${Math.max(...plays.map(({ longestMs }) => longestMs))} harmed=${(sum(({ harmedShare }) => harmedShare) / plays.length).toFixed(4)} onTime=${sum(({ onTime }) => onTime)}/${sum(({ batches }) => batches)} stops=${sum(({ stops }) => stops)}`)
  }
  return plays
}

function listSeeds (count: number): number[] {
  return Array.from({ length: count }, (_, index) => index + 1)
}

function listBroken (plays: readonly SeededPlay[]): string[] {
  return plays.filter(({ longestMs }) => longestMs >= BOUND_MS).map(({ seed, longestMs, troubles }) => `seed ${seed}: ${longestMs} ms ${troubles.join(' ')}`)
}

test('work that can wait keeps a service over its target for longer than the bound', async () => {
  expect(listBroken(await playSeeds(listSeeds(RUNS), false))).toEqual([])
}, TEST_TIMEOUT_MS)

test('work that can wait keeps a service over its target for longer than the bound once hosts are in touch again after troubles', async () => {
  const seeds = process.env.FUZZ_RUNS === undefined ? TROUBLED_SEEDS : listSeeds(RUNS)
  expect(listBroken(await playSeeds(seeds, true))).toEqual([])
}, TEST_TIMEOUT_MS)
