/** Continuation of streams: at which software version they began, and where they may continue. */

export {CONTINUITY_EVENTS} from './continuity_events.js';
export {
  decodeOrigins,
  encodeOrigins,
  originsSchema,
} from './origin_messages.js';
export type {OriginWriterOptions} from './origin_writer.js';
export {OriginWriter} from './origin_writer.js';
export {ServiceVersions} from './service_versions.js';
export {ORIGINS_KIND, StoredOrigins} from './stored_origins.js';
export type {
  OriginExchange,
  StreamContinuityOptions,
  ResumedStream,
} from './stream_continuity.js';
export {StreamContinuity} from './stream_continuity.js';
export type {StreamOrigin} from './stream_origins.js';
export {StreamOrigins} from './stream_origins.js';
