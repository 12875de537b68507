import { expect, test } from 'vitest'
import { BOUND_MS, playServices, type ServicePlay } from '../support/servicePlay.js'

const RUNS = Number(process.env.FUZZ_RUNS ?? 8)

test('work that can wait keeps a service over its target for longer than the bound', async () => {
  const plays: Array<ServicePlay & { seed: number }> = []
  for (let seed = 1; seed <= RUNS; seed += 1) plays.push({ seed, ...await playServices(seed) })
  const sum = (get: (play: ServicePlay) => number): number => plays.reduce((total, play) => total + get(play), 0)
  if (process.env.FUZZ_RUNS !== undefined) {
    console.log(`service bound: runs=${RUNS} longest=${Math.max(...plays.map(({ longestMs }) => longestMs))} harmed=${(sum(({ harmedShare }) => harmedShare) / RUNS).toFixed(4)} onTime=${sum(({ onTime }) => onTime)}/${sum(({ batches }) => batches)} stops=${sum(({ stops }) => stops)}`)
  }
  expect(plays.filter(({ longestMs }) => longestMs >= BOUND_MS).map(({ seed, longestMs }) => `seed ${seed}: ${longestMs} ms`)).toEqual([])
}, 60_000 + RUNS * 10_000)
