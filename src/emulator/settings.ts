import { z } from 'zod'

const ms = z.number().int().positive()
const part = z.number().min(0).max(1)
const range = z.tuple([z.number().nonnegative(), z.number().nonnegative()]).refine(([least, most]) => least <= most, 'the smaller number first')
const image = z.string().regex(/^[a-z]+$/, 'small letters')

export const TROUBLE_KINDS = ['leader-cut-off', 'host-cut-off', 'one-way-cut', 'lost-messages', 'late-messages', 'late-orders', 'lost-looks'] as const

const playFields = z.strictObject({
  system: z.strictObject({
    hosts: z.number().int().min(2).max(9).default(5),
    workers: z.number().int().min(1).max(500).default(6),
    worker_cores: z.number().positive().default(32),
    /** Longest time that a service may be over its target by the work beside it. */
    over_target_ms: ms.default(4000),
    /** Stops take up to this; the time of a play is drawn below it. */
    stop_ms: ms.default(400),
    /** Messages between hosts take up to one of these longer, drawn for a play. */
    delays_ms: z.array(z.number().int().nonnegative()).min(1).default([0, 50, 150, 300])
  }).prefault({}),
  /** Lasting services with a target; their load swings, each in a phase of its own. */
  services: z.strictObject({
    images: z.array(image).min(1).default(['calm', 'touchy', 'calm', 'touchy', 'calm', 'touchy']),
    tasks: z.number().int().positive().default(4),
    cores: z.number().positive().default(5),
    target_ms: ms.default(18),
    unloaded_ms: ms.default(4),
    mean_load: part.default(0.42),
    swing: part.default(0.5),
    swing_ms: ms.default(10_000)
  }).prefault({}),
  /** Batch work that fills, at intervals of 0.4 to 1.2 s. */
  batches: z.strictObject({
    images: z.array(image).min(1).default(['red', 'green', 'blue', 'white']),
    /** A batch has three tasks and fewer than one of these more, drawn for a play. */
    largest: z.array(z.number().int().positive()).min(1).default([6, 12, 18]),
    task_cores: z.number().positive().default(3.5),
    task_ms: ms.default(2700)
  }).prefault({}),
  /** What a filling task on the whole worker adds to the load of a service, by their images; changes within seconds. */
  pressure: z.strictObject({
    heavy_share: part.default(0.35),
    light: range.default([0, 0.25]),
    heavy: range.default([1.3, 3]),
    lasts_ms: range.default([3000, 18_000])
  }).prefault({}),
  readings: z.strictObject({
    every_ms: ms.default(500),
    /** Readings are off by up to this part. */
    error: part.default(0.05)
  }).prefault({}),
  troubles: z.strictObject({
    /** Up to so many are drawn for a play; none with 0. */
    most: z.number().int().min(0).max(20).default(0),
    /** Troubles at set times, ms from the start. */
    script: z.array(z.strictObject({ kind: z.enum(TROUBLE_KINDS), at_ms: z.number().nonnegative(), for_ms: ms })).default([])
  }).prefault({}),
  play: z.strictObject({
    settle_ms: ms.default(15_000),
    load_ms: ms.default(50_000)
  }).prefault({})
})

/** Images tell services from batch work. */
function hasOwnImages ({ services, batches }: Pick<z.infer<typeof playFields>, 'services' | 'batches'>): boolean {
  return !batches.images.some((name) => services.images.includes(name))
}
const ownImages = { path: ['batches', 'images'], message: 'other images than those of services' }

/** What is played: hosts, services, batch work beside them and troubles. The defaults are the play of the fuzz test. */
export const playSchema = playFields.refine(hasOwnImages, ownImages)

export type PlaySettings = z.infer<typeof playSchema>

/** A file of an experiment: a play, its seeds, and settings of it to vary, each with its values. */
export const experimentSchema = playFields.extend({
  seeds: z.strictObject({ first: z.number().int().positive().default(1), count: z.number().int().min(1).max(5000).default(10) }).prefault({}),
  /** By path of a setting, such as `"services.mean_load"`; all combinations are played. */
  vary: z.record(z.string(), z.array(z.unknown()).min(1)).default({})
}).refine(hasOwnImages, ownImages)

export type ExperimentSettings = z.infer<typeof experimentSchema>
