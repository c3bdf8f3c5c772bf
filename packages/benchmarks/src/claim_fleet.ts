/** Seven nodes that claim keys through the real ledger, in virtual time. */

import type {Fingerprint, Instant, NodeId, Random} from '@siskinmux/kernel';
import {
  after,
  as,
  discardEvents,
  randomBelow,
  sleepFor,
} from '@siskinmux/kernel';
import type {AttemptId} from '@siskinmux/ledger';
import {Ledger, claimKeyOf} from '@siskinmux/ledger';
import {PeerUnreachableError} from '@siskinmux/membership';
import {rankMembers} from '@siskinmux/routing';
import {ObjectServiceStandIn} from '@siskinmux/standins';
import {VirtualClock, createSeededRandom} from '@siskinmux/testkit';

/** One way between two nodes. */
const PEER_DELAY_MILLISECONDS = 1;

/** Time that a claimed call runs. */
const RUN_MILLISECONDS = 30;

const RETENTION_MILLISECONDS = 3_600_000;

/** What is measured. */
export interface ClaimLoad {
  readonly nodes: number;
  readonly shards: number;
  readonly perSecond: number;
  readonly seconds: number;
  readonly roundTripMilliseconds: number;
  readonly seed: number;
  /** Time that callers give a request. */
  readonly timeoutMilliseconds: number;
  /** What happens at an instant, such as an outage. */
  readonly fault?: {
    readonly at: number;
    readonly act: (fleet: ClaimFleet) => void;
    readonly until: number;
    readonly undo: (fleet: ClaimFleet) => void;
  };
}

/** What came of it. */
export interface ClaimFigures {
  readonly claims: number;
  readonly refused: number;
  readonly writes: number;
  /** Added latency of each granted claim, in platform round trips. */
  readonly roundTrips: readonly number[];
  readonly bytesWritten: number;
}

/** The fleet under load. */
export class ClaimFleet {
  readonly clock = VirtualClock.create();
  readonly objectService: ObjectServiceStandIn;
  readonly dead = new Set<NodeId>();
  private readonly ledgers = new Map<NodeId, Ledger>();
  private readonly random: Random;
  private readonly roundTrips: number[] = [];
  private refused = 0;
  private claims = 0;

  private constructor(private readonly load: ClaimLoad) {
    const {clock} = this;
    this.random = createSeededRandom(load.seed);
    this.objectService = ObjectServiceStandIn.create({clock, random: this.random});
    this.objectService.faults.delayMilliseconds = load.roundTripMilliseconds;
    const ids = Array.from({length: load.nodes}, (_, index) =>
      as<NodeId>(`node-${index}`),
    );
    for (const id of ids) this.ledgers.set(id, this.createLedger(id, ids));
  }

  static create(load: ClaimLoad): ClaimFleet {
    return new ClaimFleet(load);
  }

  /** The node that owns the first shard. */
  get firstOwner(): NodeId {
    const [owner] = rankMembers('claims/0', [...this.ledgers.keys()]);
    return owner ?? as<NodeId>('');
  }

  /** Runs the load and lets what is open finish. */
  async run(): Promise<ClaimFigures> {
    const {load, clock} = this;
    const begin = clock.now();
    const end = after(begin, load.seconds * 1_000);
    this.schedule(begin);
    for (let at = 0; at < load.seconds * 1_000;) {
      at += (-Math.log(1 - this.random()) * 1_000) / load.perSecond;
      clock.schedule(after(begin, at), () => void this.claim());
    }
    await clock.advanceTo(end);
    const {writes} = this.objectService.counts;
    await clock.advance(this.load.timeoutMilliseconds + 2_000);
    const {claims, refused, roundTrips} = this;
    return {
      claims,
      refused,
      writes,
      roundTrips,
      bytesWritten: this.objectService.bytesWritten,
    };
  }

  private schedule(begin: Instant): void {
    const {fault} = this.load;
    if (fault === undefined) return;
    this.clock.schedule(after(begin, fault.at), () => fault.act(this));
    this.clock.schedule(after(begin, fault.until), () => fault.undo(this));
  }

  private async claim(): Promise<void> {
    const {clock, load} = this;
    const live = [...this.ledgers].filter(([id]) => !this.dead.has(id));
    const chosen = live[randomBelow(this.random, live.length)];
    if (chosen === undefined) return;
    const [node, ledger] = chosen;
    this.claims += 1;
    const name = `key-${this.claims}`;
    const key = claimKeyOf('coupons/issue', name);
    const attempt = as<AttemptId>(`attempt-${this.claims}`);
    const startedAt = clock.now();
    const deadline = after(startedAt, this.load.timeoutMilliseconds);
    const expiresAt = after(deadline, RETENTION_MILLISECONDS);
    try {
      const reply = await ledger.claim(
        {
          key,
          fingerprint: as<Fingerprint>(name),
          attempt,
          node,
          deadline,
          expiresAt,
          traceparent: undefined,
        },
        deadline,
      );
      if (reply.kind !== 'granted') throw new PeerUnreachableError(reply.kind);
    } catch {
      this.refused += 1;
      void ledger.reportEnd(key, attempt, {kind: 'not_run'}, expiresAt);
      return;
    }
    this.roundTrips.push(
      (clock.now() - startedAt) / load.roundTripMilliseconds,
    );
    await sleepFor(clock, RUN_MILLISECONDS);
    const answer = {status: 200, contentType: 'application/json', body: ANSWER};
    void ledger.reportEnd(key, attempt, {kind: 'answered', answer}, expiresAt);
  }

  private createLedger(id: NodeId, ids: readonly NodeId[]): Ledger {
    const {clock} = this;
    return Ledger.create({
      objects: this.objectService,
      clock,
      node: id,
      shards: this.load.shards,
      emit: discardEvents,
      rankedOwners: subject => rankMembers(subject, ids),
      isNodeTerminated: () => false,
      startClaimSpan: () => () => {},
      callPeer: async (node, question, until) => {
        await sleepFor(clock, PEER_DELAY_MILLISECONDS);
        const target = this.ledgers.get(node);
        if (target === undefined || this.dead.has(node)) {
          throw new PeerUnreachableError(node);
        }
        const reply = await withDeadline(clock, until, target.handle(question));
        await sleepFor(clock, PEER_DELAY_MILLISECONDS);
        return reply;
      },
    });
  }
}

const ANSWER = JSON.stringify({coupon: 'c'.repeat(36), value: 150});

function withDeadline<Result>(
  clock: VirtualClock,
  until: Instant,
  work: Promise<Result>,
): Promise<Result> {
  return new Promise((resolve, reject) => {
    const cancel = clock.schedule(until, () =>
      reject(new PeerUnreachableError('too late')),
    );
    work.then(resolve, reject).finally(cancel);
  });
}
