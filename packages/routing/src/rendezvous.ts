/**
 * Rendezvous hashing: each key ranks all members by a hash of both, so that a
 * member that comes or goes moves only its own share of the keys.
 */

/** FNV-1a, 32 bits, with a final mix; fast and the same on every node. */
export function hash32(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) {
    hash ^= text.charCodeAt(index);
    hash = Math.imul(hash, 0x01000193);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  hash ^= hash >>> 16;
  return hash >>> 0;
}

/** Members from the first owner of `key` to the last. */
export function rankMembers<Member extends string>(
  key: string,
  members: readonly Member[],
): Member[] {
  const scored = members.map(member => ({
    member,
    score: hash32(`${key}/${member}`),
  }));
  scored.sort(
    (left, right) =>
      right.score - left.score || (left.member < right.member ? -1 : 1),
  );
  return scored.map(({member}) => member);
}

/** The first owner of `key`; undefined when there are no members. */
export function ownerOf<Member extends string>(
  key: string,
  members: readonly Member[],
): Member | undefined {
  let owner: Member | undefined;
  let best = -1;
  for (const member of members) {
    const score = hash32(`${key}/${member}`);
    const isBetter =
      score > best || (score === best && owner !== undefined && member < owner);
    if (isBetter) {
      best = score;
      owner = member;
    }
  }
  return owner;
}
