import 'reflect-metadata'
import { STATUS_CODES, type RequestListener } from 'node:http'
import type { Socket } from 'node:net'
import { Catch, HttpException, Module, type ArgumentsHost, type DynamicModule, type ExceptionFilter } from '@nestjs/common'
import { NestFactory } from '@nestjs/core'
import { FastifyAdapter, type NestFastifyApplication } from '@nestjs/platform-fastify'
import { createNoopMetrics, createSystemClock, type Logger, type Metrics } from '../../common/index.js'
import { createFailure, HTTP_STATUS, type ApiFailure, type ApiFailureKind, type EntryHost } from '../../protocol/index.js'
import { computeProcessLimits, type MachineLimits } from '../connectionLimit.js'
import { createGuardedServer } from '../guardedServer.js'
import { createRequestGuard, getReceivedBody, type AnsweredRefusal } from '../requestGuard.js'
import { FailureException, type HttpReply } from './requestHelpers.js'
import { OperationsController } from './operations.js'
import { RequestsController } from './requests.js'
import { ENTRY_HOST } from './injectionTokens.js'
import { WorkController } from './work.js'

/** Size limit of a request body. */
export const MAX_BODY_BYTES = 1024 * 1024
const REQUEST_ARRIVAL_TIMEOUT_MS = 15_000
const KEEP_ALIVE_TIMEOUT_MS = 75_000
/** Interval at which Node.js looks for requests that did not arrive in time; with its default of 30 s a request could take twice the time allowed. */
const ARRIVAL_CHECK_INTERVAL_MS = 1_000

/** Machine of a host whose settings do not describe it. */
const DEFAULT_MACHINE: MachineLimits = { memoryMb: 1024, maxFds: 4096 }
const MAX_HEADER_BYTES = 16 * 1024

export interface HttpServerOptions {
  host: string
  port: number
  entryHost: EntryHost
  logger: Logger
  /** Time in which a request must arrive completely, ms; later it is answered with status 408. */
  arrivalMs?: number
  metrics?: Metrics
  /** Memory and descriptors, from which the limits on connections and on bytes of bodies are derived. */
  machine?: MachineLimits
}

export interface HttpServer {
  /** Stops listening, waits for requests in flight and closes idle connections. */
  close (): Promise<void>
}

export async function openHttpServer ({ host, port, entryHost, logger, arrivalMs = REQUEST_ARRIVAL_TIMEOUT_MS, metrics = createNoopMetrics(), machine = DEFAULT_MACHINE }: HttpServerOptions): Promise<HttpServer> {
  const processLimits = computeProcessLimits(machine)
  const guard = createRequestGuard({ clock: createSystemClock(), logger, metrics, bodyBytes: processLimits.bodyBytes })
  const limits = { maxHeaderBytes: MAX_HEADER_BYTES, maxBodyBytes: MAX_BODY_BYTES, headerTimeoutMs: arrivalMs, idleTimeoutMs: KEEP_ALIVE_TIMEOUT_MS }
  const adapter = new FastifyAdapter({
    serverFactory: (handler: RequestListener) => createGuardedServer({
      guard,
      name: 'api',
      maxConnections: processLimits.requestConnections,
      getLimits: () => limits,
      describeRefusal,
      http: { requestTimeout: arrivalMs, headersTimeout: arrivalMs, connectionsCheckingInterval: Math.min(ARRIVAL_CHECK_INTERVAL_MS, arrivalMs) }
    }, handler),
    clientErrorHandler: rejectConnection,
    forceCloseConnections: 'idle',
    routerOptions: { maxParamLength: 128 }
  })
  const app = await NestFactory.create<NestFastifyApplication>(createHttpModule(entryHost), adapter, { bodyParser: false, logger: false })
  const fastify = app.getHttpAdapter().getInstance()
  fastify.removeAllContentTypeParsers()
  fastify.addContentTypeParser('*', (request, _payload, done) => {
    const received = getReceivedBody(request.raw)
    const body = received?.readBytes() ?? Buffer.alloc(0)
    received?.release()
    done(null, body)
  })
  app.useGlobalFilters(new FailureFilter(logger))
  await app.listen(port, host)
  return { close: () => app.close() }
}

const refusals: Record<AnsweredRefusal, ApiFailure> = {
  budget: createFailure('not-run', 'this host holds too many bytes of requests'),
  slow: createFailure('timeout', 'the request arrived too slowly'),
  'too-large': createFailure('too-large', 'Request body is too large')
}

function describeRefusal (reason: AnsweredRefusal): object {
  return { error: refusals[reason] }
}

@Module({})
class HttpModule {}

function createHttpModule (entryHost: EntryHost): DynamicModule {
  return {
    module: HttpModule,
    controllers: [RequestsController, WorkController, OperationsController],
    providers: [{ provide: ENTRY_HOST, useValue: entryHost }]
  }
}

/** Failure kinds for errors that the HTTP framework itself raises, by status code. */
const FRAMEWORK_FAILURES: Record<number, ApiFailureKind> = { 400: 'invalid', 404: 'not-found', 408: 'timeout', 413: 'too-large', 414: 'invalid', 415: 'invalid' }

/** Failures for errors of the HTTP parser, by error code. Any other error is reported as malformed input. */
const PARSER_FAILURES: Record<string, ApiFailure> = {
  ERR_HTTP_REQUEST_TIMEOUT: createFailure('timeout', 'the request did not arrive whole in time'),
  HPE_HEADER_OVERFLOW: createFailure('too-large', 'the headers are too large')
}

/** Answers input that cannot be parsed as a request, and closes its connection; other connections are not affected. */
function rejectConnection (error: Error & { code?: string }, socket: Socket): void {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy()
    return
  }
  const failure = PARSER_FAILURES[error.code ?? ''] ?? createFailure('invalid', 'the request is not valid HTTP')
  const status = HTTP_STATUS[failure.kind]
  const body = JSON.stringify({ error: failure })
  socket.end(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`)
}

@Catch()
class FailureFilter implements ExceptionFilter {
  constructor (private readonly logger: Logger) {}

  catch (exception: unknown, host: ArgumentsHost): void {
    const reply = host.switchToHttp().getResponse<HttpReply>()
    const failure = this.describe(exception)
    if (reply.sent) return
    reply.code(HTTP_STATUS[failure.kind]).send({ error: failure })
  }

  private describe (exception: unknown): ApiFailure {
    if (exception instanceof FailureException) return exception.failure
    const status = getStatus(exception)
    const kind = status === undefined ? undefined : FRAMEWORK_FAILURES[status]
    const message = exception instanceof Error ? exception.message : 'unknown error'
    if (kind !== undefined) return createFailure(kind, message)
    this.logger.error('request-failed', { error: message, stack: exception instanceof Error ? exception.stack : undefined })
    return createFailure('internal', 'internal error; the log of this host has the details')
  }
}

function getStatus (exception: unknown): number | undefined {
  if (exception instanceof HttpException) return exception.getStatus()
  const status = (exception as { statusCode?: unknown } | null)?.statusCode
  return typeof status === 'number' ? status : undefined
}
