import type { Clock } from '../../common/index.js'
import { formatTaskName, getLocalName, type AdvicePolicy, type Assignment, type Step } from '../../state/index.js'
import type { Advisor } from './advice.js'
import { addRun, getPeerKey, type Placing } from './candidates.js'
import { canHold, chooseWorker, findBest, REMOTE_DATA_PENALTY, SAMPLE_SIZE, type PlacementNeeds } from './placing.js'
import type { WaitingGroup } from './plan.js'
import type { Sharing } from './sharing.js'

/**
 * Part of a pool's cores that new lasting work leaves free for short urgent work, unless a task has waited and there is
 * room for it twice; the short work of the reference loads takes 2 to 6% of the cores.
 */
const SHORT_WORK_SHARE = 0.05
/** Distance of two samples, so that tasks of one pass are spread over all workers. */
const SAMPLE_STRIDE = SAMPLE_SIZE + 5

export interface GroupOptions { clock: Clock, sharing: Sharing, advisor: Advisor }

export interface GroupSearch {
  /** Workers of the service. */
  pool: readonly Placing[]
  /** Those of them on which the group is tried. */
  workers: readonly Placing[]
  getScarcity: PlacementNeeds['getScarcity']
  isStarved: boolean
  /** Where samples begin; differs from task to task. */
  offset: number
}

/** Places the tasks of a group as far as there is room; a gang whole or not at all. */
export function placeGroup (options: GroupOptions, group: WaitingGroup, candidates: Map<string, Placing[]>, getScarcity: PlacementNeeds['getScarcity'], isStarved: boolean): Assignment[] {
  const pool = candidates.get(group.record.service) ?? []
  return placeAmong(options, group, { pool, workers: pool, getScarcity, isStarved, offset: 0 })
}

/** The same on some workers of a pool. */
export function placeAmong (options: GroupOptions, group: WaitingGroup, { pool, workers, getScarcity, isStarved, offset }: GroupSearch): Assignment[] {
  const { record, occurrence, stepNumber, step, indexes } = group
  const now = options.clock.now()
  const peerKey = getPeerKey(record.workflow.id, occurrence, stepNumber)
  const needs: PlacementNeeds = {
    step,
    countPeers: (_worker, { peers }) => peers?.get(peerKey) ?? 0,
    estimateRisk: (serving, filling) => options.sharing.estimateRisk(serving, filling, now),
    isOnTrial: ({ serving, filling }, image) => options.sharing.isOnTrial(serving, filling, image, now),
    getScarcity,
    acceptsRisk: isStarved
  }
  // Room only shrinks while the group is placed.
  if (group.advice !== undefined && workers === pool) sendQuestion(options, group.advice, peerKey, pool)
  const eligible = listEligible(options, group, workers, peerKey).filter((worker) => canHold(worker, needs))
  if (eligible.length === 0 || (step.gang && !canHoldGang(eligible, needs, indexes.length))) return []
  const gangAttempt = 1 + Math.max(0, ...step.gang ? indexes.map((index) => findAttempt(group, index)) : [])
  const near = step.dataRack === undefined ? [] : eligible.filter(({ labels }) => labels.includes(step.dataRack as string))
  const saved = new Map<Placing, Placing>()
  const hasRoomBeside = (): boolean => !step.lasting || group.isResumed === true || hasReserve(pool, step) || (isStarved && canHoldGang(eligible, needs, 2))
  const placed: Assignment[] = []
  indexes.every((index, turn) => {
    const worker = chooseNear(eligible, near, needs, offset + turn * SAMPLE_STRIDE)
    if (worker === undefined || !hasRoomBeside()) return false
    // One task is enough for a workflow to go on; each lasting task has users of its own, and a gang needs all of its members.
    needs.acceptsRisk = isStarved && (step.lasting || step.gang)
    if (step.gang && !saved.has(worker)) saved.set(worker, createRoomCopy(worker))
    if (step.fills) options.sharing.recordStart(worker.serving, step.image ?? '', now)
    addRun(worker, step, peerKey, options.sharing)
    const attempt = step.gang ? gangAttempt : findAttempt(group, index) + 1
    placed.push([formatTaskName({ workflow: record.workflow.id, occurrence, step: stepNumber, index }), worker.id, attempt])
    return true
  })
  if (!step.gang || placed.length === indexes.length) return placed
  // Members without the others would only wait for them.
  saved.forEach((room, worker) => Object.assign(worker, room))
  return []
}

