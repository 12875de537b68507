import { expect, test } from 'vitest'
import { createManualClock, createSilentLogger, Ok } from '../../src/common/index.js'
import { createAdvisor, type Advisor } from '../../src/coordination/workflows/advice.js'
import { CATALOG, createScene } from './support.js'

const ADVISED = { ...CATALOG, queues: [{ ...CATALOG.queues[0]!, advice: { decisionMs: 40, perWorkerMs: 1, validityMs: 3000 } }] }

test('the tasks of a queue with an advice service run only on workers that the service permits', async () => {
  const scene = await createScene(['w1', 'w2', 'w3'], ADVISED)
  scene.fleet.approved = (_step, worker) => worker === 'w2'
  await scene.submit('a1', [{ count: 4 }, { count: 2, dependsOn: [0] }])
  await scene.run(5000)
  expect([scene.log.state().workflows.workflows.a1?.outcome, [...new Set(scene.listEvents('started').map(({ worker }) => worker))]]).toEqual(['completed', ['w2']])
})

test('the query for a step is repeated while no worker is permitted to run it', async () => {
  const scene = await createScene(['w1', 'w2'], ADVISED)
  scene.fleet.approved = () => false
  await scene.submit('a1', [{ count: 1 }])
  await scene.run(1000)
  scene.fleet.approved = () => true
  await scene.run(3000)
  expect(scene.log.state().workflows.workflows.a1?.outcome).toBe('completed')
})

// Guards against a step that waits for ever for a worker that was lost for good, because only workers that were permitted
// before are asked about again.
test('a step whose only permitted worker is lost runs on a permitted worker that was added later', async () => {
  const scene = await createScene(['w1', 'w2'], ADVISED)
  scene.fleet.approved = (_step, worker) => worker !== 'w2'
  scene.fleet.plan = () => ({ runMs: 3000, result: 'succeeded' })
  await scene.submit('a1', [{ count: 4 }])
  await scene.run(1000)
  scene.fleet.workers.get('w1')?.crash()
  await scene.run(2000)
  const { life } = scene.fleet.addWorker({ id: 'w3', address: '127.0.0.1:9' })
  scene.log.propose({ kind: 'life.report', life }, Infinity)
  // The lease of the lost worker ends after 6.2 s.
  await scene.run(12_000)
  expect([scene.log.state().workflows.workflows.a1?.outcome, [...new Set(scene.listEvents('ended').map(({ worker }) => worker))]]).toEqual(['completed', ['w3']])
})

// Guards against tasks that wait for one full worker although the service permits another one that nobody asked about.
test('more workers are asked about while the permitted ones have no capacity left', async () => {
  const workers = Array.from({ length: 40 }, (_, number) => `w${number}`)
  const scene = await createScene(workers, ADVISED)
  // The first query names 30 workers.
  scene.fleet.approved = (_step, worker) => ['w0', 'w39'].includes(worker)
  scene.fleet.plan = () => ({ runMs: 20_000, result: 'succeeded' })
  await scene.submit('a1', [{ count: 2, cores: 20 }])
  await scene.run(2000)
  expect(scene.listEvents('started').map(({ worker }) => worker).sort()).toEqual(['w0', 'w39'])
})

// Guards against orders without a ticket, which are refused and repeated, when an operator removes the queue of a waiting job.
test('the tasks of a queue that was removed still need tickets', async () => {
  const scene = await createScene(['w1', 'w2'], ADVISED)
  scene.fleet.approved = (_step, worker) => worker === 'w2'
  scene.fleet.plan = () => ({ runMs: 2000, result: 'succeeded' })
  await scene.submit('a1', [{ count: 1 }, { count: 4, dependsOn: [0] }])
  await scene.run(500)
  scene.log.propose({ kind: 'catalog.put', catalog: { ...ADVISED, version: 2, queues: [] } }, Infinity)
  await scene.run(8000)
  expect([scene.log.state().workflows.workflows.a1?.outcome, [...new Set(scene.listEvents('started').map(({ worker }) => worker))]]).toEqual(['completed', ['w2']])
})

// Guards against a queue of which no job ever starts, because its tickets count as expired when they arrive.
test.each([[1000, 500, 50], [700, 500, 50], [900, 100, 70]])('the tickets of a policy with a validity of %d ms and a decision time of %d ms are used', async (validityMs, decisionMs, perWorkerMs) => {
  const workers = Array.from({ length: 8 }, (_, number) => `w${number}`)
  const scene = await createScene(workers, { ...ADVISED, queues: [{ ...ADVISED.queues[0]!, advice: { decisionMs, perWorkerMs, validityMs } }] })
  scene.fleet.computeAdviceMs = (count) => decisionMs + perWorkerMs * count
  scene.fleet.approved = (_step, worker) => worker !== 'w5'
  await scene.submit('a1', [{ count: 4 }])
  await scene.run(8000)
  expect(scene.log.state().workflows.workflows.a1?.outcome).toBe('completed')
})

const POLICY = { decisionMs: 40, perWorkerMs: 1, validityMs: 3000 }

/** An advisor whose service permits every worker, and the workers that it was asked about. */
function createAskedAdvisor (): { advisor: Advisor, asked: string[][], run (ms: number): Promise<void> } {
  const clock = createManualClock(0)
  const asked: string[][] = []
  const advisor = createAdvisor({
    clock,
    logger: createSilentLogger(),
    client: {
      ask: async (_step, workers) => {
        asked.push(workers)
        await clock.sleep(POLICY.decisionMs)
        return Ok(workers.map((worker) => ({ worker, ticket: `ticket ${asked.length} of ${worker}` })))
      }
    }
  })
  return { advisor, asked, run: (ms) => clock.advance(ms) }
}

// A ticket is valid during one incarnation of the worker; starts with an older one are refused.
test('the tickets of a worker that was replaced are not used, also when they come after the replacement', async () => {
  const { advisor, asked, run } = createAskedAdvisor()
  advisor.request('a1.0.0', ['w1'], POLICY)
  await run(POLICY.decisionMs / 2)
  advisor.removeWorker('w1')
  await run(POLICY.decisionMs)
  const late = advisor.findTicket('a1.0.0', 'w1')
  advisor.request('a1.0.0', ['w1'], POLICY)
  await run(2 * POLICY.decisionMs)
  const known = advisor.findTicket('a1.0.0', 'w1')
  advisor.removeWorker('w1')
  expect([late, known, advisor.findTicket('a1.0.0', 'w1'), asked]).toEqual([undefined, 'ticket 2 of w1', undefined, [['w1'], ['w1']]])
})

test('a worker that has refused a ticket is asked about again', async () => {
  const { advisor, asked, run } = createAskedAdvisor()
  advisor.request('a1.0.0', ['w1'], POLICY)
  await run(2 * POLICY.decisionMs)
  advisor.dropTicket('a1.0.0', 'w1')
  advisor.request('a1.0.0', ['w1'], POLICY)
  await run(2 * POLICY.decisionMs)
  expect([advisor.findTicket('a1.0.0', 'w1'), asked]).toEqual(['ticket 2 of w1', [['w1'], ['w1']]])
})
