import type { Clock } from '../../common/index.js'
import { formatTaskName, getLocalName, type Assignment, type Step } from '../../state/index.js'
import type { Advisor } from './advice.js'
import { addRun, getPeerKey, type Placing } from './candidates.js'
import { canHold, chooseWorker, type PlacementNeeds } from './placing.js'
import type { WaitingGroup } from './plan.js'
import type { Sharing } from './sharing.js'

/**
 * Part of a pool's cores that new lasting work leaves free for short urgent work, unless a task has waited and there is
 * room for it twice; the short work of the reference loads takes 2 to 6% of the cores.
 */
const SHORT_WORK_SHARE = 0.05

export interface GroupOptions { clock: Clock, sharing: Sharing, advisor: Advisor }

/** Places the tasks of a group as far as there is room; a gang whole or not at all. */
export function placeGroup (options: GroupOptions, group: WaitingGroup, candidates: Map<string, Placing[]>, getScarcity: PlacementNeeds['getScarcity'], isStarved: boolean): Assignment[] {
  const { record, occurrence, stepNumber, step, indexes } = group
  const now = options.clock.now()
  const workers = listEligible(options, group, candidates.get(record.service) ?? [])
  const peerKey = getPeerKey(record.workflow.id, occurrence, stepNumber)
  const needs: PlacementNeeds = {
    step,
    countPeers: (worker) => workers.find(({ id }) => id === worker)?.peers.get(peerKey) ?? 0,
    estimateRisk: (serving, filling) => options.sharing.estimateRisk(serving, filling, now),
    isOnTrial: ({ serving, filling }, image) => options.sharing.isOnTrial(serving, filling, image, now),
    getScarcity,
    acceptsRisk: isStarved
  }
  const gangAttempt = 1 + Math.max(0, ...indexes.map((index) => findAttempt(group, index)))
  if (step.gang && !canHoldGang(workers, needs, indexes.length)) return []
  const placed: Assignment[] = []
  indexes.every((index) => {
    const worker = chooseWorker(workers, needs)
    if (worker === undefined) return false
    if (step.lasting && group.isResumed !== true && !hasReserve(workers, step) && !(isStarved && canHoldGang(workers, needs, 2))) return false
    // One task is enough for a workflow to go on; each lasting task has users of its own, and a gang needs all of its members.
    needs.acceptsRisk = isStarved && (step.lasting || step.gang)
    if (step.fills) options.sharing.recordStart(worker.serving, step.image ?? '', now)
    addRun(worker, step, peerKey, options.sharing)
    const attempt = step.gang ? gangAttempt : findAttempt(group, index) + 1
    placed.push([formatTaskName({ workflow: record.workflow.id, occurrence, step: stepNumber, index }), worker.id, attempt])
    return true
  })
  // Members without the others would only wait for them.
  return step.gang && placed.length < indexes.length ? [] : placed
}

/** Workers that the queue's policy allows, all on one rack where the step is the slower for more and one rack has the room. */
function listEligible ({ advisor }: GroupOptions, { record, occurrence, stepNumber, step, indexes, advice }: WaitingGroup, workers: Placing[]): Placing[] {
  const name = getPeerKey(record.workflow.id, occurrence, stepNumber)
  if (advice !== undefined) {
    const byRoom = workers.toSorted((a, b) => b.freeCores - a.freeCores)
    advisor.request(name, byRoom.map(({ id }) => id), advice)
  }
  const allowed = advice === undefined ? workers : workers.filter(({ id }) => advisor.findTicket(name, id) !== undefined)
  if (!step.rackSensitive) return allowed
  const racks = [...new Set(allowed.map(({ rack }) => rack))]
  const rack = racks.map((name) => allowed.filter((worker) => worker.rack === name)).find((members) => canHoldGang(members, { step, countPeers: () => 0 }, indexes.length))
  return rack ?? allowed
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

/** True when the step fits into what is free now at least `count` times. */
function canHoldGang (workers: Placing[], needs: Pick<PlacementNeeds, 'step' | 'countPeers'>, count: number): boolean {
  const { step } = needs
  const places = workers.filter((worker) => canHold(worker, needs)).reduce((sum, worker) => {
    const byCores = step.cores > 0 ? Math.floor((step.fills ? worker.spareCores : worker.freeCores) / step.cores) : count
    const byMemory = step.memoryMb > 0 ? Math.floor(worker.freeMemoryMb / step.memoryMb) : count
    const byPeers = step.maxPerWorker === undefined ? count : step.maxPerWorker - needs.countPeers(worker.id)
    return sum + Math.min(byCores, byMemory, byPeers)
  }, 0)
  return places >= count
}
