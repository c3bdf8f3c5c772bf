import {describe, it} from 'node:test';
import type {TeamName} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import {expect} from 'earl';
import {TeamTurns} from '../src/team_turns.js';

const team = (name: string): TeamName => as<TeamName>(name);

describe('TeamTurns', () => {
  it('forgets teams that come and go while others hold requests without a break', () => {
    // Team names change with the versions of the configuration.
    const turns = TeamTurns.create();
    const lasting = team('lasting');
    turns.add(lasting);
    let largest = 0;
    for (let index = 0; index < 1_000; index += 1) {
      const passing = team(`passing-${index}`);
      for (const one of [passing, lasting]) {
        turns.add(one);
        turns.advance();
        turns.recordSent(one, 1);
        turns.remove(one);
      }
      largest = Math.max(largest, turns.size);
    }
    expect(turns.held).toEqual(1);
    expect(largest).toBeLessThanOrEqual(4);
  });

  it('keeps the lead of a team that held nothing for a moment', () => {
    // A team that holds one request at a time would otherwise be served as often as it asks.
    const turns = TeamTurns.create();
    turns.add(team('lasting'));
    turns.add(team('often'));
    turns.advance();
    turns.recordSent(team('often'), 10);
    turns.remove(team('often'));
    turns.add(team('often'));
    expect(turns.timeOf(team('often')) - turns.advance()).toEqual(10);
  });
});
