import { expect, test } from 'vitest'
import { addTask, chooseWorker, type PlacementNeeds } from '../../src/coordination/workflows/placement.js'
import { createCandidate, STEP } from './support.js'

function createNeeds (step: Partial<typeof STEP>, more: Partial<PlacementNeeds> = {}): PlacementNeeds {
  return { step: { ...STEP, ...step }, countStepRuns: () => 0, estimateExcessLoad: () => 1, isTrialBlocked: () => false, getCompetingDemand: () => 0, acceptsExcessLoad: false, ...more }
}

const OCCUPIED = createCandidate('served', { latencyCritical: [{ step: undefined, image: 'desk', targetMs: 18 }] })

test('a best-effort task is not placed beside a latency-critical task that does not tolerate it, until it is starved', () => {
  expect([
    chooseWorker([OCCUPIED], createNeeds({ fills: true }))?.id,
    chooseWorker([OCCUPIED, createCandidate('empty')], createNeeds({ fills: true }, { acceptsExcessLoad: true }))?.id,
    chooseWorker([OCCUPIED], createNeeds({ fills: true }, { acceptsExcessLoad: true }))?.id
  ]).toEqual([undefined, 'empty', 'served'])
})

test('best-effort tasks use spare cores but leave the free cores for other tasks unchanged', () => {
  const candidate = createCandidate('w')
  addTask(candidate, { ...STEP, cores: 30, fills: true }, 'step', 0.5)
  expect(chooseWorker([candidate], createNeeds({ cores: 30 }))?.id).toBe('w')
  expect(chooseWorker([candidate], createNeeds({ cores: 3, fills: true }))).toBeUndefined()
})

test('placement follows the required label, the limit of tasks per worker and the rack of the data', () => {
  const plain = createCandidate('plain')
  const labelled = createCandidate('labelled', { labels: ['gpu', 'r1'] })
  expect([
    chooseWorker([plain, labelled], createNeeds({ requiredLabel: 'gpu' }))?.id,
    chooseWorker([plain], createNeeds({ requiredLabel: 'gpu' }))?.id,
    chooseWorker([plain, labelled], createNeeds({ maxPerWorker: 1 }, { countStepRuns: (worker) => worker === 'plain' ? 1 : 0 }))?.id,
    chooseWorker([plain, labelled], createNeeds({ dataRack: 'r1' }))?.id
  ]).toEqual(['labelled', undefined, 'labelled', 'labelled'])
})

test('a best-effort task avoids a worker with high competing demand from other images', () => {
  const workers = [createCandidate('needed'), createCandidate('plain', { spareCores: 20 })]
  const getCompetingDemand = (worker: string): number => worker === 'needed' ? 1 : 0
  expect(chooseWorker(workers, createNeeds({ fills: true }, { getCompetingDemand }))?.id).toBe('plain')
  expect(chooseWorker(workers, createNeeds({ fills: true }))?.id).toBe('needed')
})

test('a starved best-effort task starts even without spare cores, but not without memory', () => {
  const full = createCandidate('full', { spareCores: 1 })
  const place = (acceptsExcessLoad: boolean): string | undefined => chooseWorker([full], createNeeds({ fills: true, cores: 4 }, { acceptsExcessLoad }))?.id
  expect([place(false), place(true)]).toEqual([undefined, 'full'])
  expect(chooseWorker([createCandidate('small', { freeMemoryMb: 1 })], createNeeds({ fills: true }, { acceptsExcessLoad: true }))).toBeUndefined()
})
