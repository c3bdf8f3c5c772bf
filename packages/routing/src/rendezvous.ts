/**
 * Rendezvous hashing: each key ranks all members by a hash of key and member, so that a
 * member that joins or leaves moves only its own share of the keys.
 */

/**
 * 32-bit FNV-1a hash with a finalizer that mixes the bits. It is fast and yields the same
 * value on every node.
 */
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

/** Returns the members in the order in which they own `key`, the owner first. */
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

/** Returns the owner of `key`; undefined when there are no members. */
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
