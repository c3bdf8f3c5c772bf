/** Acquires slots for service calls, sends them and decides on retries. */

import type {Clock, EndpointId, FailureDomain, Random} from '@siskinmux/kernel';
import {Outcome, SiskinmuxError, as, toRefusal} from '@siskinmux/kernel';
import type {Declarations} from '@siskinmux/declarations';
import {instancesOf} from '@siskinmux/declarations';
import type {
  PlainService,
  ServiceCall,
  ServiceResponse,
} from '@siskinmux/ports';
import {EndpointBusyError, EndpointUnreachableError} from '@siskinmux/ports';
import type {RetryBudget} from '@siskinmux/routing';
import {waitForRetryBackoff} from './attempt_backoff.js';
import type {DispatchCandidate, Dispatcher} from './dispatcher.js';
import type {EndpointPool, Slot} from './endpoint_pool.js';
import {priorityClassOf} from './priority_class.js';
import type {ServiceCallContext} from './service_call_context.js';
import type {StartSpan} from './text_requests.js';

/** Upper bound of a concurrency limit, as a multiple of the declared concurrency. */
const MAXIMUM_CONCURRENCY_FACTOR = 4;

/** Dependencies of {@link ServiceDispatcher}. */
export interface ServiceDispatcherOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly declarations: () => Declarations;
  readonly dispatcher: Dispatcher;
  readonly pool: EndpointPool;
  readonly retryBudget: RetryBudget;
  readonly service: (id: EndpointId) => PlainService;
  /** Whether a host may receive new calls. */
  readonly isHostUsable: (host: string) => boolean;
}

/** Sends calls to the instances of their services. */
export class ServiceDispatcher {
  private constructor(private readonly options: ServiceDispatcherOptions) {}

  static create(options: ServiceDispatcherOptions): ServiceDispatcher {
    return new ServiceDispatcher(options);
  }

  /** Resolves with a slot. Throws a `RefusalError` with outcome "not run" otherwise. */
  acquireSlot(context: ServiceCallContext): Promise<Slot> {
    const {request, declaration, call, callName} = context;
    return this.options.dispatcher.acquireSlot({
      target: `${request.service}/${callName}`,
      priorityClass: priorityClassOf(
        request.teamPriority,
        request.priority ?? call.priority,
      ),
      deadline: context.deadline,
      maximumQueueLength: declaration.maximum_queue,
      triedEndpoints: context.triedEndpoints,
      signal: request.signal,
      candidates: () => this.instanceCandidates(context),
      readyAt: () => undefined,
    });
  }

  /** Sends the call once and releases the slot after a response. */
  async sendCall(
    context: ServiceCallContext,
    slot: Slot,
    startSpan: StartSpan,
    signal: AbortSignal,
  ): Promise<ServiceResponse> {
    const {request, deadline} = context;
    const span = startSpan('service call', slot.endpoint);
    const call: ServiceCall = {
      requestId: request.id,
      method: request.method,
      path: request.path,
      contentType: request.contentType,
      body: request.body,
      idempotencyKey: request.idempotencyKey,
      deadline,
      traceparent: span.traceparent,
    };
    try {
      const response = await this.options
        .service(slot.endpoint)
        .call(call, signal);
      slot.end('answered');
      span.end();
      return response;
    } catch (failure) {
      span.end(failure);
      throw failure;
    }
  }

  /** Waits for the backoff if a retry is allowed. Throws the final refusal otherwise. */
  async waitForRetryOrThrow(
    context: ServiceCallContext,
    slot: Slot,
    failure: unknown,
    outcome: Outcome,
  ): Promise<void> {
    const {clock, random, retryBudget} = this.options;
    if (!(failure instanceof SiskinmuxError)) throw failure;
    const hasDeadlinePassed = clock.now() >= context.deadline;
    if (hasDeadlinePassed) slot.end('late');
    slot.end(failure instanceof EndpointBusyError ? 'busy' : 'failed');
    context.triedEndpoints.add(slot.endpoint);
    context.retryCount += 1;
    const finalOutcome = provesNotRun(failure) ? Outcome.NotRun : outcome;
    if (hasDeadlinePassed || !retryBudget.tryAcquireRetry()) {
      throw toRefusal(failure, finalOutcome);
    }
    await waitForRetryBackoff(
      clock,
      random,
      context.retryCount,
      context.deadline,
    );
  }

  /** Instances that can serve the call, including those at their limit. */
  instanceCandidates(context: ServiceCallContext): DispatchCandidate[] {
    const {declarations, pool, isHostUsable} = this.options;
    const {service} = context.request;
    const declared = instancesOf(declarations().endpoints, service).filter(
      ([, {host}]) => isHostUsable(host),
    );
    const usable = new Set(pool.usableEndpoints(declared.map(([id]) => id)));
    return declared
      .filter(([id]) => usable.has(id))
      .map(([id, endpoint]) => {
        const concurrency = pool.concurrencyLimit(id, context.callName, {
          initial: endpoint.concurrency,
          minimum: 1,
          maximum: endpoint.concurrency * MAXIMUM_CONCURRENCY_FACTOR,
        });
        return {
          endpoint: id,
          failureDomain: as<FailureDomain>(endpoint.failure_domain),
          inFlight: concurrency.inFlight,
          limit: concurrency.value,
          reportedLoad: 0,
          reportedAt: undefined,
          slots: endpoint.concurrency,
          hasAdapter: true,
          isPrefixOwner: false,
          concurrency,
        };
      });
  }
}

/** Whether a failure proves that the call did not run. */
export function provesNotRun(failure: unknown): boolean {
  return (
    failure instanceof EndpointUnreachableError ||
    failure instanceof EndpointBusyError
  );
}
