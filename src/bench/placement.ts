import { createPlacement } from '../coordination/placement/index.js'
import { runPlacementModel, type ModelResult, type ModelScenario } from '../fakes/placementModel.js'
import { createGroundTruth, type ModelDeployment, type GroundTruth } from '../fakes/placementGroundTruth.js'
import { createNaivePlacement } from './placementNaive.js'
import { createOraclePlacement } from './placementOracle.js'
import { createScenarios, TALLER, WADI } from './placementScenarios.js'

export interface Figure { name: string, value: number, unit: string }

export interface PlacementBenchOptions {
  seed: number
  /** Length of each run in virtual time. */
  durationMs: number
  /** Names of the deployments and scenarios to run; all when absent. */
  deployments?: string[]
  scenarios?: string[]
}

/** Runs the naive placement, the real one and the oracle with the same workers, jobs and loads. */
export function runPlacementBench (options: PlacementBenchOptions): Figure[] {
  return [TALLER, WADI]
    .filter(({ name }) => options.deployments?.includes(name) ?? true)
    .flatMap((deployment) => {
      const truth = createGroundTruth(deployment, options.seed)
      return createScenarios(options.durationMs)
        .filter(({ name }) => options.scenarios?.includes(name) ?? true)
        .flatMap((scenario) => runScenario(options, deployment, scenario, truth))
    })
}

function runScenario (options: PlacementBenchOptions, deployment: ModelDeployment, scenario: ModelScenario, truth: GroundTruth): Figure[] {
  const model = { seed: options.seed, deployment, scenario, truth, durationMs: options.durationMs }
  const oracle = runPlacementModel(model, (view) => createOraclePlacement(view, deployment.policy.batchShare))
  const naive = runPlacementModel(model, () => createNaivePlacement())
  const real = runPlacementModel(model, () => createPlacement({ seed: options.seed }))
  const prefix = `placement.${deployment.name}.${scenario.name}`
  return [
    ...listFigures(`${prefix}.naive`, naive, oracle, options.durationMs),
    ...listFigures(`${prefix}.real`, real, oracle, options.durationMs),
    ...listFigures(`${prefix}.oracle`, oracle, oracle, options.durationMs)
  ]
}

function listFigures (prefix: string, result: ModelResult, oracle: ModelResult, durationMs: number): Figure[] {
  const oracleWindows = listWindowsWithinObjective(oracle)
  const ownWindows = listWindowsWithinObjective(result)
  const ratios = result.windows.map(({ p99Ms, objectiveMs }) => p99Ms / objectiveMs)
  const figure = (name: string, value: number, unit: string): Figure => ({ name: `${prefix}.${name}`, value: Number(value.toPrecision(4)), unit })
  return [
    figure('p99_of_objective_mean', ratios.reduce((sum, ratio) => sum + ratio, 0) / ratios.length, 'ratio'),
    figure('p99_of_objective_p99', computeQuantile(ratios, 0.99), 'ratio'),
    figure('windows_held_of_oracle', [...oracleWindows].filter((key) => ownWindows.has(key)).length / oracleWindows.size, 'ratio'),
    figure('windows_held', ownWindows.size / result.windows.length, 'ratio'),
    figure('batch_throughput_of_oracle', result.batchWork / oracle.batchWork, 'ratio'),
    figure('batch_cores_mean', result.batchWork / durationMs, 'cores'),
    figure('evictions', result.stops.length, 'tasks'),
    figure('evictions_across_members', result.stops.filter(({ decision, victimMember }) => decision.causingMember !== victimMember).length, 'tasks'),
    figure('evictions_by_rival_above_quota', result.stops.filter(({ aboveQuota }) => aboveQuota).length, 'tasks'),
    figure('urgent_start_p99', computeQuantile(result.urgentStartMs, 0.99), 'ms'),
    figure('urgent_started', result.urgentStartMs.length, 'tasks'),
    figure('failed_tasks', result.failedTasks, 'tasks'),
    figure('starts_on_failing_workers', result.startsOnFailingWorkers, 'tasks'),
    figure('guard_refusals', result.guardRefusals, 'tasks'),
    figure('overloaded_worker_ticks', result.overloadedTicks, 'ticks'),
    figure('starts', result.starts, 'tasks'),
    figure('decision_core_share', result.decideMs / durationMs * 100, '%')
  ]
}

function listWindowsWithinObjective (result: ModelResult): Set<string> {
  return new Set(result.windows.filter(({ p99Ms, objectiveMs }) => p99Ms <= objectiveMs).map(({ service, window }) => `${service}/${window}`))
}

export function computeQuantile (values: number[], quantile: number): number {
  if (values.length === 0) return 0
  const sorted = [...values].sort((one, other) => one - other)
  return sorted[Math.min(sorted.length - 1, Math.ceil(quantile * sorted.length) - 1)] as number
}
