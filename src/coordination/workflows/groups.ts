import type { Clock } from '../../common/index.js'
import { formatTaskName, formatTaskKey, getLastAttempt, type Assignment, type Step } from '../../state/index.js'
import type { Advisor } from './advice.js'
import { addRun, formatStepName, type PlacementCandidate } from './candidates.js'
import { canHold, chooseWorker, countHeld, findBest, REMOTE_DATA_PENALTY, SAMPLE_SIZE, type PlacementNeeds } from './placement.js'
import type { WaitingGroup } from './plan.js'
import type { InterferenceModel } from './interferenceModel.js'
import type { WorkerHealth } from './workerHealth.js'

/**
 * Share of a pool's cores that new long-running tasks leave free for short urgent tasks, unless the group is starved and
 * the eligible workers can hold at least two of its tasks. Short tasks take 2 to 6% of the cores in the reference loads.
 */
const SHORT_TASK_RESERVE_SHARE = 0.05
/** Distance between the samples of two consecutive tasks, so that the tasks of a group are spread over all workers. */
const SAMPLE_STRIDE = SAMPLE_SIZE + 5

export interface GroupOptions { clock: Clock, interferenceModel: InterferenceModel, advisor: Advisor, health: WorkerHealth }

export interface GroupSearch {
  /** All workers of the service. */
  pool: readonly PlacementCandidate[]
  /** The workers of the pool on which the group may be placed. */
  workers: readonly PlacementCandidate[]
  getCompetingDemand: PlacementNeeds['getCompetingDemand']
  isStarved: boolean
  /** Position at which the sample of workers for the first task begins. */
  offset: number
}

/** Places as many tasks of a group as the pool has capacity for; a gang is placed whole or not at all. */
export function placeGroup (options: GroupOptions, group: WaitingGroup, candidates: Map<string, PlacementCandidate[]>, getCompetingDemand: PlacementNeeds['getCompetingDemand'], isStarved: boolean): Assignment[] {
  const pool = candidates.get(group.record.service) ?? []
  return placeOnWorkers(options, group, { pool, workers: pool, getCompetingDemand, isStarved, offset: 0 })
}

/** Places a group like `placeGroup`, but only on some workers of the pool. */
export function placeOnWorkers (options: GroupOptions, group: WaitingGroup, search: GroupSearch): Assignment[] {
  const placed = placeTasks(options, group, search)
  if (placed.length < group.indexes.length && search.workers === search.pool) sendAdviceRequest(options, group, search.pool)
  return placed
}

function placeTasks (options: GroupOptions, group: WaitingGroup, { pool, workers, getCompetingDemand, isStarved, offset }: GroupSearch): Assignment[] {
  const { record, occurrence, stepNumber, step, indexes } = group
  const now = options.clock.now()
  const { stepName, ...capacityNeeds } = createCapacityNeeds(group)
  const needs: PlacementNeeds = {
    ...capacityNeeds,
    estimateExcessLoad: (latencyCritical, bestEffort) => options.interferenceModel.estimateExcessLoad(latencyCritical, bestEffort, now),
    isTrialBlocked: ({ latencyCritical, bestEffort }, image) => options.interferenceModel.isTrialBlocked(latencyCritical, bestEffort, image, now),
    getCompetingDemand,
    acceptsExcessLoad: isStarved
  }
  // Filtering once is enough, as capacity only shrinks while the group is placed.
  const eligible = selectUntried(options, group, listEligible(options, group, workers, capacityNeeds, stepName).filter((worker) => canHold(worker, needs)), needs)
  if (eligible.length === 0 || (step.gang && !canHoldTimes(eligible, needs, indexes.length))) return []
  const gangAttempt = step.gang ? 1 + indexes.reduce((latest, index) => Math.max(latest, findAttempt(group, index)), 0) : 1
  const dataLocal = step.dataRack === undefined ? [] : eligible.filter(({ labels }) => labels.includes(step.dataRack as string))
  const originals = new Map<PlacementCandidate, PlacementCandidate>()
  const canStartAnother = (): boolean => !step.lasting || group.isResumed === true || canKeepReserve(pool, step) || (isStarved && canHoldTimes(eligible, needs, 2))
  const placed: Assignment[] = []
  indexes.every((index, position) => {
    const worker = choosePreferringDataLocal(eligible, dataLocal, needs, offset + position * SAMPLE_STRIDE)
    if (worker === undefined || !canStartAnother()) return false
    // From the second task on, only long-running tasks, each with its own users, and gangs, which need all members, may accept
    // excess load. Other workflows progress with one task.
    needs.acceptsExcessLoad = isStarved && (step.lasting || step.gang)
    if (step.gang && !originals.has(worker)) originals.set(worker, createCapacityCopy(worker))
    if (step.fills) options.interferenceModel.recordTrialStart(worker.latencyCritical, step.image ?? '', now)
    addRun(worker, step, stepName, options.interferenceModel)
    const attempt = step.gang ? gangAttempt : findAttempt(group, index) + 1
    placed.push([formatTaskName({ workflow: record.workflow.id, occurrence, step: stepNumber, index }), worker.id, attempt])
    return true
  })
  if (!step.gang || placed.length === indexes.length) return placed
  // A gang that cannot be placed whole gives its capacity back, as the members placed so far would only wait for the others.
  originals.forEach((original, worker) => Object.assign(worker, original))
  return []
}

