/**
 * Error codes and their messages. Each expected failure is an instance of a class derived
 * from {@link SiskinmuxError}; docs/ERRORS.md lists the codes.
 */

/** Stable error codes; the last part of a problem's `type` in responses to callers. */
export enum ErrorCode {
  InvalidSettings = 'invalid-settings',
  InvalidDeclaration = 'invalid-declaration',
  InvalidRequest = 'invalid-request',
  BodyTooLarge = 'body-too-large',
  HeadTooLarge = 'head-too-large',
  HeadTimeout = 'head-timeout',
  BuffersFull = 'buffers-full',
  ResponsesFull = 'responses-full',
  UnknownTarget = 'unknown-target',
  Unauthenticated = 'unauthenticated',
  QuotaExceeded = 'quota-exceeded',
  MissingIdempotencyKey = 'missing-idempotency-key',
  IdempotencyKeyReused = 'idempotency-key-reused',
  DeadlineUnreachable = 'deadline-unreachable',
  DeadlinePassed = 'deadline-passed',
  QueueFull = 'queue-full',
  NoEndpoint = 'no-endpoint',
  LinksLost = 'links-lost',
  EndpointFailed = 'endpoint-failed',
  EndpointBusy = 'endpoint-busy',
  EndpointLimited = 'endpoint-limited',
  EndpointUnreachable = 'endpoint-unreachable',
  AnswerCut = 'answer-cut',
  OutcomeUnknown = 'outcome-unknown',
  AnswerNotKept = 'answer-not-kept',
  RequestQuarantined = 'request-quarantined',
  StreamOriginUnknown = 'stream-origin-unknown',
  ShuttingDown = 'shutting-down',
  CallerGone = 'caller-gone',
  PlatformUnavailable = 'platform-unavailable',
  PlatformBusy = 'platform-busy',
  WriteOutcomeUnknown = 'write-outcome-unknown',
  VersionConflict = 'version-conflict',
  ValueTooLarge = 'value-too-large',
  StoredObjectInvalid = 'stored-object-invalid',
  HistoryGone = 'history-gone',
  ChangesTooLong = 'changes-too-long',
  ConfigurationConflict = 'configuration-conflict',
  ConfigurationUnavailable = 'configuration-unavailable',
  NotOwner = 'not-owner',
  PeerUnreachable = 'peer-unreachable',
  StaleOrder = 'stale-order',
  OrderRefused = 'order-refused',
  NoRoom = 'no-room',
  DuplicateRegistration = 'duplicate-registration',
  MissingProvider = 'missing-provider',
  UsageError = 'usage-error',
  InvariantViolated = 'invariant-violated',
}

