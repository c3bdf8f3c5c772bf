/** Gets a service call a place at an endpoint, sends it, and decides on another try. */

import type {Clock, EndpointId, FailureDomain, Random} from '@siskinmux/kernel';
import {Outcome, SiskinmuxError, as, toRefusal} from '@siskinmux/kernel';
import type {Declarations} from '@siskinmux/declarations';
import {PRIORITIES, instancesOf} from '@siskinmux/declarations';
import type {PlainService, ServiceAnswer, ServiceCall} from '@siskinmux/ports';
import {EndpointBusyError, EndpointUnreachableError} from '@siskinmux/ports';
import type {RetryBudget} from '@siskinmux/routing';
import {pauseBeforeRetry} from './attempt_backoff.js';
import type {Dispatcher, Option} from './dispatcher.js';
import type {EndpointPool, Slot} from './endpoint_pool.js';
import type {ServiceJourney} from './service_journey.js';
import type {StartSpan} from './text_requests.js';

/** Highest limit of an endpoint, as a multiple of what is declared. */
const MOST_CONCURRENCY_FACTOR = 4;

/** What sending needs from its surroundings. */
export interface ServiceDispatchOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly declarations: () => Declarations;
  readonly dispatcher: Dispatcher;
  readonly pool: EndpointPool;
  readonly budget: RetryBudget;
  readonly service: (id: EndpointId) => PlainService;
  /** Whether a host is fit for new work. */
  readonly isHostUsable: (host: string) => boolean;
}

/** Sends calls to the instances of their services. */
export class ServiceDispatcher {
  private constructor(private readonly options: ServiceDispatchOptions) {}

  static create(options: ServiceDispatchOptions): ServiceDispatcher {
    return new ServiceDispatcher(options);
  }

  /** A place at an instance, or a refusal with outcome "not run". */
  place(journey: ServiceJourney): Promise<Slot> {
    const {request, declaration, call, callName} = journey;
    return this.options.dispatcher.place({
      target: `${request.service}/${callName}`,
      priorityClass: PRIORITIES.indexOf(request.priority ?? call.priority),
      deadline: journey.deadline,
      maximumQueue: declaration.maximum_queue,
      avoid: journey.avoid,
      signal: request.signal,
      candidates: () => this.instanceCandidates(journey),
      readyAt: () => undefined,
    });
  }

  /** Sends the call once and gives the place back when it is answered. */
  async dispatch(
    journey: ServiceJourney,
    slot: Slot,
    startHop: StartSpan,
    signal: AbortSignal,
  ): Promise<ServiceAnswer> {
    const {request, deadline} = journey;
    const hop = startHop('service call', slot.endpoint);
    const call: ServiceCall = {
      requestId: request.id,
      method: request.method,
      path: request.path,
      contentType: request.contentType,
      body: request.body,
      idempotencyKey: request.idempotencyKey,
      deadline,
      traceparent: hop.traceparent,
    };
    try {
      const answer = await this.options
        .service(slot.endpoint)
        .call(call, signal);
      slot.end('answered');
      hop.end();
      return answer;
    } catch (failure) {
      hop.end(failure);
      throw failure;
    }
  }

  /** Returns when another try is allowed, and throws the final answer otherwise. */
  async retryOrThrow(
    journey: ServiceJourney,
    slot: Slot,
    failure: unknown,
    outcome: Outcome,
  ): Promise<void> {
    const {clock, random, budget} = this.options;
    if (!(failure instanceof SiskinmuxError)) throw failure;
    const isLate = clock.now() >= journey.deadline;
    if (isLate) slot.end('late');
    slot.end(failure instanceof EndpointBusyError ? 'busy' : 'failed');
    journey.avoid.add(slot.endpoint);
    journey.retries += 1;
    const truth = isNotRun(failure) ? Outcome.NotRun : outcome;
    if (isLate || !budget.tryAcquireRetry()) {
      throw toRefusal(failure, truth);
    }
    await pauseBeforeRetry(clock, random, journey.retries, journey.deadline);
  }

  /** Instances that can take the call, busy ones included. */
  instanceCandidates(journey: ServiceJourney): Option[] {
    const {declarations, pool, isHostUsable} = this.options;
    const {service} = journey.request;
    const declared = instancesOf(declarations().endpoints, service).filter(
      ([, {host}]) => isHostUsable(host),
    );
    const usable = new Set(pool.usable(declared.map(([id]) => id)));
    return declared
      .filter(([id]) => usable.has(id))
      .map(([id, endpoint]) => {
        const concurrency = pool.concurrencyLimit(id, journey.callName, {
          initial: endpoint.concurrency,
          minimum: 1,
          maximum: endpoint.concurrency * MOST_CONCURRENCY_FACTOR,
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
          isPrefixHome: false,
          concurrency,
        };
      });
  }
}

/** Whether a failure proves that nothing ran. */
export function isNotRun(failure: unknown): boolean {
  return (
    failure instanceof EndpointUnreachableError ||
    failure instanceof EndpointBusyError
  );
}
