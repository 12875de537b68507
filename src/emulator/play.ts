import { createRandom } from '../common/index.js'
import type { RunEvent } from '../fakes/runWorker.js'
import { createEmulatedHosts } from './hosts.js'
import { createServiceModel, getImage, STEP_MS, type ServiceOutcome } from './services.js'
import type { PlaySettings } from './settings.js'
import { createTroubles } from './troubles.js'

/** A batch is on time within this many times the run of one task. */
const OBJECTIVE_RUNS = 3
const SMALLEST_BATCH = 3
/** Between two batches pass so many steps at least, and up to so many more. */
const LEAST_GAP_STEPS = 4
const MORE_GAP_STEPS = 9
const MEMORY_MB = 100

/** What one play did to services and callers. */
export interface PlayOutcome extends ServiceOutcome {
  batches: number
  onTime: number
  stops: number
  /** What was disturbed, and from when to when. */
  troubles: string[]
}

interface Submitted { at: number, count: number }

/** Plays batch work in waves beside services whose loads swing, in virtual time; all that is drawn comes from the seed. */
export async function runEmulation (settings: PlaySettings, seed: number): Promise<PlayOutcome> {
  const { system, services, batches, play, troubles: planned } = settings
  const random = createRandom(seed)
  const hosts = await createEmulatedHosts({
    names: Array.from({ length: system.hosts }, (_, index) => `h${index + 1}`),
    workers: system.workers,
    workerCores: system.worker_cores,
    serviceBound: { overTargetMs: system.over_target_ms, stopMs: system.stop_ms },
    seed
  })
  const { clock, fleet, network } = hosts
  const model = createServiceModel(settings, seed)
  fleet.stopMs = random.below(system.stop_ms)
  fleet.plan = (task) => model.isService(task) ? { runMs: 0, result: 'never' } : { runMs: batches.task_ms, result: 'succeeded' }
  fleet.measure = (task) => model.getReading(task)
  const delayMs = random.pick(system.delays_ms)
  const links = { loss: 0, duplication: 0, maxDelayMs: planned.most === 0 ? delayMs : 0 }
  const troubles = createTroubles(hosts, createRandom(seed), settings, links)
  network.setFaults(links)

  const run = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      troubles.update(clock.now())
      await clock.advance(STEP_MS)
      const isCalm = troubles.isCalm(clock.now())
      fleet.workers.forEach(({ running }) => [...running.keys()].filter(model.isService).forEach((task) => model.update(task, running, clock.now(), isCalm)))
    }
  }

  services.images.forEach((image, number) => hosts.submit(`${image}-${number}`, [{ count: services.tasks, cores: services.cores, memoryMb: MEMORY_MB, lasting: true, image, tailTargetMs: services.target_ms }]))
  await run(play.settle_ms)
  const submitted = new Map<string, Submitted>()
  const largest = random.pick(batches.largest)
  for (const until = clock.now() + play.load_ms; clock.now() < until;) {
    const id = `${random.pick(batches.images)}-${submitted.size}`
    const count = SMALLEST_BATCH + random.below(largest)
    submitted.set(id, { at: clock.now(), count })
    hosts.submit(id, [{ count, cores: batches.task_cores, memoryMb: MEMORY_MB, fills: true, image: getImage(id), expectedRunMs: batches.task_ms }])
    await run(STEP_MS * (LEAST_GAP_STEPS + random.below(MORE_GAP_STEPS)))
  }
  const objectiveMs = OBJECTIVE_RUNS * batches.task_ms
  await run(objectiveMs)
  const outcome = summarizeBatches(fleet.events, submitted, objectiveMs)
  await hosts.stop()
  return { ...model.getOutcome(), ...outcome, troubles: troubles.kinds }
}

function summarizeBatches (events: readonly RunEvent[], submitted: ReadonlyMap<string, Submitted>, objectiveMs: number): Pick<PlayOutcome, 'batches' | 'onTime' | 'stops'> {
  const ends = events.filter(({ kind }) => kind === 'ended')
  const onTime = [...submitted].filter(([id, { at, count }]) => {
    const done = ends.filter(({ task, cause }) => cause === 'succeeded' && task.startsWith(`${id}.`))
    return done.length === count && Math.max(...done.map((end) => end.at)) - at <= objectiveMs
  })
  return { batches: submitted.size, onTime: onTime.length, stops: ends.filter(({ cause }) => cause === 'stopped').length }
}
