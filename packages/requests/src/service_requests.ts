/** Requests to plain services: repeatable calls with retries, others at most once. */

import {Outcome, createUnknownOutcomeRefusal} from '@siskinmux/kernel';
import type {ServiceResponse} from '@siskinmux/ports';
import type {AtMostOnceCallsOptions} from './at_most_once_calls.js';
import {AtMostOnceCalls} from './at_most_once_calls.js';
import {createDeadlineSignal} from './deadline_signal.js';
import type {
  ServiceCallContext,
  ServiceReply,
  ServiceRequest,
} from './service_call_context.js';
import {createCallContext} from './service_call_context.js';
import type {ServiceDispatcherOptions} from './service_dispatcher.js';
import {ServiceDispatcher} from './service_dispatcher.js';
import type {StartSpan} from './text_requests.js';

/** Dependencies of {@link ServiceRequests}. */
export type ServiceRequestsOptions = ServiceDispatcherOptions &
  Omit<AtMostOnceCallsOptions, 'dispatch'>;

/** Serves requests to plain services. */
export class ServiceRequests {
  private readonly serviceDispatcher: ServiceDispatcher;
  private readonly atMostOnceCalls: AtMostOnceCalls;

  private constructor(private readonly options: ServiceRequestsOptions) {
    this.serviceDispatcher = ServiceDispatcher.create(options);
    this.atMostOnceCalls = AtMostOnceCalls.create({
      ...options,
      dispatch: this.serviceDispatcher,
    });
  }

  static create(options: ServiceRequestsOptions): ServiceRequests {
    return new ServiceRequests(options);
  }

  /** Resolves with the response. Throws a `RefusalError` that states the outcome otherwise. */
  async serve(
    request: ServiceRequest,
    startSpan: StartSpan,
  ): Promise<ServiceReply> {
    const {declarations, clock, retryBudget} = this.options;
    const context = createCallContext(request, declarations(), clock);
    retryBudget.recordRequest();
    if (!context.call.repeatable)
      return this.atMostOnceCalls.serve(context, startSpan);
    const response = await this.serveRepeatable(context, startSpan);
    return {answer: response, isReplay: false};
  }

  /** Running the call twice is harmless, so it may be retried after any failure. */
  private async serveRepeatable(
    context: ServiceCallContext,
    startSpan: StartSpan,
  ): Promise<ServiceResponse> {
    const {clock} = this.options;
    const {request, deadline} = context;
    for (;;) {
      const slot = await this.serviceDispatcher.acquireSlot(context);
      const deadlineSignal = createDeadlineSignal(
        clock,
        request.signal,
        deadline,
      );
      try {
        return await this.serviceDispatcher.sendCall(
          context,
          slot,
          startSpan,
          deadlineSignal.signal,
        );
      } catch (failure) {
        if (request.signal.aborted) {
          slot.end('abandoned');
          throw createUnknownOutcomeRefusal('the caller left');
        }
        await this.serviceDispatcher.waitForRetryOrThrow(
          context,
          slot,
          failure,
          Outcome.Unknown,
        );
      } finally {
        deadlineSignal.release();
      }
    }
  }
}
