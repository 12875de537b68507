import { createRandom, type Random } from '../common/index.js'
import type { RunningTask } from '../fakes/runWorker.js'
import type { PlaySettings } from './settings.js'

export const STEP_MS = 100
/** A saturated service leaves work undone up to this, and catches up later. */
const MAX_BACKLOG_MS = 1500
/** Phases of pressures are drawn for so long after the load. */
const END_MS = 25_000
const LEAST_FREE_SHARE = 0.02

/** `calm-2.0.0.1` runs the image calm. */
export function getImage (task: string): string {
  return task.split('-')[0] ?? ''
}

interface Service { backlogMs: number, overSince: number | undefined, sum: number, reading: number }
interface Pressure { value: number, until: number }

export interface ServiceOutcome {
  /** Longest time that a service was over its target on end, up to a calm moment at which work that fills was beside it, ms. */
  longestMs: number
  /** Part of their time that services were over their targets beside work that fills. */
  harmedShare: number
}

/** The tails of all services, as their users see them, and the rough readings that workers take of them. */
export interface ServiceModel {
  isService (task: string): boolean
  /** Takes the next `STEP_MS` of a service beside what runs on its worker. */
  update (task: string, running: ReadonlyMap<string, RunningTask>, now: number, isCalm: boolean): void
  getReading (task: string): number | undefined
  getOutcome (): ServiceOutcome
}

/** A tail is `unloaded / (1 - load)`; the load is the service's own swing and the pressure of each neighbour. */
export function createServiceModel (settings: PlaySettings, seed: number): ServiceModel {
  const { images, target_ms: targetMs, unloaded_ms: unloadedMs, mean_load: meanLoad, swing, swing_ms: swingMs } = settings.services
  const { every_ms: readingMs, error } = settings.readings
  const taskShare = settings.batches.task_cores / settings.system.worker_cores
  const readings = createRandom(seed)
  const getPressure = createPressures(settings, createRandom(seed))
  const services = new Map<string, Service>()
  const seen = { longestMs: 0, harmed: 0, watched: 0 }
  const isService = (task: string): boolean => images.includes(getImage(task))

  const computeTail = (service: Service, load: number): number => {
    service.backlogMs = Math.min(MAX_BACKLOG_MS, Math.max(0, service.backlogMs + (load - 1) * STEP_MS))
    return unloadedMs / Math.max(LEAST_FREE_SHARE, 1 - load) + service.backlogMs
  }

  return {
    isService,
    update: (task, running, now, isCalm) => {
      const service = services.get(task) ?? { backlogMs: 0, overSince: undefined, sum: 0, reading: unloadedMs }
      services.set(task, service)
      const phase = Number(task.split('.')[0]?.split('-')[1]) / images.length
      const own = meanLoad * (1 + swing * Math.sin((now / swingMs + phase) * 2 * Math.PI))
      const fills = [...running.keys()].filter((other) => !isService(other))
      const tail = computeTail(service, fills.reduce((sum, other) => sum + getPressure(getImage(task), getImage(other), now) * taskShare, own))
      service.overSince = tail > targetMs ? service.overSince ?? now : undefined
      service.sum += tail
      if (now % readingMs < STEP_MS) {
        service.reading = Math.ceil(service.sum * STEP_MS / readingMs * (1 + error * (2 * readings.next() - 1)))
        service.sum = 0
      }
      seen.watched += 1
      if (service.overSince === undefined || fills.length === 0) return
      seen.harmed += 1
      if (isCalm) seen.longestMs = Math.max(seen.longestMs, now - service.overSince)
    },
    getReading: (task) => services.get(task)?.reading,
    getOutcome: () => ({ longestMs: seen.longestMs, harmedShare: seen.harmed / Math.max(1, seen.watched) })
  }
}

/** A filling image disturbs a service image by an amount that changes within seconds: most of the time little, at times much. */
function createPressures ({ services, batches, pressure, play }: PlaySettings, random: Random): (service: string, fill: string, now: number) => number {
  const endsAt = play.settle_ms + play.load_ms + END_MS
  const draw = ([least, most]: [number, number]): number => least + (most - least) * random.next()
  const [shortest, longest] = pressure.lasts_ms
  const createNext = (from: number): Pressure => ({
    value: random.next() < pressure.heavy_share ? draw(pressure.heavy) : draw(pressure.light),
    until: from + shortest + random.below(Math.max(1, longest - shortest))
  })
  const pairs = new Map([...new Set(services.images)].flatMap((service) => batches.images.map((fill): [string, Pressure[]] => {
    const phases = [createNext(0)]
    while ((phases.at(-1)?.until ?? 0) < endsAt) phases.push(createNext(phases.at(-1)?.until ?? 0))
    return [`${service} ${fill}`, phases]
  })))
  return (service, fill, now) => pairs.get(`${service} ${fill}`)?.find(({ until }) => until > now)?.value ?? 0
}
