import { createRandom, type Random } from '../common/index.js'
import type { RunningTask } from '../fakes/runFleet.js'
import type { EmulationSettings } from './settings.js'

/** Virtual time between two updates of the model. */
export const STEP_MS = 100
/** Limit of the work that a saturated service queues. The queue adds to its tail latency until the load falls and the queue drains. */
const MAX_BACKLOG_MS = 1500
/** Interference is drawn for this long after the load phase, which covers the wait for the last batches. */
const AFTER_LOAD_MS = 25_000
const MIN_FREE_SHARE = 0.02

/** Returns the image of a task: task names start with it, so `calm-2.0.0.1` runs the image `calm`. */
export function getImage (task: string): string {
  return task.split('-')[0] ?? ''
}

interface Service { attempt: number, backlogMs: number, overTargetSince: number | undefined, tailSum: number, reading: number }
/** Interference of one image with another, constant up to a time. */
interface InterferencePhase { value: number, until: number }

export interface ServiceOutcome {
  /**
   * Longest time without a break that a service exceeded its latency target, ms. It is measured only at fault-free
   * moments at which best-effort work runs on the service's worker.
   */
  longestOverTargetMs: number
  /** Part of all observed time in which a service exceeded its latency target while best-effort work ran on its worker. */
  overTargetShare: number
}

const ROUNDING = { up: Math.ceil, nearest: Math.round, down: Math.floor }

/** Models the true tail latency of each service, and the inexact readings of it that workers report. */
export interface ServiceModel {
  isService (task: string): boolean
  /** Advances a service by `STEP_MS`; `running` are all tasks on its worker. */
  update (task: string, running: ReadonlyMap<string, RunningTask>, now: number, isFaultFree: boolean): void
  getReading (task: string): number | undefined
  getOutcome (): ServiceOutcome
}

/**
 * Tail latency is `unloaded / (1 - load)` plus the backlog. The load is the service's own oscillating load and the
 * interference of each best-effort task on its worker.
 */
export function createServiceModel (settings: EmulationSettings, seed: number): ServiceModel {
  const { images, target_ms: targetMs, unloaded_ms: unloadedMs, mean_load: meanLoad, swing, swing_ms: swingMs } = settings.services
  const { every_ms: readingMs, error, rounding, missing_share: missingShare } = settings.readings
  const taskShare = settings.batches.task_cores / settings.system.worker_cores
  const readings = createRandom(seed)
  const missingReadings = createRandom(seed)
  const getInterference = createInterference(settings, createRandom(seed))
  const services = new Map<string, Service>()
  const totals = { longestOverTargetMs: 0, overTargetSteps: 0, observedSteps: 0 }
  const isService = (task: string): boolean => images.includes(getImage(task))

  const computeTail = (service: Service, load: number): number => {
    service.backlogMs = Math.min(MAX_BACKLOG_MS, Math.max(0, service.backlogMs + (load - 1) * STEP_MS))
    return unloadedMs / Math.max(MIN_FREE_SHARE, 1 - load) + service.backlogMs
  }

  return {
    isService,
    update: (task, running, now, isFaultFree) => {
      const attempt = running.get(task)?.attempt ?? 0
      const known = services.get(task)
      const service = known?.attempt === attempt ? known : { attempt, backlogMs: 0, overTargetSince: undefined, tailSum: 0, reading: unloadedMs }
      services.set(task, service)
      const phase = Number(task.split('.')[0]?.split('-')[1]) / images.length
      const own = meanLoad * (1 + swing * Math.sin((now / swingMs + phase) * 2 * Math.PI))
      const bestEffortTasks = [...running.keys()].filter((other) => !isService(other))
      const tail = computeTail(service, bestEffortTasks.reduce((sum, other) => sum + getInterference(getImage(task), getImage(other), now) * taskShare, own))
      service.overTargetSince = tail > targetMs ? service.overTargetSince ?? now : undefined
      service.tailSum += tail
      if (now % readingMs < STEP_MS) {
        service.reading = ROUNDING[rounding](service.tailSum * STEP_MS / readingMs * (1 + error * (2 * readings.next() - 1)))
        service.tailSum = 0
      }
      totals.observedSteps += 1
      if (service.overTargetSince === undefined || bestEffortTasks.length === 0) return
      totals.overTargetSteps += 1
      if (isFaultFree) totals.longestOverTargetMs = Math.max(totals.longestOverTargetMs, now - service.overTargetSince)
    },
    getReading: (task) => missingShare > 0 && missingReadings.next() < missingShare ? undefined : services.get(task)?.reading,
    getOutcome: () => ({ longestOverTargetMs: totals.longestOverTargetMs, overTargetShare: totals.overTargetSteps / Math.max(1, totals.observedSteps) })
  }
}

/** Draws how much each best-effort image interferes with each service image; the value changes every few seconds and is light or heavy. */
function createInterference ({ services, batches, pressure, play }: EmulationSettings, random: Random): (service: string, bestEffortImage: string, now: number) => number {
  const endsAt = play.settle_ms + play.load_ms + AFTER_LOAD_MS
  const draw = ([least, most]: [number, number]): number => least + (most - least) * random.next()
  const [shortest, longest] = pressure.lasts_ms
  const createNext = (from: number): InterferencePhase => ({
    value: random.next() < pressure.heavy_share ? draw(pressure.heavy) : draw(pressure.light),
    until: from + shortest + random.below(Math.max(1, longest - shortest))
  })
  const pairs = new Map([...new Set(services.images)].flatMap((service) => batches.images.map((bestEffortImage): [string, InterferencePhase[]] => {
    const phases = [createNext(0)]
    while ((phases.at(-1)?.until ?? 0) < endsAt) phases.push(createNext(phases.at(-1)?.until ?? 0))
    return [`${service} ${bestEffortImage}`, phases]
  })))
  return (service, bestEffortImage, now) => pairs.get(`${service} ${bestEffortImage}`)?.find(({ until }) => until > now)?.value ?? 0
}
