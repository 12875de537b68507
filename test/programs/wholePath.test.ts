import { afterAll, beforeAll, expect, test } from 'vitest'
import { openFakeTargets, type FakeTargets } from '../../src/programs/demo/targets.js'
import { startEntryHost, type RunningHost } from '../../src/programs/entryHost/index.js'
import { chooseHost, parseSettings } from '../../src/programs/settings/index.js'
import { createDeployment, sendRequest, TOKENS, waitFor, type Deployment } from '../../src/fakes/deployment.js'

let deployment: Deployment
let host: RunningHost
let targets: FakeTargets
let url: string

beforeAll(async () => {
  deployment = await createDeployment(['a'], 1)
  const settings = chooseHost('test', parseSettings('test', deployment.toml).unwrap(), 'a-1').unwrap()
  host = (await startEntryHost({ settings, repair: false })).unwrap()
  url = deployment.hosts[0]!.url
  await waitFor('readiness', 5_000, async () => (await sendRequest(url, '', 'GET', '/ready')).status === 200)
  targets = await openFakeTargets({
    service: 'quotes', executors: 2, workers: 3, workersPerRack: 8, cores: 8, memoryBytes: 32e9, serviceMs: 5, taskMs: 300
  }, { a: [url] }, TOKENS.target)
  await sendRequest(url, TOKENS.parish, 'PUT', '/v1/services/quotes', { objective: { latencyMs: 50 } })
  await waitFor('an announced worker', 5_000, async () => (await sendRequest(url, TOKENS.operator, 'GET', '/v1/workers')).json.length === 3)
  await waitFor('an announced executor', 5_000, async () => (await sendRequest(url, TOKENS.parish, 'GET', '/v1/services/quotes/requests/up')).status === 200)
})

afterAll(async () => {
  await host.stop()
  await targets.close()
  await deployment.remove()
})

test('each request of a member gets the complete answer to its own body', async () => {
  const bodies = Array.from({ length: 20 }, (_, index) => `beads ${index} `.repeat(50))
  const answers = await Promise.all(bodies.map((body) => sendRequest(url, TOKENS.parish, 'POST', '/v1/services/quotes/requests/quote', body)))
  expect(answers.map(({ status }) => status)).toEqual(bodies.map(() => 200))
  answers.forEach(({ text }, index) => expect(text.trim()).toBe(bodies[index]!.trim()))
  expect(new Set(answers.map(({ headers }) => headers['idempotency-key'])).size).toBe(bodies.length)
})

test('a resend with the same idempotency key returns the recorded answer and does not run again', async () => {
  const { key } = (await sendRequest(url, TOKENS.parish, 'POST', '/v1/request-keys')).json
  const send = () => sendRequest(url, TOKENS.parish, 'POST', '/v1/services/quotes/requests/charge', 'charge', { 'idempotency-key': key, 'x-work': 'charge-1' })
  const [first, second] = [await send(), await send()]
  expect([first.status, second.status, second.text === first.text]).toEqual([200, 200, true])
  const runs = targets.executors.flatMap(({ executor }) => executor.record.runs).filter(({ work }) => work === 'charge-1')
  expect(runs).toHaveLength(1)
})

test('a job completes, and the start of a task is explained', async () => {
  const job = { id: 'match', jobClass: 'match', size: { cores: 1, memoryBytes: 1e9 }, tasks: 5, expectedRunMs: 300, requestId: 'create-match' }
  const created = await sendRequest(url, TOKENS.parish, 'POST', '/v1/jobs', job)
  const resent = await sendRequest(url, TOKENS.parish, 'POST', '/v1/jobs', job)
  expect([created.status, resent.status]).toEqual([201, 201])
  const ended = await waitFor('the end of the job', 15_000, async () => {
    const { json } = await sendRequest(url, TOKENS.parish, 'GET', '/v1/jobs/match')
    return json.open === 0 ? json : undefined
  })
  expect(ended.outcomes).toEqual({ 0: 'succeeded', 1: 'succeeded', 2: 'succeeded', 3: 'succeeded', 4: 'succeeded' })
  const { json: reasons } = await sendRequest(url, TOKENS.parish, 'GET', '/v1/explain/task/match%2F0')
  const start = reasons.find(({ decision }: { decision: string }) => decision === 'start')
  expect(start).toMatchObject({ task: 'match/0', reason: { preset: 'ordinary', revision: 0 } })
}, 20_000)

