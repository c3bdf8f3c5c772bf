/** Allocates the failure domains that fall to this node, and finds the others' allocators. */

import type {
  Clock,
  FailureDomain,
  Instant,
  Milliseconds,
  NodeId,
  Plugin,
} from '@siskinmux/kernel';
import {after, as, injectionKey} from '@siskinmux/kernel';
import type {
  DomainAllocatorOptions,
  ExchangeResponse,
  ExchangeRequest,
  ReservationReport,
} from '@siskinmux/allocation';
import {
  ALLOCATION_EVENTS,
  DomainAllocator,
  HistogramKeepAlive,
} from '@siskinmux/allocation';
import type {Declarations} from '@siskinmux/declarations';
import {engineDomains} from '@siskinmux/declarations';
import type {Membership, OwnerRequest, OwnerReply} from '@siskinmux/membership';
import {OwnerClient} from '@siskinmux/membership';
import {rankMembers} from '@siskinmux/routing';
import {Gauge} from 'prom-client';
import {z} from 'zod';
import {createAskPeer} from './ask_peer.js';
import {CONFIGURATION} from './configuration_task.js';
import {ENDPOINTS} from './endpoint_adapters.js';
import type {Repetition} from '@siskinmux/runtime';
import {
  CLOCK,
  EMIT_EVENT,
  METRICS,
  NODE_IDENTITY,
  repeat,
} from '@siskinmux/runtime';
import {MEMBERSHIP} from './membership_task.js';
import {exchangeQuestionSchema, exchangeReplySchema} from './owner_messages.js';
import type {Peers} from './peers.js';
import {PEERS} from './peers.js';
import {HOSTS, PLATFORM, WEIGHT_STORE} from './platform.js';

/** Pause between two checks of which domains fall to this node. */
const OWNERSHIP_INTERVAL_MILLISECONDS: Milliseconds = 500;

/** How long a node that lost a domain leaves it to its new allocator. */
const REOPEN_HOLD_MILLISECONDS: Milliseconds = 5_000;

/** Time for a peer's report. */
const REPORT_TIMEOUT_MILLISECONDS: Milliseconds = 1_000;

const ASK = 'allocation.ask';
const REPORT = 'allocation.report';

interface AllocationTaskOptions {
  readonly clock: Clock;
  readonly node: NodeId;
  readonly peers: Peers;
  readonly membership: Membership;
  readonly declarations: () => Declarations;
  /** What every allocator of this node shares. */
  readonly allocator: Omit<
    DomainAllocatorOptions,
    'clock' | 'node' | 'declarations' | 'failureDomain' | 'onLost'
  >;
}

/** What a node reports of its domains, for `status`. */
export interface AllocationReport {
  readonly reservations: readonly ReservationReport[];
  readonly refusals: readonly {subject: unknown; reason: string}[];
}

/** Task that owns this node's allocators. */
export class AllocationTask {
  private readonly allocators = new Map<FailureDomain, DomainAllocator>();
  private readonly lostAt = new Map<FailureDomain, Instant>();
  /** Domains taken over for nodes that can't reach the allocator before this one. */
  private readonly takenOverAt = new Map<FailureDomain, Instant>();
  private readonly owners: OwnerClient<ExchangeRequest, ExchangeResponse>;
  private readonly checking: Repetition;
  private isStopped = false;

  private constructor(private readonly options: AllocationTaskOptions) {
    const {clock, node, peers, membership} = options;
    this.owners = OwnerClient.create({
      clock,
      node,
      rankedOwners: subject => this.ownersOf(subject),
      handle: question => this.handle(question),
      callPeer: createAskPeer({
        peers,
        membership,
        method: ASK,
        replySchema: exchangeReplySchema,
      }),
    });
    peers.handle(ASK, exchangeQuestionSchema, question =>
      this.handle(question),
    );
    peers.handle(REPORT, z.unknown(), async () => this.ownReport());
    membership.onChange(() => this.owners.clearHints());
    this.checking = repeat(clock, OWNERSHIP_INTERVAL_MILLISECONDS, () =>
      this.checkOwnership(),
    );
  }

  static create(options: AllocationTaskOptions): AllocationTask {
    return new AllocationTask(options);
  }

  /** Failure domains that this node allocates now. */
  get ownedDomains(): number {
    return this.allocators.size;
  }

  /** Starts to allocate what falls to this node. */
  start(): void {
    this.checking.start();
  }

  /** Allocates nothing more. */
  stop(): void {
    this.isStopped = true;
    this.checking.stop();
    for (const allocator of this.allocators.values()) allocator.stop();
    this.allocators.clear();
  }

  /** Exchanges with a domain's allocator. Throws `PeerUnreachableError`. */
  ask(
    domain: FailureDomain,
    message: ExchangeRequest,
    until: Instant,
  ): Promise<ExchangeResponse> {
    return this.owners.call(subjectOf(domain), message, until);
  }

  /** What all allocators of all nodes report. */
  async report(): Promise<AllocationReport> {
    const {clock, peers, membership} = this.options;
    const until = after(clock.now(), REPORT_TIMEOUT_MILLISECONDS);
    const answers = await Promise.allSettled(
      membership.others.map(member =>
        peers.call(member.address, REPORT, [], until),
      ),
    );
    const reports = answers.flatMap(answer =>
      answer.status === 'fulfilled' ? [answer.value as AllocationReport] : [],
    );
    reports.push(this.ownReport());
    return {
      reservations: reports.flatMap(report => report.reservations),
      refusals: reports.flatMap(report => report.refusals),
    };
  }

