import { appendFile, mkdtemp, readFile, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, expect, test } from 'vitest'
import { createJournalReplica } from '../../src/coordination/tasks/journalReplica.js'
import type { JournalRecord } from '../../src/coordination/tasks/journal.js'
import { openFileJournalStore, type FileJournalStore } from '../../src/state/index.js'

const createPath = async (): Promise<string> => join(await mkdtemp(join(tmpdir(), 'journal-')), 'zone.journal')
const opened: FileJournalStore[] = []
const openStore = async (path: string): Promise<FileJournalStore> => {
  const store = await openFileJournalStore(path)
  opened.push(store)
  return store
}
afterEach(async () => { await Promise.all(opened.splice(0).map((store) => store.close())) })
const term = { epoch: 1, round: 0, host: 'h1' }
const outcome = (task: string): JournalRecord => ({ kind: 'outcome', task, attempt: 1, outcome: 'succeeded' })

test('a journal file returns the appended lines and drops a truncated last line', async () => {
  const path = await createPath()
  const store = await openStore(path)
  await store.replace(['one', 'two'])
  await store.append(['three'])
  await appendFile(path, '0123')
  const again = await openStore(path)
  expect(await again.load()).toEqual(['one', 'two', 'three'])
  await again.append(['four'])
  expect(await (await openStore(path)).load()).toEqual(['one', 'two', 'three', 'four'])
})

test('a journal that is damaged before its last line counts as lost, since the missing record may have been confirmed', async () => {
  const path = await createPath()
  const store = await openStore(path)
  await store.append(['one', 'two', 'three'])
  await writeFile(path, (await readFile(path, 'utf8')).replace('two', 'tow'))
  expect(await (await openStore(path)).load()).toEqual([])
})

test('a journal replica that restarts with its file continues after the last stored record', async () => {
  const path = await createPath()
  const replica = await createJournalReplica(await openStore(path))
  await replica.append({ term, sequence: 5, records: [outcome('a/0')], snapshot: true })
  await replica.append({ term, sequence: 5, records: [outcome('a/1'), outcome('a/2')], snapshot: false })
  const again = await createJournalReplica(await openStore(path))
  const { journalTerm, next, records } = await again.read(term)
  expect([journalTerm, next, records.flatMap((record) => record.kind === 'entry' ? [record.task] : [])]).toEqual([term, 7, ['a/0', 'a/1', 'a/2']])
})

test('a journal replica rejects appends of terms below that of its last reader', async () => {
  const replica = await createJournalReplica(await openStore(await createPath()))
  await replica.append({ term, sequence: 1, records: [], snapshot: true })
  const higher = { epoch: 1, round: 1, host: 'h2' }
  await replica.read(higher)
  expect(await replica.append({ term, sequence: 1, records: [outcome('a/0')], snapshot: false })).toEqual({ kind: 'higher-term', promised: higher })
})

test('a delayed snapshot does not remove the records after it', async () => {
  const replica = await createJournalReplica(await openStore(await createPath()))
  const snapshot = { term, sequence: 1, records: [], snapshot: true }
  await replica.append(snapshot)
  await replica.append({ term, sequence: 1, records: [outcome('a/0')], snapshot: false })
  expect(await replica.append(snapshot)).toMatchObject({ kind: 'recorded', next: 2 })
  expect((await replica.read(term)).next).toBe(2)
})

// Guards against records of an earlier coordinator that are confirmed by a restarted host after a later one has read the journal.
test('a journal replica that restarts with its file still rejects appends of terms below that of its last reader', async () => {
  const path = await createPath()
  const replica = await createJournalReplica(await openStore(path))
  await replica.append({ term, sequence: 1, records: [], snapshot: true })
  await replica.append({ term, sequence: 1, records: [outcome('a/0')], snapshot: false })
  const higher = { epoch: 1, round: 1, host: 'h2' }
  await replica.read(higher)
  const again = await createJournalReplica(await openStore(path))
  expect(await again.append({ term, sequence: 2, records: [outcome('a/1')], snapshot: false })).toEqual({ kind: 'higher-term', promised: higher })
  expect([again.getPromised(), (await again.read(higher)).next]).toEqual([higher, 2])
})
