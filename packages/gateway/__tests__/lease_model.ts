/**
 * Nodes that take part in the election, over a store that returns from older copies. Each call to
 * the store, each disturbance and each return is an action of its own.
 */

import type {Milliseconds, NodeId} from '@siskinmux/kernel';
import {as, discardEvents, until} from '@siskinmux/kernel';
import type {HeldLease, LeaseObservation, LeaseRules} from '@siskinmux/leases';
import type {StoreCopy} from '@siskinmux/testkit';
import {SharedObjects} from '@siskinmux/testkit';
import type {HolderConnection} from '../src/leader_election.js';
import {LeaderElection} from '../src/leader_election.js';
import {LeaseStore} from '../src/lease_store.js';
import type {Model} from './model_search.js';
import type {OpenCall} from './stepped_store.js';
import {SteppedClock, SteppedStore, Timeline, settle} from './stepped_store.js';

/** Long enough for a takeover from a silent holder. */
const FLOW_MILLISECONDS: Milliseconds = 1_400;

const LEASE_MILLISECONDS: Milliseconds = 1_300;

/** Ages beyond this make no difference. */
const OLDEST_MILLISECONDS: Milliseconds = 2_000;

const CLOCK_STEP_MILLISECONDS: Milliseconds = 5_000;

/** Bounds of a search. */
export interface LeaseModelOptions {
  readonly nodes: number;
  readonly isFencingEnforced: boolean;
  /** What has happened before the search begins. */
  readonly start: readonly string[];
  readonly returns: number;
  /** Freezes, cuts, clock steps, and calls that are slow, lost or late, altogether. */
  readonly disturbances: number;
}

/** Actions that disturb a node or a call. */
const DISTURBANCES: ReadonlySet<string> = new Set([
  'hold',
  'cut',
  'freeze',
  'suspend',
  'step',
  'lose',
  'delay',
]);

class ModelNode {
  readonly clock: SteppedClock;
  readonly store: SteppedStore;
  heldLease: HeldLease | undefined;
  /** Whether its writes wait for actions of their own. */
  isHeld = false;
  isCutFromPeers = false;
  readonly endConnections = new Set<(reason: string) => void>();
  readonly leaseStore: LeaseStore;
  readonly election: LeaderElection;

  constructor(
    private readonly model: LeaseModel,
    readonly id: NodeId,
    rules: LeaseRules,
  ) {
    this.clock = new SteppedClock(model.timeline);
    this.store = new SteppedStore(model.objects, this.clock);
    this.leaseStore = LeaseStore.create({store: this.store, clock: this.clock});
    this.election = LeaderElection.create({
      leaseStore: this.leaseStore,
      clock: this.clock,
      readClocks: () => this.reading,
      random: () => 0.5,
      emit: discardEvents,
      self: id,
      address: id,
      rules,
      electionDelayMilliseconds: 0,
      connectToHolder: observation => this.connectToHolder(observation),
      startAllocating: heldLease => {
        this.heldLease = heldLease;
        return {
          end: () => {
            this.heldLease = undefined;
            this.closeConnections('resigned');
          },
        };
      },
      canHandOver: () => true,
    });
    this.store.onEra = () => this.election.onStoreReturn();
    void this.election.run();
  }

  get isRunning(): boolean {
    return this.clock.stoppedAt === undefined;
  }

  get canSendOrders(): boolean {
    return (
      this.isRunning && this.heldLease?.canSendOrders(this.reading) === true
    );
  }

  private get reading() {
    return {steady: this.clock.now(), timeOfDay: this.clock.timeOfDay};
  }

  closeConnections(reason: string): void {
    for (const end of [...this.endConnections]) end(reason);
  }

  private async connectToHolder(
    observation: LeaseObservation,
  ): Promise<HolderConnection | 'resigned' | 'silent'> {
    const holder = this.model.nodes.find(
      ({id}) => id === observation.record.holder,
    );
    if (holder === undefined || holder.isCutFromPeers || this.isCutFromPeers)
      return 'silent';
    if (!holder.isRunning) return 'silent';
    if (holder.heldLease === undefined) return 'resigned';
    return {
      ended: new Promise(resolve => {
        const end = (reason: string): void => {
          holder.endConnections.delete(end);
          resolve(reason);
        };
        holder.endConnections.add(end);
      }),
    };
  }

