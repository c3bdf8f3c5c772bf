/** A plain service that counts executions by key; its instances share one state. */

import type {Clock, IdempotencyKey} from '@siskinmux/kernel';
import {sleepFor} from '@siskinmux/kernel';
import type {
  PlainService,
  ExecutionReport,
  ServiceResponse,
  ServiceCall,
} from '@siskinmux/ports';
import {
  AnswerCutError,
  EndpointBusyError,
  EndpointUnreachableError,
} from '@siskinmux/ports';

/** What all instances of one service share, as a database would be. */
export class ServiceRecords {
  /** Executions by idempotency key. */
  readonly executions = new Map<string, number>();
  readonly answers = new Map<string, ServiceResponse>();
  readonly sealed = new Set<string>();
  /** Ids of the requests that ran. */
  readonly requests = new Set<string>();

  private constructor() {}

  static create(): ServiceRecords {
    return new ServiceRecords();
  }

  /** Most executions of any one key. */
  get mostExecutions(): number {
    return Math.max(0, ...this.executions.values());
  }
}

/** What goes wrong. */
export interface PlainServiceFaults {
  isDead: boolean;
  delayMilliseconds: number;
  /** Calls that run and whose answer is then lost. */
  answersToLose: number;
}

/** Implements the port itself; the HTTP server puts it on a socket. */
export class PlainServiceStandIn implements PlainService {
  readonly faults: PlainServiceFaults = {
    isDead: false,
    delayMilliseconds: 0,
    answersToLose: 0,
  };
  private calls = 0;

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

  /** Calls that ran here. */
  get callCount(): number {
    return this.calls;
  }

  async call(call: ServiceCall): Promise<ServiceResponse> {
    if (this.faults.isDead) throw new EndpointUnreachableError('dead');
    const key = call.idempotencyKey;
    if (key !== undefined && this.records.sealed.has(key)) {
      throw new EndpointBusyError('this key was settled as not run');
    }
    const answer = this.execute(call);
    await sleepFor(this.clock, this.faults.delayMilliseconds);
    if (this.faults.answersToLose > 0) {
      this.faults.answersToLose -= 1;
      throw new AnswerCutError('the answer was lost');
    }
    return answer;
  }

  async queryAndSeal(key: IdempotencyKey): Promise<ExecutionReport> {
    if (this.faults.isDead) throw new EndpointUnreachableError('dead');
    const answer = this.records.answers.get(key);
    if (answer !== undefined) return {kind: 'ran', answer};
    this.records.sealed.add(key);
    return {kind: 'sealed'};
  }

  private execute(call: ServiceCall): ServiceResponse {
    this.calls += 1;
    this.records.requests.add(call.requestId);
    const key = call.idempotencyKey;
    const serial = (this.records.executions.get(key ?? '') ?? 0) + 1;
    if (key !== undefined) this.records.executions.set(key, serial);
    const answer: ServiceResponse = {
      status: 200,
      contentType: 'application/json',
      body: JSON.stringify({
        request: call.requestId,
        path: call.path,
        execution: serial,
        echo: call.body.slice(0, 64),
      }),
    };
    if (key !== undefined) this.records.answers.set(key, answer);
    return answer;
  }
}
