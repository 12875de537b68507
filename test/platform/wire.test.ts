import { expect, test } from 'vitest'
import { parseSettings } from '../../platform/settings.js'
import { decodeCatalog, decodePollReply, decodeHeartbeat, decodeWorkflow } from '../../platform/wire.js'

test('a job of the platform is decoded into steps', () => {
  expect(decodeWorkflow('5c0e7a21d94b36f8', {
    spec: 'text',
    phases: [{ count: 4, cpu: 500, memMb: 256, estimateMs: 900, affinity: 'r1-3' }, { count: 2, cpu: 2000, dependsOn: [0], checkpointing: true, image: 'i', fills: true, antiAffinity: 1, requirements: 'gpu' }],
    startAtMs: 1000,
    intervalMs: 50,
    repeatCount: 2
  }).val).toMatchSnapshot()
})

test.each<[string, unknown]>([
  ['no step', { phases: [] }],
  ['a step that depends on itself', { phases: [{ count: 1, dependsOn: [0] }] }],
  ['a count of another type', { phases: [{ count: '4' }] }],
  ['not an object', 7]
])('a job with %s is refused', (_name, body) => {
  expect(decodeWorkflow('a1', body).ok).toBe(false)
})

// Guards against a body of the allowed size with a list that takes longer to check than a scheduling pass may take.
test('a step that names an earlier one many times depends on it once', () => {
  const job = decodeWorkflow('a1', { phases: [{ count: 1 }, { count: 1, dependsOn: Array.from({ length: 120_000 }, () => 0) }] }).unwrap()
  expect(job.steps[1]?.dependsOn).toEqual([0])
})

test('ids that are property names of every JavaScript object are refused', () => {
  expect(decodeWorkflow('__proto__', { phases: [{ count: 1 }] }).ok).toBe(false)
  expect(decodeHeartbeat('constructor', {}, 0).ok).toBe(false)
})

test.each<[string, unknown]>([
  ['missing', undefined],
  ['a route without a time-out', { version: 1, routes: [{ name: 'r', host: 'h', pathPrefix: '/a/', service: 's', timeoutMs: 0 }], services: [{ name: 's' }] }],
  ['a version of another type', { version: '7', routes: [], services: [] }]
])('a configuration that is %s is refused', (_name, body) => {
  expect(decodeCatalog(body, '').ok).toBe(false)
})

test('a malformed heartbeat is refused', () => {
  const report = { service: 's', address: '10.0.0.1:80', zone: 'a', state: 'ready', born: 5, capacity: { cpu: 1000, memMb: 10 } }
  expect(decodeHeartbeat('i-1', report, 0).val).toMatchObject({ id: 'i-1', bornAt: 5, cores: 1, draining: false })
  const broken = [{ ...report, state: 'asleep' }, { ...report, born: 'x' }, { ...report, capacity: undefined }, { ...report, address: 'none' }]
  expect(broken.map((body) => decodeHeartbeat('i-1', body, 0).ok)).toEqual([false, false, false, false])
})

// Guards against an odd entry among those of the workers that replaces a real worker, whose tasks would then run twice, or that
// counts with a capacity that no worker has.
test('a heartbeat with values that no worker has is refused', () => {
  const report = { service: 's', address: '10.0.0.1:80', zone: 'a', state: 'ready', born: 5, capacity: { cpu: 1000, memMb: 10 } }
  const odd = [
    { born: Number.MAX_SAFE_INTEGER }, { born: Infinity }, { capacity: { cpu: 1e308, memMb: 10 } }, { capacity: { cpu: 1000, memMb: 1e300 } },
    { address: '10.0.0.1:65536' }, { address: '10.0.0.1:0' }, { address: '10.0.0.1:-1' }, { labels: Array.from({ length: 1000 }, () => 'a') }, { zone: 'z'.repeat(1000) }
  ]
  expect(odd.filter((fields) => decodeHeartbeat('i-1', { ...report, ...fields }, 1000).ok)).toEqual([])
  expect(decodeHeartbeat('i-1', { ...report, born: 1000 + 60_000 }, 1000).ok).toBe(true)
})

