import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { uniformInt } from 'pure-rand/distribution/uniformInt'

/** A seeded random number generator: the same seed repeats the sequence, so that a failing run can be reproduced. */
export interface Random {
  /** Uniform in [0, 1). */
  next (): number
  /** Uniform integer in [0, bound). */
  below (bound: number): number
  /** Returns a uniformly chosen element; the list must not be empty. */
  pick<T> (items: readonly T[]): T
}

export function createRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  const next = (): number => uniformFloat64(generator)
  const below = (bound: number): number => uniformInt(generator, 0, bound - 1)
  return { next, below, pick: (items) => items[below(items.length)] as never }
}
