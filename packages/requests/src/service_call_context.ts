/** State of a plain-service request across its attempts, and the call that it matches. */

import type {
  Clock,
  EndpointId,
  Fingerprint,
  IdempotencyKey,
  Instant,
  RequestId,
} from '@siskinmux/kernel';
import {ErrorCode, after, createNotRunRefusal} from '@siskinmux/kernel';
import type {
  Declarations,
  Priority,
  ServiceCallDeclaration,
  ServiceDeclaration,
} from '@siskinmux/declarations';
import {ownEntry} from '@siskinmux/declarations';
import type {ServiceResponse} from '@siskinmux/ports';
import {createUnknownTargetRefusal} from './unknown_target.js';

/** A caller's request to a plain service. */
export interface ServiceRequest {
  readonly id: RequestId;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: string;
  readonly idempotencyKey: IdempotencyKey | undefined;
  readonly deadline: Instant | undefined;
  readonly priority: Priority | undefined;
  /** Priority of the caller's team; undefined without teams. */
  readonly teamPriority: number | undefined;
  readonly fingerprint: Fingerprint;
  readonly signal: AbortSignal;
}

/** The endpoint's response, or the one stored from an earlier run. */
export interface ServiceReply {
  readonly answer: ServiceResponse;
  readonly isReplay: boolean;
}

/** A request with the call that it matches and the state of its attempts. */
export interface ServiceCallContext {
  readonly request: ServiceRequest;
  readonly declaration: ServiceDeclaration;
  readonly call: ServiceCallDeclaration;
  readonly callName: string;
  readonly deadline: Instant;
  readonly triedEndpoints: Set<EndpointId>;
  retryCount: number;
}

/** Matches a request to a declared call. Refuses undeclared calls and passed deadlines. */
export function createCallContext(
  request: ServiceRequest,
  declarations: Declarations,
  clock: Clock,
): ServiceCallContext {
  const declaration = ownEntry(declarations.services, request.service);
  const found = declaration && findCall(declaration, request);
  if (declaration === undefined || found === undefined) {
    const subject = `${request.method} ${request.service}${request.path}`;
    throw createUnknownTargetRefusal(declarations, subject);
  }
  const [callName, call] = found;
  const now = clock.now();
  const deadline =
    request.deadline ?? after(now, call.default_deadline_milliseconds);
  if (deadline <= now) throw createNotRunRefusal(ErrorCode.DeadlinePassed, '');
  return {
    request,
    declaration,
    call,
    callName,
    deadline,
    triedEndpoints: new Set(),
    retryCount: 0,
  };
}

/** The call with the longest matching path prefix. */
function findCall(
  declaration: ServiceDeclaration,
  request: ServiceRequest,
): [string, ServiceCallDeclaration] | undefined {
  return Object.entries(declaration.calls)
    .filter(
      ([, call]) =>
        (call.methods as readonly string[]).includes(request.method) &&
        isPathUnder(request.path, call.path),
    )
    .sort(([, left], [, right]) => right.path.length - left.path.length)[0];
}

function isPathUnder(path: string, prefix: string): boolean {
  const pathname = path.split('?', 1)[0] ?? '';
  const root = prefix.endsWith('/') ? prefix.slice(0, -1) : prefix;
  return pathname === root || pathname.startsWith(`${root}/`);
}
