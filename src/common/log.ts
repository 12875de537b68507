import { pino, type DestinationStream, type Logger as PinoLogger } from 'pino'
import * as logfmt from 'pino-logfmt'

const STANDARD_OUTPUT = 1
const STANDARD_ERROR = 2

// The package's type declarations omit its default export.
const { default: createLogfmtStream } = logfmt as unknown as {
  default: (options: logfmt.LogFmtTransportOptions) => Promise<DestinationStream>
}

export type LogFields = Record<string, string | number | boolean | undefined>

/** Writes one line of key=value pairs for each event. */
export interface Logger {
  info (event: string, fields?: LogFields): void
  warn (event: string, fields?: LogFields): void
  error (event: string, fields?: LogFields): void
  /** A logger that adds `fields` to every line. */
  child (fields: LogFields): Logger
}

export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent'

export async function createLogger (level: LogLevel, fields: LogFields = {}): Promise<Logger> {
  // The stream is created in this thread, because a pino transport would start a worker thread.
  const stream = await createLogfmtStream({
    destination: STANDARD_ERROR,
    sync: true,
    formatTime: true,
    timeFormat: 'isoUtcDateTime',
    escapeMultilineStrings: true,
    flattenNestedObjects: true
  })
  const options = { level, base: null, messageKey: 'event', formatters: { level: (label: string) => ({ level: label }) } }
  return createPinoLogger(pino(options, stream).child(fields))
}

/** Maximum of buffered bytes while the reader of standard output stalls. Further lines are dropped. */
const MAX_BUFFERED_BYTES = 256 * 1024
/** Maximum of lines per event and second. Further lines are dropped; the first line of a later second states their number as `suppressed`. */
const DEFAULT_LINES_PER_EVENT_PER_SECOND = 100

export interface RateLimitedLoggerOptions {
  linesPerSecond?: number
  /** Takes the lines and emits `drop`, before `write` returns, for one that it does not keep; standard output by default. */
  destination?: LogDestination
}

export interface LogDestination {
  write (line: string): unknown
  flushSync (): void
  on (event: 'error' | 'drop', listener: () => void): unknown
}

interface LineBudget { second: number, lines: number, suppressed: number }

/**
 * Creates a logger that writes to standard output and never waits for its reader. Each event has a limit of lines per second,
 * so that a burst of events takes little CPU time for logging. Lines that a full buffer drops are counted too: the next line
 * states their number as `dropped`.
 */
export function createRateLimitedLogger (clock: { now (): number, wall (): number }, fields: LogFields = {}, options: RateLimitedLoggerOptions = {}): Logger & { close (): void } {
  const { linesPerSecond = DEFAULT_LINES_PER_EVENT_PER_SECOND } = options
  const destination = options.destination ?? pino.destination({ dest: STANDARD_OUTPUT, sync: false, minLength: 0, maxLength: MAX_BUFFERED_BYTES })
  // The process must not end when the reader of standard output closes the pipe.
  destination.on('error', () => {})
  /** Lines that were dropped at a full buffer since the last line that was not. */
  let dropped = 0
  let hasDropped = false
  destination.on('drop', () => { hasDropped = true })
  const budgets = new Map<string, LineBudget>()

  const countLine = (event: string): number | undefined => {
    const second = Math.floor(clock.now() / 1000)
    const budget = budgets.get(event) ?? { second, lines: 0, suppressed: 0 }
    budgets.set(event, budget)
    const suppressed = budget.second === second ? 0 : budget.suppressed
    if (budget.second !== second) Object.assign(budget, { second, lines: 0, suppressed: 0 })
    budget.lines += 1
    if (budget.lines <= linesPerSecond) return suppressed
    budget.suppressed += 1
    return undefined
  }

  const createChild = (common: string): Logger => {
    const write = (level: string) => (event: string, own: LogFields = {}): void => {
      const suppressed = countLine(event)
      if (suppressed === undefined) return
      const counted = (suppressed > 0 ? ` suppressed=${suppressed}` : '') + (dropped > 0 ? ` dropped=${dropped}` : '')
      hasDropped = false
      destination.write(`time=${new Date(clock.wall()).toISOString()} level=${level} event=${event}${common}${formatFields(own)}${counted}\n`)
      dropped = hasDropped ? dropped + 1 : 0
    }
    return { info: write('info'), warn: write('warn'), error: write('error'), child: (more) => createChild(common + formatFields(more)) }
  }

  return { ...createChild(formatFields(fields)), close: () => writeBufferedLines(destination) }
}

/** Writes the buffered lines before the process ends. A failure, for instance before the first line, is only reported. */
function writeBufferedLines (destination: { flushSync (): void }): void {
  try {
    destination.flushSync()
  } catch (error) {
    console.error(`log lines were lost: ${error instanceof Error ? error.message : 'unknown error'}`)
  }
}

function formatFields (fields: LogFields): string {
  return Object.entries(fields).map(([key, value]) => value === undefined ? '' : ` ${key}=${formatValue(value)}`).join('')
}

function formatValue (value: string | number | boolean): string {
  const text = String(value)
  return /[\s"=]/.test(text) || text === '' ? JSON.stringify(text) : text
}

/** Creates a logger that writes nothing, for tests and for embedding. */
export function createSilentLogger (): Logger {
  const logger: Logger = { info: () => {}, warn: () => {}, error: () => {}, child: () => logger }
  return logger
}

function createPinoLogger (logger: PinoLogger): Logger {
  return {
    info: (event, fields) => logger.info(fields ?? {}, event),
    warn: (event, fields) => logger.warn(fields ?? {}, event),
    error: (event, fields) => logger.error(fields ?? {}, event),
    child: (fields) => createPinoLogger(logger.child(fields))
  }
}
