import { expect, test } from 'vitest'
import { createManualClock } from '../../src/common/index.js'
import type { PlacementCandidate } from '../../src/coordination/workflows/candidates.js'
import { placeGroup, type GroupOptions } from '../../src/coordination/workflows/groups.js'
import type { WaitingGroup } from '../../src/coordination/workflows/plan.js'
import { createReservationSearch } from '../../src/coordination/workflows/reservationSearch.js'
import { createRunDurations } from '../../src/coordination/workflows/runDurations.js'
import { createWorkflowsState, type Step } from '../../src/state/index.js'
import { STEP } from './support.js'

function createWorker (id: string, more: Partial<PlacementCandidate> = {}): PlacementCandidate {
  return {
    id, service: 'desk', availabilityZone: 'a', labels: [], rack: undefined, cores: 32, memoryMb: 100_000, accelerators: 0, freeCores: 32, spareCores: 32, freeMemoryMb: 100_000, freeAccelerators: 0, latencyCritical: [], bestEffort: [], slowness: 1, stepRuns: new Map(), ...more
  }
}

function createGroup (step: Partial<Step>): WaitingGroup {
  const fullStep = { ...STEP, ...step }
  return {
    record: { workflow: { id: 'a1', command: '', steps: [fullStep] }, queue: 'quotes', service: 'desk', maxAttempts: 2, submittedAt: 0, started: false, tasks: {}, succeeded: {}, outcome: undefined, endedAt: 0 },
    occurrence: 0,
    stepNumber: 0,
    step: fullStep,
    indexes: Array.from({ length: fullStep.count }, (_, index) => index),
    runningTasks: 0,
    priority: 0,
    dueAt: 0,
    advice: undefined
  }
}

/** The services tolerate one best-effort task, not two. */
const OPTIONS = {
  clock: createManualClock(0),
  interferenceModel: { estimateExcessLoad: (_latencyCritical: unknown, bestEffort: unknown[]) => bestEffort.length > 1 ? 1 : -1, isTrialBlocked: () => false, recordTrialStart: () => {}, estimateUtilization: () => 0.5 },
  advisor: { request: () => {}, findTicket: () => undefined },
  health: { listFailedOn: () => new Set() }
} as unknown as GroupOptions

function place (group: WaitingGroup, workers: PlacementCandidate[], isStarved = false): string[] {
  return placeGroup(OPTIONS, group, new Map([['desk', workers]]), () => 0, isStarved).map(([, worker]) => worker)
}

test('a gang is not placed at all when one member cannot be placed', () => {
  const occupied = createWorker('w1', { latencyCritical: [{ step: undefined, image: 'desk', targetMs: 18 }] })
  expect(place(createGroup({ count: 2, gang: true, fills: true }), [occupied])).toEqual([])
})

test('a rack-sensitive step is placed on one rack that has enough capacity', () => {
  const workers = [createWorker('w1', { rack: 'r1', freeCores: 4 }), createWorker('w2', { rack: 'r2' }), createWorker('w3', { rack: 'r2' })]
  expect(new Set(place(createGroup({ count: 8, cores: 4, rackSensitive: true }), workers))).toEqual(new Set(['w2', 'w3']))
})

// Guards against a task that waits for ever for the rack of its step, whose workers hold as many tasks of it as they may.
test('a rack-sensitive task is placed on another rack when the workers of the first one hold the most tasks of the step', () => {
  const full = ['w1', 'w2'].map((id) => createWorker(id, { rack: 'r1', stepRuns: new Map([['a1.0.0', 1]]) }))
  const workers = [...full, createWorker('w3', { rack: 'r2' })]
  const group = { ...createGroup({ count: 3, rackSensitive: true, lasting: true, maxPerWorker: 1 }), indexes: [0], isResumed: true }
  expect(place(group, workers)).toEqual(['w3'])
})

test('only one task of a starved workflow is placed despite excess load', () => {
  const occupied = createWorker('w1', { latencyCritical: [{ step: undefined, image: 'desk', targetMs: 18 }], bestEffort: [{ image: 'x', coreShare: 0.1 }] })
  expect([place(createGroup({ count: 3, fills: true }), [occupied]), place(createGroup({ count: 3, fills: true }), [{ ...occupied }], true)]).toEqual([[], ['w1']])
})

test('an interrupted long-running task may use the reserve for short tasks, a new one may not', () => {
  const full = (): PlacementCandidate[] => [createWorker('w1', { freeCores: 2 })]
  const group = createGroup({ lasting: true })
  expect([place(group, full()), place({ ...group, isResumed: true }, full())]).toEqual([[], ['w1']])
})

test('a worker with too many unconfirmed starts receives only interrupted long-running tasks', () => {
  const busy = (): PlacementCandidate[] => [createWorker('w1', { isBusy: true })]
  const group = createGroup({ lasting: true })
  expect([place(createGroup({}), busy()), place(group, busy()), place({ ...group, isResumed: true }, busy())]).toEqual([[], [], ['w1']])
})

test('a gang that is not placed takes no capacity from later tasks', () => {
  const occupied = createWorker('w1', { latencyCritical: [{ step: undefined, image: 'desk', targetMs: 18 }], spareCores: 5 })
  place(createGroup({ count: 2, gang: true, fills: true }), [occupied])
  expect([occupied.spareCores, occupied.bestEffort.length, place(createGroup({ count: 1, cores: 4, fills: true }), [occupied])]).toEqual([5, 0, ['w1']])
})

// A gang of which a member has no accelerator would hold the others up until their time-out.
test('a gang is not placed when the workers have too few accelerators for all members', () => {
  const workers = (): PlacementCandidate[] => [createWorker('w1', { accelerators: 1, freeAccelerators: 1 }), createWorker('w2', { accelerators: 1, freeAccelerators: 1 })]
  const rackSensitive = createGroup({ count: 2, accelerators: 1, rackSensitive: true })
  const racks = [createWorker('w1', { rack: 'r1', accelerators: 1, freeAccelerators: 1 }), ...['w2', 'w3'].map((id) => createWorker(id, { rack: 'r2', accelerators: 1, freeAccelerators: 1 }))]
  expect([place(createGroup({ count: 3, gang: true, accelerators: 1 }), workers()), place(createGroup({ count: 2, gang: true, accelerators: 1 }), workers()).sort(), place(rackSensitive, racks).sort()]).toEqual([[], ['w1', 'w2'], ['w2', 'w3']])
})

// Short tasks hold memory and accelerators as well as cores; all of it is free once they have ended.
test('a worker is reserved for an interrupted long-running task if it can hold it once its short tasks have ended', () => {
  const group = createGroup({ lasting: true, cores: 4, memoryMb: 60_000, accelerators: 1 })
  const full = createWorker('w1', { freeCores: 1, freeMemoryMb: 10_000, freeAccelerators: 0, freeWithoutShortTasks: { freeCores: 32, freeMemoryMb: 100_000, freeAccelerators: 1 } })
  const taken = { ...full, id: 'w2', freeWithoutShortTasks: { freeCores: 32, freeMemoryMb: 40_000, freeAccelerators: 1 } }
  const search = createReservationSearch({ sessions: new Map(), runDurations: createRunDurations(), getState: createWorkflowsState, findTaskStep: () => undefined })
  const findWorkers = (worker: PlacementCandidate): string[] => [...search.findForInterrupted(group, [worker], [worker], 0)?.spare.keys() ?? []]
  expect([findWorkers(full), findWorkers(taken)]).toEqual([['w1'], []])
})
