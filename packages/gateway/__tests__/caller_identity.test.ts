import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {TeamName} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {Route, Team} from '@siskinmux/routes';
import {TeamDirectory, digestApiKey} from '@siskinmux/routes';
import type {CallerIdentity} from '../src/caller_identity.js';
import {firstRankOf, identifyCaller, rankOf} from '../src/caller_identity.js';

const route = (priority: number, isPublic = false): Route =>
  ({priority, isPublic}) as Route;

function team(name: string, priority: number): Team {
  return {
    name: as<TeamName>(name),
    priority,
    keyDigests: [digestApiKey(`${name}-key`)],
    quota: undefined,
  };
}

const PRESS = team('press', 1);
const TEAMS = TeamDirectory.create(
  {teams: new Map([[PRESS.name, PRESS]]), unusable: []},
  undefined,
);

const callerOf = (priority: number): CallerIdentity => ({
  kind: 'team',
  team: team('any', priority),
});

describe('identifyCaller', () => {
  it('reads no key where the configuration has no teams or the route is public', () => {
    const readApiKey = (): string => {
      throw new TypeError('the key was read');
    };
    expect(identifyCaller(undefined, route(0), {readApiKey})?.kind).toEqual(
      'any',
    );
    expect(identifyCaller(TEAMS, route(0, true), {readApiKey})?.kind).toEqual(
      'public',
    );
  });

  it('takes the team of a relayed request from the node that relayed it, known or not', () => {
    for (const name of ['press', 'unknown']) {
      const caller = identifyCaller(TEAMS, route(0), {
        relayedTeam: as<TeamName>(name),
      });
      expect(caller?.kind === 'team' && caller.team.name).toEqual(
        as<TeamName>(name),
      );
    }
  });

  it('knows no caller without a key, or with one of no team', () => {
    for (const key of [undefined, '', 'press', digestApiKey('press-key')])
      expect(identifyCaller(TEAMS, route(0), {readApiKey: () => key})).toEqual(
        undefined,
      );
  });
});

describe('rankOf', () => {
  it('puts the priority of the team before that of the route, within what engines accept', () => {
    const ranks = [0, 1, 2].flatMap(level =>
      [0, 1, 2, 9].map(priority => rankOf(callerOf(level), route(priority))),
    );
    expect(ranks).toEqual([...ranks].sort((left, right) => left - right));
    expect(Math.max(...ranks)).toBeLessThanOrEqual(9);
    expect(firstRankOf(callerOf(1))).toBeGreaterThan(
      rankOf(callerOf(0), route(9)),
    );
  });

  it('keeps a team’s requests apart from those of other teams, whatever priority their route has', () => {
    for (const priority of [-1, 0.5, 9]) {
      const rank = rankOf(callerOf(1), route(priority));
      expect(rank).toBeGreaterThanOrEqual(firstRankOf(callerOf(1)));
      expect(Number.isInteger(rank)).toEqual(true);
    }
  });

  it('is the priority of the route without a team', () => {
    expect(rankOf({kind: 'any'}, route(7))).toEqual(7);
    expect(rankOf({kind: 'public'}, route(1))).toEqual(1);
  });
});
