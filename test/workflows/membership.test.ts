import { expect, test } from 'vitest'
import { chooseVoterChange } from '../../src/coordination/membership/index.js'

type Progress = Parameters<typeof chooseVoterChange>[0]

function createRow (host: string, votes: boolean, lastHeardAgoMs: number): Progress[number] {
  return { host, votes, lastHeardAgoMs, matchIndex: 1 }
}

test.each<[string, Progress, ReturnType<typeof chooseVoterChange>]>([
  ['all voters are present', [createRow('a', true, 0), createRow('b', true, 100), createRow('c', true, 100), createRow('d', false, 100)], undefined],
  ['a host returned with an empty disk', [createRow('a', true, 0), createRow('b', true, 100), createRow('c', true, 2000), createRow('c', false, 100)], { kind: 'replace', host: 'c', by: 'c' }],
  ['a voter is unreachable and a standby host is available', [createRow('a', true, 0), createRow('b', true, 100), createRow('c', true, 3000), createRow('d', false, 100)], { kind: 'replace', host: 'c', by: 'd' }],
  ['a voter is unreachable and no standby host is available', [createRow('a', true, 0), createRow('b', true, 100), createRow('c', true, 3000)], undefined],
  ['a voter was unreachable only for a moment', [createRow('a', true, 0), createRow('b', true, 100), createRow('c', true, 900), createRow('d', false, 100)], undefined],
  ['there are too few voters', [createRow('a', true, 0), createRow('b', true, 100), createRow('d', false, 100)], { kind: 'add', host: 'd' }]
])('the change of voters when %s', (_name, progress, expected) => {
  expect(chooseVoterChange(progress, 3)).toEqual(expected)
})
