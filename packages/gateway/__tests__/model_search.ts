/**
 * Exhaustive search of the states that a model reaches. Its parts are asynchronous and can't be
 * copied, so each path is played from the start.
 */

/** A model that is driven one action at a time. */
export interface Model {
  /** What may happen next. */
  actions(): readonly string[];
  perform(action: string): Promise<void>;
  /** Equal for states that behave alike from here on. */
  fingerprint(): string;
  /** Ends all disturbances, and checks what has to hold some time after them. */
  conclude?(): Promise<void>;
  /** The rules that were broken so far. */
  readonly violations: readonly string[];
  stop(): void;
}

/** What a search has found. */
export interface SearchResult {
  readonly states: number;
  readonly transitions: number;
  /** The shortest paths to a broken rule. */
  readonly counterexamples: readonly string[];
}

/** Plays every path of up to `depth` actions, breadth first; states that were seen before end it. */
export async function searchStates(
  create: () => Promise<Model>,
  depth: number,
): Promise<SearchResult> {
  const seen = new Set<string>();
  const counterexamples: string[] = [];
  let transitions = 0;
  let frontier: (readonly string[])[] = [];

  const visit = async (path: readonly string[]): Promise<readonly string[]> => {
    const model = await create();
    for (const action of path) await model.perform(action);
    const state = model.fingerprint();
    const next = model.actions();
    if (!seen.has(state)) await model.conclude?.();
    const {violations} = model;
    model.stop();
    if (violations.length > 0) {
      counterexamples.push(`${path.join(', ')}: ${violations.join('; ')}`);
      return [];
    }
    if (seen.has(state)) return [];
    seen.add(state);
    return next;
  };

  for (const action of await visit([])) frontier.push([action]);
  for (let length = 1; length <= depth; length += 1) {
    const following: (readonly string[])[] = [];
    for (const path of frontier) {
      transitions += 1;
      for (const action of await visit(path)) following.push([...path, action]);
    }
    if (counterexamples.length > 0) break;
    frontier = following;
  }
  return {states: seen.size, transitions, counterexamples};
}