/** Message of each code, followed by the `detail` of the error. */
export const ERROR_MESSAGES: Record<ErrorCode, string> = {
  [ErrorCode.InvalidSettings]: 'The settings file is not valid.',
  [ErrorCode.InvalidDeclaration]: 'A declaration is not valid.',
  [ErrorCode.InvalidRequest]: 'The request is not valid.',
  [ErrorCode.BodyTooLarge]: 'The request body is larger than allowed.',
  [ErrorCode.HeadTooLarge]: 'The request head is larger than allowed.',
  [ErrorCode.HeadTimeout]: 'The request head took longer than allowed.',
  [ErrorCode.BuffersFull]: 'This node has no memory left for the request body.',
  [ErrorCode.ResponsesFull]:
    'This node has no memory left for the responses to its own calls.',
  [ErrorCode.UnknownTarget]:
    'No model, adapter, version or service has this name.',
  [ErrorCode.Unauthenticated]: 'No team has the API key of this request.',
  [ErrorCode.QuotaExceeded]: 'The quota of the team is used up for now.',
  [ErrorCode.MissingIdempotencyKey]:
    'This call may not be repeated and needs an Idempotency-Key header.',
  [ErrorCode.IdempotencyKeyReused]:
    'The Idempotency-Key was used before for a different request.',
  [ErrorCode.DeadlineUnreachable]:
    'The request could not be answered before its deadline.',
  [ErrorCode.DeadlinePassed]: 'The deadline passed before the request ran.',
  [ErrorCode.QueueFull]: 'Too many requests wait for this target.',
  [ErrorCode.NoEndpoint]: 'No endpoint can serve this target now.',
  [ErrorCode.LinksLost]:
    'Neither this node nor one that it knows reaches an endpoint of this target.',
  [ErrorCode.EndpointFailed]: 'The endpoint ran the request and failed.',
  [ErrorCode.EndpointBusy]: 'The endpoint took no more work.',
  [ErrorCode.EndpointLimited]:
    'All endpoints of this target have named limits, which are used up for now.',
  [ErrorCode.EndpointUnreachable]: 'The endpoint could not be reached.',
  [ErrorCode.AnswerCut]: 'The answer ended before it was complete.',
  [ErrorCode.OutcomeUnknown]:
    'The request may have run; it will not be sent again.',
  [ErrorCode.AnswerNotKept]:
    'The request ran, but its answer was too large to keep.',
  [ErrorCode.RequestQuarantined]:
    'Endpoints failed while running this request; it is not sent again for now.',
  [ErrorCode.StreamOriginUnknown]:
    'No node knows at which software version this stream began.',
  [ErrorCode.ShuttingDown]: 'This node takes no new work.',
  [ErrorCode.CallerGone]: 'The caller closed the connection.',
  [ErrorCode.PlatformUnavailable]: 'The object service did not answer.',
  [ErrorCode.PlatformBusy]: 'The object service refused for its rate limit.',
  [ErrorCode.WriteOutcomeUnknown]:
    'The answer to a write was lost; it may have taken effect.',
  [ErrorCode.VersionConflict]:
    'The object has another version than the expected one.',
  [ErrorCode.ValueTooLarge]:
    'The value is larger than the object service holds.',
  [ErrorCode.StoredObjectInvalid]: 'A stored object could not be read.',
  [ErrorCode.HistoryGone]: 'The store no longer has these changes.',
  [ErrorCode.ChangesTooLong]:
    'A list is shorter than the changes since a revision.',
  [ErrorCode.ConfigurationConflict]:
    'The configuration has moved on since the patch was made.',
  [ErrorCode.ConfigurationUnavailable]: 'No current configuration is known.',
  [ErrorCode.NotOwner]: 'Another node owns this shard.',
  [ErrorCode.PeerUnreachable]: 'A peer node could not be reached.',
  [ErrorCode.StaleOrder]: 'The engine has seen a newer fencing number.',
  [ErrorCode.OrderRefused]: 'The engine refused the order.',
  [ErrorCode.NoRoom]: 'No engine has room for the model.',
  [ErrorCode.DuplicateRegistration]: 'A name was registered twice.',
  [ErrorCode.MissingProvider]: 'No plug-in provides a required service.',
  [ErrorCode.UsageError]: 'The command line is not valid.',
  [ErrorCode.InvariantViolated]: 'An invariant does not hold.',
};

/** Base class of all typed failures. */
export class SiskinmuxError extends Error {
  constructor(
    /** Stable code from {@link ErrorCode}. */
    readonly code: ErrorCode,
    /** Human-readable specifics of this failure; never contains secrets. */
    readonly detail: string,
    options?: ErrorOptions,
  ) {
    super(`${ERROR_MESSAGES[code]} ${detail}`.trim(), options);
    this.name = new.target.name;
  }
}

/** A name or number was registered with the kernel twice. */
export class DuplicateRegistrationError extends SiskinmuxError {
  constructor(kind: string, name: string) {
    super(ErrorCode.DuplicateRegistration, `${kind} ${name}`);
  }
}

/** No installed plug-in provides an injected service. */
export class MissingProviderError extends SiskinmuxError {
  constructor(key: string) {
    super(ErrorCode.MissingProvider, key);
  }
}

/** A setting is missing, unknown or invalid. */
export class SettingsError extends SiskinmuxError {
  constructor(
    /** Key path in the settings file; the file's own path if it can't be read or parsed. */
    readonly path: string,
    readonly problem: string,
  ) {
    super(ErrorCode.InvalidSettings, `${path}: ${problem}`);
  }
}

/** A checked invariant does not hold; always a defect in this system. */
export class InvariantViolatedError extends SiskinmuxError {
  constructor(detail: string) {
    super(ErrorCode.InvariantViolated, detail);
  }
}
