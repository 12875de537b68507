import { expect, test } from 'vitest'
import { addTask, chooseWorker, type PlacementNeeds } from '../../src/coordination/workflows/placing.js'
import { createCandidate, STEP } from './support.js'

function createNeeds (step: Partial<typeof STEP>, more: Partial<PlacementNeeds> = {}): PlacementNeeds {
  return { step: { ...STEP, ...step }, countPeers: () => 0, estimateRisk: () => 1, isOnTrial: () => false, getScarcity: () => 0, acceptsRisk: false, ...more }
}

const SERVED = createCandidate('served', { serving: [{ step: undefined, image: 'desk', targetMs: 18 }] })

test('a filling task stays away from a service at risk until it has waited too long', () => {
  expect([
    chooseWorker([SERVED], createNeeds({ fills: true }))?.id,
    chooseWorker([SERVED, createCandidate('empty')], createNeeds({ fills: true }, { acceptsRisk: true }))?.id,
    chooseWorker([SERVED], createNeeds({ fills: true }, { acceptsRisk: true }))?.id
  ]).toEqual([undefined, 'empty', 'served'])
})

test('filling tasks take no room from those whose cores count', () => {
  const candidate = createCandidate('w')
  addTask(candidate, { ...STEP, cores: 30, fills: true }, 'step', 0.5)
  expect(chooseWorker([candidate], createNeeds({ cores: 30 }))?.id).toBe('w')
  expect(chooseWorker([candidate], createNeeds({ cores: 3, fills: true }))).toBeUndefined()
})

test('requirements and the limit of tasks on one worker are kept', () => {
  const plain = createCandidate('plain')
  const labelled = createCandidate('labelled', { labels: ['gpu', 'r1'] })
  expect([
    chooseWorker([plain, labelled], createNeeds({ requiredLabel: 'gpu' }))?.id,
    chooseWorker([plain], createNeeds({ requiredLabel: 'gpu' }))?.id,
    chooseWorker([plain, labelled], createNeeds({ maxPerWorker: 1 }, { countPeers: (worker) => worker === 'plain' ? 1 : 0 }))?.id,
    chooseWorker([plain, labelled], createNeeds({ dataRack: 'r1' }))?.id
  ]).toEqual(['labelled', undefined, 'labelled', 'labelled'])
})

test('a filling task leaves the worker that other images need to one that few need', () => {
  const workers = [createCandidate('needed'), createCandidate('plain', { spareCores: 20 })]
  const getScarcity = (worker: string): number => worker === 'needed' ? 1 : 0
  expect(chooseWorker(workers, createNeeds({ fills: true }, { getScarcity }))?.id).toBe('plain')
  expect(chooseWorker(workers, createNeeds({ fills: true }))?.id).toBe('needed')
})

test('a filling task that has waited too long starts even where others already use all cores', () => {
  const full = createCandidate('full', { spareCores: 1 })
  const place = (acceptsRisk: boolean): string | undefined => chooseWorker([full], createNeeds({ fills: true, cores: 4 }, { acceptsRisk }))?.id
  expect([place(false), place(true)]).toEqual([undefined, 'full'])
  expect(chooseWorker([createCandidate('small', { freeMemoryMb: 1 })], createNeeds({ fills: true }, { acceptsRisk: true }))).toBeUndefined()
})
