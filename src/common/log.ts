import { pino, type DestinationStream, type Logger as PinoLogger } from 'pino'
import * as logfmt from 'pino-logfmt'

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
