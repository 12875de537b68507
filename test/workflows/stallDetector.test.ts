import { expect, test } from 'vitest'
import type { RunView, WorkerView } from '../../src/coordination/workflows/sessionState.js'
import { createStallDetector } from '../../src/coordination/workflows/stallDetector.js'
import type { Step } from '../../src/state/index.js'
import { STEP } from './support.js'

function createRun (task: string, percent: number, progressAt: number): RunView {
  return { task, attempt: 1, confirmedAt: 0, startedAt: 0, assignedAt: 0, stopReason: undefined, progressAt, status: { task, attempt: 1, checkpoint: '', percent, reading: undefined } }
}

function createWorker (worker: string, runs: RunView[], readAt: number): WorkerView {
  return { worker, bornAt: 1, runs: new Map(runs.map((run) => [run.task, run])), strays: new Map(), hasOverdueService: false, readAt, reachable: true, ended: false }
}

const findStep = (): Step => ({ ...STEP, expectedRunMs: 1000 })

/** Lets the detector see progress of the work of some tasks on a sound worker. */
function showProgress (detector: ReturnType<typeof createStallDetector>, tasks: string[]): void {
  tasks.forEach((task) => {
    const run = createRun(task, 0, 0)
    detector.observeProgress(run, 10, 0)
    detector.observeProgress(run, 60, 500)
  })
}

// Guards against a task that waits on a worker that stands still, because nothing is known of its own work.
test('all runs of a worker stand still if those of several known works do', () => {
  const detector = createStallDetector()
  showProgress(detector, ['a.0.0.1', 'b.0.0.1'])
  const runs = ['a.0.0.0', 'b.0.0.0', 'unknown.0.0.0'].map((task) => createRun(task, 20, 1000))
  expect([detector.findStall(createWorker('w1', runs, 3400), findStep), detector.findStall(createWorker('w1', runs, 3600), findStep)]).toEqual([
    { tasks: [], isWorkerStill: false }, { tasks: ['a.0.0.0', 'b.0.0.0', 'unknown.0.0.0'], isWorkerStill: true }
  ])
})

// Guards against sound workers that are paused because of work that makes no progress on any worker.
test('a worker with another run that makes progress does not stand still, and work that stands still alone on two workers is left to its estimate', () => {
  const detector = createStallDetector()
  showProgress(detector, ['a.0.0.9'])
  const isStalled = (worker: string, stillRun: string): string[] =>
    detector.findStall(createWorker(worker, [createRun(stillRun, 20, 1000), createRun('other.0.0.0', 20, 3500)], 3600), findStep).tasks
  const { isWorkerStill } = detector.findStall(createWorker('w1', [createRun('a.0.0.0', 20, 1000), createRun('other.0.0.0', 20, 3500)], 3600), findStep)
  expect([isWorkerStill, isStalled('w2', 'a.0.0.1'), isStalled('w3', 'a.0.0.2')]).toEqual([false, ['a.0.0.1'], []])
})
