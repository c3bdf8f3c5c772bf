/**
 * Asks the owner of a piece of shared state: the first live node in its order. A
 * node that can't be reached is passed over, and the next one is told to take over;
 * that is safe because whoever takes over fences its predecessor in the platform.
 */

import type {Clock, Instant, Milliseconds, NodeId} from '@siskinmux/kernel';
import {
  ErrorCode,
  SiskinmuxError,
  after,
  earlier,
  sleepUntil,
} from '@siskinmux/kernel';

/** Pause before candidates are asked again. */
const ROUND_PAUSE_MILLISECONDS: Milliseconds = 50;

/** A peer did not answer, or stopped answering. */
export class PeerUnreachableError extends SiskinmuxError {
  constructor(detail: string, options?: ErrorOptions) {
    super(ErrorCode.PeerUnreachable, detail, options);
  }
}

/** An owner's answer, or a node's word that it is not the owner. */
export type OwnerReply<Reply> =
  | {readonly kind: 'answer'; readonly answer: Reply}
  | {readonly kind: 'not_owner'; readonly owner: NodeId | undefined};

/** A question to an owner. */
export interface OwnerRequest<Message> {
  /** Name of the piece of state. */
  readonly subject: string;
  readonly message: Message;
  /** The sender can't reach the nodes that come before the receiver. */
  readonly takeOver: boolean;
}

/** What an owner client needs from its surroundings. */
export interface OwnerClientOptions<Message, Reply> {
  readonly clock: Clock;
  readonly node: NodeId;
  /** Live nodes in the order in which they own a subject. */
  readonly rankedOwners: (subject: string) => readonly NodeId[];
  /** Answers a question that this node owns itself. */
  readonly handle: (
    question: OwnerRequest<Message>,
  ) => Promise<OwnerReply<Reply>>;
  /** Sends a question to a peer. Throws {@link PeerUnreachableError}. */
  readonly callPeer: (
    node: NodeId,
    question: OwnerRequest<Message>,
    until: Instant,
  ) => Promise<OwnerReply<Reply>>;
}

/** Finds and asks owners. */
export class OwnerClient<Message, Reply> {
  /** Owners that other nodes named; forgotten when they fail. */
  private readonly hints = new Map<string, NodeId>();

  private constructor(
    private readonly options: OwnerClientOptions<Message, Reply>,
  ) {}

  static create<Message, Reply>(
    options: OwnerClientOptions<Message, Reply>,
  ): OwnerClient<Message, Reply> {
    return new OwnerClient(options);
  }

  /** Forgets named owners, as after a change of the membership. */
  clearHints(): void {
    this.hints.clear();
  }

  /** Notes who took a subject over from this node. */
  setHint(subject: string, owner: NodeId): void {
    this.hints.set(subject, owner);
  }

  /** The owner that was named last. */
  hintedOwner(subject: string): NodeId | undefined {
    return this.hints.get(subject);
  }

  /** Asks candidates in turn until one answers. Throws {@link PeerUnreachableError} at `until`. */
  async call(subject: string, message: Message, until: Instant): Promise<Reply> {
    const {clock} = this.options;
    let unreachable = new Set<NodeId>();
    while (clock.now() < until) {
      const candidate = this.candidate(subject, unreachable);
      if (candidate === undefined) {
        unreachable = new Set();
        await this.pause(until);
        continue;
      }
      const takeOver = unreachable.size > 0;
      const question = {subject, message, takeOver};
      const reply = await this.send(candidate, question, until);
      if (reply?.kind === 'answer') return reply.answer;
      this.learn(subject, candidate, reply, unreachable);
      if (reply !== undefined) await this.pause(until);
    }
    throw new PeerUnreachableError(`no owner of ${subject} answered in time`);
  }

  private candidate(
    subject: string,
    unreachable: ReadonlySet<NodeId>,
  ): NodeId | undefined {
    const hint = this.hints.get(subject);
    if (hint !== undefined && !unreachable.has(hint)) return hint;
    return this.options.rankedOwners(subject).find(node => !unreachable.has(node));
  }

  private learn(
    subject: string,
    asked: NodeId,
    reply: OwnerReply<Reply> | undefined,
    unreachable: Set<NodeId>,
  ): void {
    this.hints.delete(subject);
    if (reply === undefined) {
      unreachable.add(asked);
      return;
    }
    const owner = reply.kind === 'not_owner' ? reply.owner : undefined;
    if (owner === undefined || owner === asked) return;
    if (this.options.rankedOwners(subject).includes(owner)) {
      this.hints.set(subject, owner);
    }
  }

  private async send(
    node: NodeId,
    question: OwnerRequest<Message>,
    until: Instant,
  ): Promise<OwnerReply<Reply> | undefined> {
    if (node === this.options.node) {
      return this.withinDeadline(this.options.handle(question), until);
    }
    try {
      return await this.options.callPeer(node, question, until);
    } catch (failure) {
      if (failure instanceof PeerUnreachableError) return undefined;
      throw failure;
    }
  }

  private withinDeadline(
    reply: Promise<OwnerReply<Reply>>,
    until: Instant,
  ): Promise<OwnerReply<Reply> | undefined> {
    return new Promise((resolve, reject) => {
      const cancel = this.options.clock.schedule(until, () =>
        resolve(undefined),
      );
      reply.then(resolve, reject).finally(cancel);
    });
  }

  private pause(until: Instant): Promise<void> {
    const {clock} = this.options;
    const next = after(clock.now(), ROUND_PAUSE_MILLISECONDS);
    return sleepUntil(clock, earlier(next, until));
  }
}
