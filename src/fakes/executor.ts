import { Err, Ok, type Clock, type Result } from '../common/index.js'
import {
  EXECUTOR_HEADERS, type AnnounceFailure, type AnnouncementInput, type AnnounceReply, type Answer, type ExecutorClient,
  type ExecutorConnection, type ExecutorFailure, type ExecutorRequest
} from '../coordination/routing/index.js'

/** Behaviour of a fake executor. A change applies to requests that arrive after it. */
export interface ExecutorBehaviour {
  serviceMs (request: ExecutorRequest): number
  /** Delay between the end of a request's handler and its answer. */
  lateMs: number
  mode: ExecutorMode
}
/**
 * `truncating`: the answer ends early and the client notices. `short`: the body is shorter than its content-length.
 * `duplicating`: each answer arrives twice on its connection, so that the next request gets the previous answer.
 * `swallowing`: requests are lost before they reach a handler. `mute`: requests run, but their answers are lost.
 */
export type ExecutorMode = 'normal' | 'failing' | 'refusing' | 'truncating' | 'short' | 'duplicating' | 'swallowing' | 'mute'

export interface FakeExecutorOptions {
  clock: Clock
  id: string
  service: string
  availabilityZone: string
  rack?: string
  url?: string
  slots?: number
  connections?: number
  serviceMs?: number
  progressMs?: number
}

/** History of a fake executor, against which tests check the clients. */
export interface ExecutorRecord {
  /** Starts of a handler; `work` is the value of the request's `WORK_HEADER`. */
  runs: Array<{ work: string, at: number, member: string }>
  maxRunning: number
  maxConnections: number
}

export interface FakeExecutor {
  readonly id: string
  readonly url: string
  readonly behaviour: ExecutorBehaviour
  readonly record: ExecutorRecord
  createAnnouncement (): AnnouncementInput
  /** Runs a request and resolves with its answer, or with undefined if the process died before the answer. */
  run (request: ExecutorRequest, holder: string): Promise<Answer | undefined>
  /** Opens a connection. Once `isReachable` was false at a request or a check, the connection stays open and passes nothing any more. */
  openConnection (holder: string, isReachable?: () => boolean): Result<ExecutorConnection, ExecutorFailure>
  /** Counts connections of the lease holder that another transport, such as HTTP, has accepted or closed. */
  setConnections (holder: string, change: number): void
  /** Makes the open connections pass nothing any more without closing them. New connections work. */
  silenceConnections (): void
  setLeaving (leaving: boolean): void
  /** Ends the process with all running requests. A restart is a new incarnation. */
  crash (): void
  restart (): void
  isUp (): boolean
  countRunning (): number
  /** Sets the state of the announcer, which announcements carry. `home` is the owner: the entry host that gets them and leases the slots. */
  useAnnouncer (announcer: { home: string | undefined, homeSequence: number, echo: string | undefined }): void
}

/** Header by which a test identifies a unit of work, so that it can count how often the work ran. */
export const WORK_HEADER = 'x-work'
const CONNECT_TIMEOUT_MS = 1000
const DEFAULT_SLOTS = 8
const DEFAULT_CONNECTIONS = 60

