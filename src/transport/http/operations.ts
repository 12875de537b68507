import { Controller, Delete, Get, HttpCode, Inject, Post, Put, Req, Res } from '@nestjs/common'
import { z } from 'zod'
import {
  createFailure, hostBodySchema, memberBodySchema, presetBodySchema, type EntryHost, type ReportFormat, type SubjectKind
} from '../../protocol/index.js'
import {
  assertOperator, assertPrincipal, FailureException, parseBody, readParameter, resolveReply, type HttpReply, type HttpRequest
} from './requestHelpers.js'
import { ENTRY_HOST } from './injectionTokens.js'

const CONTENT_TYPES: Record<ReportFormat, string> = {
  json: 'application/json; charset=utf-8',
  text: 'text/plain; charset=utf-8',
  html: 'text/html; charset=utf-8'
}
const SUBJECT_KINDS = new Set<string>(['task', 'job', 'worker', 'preset'] satisfies SubjectKind[])
const retireBodySchema = z.strictObject({ confirmedStopped: z.boolean(), setBy: z.string().min(1).max(200) })

/** Routes for operators and for the health checks of the platform. */
@Controller()
export class OperationsController {
  constructor (@Inject(ENTRY_HOST) private readonly host: EntryHost) {}

  @Get('health')
  getHealth (): unknown {
    return this.host.getHealth()
  }

  @Get('ready')
  getReady (@Res() reply: HttpReply): void {
    const ready = this.host.isReady()
    reply.code(ready ? 200 : 503).send({ ready })
  }

  @Post('v1/drain')
  @HttpCode(202)
  async drain (@Req() request: HttpRequest): Promise<unknown> {
    assertOperator(this.host, request)
    return await resolveReply(this.host.drain())
  }

  @Get('v1/preset')
  async getPreset (@Req() request: HttpRequest): Promise<unknown> {
    assertPrincipal(this.host, request)
    return await resolveReply(this.host.getPreset())
  }

  @Post('v1/preset')
  @HttpCode(200)
  async setPreset (@Req() request: HttpRequest): Promise<unknown> {
    assertOperator(this.host, request)
    return await resolveReply(this.host.setPreset(parseBody(presetBodySchema, request)))
  }

  @Get('v1/members')
  async listMembers (@Req() request: HttpRequest): Promise<unknown> {
    assertOperator(this.host, request)
    return await resolveReply(this.host.listMembers())
  }

  @Put('v1/members/:member')
  async putMember (@Req() request: HttpRequest): Promise<unknown> {
    assertOperator(this.host, request)
    return await resolveReply(this.host.putMember(readParameter(request, 'member'), parseBody(memberBodySchema, request)))
  }

  @Get('v1/hosts')
  async listHosts (@Req() request: HttpRequest): Promise<unknown> {
    assertOperator(this.host, request)
    return await resolveReply(this.host.listHosts())
  }

  @Post('v1/hosts')
  async addHost (@Req() request: HttpRequest): Promise<unknown> {
    assertOperator(this.host, request)
    return await resolveReply(this.host.addHost(parseBody(hostBodySchema, request)))
  }

  @Delete('v1/hosts/:host')
  async removeHost (@Req() request: HttpRequest): Promise<unknown> {
    assertOperator(this.host, request)
    return await resolveReply(this.host.removeHost(readParameter(request, 'host'), request.query.requestId))
  }

  @Post('v1/zones/:zone/retire')
  @HttpCode(200)
  async retireZone (@Req() request: HttpRequest): Promise<unknown> {
    assertOperator(this.host, request)
    const { confirmedStopped, setBy } = parseBody(retireBodySchema, request)
    return await resolveReply(this.host.retireZone(readParameter(request, 'zone'), confirmedStopped, setBy))
  }

  @Get('v1/targets')
  async listTargets (@Req() request: HttpRequest): Promise<unknown> {
    assertOperator(this.host, request)
    return await resolveReply(this.host.listTargets())
  }

  @Get('v1/workers')
  async listWorkers (@Req() request: HttpRequest): Promise<unknown> {
    assertOperator(this.host, request)
    return await resolveReply(this.host.listWorkers())
  }

  @Post('v1/workers/:worker/drain')
  @HttpCode(202)
  async drainWorker (@Req() request: HttpRequest): Promise<unknown> {
    assertOperator(this.host, request)
    return await resolveReply(this.host.drainWorker(readParameter(request, 'worker')))
  }

  @Get('v1/explain/:kind/:id')
  async explain (@Req() request: HttpRequest): Promise<unknown> {
    const principal = assertPrincipal(this.host, request)
    const kind = readParameter(request, 'kind')
    if (!isSubjectKind(kind)) throw new FailureException(createFailure('invalid', `"${kind}" is none of: ${[...SUBJECT_KINDS].join(', ')}`))
    return await resolveReply(this.host.explain(principal, kind, readParameter(request, 'id')))
  }

  @Get('v1/reports/burn')
  async report (@Req() request: HttpRequest, @Res() reply: HttpReply): Promise<void> {
    const principal = assertPrincipal(this.host, request)
    const format = request.query.format ?? 'json'
    if (!isReportFormat(format)) throw new FailureException(createFailure('invalid', `format "${format}" is none of: ${Object.keys(CONTENT_TYPES).join(', ')}`))
    const text = await resolveReply(this.host.report(principal, format))
    await reply.code(200).header('content-type', CONTENT_TYPES[format]).send(text)
  }
}

function isSubjectKind (value: string): value is SubjectKind {
  return SUBJECT_KINDS.has(value)
}

function isReportFormat (value: string): value is ReportFormat {
  return Object.hasOwn(CONTENT_TYPES, value)
}
