/** Simulates nodes that claim keys through the real ledger, in virtual time. */

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

/** One-way network delay between two nodes. */
const PEER_DELAY_MILLISECONDS = 1;

/** Duration of a claimed call. */
const CALL_MILLISECONDS = 30;

const RETENTION_MILLISECONDS = 3_600_000;

/** Size of the fleet, its load and an optional fault. */
export interface ClaimWorkload {
  readonly nodes: number;
  readonly shards: number;
  readonly claimsPerSecond: number;
  readonly seconds: number;
  readonly roundTripMilliseconds: number;
  readonly seed: number;
  /** Time from the arrival of a request to its deadline. */
  readonly timeoutMilliseconds: number;
  /** A fault, such as an outage; `at` and `until` are milliseconds since the start. */
  readonly fault?: {
    readonly at: number;
    readonly inject: (fleet: ClaimFleet) => void;
    readonly until: number;
    readonly recover: (fleet: ClaimFleet) => void;
  };
}

/** Results of one run. */
export interface ClaimResult {
  readonly claims: number;
  readonly refused: number;
  readonly writes: number;
  /** Latency that each granted claim adds, in platform round trips. */
  readonly latenciesInRoundTrips: readonly number[];
  /** When each of them was granted. */
  readonly grantedAt: readonly Instant[];
  readonly bytesWritten: number;
}

/** Nodes that share one object service and receive claims at random. */
export class ClaimFleet {
  readonly clock = VirtualClock.create();
  readonly objectService: ObjectServiceStandIn;
  /** Nodes that have crashed: they receive no more claims and respond to no peer. */
  readonly dead = new Set<NodeId>();
  private readonly ledgers = new Map<NodeId, Ledger>();
  private readonly random: Random;
  private readonly latenciesInRoundTrips: number[] = [];
  private readonly grantedAt: Instant[] = [];
  private refused = 0;
  private claims = 0;

  private constructor(private readonly workload: ClaimWorkload) {
    const {clock} = this;
    this.random = createSeededRandom(workload.seed);
    this.objectService = ObjectServiceStandIn.create({
      clock,
      random: this.random,
    });
    this.objectService.faults.delayMilliseconds =
      workload.roundTripMilliseconds;
    const ids = Array.from({length: workload.nodes}, (_, index) =>
      as<NodeId>(`node-${index}`),
    );
    for (const id of ids) this.ledgers.set(id, this.createLedger(id, ids));
  }

  static create(workload: ClaimWorkload): ClaimFleet {
    return new ClaimFleet(workload);
  }

  /** Owner of the first shard. */
  get firstOwner(): NodeId {
    const [owner] = rankMembers('claims/0', [...this.ledgers.keys()]);
    return owner ?? as<NodeId>('');
  }

  /** Runs the load, then waits for open claims to finish. */
  async run(): Promise<ClaimResult> {
    const {workload, clock} = this;
    const startedAt = clock.now();
    const end = after(startedAt, workload.seconds * 1_000);
    this.scheduleFault(startedAt);
    for (let at = 0; at < workload.seconds * 1_000;) {
      at += (-Math.log(1 - this.random()) * 1_000) / workload.claimsPerSecond;
      clock.schedule(after(startedAt, at), () => void this.claim());
    }
    await clock.advanceTo(end);
    const {writes} = this.objectService.counts;
    await clock.advance(this.workload.timeoutMilliseconds + 2_000);
    const {claims, refused, latenciesInRoundTrips, grantedAt} = this;
    return {
      claims,
      refused,
      writes,
      latenciesInRoundTrips,
      grantedAt,
      bytesWritten: this.objectService.bytesWritten,
    };
  }

  private scheduleFault(startedAt: Instant): void {
    const {fault} = this.workload;
    if (fault === undefined) return;
    this.clock.schedule(after(startedAt, fault.at), () => fault.inject(this));
    this.clock.schedule(after(startedAt, fault.until), () =>
      fault.recover(this),
    );
  }

  private async claim(): Promise<void> {
    const {clock, workload} = this;
    const live = [...this.ledgers].filter(([id]) => !this.dead.has(id));
    const entry = live[randomBelow(this.random, live.length)];
    if (entry === undefined) return;
    const [node, ledger] = entry;
    this.claims += 1;
    const name = `key-${this.claims}`;
    const key = claimKeyOf('coupons/issue', name);
    const attempt = as<AttemptId>(`attempt-${this.claims}`);
    const startedAt = clock.now();
    const deadline = after(startedAt, this.workload.timeoutMilliseconds);
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
      void ledger.reportOutcome(key, attempt, {kind: 'not_run'}, expiresAt);
      return;
    }
    this.grantedAt.push(clock.now());
    this.latenciesInRoundTrips.push(
      (clock.now() - startedAt) / workload.roundTripMilliseconds,
    );
    await sleepFor(clock, CALL_MILLISECONDS);
    const answer = {
      status: 200,
      contentType: 'application/json',
      body: RESPONSE_BODY,
    };
    void ledger.reportOutcome(
      key,
      attempt,
      {kind: 'answered', answer},
      expiresAt,
    );
  }

  private createLedger(id: NodeId, ids: readonly NodeId[]): Ledger {
    const {clock} = this;
    return Ledger.create({
      objects: this.objectService,
      clock,
      node: id,
      shards: this.workload.shards,
      emit: discardEvents,
      rankedOwners: subject => rankMembers(subject, ids),
      isNodeTerminated: () => false,
      startClaimSpan: () => () => {},
      callPeer: async (node, request, deadline) => {
        await sleepFor(clock, PEER_DELAY_MILLISECONDS);
        const target = this.ledgers.get(node);
        if (target === undefined || this.dead.has(node)) {
          throw new PeerUnreachableError(node);
        }
        const reply = await rejectAfterDeadline(
          clock,
          deadline,
          target.handle(request),
        );
        await sleepFor(clock, PEER_DELAY_MILLISECONDS);
        return reply;
      },
    });
  }
}

const RESPONSE_BODY = JSON.stringify({coupon: 'c'.repeat(36), value: 150});

function rejectAfterDeadline<Result>(
  clock: VirtualClock,
  deadline: Instant,
  work: Promise<Result>,
): Promise<Result> {
  return new Promise((resolve, reject) => {
    const cancel = clock.schedule(deadline, () =>
      reject(new PeerUnreachableError('deadline passed')),
    );
    work.then(resolve, reject).finally(cancel);
  });
}
