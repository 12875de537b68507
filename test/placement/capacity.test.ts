import { expect, test } from 'vitest'
import { createScenario, createTask, GB, renderDecisions } from './helpers.js'

// Without a refusal, such a task would wait for ever.
test('a task larger than every worker is refused at once, with the resource that no worker has enough of', () => {
  const scenario = createScenario(2)
  scenario.queue(
    createTask('cores-0', { size: { cores: 33, memoryBytes: GB, accelerators: 0 } }),
    createTask('memory-0', { size: { cores: 1, memoryBytes: 126 * GB, accelerators: 0 } }),
    createTask('accelerators-0', { size: { cores: 1, memoryBytes: GB, accelerators: 1 } })
  )
  expect(renderDecisions(scenario.decide())).toMatchInlineSnapshot(`
    [
      "refuse task=cores-0 dimension=cores "no worker has that much cores"",
      "refuse task=memory-0 dimension=memoryBytes "no worker has that much memoryBytes"",
      "refuse task=accelerators-0 dimension=accelerators "no worker has that much accelerators"",
    ]
  `)
})

// A start beyond the capacity would overload the worker. With the safety margin, 8 declared cores count as 12, so two of the tasks fit into 32 cores.
test('a task for which no worker has enough free capacity waits, and its explanation names the missing resource', () => {
  const scenario = createScenario(1)
  scenario.queue(...Array.from({ length: 3 }, (_, index) => createTask(`m-${index}`, { jobClass: `class-${index}`, size: { cores: 8, memoryBytes: GB, accelerators: 0 } })))
  expect(renderDecisions(scenario.decide())).toMatchInlineSnapshot(`
    [
      "start task=m-0 worker=w0 size={"cores":12,"memoryBytes":1500000000,"accelerators":0} "lowest cost of the workers with room; size declared"",
      "start task=m-1 worker=w0 size={"cores":12,"memoryBytes":1500000000,"accelerators":0} "lowest cost of the workers with room; size declared"",
    ]
  `)
  expect(scenario.placement.explain({ kind: 'task', id: 'm-2' }).map(({ decision, reason }) => `${decision} "${reason.summary}"`)).toMatchInlineSnapshot(`
    [
      "wait "waits: no room in cores"",
    ]
  `)
})
