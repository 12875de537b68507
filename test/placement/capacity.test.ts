import { expect, test } from 'vitest'
import { createScript, createTask, GB, renderDecisions } from './helpers.js'

test('a task that no worker can hold is refused at once with its dimension, so that it does not wait for ever', () => {
  const script = createScript(2)
  script.queue(
    createTask('cores-0', { size: { cores: 33, memoryBytes: GB, accelerators: 0 } }),
    createTask('memory-0', { size: { cores: 1, memoryBytes: 126 * GB, accelerators: 0 } }),
    createTask('accelerators-0', { size: { cores: 1, memoryBytes: GB, accelerators: 1 } })
  )
  expect(renderDecisions(script.decide())).toMatchInlineSnapshot(`
    [
      "refuse task=cores-0 dimension=cores "no worker has that much cores"",
      "refuse task=memory-0 dimension=memoryBytes "no worker has that much memoryBytes"",
      "refuse task=accelerators-0 dimension=accelerators "no worker has that much accelerators"",
    ]
  `)
})

test('tasks beyond the room of the workers wait with a reason, so that no worker is overfilled', () => {
  const script = createScript(1)
  script.queue(...Array.from({ length: 3 }, (_, index) => createTask(`m-${index}`, { jobClass: `class-${index}`, size: { cores: 8, memoryBytes: GB, accelerators: 0 } })))
  expect(renderDecisions(script.decide())).toMatchInlineSnapshot(`
    [
      "start task=m-0 worker=w0 size={"cores":12,"memoryBytes":1500000000,"accelerators":0} "lowest cost of the workers with room; size declared"",
      "start task=m-1 worker=w0 size={"cores":12,"memoryBytes":1500000000,"accelerators":0} "lowest cost of the workers with room; size declared"",
    ]
  `)
  expect(script.placement.explain({ kind: 'task', id: 'm-2' }).map(({ decision, reason }) => `${decision} "${reason.summary}"`)).toMatchInlineSnapshot(`
    [
      "wait "waits: no room in cores"",
    ]
  `)
})
