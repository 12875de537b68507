import type { Step, WorkflowsState } from '../../state/index.js'
import type { PlacementCandidate, TaskStep } from './candidates.js'
import { addCapacity, countEndsNeeded, findWorkerSet, hasCapacityFor, type Release, type TaskNeeds, type WorkerForecast, type WorkerSet } from './capacityForecast.js'
import { createCapacityNeeds } from './groups.js'
import { canHold } from './placement.js'
import type { WaitingGroup } from './plan.js'
import { findWorkKey, getRunProgress, type RunDurations } from './runDurations.js'
import type { WorkerView } from './sessionState.js'

/** Workers looked at for one reservation: those with the most free cores of the ones that can hold a task once their short tasks have ended. */
const MAX_WORKERS_LOOKED_AT = 32
/** Racks looked at for a rack-sensitive gang, those with the most free cores. */
const MAX_RACKS_LOOKED_AT = 3
/** A task that fits as soon as one run ends needs no reservation, because the freed worker is offered to the most urgent group first. */
const MIN_ENDS_NEEDED = 2
/** A task that fits after the end of some run on this share of the workers is of the usual size; that is found without a forecast. */
const USUAL_SHARE = 0.5
/** The forecast of a worker is kept this long; runs take several hundred ms and more. */
const FORECAST_CACHE_MS = 100

export interface ReservationSearchOptions {
  sessions: ReadonlyMap<string, WorkerView>
  runDurations: RunDurations
  getState (): WorkflowsState
  findTaskStep (task: string): TaskStep | undefined
}

export interface ReservationSearch {
  /**
   * Finds the workers among `available` that can hold a group which fits on none of them now: one worker for a task
   * of an ordinary group, and a set of at most `maxWorkers` for a gang. Undefined if the group needs no reservation or no worker can hold it.
   */
  find (group: WaitingGroup, available: readonly PlacementCandidate[], maxWorkers: number, now: number): WorkerSet | undefined
  /** Finds the worker for an interrupted long-running task like `find`, but also one whose runs are not all known. */
  findForInterrupted (group: WaitingGroup, pool: readonly PlacementCandidate[], available: readonly PlacementCandidate[], now: number): WorkerSet | undefined
}

