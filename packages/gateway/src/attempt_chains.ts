/** The sends of one request that are open at the same time, and which of them its caller gets. */

import type {EndpointDescription} from '@siskinmux/endpoints';
import type {AbortReason, SentRequest} from '@siskinmux/forwarding';
import type {EndpointId, Instant, NodeId} from '@siskinmux/kernel';

/** Where a request is sent: to an endpoint, or to another node that serves it. */
export interface SendTarget {
  readonly endpoint: EndpointDescription | undefined;
  readonly peer: NodeId | undefined;
  readonly sentAt: Instant;
}

/** A send whose response is awaited or passed on. */
interface OpenSend {
  readonly sentRequest: SentRequest;
  /** Resolves when its response is no longer read. */
  readonly ended: Promise<void>;
  readonly end: () => void;
  /** Whether its run is already counted among those of the request. */
  isCounted: boolean;
  /** Whether it may bring no response. */
  isSuspected: boolean;
  /** Whether its endpoint has sent nothing for too long. */
  isSilent: boolean;
}

/** Told that a run went on, and that others were ended for it. */
export type SupersededObserver = (
  winner: AttemptChain,
  losers: readonly AttemptChain[],
) => void;

/** Sends one after the other; see {@link AttemptChains}. */
export class AttemptChain {
  private readonly controller = new AbortController();
  private openSend: OpenSend | undefined;
  private hasLost = false;
  private latestTarget: SendTarget | undefined;

  /** @internal Created by {@link AttemptChains.open}. */
  constructor(private readonly chains: AttemptChains) {}

  /** Target of the latest send; undefined before the first. */
  get target(): SendTarget | undefined {
    return this.latestTarget;
  }

  /** Aborted when another chain has gone on, or the request has ended. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  get isOver(): boolean {
    return this.signal.aborted;
  }

  /** Whether another chain went on first. */
  get isSuperseded(): boolean {
    return this.hasLost;
  }

  /** Whether another endpoint was faster, which shows no fault of this one. */
  get wasOnlySlower(): boolean {
    return this.hasLost && !(this.openSend?.isSilent ?? false);
  }

  get isSending(): boolean {
    return this.openSend !== undefined;
  }

  /** Whether its open send may bring no response; see {@link recordSuspicion}. */
  get isSuspected(): boolean {
    return this.openSend?.isSuspected ?? false;
  }

  /** Whether its open send may turn out to be a run that is not counted yet. */
  get hasUncountedRun(): boolean {
    return this.openSend !== undefined && !this.openSend.isCounted;
  }

  /** Records that a request was sent to the target. */
  beginSend(target: SendTarget, sentRequest: SentRequest): void {
    let end: () => void = () => {};
    const ended = new Promise<void>(resolve => {
      end = resolve;
    });
    this.latestTarget = target;
    this.openSend = {
      sentRequest,
      ended,
      end,
      isCounted: false,
      isSuspected: false,
      isSilent: false,
    };
    if (this.isOver)
      sentRequest.abort(this.hasLost ? 'superseded' : 'request_ended');
  }

  /** Records that the response of the open send is no longer read. */
  endSend(): void {
    this.openSend?.end();
    this.openSend = undefined;
    this.chains.releaseLead(this);
  }

  recordCounted(): void {
    if (this.openSend !== undefined) this.openSend.isCounted = true;
  }

  /** Records that the open send may bring no response, as the endpoint is silent or the links are lost. */
  recordSuspicion(isEndpointSilent: boolean): void {
    if (this.openSend === undefined) return;
    this.openSend.isSuspected = true;
    this.openSend.isSilent ||= isEndpointSilent;
  }

  /** Records which endpoint serves a relayed request. */
  recordEndpoint(endpoint: EndpointDescription | undefined): void {
    if (this.latestTarget !== undefined)
      this.latestTarget = {...this.latestTarget, endpoint};
  }