test('a member can neither see nor change the work of another member', async () => {
  const answers = await Promise.all([
    sendRequest(url, TOKENS.rival, 'GET', '/v1/services'),
    sendRequest(url, TOKENS.rival, 'PUT', '/v1/services/quotes', { objective: { latencyMs: 1 } }),
    sendRequest(url, TOKENS.rival, 'DELETE', '/v1/services/quotes'),
    sendRequest(url, TOKENS.rival, 'GET', '/v1/services/quotes/requests/up'),
    sendRequest(url, TOKENS.rival, 'GET', '/v1/jobs/match'),
    sendRequest(url, TOKENS.rival, 'POST', '/v1/jobs/match/cancel', {}),
    sendRequest(url, TOKENS.rival, 'GET', '/v1/explain/job/match'),
    sendRequest(url, TOKENS.rival, 'POST', '/v1/preset', { preset: 'peak', setBy: 'rival', reason: 'none' }),
    sendRequest(url, 'no-such-token', 'GET', '/v1/jobs')
  ])
  expect(answers.map(({ status, json }) => [status, json.error?.kind ?? json])).toMatchSnapshot()
})

test('invalid input is answered with a typed error and does not affect other requests', async () => {
  const answers = await Promise.all([
    sendRequest(url, TOKENS.parish, 'POST', '/v1/jobs', '{"id": '),
    sendRequest(url, TOKENS.parish, 'POST', '/v1/jobs', { id: 'Not an id', colour: 'red' }),
    sendRequest(url, TOKENS.parish, 'POST', '/v1/services/quotes/requests/quote', 'x'.repeat(1024 * 1024 + 1)),
    sendRequest(url, TOKENS.parish, 'GET', '/v1/services/quotes/requests/quote', undefined, { 'sequoiadrift-deadline-ms': 'soon' }),
    sendRequest(url, TOKENS.parish, 'POST', '/v1/services/quotes/requests/quote', 'x', { 'idempotency-key': 'forged' }),
    sendRequest(url, TOKENS.parish, 'GET', '/v1/nothing'),
    sendRequest(url, TOKENS.operator, 'POST', '/v1/preset', { preset: 'unheard-of', setBy: 'ana', reason: 'test' })
  ])
  expect(answers.map(({ status, json }) => [status, json.error])).toMatchSnapshot()
  expect((await sendRequest(url, TOKENS.parish, 'GET', '/v1/services/quotes/requests/up')).status).toBe(200)
})

test('an operator changes the preset, and a read returns the preset in force, who set it and why', async () => {
  const body = { preset: 'peak', setBy: 'ana', reason: 'Easter quotes', requestId: 'easter' }
  const [first, resent] = [await sendRequest(url, TOKENS.operator, 'POST', '/v1/preset', body), await sendRequest(url, TOKENS.operator, 'POST', '/v1/preset', body)]
  expect([first.json, resent.json]).toEqual([{ preset: 'peak', revision: 1, state: 'in force' }, { preset: 'peak', revision: 1, state: 'in force' }])
  const late = await sendRequest(url, TOKENS.operator, 'POST', '/v1/preset', { preset: 'maintenance', setBy: 'luz', reason: 'late', baseRevision: 0 })
  expect([late.status, late.json.error.message]).toMatchSnapshot()
  const shown = (await sendRequest(url, TOKENS.operator, 'GET', '/v1/preset')).json
  expect(shown).toMatchObject({ claim: 'in-force', preset: 'peak', revision: 1, setBy: 'ana', reason: 'Easter quotes', certainty: 'certain' })
})

test('the report counts requests and ended tasks, and shows a member only its own', async () => {
  const read = (token: string, format: string) => sendRequest(url, token, 'GET', `/v1/reports/burn?format=${format}`)
  const [own, rival, text, html] = await Promise.all([read(TOKENS.parish, 'json'), read(TOKENS.rival, 'json'), read(TOKENS.operator, 'text'), read(TOKENS.operator, 'html')])
  expect(own.json.services.map(({ service }: { service: string }) => service)).toEqual(['quotes'])
  expect(own.json.batch).toMatchObject([{ member: 'parish', succeeded: { lastHour: 5 } }])
  expect([rival.json.services, rival.json.batch]).toEqual([[], []])
  expect(text.text).toContain('quotes')
  expect(html.text).toMatch(/^<!doctype html>/i)
})

test('repeated announcements of unchanged targets write nothing to the replicated log', async () => {
  const readIndex = async (): Promise<number> => (await sendRequest(url, '', 'GET', '/health')).json.commitIndex
  const announceAll = () => Promise.all(targets.workers.map((worker) => sendRequest(url, TOKENS.target, 'POST', '/v1/targets/announce', {
    kind: 'worker', id: worker.core.id, url: worker.url, availabilityZone: 'a', rack: 'rack-1', capacity: { memoryBytes: 32e9, cores: 8, accelerators: 0 }
  })))
  const before = await readIndex()
  expect((await announceAll()).map(({ status }) => status)).toEqual([200, 200, 200])
  expect(await readIndex()).toBe(before)
})
