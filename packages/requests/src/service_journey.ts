/** A call of a plain service on its way, and the declared call that it belongs to. */

import type {
  Clock,
  EndpointId,
  Fingerprint,
  IdempotencyKey,
  Instant,
  RequestId,
} from '@siskinmux/kernel';
import {ErrorCode, after, refuseNotRun} from '@siskinmux/kernel';
import type {
  Declarations,
  Priority,
  ServiceCallDeclaration,
  ServiceDeclaration,
} from '@siskinmux/declarations';
import {ownEntry} from '@siskinmux/declarations';
import type {ServiceAnswer} from '@siskinmux/ports';
import {refuseUnknownTarget} from './refusal.js';

/** A caller's call of a plain service. */
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
  readonly fingerprint: Fingerprint;
  readonly signal: AbortSignal;
}

/** The endpoint's answer, or the one kept from an earlier run. */
export interface ServiceReply {
  readonly answer: ServiceAnswer;
  readonly isReplay: boolean;
}

/** A request with what was declared of it and what its tries have taught. */
export interface ServiceCallContext {
  readonly request: ServiceRequest;
  readonly declaration: ServiceDeclaration;
  readonly call: ServiceCallDeclaration;
  readonly callName: string;
  readonly deadline: Instant;
  readonly avoid: Set<EndpointId>;
  retryCount: number;
}

/** Finds the declared call; refuses unknown ones and those that come too late. */
export function beginJourney(
  request: ServiceRequest,
  declarations: Declarations,
  clock: Clock,
): ServiceCallContext {
  const declaration = ownEntry(declarations.services, request.service);
  const found = declaration && findCall(declaration, request);
  if (declaration === undefined || found === undefined) {
    const subject = `${request.method} ${request.service}${request.path}`;
    throw refuseUnknownTarget(declarations, subject);
  }
  const [callName, call] = found;
  const now = clock.now();
  const deadline =
    request.deadline ?? after(now, call.default_deadline_milliseconds);
  if (deadline <= now) throw refuseNotRun(ErrorCode.DeadlinePassed, '');
  return {
    request,
    declaration,
    call,
    callName,
    deadline,
    avoid: new Set(),
    retryCount: 0,
  };
}

/** The call whose path prefix fits best. */
function findCall(
  declaration: ServiceDeclaration,
  request: ServiceRequest,
): [string, ServiceCallDeclaration] | undefined {
  return Object.entries(declaration.calls)
    .filter(
      ([, call]) =>
        (call.methods as readonly string[]).includes(request.method) &&
        isBelow(request.path, call.path),
    )
    .sort(([, left], [, right]) => right.path.length - left.path.length)[0];
}

function isBelow(path: string, prefix: string): boolean {
  const plain = path.split('?', 1)[0] ?? '';
  const root = prefix.endsWith('/') ? prefix.slice(0, -1) : prefix;
  return plain === root || plain.startsWith(`${root}/`);
}