/** The best worker near the data, unless all are so loaded or slow that one further away may be better. */
function chooseNear (workers: readonly Placing[], near: readonly Placing[], needs: PlacementNeeds, offset: number): Placing | undefined {
  const nearest = near.length > 0 ? findBest(near, needs, offset) : undefined
  return nearest !== undefined && nearest.cost < REMOTE_DATA_PENALTY ? nearest.candidate : chooseWorker(workers, needs, offset)
}

function sendQuestion ({ advisor }: GroupOptions, policy: AdvicePolicy, name: string, pool: readonly Placing[]): void {
  const byRoom = pool.toSorted((a, b) => b.freeCores - a.freeCores)
  advisor.request(name, byRoom.map(({ id }) => id), policy)
}

/**
 * The worker on which a task that has stopped will first find room as short work ends, if it finds none now. Without it
 * short work that needs less takes each core that comes free, and a large task waits as long as there is a backlog.
 */
export function findReserved ({ step, record, occurrence, stepNumber }: WaitingGroup, pool: readonly Placing[], reserved: ReadonlySet<Placing>): Placing | undefined {
  const peerKey = getPeerKey(record.workflow.id, occurrence, stepNumber)
  const needs: Pick<PlacementNeeds, 'step' | 'countPeers'> = { step, countPeers: (_worker, { peers }) => peers?.get(peerKey) ?? 0 }
  if (step.fills || pool.some((worker) => canHold(worker, needs))) return undefined
  return pool
    .filter((worker) => !reserved.has(worker) && canHold({ ...worker, freeCores: worker.cores - (worker.lastingCores ?? 0) }, needs))
    .reduce<Placing | undefined>((best, worker) => best === undefined || worker.freeCores > best.freeCores ? worker : best, undefined)
}

/** Workers that the queue's policy allows, all on one rack where the step is the slower for more and one rack has the room. */
function listEligible ({ advisor }: GroupOptions, { step, indexes, advice, isResumed }: WaitingGroup, workers: readonly Placing[], name: string): readonly Placing[] {
  const ready = isResumed === true ? workers : workers.filter(({ isBusy }) => isBusy !== true)
  const allowed = advice === undefined ? ready : ready.filter(({ id }) => advisor.findTicket(name, id) !== undefined)
  if (!step.rackSensitive) return allowed
  const racks = new Map<string | undefined, Placing[]>()
  allowed.forEach((worker) => {
    const members = racks.get(worker.rack)
    if (members === undefined) racks.set(worker.rack, [worker])
    else members.push(worker)
  })
  return [...racks.values()].find((members) => canHoldGang(members, { step, countPeers: () => 0 }, indexes.length)) ?? allowed
}

/** True when the pool keeps room for short work after one more task of the step. */
function hasReserve (workers: readonly Placing[], step: Step): boolean {
  const cores = workers.reduce((sum, worker) => sum + worker.cores, 0)
  const free = workers.reduce((sum, worker) => sum + worker.freeCores, 0)
  return free - step.cores >= SHORT_WORK_SHARE * cores
}

function findAttempt ({ record, occurrence, stepNumber }: WaitingGroup, index: number): number {
  return record.tasks[getLocalName({ occurrence, step: stepNumber, index })]?.attempt ?? 0
}

function createRoomCopy (worker: Placing): Placing {
  return { ...worker, serving: [...worker.serving], filling: [...worker.filling], peers: new Map(worker.peers) }
}

/** True when the step fits into what is free now at least `count` times. */
function canHoldGang (workers: readonly Placing[], needs: Pick<PlacementNeeds, 'step' | 'countPeers'>, count: number): boolean {
  const { step } = needs
  const places = workers.filter((worker) => canHold(worker, needs)).reduce((sum, worker) => {
    const byCores = step.cores > 0 ? Math.floor((step.fills ? worker.spareCores : worker.freeCores) / step.cores) : count
    const byMemory = step.memoryMb > 0 ? Math.floor(worker.freeMemoryMb / step.memoryMb) : count
    const byPeers = step.maxPerWorker === undefined ? count : step.maxPerWorker - needs.countPeers(worker.id, worker)
    return sum + Math.min(byCores, byMemory, byPeers)
  }, 0)
  return places >= count
}
