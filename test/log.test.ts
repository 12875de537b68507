import { expect, test } from 'vitest'
import { createManualClock, createRateLimitedLogger } from '../src/common/index.js'

/** Takes lines until it is full, and reports the others as dropped, as the stream of standard output does. */
function createDestination () {
  const lines: string[] = []
  let onDrop = (): void => {}
  const state = { isFull: false }
  return {
    lines,
    state,
    destination: {
      write: (line: string) => { if (state.isFull) onDrop(); else lines.push(line) },
      flushSync: () => {},
      on: (event: string, listener: () => void) => { if (event === 'drop') onDrop = listener }
    }
  }
}

// Guards against a log that looks complete although the reader of standard output has stalled.
test('the first line after a full buffer states how many lines were dropped', () => {
  const { lines, state, destination } = createDestination()
  const logger = createRateLimitedLogger(createManualClock(), {}, { destination })
  logger.info('first')
  state.isFull = true
  logger.info('lost')
  logger.child({ worker: 'w1' }).warn('lost-too')
  state.isFull = false
  logger.info('second')
  logger.info('third')
  expect(lines.map((line) => line.slice(line.indexOf('event=')).trim())).toEqual(['event=first', 'event=second dropped=2', 'event=third'])
})

test('lines above the limit of an event are counted, and the first line of a later second states their number', async () => {
  const { lines, destination } = createDestination()
  const clock = createManualClock()
  const logger = createRateLimitedLogger(clock, {}, { destination, linesPerSecond: 2 })
  Array.from({ length: 5 }).forEach(() => logger.info('burst'))
  await clock.advance(1000)
  logger.info('burst')
  expect(lines.map((line) => line.slice(line.indexOf('event=')).trim())).toEqual(['event=burst', 'event=burst', 'event=burst suppressed=3'])
})
