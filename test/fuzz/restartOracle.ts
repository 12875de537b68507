import { getIncarnationKey, getWorkMs, isLasting, listIdle, RECOVERY_MS, type Played } from './restartPlays.js'

export interface RunSpan { task: string, attempt: number, worker: string, incarnation: number, from: number, until: number, cause: string | undefined, isAcknowledged: boolean }

/** The runs of all workers in the order of their starts. What a worker without a process seems to do has not happened. */
export function listRuns ({ site, restarts }: Played): RunSpan[] {
  const events = site.fleet.events.flatMap((event, position) => {
    const own = restarts.filter(({ worker }) => worker === event.worker)
    const incarnation = own.filter(({ until }) => until <= position).length
    const isDown = own.some(({ from, until }) => from <= position && position < until)
    return isDown ? [] : [{ ...event, incarnation, key: `${event.worker} ${incarnation} ${event.task} ${event.attempt}` }]
  })
  const ends = new Map(events.filter(({ kind }) => kind === 'ended' || kind === 'lost').map((event) => [event.key, event]))
  // An end counts as acknowledged unless the lease of its worker has lapsed in between: nobody could know of it while its task had to go on.
  const acknowledged = new Set(events.filter((event) => event.kind === 'acknowledged' && event.cause === 'succeeded' && (ends.get(event.key)?.at ?? Infinity) > (event.lapsedAt ?? -Infinity)).map(({ key }) => key))
  return events.filter(({ kind }) => kind === 'started').map(({ key, task, attempt, worker, incarnation, at }) => {
    const end = ends.get(key)
    return { task, attempt, worker, incarnation, from: at, until: end?.at ?? Infinity, cause: end?.cause ?? end?.kind, isAcknowledged: acknowledged.has(key) }
  }).toSorted((a, b) => a.from - b.from)
}

/** Tells also whether the run was started before its incarnation answered a poll: an order for a former one is refused only from then on. */
function renderRun ({ polledAt }: Played, { attempt, worker, incarnation, from, until, cause, isAcknowledged }: RunSpan): string {
  const key = getIncarnationKey(worker, incarnation)
  const isPolled = (polledAt.get(key) ?? Infinity) <= from
  return `attempt ${attempt} on ${key}${isPolled ? '' : ', not polled before,'} from ${Math.round(from)} to ${Math.round(until)} (${cause ?? 'running'}${isAcknowledged ? ', acknowledged' : ''})`
}

export const CLASSES = ['overlapping runs', 'started after success', 'unfinished', 'repeated attempt'] as const
export type FailureClass = typeof CLASSES[number]
export type Broken = Record<FailureClass, string[]>

/** The promises that a play has broken, in words. */
export function listBroken (played: Played): Broken {
  const { site: { fleet }, jobs, completedAt, healedAt } = played
  const runs = listRuns(played)
  const byTask = [...new Set(runs.map(({ task }) => task))].map((task) => [task, runs.filter((run) => run.task === task)] as const)
  const listTasks = (isBroken: (run: RunSpan, earlier: RunSpan) => boolean): string[] => byTask
    .filter(([, taskRuns]) => taskRuns.some((run, index) => taskRuns.slice(0, index).some((earlier) => isBroken(run, earlier))))
    .map(([task, taskRuns]) => `${task}: ${taskRuns.map((run) => renderRun(played, run)).join('; ')}`)
  const renderRuns = (id: string): string => runs.filter(({ task }) => task.startsWith(`${id}.`)).map((run) => `${run.task} ${renderRun(played, run)}`).join('; ')
  return {
    'overlapping runs': listTasks((run, earlier) => earlier.until > run.from),
    'started after success': listTasks((run, earlier) => earlier.cause === 'succeeded' && earlier.isAcknowledged && earlier.until <= run.from),
    unfinished: [...jobs].flatMap(([id, job]) => {
      if (isLasting(job)) return listIdle(fleet, id, job).map((task) => `${task} does not run at the end: ${renderRuns(id)}`)
      const doneAt = completedAt.get(id) ?? Infinity
      return doneAt > healedAt + RECOVERY_MS + getWorkMs(job) ? [`${id} is completed at ${doneAt}, the faults ended at ${healedAt}: ${renderRuns(id)}`] : []
    }),
    'repeated attempt': listTasks((run, earlier) => run.attempt === earlier.attempt && (run.worker !== earlier.worker || run.incarnation === earlier.incarnation))
  }
}
