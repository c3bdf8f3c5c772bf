import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Instant, Milliseconds} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {Route, RouteName} from '@siskinmux/routes';
import {RetryBudget} from '@siskinmux/routing';
import type {AttemptResult} from '../src/attempt_result.js';
import type {RequestProgress} from '../src/retry_decision.js';
import {decideRetry} from '../src/retry_decision.js';

const NOW = as<Instant>(1_000);
const OBJECTIVE_MILLISECONDS: Milliseconds = 200;

const refused: AttemptResult = {
  kind: 'not_run',
  cause: 'status 421',
  isSent: true,
};
const unreachable: AttemptResult = {
  kind: 'not_run',
  cause: 'connection refused',
  isSent: false,
};
const cut: AttemptResult = {kind: 'may_have_run', cause: 'reset', isCut: true};

const route: Route = {
  name: as<RouteName>('read'),
  host: 'h',
  pathPrefix: '/',
  kind: 'safe',
  timeoutMilliseconds: 1_000,
  latencyObjectiveMilliseconds: OBJECTIVE_MILLISECONDS,
  priority: 1,
  maximumRuns: 2,
  targets: [],
  isResumable: false,
  maximumEventGapMilliseconds: 0,
};

function progress(overrides: Partial<RequestProgress> = {}): RequestProgress {
  return {
    route,
    deadline: as<Instant>(NOW + 500),
    sends: 1,
    runs: 0,
    ...overrides,
  };
}

function budgetOf(tokens: number): RetryBudget {
  return RetryBudget.create({
    share: 0,
    initialTokens: tokens,
    maximumTokens: tokens,
  });
}

describe(decideRetry.name, () => {
  it('charges the retry budget for each send that an endpoint rejected, and ends when it is empty', () => {
    const budget = budgetOf(2);
    const decisions = [1, 2, 3].map(sends =>
      decideRetry(refused, progress({sends}), budget, NOW),
    );
    expect(decisions).toEqual(['charged', 'charged', 'over_budget']);
  });

  it('does not charge sends that reached no endpoint, but limits their number', () => {
    const decisions = [1, 2, 3, 4].map(sends =>
      decideRetry(unreachable, progress({sends}), budgetOf(0), NOW),
    );
    expect(decisions).toEqual(['free', 'free', 'free', 'not_allowed']);
  });

  it('does not send a request again that may have run if its route does not allow another run', () => {
    const budget = budgetOf(9);
    expect(decideRetry(cut, progress({runs: 1}), budget, NOW)).toEqual(
      'charged',
    );
    expect(decideRetry(cut, progress({runs: 2}), budget, NOW)).toEqual(
      'not_allowed',
    );
    const unsafe = progress({route: {...route, kind: 'unsafe'}, runs: 1});
    expect(decideRetry(cut, unsafe, budget, NOW)).toEqual('not_allowed');
  });

  it('does not send a request again after its deadline', () => {
    const late = progress({deadline: NOW});
    expect(decideRetry(refused, late, budgetOf(9), NOW)).toEqual('not_allowed');
  });
});
