/** Teams of callers: their keys, rank and quota. */

import {createHash} from 'node:crypto';
import type {ApiKeyDigest, TeamName} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';

/** What a team may send over all nodes together: a token bucket. */
export interface TeamQuota {
  /** What a request costs: 1, or its prompt tokens and maximum output tokens. */
  readonly unit: 'requests' | 'tokens';
  readonly perSecond: number;
  /** Size of the bucket, in the same unit. */
  readonly burst: number;
  /** Cost of a request that states no tokens, if they are the unit. */
  readonly plainTokens: number;
}

/** One team. */
export interface Team {
  readonly name: TeamName;
  /** 0 is the most urgent; goes before the priority of a route. */
  readonly priority: number;
  readonly keyDigests: readonly ApiKeyDigest[];
  /** Undefined if the team has no limit. */
  readonly quota: TeamQuota | undefined;
}

/** The teams of one configuration. */
export interface TeamDeclarations {
  readonly teams: ReadonlyMap<TeamName, Team>;
  /** Names of teams whose entries can't be used; empty for an entry without a name. */
  readonly unusable: readonly string[];
}

/** Digest under which a key is held and looked up; the key itself is not kept. */
export function digestApiKey(key: string): ApiKeyDigest {
  return as<ApiKeyDigest>(createHash('sha256').update(key).digest('base64url'));
}

/** The teams in force, indexed by the digests of their keys. */
export class TeamDirectory {
  private constructor(
    readonly teams: ReadonlyMap<TeamName, Team>,
    private readonly byDigest: ReadonlyMap<ApiKeyDigest, Team>,
    /** Number of keys that several teams have, and that belong to none for that reason. */
    readonly sharedKeyCount: number,
  ) {}

  /**
   * Creates the directory of a configuration. A team whose entry can't be used keeps its last
   * usable entry in `previous`, if there is one.
   */
  static create(
    {teams, unusable}: TeamDeclarations,
    previous: TeamDirectory | undefined,
  ): TeamDirectory {
    const merged = new Map(teams);
    for (const name of unusable) {
      const known = previous?.teams.get(as<TeamName>(name));
      if (known !== undefined) merged.set(known.name, known);
    }
    const byDigest = new Map<ApiKeyDigest, Team>();
    const shared = new Set<ApiKeyDigest>();
    for (const team of merged.values()) {
      for (const digest of team.keyDigests) {
        const owner = byDigest.get(digest);
        if (owner !== undefined && owner !== team) shared.add(digest);
        byDigest.set(digest, team);
      }
    }
    for (const digest of shared) byDigest.delete(digest);
    return new TeamDirectory(merged, byDigest, shared.size);
  }

  /** The team that has the key; undefined for an unknown key. */
  findByKey(key: string): Team | undefined {
    return this.byDigest.get(digestApiKey(key));
  }
}
