import { DEFAULT_PRESETS, type Policy } from '../state/index.js'
import type { ModelDeployment } from '../fakes/placementGroundTruth.js'
import type { ModelScenario } from '../fakes/placementModel.js'

const GB = 1e9
const ORDINARY = DEFAULT_PRESETS['ordinary'] as Policy

/** Gives tail latency the highest weight, because a quote is often needed for a funeral. */
export const TALLER: ModelDeployment = {
  name: 'taller',
  workers: 30,
  rackSize: 8,
  capacity: { cores: 32, memoryBytes: 125 * GB, accelerators: 0 },
  services: 10,
  replicas: 6,
  classes: 8,
  members: [{ id: 'taller', quotaShare: 0.7 }, { id: 'parish-records', quotaShare: 0.3 }],
  policy: { ...ORDINARY, tailLatencyWeight: 2 }
}

/** Gives evictions the highest weight. Its members compete, and some of them are above their quotas at times. */
export const WADI: ModelDeployment = {
  name: 'wadi',
  workers: 45,
  rackSize: 11,
  capacity: { cores: 64, memoryBytes: 250 * GB, accelerators: 0 },
  services: 12,
  replicas: 8,
  classes: 10,
  members: [{ id: 'clones', quotaShare: 0.4 }, { id: 'rooting', quotaShare: 0.25 }, { id: 'misting', quotaShare: 0.2 }, { id: 'cabinets', quotaShare: 0.1 }, { id: 'newcomer', quotaShare: 0.05 }],
  policy: { ...ORDINARY, evictionWeight: 3 }
}

export function createScenarios (durationMs: number): ModelScenario[] {
  const getDayLoad = (service: number, now: number): number =>
    0.45 + 0.12 * Math.sin(2 * Math.PI * (now / durationMs + service / 7))
  // A load wave rises within 8 s and lasts 90 s. It starts 40 s apart in three groups of services.
  const getWaveLoad = (service: number, now: number): number => {
    const phase = (now + (service % 3) * 40_000) % 240_000
    const rise = Math.min(1, phase / 8000) * (phase < 90_000 ? 1 : Math.max(0, 1 - (phase - 90_000) / 8000))
    return getDayLoad(service, now) * 0.85 + 0.35 * rise
  }
  const ordinary: ModelScenario = { name: 'ordinary', getLoad: getDayLoad, misdeclaredShare: 0, urgentEveryMs: 10_000 }
  const computeTickAt = (fraction: number): number => Math.round(durationMs * fraction / 1000) * 1000
  return [
    ordinary,
    { ...ordinary, name: 'waves', getLoad: getWaveLoad },
    { ...ordinary, name: 'wrong-sizes', misdeclaredShare: 0.5 },
    { ...ordinary, name: 'rack-lost', lostRack: { rack: 'rack-1', from: computeTickAt(0.4), to: computeTickAt(0.7) } },
    { ...ordinary, name: 'cancellations', cancellationsAt: [computeTickAt(0.3), computeTickAt(0.5), computeTickAt(0.8)] },
    { ...ordinary, name: 'failing-workers', failingWorkers: 0.1 }
  ]
}
