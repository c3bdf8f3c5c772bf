/**
 * Turns of the teams that hold requests of one group and rank, by weighted fair queueing. Each
 * group and rank has its own, as they have capacity of their own.
 */

import type {TeamName} from '@siskinmux/kernel';

interface Turn {
  /** Cost sent for the team, divided by its weight: the team with the smallest is next. */
  time: number;
  /** Number of held requests. */
  held: number;
}

/** Virtual times of the teams of one group and rank. */
export class TeamTurns {
  private readonly turns = new Map<TeamName | undefined, Turn>();
  private virtualTime = 0;
  private total = 0;

  private constructor() {}

  static create(): TeamTurns {
    return new TeamTurns();
  }

  /** Number of teams whose virtual time is kept. */
  get size(): number {
    return this.turns.size;
  }

  /** Number of held requests of all teams. */
  get held(): number {
    return this.total;
  }

  /** Virtual time of a team that holds requests. */
  timeOf(team: TeamName | undefined): number {
    return this.turns.get(team)?.time ?? 0;
  }

  /** Virtual time at which a team would begin to hold requests now. */
  startOf(team: TeamName | undefined): number {
    return Math.max(this.timeOf(team), this.virtualTime);
  }

  /** Records that a request is held; its team has gained no credit while it held none. */
  add(team: TeamName | undefined): void {
    this.total += 1;
    const turn = this.turns.get(team);
    if (turn === undefined) {
      this.forgetPassed();
      this.turns.set(team, {time: this.virtualTime, held: 1});
      return;
    }
    if (turn.held === 0) turn.time = this.startOf(team);
    turn.held += 1;
  }

  /** Records that a request is no longer held. */
  remove(team: TeamName | undefined): void {
    const turn = this.turns.get(team);
    if (turn === undefined) return;
    this.total -= 1;
    turn.held -= 1;
    if (turn.held <= 0 && turn.time <= this.virtualTime)
      this.turns.delete(team);
  }

  /**
   * Records that a request of a team that holds some was sent. An amount that is not finite is not
   * counted, as the team would never have its turn again.
   */
  recordSent(team: TeamName | undefined, amount: number): void {
    const turn = this.turns.get(team);
    if (turn !== undefined && Number.isFinite(amount)) turn.time += amount;
  }

  /** Sets the virtual time to the smallest of the teams that hold requests, and returns it. */
  advance(): number {
    let least = Infinity;
    for (const {time, held} of this.turns.values())
      if (held > 0) least = Math.min(least, time);
    if (Number.isFinite(least)) this.virtualTime = least;
    return this.virtualTime;
  }

  /** Forgets teams that hold no requests and are no longer ahead. */
  private forgetPassed(): void {
    for (const [team, {time, held}] of this.turns)
      if (held === 0 && time <= this.virtualTime) this.turns.delete(team);
  }
}
