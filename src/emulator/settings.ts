import { z } from 'zod'

const ms = z.number().int().positive()
const share = z.number().min(0).max(1)
const range = z.tuple([z.number().nonnegative(), z.number().nonnegative()]).refine(([least, most]) => least <= most, 'the smaller number first')
const image = z.string().regex(/^[a-z]+$/, 'small letters')

export const FAULT_KINDS = ['leader-cut-off', 'host-cut-off', 'one-way-cut', 'lost-messages', 'late-messages', 'late-orders', 'lost-looks'] as const

const emulationFields = z.strictObject({
  system: z.strictObject({
    hosts: z.number().int().min(2).max(9).default(5),
    workers: z.number().int().min(1).max(500).default(6),
    worker_cores: z.number().positive().default(32),
    /** Longest time that best-effort work may keep a service over its latency target. */
    over_target_ms: ms.default(4000),
    /** Upper limit of the time that a task takes to stop; each run draws one value below it. */
    stop_ms: ms.default(400),
    /** Each order to a worker waits a random time up to this for a free connection. */
    order_delay_ms: z.number().int().nonnegative().default(0),
    /** Interval at which the workers of one session host move to others and back; 0: never. */
    move_sessions_every_ms: z.number().int().nonnegative().default(0),
    /** Each run draws one of these as the longest additional delay of messages between hosts. */
    delays_ms: z.array(z.number().int().nonnegative()).min(1).default([0, 50, 150, 300])
  }).prefault({}),
  /** Long-running tasks with a latency target. Their load oscillates, each service in its own phase. */
  services: z.strictObject({
    images: z.array(image).min(1).default(['calm', 'touchy', 'calm', 'touchy', 'calm', 'touchy']),
    tasks: z.number().int().positive().default(4),
    cores: z.number().positive().default(5),
    target_ms: ms.default(18),
    unloaded_ms: ms.default(4),
    mean_load: share.default(0.42),
    swing: share.default(0.5),
    swing_ms: ms.default(10_000),
    /** Longest time after which a task fails and has to be started again; 0: tasks do not fail. */
    fail_within_ms: z.number().int().nonnegative().default(0)
  }).prefault({}),
  /** Best-effort batches, submitted at intervals of 0.4 to 1.2 s. */
  batches: z.strictObject({
    images: z.array(image).min(1).default(['red', 'green', 'blue', 'white']),
    /** Each run draws one of these as a limit; a batch has three tasks and a random number of further ones below the limit. */
    largest: z.array(z.number().int().positive()).min(1).default([6, 12, 18]),
    task_cores: z.number().positive().default(3.5),
    task_ms: ms.default(2700)
  }).prefault({}),
  /**
   * Interference: load that a best-effort task using all cores of a worker would add to a service there.
   * It depends on both images, and is drawn from `heavy` or `light` anew every few seconds.
   */
  pressure: z.strictObject({
    heavy_share: share.default(0.35),
    light: range.default([0, 0.25]),
    heavy: range.default([1.3, 3]),
    lasts_ms: range.default([3000, 18_000])
  }).prefault({}),
  readings: z.strictObject({
    every_ms: ms.default(500),
    /** Largest relative error of a reading. */
    error: share.default(0.05),
    /** How a reading is rounded to whole milliseconds. */
    rounding: z.enum(['up', 'nearest', 'down']).default('up'),
    /** Probability that a poll returns no reading of a task. */
    missing_share: share.default(0)
  }).prefault({}),
  troubles: z.strictObject({
    /** Upper limit of the random faults of a run; 0 injects none. */
    most: z.number().int().min(0).max(20).default(0),
    /** Faults at fixed times, in ms from the start. */
    script: z.array(z.strictObject({ kind: z.enum(FAULT_KINDS), at_ms: z.number().nonnegative(), for_ms: ms })).default([])
  }).prefault({}),
  play: z.strictObject({
    settle_ms: ms.default(15_000),
    load_ms: ms.default(50_000)
  }).prefault({})
})

/** Services and batch work must have different images, because the emulator tells their tasks apart by the image. */
function hasDistinctImages ({ services, batches }: Pick<z.infer<typeof emulationFields>, 'services' | 'batches'>): boolean {
  return !batches.images.some((name) => services.images.includes(name))
}
const distinctImagesRule = { path: ['batches', 'images'], message: 'other images than those of services' }

/** Settings of one emulation run: hosts, services, batch work and faults. The fuzz test of the service bound uses the defaults. */
export const emulationSchema = emulationFields.refine(hasDistinctImages, distinctImagesRule)

export type EmulationSettings = z.infer<typeof emulationSchema>

/** An experiment file: the settings of an emulation run, its seeds, and the settings to vary with the values of each. */
export const experimentSchema = emulationFields.extend({
  seeds: z.strictObject({ first: z.number().int().positive().default(1), count: z.number().int().min(1).max(5000).default(10) }).prefault({}),
  /** Values by the path of a setting, such as `"services.mean_load"`. Every combination of the values is run. */
  vary: z.record(z.string(), z.array(z.unknown()).min(1)).default({})
}).refine(hasDistinctImages, distinctImagesRule)

export type ExperimentSettings = z.infer<typeof experimentSchema>
