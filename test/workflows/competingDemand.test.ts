import { expect, test } from 'vitest'
import { createCompetingDemand } from '../../src/coordination/workflows/competingDemand.js'
import { createCandidate, STEP } from './support.js'

test('the only worker that tolerates a waiting image has a high competing demand for all other images', () => {
  const workers = ['calm', 'rough-1', 'rough-2'].map((id) => createCandidate(id, { latencyCritical: [{ step: undefined, image: id.slice(0, 5), targetMs: 18 }] }))
  const waitingTasks = [
    { step: { ...STEP, fills: true, image: 'picky', cores: 4 }, indexes: [0, 1, 2, 3, 4, 5, 6, 7] },
    { step: { ...STEP, fills: true, image: 'easy', cores: 4 }, indexes: [0, 1] }
  ]
  const getCompetingDemand = createCompetingDemand(waitingTasks, workers, (serving, filling) => filling[0]?.image === 'picky' && serving[0]?.image === 'rough' ? 1 : -1)
  expect([getCompetingDemand('calm', 'easy'), getCompetingDemand('rough-1', 'easy'), getCompetingDemand('calm', 'picky') < 0.5, getCompetingDemand('unknown', 'easy')]).toEqual([1, 0, true, 0])
})