  /** Closes the connection of the open send. */
  abort(reason: AbortReason): void {
    this.openSend?.sentRequest.abort(reason);
  }

  /**
   * Makes the response of this chain the one that the caller gets, unless the response of another
   * one is being read.
   */
  tryLead(): boolean {
    return !this.isOver && this.chains.tryLead(this);
  }

  /**
   * Makes the response of this chain the one that the caller gets, and ends the others. False if
   * this one has been ended.
   */
  async lead(): Promise<boolean> {
    if (this.isOver) return false;
    const previous = this.chains.leader;
    this.supersedeOthers();
    if (previous !== this) await previous?.openSend?.ended;
    return this.tryLead();
  }

  /**
   * The endpoint has gone on, so that no other one has to serve the request. No effect on a chain
   * that has been ended: what its connection still delivers must not end the one that took over.
   */
  supersedeOthers(): void {
    if (this.isOver) return;
    if (this.openSend !== undefined) {
      this.openSend.isSuspected = false;
      this.openSend.isSilent = false;
    }
    this.chains.supersedeOthers(this);
  }

  /** @internal */
  supersede(): void {
    this.hasLost = true;
    this.controller.abort();
    this.abort('superseded');
  }

  /** @internal */
  cancel(): void {
    this.controller.abort();
    this.abort('request_ended');
  }
}

/**
 * The chains of sends of one request. There is a second one only while the endpoint of the first
 * is silent: its run stays the best one until another has something to pass on.
 */
export class AttemptChains {
  private readonly chains = new Set<AttemptChain>();
  private leadingChain: AttemptChain | undefined;
  private observer: SupersededObserver = () => {};

  private constructor() {}

  static create(): AttemptChains {
    return new AttemptChains();
  }

  /** The chain whose response is read for the caller. */
  get leader(): AttemptChain | undefined {
    return this.leadingChain;
  }

  /** Open sends that may turn out to be runs which are not counted yet. */
  get uncountedRuns(): number {
    return [...this.chains].filter(({hasUncountedRun}) => hasUncountedRun)
      .length;
  }

  get hasOpenSend(): boolean {
    return [...this.chains].some(({isSending}) => isSending);
  }

  onSuperseded(observer: SupersededObserver): void {
    this.observer = observer;
  }

  open(): AttemptChain {
    const chain = new AttemptChain(this);
    this.chains.add(chain);
    return chain;
  }

  close(chain: AttemptChain): void {
    chain.endSend();
    this.chains.delete(chain);
  }

  /** Whether another chain may still serve the request and nothing speaks against it. */
  hasPromisingOther(chain: AttemptChain): boolean {
    return [...this.chains].some(
      other => other !== chain && !other.isOver && !other.isSuspected,
    );
  }

  /** Whether another chain may still serve the request. */
  hasOther(chain: AttemptChain): boolean {
    return [...this.chains].some(other => other !== chain && !other.isOver);
  }

  /** Whether another chain has an open send at the endpoint. */
  isSentTo(endpoint: EndpointId, chain: AttemptChain): boolean {
    return [...this.chains].some(
      other =>
        other !== chain &&
        other.isSending &&
        other.target?.endpoint?.id === endpoint,
    );
  }

  /** Ends all chains, as the request has ended. */
  cancel(): void {
    for (const chain of [...this.chains]) chain.cancel();
  }

  /** @internal */
  tryLead(chain: AttemptChain): boolean {
    this.leadingChain ??= chain;
    return this.leadingChain === chain;
  }

  /** @internal */
  releaseLead(chain: AttemptChain): void {
    if (this.leadingChain === chain) this.leadingChain = undefined;
  }

  /** @internal */
  supersedeOthers(chain: AttemptChain): void {
    const others = [...this.chains].filter(
      other => other !== chain && !other.isOver,
    );
    if (others.length === 0) return;
    this.observer(chain, others);
    for (const other of others) other.supersede();
  }
}
