import { expect, test } from 'vitest'
import { createManualClock, createSilentLogger, Ok } from '../../src/common/index.js'
import { admitWorkflow } from '../../src/coordination/workflows/admission.js'
import { createEvacuationStore } from '../../src/coordination/workflows/index.js'
import { createZoneEvacuations, DEFAULT_EVACUATE_MS } from '../../src/coordination/workflows/zoneEvacuation.js'
import { createMemoryLog } from '../../src/fakes/memoryLog.js'
import { createWorkflowsState, workflowHandlers, type Entry, type Step, type WorkflowsState } from '../../src/state/index.js'
import { CATALOG, createHosts, createScene, listDoubled, listOwned, STEP, type Hosts, type Scene } from './support.js'

const HOSTS = ['h1', 'h2', 'h3', 'h4']
const LIFE = { bornAt: 1, service: 'desk', address: 'x:1', cores: 32, memoryMb: 128_000, accelerators: 0, labels: [], draining: false }
const evacuate = (zone: string): Entry => ({ kind: 'zone.evacuate', zone, at: 1 })
const readmit = (zone: string): Entry => ({ kind: 'zone.readmit', zone, at: 1 })

/** Creates a state with a worker in each of the zones a and b, and a workflow of two tasks. */
function createState (step: Partial<Step> = {}): WorkflowsState {
  const state = createWorkflowsState()
  workflowHandlers['catalog.put'](state, { catalog: CATALOG })
  ;['a', 'b'].forEach((zone) => workflowHandlers['life.report'](state, { life: { ...LIFE, id: `w-${zone}`, availabilityZone: zone } }))
  workflowHandlers['workflow.submit'](state, { queue: 'quotes', workflow: { id: 'x', command: '', steps: [{ ...STEP, count: 2, ...step }] }, at: 0 })
  return state
}

const listAssigned = (state: WorkflowsState): string[] => Object.values(state.workers).flatMap(({ life, assigned }) => Object.keys(assigned).map((task) => `${task}@${life.id}`))

/** Creates a leader and one worker in each of the zones a and b. */
async function createZones (): Promise<{ scene: Scene, commit (entry: Entry): Promise<void> }> {
  const scene = await createScene([])
  const commit = async (entry: Entry): Promise<void> => {
    scene.log.propose(entry, Infinity)
    await scene.run(50)
  }
  for (const zone of ['a', 'b']) {
    const { life } = scene.fleet.addWorker({ id: `w-${zone}`, address: `127.0.0.1:${zone === 'a' ? 1 : 2}`, availabilityZone: zone })
    await commit({ kind: 'life.report', life })
  }
  await scene.run(300)
  return { scene, commit }
}

const countStarts = (scene: Scene, zone: string): number => scene.listEvents('started').filter(({ worker }) => worker === `w-${zone}`).length

/** Creates hosts whose workers are half in zone a and half in zone b. */
async function createZonedHosts (useClient?: Parameters<typeof createHosts>[2]): Promise<Hosts> {
  const hosts = await createHosts(HOSTS, 12, useClient)
  hosts.fleet.workers.forEach(({ life }) => {
    const zone = Number(life.id.slice(1)) % 2 === 0 ? 'a' : 'b'
    Object.assign(life, { availabilityZone: zone })
    hosts.propose({ kind: 'life.report', life: { ...life } })
  })
  await hosts.clock.advance(1000)
  return hosts
}

const isInZone = (hosts: Hosts, worker: string, zone: string): boolean => hosts.fleet.workers.get(worker)?.life.availabilityZone === zone
/** While set, the workers of zone a receive no start orders. */
function setStartsLost (hosts: Hosts, isLost: boolean): void {
  hosts.fleet.workers.forEach((worker) => { worker.fault = (kind) => isLost && kind === 'start' && isInZone(hosts, worker.life.id, 'a') ? 'lost-order' : 'none' })
}

const listStartsAfter = (hosts: Hosts, zone: string, from: number): string[] => hosts.fleet.events
  .filter(({ kind, at, worker }) => kind === 'started' && at > from && isInZone(hosts, worker, zone)).map(({ task, at }) => `${task} ${at - from}`)

// Guards against an assignment that the leader proposed before the entry and that is committed after it.
test('an assignment that follows the evacuation in the log does not take effect, and the gang of its task stays whole', () => {
  const single = createState()
  const gang = createState({ gang: true })
  const [early, late] = [single, gang].map((state) => {
    workflowHandlers['zone.evacuate'](state, { zone: 'a', at: 1 })
    workflowHandlers['workflow.assign'](state, { assignments: [['x.0.0.0', 'w-a', 1], ['x.0.0.1', 'w-b', 1]] })
    return listAssigned(state)
  })
  expect([early, late]).toEqual([['x.0.0.1@w-b'], []])
})

