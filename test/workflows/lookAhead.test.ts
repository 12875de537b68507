import { expect, test } from 'vitest'
import { createRandom, createSilentLogger, type Logger } from '../../src/common/index.js'
import { CATALOG, createScene, STEP } from './support.js'

const TICK_MS = 10
const LOAD_MS = 12_000
const SETTLE_MS = 6000
const WORKERS = Array.from({ length: 20 }, (_, index) => `w${index}`)
/** Passes are run at least this often, by the check of the leader's authority. */
const MAX_PASS_INTERVAL_MS = 150
/** Largest loss of the callers that the design of this stage allows elsewhere. */
const MAX_LOSS = 0.03

interface Kind { name: string, count: number, cores: number, runMs: number, perSecond: number, gang: boolean }

/** Each of these takes about two thirds of the cores by itself, and the others a quarter. */
const SMALL: Kind = { name: 'small', count: 10, cores: 2, runMs: 640, perSecond: 33, gang: false }
/** Needs three quarters of a worker. */
const LARGE: Kind = { name: 'large', count: 1, cores: 24, runMs: 1500, perSecond: 4, gang: false }
/** Needs two thirds of each of two workers, or a third of each of four. */
const GANG: Kind = { name: 'gang', count: 4, cores: 11, runMs: 1000, perSecond: 3, gang: true }

interface ReservationEvent { at: number, event: string, group: string, expiresInMs: number }

interface Outcome { onTime: number[], events: ReservationEvent[] }

interface Load { kinds: readonly Kind[], estimateError: number, seed: number }

/** Runs a mixed load in virtual time. A workflow is on time if it ends within twice its run time plus 500 ms. */
async function runLoad ({ kinds, estimateError, seed }: Load, looksAhead: boolean): Promise<Outcome> {
  const random = createRandom(seed)
  const durations = createRandom(seed)
  const events: ReservationEvent[] = []
  const logger: Logger = { ...createSilentLogger(), info: (event, fields) => { if (event.startsWith('reservation.')) events.push({ at: scene.clock.now(), event, ...fields as object } as ReservationEvent) } }
  const scene = await createScene(WORKERS, CATALOG, { looksAhead, logger })
  const sent = new Map<string, { kind: Kind, at: number }>()
  scene.fleet.plan = (task) => ({ runMs: (sent.get(task.slice(0, task.indexOf('.')))?.kind.runMs ?? 0) * (0.8 + 0.4 * durations.next()), result: 'succeeded' })
  for (const until = scene.clock.now() + LOAD_MS; scene.clock.now() < until;) {
    kinds.filter(({ perSecond }) => random.next() < perSecond * TICK_MS / 1000).forEach((kind) => {
      const id = `${kind.name}-${sent.size}`
      const expectedRunMs = kind.runMs * (1 + estimateError * (2 * random.next() - 1))
      const { count, cores, gang } = kind
      sent.set(id, { kind, at: scene.clock.wall() })
      scene.log.propose({ kind: 'workflow.submit', queue: 'quotes', workflow: { id, command: '', steps: [{ ...STEP, count, cores, gang, expectedRunMs, image: kind.name }] }, at: scene.clock.wall() }, Infinity)
    })
    await scene.run(TICK_MS)
  }
  await scene.run(SETTLE_MS)
  const isOnTime = ([id, { at, kind }]: [string, { kind: Kind, at: number }]): boolean => {
    const record = scene.log.state().workflows.workflows[id]
    return record?.outcome === 'completed' && record.endedAt - at <= 2 * kind.runMs + 500
  }
  const onTime = kinds.map((kind) => {
    const workflows = [...sent].filter(([, { kind: other }]) => other === kind)
    return workflows.filter(isOnTime).length / workflows.length
  })
  return { onTime, events }
}

/** Times for which reservations were held beyond their deadlines; each is closed by another event of its group. */
function listOverrunMs (events: readonly ReservationEvent[]): number[] {
  return events.flatMap(({ event, at, group, expiresInMs }, position) => {
    const end = event === 'reservation.open' ? events.slice(position + 1).find((other) => other.group === group && other.event !== 'reservation.open') : undefined
    return end === undefined ? [] : [end.at - at - expiresInMs]
  })
}

// Guards against large tasks and gangs that wait for as long as smaller tasks take each core that becomes free, also when
// the estimates of the callers are wrong by nine tenths, and against reservations that cost the small tasks their objective.
test.each([
  ['large tasks', LARGE, 0.2, 11],
  ['large tasks', LARGE, 0.9, 12],
  ['gangs', GANG, 0.2, 13]
])('beside small tasks more %s are on time with reservations (%o, estimates wrong by %d)', async (_name, kind, estimateError, seed) => {
  const load = { kinds: [SMALL, kind], estimateError, seed }
  const [without, withReservations] = [await runLoad(load, false), await runLoad(load, true)]
  const [smallGain = -1, gain = -1] = withReservations.onTime.map((share, position) => share - Number(without.onTime[position]))
  expect([without.events.length, smallGain >= -MAX_LOSS, gain > 0]).toEqual([0, true, true])
  expect(withReservations.events.filter(({ event }) => event === 'reservation.used').length).toBeGreaterThan(0)
  expect(Math.max(...listOverrunMs(withReservations.events))).toBeLessThanOrEqual(MAX_PASS_INTERVAL_MS)
}, 60_000)

// Guards against a change for deployments whose work always fits.
test('work that fits gets no reservation', async () => {
  const { onTime, events } = await runLoad({ kinds: [{ ...SMALL, perSecond: 10 }, { ...LARGE, perSecond: 1 }], estimateError: 0.9, seed: 1 }, true)
  expect([onTime, events]).toEqual([[1, 1], []])
})
