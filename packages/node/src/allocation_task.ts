/** Runs the allocators of the failure domains that this node owns, and calls the others. */

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
  ExchangeRequest,
  ExchangeResponse,
  ReservationReport,
} from '@siskinmux/allocation';
import {
  ALLOCATION_EVENTS,
  DomainAllocator,
  HistogramKeepAlive,
} from '@siskinmux/allocation';
import type {Declarations} from '@siskinmux/declarations';
import {engineFailureDomains} from '@siskinmux/declarations';
import type {Membership, OwnerReply, OwnerRequest} from '@siskinmux/membership';
import {OwnerClient} from '@siskinmux/membership';
import {rankMembers} from '@siskinmux/routing';
import {Gauge} from 'prom-client';
import {z} from 'zod';
import {createOwnerCall} from './owner_call.js';
import {CONFIGURATION} from './configuration_task.js';
import {ENDPOINTS} from './endpoint_adapters.js';
import type {PeriodicJob} from '@siskinmux/runtime';
import {
  CLOCK,
  EMIT_EVENT,
  METRICS,
  NODE_IDENTITY,
  createPeriodicJob,
} from '@siskinmux/runtime';
import {MEMBERSHIP} from './membership_task.js';
import {exchangeReplySchema, exchangeRequestSchema} from './owner_messages.js';
import type {Peers} from './peers.js';
import {PEERS} from './peers.js';
import {HOSTS, PLATFORM, WEIGHT_STORE} from './platform.js';

/** Interval at which the node checks which domains it owns. */
const OWNERSHIP_INTERVAL_MILLISECONDS: Milliseconds = 500;

/**
 * Minimum time for which a node keeps a domain that it took over on request, even if it
 * does not rank first, and for which a node whose domain another one took over does not
 * reopen it, unless a peer requests a takeover.
 */
const OWNERSHIP_HOLD_MILLISECONDS: Milliseconds = 5_000;

/** Time limit for a peer's report. */
const REPORT_TIMEOUT_MILLISECONDS: Milliseconds = 1_000;

const EXCHANGE_METHOD = 'allocation.ask';
const REPORT_METHOD = 'allocation.report';

interface AllocationTaskOptions {
  readonly clock: Clock;
  readonly node: NodeId;
  readonly peers: Peers;
  readonly membership: Membership;
  readonly declarations: () => Declarations;
  /** Options shared by all allocators of this node. */
  readonly allocator: Omit<
    DomainAllocatorOptions,
    'clock' | 'node' | 'declarations' | 'failureDomain' | 'onLost'
  >;
}

/** State of the domains that one or more nodes own, for the operator's `status` command. */
export interface AllocationReport {
  readonly reservations: readonly ReservationReport[];
  /** Demands that the latest plans could not place, each with the reason. */
  readonly refusals: readonly {subject: unknown; reason: string}[];
}

/** Task that owns the allocators of this node. */
export class AllocationTask {
  private readonly allocators = new Map<FailureDomain, DomainAllocator>();
  private readonly lostAt = new Map<FailureDomain, Instant>();
  /** When a peer requested a takeover because it could not reach higher-ranked owners. */
  private readonly takenOverAt = new Map<FailureDomain, Instant>();
  private readonly ownerClient: OwnerClient<ExchangeRequest, ExchangeResponse>;
  private readonly ownershipJob: PeriodicJob;
  private isStopped = false;

  private constructor(private readonly options: AllocationTaskOptions) {
    const {clock, node, peers, membership} = options;
    this.ownerClient = OwnerClient.create({
      clock,
      node,
      rankedOwners: subject => this.rankOwners(subject),
      handle: request => this.handle(request),
      callPeer: createOwnerCall({
        peers,
        membership,
        method: EXCHANGE_METHOD,
        replySchema: exchangeReplySchema,
      }),
    });
    peers.handle(EXCHANGE_METHOD, exchangeRequestSchema, request =>
      this.handle(request),
    );
    peers.handle(REPORT_METHOD, z.unknown(), async () => this.ownReport());
    membership.onChange(() => this.ownerClient.clearHints());
    this.ownershipJob = createPeriodicJob(
      clock,
      OWNERSHIP_INTERVAL_MILLISECONDS,
      () => this.reconcileOwnership(),
    );
  }

  static create(options: AllocationTaskOptions): AllocationTask {
    return new AllocationTask(options);
  }

  /** Number of failure domains that this node owns. */
  get ownedDomainCount(): number {
    return this.allocators.size;
  }

