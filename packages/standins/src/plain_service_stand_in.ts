/** A simulated plain service that counts executions by idempotency key. */

import type {Clock, IdempotencyKey} from '@siskinmux/kernel';
import {sleepFor} from '@siskinmux/kernel';
import type {
  ExecutionReport,
  PlainService,
  ServiceCall,
  ServiceResponse,
} from '@siskinmux/ports';
import {
  AnswerCutError,
  EndpointBusyError,
  EndpointUnreachableError,
} from '@siskinmux/ports';

/** State that all instances of one service share, as in a common database. */
export class ServiceRecords {
  /** Number of executions by idempotency key. */
  readonly executions = new Map<string, number>();
  /** Responses by idempotency key. */
  readonly responses = new Map<string, ServiceResponse>();
  /** Idempotency keys sealed as not run; calls with them are rejected. */
  readonly sealed = new Set<string>();
  /** IDs of the requests that ran. */
  readonly requests = new Set<string>();

  private constructor() {}

  static create(): ServiceRecords {
    return new ServiceRecords();
  }

  /** Highest number of executions of any idempotency key. */
  get maximumExecutions(): number {
    return Math.max(0, ...this.executions.values());
  }
}

/** Faults of one instance. */
export interface PlainServiceFaults {
  isDead: boolean;
  delayMilliseconds: number;
  /** Number of upcoming calls that run but whose response is lost. */
  answersToLose: number;
}

/** Implements the service port in process; {@link servePlainService} serves it over HTTP. */
export class PlainServiceStandIn implements PlainService {
  readonly faults: PlainServiceFaults = {
    isDead: false,
    delayMilliseconds: 0,
    answersToLose: 0,
  };
  private executedCallCount = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly records: ServiceRecords,
  ) {}

  static create(options: {
    clock: Clock;
    records: ServiceRecords;
  }): PlainServiceStandIn {
    return new PlainServiceStandIn(options.clock, options.records);
  }

  /** Number of calls that ran on this instance. */
  get callCount(): number {
    return this.executedCallCount;
  }

  async call(call: ServiceCall): Promise<ServiceResponse> {
    if (this.faults.isDead) throw new EndpointUnreachableError('dead');
    const key = call.idempotencyKey;
    if (key !== undefined && this.records.sealed.has(key)) {
      throw new EndpointBusyError('the idempotency key is sealed as not run');
    }
    const response = this.execute(call);
    await sleepFor(this.clock, this.faults.delayMilliseconds);
    if (this.faults.answersToLose > 0) {
      this.faults.answersToLose -= 1;
      throw new AnswerCutError('the response was lost');
    }
    return response;
  }

  async queryAndSeal(key: IdempotencyKey): Promise<ExecutionReport> {
    if (this.faults.isDead) throw new EndpointUnreachableError('dead');
    const answer = this.records.responses.get(key);
    if (answer !== undefined) return {kind: 'ran', answer};
    this.records.sealed.add(key);
    return {kind: 'sealed'};
  }

  private execute(call: ServiceCall): ServiceResponse {
    this.executedCallCount += 1;
    this.records.requests.add(call.requestId);
    const key = call.idempotencyKey;
    const executionNumber = (this.records.executions.get(key ?? '') ?? 0) + 1;
    if (key !== undefined) this.records.executions.set(key, executionNumber);
    const response: ServiceResponse = {
      status: 200,
      contentType: 'application/json',
      body: JSON.stringify({
        request: call.requestId,
        path: call.path,
        execution: executionNumber,
        echo: call.body.slice(0, 64),
      }),
    };
    if (key !== undefined) this.records.responses.set(key, response);
    return response;
  }
}