// Guards against a repeat of a lost request that changes the state, and against requests whose order the hosts see differently.
test('repeated entries change nothing, and the last of crossing entries decides', () => {
  const state = createState()
  workflowHandlers['zone.evacuate'](state, { zone: 'a', at: 1 })
  const first = state.evacuatedZones
  workflowHandlers['zone.evacuate'](state, { zone: 'a', at: 9 })
  const repeated = state.evacuatedZones === first
  ;(['zone.readmit', 'zone.evacuate', 'zone.readmit', 'zone.readmit'] as const).forEach((kind) => workflowHandlers[kind](state, { zone: 'a', at: 10 }))
  expect({ first, repeated, last: state.evacuatedZones }).toEqual({ first: [{ zone: 'a', at: 1 }], repeated: true, last: [] })
})

// Guards against zone names that are properties of every object.
test('a zone is evacuated only if it was named', () => {
  const state = createState()
  workflowHandlers['zone.evacuate'](state, { zone: '__proto__', at: 1 })
  workflowHandlers['zone.readmit'](state, { zone: 'constructor', at: 1 })
  expect(JSON.parse(JSON.stringify(state.evacuatedZones))).toEqual([{ zone: '__proto__', at: 1 }])
})

// Guards against a false 404, and against a 200 that was not committed.
test('a request is acknowledged after its commit; an unknown zone is named so only after a read barrier, and an evacuated one is known without workers', async () => {
  const log = createMemoryLog('h1')
  const store = createEvacuationStore({ clock: createManualClock(0), logger: createSilentLogger(), log, zones: ['named'] })
  const answers: unknown[] = []
  const send = async (change: 'evacuate' | 'readmit', zone: string): Promise<void> => {
    const result = await store[change](zone, Infinity)
    answers.push([change, zone, result.ok ? result.val : result.val.kind, log.state().workflows.evacuatedZones?.map((evacuated) => evacuated.zone).join()])
  }
  await send('evacuate', 'named')
  await send('evacuate', 'named')
  await send('evacuate', 'a')
  await log.propose({ kind: 'life.report', life: { ...LIFE, id: 'w', availabilityZone: 'a' } }, Infinity)
  await send('evacuate', 'a')
  await log.propose({ kind: 'life.remove', worker: 'w', bornAt: 1, at: 0 }, Infinity)
  log.setReachable(false)
  await send('evacuate', 'b')
  await send('readmit', 'a')
  log.setReachable(true)
  await send('readmit', 'a')
  await send('readmit', 'a')
  expect(answers).toEqual([
    ['evacuate', 'named', 'recorded', 'named'],
    ['evacuate', 'named', 'recorded', 'named'],
    ['evacuate', 'a', 'unknown-zone', 'named'],
    ['evacuate', 'a', 'recorded', 'named,a'],
    ['evacuate', 'b', 'no-leader', 'named,a'],
    ['readmit', 'a', 'no-leader', 'named,a'],
    ['readmit', 'a', 'recorded', 'named'],
    ['readmit', 'a', 'unknown-zone', 'named']
  ])
})

// Guards against tasks that are placed in the zone, and against an evacuation that stops what runs there or that never ends.
test('runs in an evacuated zone continue, new tasks go elsewhere, and a readmitted zone gets tasks again', async () => {
  const { scene, commit } = await createZones()
  scene.fleet.plan = () => ({ runMs: 3000, result: 'succeeded' })
  await scene.submit('early', [{ count: 8 }])
  await scene.run(200)
  const before = countStarts(scene, 'a')
  await commit(evacuate('a'))
  await scene.submit('later', [{ count: 8 }])
  await scene.run(4000)
  const { workflows } = scene.log.state().workflows
  expect({ before: before > 0, during: countStarts(scene, 'a') - before, outcomes: [workflows.early?.outcome, workflows.later?.outcome], stopped: scene.listEvents('ended').filter(({ cause }) => cause !== 'succeeded') })
    .toEqual({ before: true, during: 0, outcomes: ['completed', 'completed'], stopped: [] })
  await commit(readmit('a'))
  await scene.submit('last', [{ count: 8 }])
  await scene.run(500)
  expect(countStarts(scene, 'a')).toBeGreaterThan(before)
})

