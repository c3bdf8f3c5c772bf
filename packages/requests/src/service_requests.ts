/** Calls of plain services: repeatable ones with retries, others at most once. */

import {Outcome, refuseUnknown} from '@siskinmux/kernel';
import type {ServiceAnswer} from '@siskinmux/ports';
import type {AtMostOnceCallsOptions} from './at_most_once_calls.js';
import {AtMostOnceCalls} from './at_most_once_calls.js';
import {createDeadlineSignal} from './deadline_signal.js';
import type {ServiceDispatcherOptions} from './service_dispatcher.js';
import {ServiceDispatcher} from './service_dispatcher.js';
import type {
  ServiceCallContext,
  ServiceReply,
  ServiceRequest,
} from './service_call_context.js';
import {createCallContext} from './service_call_context.js';
import type {StartSpan} from './text_requests.js';

/** What service requests need from their surroundings. */
export type ServiceRequestsOptions = ServiceDispatcherOptions &
  Omit<AtMostOnceCallsOptions, 'dispatch'>;

/** Serves calls of plain services. */
export class ServiceRequests {
  private readonly dispatch: ServiceDispatcher;
  private readonly once: AtMostOnceCalls;

  private constructor(private readonly options: ServiceRequestsOptions) {
    this.dispatch = ServiceDispatcher.create(options);
    this.once = AtMostOnceCalls.create({...options, dispatch: this.dispatch});
  }

  static create(options: ServiceRequestsOptions): ServiceRequests {
    return new ServiceRequests(options);
  }

  /** The answer, or a `RefusalError` whose outcome is true. */
  async serve(
    request: ServiceRequest,
    startHop: StartSpan,
  ): Promise<ServiceReply> {
    const {declarations, clock, retryBudget: budget} = this.options;
    const journey = createCallContext(request, declarations(), clock);
    budget.recordRequest();
    if (!journey.call.repeatable) return this.once.serve(journey, startHop);
    const answer = await this.serveRepeatable(journey, startHop);
    return {answer, isReplay: false};
  }

  /** Running it twice is harmless, so any failure may be followed by another try. */
  private async serveRepeatable(
    journey: ServiceCallContext,
    startHop: StartSpan,
  ): Promise<ServiceAnswer> {
    const {clock} = this.options;
    const {request, deadline} = journey;
    for (;;) {
      const slot = await this.dispatch.acquireSlot(journey);
      const work = createDeadlineSignal(clock, request.signal, deadline);
      try {
        return await this.dispatch.sendCall(
          journey,
          slot,
          startHop,
          work.signal,
        );
      } catch (failure) {
        if (request.signal.aborted) {
          slot.end('abandoned');
          throw refuseUnknown('the caller left');
        }
        await this.dispatch.waitForRetryOrThrow(
          journey,
          slot,
          failure,
          Outcome.Unknown,
        );
      } finally {
        work.release();
      }
    }
  }
}
