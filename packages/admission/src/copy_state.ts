/** Copies of state, on which a decision is tried without an effect on the original. */

/**
 * Copies plain objects, instances of classes, arrays, maps and sets with all that they refer to.
 * Functions are shared: a copy must not call one that has an effect elsewhere.
 */
export function copyState<State>(state: State): State {
  return copyOf(state, new Map()) as State;
}

/** `copies` keeps objects the same that several others refer to. */
function copyOf(value: unknown, copies: Map<object, object>): unknown {
  if (typeof value !== 'object' || value === null) return value;
  const known = copies.get(value);
  if (known !== undefined) return known;
  if (value instanceof Map) {
    const copy = new Map<unknown, unknown>();
    copies.set(value, copy);
    for (const [key, each] of value)
      copy.set(copyOf(key, copies), copyOf(each, copies));
    return copy;
  }
  if (value instanceof Set) {
    const copy = new Set<unknown>();
    copies.set(value, copy);
    for (const each of value) copy.add(copyOf(each, copies));
    return copy;
  }
  const copy = (
    Array.isArray(value) ? [] : Object.create(Object.getPrototypeOf(value))
  ) as Record<string, unknown>;
  copies.set(value, copy);
  for (const [key, each] of Object.entries(value))
    copy[key] = copyOf(each, copies);
  return copy;
}
