import { expect, test } from 'vitest'
import type { LogFields, Logger } from '../../src/common/index.js'
import { createMemberEntry as putMember } from '../../src/fakes/entries.js'
import { startCluster } from './cluster.js'

function createSnapshotLogger (indexes: Map<string, number[]>, host = ''): Logger {
  return {
    info: (event, fields) => {
      if (event === 'log.snapshot') indexes.set(host, [...indexes.get(host) ?? [], Number(fields?.index)])
    },
    warn: () => {},
    error: () => {},
    child: (fields: LogFields) => createSnapshotLogger(indexes, String(fields.host))
  }
}

// Guards against delayed commits: they wait while a majority of the voters encodes and writes snapshots at the same time.
test('voters make their snapshots at different entries, and at the latest when the limit is reached', async () => {
  const indexes = new Map<string, number[]>()
  const limit = 40
  const { clock, cluster, proposeOn } = await startCluster({
    logger: createSnapshotLogger(indexes), limits: { snapshotBytes: 1e6, snapshotEntries: limit, retainedEntries: 2, retainedBytes: 100 }
  })
  for (let index = 0; index < 400; index += 1) {
    proposeOn(cluster.findLeader()!, putMember(`m${index % 10}`))
    await clock.advance(10)
  }
  const voters = ['a', 'b', 'c'].map((name) => indexes.get(name) ?? [])
  const shared = (voters[0] ?? []).filter((index) => voters.every((others) => others.includes(index)))
  const gaps = voters.flatMap((own) => own.map((index, position) => index - (own[position - 1] ?? 0)))
  expect(Math.min(...voters.map((own) => own.length))).toBeGreaterThanOrEqual(400 / limit - 1)
  expect(shared.length).toBeLessThanOrEqual(2)
  expect(Math.max(...gaps)).toBeLessThanOrEqual(limit + 1)
})
