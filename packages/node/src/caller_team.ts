/** Decides to which declared team a caller belongs. */

import type {IncomingMessage} from 'node:http';
import type {ApiKeyDigest, RefusalError, TeamName} from '@siskinmux/kernel';
import {ErrorCode, as, createNotRunRefusal} from '@siskinmux/kernel';
import type {Declarations, TeamDeclaration} from '@siskinmux/declarations';
import type {Team} from '@siskinmux/routes';
import {TeamDirectory} from '@siskinmux/routes';

/** Header with the key of the caller's team. */
export const API_KEY_HEADER = 'x-api-key';

/**
 * Keyed by object identity: a configuration change that leaves the teams alone keeps the same
 * object, and with it the directory.
 */
const directories = new WeakMap<Declarations['teams'], TeamDirectory>();

/**
 * The team of a caller; undefined if no teams are declared. Throws a `RefusalError` if no team
 * has the key. Neither the key nor its digest leaves this function.
 */
export function identifyTeam(
  {teams}: Declarations,
  request: Pick<IncomingMessage, 'headersDistinct'>,
): Team | undefined {
  const directory = directoryOf(teams);
  if (directory.teams.size === 0) return undefined;
  const keys = new Set(request.headersDistinct[API_KEY_HEADER]);
  const [key] = keys;
  if (key === undefined || key === '') {
    throw createUnauthenticatedRefusal(`${API_KEY_HEADER} is missing`);
  }
  if (keys.size > 1) {
    throw createUnauthenticatedRefusal(`${API_KEY_HEADER} has several values`);
  }
  const team = directory.findByKey(key);
  if (team === undefined) throw createUnauthenticatedRefusal('');
  return team;
}

function createUnauthenticatedRefusal(detail: string): RefusalError {
  return createNotRunRefusal(ErrorCode.Unauthenticated, detail);
}

function directoryOf(teams: Declarations['teams']): TeamDirectory {
  let directory = directories.get(teams);
  if (directory === undefined) {
    directory = TeamDirectory.create(
      {teams: new Map(Object.entries(teams).map(toTeam)), unusable: []},
      undefined,
    );
    directories.set(teams, directory);
  }
  return directory;
}

function toTeam([text, declared]: [string, TeamDeclaration]): [TeamName, Team] {
  const name = as<TeamName>(text);
  const {quota} = declared;
  const team: Team = {
    name,
    priority: declared.priority,
    keyDigests: declared.key_digests.map(digest => as<ApiKeyDigest>(digest)),
    quota: quota && {
      unit: quota.unit,
      perSecond: quota.per_second,
      burst: quota.burst,
      plainTokens: quota.plain_tokens,
    },
  };
  return [name, team];
}
