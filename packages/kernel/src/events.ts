/** Numbered log events. Plug-ins declare their events; a test compares docs/EVENTS.md with them. */

/** Severity of an event; the names are log levels of roarr. */
export type EventLevel = 'debug' | 'info' | 'warn' | 'error';

/** Catalogue entry of one event. */
export interface EventDescriptor {
  /** Unique number; the thousands digit identifies the subsystem. */
  readonly number: number;
  /** Stable name in kebab case. */
  readonly name: string;
  readonly level: EventLevel;
  /** Explanation of the event, and what an operator can do about it. */
  readonly meaning: string;
}

/** Values logged with an event; never secrets or request bodies. */
export type EventFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Logs one event; injected through `EMIT_EVENT` of the runtime package. */
export type EmitEvent = (event: EventDescriptor, fields?: EventFields) => void;

/** Discards events; for tests and tools without a log. */
export const discardEvents: EmitEvent = () => {};