export function createFakeExecutor (options: FakeExecutorOptions): FakeExecutor {
  const { clock, id, service, availabilityZone, rack = 'rack-1', url = `http://${id}`, slots = DEFAULT_SLOTS, connections = DEFAULT_CONNECTIONS } = options
  const serviceMs = options.serviceMs ?? 10
  const behaviour: ExecutorBehaviour = { serviceMs: () => serviceMs, lateMs: 0, mode: 'normal' }
  const record: ExecutorRecord = { runs: [], maxRunning: 0, maxConnections: 0 }
  const running = new Map<number, { holder: string, request: string }>()
  const open = new Map<string, number>()
  let sockets = new Set<{ silent: boolean, lost: () => void }>()
  let announcer: { home: string | undefined, homeSequence: number, echo: string | undefined } | undefined
  let process = 1
  let sequence = 0
  let leaving = false
  let up = true

  const run: FakeExecutor['run'] = async (request, holder) => {
    const incarnation = process
    const run = sequence++
    if (behaviour.mode === 'refusing') return createAnswer(request, 503, 'not run', { [EXECUTOR_HEADERS.notRun]: '1' })
    running.set(run, { holder, request: request.id })
    record.runs.push({ work: request.headers[WORK_HEADER] ?? '', at: clock.now(), member: request.headers[EXECUTOR_HEADERS.member] ?? '' })
    record.maxRunning = Math.max(record.maxRunning, running.size)
    const failing = behaviour.mode === 'failing'
    const { lateMs } = behaviour
    await clock.sleep(failing ? 1 : behaviour.serviceMs(request))
    if (incarnation !== process || !up) return undefined
    running.delete(run)
    if (lateMs > 0) await clock.sleep(lateMs)
    if (incarnation !== process || !up) return undefined
    return failing
      ? createAnswer(request, 500, 'failed', {})
      : createAnswer(request, 200, `${request.headers[WORK_HEADER] ?? ''} ${Buffer.from(request.body).toString()}`, {})
  }

  const setConnections = (holder: string, change: number): void => {
    open.set(holder, (open.get(holder) ?? 0) + change)
    record.maxConnections = Math.max(record.maxConnections, [...open.values()].reduce((sum, n) => sum + n, 0))
  }

  const openConnection: FakeExecutor['openConnection'] = (holder, isReachable = () => true) => {
    if (!up) return Err({ kind: 'not-sent', message: 'connection refused' })
    setConnections(holder, 1)
    const { promise: lost, resolve: resolveLost } = createDeferred<ExecutorFailure>()
    let isOpen = true
    let stale: Answer | undefined
    const socket = { silent: false, lost: () => close('connection reset') }
    sockets.add(socket)
    const close = (message: string): void => {
      if (!isOpen) return
      isOpen = false
      sockets.delete(socket)
      setConnections(holder, -1)
      resolveLost({ kind: 'connection-lost', message })
    }
    const isSilent = (): boolean => {
      socket.silent ||= !isReachable()
      return socket.silent
    }
    const exchange = async (request: ExecutorRequest): Promise<Result<Answer, ExecutorFailure>> => {
      if (!isOpen) return Err({ kind: 'not-sent', message: 'the connection is closed' })
      if (isSilent() || behaviour.mode === 'swallowing') return await createNever()
      const previous = stale
      const answer = await run(request, holder)
      if (previous !== undefined) return Ok(previous)
      if (answer === undefined || isSilent() || behaviour.mode === 'mute') return await createNever()
      if (behaviour.mode === 'truncating') return Err({ kind: 'truncated', message: 'the answer ended early' })
      if (behaviour.mode === 'short') return Ok({ ...answer, body: answer.body.subarray(1) })
      if (behaviour.mode === 'duplicating') stale = answer
      return Ok(answer)
    }
    const runUntilLost = <T>(work: Promise<Result<T, ExecutorFailure>>): Promise<Result<T, ExecutorFailure>> =>
      Promise.race([work, lost.then((failure) => Err(failure))])
    return Ok({
      check: () => runUntilLost<void>(isOpen && !isSilent() ? Promise.resolve(Ok(undefined)) : createNever()),
      send: (request) => runUntilLost(exchange(request)),
      isOpen: () => isOpen,
      close: () => close('closed by the entry host')
    })
  }

  const stopProcess = (): void => {
    up = false
    running.clear()
    const closed = [...sockets]
    sockets = new Set()
    closed.forEach((socket) => socket.lost())
  }

  return {
    id,
    url,
    behaviour,
    record,
    run,
    openConnection,
    setConnections,
    createAnnouncement: () => ({
      kind: 'executor',
      id,
      service,
      availabilityZone,
      rack,
      slots,
      connections,
      url,
      incarnation: String(process),
      homeSequence: announcer?.homeSequence ?? 0,
      echo: announcer?.echo,
      running: [...running.values()],
      openConnections: Object.fromEntries([...open].filter(([, count]) => count > 0)),
      progressMs: options.progressMs ?? 0,
      leaving
    }),
    silenceConnections: () => sockets.forEach((socket) => { socket.silent = true }),
    setLeaving: (value) => { leaving = value },
    crash: stopProcess,
    restart: () => {
      stopProcess()
      process += 1
      up = true
      leaving = false
      if (announcer !== undefined) Object.assign(announcer, { home: undefined, homeSequence: 0, echo: undefined })
    },
    isUp: () => up,
    countRunning: () => running.size,
    useAnnouncer: (value) => { announcer = value }
  }
}

