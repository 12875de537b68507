import { pino, type DestinationStream, type Logger as PinoLogger } from 'pino'
import * as logfmt from 'pino-logfmt'

const STANDARD_OUTPUT = 1
const STANDARD_ERROR = 2

// The package's type declarations omit its default export.
const { default: createLogfmtStream } = logfmt as unknown as {
  default: (options: logfmt.LogFmtTransportOptions) => Promise<DestinationStream>
}

export type LogFields = Record<string, string | number | boolean | undefined>

/** One line of key=value pairs for each event. */
export interface Logger {
  info (event: string, fields?: LogFields): void
  warn (event: string, fields?: LogFields): void
  error (event: string, fields?: LogFields): void
  /** A logger that adds `fields` to every line. */
  child (fields: LogFields): Logger
}

export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent'

export async function createLogger (level: LogLevel, fields: LogFields = {}): Promise<Logger> {
  // An in-process stream, because a pino transport would start a worker thread.
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

/** Bytes that may wait for a reader that stalls; later lines are dropped and counted. */
const MAX_WAITING_BYTES = 256 * 1024
/** Lines of one event in a second; more of them are counted and the number is logged with the next second's first line. */
const DEFAULT_EVENT_LINES_PER_SECOND = 100

interface LineBudget { second: number, lines: number, suppressed: number }

/**
 * Writes to standard output without ever waiting for its reader. The rate of each event is bounded, so that a
 * burst cannot spend the processor on logs.
 */
export function createBoundedLogger (clock: { now (): number, wall (): number }, fields: LogFields = {}, linesPerSecond = DEFAULT_EVENT_LINES_PER_SECOND): Logger & { close (): void } {
  const destination = pino.destination({ dest: STANDARD_OUTPUT, sync: false, minLength: 0, maxLength: MAX_WAITING_BYTES })
  // A reader that has gone must not end the process.
  destination.on('error', () => {})
  const budgets = new Map<string, LineBudget>()

  const takeSuppressed = (event: string): number | undefined => {
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
      const suppressed = takeSuppressed(event)
      if (suppressed === undefined) return
      const counted = suppressed > 0 ? ` suppressed=${suppressed}` : ''
      destination.write(`time=${new Date(clock.wall()).toISOString()} level=${level} event=${event}${common}${formatFields(own)}${counted}\n`)
    }
    return { info: write('info'), warn: write('warn'), error: write('error'), child: (more) => createChild(common + formatFields(more)) }
  }

  return { ...createChild(formatFields(fields)), close: () => closeLines(destination) }
}

/** The last lines of a process are worth a try; before the first line there is nothing to flush. */
function closeLines (destination: { flushSync (): void }): void {
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

/** A logger for tests and for embedding; it writes nothing. */
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
