/** Metrics of team quotas. */

import type {TeamName} from '@siskinmux/kernel';
import type {Registry} from 'prom-client';
import {Counter, Gauge} from 'prom-client';
import type {QuotaOutcome, TeamQuotasOptions} from './team_quotas.js';

const HELP: Record<QuotaOutcome, string> = {
  admitted: 'Requests that the quota of their team admitted',
  asked: 'Requests of teams about which the lease holder was asked',
  refused: 'Requests refused as the quota of their team was used up',
};

/** Registers the metrics; `meteredTeams` returns the teams of which each request is asked for. */
export function createTeamQuotaMetrics(
  registry: Registry,
  meteredTeams: () => readonly TeamName[],
): Pick<TeamQuotasOptions, 'onOutcome'> {
  const registers = [registry];
  const createCounter = (outcome: QuotaOutcome): Counter =>
    new Counter({
      name: `siskinmux_team_${outcome}_total`,
      help: HELP[outcome],
      labelNames: ['team'],
      registers,
    });
  const counters: Record<QuotaOutcome, Counter> = {
    admitted: createCounter('admitted'),
    asked: createCounter('asked'),
    refused: createCounter('refused'),
  };
  new Gauge({
    name: 'siskinmux_metered_teams',
    help: 'Teams about each of whose requests this node asks the lease holder',
    registers,
    collect() {
      this.set(meteredTeams().length);
    },
  });
  return {onOutcome: (team, outcome) => counters[outcome].inc({team})};
}
