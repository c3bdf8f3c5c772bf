/** Numbered log events. A plug-in declares its events; docs/EVENTS.md is checked against them. */

/** Severity of an event, as a roarr level name. */
export type EventLevel = 'debug' | 'info' | 'warn' | 'error';

/** Catalogue entry of one event. */
export interface EventDescriptor {
  /** Unique number; the thousands name the package. */
  readonly number: number;
  /** Short stable name in kebab case. */
  readonly name: string;
  readonly level: EventLevel;
  /** What happened and what an operator may do about it. */
  readonly meaning: string;
}

/** Values that accompany an event; never secrets or request bodies. */
export type EventFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes one event; injected by the platform package. */
export type EmitEvent = (event: EventDescriptor, fields?: EventFields) => void;

/** Discards events; for tests and tools without a log. */
export const discardEvents: EmitEvent = () => {};
