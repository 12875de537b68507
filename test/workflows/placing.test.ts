import { expect, test } from 'vitest'
import { addTask, chooseWorker, type Candidate, type PlacementNeeds } from '../../src/coordination/workflows/placing.js'
import { STEP } from './support.js'

function createCandidate (id: string, more: Partial<Candidate> = {}): Candidate {
  return {
    id, service: 'desk', availabilityZone: 'a', labels: [], rack: undefined, cores: 32, memoryMb: 100_000, accelerators: 0, freeCores: 32, spareCores: 32, freeMemoryMb: 100_000, freeAccelerators: 0, serving: [], filling: [], slowness: 1, ...more
  }
}

function createNeeds (step: Partial<typeof STEP>, more: Partial<PlacementNeeds> = {}): PlacementNeeds {
  return { step: { ...STEP, ...step }, countPeers: () => 0, estimateRisk: () => 1, isOnTrial: () => false, getScarcity: () => 0, acceptsRisk: false, ...more }
}

const SERVED = createCandidate('served', { serving: [{ image: 'desk', targetMs: 18 }] })

test('a filling task stays away from a service at risk until it has waited too long', () => {
  expect([
    chooseWorker([SERVED], createNeeds({ fills: true }))?.id,
    chooseWorker([SERVED, createCandidate('empty')], createNeeds({ fills: true }, { acceptsRisk: true }))?.id,
    chooseWorker([SERVED], createNeeds({ fills: true }, { acceptsRisk: true }))?.id
  ]).toEqual([undefined, 'empty', 'served'])
})

test('filling tasks take no room from those whose cores count', () => {
  const candidate = createCandidate('w')
  addTask(candidate, { ...STEP, cores: 30, fills: true })
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