// Guards against a long-running task that is restarted where it was, and against occurrences that the evacuation delays.
test('an interrupted long-running task and a due occurrence start in another zone', async () => {
  const { scene, commit } = await createZones()
  scene.fleet.plan = (task) => ({ runMs: 0, result: task.startsWith('service') ? 'never' : 'succeeded' })
  await commit({ kind: 'zone.evacuate', zone: 'b', at: 0 })
  await scene.submit('service', [{ lasting: true }])
  await scene.submit('timer', [{}], { recurrence: { firstAt: scene.clock.wall() + 2000, intervalMs: 1000, count: 2 } })
  await scene.run(500)
  await commit(readmit('b'))
  await commit(evacuate('a'))
  const interrupted = scene.fleet.workers.get('w-a')!
  const revived = scene.fleet.addWorker({ ...interrupted.life, bornAt: 2 })
  interrupted.crash()
  await commit({ kind: 'life.report', life: revived.life })
  await scene.run(5000)
  expect(scene.listEvents('started').map(({ task, worker }) => `${task}@${worker}`)).toEqual(['service.0.0.0@w-a', 'service.0.0.0@w-b', 'timer.0.0.0@w-b', 'timer.1.0.0@w-b'])
})

// Guards against workflows that are accepted although nothing can run them, and against one that is refused after it was recorded.
test('while all zones of a service are evacuated its new workflows are refused at once, and a recorded one is not', async () => {
  const { scene, commit } = await createZones()
  await scene.submit('known', [{ count: 4, cores: 30 }])
  await commit(evacuate('a'))
  const half = await scene.submit('half', [{}])
  await commit(evacuate('b'))
  const replies = [await scene.submit('service', [{ lasting: true }]), await scene.submit('known', [{ count: 4, cores: 30 }])]
  await commit(readmit('b'))
  replies.push(await scene.submit('service', [{ lasting: true }]))
  const [refused] = replies
  expect([half, ...replies]).toMatchObject([{ kind: 'accepted' }, { kind: 'overloaded' }, { kind: 'accepted' }, { kind: 'accepted' }])
  // Retry delays are spread over as long again, so that refused callers do not return together.
  expect(refused?.kind === 'overloaded' && refused.retryAfterMs >= 5000 && refused.retryAfterMs <= 10_000).toBe(true)
})

test('admission counts only workers in zones that are not evacuated, and a service without known workers refuses nothing', () => {
  const state = createState({ count: 64, expectedRunMs: 1000 })
  const admit = (): unknown => admitWorkflow({ state, queue: CATALOG.queues[0]!, workflow: { id: 'y', command: '', steps: [STEP] }, isKnown: false, now: 0 })
  const whole = admit()
  workflowHandlers['zone.evacuate'](state, { zone: 'a', at: 1 })
  const half = admit()
  state.workers = {}
  expect([whole, half, admit()]).toEqual([{ kind: 'admitted', backlogMs: 2000 }, { kind: 'admitted', backlogMs: 4000 }, { kind: 'admitted', backlogMs: 0 }])
})

// Guards against start orders that wait for an answer or a connection and are sent after the evacuation.
test('start orders that are pending at the evacuation are not sent, and their tasks start elsewhere', async () => {
  const hosts = await createZonedHosts()
  setStartsLost(hosts, true)
  hosts.submit('x', [{ count: 120, cores: 1 }])
  await hosts.clock.advance(100)
  hosts.propose(evacuate('a'))
  await hosts.clock.advance(50)
  setStartsLost(hosts, false)
  const from = hosts.clock.now()
  await hosts.clock.advance(6000)
  expect({ late: listStartsAfter(hosts, 'a', from), doubled: listDoubled(hosts.fleet.events), outcome: hosts.log.state().workflows.workflows.x?.outcome }).toEqual({ late: [], doubled: [], outcome: 'completed' })
  await hosts.stop()
})

// Guards against a run that is taken for one that has not started, because its row cannot be read, and is started elsewhere as well.
test('a run in an evacuated zone whose row cannot be read does not run twice', async () => {
  let isDamaged = false
  const hosts = await createZonedHosts((_clock, client) => ({
    ...client,
    poll: async (...call) => {
      const reply = await client.poll(...call)
      return !isDamaged || !reply.ok ? reply : Ok({ ...reply.val, running: [], unreadableRuns: reply.val.running.length })
    }
  }))
  hosts.fleet.plan = () => ({ runMs: 0, result: 'never' })
  hosts.fleet.stopMs = 4000
  hosts.submit('x', [{ count: 24, cores: 1, lasting: true }])
  await hosts.clock.advance(2000)
  isDamaged = true
  hosts.propose(evacuate('a'))
  await hosts.clock.advance(8000)
  expect(listDoubled(hosts.fleet.events)).toEqual([])
  await hosts.stop()
})

