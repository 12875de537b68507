import { expect, test } from 'vitest'
import { estimateDecodedSize } from '../../src/transport/decodedSize.js'

// A text of brackets needs many times its length once it is decoded.
test('many small values are estimated at several times the length of the text, and a long string at its length', () => {
  expect(estimateDecodedSize(`[${'[],'.repeat(1000)}[]]`).bytes).toBeGreaterThan(20 * 3000)
  expect(estimateDecodedSize(JSON.stringify({ spec: 'x,[{'.repeat(1000) })).bytes).toBeLessThan(5000)
})

test('arrays and objects are counted outside of strings', () => {
  expect(['[[],{}]', '{"a":"[{"}', ''].map((text) => estimateDecodedSize(text).containers)).toEqual([3, 1, 0])
})

test('the depth is that of the nesting outside of strings, also after an escaped quote', () => {
  expect(['[[[', '{"a":[{}]}', '["[[\\"[[", []]', '"[', ''].map((text) => estimateDecodedSize(text).depth)).toEqual([3, 3, 2, 0, 0])
})
