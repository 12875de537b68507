import fc from 'fast-check'
import { expect, test } from 'vitest'
import { addIndex, countIndexes, findMissingIndex, hasIndex, type IndexRanges } from '../../src/state/workflows/indexRanges.js'

test('ranges hold the same members as a set, in any order of additions', () => {
  fc.assert(fc.property(fc.array(fc.nat(40), { maxLength: 60 }), fc.nat(45), (added, asked) => {
    const ranges: IndexRanges = []
    added.forEach((index) => addIndex(ranges, index))
    const members = new Set(added)
    const missing = Array.from({ length: 90 }, (_, index) => index).find((index) => index >= asked && !members.has(index))
    expect([hasIndex(ranges, asked), countIndexes(ranges), findMissingIndex(ranges, asked)]).toEqual([members.has(asked), members.size, missing])
  }), { seed: 31, numRuns: 500 })
})

test('members without a gap take the space of one range', () => {
  const ranges: IndexRanges = []
  Array.from({ length: 10_000 }).forEach((_, index) => addIndex(ranges, 9_999 - index))
  expect(ranges).toEqual([0, 10_000])
})
