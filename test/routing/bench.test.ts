import { expect, test } from 'vitest'
import { runRoutingBench } from '../../src/bench/routing.js'

test('in virtual time, goodput under overload and p99 latency with one slow executor meet their targets', async () => {
  const figures = await runRoutingBench({ meanMs: 160, phaseMs: 3000, phases: ['load-0.5', 'load-1.3', 'one-slow'] })
  const get = (name: string): number => figures.find((figure) => figure.name === name)?.value ?? NaN
  expect(get('load-1.3 steady router goodput')).toBeGreaterThanOrEqual(0.95)
  expect(get('p99 with one slow executor, against a healthy set')).toBeLessThan(1.5)
}, 60_000)
