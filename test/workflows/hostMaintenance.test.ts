import { expect, test } from 'vitest'
import { Err, Ok } from '../../src/common/index.js'
import { listEvacuated } from '../../src/coordination/workflows/evacuation.js'
import { createScene, HOST_LEASE_MS, STEP, type Scene } from './support.js'

test('a maintenance wave takes down one host after the other, drains each before, and ends when all are back', async () => {
  const scene = await createScene(['w1', 'w2', 'w3'])
  scene.fleet.plan = () => ({ runMs: 400, result: 'never' })
  scene.fleet.workers.forEach(({ life }) => { scene.log.propose({ kind: 'life.report', life: { ...life, host: `m-${life.id}`, bornAt: life.bornAt + 1 } }, Infinity) })
  await scene.run(100)
  scene.fleet.workers.forEach((worker) => Object.assign(worker.life, { host: `m-${worker.life.id}`, bornAt: 2 }))
  await scene.submit('s1', [{ count: 4, lasting: true, maxUnavailable: 1 }])
  await scene.run(1000)
  const ordered: Array<{ host: string, running: number, at: number }> = []
  let down = 0
  let mostDown = 0
  scene.fleet.onMaintenance = (host) => {
    down += 1
    mostDown = Math.max(mostDown, down)
    const id = host.slice(2)
    ordered.push({ host, running: Object.keys(scene.log.state().workflows.workers[id]?.assigned ?? {}).length, at: scene.clock.now() })
    scene.clock.sleep(2000).then(() => {
      down -= 1
      const { life } = scene.fleet.addWorker({ ...scene.fleet.workers.get(id)!.life, bornAt: 3 })
      scene.log.propose({ kind: 'life.report', life }, Infinity)
    })
  }
  scene.log.propose({ kind: 'wave.open', wave: { id: 1, hosts: ['m-w1', 'm-w2'], dueAt: scene.clock.wall() + 60_000, maxDown: 1 } }, Infinity)
  await scene.run(20_000)
  expect(ordered.map(({ host, running }) => ({ host, running }))).toEqual([{ host: 'm-w1', running: 0 }, { host: 'm-w2', running: 0 }])
  expect([mostDown, scene.log.state().workflows.waves[1]?.done]).toEqual([1, ['m-w1', 'm-w2']])
})

test('tasks that cannot end before a worker leaves are moved, and tasks that can are left alone', () => {
  const runs = [
    { task: 'lasting', step: { ...STEP, lasting: true }, elapsedMs: 5000, percent: 100 },
    { task: 'ends in time', step: STEP, elapsedMs: 900, percent: 90 },
    { task: 'saved', step: { ...STEP, checkpoints: true }, elapsedMs: 1000, percent: 20 },
    { task: 'just begun', step: STEP, elapsedMs: 1000, percent: 10 },
    { task: 'too far to lose', step: STEP, elapsedMs: 5000, percent: 50 }
  ]
  expect(listEvacuated(runs, 2000, 400)).toEqual(['lasting', 'saved', 'just begun'])
})

// Guards against a stop that is ordered too late, so that the worker leaves before the run has written its checkpoint.
test('a run that would end within the time that its worker takes for a stop is moved', () => {
  const runs = [{ task: 'saved', step: { ...STEP, checkpoints: true }, elapsedMs: 1000, percent: 40 }]
  expect([200, 400, 900].map((stopMs) => listEvacuated(runs, 2100, stopMs).length)).toEqual([0, 0, 1])
})

interface Owner {
  scene: Scene
  begun: string[]
  /** Hosts that are down for maintenance. */
  down: Set<string>
  /** Number of further orders that are lost before they are executed. */
  lost: number
  /** Number of further orders that are executed and whose answers are lost. */
  unanswered: number
}

/** Creates two workers, each on its own host, and an owner of the hosts that loses the first orders or answers and executes each order only once. */
async function createOwner ({ lost = 0, unanswered = 0 }: { lost?: number, unanswered?: number }, onLost: (owner: Owner, host: string) => void = () => {}): Promise<Owner> {
  const scene = await createScene(['w1', 'w2'])
  const owner: Owner = { scene, begun: [], down: new Set(), lost, unanswered }
  const reviveWorker = (id: string): void => {
    const { life } = scene.fleet.workers.get(id)!
    const revived = scene.fleet.addWorker({ ...life, host: `m-${id}`, bornAt: life.bornAt + 1 })
    scene.log.propose({ kind: 'life.report', life: revived.life }, Infinity)
  }
  ['w1', 'w2'].forEach(reviveWorker)
  scene.fleet.hosts.startUpkeep = async ({ host }) => {
    if (owner.lost > 0) {
      owner.lost -= 1
      onLost(owner, host)
      return Err({ kind: 'no-answer', message: 'lost' })
    }
    if (owner.begun.includes(host)) return Ok(undefined)
    owner.begun.push(host)
    owner.down.add(host)
    scene.fleet.workers.get(host.slice(2))?.crash()
    scene.clock.sleep(2000).then(() => {
      owner.down.delete(host)
      reviveWorker(host.slice(2))
    })
    owner.unanswered -= 1
    return owner.unanswered >= 0 ? Err({ kind: 'no-answer', message: 'lost' }) : Ok(undefined)
  }
  await scene.run(100)
  scene.log.propose({ kind: 'wave.open', wave: { id: 1, hosts: ['m-w1', 'm-w2'], dueAt: scene.clock.wall() + 60_000, maxDown: 1 } }, Infinity)
  return owner
}

