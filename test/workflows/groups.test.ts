import { expect, test } from 'vitest'
import { createManualClock } from '../../src/common/index.js'
import type { Placing } from '../../src/coordination/workflows/candidates.js'
import { placeGroup, type GroupOptions } from '../../src/coordination/workflows/groups.js'
import type { WaitingGroup } from '../../src/coordination/workflows/plan.js'
import type { Step } from '../../src/state/index.js'
import { STEP } from './support.js'

function createWorker (id: string, more: Partial<Placing> = {}): Placing {
  return {
    id, service: 'desk', availabilityZone: 'a', labels: [], rack: undefined, cores: 32, memoryMb: 100_000, accelerators: 0, freeCores: 32, spareCores: 32, freeMemoryMb: 100_000, freeAccelerators: 0, serving: [], filling: [], slowness: 1, peers: new Map(), ...more
  }
}

function createGroup (step: Partial<Step>): WaitingGroup {
  const whole = { ...STEP, ...step }
  return {
    record: { workflow: { id: 'a1', command: '', steps: [whole] }, queue: 'quotes', service: 'desk', maxAttempts: 2, submittedAt: 0, started: false, tasks: {}, succeeded: {}, outcome: undefined, endedAt: 0 },
    occurrence: 0,
    stepNumber: 0,
    step: whole,
    indexes: Array.from({ length: whole.count }, (_, index) => index),
    priority: 0,
    dueAt: 0,
    advice: undefined
  }
}

/** A second task that fills beside a service is one too many. */
const OPTIONS = {
  clock: createManualClock(0),
  sharing: { estimateRisk: (_serving: unknown, filling: unknown[]) => filling.length > 1 ? 1 : -1, isOnTrial: () => false, recordStart: () => {}, estimateUse: () => 0.5 },
  advisor: { request: () => {}, findTicket: () => undefined }
} as unknown as GroupOptions

function place (group: WaitingGroup, workers: Placing[], isStarved = false): string[] {
  return placeGroup(OPTIONS, group, new Map([['desk', workers]]), () => 0, isStarved).map(([, worker]) => worker)
}

test('a gang of which one member finds no place is not placed at all', () => {
  const served = createWorker('w1', { serving: [{ step: undefined, image: 'desk', targetMs: 18 }] })
  expect(place(createGroup({ count: 2, gang: true, fills: true }), [served])).toEqual([])
})

test('a step that is slower on several racks is kept on one that has the room', () => {
  const workers = [createWorker('w1', { rack: 'r1', freeCores: 4 }), createWorker('w2', { rack: 'r2' }), createWorker('w3', { rack: 'r2' })]
  expect(new Set(place(createGroup({ count: 8, cores: 4, rackSensitive: true }), workers))).toEqual(new Set(['w2', 'w3']))
})

test('a starved workflow gets one task at a risk, not all', () => {
  const served = createWorker('w1', { serving: [{ step: undefined, image: 'desk', targetMs: 18 }], filling: [{ image: 'x', part: 0.1 }] })
  expect([place(createGroup({ count: 3, fills: true }), [served]), place(createGroup({ count: 3, fills: true }), [{ ...served }], true)]).toEqual([[], ['w1']])
})

test('a lasting task that has stopped is not held back by the reserve for short work, a new one is', () => {
  const full = (): Placing[] => [createWorker('w1', { freeCores: 2 })]
  const group = createGroup({ lasting: true })
  expect([place(group, full()), place({ ...group, isResumed: true }, full())]).toEqual([[], ['w1']])
})

test('a worker whose starts are not confirmed yet takes only lasting tasks that have stopped', () => {
  const busy = (): Placing[] => [createWorker('w1', { isBusy: true })]
  const group = createGroup({ lasting: true })
  expect([place(createGroup({}), busy()), place(group, busy()), place({ ...group, isResumed: true }, busy())]).toEqual([[], [], ['w1']])
})

test('a gang that is not placed takes no room from those who are placed after it', () => {
  const served = createWorker('w1', { serving: [{ step: undefined, image: 'desk', targetMs: 18 }], spareCores: 5 })
  place(createGroup({ count: 2, gang: true, fills: true }), [served])
  expect([served.spareCores, served.filling.length, place(createGroup({ count: 1, cores: 4, fills: true }), [served])]).toEqual([5, 0, ['w1']])
})