// Guards against the next session host of a worker, which starts what was assigned before the evacuation and did not start.
test('after a hand-over of sessions no task starts in the zone', async () => {
  const hosts = await createZonedHosts()
  const lost = listOwned(hosts, 'h3').filter((worker) => isInZone(hosts, worker, 'a'))
  setStartsLost(hosts, true)
  hosts.submit('x', [{ count: 120, cores: 1 }])
  await hosts.clock.advance(100)
  hosts.network.setDown('h3', true)
  hosts.followers.get('h3')?.setReachable(false)
  hosts.propose(evacuate('a'))
  await hosts.clock.advance(1050)
  // The host that was cut off has lost its authority by now.
  setStartsLost(hosts, false)
  const from = hosts.clock.now()
  await hosts.clock.advance(9000)
  const owned = new Set(listOwned(hosts, 'h3'))
  expect({ hadWorkers: lost.length > 0, kept: lost.filter((worker) => owned.has(worker)), late: listStartsAfter(hosts, 'a', from), outcome: hosts.log.state().workflows.workflows.x?.outcome })
    .toEqual({ hadWorkers: true, kept: [], late: [], outcome: 'completed' })
  await hosts.stop()
})

/** Lets the leader begin another term, in which it knows only the replicated state. */
function changeTerm ({ log }: { log: Hosts['log'] }): void {
  const { status } = log
  log.status = () => ({ ...status(), term: 2 })
}

// Guards against a gang whose started members wait for one that never starts, and against one that is stopped although the
// missing start order would have arrived in time. A new leader does not know which members have started.
test.each([
  ['starts within a second of the evacuation and goes on', { lostMs: 300, changesTerm: false, attempts: [1], zones: 'a,b' }],
  ['is stopped as a whole and placed again in another zone', { lostMs: 60_000, changesTerm: false, attempts: [1, 2], zones: 'b' }],
  ['is stopped and placed again although the leader changes', { lostMs: 60_000, changesTerm: true, attempts: [1, 2], zones: 'b' }]
])('a gang with a member that has not started %s', async (_name, { lostMs, changesTerm, attempts, zones }) => {
  const { scene, commit } = await createZones()
  const lostUntil = scene.clock.now() + 300 + lostMs
  scene.fleet.plan = () => ({ runMs: 8000, result: 'succeeded' })
  scene.fleet.workers.get('w-a')!.fault = (kind) => kind === 'start' && scene.clock.now() < lostUntil ? 'lost-order' : 'none'
  await scene.submit('x', [{ count: 12, cores: 4, gang: true }])
  await scene.run(100)
  const membersInZone = Object.keys(scene.log.state().workflows.workers['w-a']?.assigned ?? {}).length
  await commit(evacuate('a'))
  const from = scene.clock.now()
  // The other zone has room for the whole gang only now.
  const { life } = scene.fleet.addWorker({ id: 'w-c', address: '127.0.0.1:3', availabilityZone: 'b' })
  await commit({ kind: 'life.report', life })
  if (changesTerm) changeTerm(scene)
  await scene.run(16_000)
  const started = scene.listEvents('started')
  const lastAttempt = Math.max(...started.map(({ attempt }) => attempt))
  const lastZones = new Set(started.filter(({ attempt }) => attempt === lastAttempt).map(({ worker }) => worker === 'w-a' ? 'a' : 'b'))
  expect({
    hasMembersInZone: membersInZone > 0,
    attempts: [...new Set(started.map(({ attempt }) => attempt))],
    zones: [...lastZones].sort().join(),
    late: started.filter(({ worker, at }) => worker === 'w-a' && at > from + DEFAULT_EVACUATE_MS),
    outcome: scene.log.state().workflows.workflows.x?.outcome
  }).toEqual({ hasMembersInZone: true, attempts, zones, late: [], outcome: 'completed' })
})

// Guards against a restarted host that applies an old entry and takes it for a new one, and against a repeated request that
// gives gangs more time.
test('only a host that gives orders when the zone is evacuated lets members of gangs start, and only once for a second', async () => {
  const clock = createManualClock(0)
  const state = createState()
  const gang = { ...STEP, gang: true }
  const open = (): ReturnType<typeof createZoneEvacuations> => createZoneEvacuations({ clock, getState: () => state })
  const [present, replaying] = [open(), open()]
  workflowHandlers['zone.evacuate'](state, { zone: 'a', at: 1 })
  present.observeEntry(evacuate('a'), true)
  replaying.observeEntry(evacuate('a'), false)
  const later = open()
  const check = (): boolean[] => [present, replaying, later].map((evacuations) => evacuations.isStartBlocked('a', gang))
  const results = [check()]
  await clock.advance(900)
  ;[present, replaying, later].forEach((evacuations) => evacuations.observeEntry(evacuate('a'), true))
  results.push(check())
  await clock.advance(100)
  results.push(check())
  expect({ results, single: present.isStartBlocked('a', STEP), elsewhere: present.isStartBlocked('b', STEP) })
    .toEqual({ results: [[false, true, true], [false, true, true], [true, true, true]], single: true, elsewhere: false })
})