  /** All that decides what it does next, with instants as ages. */
  describe(): unknown {
    const {clock, store, isHeld, isCutFromPeers, heldLease} = this;
    const now = clock.now();
    const ageOf = (at: unknown): number =>
      Math.min(OLDEST_MILLISECONDS, until(Number(at) as never, now));
    const lease = heldLease && {
      ...(heldLease as unknown as Record<string, unknown>),
    };
    const observed = (
      this.leaseStore as unknown as {lastObservation?: LeaseObservation}
    ).lastObservation;
    const lastReading = lease?.['lastReading'] as
      {steady: number; timeOfDay: number} | undefined;
    return [
      store.era,
      isHeld,
      isCutFromPeers,
      clock.stoppedAt === undefined ? null : ageOf(clock.stoppedAt),
      clock.remaining.map(wait => Math.max(wait, -1)),
      store.calls.map(call => [
        call.description,
        ageOf(call.sentAt),
        call.response === undefined,
      ]),
      lease && [
        lease['term'],
        lease['currentRevision'],
        lease['isRenewalRequired'],
        lease['isEnded'],
        ageOf(lease['lastRenewalSentAt']),
        ageOf(lease['takenAt']),
        Math.max(-1, -ageOf(lease['ordersAllowedAt'])),
        lastReading && ageOf(lastReading.steady),
        lastReading &&
          until(lastReading.timeOfDay as never, clock.timeOfDay) -
            until(lastReading.steady as never, now),
      ],
      observed && [
        observed.record,
        observed.revision,
        ageOf(observed.firstSeenAt),
      ],
      this.endConnections.size,
    ];
  }
}

/** The election as a model; see {@link Model}. */
export class LeaseModel implements Model {
  readonly timeline = new Timeline();
  readonly objects = new SharedObjects();
  readonly nodes: ModelNode[] = [];
  readonly violations: string[] = [];
  private returns: number;
  private disturbances: number;
  private copies: StoreCopy[] = [];
  private lateCalls: OpenCall[] = [];
  private readonly holderOf = new Map<number, NodeId>();
  private latestTerm = 0;

  private constructor(private readonly options: LeaseModelOptions) {
    this.returns = options.returns;
    this.disturbances = options.disturbances;
    this.objects.era = as<typeof this.objects.era>(1);
  }

  /** The first node holds the lease, and the others follow it. */
  static async create(options: LeaseModelOptions): Promise<LeaseModel> {
    const {nodes, isFencingEnforced} = options;
    const model = new LeaseModel(options);
    const rules = {leaseMilliseconds: LEASE_MILLISECONDS, isFencingEnforced};
    model.keepCopy();
    for (let index = 0; index < nodes; index += 1)
      model.nodes.push(
        new ModelNode(model, as<NodeId>(`node-${index}`), rules),
      );
    for (const action of ['flow', ...options.start])
      await model.perform(action);
    model.disturbances = options.disturbances;
    return model;
  }

  actions(): string[] {
    const found = ['flow'];
    if (this.returns > 0)
      found.push(...this.copies.map((_, index) => `return ${index}`));
    found.push(...this.lateCalls.map((_, index) => `land ${index}`));
    const mayDisturb = this.disturbances > 0;
    for (const [index, node] of this.nodes.entries()) {
      if (!node.isRunning) {
        found.push(`thaw ${index}`);
        continue;
      }
      if (node.isHeld) found.push(`release ${index}`);
      if (node.isCutFromPeers) found.push(`join ${index}`);
      const [call] = node.store.calls;
      if (call !== undefined) {
        found.push(`answer ${index}`);
        if (call.response === undefined) found.push(`execute ${index}`);
        if (mayDisturb) found.push(`lose ${index}`);
        if (mayDisturb && call.isWrite && call.response === undefined)
          found.push(`delay ${index}`);
      }
      if (!mayDisturb) continue;
      if (!node.isHeld) found.push(`hold ${index}`);
      if (!node.isCutFromPeers) found.push(`cut ${index}`);
      found.push(`freeze ${index}`, `suspend ${index}`, `step ${index}`);
    }
    return found;
  }

