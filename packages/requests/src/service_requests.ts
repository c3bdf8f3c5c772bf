/** Calls of plain services: repeatable ones with retries, others at most once. */

import {Outcome, refuseUnknown} from '@siskinmux/kernel';
import type {ServiceAnswer} from '@siskinmux/ports';
import type {OnceCallsOptions} from './once_calls.js';
import {OnceCalls} from './once_calls.js';
import {limitWork} from './request_limits.js';
import type {ServiceDispatchOptions} from './service_dispatch.js';
import {ServiceDispatcher} from './service_dispatch.js';
import type {
  ServiceJourney,
  ServiceReply,
  ServiceRequest,
} from './service_journey.js';
import {beginJourney} from './service_journey.js';
import type {StartSpan} from './text_requests.js';

/** What service requests need from their surroundings. */
export type ServiceRequestsOptions = ServiceDispatchOptions &
  Omit<OnceCallsOptions, 'dispatch'>;

/** Serves calls of plain services. */
export class ServiceRequests {
  private readonly dispatch: ServiceDispatcher;
  private readonly once: OnceCalls;

  private constructor(private readonly options: ServiceRequestsOptions) {
    this.dispatch = ServiceDispatcher.create(options);
    this.once = OnceCalls.create({...options, dispatch: this.dispatch});
  }

  static create(options: ServiceRequestsOptions): ServiceRequests {
    return new ServiceRequests(options);
  }

  /** The answer, or a `RefusalError` whose outcome is true. */
  async serve(
    request: ServiceRequest,
    startHop: StartSpan,
  ): Promise<ServiceReply> {
    const {declarations, clock, budget} = this.options;
    const journey = beginJourney(request, declarations(), clock);
    budget.recordRequest();
    if (!journey.call.repeatable) return this.once.serve(journey, startHop);
    const answer = await this.serveRepeatable(journey, startHop);
    return {answer, isReplay: false};
  }

  /** Running it twice is harmless, so any failure may be followed by another try. */
  private async serveRepeatable(
    journey: ServiceJourney,
    startHop: StartSpan,
  ): Promise<ServiceAnswer> {
    const {clock} = this.options;
    const {request, deadline} = journey;
    for (;;) {
      const slot = await this.dispatch.place(journey);
      const work = limitWork(clock, request.signal, deadline);
      try {
        return await this.dispatch.dispatch(
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
        await this.dispatch.retryOrThrow(
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
