import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {ServiceName} from '@siskinmux/kernel';
import {as, discardEvents} from '@siskinmux/kernel';
import {VirtualClock} from '@siskinmux/testkit';
import {RetryBudgets} from '../src/retry_budgets.js';

const SHARE = 0.2;
const WINDOW_MILLISECONDS = 10_000;
const service = as<ServiceName>('text');

/** Processes of a deployment, with the retries that they were allowed in one window. */
class Deployment {
  readonly clock = VirtualClock.create();
  retries = 0;
  requests = 0;

  constructor(
    readonly nodeCount: number,
    readonly allowance: number,
  ) {}

  /** Retries that the users allow in a window, as far as requests were counted. */
  get allowedRetries(): number {
    return SHARE * this.requests + this.allowance;
  }

  startProcess(): RetryBudgets {
    return RetryBudgets.create({
      limits: {
        share: SHARE,
        allowance: this.allowance,
        windowMilliseconds: WINDOW_MILLISECONDS,
      },
      clock: this.clock,
      emit: discardEvents,
    });
  }

  /** Takes as many retries as the process allows. */
  retryUntilRefused(process: RetryBudgets): void {
    while (process.forService(service).tryAcquireRetry()) this.retries += 1;
  }

  receiveRequests(process: RetryBudgets, count: number): void {
    for (let index = 0; index < count; index += 1)
      process.forService(service).recordRequest();
    this.requests += count;
  }
}

describe(RetryBudgets.name, () => {
  for (const [nodeCount, allowance] of [
    [7, 54],
    [91, 222],
  ] as const) {
    it(`keep ${nodeCount} nodes within the deployment’s limit while all their processes start again in series`, async () => {
      const deployment = new Deployment(nodeCount, allowance);
      const {clock} = deployment;
      const processes = Array.from({length: nodeCount}, () =>
        deployment.startProcess(),
      );
      for (const process of processes) process.setNodeCount(nodeCount);
      await clock.advance(60_000);
      for (let restart = 0; restart < 4; restart += 1) {
        for (const [index, process] of processes.entries()) {
          deployment.retryUntilRefused(process);
          processes[index] = deployment.startProcess();
          deployment.retryUntilRefused(processes[index]);
        }
        await clock.advance(WINDOW_MILLISECONDS / 5);
      }
      expect(deployment.retries).toBeLessThanOrEqual(deployment.allowedRetries);
    });
  }

  it('keep both sides of a cut within the deployment’s limit when each counts only its own nodes', async () => {
    const deployment = new Deployment(7, 54);
    const {clock} = deployment;
    const processes = Array.from({length: 7}, () => deployment.startProcess());
    for (const process of processes) process.setNodeCount(7);
    await clock.advance(60_000);
    const [cutOffHolder, ...others] = processes;
    for (let second = 0; second < 60; second += 1) {
      cutOffHolder!.setNodeCount(1);
      for (const process of others) process.setNodeCount(6);
      for (const process of processes) deployment.receiveRequests(process, 10);
      await clock.advance(1_000);
    }
    deployment.requests = 0;
    for (const process of processes) deployment.retryUntilRefused(process);
    expect(deployment.retries).toBeLessThanOrEqual(deployment.allowedRetries);
  });

  it('give the part of nodes that left for good to the others', async () => {
    const deployment = new Deployment(7, 54);
    const {clock} = deployment;
    const process = deployment.startProcess();
    process.setNodeCount(7);
    for (let minute = 0; minute < 10; minute += 1) {
      process.setNodeCount(2);
      deployment.receiveRequests(process, 1_000);
      await clock.advance(60_000);
    }
    deployment.retryUntilRefused(process);
    expect(deployment.retries).toEqual(16);
  });

  it('allow retries of the first requests to a service once the process has run for a window', async () => {
    const deployment = new Deployment(7, 54);
    const process = deployment.startProcess();
    process.setNodeCount(7);
    await deployment.clock.advance(WINDOW_MILLISECONDS);
    deployment.retryUntilRefused(process);
    expect(deployment.retries).toEqual(4);
  });
});