/** Searches a bounded number of workers, so that a search takes constant time apart from one look at the free capacity of each worker of the pool. */
export function createReservationSearch (options: ReservationSearchOptions): ReservationSearch {
  const cachedReleases = new Map<string, { releases: Release[], until: number }>()

  const getReleases = (worker: string, now: number): Release[] => {
    const cached = cachedReleases.get(worker)
    if (cached !== undefined && cached.until > now) return cached.releases
    const releases = listReleases(options, worker, now)
    cachedReleases.set(worker, { releases, until: now + FORECAST_CACHE_MS })
    return releases
  }

  const createForecast = (worker: PlacementCandidate, now: number): WorkerForecast =>
    ({ worker: worker.id, rack: worker.rack, free: { cores: worker.freeCores, memoryMb: worker.freeMemoryMb, accelerators: worker.freeAccelerators }, releases: getReleases(worker.id, now) })

  /** Workers that can hold a task once their short tasks have ended, those with the most free cores first. */
  const listHolding = (group: WaitingGroup, available: readonly PlacementCandidate[]): PlacementCandidate[] => {
    const needs = createCapacityNeeds(group)
    // Most workers are ruled out by their cores, without a copy of the candidate.
    return available.filter((worker) => (worker.freeWithoutShortTasks ?? worker).freeCores >= group.step.cores && canHold({ ...worker, ...worker.freeWithoutShortTasks }, needs)).sort((a, b) => b.freeCores - a.freeCores)
  }

  const canHoldAfterOneEnd = (worker: PlacementCandidate, needed: Step): boolean => {
    const free = { cores: worker.freeCores, memoryMb: worker.freeMemoryMb, accelerators: worker.freeAccelerators }
    return [...options.sessions.get(worker.id)?.runs.keys() ?? []].some((task) => {
      const step = options.findTaskStep(task)?.step
      return step !== undefined && !step.lasting && hasCapacityFor(addCapacity(free, step.fills ? { ...step, cores: 0 } : step), needed)
    })
  }

  const findGangSet = (group: WaitingGroup, available: readonly PlacementCandidate[], needs: TaskNeeds, now: number): WorkerSet | undefined => {
    const holding = listHolding(group, available)
    const findAmong = (workers: readonly PlacementCandidate[]): WorkerSet | undefined =>
      findWorkerSet(workers.slice(0, MAX_WORKERS_LOOKED_AT).map((worker) => createForecast(worker, now)), needs, now)
    const inRacks = !group.step.rackSensitive ? [] : listRacks(holding).slice(0, MAX_RACKS_LOOKED_AT).flatMap((workers) => findAmong(workers) ?? [])
    const set = inRacks.sort((a, b) => a.readyAt - b.readyAt)[0] ?? findAmong(holding)
    return set === undefined || set.readyAt <= now ? undefined : set
  }

  return {
    find: (group, available, maxWorkers, now) => {
      const needs = createTaskNeeds(group, available, maxWorkers)
      if (group.step.gang) return findGangSet(group, available, needs, now)
      const capacityNeeds = createCapacityNeeds(group)
      if (available.some((worker) => canHold(worker, capacityNeeds))) return undefined
      const lookedAt = listHolding(group, available).slice(0, MAX_WORKERS_LOOKED_AT)
      if (lookedAt.filter((worker) => canHoldAfterOneEnd(worker, group.step)).length >= USUAL_SHARE * lookedAt.length) return undefined
      const forecasts = lookedAt.map((worker) => createForecast(worker, now))
      return countEndsNeeded(forecasts, needs, now) < MIN_ENDS_NEEDED ? undefined : findWorkerSet(forecasts, needs, now)
    },
    findForInterrupted: (group, pool, available, now) => {
      const capacityNeeds = createCapacityNeeds(group)
      if (group.step.fills || pool.some((worker) => canHold(worker, capacityNeeds))) return undefined
      const holding = listHolding(group, available)
      const needs = { ...createTaskNeeds(group, available, 1), count: 1 }
      const set = findWorkerSet(holding.slice(0, MAX_WORKERS_LOOKED_AT).map((worker) => createForecast(worker, now)), needs, now)
      const first = holding[0]
      if (set !== undefined || first === undefined) return set
      return { spare: new Map([[first.id, { cores: 0, memoryMb: 0, accelerators: 0 }]]), readyAt: Infinity, lateAt: Infinity }
    }
  }
}

function createTaskNeeds (group: WaitingGroup, available: readonly PlacementCandidate[], maxWorkers: number): TaskNeeds {
  const { step, indexes } = group
  const { maxPerWorker } = step
  const { countStepRuns } = createCapacityNeeds(group)
  const workers = new Map(maxPerWorker === undefined ? [] : available.map((worker) => [worker.id, worker]))
  const countLimit = (id: string): number => {
    const worker = workers.get(id)
    return maxPerWorker === undefined || worker === undefined ? Infinity : maxPerWorker - countStepRuns(id, worker)
  }
  return { step, count: step.gang ? indexes.length : 1, maxWorkers, countLimit }
}

/** Groups workers by rack; the rack with the most free cores comes first. */
function listRacks (workers: readonly PlacementCandidate[]): PlacementCandidate[][] {
  const racks = new Map<string | undefined, PlacementCandidate[]>()
  workers.forEach((worker) => racks.set(worker.rack, [...racks.get(worker.rack) ?? [], worker]))
  const sumFree = (rack: PlacementCandidate[]): number => rack.reduce((sum, { freeCores }) => sum + freeCores, 0)
  return [...racks.values()].sort((a, b) => sumFree(b) - sumFree(a))
}

/** What the ends of the short tasks on a worker release. Best-effort tasks request no cores, and long-running ones do not end. */
function listReleases ({ sessions, runDurations, getState, findTaskStep }: ReservationSearchOptions, worker: string, now: number): Release[] {
  return [...sessions.get(worker)?.runs.values() ?? []].flatMap((run) => {
    const step: Step | undefined = findTaskStep(run.task)?.step
    const work = findWorkKey(getState(), run.task)
    if (step === undefined || step.lasting || work === undefined) return []
    const { expectedAt, lateAt } = runDurations.forecastEnd(work, step.expectedRunMs, getRunProgress(run), now)
    return [{ cores: step.fills ? 0 : step.cores, memoryMb: step.memoryMb, accelerators: step.accelerators, expectedAt, lateAt }]
  })
}
