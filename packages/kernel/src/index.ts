/** Platform-independent core: IDs, time, randomness, errors, events, tasks and plug-ins. */

export type {
  AdapterName,
  ApiKeyDigest,
  Brand,
  ConfigurationNumber,
  EndpointId,
  FailureDomain,
  FencingNumber,
  Fingerprint,
  HostId,
  IdempotencyKey,
  ModelName,
  NodeId,
  ObjectVersion,
  RequestId,
  ServiceName,
  StoreEra,
  TeamName,
} from './brand.js';
export {as} from './brand.js';
export {
  UNKNOWN_ERA,
  eraOf,
  isEra,
  isRevision,
  revisionOf,
  versionOf,
} from './store_version.js';
export {scheduleWhileAwake} from './awake_timer.js';
export type {CancelTimer, Clock, Instant, Milliseconds} from './time.js';
export {after, earlier, later, sleepFor, sleepUntil, until} from './time.js';
export type {Random} from './random.js';
export {jitter, randomBelow} from './random.js';
export {Outcome} from './outcome.js';
export {
  DuplicateRegistrationError,
  ERROR_MESSAGES,
  ErrorCode,
  InvariantViolatedError,
  MissingProviderError,
  SettingsError,
  SiskinmuxError,
} from './errors.js';
export type {
  EmitEvent,
  EventDescriptor,
  EventFields,
  EventLevel,
} from './events.js';
export {discardEvents} from './events.js';
export {
  RefusalError,
  createNotRunRefusal,
  createUnknownOutcomeRefusal,
  toRefusal,
} from './refusal.js';
export type {MessageHandler} from './mailbox.js';
export {Mailbox} from './mailbox.js';
export type {
  InjectionKey,
  Plugin,
  RawSettings,
  SettingsSection,
  Task,
} from './kernel.js';
export {Kernel, injectionKey} from './kernel.js';