  async perform(action: string): Promise<void> {
    const [name = '', index = ''] = action.split(' ');
    const node = this.nodes[Number(index)];
    if (DISTURBANCES.has(name)) this.disturbances -= 1;
    if (name === 'flow') await this.flow();
    else if (name === 'return') this.comeBack(Number(index));
    else if (name === 'land')
      this.lateCalls.splice(Number(index), 1)[0]?.execute();
    else if (node !== undefined) this.performAt(node, name);
    await settle();
    this.check();
  }

  fingerprint(): string {
    const {objects, copies, lateCalls, returns, disturbances, nodes} = this;
    return JSON.stringify([
      objects.era,
      objects.revision,
      [...objects.objects.values()],
      copies.map(copy => [copy.revision, [...copy.objects.values()]]),
      lateCalls.map(({description}) => description),
      returns,
      disturbances,
      nodes.map(node => node.describe()),
      this.latestTerm,
      [...this.holderOf],
    ]);
  }

  stop(): void {
    for (const {election, heldLease} of this.nodes) {
      heldLease?.markEnded();
      election.stop();
    }
  }

  private performAt(node: ModelNode, name: string): void {
    const {clock, store} = node;
    switch (name) {
      case 'hold':
        node.isHeld = true;
        break;
      case 'release':
        node.isHeld = false;
        break;
      case 'cut':
        node.isCutFromPeers = true;
        node.closeConnections('silent');
        break;
      case 'join':
        node.isCutFromPeers = false;
        break;
      case 'freeze':
      case 'suspend':
        clock.stop(name === 'suspend');
        node.closeConnections('silent');
        break;
      case 'step':
        clock.jump += CLOCK_STEP_MILLISECONDS;
        break;
      case 'thaw':
        clock.goOn();
        break;
      case 'execute': {
        const [call] = store.calls;
        if (call !== undefined) call.response = call.execute();
        break;
      }
      default:
        this.end(store, name);
    }
  }

  /** The node's oldest call gets its response, or none. */
  private end(store: SteppedStore, name: string): void {
    const call = store.calls.shift();
    if (call === undefined) return;
    if (name === 'answer') (call.response ?? call.execute())();
    else {
      if (name === 'delay') this.lateCalls.push(call);
      call.lose();
    }
  }

  /** Time passes; calls that are not held are answered at once. */
  private async flow(): Promise<void> {
    const answer = async (): Promise<void> => {
      await settle();
      for (let isOpen = true; isOpen;) {
        isOpen = false;
        for (const {store, isHeld, isRunning} of this.nodes) {
          const [call] = store.calls;
          if (!isRunning || call === undefined) continue;
          if (isHeld && call.isWrite) continue;
          this.end(store, 'answer');
          isOpen = true;
          await settle();
        }
      }
      this.check();
    };
    await answer();
    await this.timeline.advance(FLOW_MILLISECONDS, answer);
    this.keepCopy();
  }

  /** The first and the last two copies of this branch are kept. */
  private keepCopy(): void {
    const copy = this.objects.copy();
    const [first, ...others] = this.copies;
    if (first === undefined) this.copies = [copy];
    else this.copies = [first, ...others.slice(-1), copy];
  }

  private comeBack(index: number): void {
    this.returns -= 1;
    this.objects.comeBack(this.copies[index]!);
    this.copies = [this.objects.copy()];
  }

  private check(): void {
    for (const {id, heldLease} of this.nodes) {
      if (heldLease === undefined || heldLease.hasEnded) continue;
      const known = this.holderOf.get(heldLease.term) ?? id;
      this.holderOf.set(heldLease.term, known);
      if (known !== id)
        this.violate(`${known} and ${id} hold term ${heldLease.term}`);
    }
    if (!this.options.isFencingEnforced) this.checkSenders();
  }

  /** Engines that don't check terms execute whatever they get. */
  private checkSenders(): void {
    const senders = this.nodes.filter(({canSendOrders}) => canSendOrders);
    if (senders.length > 1)
      this.violate(`${senders.map(({id}) => id).join(' and ')} send orders`);
    for (const {id, heldLease} of senders) {
      const term = heldLease?.term ?? 0;
      if (term < this.latestTerm)
        this.violate(`${id} sends term ${term} after ${this.latestTerm}`);
      this.latestTerm = Math.max(this.latestTerm, term);
    }
  }

  private violate(what: string): void {
    if (!this.violations.includes(what)) this.violations.push(what);
  }
}