test('the reply to a poll is decoded with end causes and readings', () => {
  expect(decodePollReply({ clockMs: 5, born: 1, running: [['a.0.0.0', 2, '00ff', 41, 9]], finished: [[58, 'a.0.0.1', 1, 'done', ''], [59, 'a.0.0.2', 1, 'lapsed', '01']] }).val).toMatchSnapshot()
})

const SETTINGS = `
nodeName = "core-1"
role = "voter"
ip = "10.1.0.16"
zone = "a"
internalPorts = [7720, 7735]
seeds = ["10.1.0.16:8166"]
bootstrap = true
dataDir = "/data/x"
new = "fields are ignored"
[listenAddrs]
control = "10.1.0.16:8166"
[faultTolerance]
machines = 1
[bounds]
graceS = 6
drainMs = 2000
interferenceMs = 4500
stopTimeoutMs = 200
evacuateMs = 4000
[zones]
north = "region"
`

test('settings are validated, and the failure names the invalid field', () => {
  expect(parseSettings(SETTINGS).val).toMatchSnapshot()
  const withTable = parseSettings(`${SETTINGS}[competition]\npreemption = false\n`)
  expect(withTable.ok && withTable.val.competition).toEqual({ preemption: false, fairShares: true, longRunningLimit: true, longRunningYields: true, flapSuspension: true, checkpointMs: 1000, restoreMs: 250 })
  const withBounds = parseSettings(SETTINGS.replace('[zones]', 'checkpointS = 0.5\nrestoreMs = 100\n[zones]'))
  expect(withBounds.ok && withBounds.val.competition).toMatchObject({ checkpointMs: 500, restoreMs: 100 })
  const withoutCopies = parseSettings(`${SETTINGS}\n[copies]\nenabled = false\n`)
  expect(withoutCopies.ok && withoutCopies.val.allowsCopies).toBe(false)
  const disabled = parseSettings(`${SETTINGS}\n[placement]\nreservations = false\n`)
  expect(disabled.ok && disabled.val.looksAhead).toBe(false)
  const misspelt = parseSettings(`${SETTINGS}[competition]\nfairShare = false\n`)
  expect(!misspelt.ok && misspelt.val.message).toContain('fairShare')
  const broken = parseSettings(SETTINGS.replace('graceS = 6', 'graceS = "six"'))
  expect(!broken.ok && broken.val.message).toContain('graceS')
})

// Guards against a sound worker that counts as silent, so that all its runs end, because of one row that cannot be read.
test('running rows of a poll reply that cannot be read are left out, and the others are decoded', () => {
  const running = [['a.0.0.0', 2, '00ff', 41, 9], ['a.0.0.1', 'two', '', 10], null, ['a.0.0.2', 1, null, 100, 'x']]
  const finished = [[58, 'a.0.0.3', 1, 'done', '']]
  const { running: runs, ends, unreadableRuns } = decodePollReply({ clockMs: 5, running, finished }).unwrap()
  expect([runs.map(({ task }) => task), ends.map(([number]) => number), unreadableRuns]).toEqual([['a.0.0.0', 'a.0.0.2'], [58], 2])
  expect(decodePollReply({ running: [], finished: [] }).ok).toBe(false)
})

// The acknowledgement covers all ends up to a number. If an unreadable end were left out, it would be acknowledged with a later
// one without being recorded, and a task that is done would run again.
test('a poll reply with an end that cannot be read is refused as a whole', () => {
  const finished = [[58, 'a.0.0.3', 1, 'done', ''], [59, 'a.0.0.4', 'one', 'done', ''], [60, 'a.0.0.5', 1, 'done', '']]
  expect(decodePollReply({ clockMs: 5, running: [], finished }).ok).toBe(false)
})

// Guards against runs that count as lost although their ends follow in a later part of the list.
test('a reply with as many ends as a worker lists at a time may be followed by more', () => {
  const decode = (ends: number): boolean | undefined => decodePollReply({
    clockMs: 5, running: [], finished: Array.from({ length: ends }, (_, index) => [index + 1, `a.0.0.${index}`, 1, 'done', ''])
  }).unwrap().hasMoreEnds
  expect([decode(499), decode(500)]).toEqual([undefined, true])
})
