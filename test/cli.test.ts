import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { loadClientOptions, sendCall } from '../src/programs/cli/client.js'
import { describeClientFailure, getExitCode, renderExplanations, renderHosts, renderTable } from '../src/programs/cli/output.js'

const servers: Server[] = []
afterEach(() => { servers.splice(0).forEach((server) => server.close()) })

async function openHost (status: number, body: unknown): Promise<{ url: string, seen: string[] }> {
  const seen: string[] = []
  const server = createServer((request, response) => {
    seen.push(`${request.method} ${request.url} ${request.headers.authorization ?? ''}`)
    response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
  })
  servers.push(server)
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, seen }
}

test('a call goes to the next entry host when one does not answer or is draining, but not when one refuses it', async () => {
  const draining = await openHost(503, { error: { kind: 'draining', message: 'this host is stopping' } })
  const refusing = await openHost(409, { error: { kind: 'conflict', message: 'revision 1 was accepted first' } })
  const unused = await openHost(200, {})
  const endpoints = ['http://127.0.0.1:1', draining.url, refusing.url, unused.url]
  const result = await sendCall({ endpoints, token: 'secret' }, { method: 'GET', path: '/v1/preset' })
  expect(result.ok ? 'answered' : [describeClientFailure(result.val), getExitCode(result.val)]).toMatchInlineSnapshot(`
    [
      "conflict: revision 1 was accepted first",
      1,
    ]
  `)
  expect([draining.seen, refusing.seen, unused.seen]).toEqual([['GET /v1/preset Bearer secret'], ['GET /v1/preset Bearer secret'], []])
})

test('a call without an answer lists every host that was tried, and an unknown outcome has its own exit code', async () => {
  const unclear = await openHost(504, { error: { kind: 'outcome-unknown', message: 'the leader was lost' } })
  const silent = await sendCall({ endpoints: ['http://127.0.0.1:1'], token: undefined }, { method: 'GET', path: '/' })
  const unknown = await sendCall({ endpoints: [unclear.url], token: undefined }, { method: 'POST', path: '/', body: {} })
  const codes = [silent, unknown].map((result) => result.ok ? 'answered' : [describeClientFailure(result.val), getExitCode(result.val)])
  expect(codes).toMatchInlineSnapshot(`
    [
      [
        "no entry host answered:
      http://127.0.0.1:1: connect ECONNREFUSED 127.0.0.1:1",
        3,
      ],
      [
        "outcome-unknown: the leader was lost",
        4,
      ],
    ]
  `)
})

test('flags take precedence over the settings file, and an invalid settings file is named', async () => {
  const flags = (await loadClientOptions({ endpoint: 'http://127.0.0.1:1, http://127.0.0.1:2', token: 't' })).unwrap()
  const wrong = await loadClientOptions({ settings: 'package.json' })
  expect(flags).toEqual({ endpoints: ['http://127.0.0.1:1', 'http://127.0.0.1:2'], token: 't' })
  expect(wrong.ok ? 'loaded' : describeClientFailure(wrong.val)).toContain('package.json:')
})

test('tables are aligned, and explanations show figures, their ages and why the alternatives were rejected', () => {
  const reason = {
    summary: 'lowest cost of the workers with room',
    figures: [{ name: 'cores', value: 1.23456, unit: 'cores', ageMs: 0 }, { name: 'p99', value: 30, unit: 'ms', ageMs: 1500 }],
    alternatives: [{ worker: 'w2', score: 3, rejectedBecause: 'full' }],
    preset: 'peak',
    revision: 4
  }
  const hosts = { leader: 'a', term: 3, commitIndex: 9, survivableLosses: 1, hosts: [{ id: 'a', votes: 'yes' }, { id: 'b', votes: '' }] }
  expect([
    renderTable([{ id: 'a', cores: 32, rack: null }, { id: 'long-name', cores: 1, size: { cores: 1 } }]),
    renderExplanations([{ at: 12_345, repeated: 2, decision: 'start', task: 'match/0', worker: 'w1', reason }]),
    renderExplanations([]),
    renderHosts(hosts)
  ].join('\n---\n')).toMatchInlineSnapshot(`
    "id         cores  rack  size
    a          32     -     -
    long-name  1      -     {"cores":1}
    ---
    12.3 s  start match/0 on w1, 2 times: lowest cost of the workers with room (preset peak, revision 4)
        cores: 1.235 cores
        p99: 30 ms, 1500 ms old
        not w2 (score 3): full
    ---
    no decisions
    ---
    id  votes
    a   yes
    b

    leader a, term 3, log committed up to 9, 1 more voter(s) may be lost"
  `)
})
