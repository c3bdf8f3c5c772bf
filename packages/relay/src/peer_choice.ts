/** Chooses the node that serves a request which this node can't serve itself. */

import type {
  CancelTimer,
  Clock,
  FailureDomain,
  Instant,
  Milliseconds,
  NodeId,
  Random,
  ServiceName,
} from '@siskinmux/kernel';
import {after, randomBelow} from '@siskinmux/kernel';
import type {RelayPeer} from './relay_peer.js';
import {reaches} from './relay_peer.js';

/** A peer that couldn't be reached, or can't serve requests itself, isn't used for this long. */
const AVOIDANCE_MILLISECONDS: Milliseconds = 1_000;

/**
 * Peers of the own failure domain carry its requests while at least this part of it reaches the
 * endpoints; otherwise all domains share them.
 */
const MINIMUM_DOMAIN_SHARE = 0.5;

/** Dependencies of {@link PeerChoice}. */
export interface PeerChoiceOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly failureDomain: FailureDomain;
}

/** This node's peers, and the requests that it has relayed to them. */
export class PeerChoice {
  private peers: readonly RelayPeer[] = [];
  private readonly relayed = new Map<NodeId, number>();
  private readonly avoidedUntil = new Map<NodeId, Instant>();

  private constructor(private readonly options: PeerChoiceOptions) {}

  static create(options: PeerChoiceOptions): PeerChoice {
    return new PeerChoice(options);
  }

  /** Replaces the peers; without a lease holder, the last ones are kept. */
  setPeers(peers: readonly RelayPeer[]): void {
    this.peers = peers;
    const known = new Set(peers.map(({node}) => node));
    for (const node of this.avoidedUntil.keys())
      if (!known.has(node)) this.avoidedUntil.delete(node);
  }

  /** One of {@link candidates}; undefined if no peer reaches the service. */
  choose(
    service: ServiceName,
    tried: ReadonlySet<NodeId>,
  ): RelayPeer | undefined {
    const best = this.candidates(service, tried);
    return best[randomBelow(this.options.random, best.length)];
  }

  /** The peers that reach the service with the fewest relayed requests of this node. */
  candidates(
    service: ServiceName,
    tried: ReadonlySet<NodeId>,
  ): readonly RelayPeer[] {
    const now = this.options.clock.now();
    const usable = this.peers.filter(
      peer =>
        reaches(peer, service) &&
        !tried.has(peer.node) &&
        (this.avoidedUntil.get(peer.node) ?? now) <= now,
    );
    const preferred = this.preferOwnDomain(usable, service);
    const count = (peer: RelayPeer): number => this.relayed.get(peer.node) ?? 0;
    const fewest = Math.min(...preferred.map(count));
    return preferred.filter(peer => count(peer) === fewest);
  }

  /** Counts a relayed request until the returned function is called. */
  track({node}: RelayPeer): CancelTimer {
    this.relayed.set(node, (this.relayed.get(node) ?? 0) + 1);
    let isCounted = true;
    return () => {
      if (!isCounted) return;
      isCounted = false;
      const rest = (this.relayed.get(node) ?? 1) - 1;
      if (rest > 0) this.relayed.set(node, rest);
      else this.relayed.delete(node);
    };
  }

  /** Avoids a peer that couldn't be reached or can't serve requests itself. */
  avoid({node}: RelayPeer): void {
    const {clock} = this.options;
    this.avoidedUntil.set(node, after(clock.now(), AVOIDANCE_MILLISECONDS));
  }

  /** Peers of the own failure domain cost no bytes between domains. */
  private preferOwnDomain(
    usable: readonly RelayPeer[],
    service: ServiceName,
  ): readonly RelayPeer[] {
    const isOwn = ({failureDomain}: RelayPeer): boolean =>
      failureDomain === this.options.failureDomain;
    const own = usable.filter(isOwn);
    const domain = this.peers.filter(isOwn);
    const reaching = domain.filter(peer => reaches(peer, service));
    // This node, which is cut, belongs to the domain, too.
    const share = reaching.length / (domain.length + 1);
    return own.length > 0 && share >= MINIMUM_DOMAIN_SHARE ? own : usable;
  }
}
