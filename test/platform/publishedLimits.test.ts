import { expect, test } from 'vitest'
import { parseSettings } from '../../platform/settings.js'
import { decodeCatalog, decodeWorkflow } from '../../platform/wire.js'

const CONFIG = { version: 1, routes: [], services: [{ name: 's' }] }

// Where a configuration names no limits, those of earlier builds must stay in force.
test('the limits of a configuration are decoded, and absent or zero ones are left out', () => {
  const decode = (limits: unknown): unknown => decodeCatalog({ ...CONFIG, limits }, '').unwrap().limits
  const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
  expect(decode(limits)).toEqual(limits)
  expect([undefined, null, {}, { maxBodyBytes: 0 }].map(decode)).toEqual([undefined, undefined, undefined, undefined])
  expect(decodeCatalog({ ...CONFIG, limits: { maxBodyBytes: -1 } }, '').ok).toBe(false)
})

// The limit counts bytes, so a text of fewer characters may exceed it.
test('a spec of at most 4,000 bytes is accepted', () => {
  const isAccepted = (spec: string): boolean => decodeWorkflow('a1', { spec, phases: [{ count: 1 }] }).ok
  expect(['x'.repeat(4000), 'x'.repeat(4001), 'é'.repeat(2000), 'é'.repeat(2001)].map(isAccepted)).toEqual([true, false, true, false])
})

test('the limits of the machine are read from the settings', () => {
  const settings = `
nodeName = "n"
role = "entry"
ip = "127.0.0.1"
zone = "a"
internalPorts = [1, 2]
seeds = []
bootstrap = false
[listenAddrs]
[faultTolerance]
machines = 0
[bounds]
graceS = 6
`
  expect(parseSettings(`${settings}[limits]\nmemoryMb = 250\nmaxFds = 4100\n`).unwrap()).toMatchObject({ memoryMb: 250, maxFds: 4100 })
  expect(parseSettings(settings).unwrap().memoryMb).toBeUndefined()
})