/**
 * Chooses the best worker in the rack of the step's data. If that worker is so loaded or slow that it costs at least
 * `REMOTE_DATA_PENALTY`, a worker of another rack may be better, so all workers are compared.
 */
function choosePreferringDataLocal (workers: readonly PlacementCandidate[], dataLocal: readonly PlacementCandidate[], needs: PlacementNeeds, offset: number): PlacementCandidate | undefined {
  const bestDataLocal = dataLocal.length > 0 ? findBest(dataLocal, needs, offset) : undefined
  return bestDataLocal !== undefined && bestDataLocal.cost < REMOTE_DATA_PENALTY ? bestDataLocal.candidate : chooseWorker(workers, needs, offset)
}

/**
 * Asks about the workers that could hold a task of the group but have no ticket for it. If none has the capacity, asks about all
 * workers, so that a ticket is at hand when one has.
 */
function sendAdviceRequest ({ advisor }: GroupOptions, group: WaitingGroup, pool: readonly PlacementCandidate[]): void {
  if (group.advice === undefined) return
  const { stepName, ...needs } = createCapacityNeeds(group)
  const able = pool.filter((worker) => canHold(worker, needs))
  const asked = able.length > 0 ? able.filter(({ id }) => advisor.findTicket(stepName, id) === undefined) : pool
  advisor.request(stepName, asked.toSorted((a, b) => b.freeCores - a.freeCores).map(({ id }) => id), group.advice)
}

/** The needs of a group that depend on the capacity of a worker alone. */
export function createCapacityNeeds ({ step, record, occurrence, stepNumber }: WaitingGroup): Pick<PlacementNeeds, 'step' | 'countStepRuns'> & { stepName: string } {
  const stepName = formatStepName(record.workflow.id, occurrence, stepNumber)
  return { step, stepName, countStepRuns: (_worker, { stepRuns }) => stepRuns?.get(stepName) ?? 0 }
}

/**
 * Workers on which the group may be placed now: those that are not busy, unless the group is resumed, and that have a ticket
 * if the queue's policy requires tickets. A rack-sensitive step runs more slowly across racks, so it gets the workers of one
 * rack if that rack has enough capacity beside the tasks of the step that run there already.
 */
function listEligible ({ advisor }: GroupOptions, { step, indexes, advice, isResumed }: WaitingGroup, workers: readonly PlacementCandidate[], needs: Pick<PlacementNeeds, 'step' | 'countStepRuns'>, name: string): readonly PlacementCandidate[] {
  const notBusy = isResumed === true ? workers : workers.filter(({ isBusy }) => isBusy !== true)
  const allowed = advice === undefined ? notBusy : notBusy.filter(({ id }) => advisor.findTicket(name, id) !== undefined)
  if (!step.rackSensitive) return allowed
  const racks = new Map<string | undefined, PlacementCandidate[]>()
  allowed.forEach((worker) => {
    const rackWorkers = racks.get(worker.rack)
    if (rackWorkers === undefined) racks.set(worker.rack, [worker])
    else rackWorkers.push(worker)
  })
  return [...racks.values()].find((rackWorkers) => canHoldTimes(rackWorkers, needs, indexes.length)) ?? allowed
}

/**
 * Leaves out the workers on which tasks of the step have failed, if others have capacity: the worker may be the cause, and a task
 * fails its workflow after some attempts. Long-running tasks are restarted any number of times.
 */
function selectUntried ({ health }: GroupOptions, { record, stepNumber, step, indexes }: WaitingGroup, workers: readonly PlacementCandidate[], needs: Pick<PlacementNeeds, 'step' | 'countStepRuns'>): readonly PlacementCandidate[] {
  const failedOn = health.listFailedOn(record.workflow.id, stepNumber)
  if (step.lasting || failedOn.size === 0) return workers
  const untried = workers.filter(({ id }) => !failedOn.has(id))
  return untried.length > 0 && (!step.gang || canHoldTimes(untried, needs, indexes.length)) ? untried : workers
}

/** True when the pool keeps the reserve for short tasks after one more task of the step. */
export function canKeepReserve (workers: readonly PlacementCandidate[], step: Step): boolean {
  const cores = workers.reduce((sum, worker) => sum + worker.cores, 0)
  const free = workers.reduce((sum, worker) => sum + worker.freeCores, 0)
  return free - step.cores >= SHORT_TASK_RESERVE_SHARE * cores
}

function findAttempt ({ record, occurrence, stepNumber }: WaitingGroup, index: number): number {
  const known = record.tasks[formatTaskKey({ occurrence, step: stepNumber, index })]
  return known === undefined ? 0 : getLastAttempt(known)
}

function createCapacityCopy (worker: PlacementCandidate): PlacementCandidate {
  const { freeWithoutShortTasks } = worker
  return { ...worker, ...freeWithoutShortTasks !== undefined && { freeWithoutShortTasks: { ...freeWithoutShortTasks } }, latencyCritical: [...worker.latencyCritical], bestEffort: [...worker.bestEffort], stepRuns: new Map(worker.stepRuns) }
}

/** True when the workers can hold at least `count` tasks of the step now. */
function canHoldTimes (workers: readonly PlacementCandidate[], needs: Pick<PlacementNeeds, 'step' | 'countStepRuns'>, count: number): boolean {
  return workers.reduce((sum, worker) => sum + countHeld(worker, needs, count), 0) >= count
}
