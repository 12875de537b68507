import { Controller, Delete, Get, HttpCode, Inject, Post, Put, Req } from '@nestjs/common'
import {
  announcementSchema, cancelBodySchema, createFailure, jobBodySchema, resolveBodySchema, serviceBodySchema, type EntryHost
} from '../../protocol/index.js'
import {
  assertMember, assertOperator, assertPrincipal, assertTarget, FailureException, parseBody, readParameter, resolveReply,
  type HttpRequest
} from './requestHelpers.js'
import { ENTRY_HOST } from './injectionTokens.js'

/** Routes for the services and jobs of members, and for the announcements of targets. */
@Controller('v1')
export class WorkController {
  constructor (@Inject(ENTRY_HOST) private readonly host: EntryHost) {}

  @Get('services')
  async listServices (@Req() request: HttpRequest): Promise<unknown> {
    return await resolveReply(this.host.listServices(assertPrincipal(this.host, request)))
  }

  @Put('services/:service')
  async putService (@Req() request: HttpRequest): Promise<unknown> {
    const member = assertMember(this.host, request)
    return await resolveReply(this.host.putService(member, readParameter(request, 'service'), parseBody(serviceBodySchema, request)))
  }

  @Delete('services/:service')
  async removeService (@Req() request: HttpRequest): Promise<unknown> {
    return await resolveReply(this.host.removeService(assertMember(this.host, request), readParameter(request, 'service')))
  }

  @Post('jobs')
  async createJob (@Req() request: HttpRequest): Promise<unknown> {
    const member = assertMember(this.host, request)
    return await resolveReply(this.host.createJob(member, parseBody(jobBodySchema, request)))
  }

  @Get('jobs')
  async listJobs (@Req() request: HttpRequest): Promise<unknown> {
    return await resolveReply(this.host.listJobs(assertPrincipal(this.host, request)))
  }

  @Get('jobs/:job')
  async getJob (@Req() request: HttpRequest): Promise<unknown> {
    return await resolveReply(this.host.getJob(assertPrincipal(this.host, request), readParameter(request, 'job')))
  }

  @Post('jobs/:job/cancel')
  @HttpCode(200)
  async cancelJob (@Req() request: HttpRequest): Promise<unknown> {
    const member = assertMember(this.host, request)
    const { requestId } = parseBody(cancelBodySchema, request)
    return await resolveReply(this.host.cancelJob(member, readParameter(request, 'job'), requestId))
  }

  @Post('jobs/:job/tasks/:task/resolve')
  @HttpCode(200)
  async resolveTask (@Req() request: HttpRequest): Promise<unknown> {
    assertOperator(this.host, request)
    const task = Number(readParameter(request, 'task'))
    if (!Number.isInteger(task) || task < 0) throw new FailureException(createFailure('invalid', 'a task number is a whole number from 0'))
    return await resolveReply(this.host.resolveTask(readParameter(request, 'job'), task, parseBody(resolveBodySchema, request)))
  }

  @Get('tasks')
  async listTasks (@Req() request: HttpRequest): Promise<unknown> {
    return await resolveReply(this.host.listTasks(assertPrincipal(this.host, request), request.query.job))
  }

  @Post('targets/announce')
  @HttpCode(200)
  async announceTarget (@Req() request: HttpRequest): Promise<unknown> {
    assertTarget(this.host, request)
    return await resolveReply(this.host.announceTarget(parseBody(announcementSchema, request)))
  }
}
