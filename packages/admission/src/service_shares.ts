/** What teams and kinds of requests asked for and were served, over recent time. */

import type {Instant, Milliseconds, TeamName} from '@siskinmux/kernel';
import {until} from '@siskinmux/kernel';
import {DecayingSum} from './decaying_sum.js';

/** Time over which the usual load of a team is measured; longer than its peaks. */
const USUAL_MILLISECONDS: Milliseconds = 900_000;

/** Time over which it is measured who is served less often than others. */
const RECENT_MILLISECONDS: Milliseconds = 20_000;

/**
 * Requests of mean cost that are added to the usual load of each team, so that a few requests
 * after a start don't decide the shares.
 */
const PRIOR_REQUESTS = 5;

/**
 * A team is starved if it is served less than this share as often as all. Section 3 of
 * docs/design/shared_capacity.md bounds it at a quarter; the difference covers the time until the
 * measurement shows a change.
 */
const STARVED_SHARE = 0.35;

/** With at least this served share of all requests, nothing is short but time. */
const NEARLY_ALL_SHARE = 0.95;

/** Records of what was not offered for this long are dropped. */
const FORGET_AFTER_MILLISECONDS: Milliseconds = 7_200_000;

/** Whose request it is, of which kind, and what it costs. */
export interface ServedRequest {
  /** Undefined for a request without a team; all of these count as one team. */
  readonly team: TeamName | undefined;
  /** 0 is the most urgent; requests of more urgent teams go first. */
  readonly teamPriority: number;
  /** Requests of one route are of one kind. */
  readonly route: string;
  /** What the request takes of the capacity: its tokens, or 1 for each request. */
  readonly cost: number;
}

class Share {
  readonly offered = DecayingSum.create(RECENT_MILLISECONDS);
  readonly served = DecayingSum.create(RECENT_MILLISECONDS);
  readonly usual = DecayingSum.create(USUAL_MILLISECONDS);

  /** Served share of what was offered; 1 if nothing was. */
  ratio(now: Instant): number {
    const offered = this.offered.at(now);
    return offered > 0 ? Math.min(1, this.served.at(now) / offered) : 1;
  }
}

/** Amounts offered and served, by team, by kind within a rank, and in total. */
export class ServiceShares {
  private readonly teams = new Map<TeamName | undefined, Share>();
  private readonly kinds = new Map<string, Share>();
  private readonly all = new Share();
  private readonly usualRequests = DecayingSum.create(USUAL_MILLISECONDS);

  private constructor() {}

  static create(): ServiceShares {
    return new ServiceShares();
  }

  /** Records a request that was sent without being held: the usual load of its team. */
  recordUnheld(request: ServedRequest, now: Instant): void {
    this.recordServed(request, now);
    this.usualRequests.add(1, now);
    this.all.usual.add(request.cost, now);
    findShare(this.teams, request.team, now).usual.add(request.cost, now);
  }

  /** Records a request that was sent. */
  recordServed(request: ServedRequest, now: Instant): void {
    for (const share of this.sharesOf(request, now)) {
      share.offered.add(request.cost, now);
      share.served.add(request.cost, now);
    }
  }

  /** Records a request that was refused. */
  recordRefused(request: ServedRequest, now: Instant): void {
    for (const share of this.sharesOf(request, now))
      share.offered.add(request.cost, now);
  }

  /**
   * Weight of a team among those of its rank: its usual load before the contention, relative to
   * the mean of all teams. It is 1 while no usual load is known, so that virtual times are in one
   * unit throughout.
   */
  weightOf(team: TeamName | undefined, now: Instant): number {
    const requests = this.usualRequests.at(now);
    const meanCost = this.all.usual.at(now) / requests;
    // There is none without usual requests, or if they cost nothing or no finite amount.
    if (!(meanCost > 0 && meanCost < Infinity)) return 1;
    const usual = (this.teams.get(team)?.usual.at(now) ?? 0) / meanCost;
    const mean = requests / Math.max(1, this.teams.size);
    return (usual + PRIOR_REQUESTS) / (mean + PRIOR_REQUESTS);
  }

  /** Amount that the teams of one rank offered of a kind recently. */
  offeredOf(request: ServedRequest, now: Instant): number {
    return this.kinds.get(kindKey(request))?.offered.at(now) ?? 0;
  }

  /** Served share of what a team asked for, relative to that of all teams together. */
  relativeRatio(team: TeamName | undefined, now: Instant): number {
    const overall = this.all.ratio(now);
    if (overall <= 0) return 1;
    return (this.teams.get(team)?.ratio(now) ?? 1) / overall;
  }

  /** Whether a team is served so rarely that its rank no longer matters. */
  isStarved(team: TeamName | undefined, now: Instant): boolean {
    return this.relativeRatio(team, now) < STARVED_SHARE;
  }

  /** Whether hardly anything is refused. */
  servesNearlyAll(now: Instant): boolean {
    return this.all.ratio(now) >= NEARLY_ALL_SHARE;
  }

  /** Served share of a kind among the teams of the same rank; from 0 to 1. */
  kindRatio(request: ServedRequest, now: Instant): number {
    return this.kinds.get(kindKey(request))?.ratio(now) ?? 1;
  }

  private sharesOf(request: ServedRequest, now: Instant): Share[] {
    return [
      this.all,
      findShare(this.teams, request.team, now),
      findShare(this.kinds, kindKey(request), now),
    ];
  }
}

function kindKey({teamPriority, route}: ServedRequest): string {
  return `${teamPriority} ${route}`;
}

function findShare<Key>(
  shares: Map<Key, Share>,
  key: Key,
  now: Instant,
): Share {
  const known = shares.get(key);
  if (known !== undefined) return known;
  // Teams and routes come and go with the versions of the configuration.
  for (const [other, {offered}] of shares) {
    const {lastAddedAt} = offered;
    if (
      lastAddedAt !== undefined &&
      until(lastAddedAt, now) > FORGET_AFTER_MILLISECONDS
    )
      shares.delete(other);
  }
  const share = new Share();
  shares.set(key, share);
  return share;
}