  /** Starts to open and close allocators as ownership changes. */
  start(): void {
    this.ownershipJob.start();
  }

  /** Stops all allocators and opens no new ones. */
  stop(): void {
    this.isStopped = true;
    this.ownershipJob.stop();
    for (const allocator of this.allocators.values()) allocator.stop();
    this.allocators.clear();
  }

  /** Sends a request to a domain's allocator. Throws `PeerUnreachableError`. */
  callAllocator(
    domain: FailureDomain,
    message: ExchangeRequest,
    deadline: Instant,
  ): Promise<ExchangeResponse> {
    return this.ownerClient.call(subjectOf(domain), message, deadline);
  }

  /** Combines the reports of all reachable nodes. */
  async report(): Promise<AllocationReport> {
    const {clock, peers, membership} = this.options;
    const deadline = after(clock.now(), REPORT_TIMEOUT_MILLISECONDS);
    const results = await Promise.allSettled(
      membership.others.map(member =>
        peers.call(member.address, REPORT_METHOD, [], deadline),
      ),
    );
    const reports = results.flatMap(result =>
      result.status === 'fulfilled' ? [result.value as AllocationReport] : [],
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
    request: OwnerRequest<ExchangeRequest>,
  ): Promise<OwnerReply<ExchangeResponse>> {
    const domain = domainOf(request.subject);
    if (!this.canOwn(domain, request.takeOver)) {
      return {
        kind: 'not_owner',
        owner: this.ownerClient.hintedOwner(request.subject),
      };
    }
    if (request.takeOver) {
      this.takenOverAt.set(domain, this.options.clock.now());
    }
    const allocator = this.allocatorOf(domain);
    await allocator.ready;
    return {kind: 'answer', answer: allocator.exchange(request.message)};
  }

  /** Opens and closes allocators as declared domains and live nodes change. */
  private reconcileOwnership(): void {
    const domains = domainsWithEngines(this.options.declarations());
    for (const domain of domains) {
      if (this.canOwn(domain, false)) this.allocatorOf(domain);
    }
    for (const [domain, allocator] of this.allocators) {
      const isFirst =
        this.rankOwners(subjectOf(domain))[0] === this.options.node;
      const isRetained =
        isFirst || this.isWithinOwnershipHold(this.takenOverAt.get(domain));
      if (domains.has(domain) && isRetained) continue;
      allocator.stop();
      this.allocators.delete(domain);
    }
  }

  private canOwn(domain: FailureDomain, takeOver: boolean): boolean {
    if (this.isStopped) return false;
    if (takeOver || this.allocators.has(domain)) return true;
    const isReopenDelayed = this.isWithinOwnershipHold(this.lostAt.get(domain));
    const [first] = this.rankOwners(subjectOf(domain));
    return !isReopenDelayed && first === this.options.node;
  }

  private isWithinOwnershipHold(since: Instant | undefined): boolean {
    if (since === undefined) return false;
    return this.options.clock.now() < after(since, OWNERSHIP_HOLD_MILLISECONDS);
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
        onLost: holder => this.handleLoss(domain, holder),
      });
      this.allocators.set(domain, allocator);
    }
    return allocator;
  }

  private handleLoss(domain: FailureDomain, holder: NodeId | undefined): void {
    this.allocators.delete(domain);
    this.lostAt.set(domain, this.options.clock.now());
    if (holder !== undefined)
      this.ownerClient.setHint(subjectOf(domain), holder);
  }

  /** Ranks nodes in the same domain first: they reach its engines when other nodes can't. */
  private rankOwners(subject: string): NodeId[] {
    const {membership, node} = this.options;
    const domain = domainOf(subject);
    const ranked = rankMembers(subject, membership.live);
    const isInDomain = (id: NodeId): boolean =>
      (id === node
        ? membership.failureDomain
        : membership.member(id)?.failureDomain) === domain;
    return [
      ...ranked.filter(isInDomain),
      ...ranked.filter(id => !isInDomain(id)),
    ];
  }
}

function subjectOf(domain: FailureDomain): string {
  return `allocation/${domain}`;
}

function domainOf(subject: string): FailureDomain {
  return as<FailureDomain>(subject.slice(subject.indexOf('/') + 1));
}

function domainsWithEngines(declarations: Declarations): Set<FailureDomain> {
  const domains = engineFailureDomains(declarations.endpoints);
  return new Set(domains.map(domain => as<FailureDomain>(domain)));
}

/** Injection key of the allocation task. */
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
          this.set(task.ownedDomainCount);
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
