/**
 * Sends requests to the owner of a piece of shared state: the live node that ranks
 * first for it. When that node is unreachable, the next one is asked to take over.
 * This is safe because a takeover fences the previous owner in the platform.
 */

import type {Clock, Instant, Milliseconds, NodeId} from '@siskinmux/kernel';
import {
  ErrorCode,
  SiskinmuxError,
  after,
  earlier,
  sleepUntil,
} from '@siskinmux/kernel';

/** Delay before candidates are tried again. */
const RETRY_DELAY_MILLISECONDS: Milliseconds = 50;

/** A peer did not respond, or stopped responding. */
export class PeerUnreachableError extends SiskinmuxError {
  constructor(detail: string, options?: ErrorOptions) {
    super(ErrorCode.PeerUnreachable, detail, options);
  }
}

/**
 * The owner's response, or a refusal by a node that is not the owner; it names the owner
 * that it knows of.
 */
export type OwnerReply<Reply> =
  | {readonly kind: 'answer'; readonly answer: Reply}
  | {readonly kind: 'not_owner'; readonly owner: NodeId | undefined};

/** A request to the owner of a subject. */
export interface OwnerRequest<Message> {
  /** Name of the owned piece of shared state, such as `claims/0` or `allocation/d0`. */
  readonly subject: string;
  readonly message: Message;
  /** The sender can't reach the nodes that rank before the receiver. */
  readonly takeOver: boolean;
}

/** Dependencies of {@link OwnerClient}. */
export interface OwnerClientOptions<Message, Reply> {
  readonly clock: Clock;
  readonly node: NodeId;
  /** Live nodes in the order in which they are to own a subject. */
  readonly rankedOwners: (subject: string) => readonly NodeId[];
  /** Handles a request for which this node is the candidate. */
  readonly handle: (
    request: OwnerRequest<Message>,
  ) => Promise<OwnerReply<Reply>>;
  /** Sends a request to a peer. Throws {@link PeerUnreachableError}. */
  readonly callPeer: (
    node: NodeId,
    request: OwnerRequest<Message>,
    deadline: Instant,
  ) => Promise<OwnerReply<Reply>>;
}

/** Finds the owner of a subject and sends it requests. */
export class OwnerClient<Message, Reply> {
  /** Owners reported by other nodes, until they are unreachable or deny ownership. */
  private readonly hints = new Map<string, NodeId>();

  private constructor(
    private readonly options: OwnerClientOptions<Message, Reply>,
  ) {}

  static create<Message, Reply>(
    options: OwnerClientOptions<Message, Reply>,
  ): OwnerClient<Message, Reply> {
    return new OwnerClient(options);
  }

  /** Discards all hints, for example after a membership change. */
  clearHints(): void {
    this.hints.clear();
  }

  /** Sets the node that took over a subject from this node. */
  setHint(subject: string, owner: NodeId): void {
    this.hints.set(subject, owner);
  }

  /** The owner of a subject that was reported last. */
  hintedOwner(subject: string): NodeId | undefined {
    return this.hints.get(subject);
  }

  /**
   * Tries candidates in turn until one responds as the owner. Throws
   * {@link PeerUnreachableError} at `deadline`.
   */
  async call(
    subject: string,
    message: Message,
    deadline: Instant,
  ): Promise<Reply> {
    const {clock} = this.options;
    let unreachable = new Set<NodeId>();
    while (clock.now() < deadline) {
      const candidate = this.nextCandidate(subject, unreachable);
      if (candidate === undefined) {
        unreachable = new Set();
        await this.waitBeforeRetry(deadline);
        continue;
      }
      const takeOver = unreachable.size > 0;
      const request = {subject, message, takeOver};
      const reply = await this.send(candidate, request, deadline);
      if (reply?.kind === 'answer') return reply.answer;
      this.recordFailedAttempt(subject, candidate, reply, unreachable);
      if (reply !== undefined) await this.waitBeforeRetry(deadline);
    }
    throw new PeerUnreachableError(`no owner of ${subject} answered in time`);
  }

  private nextCandidate(
    subject: string,
    unreachable: ReadonlySet<NodeId>,
  ): NodeId | undefined {
    const hint = this.hints.get(subject);
    if (hint !== undefined && !unreachable.has(hint)) return hint;
    return this.options
      .rankedOwners(subject)
      .find(node => !unreachable.has(node));
  }

  private recordFailedAttempt(
    subject: string,
    candidate: NodeId,
    reply: OwnerReply<Reply> | undefined,
    unreachable: Set<NodeId>,
  ): void {
    this.hints.delete(subject);
    if (reply === undefined) {
      unreachable.add(candidate);
      return;
    }
    const owner = reply.kind === 'not_owner' ? reply.owner : undefined;
    if (owner === undefined || owner === candidate) return;
    if (this.options.rankedOwners(subject).includes(owner)) {
      this.hints.set(subject, owner);
    }
  }

  private async send(
    node: NodeId,
    request: OwnerRequest<Message>,
    deadline: Instant,
  ): Promise<OwnerReply<Reply> | undefined> {
    if (node === this.options.node) {
      return this.withinDeadline(this.options.handle(request), deadline);
    }
    try {
      return await this.options.callPeer(node, request, deadline);
    } catch (failure) {
      if (failure instanceof PeerUnreachableError) return undefined;
      throw failure;
    }
  }

  private withinDeadline(
    reply: Promise<OwnerReply<Reply>>,
    deadline: Instant,
  ): Promise<OwnerReply<Reply> | undefined> {
    return new Promise((resolve, reject) => {
      const cancel = this.options.clock.schedule(deadline, () =>
        resolve(undefined),
      );
      reply.then(resolve, reject).finally(cancel);
    });
  }

  private waitBeforeRetry(deadline: Instant): Promise<void> {
    const {clock} = this.options;
    const retryAt = after(clock.now(), RETRY_DELAY_MILLISECONDS);
    return sleepUntil(clock, earlier(retryAt, deadline));
  }
}
