import { createRandom, type Clock, type Random } from '../common/index.js'
import type { WorkerClient } from '../coordination/workflows/index.js'
import type { RunEvent, RunPlan } from '../fakes/runFleet.js'
import { createEmulatedHosts } from './hosts.js'
import { createServiceModel, getImage, STEP_MS, type ServiceOutcome } from './serviceModel.js'
import type { EmulationSettings } from './settings.js'
import { createFaultSchedule } from './faultSchedule.js'

/** A batch is on time if all its tasks succeed within this many times the run time of one task. */
const OBJECTIVE_FACTOR = 3
const MIN_BATCH_TASKS = 3
/** Between two batches pass `MIN_GAP_STEPS` and a random number of further steps below `GAP_SPREAD_STEPS`. */
const MIN_GAP_STEPS = 4
const GAP_SPREAD_STEPS = 9
const TASK_MEMORY_MB = 100

/** Results of one run: latency of the services, and punctuality of the batches. */
export interface EmulationOutcome extends ServiceOutcome {
  batches: number
  onTime: number
  stops: number
  /** Injected faults as `kind@from-until`, in ms of virtual time. */
  troubles: string[]
}

interface SubmittedBatch { at: number, count: number }

/**
 * Runs bursts of best-effort work beside services with oscillating load, in virtual time.
 * All random values derive from the seed, so that a run can be repeated.
 */
export async function runEmulation (settings: EmulationSettings, seed: number): Promise<EmulationOutcome> {
  const { system, services, batches, play, troubles: faultSettings } = settings
  const random = createRandom(seed)
  const hosts = await createEmulatedHosts({
    names: Array.from({ length: system.hosts }, (_, index) => `h${index + 1}`),
    workers: system.workers,
    workerCores: system.worker_cores,
    serviceBound: { overTargetMs: system.over_target_ms, stopMs: system.stop_ms },
    seed,
    ...system.order_delay_ms > 0 && { useClient: (clock: Clock, client: WorkerClient) => createDelayedClient(clock, client, createRandom(seed), system.order_delay_ms) }
  })
  const { clock, fleet, network } = hosts
  const failures = createRandom(seed)
  const model = createServiceModel(settings, seed)
  fleet.stopMs = random.below(system.stop_ms)
  const planService = (): RunPlan => services.fail_within_ms === 0
    ? { runMs: 0, result: 'never' }
    : { runMs: failures.below(services.fail_within_ms), result: 'failed', isLasting: true }
  fleet.plan = (task) => model.isService(task) ? planService() : { runMs: batches.task_ms, result: 'succeeded' }
  fleet.measure = (task) => model.getReading(task)
  const delayMs = random.pick(system.delays_ms)
  const links = { loss: 0, duplication: 0, maxDelayMs: faultSettings.most === 0 ? delayMs : 0 }
  const faults = createFaultSchedule(hosts, createRandom(seed), settings, links)
  network.setFaults(links)

  let moveAt = system.move_sessions_every_ms === 0 ? Infinity : play.settle_ms
  /** Takes the workers of one session host away from it; the leader gives them back soon afterwards. */
  const moveSessions = (): void => {
    if (clock.now() < moveAt) return
    moveAt = clock.now() + system.move_sessions_every_ms
    const { sessionHosts } = hosts.log.state().workflows
    const leaving = random.below(sessionHosts.length)
    hosts.propose({ kind: 'sessions.divide', hosts: sessionHosts.filter((_, index) => index !== leaving) })
  }

  const run = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      faults.update(clock.now())
      moveSessions()
      await clock.advance(STEP_MS)
      const isFaultFree = faults.isFaultFree(clock.now())
      fleet.workers.forEach(({ running }) => [...running.keys()].filter(model.isService).forEach((task) => model.update(task, running, clock.now(), isFaultFree)))
    }
  }

  services.images.forEach((image, number) => hosts.submit(`${image}-${number}`, [{ count: services.tasks, cores: services.cores, memoryMb: TASK_MEMORY_MB, lasting: true, image, tailTargetMs: services.target_ms }]))
  await run(play.settle_ms)
  const submitted = new Map<string, SubmittedBatch>()
  const extraTasksLimit = random.pick(batches.largest)
  for (const until = clock.now() + play.load_ms; clock.now() < until;) {
    const id = `${random.pick(batches.images)}-${submitted.size}`
    const count = MIN_BATCH_TASKS + random.below(extraTasksLimit)
    submitted.set(id, { at: clock.now(), count })
    hosts.submit(id, [{ count, cores: batches.task_cores, memoryMb: TASK_MEMORY_MB, fills: true, image: getImage(id), expectedRunMs: batches.task_ms }])
    await run(STEP_MS * (MIN_GAP_STEPS + random.below(GAP_SPREAD_STEPS)))
  }
  const objectiveMs = OBJECTIVE_FACTOR * batches.task_ms
  await run(objectiveMs)
  const outcome = summarizeBatches(fleet.events, submitted, objectiveMs)
  await hosts.stop()
  return { ...model.getOutcome(), ...outcome, troubles: faults.descriptions }
}

/** Delays each order, as one that waits for a free connection to the worker. Polls have a connection of their own. */
function createDelayedClient (clock: Clock, client: WorkerClient, random: Random, delayMs: number): WorkerClient {
  const waitForConnection = (): Promise<void> => clock.sleep(random.below(delayMs))
  return {
    start: (worker, order, deadline) => waitForConnection().then(() => client.start(worker, order, deadline)),
    stop: (worker, order, deadline) => waitForConnection().then(() => client.stop(worker, order, deadline)),
    poll: client.poll
  }
}

function summarizeBatches (events: readonly RunEvent[], submitted: ReadonlyMap<string, SubmittedBatch>, objectiveMs: number): Pick<EmulationOutcome, 'batches' | 'onTime' | 'stops'> {
  const ends = events.filter(({ kind }) => kind === 'ended')
  const onTime = [...submitted].filter(([id, { at, count }]) => {
    const done = ends.filter(({ task, cause }) => cause === 'succeeded' && task.startsWith(`${id}.`))
    return done.length === count && Math.max(...done.map((end) => end.at)) - at <= objectiveMs
  })
  return { batches: submitted.size, onTime: onTime.length, stops: ends.filter(({ cause }) => cause === 'stopped').length }
}