  private ownReport(): AllocationReport {
    const all = [...this.allocators.values()];
    return {
      reservations: all.flatMap(allocator => allocator.report()),
      refusals: all.flatMap(allocator => allocator.latestRefusals),
    };
  }

  private async handle(
    question: OwnerRequest<ExchangeRequest>,
  ): Promise<OwnerReply<ExchangeResponse>> {
    const domain = domainOf(question.subject);
    if (!this.mayOwn(domain, question.takeOver)) {
      return {
        kind: 'not_owner',
        owner: this.owners.hintedOwner(question.subject),
      };
    }
    if (question.takeOver) {
      this.takenOverAt.set(domain, this.options.clock.now());
    }
    const allocator = this.allocatorOf(domain);
    await allocator.ready;
    return {kind: 'answer', answer: allocator.exchange(question.message)};
  }

  /** Opens and closes allocators as domains and nodes come and go. */
  private checkOwnership(): void {
    const domains = domainsIn(this.options.declarations());
    for (const domain of domains) {
      if (this.mayOwn(domain, false)) this.allocatorOf(domain);
    }
    for (const [domain, allocator] of this.allocators) {
      const isFirst = this.ownersOf(subjectOf(domain))[0] === this.options.node;
      const isKept = isFirst || this.isWithinHold(this.takenOverAt.get(domain));
      if (domains.has(domain) && isKept) continue;
      allocator.stop();
      this.allocators.delete(domain);
    }
  }

  private mayOwn(domain: FailureDomain, takeOver: boolean): boolean {
    if (this.isStopped) return false;
    if (takeOver || this.allocators.has(domain)) return true;
    const isHeldOff = this.isWithinHold(this.lostAt.get(domain));
    const [first] = this.ownersOf(subjectOf(domain));
    return !isHeldOff && first === this.options.node;
  }

  private isWithinHold(since: Instant | undefined): boolean {
    if (since === undefined) return false;
    return this.options.clock.now() < after(since, REOPEN_HOLD_MILLISECONDS);
  }

  private allocatorOf(domain: FailureDomain): DomainAllocator {
    let allocator = this.allocators.get(domain);
    if (allocator === undefined) {
      const {clock, node, declarations} = this.options;
      allocator = DomainAllocator.create({
        ...this.options.allocator,
        clock,
        node,
        declarations,
        failureDomain: domain,
        onLost: holder => this.lose(domain, holder),
      });
      this.allocators.set(domain, allocator);
    }
    return allocator;
  }

  private lose(domain: FailureDomain, holder: NodeId | undefined): void {
    this.allocators.delete(domain);
    this.lostAt.set(domain, this.options.clock.now());
    if (holder !== undefined) this.owners.setHint(subjectOf(domain), holder);
  }

  /** Nodes of the same domain come first: they reach its engines when others can't. */
  private ownersOf(subject: string): NodeId[] {
    const {membership, node} = this.options;
    const domain = domainOf(subject);
    const ranked = rankMembers(subject, membership.live);
    const isNear = (id: NodeId): boolean =>
      (id === node
        ? membership.failureDomain
        : membership.member(id)?.failureDomain) === domain;
    return [...ranked.filter(isNear), ...ranked.filter(id => !isNear(id))];
  }
}

function subjectOf(domain: FailureDomain): string {
  return `allocation/${domain}`;
}

function domainOf(subject: string): FailureDomain {
  return as<FailureDomain>(subject.slice(subject.indexOf('/') + 1));
}

function domainsIn(declarations: Declarations): Set<FailureDomain> {
  const domains = engineDomains(declarations.endpoints);
  return new Set(domains.map(domain => as<FailureDomain>(domain)));
}

/** Key of the allocation task. */
export const ALLOCATION = injectionKey<AllocationTask>('allocation');

/** Provides {@link ALLOCATION}. */
export const allocationPlugin: Plugin = {
  name: 'allocation',
  install(kernel) {
    const {membership} = kernel.inject(MEMBERSHIP);
    const {state} = kernel.inject(CONFIGURATION);
    const endpoints = kernel.inject(ENDPOINTS);
    const hosts = kernel.inject(HOSTS);
    const task = AllocationTask.create({
      clock: kernel.inject(CLOCK),
      node: kernel.inject(NODE_IDENTITY).id,
      peers: kernel.inject(PEERS),
      membership,
      declarations: () => state.current.declarations,
      allocator: {
        objects: kernel.inject(PLATFORM).at('allocation'),
        engine: id => endpoints.engine(id),
        hostStatusOf: host => hosts.statusOf(host),
        weightStore: kernel.inject(WEIGHT_STORE),
        isNodeTerminated: node => membership.isTerminated(node),
        emit: kernel.inject(EMIT_EVENT),
        createKeepAlivePolicy: HistogramKeepAlive.create,
      },
    });
    kernel.addEvents(ALLOCATION_EVENTS);
    kernel.provide(ALLOCATION, task);
    kernel.inject(METRICS).registerMetric(
      new Gauge({
        name: 'siskinmux_owned_domains',
        help: 'Failure domains that this node allocates',
        registers: [],
        collect() {
          this.set(task.ownedDomains);
        },
      }),
    );
    kernel.addTask({
      name: 'allocation',
      start: () => task.start(),
      stop: () => task.stop(),
    });
  },
};
