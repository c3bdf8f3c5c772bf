/** HTTP interface for operators: the numbered configuration and the state of the system. */

import {
  Controller,
  Get,
  Inject,
  Param,
  Post,
  Query,
  Req,
  Res,
} from '@nestjs/common';
import type {FastifyReply, FastifyRequest} from 'fastify';
import type {Clock, EmitEvent, Plugin} from '@siskinmux/kernel';
import {ErrorCode, createNotRunRefusal, injectionKey} from '@siskinmux/kernel';
import {ConfigurationConflictError} from '@siskinmux/configuration';
import {DeclarationError, patchSchema} from '@siskinmux/declarations';
import type {Patch} from '@siskinmux/declarations';
import type {AllocationTask} from './allocation_task.js';
import {ALLOCATION} from './allocation_task.js';
import type {ConfigurationTask} from './configuration_task.js';
import {CONFIGURATION} from './configuration_task.js';
import type {Listener, NodeIdentity} from '@siskinmux/runtime';
import {
  CLOCK,
  EMIT_EVENT,
  NODE_IDENTITY,
  listen,
  privateListenerSchema,
  settingsSection,
} from '@siskinmux/runtime';
import type {MembershipTask} from './membership_task.js';
import {MEMBERSHIP} from './membership_task.js';
import {PATCH_ACCEPTED} from './node_events.js';
import {PLATFORM} from './platform.js';
import {PROBLEM_MEDIA_TYPE, toProblem} from './problem.js';

/** Maximum size of a patch. */
const BODY_LIMIT_BYTES = 4_000_000;

/** Maximum number of patches in one history response. */
const MAXIMUM_HISTORY_LENGTH = 1_000;

const section = settingsSection('operator', privateListenerSchema);

/** Dependencies of the {@link OperatorController}. */
export class OperatorContext {
  private constructor(
    readonly clock: Clock,
    readonly identity: NodeIdentity,
    readonly configuration: ConfigurationTask,
    readonly membership: MembershipTask,
    readonly allocation: AllocationTask,
    readonly isPlatformUnavailable: () => boolean,
    readonly emit: EmitEvent,
  ) {}

  static create(options: {
    clock: Clock;
    identity: NodeIdentity;
    configuration: ConfigurationTask;
    membership: MembershipTask;
    allocation: AllocationTask;
    isPlatformUnavailable: () => boolean;
    emit: EmitEvent;
  }): OperatorContext {
    return new OperatorContext(
      options.clock,
      options.identity,
      options.configuration,
      options.membership,
      options.allocation,
      options.isPlatformUnavailable,
      options.emit,
    );
  }
}

/** Routes of the operator interface. */
@Controller()
export class OperatorController {
  constructor(
    @Inject(OperatorContext) private readonly context: OperatorContext,
  ) {}

  /** Returns the newest configuration. */
  @Get('configuration')
  async configuration(@Res() reply: FastifyReply): Promise<void> {
    await this.respond(reply, () =>
      this.context.configuration.store.readCurrent(),
    );
  }

  /** Returns the configuration with a given number. */
  @Get('configuration/:number')
  async configurationAt(
    @Param('number') number: string,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    await this.respond(reply, () =>
      this.context.configuration.store.readAt(
        parseWholeNumber('number', number),
      ),
    );
  }

  /** Lists accepted patches, starting with number `first`. */
  @Get('history')
  async history(
    @Query('first') first: string | undefined,
    @Query('count') count: string | undefined,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    await this.respond(reply, () =>
      this.context.configuration.store.history(
        parseWholeNumber('first', first ?? '1'),
        Math.min(
          MAXIMUM_HISTORY_LENGTH,
          parseWholeNumber('count', count ?? '100'),
        ),
      ),
    );
  }

  /** Submits a patch. */
  @Post('patches')
  async patch(
    @Req() request: FastifyRequest,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    await this.respond(reply, async () => {
      const patch = parsePatch(String(request.body ?? ''));
      const {configuration, emit} = this.context;
      const number = await configuration.store.submitPatch(patch);
      emit(PATCH_ACCEPTED, {number, author: patch.author});
      await configuration.refresh();
      return {number};
    });
  }

