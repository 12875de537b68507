import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import fc from 'fast-check'
import { expect, test } from 'vitest'
import { checkConfiguration, runConfigurationCheck } from '../../platform/configurationCheck.js'
import { decodeCatalog } from '../../platform/wire.js'
import { createManualClock, createSilentLogger } from '../../src/common/index.js'
import { createCatalogStore } from '../../src/coordination/workflows/index.js'
import { createMemoryLog } from '../../src/fakes/memoryLog.js'

const ROUTE = { name: 'quotes', host: 'desk.example', pathPrefix: '/quotes/', service: 'desk', timeoutMs: 3000, targetLatencyMs: 250, priority: 0, maxAttempts: 3, slackFactor: 1.5 }
const SERVICE = { name: 'desk', maxConns: 64, rejectsOverload: true, standby: false }
const CONFIGURATION = { version: 7, routes: [ROUTE], services: [SERVICE], limits: { maxHeaderBytes: 16384, maxBodyBytes: 262144, headerTimeoutMs: 3000, idleTimeoutMs: 15000 } }

// Guards against a check that stops at the first error, or that passes over what can have no effect.
test('all errors and contradictions of a configuration are reported at once', () => {
  const advice = { decisionMs: 400, perWorkerMs: 100, validityMs: 500 }
  const routes = [
    ROUTE,
    { ...ROUTE, name: 'copy', host: 'DESK.example' },
    { ...ROUTE, name: 'lost', pathPrefix: '/lost/', service: 'nowhere' },
    { ...ROUTE, name: 'query', pathPrefix: '/query?id=' },
    { ...ROUTE, name: 'port', host: 'desk.example:80', pathPrefix: '/port/' },
    { ...ROUTE, name: 'hasty', pathPrefix: '/hasty/', timeoutMs: 20, targetLatencyMs: 0, slackFactor: 0.5, advice },
    { ...ROUTE, name: 'quotes', pathPrefix: '/again/', service: 'spare' }
  ]
  const limits = { maxHeaderBytes: 16384, maxBodyBytes: 1024, headerTimeoutMs: 20_000, idleTimeoutMs: 15_000 }
  const services = [SERVICE, { ...SERVICE, name: 'spare', standby: true }, { ...SERVICE, name: 'unused' }]
  expect(checkConfiguration(JSON.stringify({ version: 7, routes, services, limits })).findings).toMatchSnapshot()
})

test('a sound configuration has no findings, and the differences from the one in force are listed field by field', () => {
  const current = { ...CONFIGURATION, version: 6, routes: [{ ...ROUTE, timeoutMs: 2000 }, { ...ROUTE, name: 'old', pathPrefix: '/old/' }], limits: { ...CONFIGURATION.limits, maxBodyBytes: 100_000 } }
  const next = { ...CONFIGURATION, routes: [{ ...ROUTE, advice: { decisionMs: 1, perWorkerMs: 1, validityMs: 5000 } }, { ...ROUTE, name: 'new', pathPrefix: '/new/' }] }
  expect(checkConfiguration(JSON.stringify(next), JSON.stringify(current))).toMatchSnapshot()
  expect(checkConfiguration(JSON.stringify(current), JSON.stringify(current)).findings.map(({ kind }) => kind)).toEqual(['no-effect'])
})

// Guards against a check with rules of its own, which would pass what hosts refuse or refuse what they accept.
test('the check reports an error exactly for the configurations that a host refuses', async () => {
  const names = fc.constantFrom('a', 'b')
  const route = fc.record({ name: names, host: fc.constantFrom('h', 'H'), pathPrefix: fc.constantFrom('/a/', '/b/', 'a'), service: names, timeoutMs: fc.constantFrom(0, 1, 3000) })
  const configuration = fc.record({ version: fc.constantFrom<unknown>(1, -1, '1'), routes: fc.array(route, { maxLength: 3 }), services: fc.array(fc.record({ name: names }), { maxLength: 2 }) })
  await fc.assert(fc.asyncProperty(configuration, async (body) => {
    const document = JSON.stringify(body)
    const catalog = decodeCatalog(body, document)
    const store = createCatalogStore({ clock: createManualClock(), logger: createSilentLogger(), log: createMemoryLog('h1') })
    const isAccepted = catalog.ok && (await store.putCatalog(catalog.val, 1000)).ok
    expect(checkConfiguration(document).findings.some(({ severity }) => severity === 'error')).toBe(!isAccepted)
  }), { seed: 1, numRuns: 300 })
})

// Guards against a configuration that decodes but that no entry of the log can hold.
test('a configuration that is too large for the log is an error', () => {
  const routes = Array.from({ length: 6000 }, (_, index) => ({ ...ROUTE, name: `r${index}`, pathPrefix: `/r${index}/` }))
  expect(checkConfiguration(JSON.stringify({ ...CONFIGURATION, routes })).findings.map(({ severity, kind }) => [severity, kind])).toEqual([['error', 'entry-too-large']])
})

test('the command reads files and ends with the exit code of the worst finding', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'configuration-'))
  const write = async (name: string, body: unknown): Promise<string> => {
    await writeFile(join(folder, name), typeof body === 'string' ? body : JSON.stringify(body))
    return join(folder, name)
  }
  const good = await write('good.json', CONFIGURATION)
  const broken = await write('broken.json', '{')
  const idle = await write('idle.json', { ...CONFIGURATION, services: [SERVICE, { ...SERVICE, name: 'unused' }] })
  const run = async (...args: string[]): Promise<number> => (await runConfigurationCheck(args)).exitCode
  expect([await run(good), await run(broken), await run(idle, '--json'), await run(good, '--current', good), await run(join(folder, 'none')), await run(), await run(good, '--current')]).toEqual([0, 1, 5, 5, 2, 2, 2])
  expect((await runConfigurationCheck([good, '--current', idle])).output).toBe('warning no-effect: version: version 7 is acknowledged without effect, as version 7 is in force\nremoved service unused')
  await rm(folder, { recursive: true })
})