test('a maintenance wave goes on after an order to take a host down was lost', async () => {
  const { scene, begun } = await createOwner({ lost: 2 })
  await scene.run(25_000)
  expect({ begun, done: scene.log.state().workflows.waves[1]?.done }).toEqual({ begun: ['m-w1', 'm-w2'], done: ['m-w1', 'm-w2'] })
})

test('a host whose order was lost does not count as done when its worker crashes and restarts', async () => {
  const restarted = new Set<string>()
  const owner = await createOwner({ lost: 3 }, ({ scene }, host) => {
    if (restarted.has(host)) return
    restarted.add(host)
    const { life } = scene.fleet.workers.get(host.slice(2))!
    const again = scene.fleet.addWorker({ ...life, bornAt: life.bornAt + 1 })
    scene.log.propose({ kind: 'life.report', life: again.life }, Infinity)
  })
  const early: string[] = []
  for (let passed = 0; passed < 25_000; passed += 250) {
    await owner.scene.run(250)
    early.push(...(owner.scene.log.state().workflows.waves[1]?.done ?? []).filter((host) => !owner.begun.includes(host) || owner.down.has(host)))
  }
  expect({ early, done: owner.scene.log.state().workflows.waves[1]?.done }).toEqual({ early: [], done: ['m-w1', 'm-w2'] })
})

test('a host whose worker restarted while the order was under way does not count as back before its maintenance', async () => {
  const owner = await createOwner({})
  const { scene } = owner
  const { startUpkeep } = scene.fleet.hosts
  scene.fleet.hosts.startUpkeep = async (order, deadline) => {
    const { life } = scene.fleet.workers.get(order.host.slice(2))!
    if (!owner.begun.includes(order.host)) scene.log.propose({ kind: 'life.report', life: scene.fleet.addWorker({ ...life, bornAt: life.bornAt + 1 }).life }, Infinity)
    await scene.clock.sleep(200)
    return startUpkeep(order, deadline)
  }
  let mostDown = 0
  for (let passed = 0; passed < 25_000; passed += 100) {
    await scene.run(100)
    mostDown = Math.max(mostDown, owner.down.size)
  }
  expect({ begun: owner.begun, mostDown, done: scene.log.state().workflows.waves[1]?.done }).toEqual({ begun: ['m-w1', 'm-w2'], mostDown: 1, done: ['m-w1', 'm-w2'] })
})

test('a maintenance wave goes on after the answer to an order was lost, and takes down one host at a time', async () => {
  const owner = await createOwner({ unanswered: 2 })
  let mostDown = 0
  for (let passed = 0; passed < 60_000; passed += 100) {
    await owner.scene.run(100)
    mostDown = Math.max(mostDown, owner.down.size)
  }
  expect({ begun: owner.begun, mostDown, done: owner.scene.log.state().workflows.waves[1]?.done }).toEqual({ begun: ['m-w1', 'm-w2'], mostDown: 1, done: ['m-w1', 'm-w2'] })
})

test('a new leader gives no orders for hosts while an earlier leader may still give them', async () => {
  const orders: number[] = []
  const scene = await createScene(['w1'])
  const { life } = scene.fleet.workers.get('w1')!
  const startedAt = scene.clock.now()
  scene.fleet.hosts.startUpkeep = async () => {
    orders.push(scene.clock.now() - startedAt)
    return Ok(undefined)
  }
  scene.log.propose({ kind: 'life.report', life: { ...life, host: 'm-w1', bornAt: 2 } }, Infinity)
  scene.log.propose({ kind: 'wave.open', wave: { id: 1, hosts: ['m-w1'], dueAt: scene.clock.wall() + 60_000, maxDown: 1 } }, Infinity)
  await scene.run(6000)
  expect({ orders: orders.length, isLate: (orders[0] ?? 0) >= HOST_LEASE_MS - 500 }).toEqual({ orders: 1, isLate: true })
})