  /** Reports nodes, reservations of replicas, and refused placements. */
  @Get('status')
  async status(@Res() reply: FastifyReply): Promise<void> {
    await this.respond(reply, async () => {
      const {identity, configuration, membership, allocation} = this.context;
      const others = membership.membership.others;
      return {
        node: identity.id,
        now: this.context.clock.now(),
        configuration: configuration.state.current.number,
        isPlatformAway: this.context.isPlatformUnavailable(),
        nodes: [
          {
            id: identity.id,
            failureDomain: identity.failureDomain,
            status: 'alive',
          },
          ...others.map(({id, failureDomain, status}) => ({
            id,
            failureDomain,
            status,
          })),
        ],
        ...(await allocation.report()),
      };
    });
  }

  private async respond(
    reply: FastifyReply,
    compute: () => Promise<unknown>,
  ): Promise<void> {
    try {
      await reply.code(200).send(await compute());
    } catch (failure) {
      const {problem, headers} = toProblem(failure, this.context.clock.now());
      await reply
        .code(problem.status)
        .headers(headers)
        .type(PROBLEM_MEDIA_TYPE)
        .send(JSON.stringify({...problem, ...extensionMembersOf(failure)}));
    }
  }
}

/** Extension members (RFC 9457): both sides of a conflict, or the faults of a declaration. */
function extensionMembersOf(failure: unknown): Record<string, unknown> {
  if (failure instanceof ConfigurationConflictError) {
    const {basedOn, currentNumber, theirs, yours} = failure;
    return {based_on: basedOn, current: currentNumber, theirs, yours};
  }
  if (failure instanceof DeclarationError) return {faults: failure.faults};
  return {};
}

function parsePatch(text: string): Patch {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch {
    throw createNotRunRefusal(
      ErrorCode.InvalidRequest,
      'the patch is not JSON',
    );
  }
  const parsed = patchSchema.safeParse(json);
  if (parsed.success) return parsed.data;
  const [issue] = parsed.error.issues;
  throw createNotRunRefusal(
    ErrorCode.InvalidRequest,
    `${issue?.path.join('.')}: ${issue?.message}`,
  );
}

function parseWholeNumber(name: string, text: string): number {
  const value = Number(text);
  if (Number.isInteger(value) && value >= 0) return value;
  throw createNotRunRefusal(
    ErrorCode.InvalidRequest,
    `${name}: found "${text}", expected a whole number`,
  );
}

/** Injection key of the operator interface. */
export const OPERATOR_API = injectionKey<{readonly url: () => string}>(
  'operator API',
);

/** Starts the operator interface and provides {@link OPERATOR_API}. */
export const operatorApiPlugin: Plugin = {
  name: 'operator API',
  install(kernel) {
    const settings = kernel.settings(section);
    const platform = kernel.inject(PLATFORM);
    const context = OperatorContext.create({
      clock: kernel.inject(CLOCK),
      identity: kernel.inject(NODE_IDENTITY),
      configuration: kernel.inject(CONFIGURATION),
      membership: kernel.inject(MEMBERSHIP),
      allocation: kernel.inject(ALLOCATION),
      isPlatformUnavailable: () => platform.isUnavailable,
      emit: kernel.inject(EMIT_EVENT),
    });
    let listener: Listener | undefined;
    kernel.provide(OPERATOR_API, {url: () => listener?.url ?? ''});
    kernel.addTask({
      name: 'operator API',
      start: async () => {
        listener = await listen({
          ...settings,
          bodyLimitBytes: BODY_LIMIT_BYTES,
          controllers: [OperatorController],
          providers: [{provide: OperatorContext, useValue: context}],
        });
      },
      stop: () => listener?.close(),
      abandon: () => listener?.abandon(),
    });
  },
};