/** Announces an executor to its owner, one of `listHosts`, until the returned function is called. If the owner fails, the next host becomes the owner. */
export function startAnnouncer (options: {
  clock: Clock
  executor: FakeExecutor
  listHosts (): string[]
  announce (host: string, input: AnnouncementInput): Promise<Result<AnnounceReply, AnnounceFailure> | undefined>
}): () => void {
  const { clock, executor, listHosts, announce } = options
  const state = { home: undefined as string | undefined, homeSequence: 0, echo: undefined as string | undefined }
  const control = { stopped: false }
  executor.useAnnouncer(state)

  const run = async (): Promise<void> => {
    let next = [...executor.id].reduce((sum, letter) => sum + letter.charCodeAt(0), 0)
    while (!control.stopped) {
      const hosts = listHosts()
      if (!executor.isUp() || hosts.length === 0) {
        await clock.sleep(100)
        continue
      }
      state.home ??= hosts[next++ % hosts.length] as string
      const home = state.home
      const reply = await announce(home, executor.createAnnouncement())
      if (state.home !== home) continue
      if (reply?.ok) {
        state.echo = reply.val.echo
        await clock.sleep(reply.val.renewMs)
        continue
      }
      Object.assign(state, { home: undefined, homeSequence: state.homeSequence + 1, echo: undefined })
      await clock.sleep(50)
    }
  }
  run()
  return () => { control.stopped = true }
}

/** Creates a client of fake executors that uses no sockets. `isReachable` models cuts between the client's host and an executor. */
export function createFakeExecutorClient (
  clock: Clock, delayMs: number, find: (url: string) => FakeExecutor | undefined, isReachable: (url: string) => boolean = () => true
): ExecutorClient {
  return {
    open: async (url, holder) => {
      await clock.sleep(isReachable(url) ? delayMs : CONNECT_TIMEOUT_MS)
      if (!isReachable(url)) return Err({ kind: 'not-sent', message: 'no reply to the connect' })
      return find(url)?.openConnection(holder, () => isReachable(url)) ?? Err({ kind: 'not-sent', message: 'connection refused' })
    }
  }
}

/** Wraps a client so that it gets its results only while its process runs. `closeAll` closes its connections, as the kernel does when the process ends. */
export function createGatedClient (client: ExecutorClient, gate: { wait (): Promise<void> }): ExecutorClient & { closeAll (): void } {
  const open = new Set<ExecutorConnection>()
  const delayUntilRunning = async <T>(work: Promise<T>): Promise<T> => {
    const value = await work
    await gate.wait()
    return value
  }
  return {
    open: async (url, holder) => {
      const opened = await client.open(url, holder)
      if (opened.ok) open.add(opened.val)
      await gate.wait()
      if (!opened.ok) return opened
      const connection = opened.val
      return Ok({
        check: () => delayUntilRunning(connection.check()),
        send: (request, onProgress) => delayUntilRunning(connection.send(request, onProgress)),
        isOpen: connection.isOpen,
        close: connection.close
      })
    },
    closeAll: () => open.forEach((connection) => connection.close())
  }
}

function createAnswer (request: ExecutorRequest, status: number, text: string, headers: Record<string, string>): Answer {
  const body = Buffer.from(text)
  return { status, headers: { ...headers, 'content-length': String(body.length), [EXECUTOR_HEADERS.request]: request.id }, body }
}

function createDeferred<T> (): { promise: Promise<T>, resolve: (value: T) => void } {
  let resolve: (value: T) => void = () => {}
  const promise = new Promise<T>((_resolve) => { resolve = _resolve })
  return { promise, resolve }
}

function createNever<T> (): Promise<T> {
  return new Promise(() => {})
}
