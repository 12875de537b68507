import { expect, test } from 'vitest'
import { createBestEffortWindows } from '../../src/coordination/workflows/bestEffortWindow.js'

const FIRST = { task: 't1', image: 'a', coreShare: 0.2, since: 900 }
const SECOND = { task: 't2', image: 'a', coreShare: 0.1, since: 0 }

test('a reading includes each neighbour for the time that it ran, even after its end', () => {
  const windows = createBestEffortWindows()
  const started = windows.update('w', [FIRST, SECOND], 1000)
  const full = windows.update('w', [FIRST, SECOND], 1500)
  const ended = windows.update('w', [SECOND], 1750)
  const later = windows.update('w', [SECOND], 3000)
  expect([started, full, ended, later].map(({ averageUses: uses, recent }) => [uses, recent].map((list) => list.map(({ image, coreShare }) => `${image} ${coreShare.toFixed(2)}`).join()))).toMatchInlineSnapshot(`
    [
      [
        "a 0.14",
        "a 0.30",
      ],
      [
        "a 0.30",
        "a 0.30",
      ],
      [
        "a 0.30",
        "a 0.30",
      ],
      [
        "a 0.10",
        "a 0.10",
      ],
    ]
  `)
})
