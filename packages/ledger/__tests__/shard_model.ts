/**
 * Nodes that open one shard, claim keys, crash, are paused and go on, over an object service
 * whose calls are answered, lost or executed late, while claims expire and segments are removed.
 */

import type {
  Fingerprint,
  Instant,
  Milliseconds,
  NodeId,
} from '@siskinmux/kernel';
import {after, as, until} from '@siskinmux/kernel';
import type {Model} from '../../gateway/__tests__/model_search.js';
import {
  SteppedClock,
  Timeline,
  settle,
} from '../../gateway/__tests__/stepped_store.js';
import type {AttemptId} from '../src/index.js';
import {ShardOwner, claimKeyOf} from '../src/index.js';
import type {OpenObjectCall} from './stepped_objects.js';
import {
  JumpingClock,
  SteppedObjects,
  StoredObjects,
} from './stepped_objects.js';

/** Longer than the time between two removals of expired segments. */
const RETENTION_MILLISECONDS: Milliseconds = 20_000;

/** Long enough for a retry of a call that got no response. */
const FLOW_MILLISECONDS: Milliseconds = 150;

/** Long enough for all retries of calls that were lost. */
const CONCLUDING_MILLISECONDS: Milliseconds = 5_000;

/** Ages beyond this make no difference. */
const OLDEST_MILLISECONDS: Milliseconds = 2 * RETENTION_MILLISECONDS;

/** A claim with it seals its segment. */
const FULL = as<Fingerprint>('f'.repeat(48_000));
const SMALL = as<Fingerprint>('body');

/** Bounds of a search. */
export interface ShardModelOptions {
  readonly nodes: number;
  /** What has happened before the search begins. */
  readonly start: readonly string[];
  readonly claims: number;
  /** Crashes, pauses, held calls, clock jumps, lost and late calls, altogether. */
  readonly disturbances: number;
}

/** Actions that disturb a node or a call. */
const DISTURBANCES: ReadonlySet<string> = new Set([
  'crash',
  'freeze',
  'hold',
  'jump',
  'lose',
  'delay',
]);

interface Grant {
  readonly key: string;
  readonly attempt: string;
  readonly decidedAt: Instant;
  readonly expiresAt: Instant;
}

class ModelNode {
  readonly steppedClock: SteppedClock;
  readonly clock: JumpingClock;
  readonly objects: SteppedObjects;
  /** Whether its calls wait for actions of their own. */
  isHeld = false;
  isOpening = false;
  owner: ShardOwner | undefined;

  constructor(
    timeline: Timeline,
    shared: StoredObjects,
    readonly id: NodeId,
  ) {
    this.steppedClock = new SteppedClock(timeline);
    this.clock = new JumpingClock(this.steppedClock);
    this.objects = new SteppedObjects(shared);
  }

  get isRunning(): boolean {
    return this.steppedClock.stoppedAt === undefined;
  }

  async open(): Promise<void> {
    this.isOpening = true;
    try {
      this.owner = await ShardOwner.open({
        objects: this.objects,
        clock: this.clock,
        node: this.id,
        shard: 0,
        writeIntervalMilliseconds: 0,
        isNodeTerminated: () => false,
        onLost: () => {
          this.owner = undefined;
        },
        onRestored: () => {},
      });
    } catch {
      // It lost the shard to others while it opened it.
    }
    this.isOpening = false;
  }

  /** Its process ends; calls that were sent may still be executed. */
  crash(): readonly OpenObjectCall[] {
    this.owner?.abandon();
    this.owner = undefined;
    const {calls} = this.objects;
    this.objects.calls = [];
    return calls;
  }

  /** The segment to which its owner appends next. */
  get segment(): {sequence: number; version: unknown} | undefined {
    return this.log?.segment;
  }

  /** All that decides what it does next, with instants as ages. */
  describe(): unknown {
    const now = this.clock.now();
    const ageOf = (at: unknown): number =>
      Math.max(
        -OLDEST_MILLISECONDS,
        Math.min(OLDEST_MILLISECONDS, until(at as Instant, now)),
      );
    const {owner, log} = this;
    const parts = owner as unknown as
      | {
          table: {entries: Map<string, {attempt: string; expiresAt: Instant}>};
          batch: {records: {record: unknown}[]};
          nextSweepAt: Instant;
          activeWrite: unknown;
        }
      | undefined;
    return [
      this.isHeld,
      this.isOpening,
      this.isRunning,
      this.clock.jumped,
      this.steppedClock.remaining.map(wait => Math.max(wait, -1)),
      this.objects.calls.map(({description}) => description),
      log && [
        log.segment,
        [...log.segmentExpiries].map(([sequence, at]) => [sequence, ageOf(at)]),
      ],
      parts && [
        [...parts.table.entries].map(([key, {attempt, expiresAt}]) => [
          key,
          attempt,
          ageOf(expiresAt),
        ]),
        parts.batch.records.map(({record}) => record),
        ageOf(parts.nextSweepAt),
        parts.activeWrite === undefined,
      ],
    ];
  }

  private get log():
    | {
        segment: {sequence: number; version: unknown};
        segmentExpiries: Map<number, Instant>;
      }
    | undefined {
    return (this.owner as unknown as {log?: never})?.log;
  }
}

/** The shard's life as a model; see {@link Model}. */
export class ShardModel implements Model {
  readonly violations: string[] = [];
  private readonly timeline = new Timeline();
  private readonly shared = new StoredObjects();
  private readonly nodes: ModelNode[] = [];
  private readonly grants: Grant[] = [];
  private lateCalls: OpenObjectCall[] = [];
  private claims = 0;
  private disturbances = Infinity;

  private constructor(private readonly options: ShardModelOptions) {
    for (let index = 0; index < options.nodes; index += 1) this.addNode();
  }

  static async create(options: ShardModelOptions): Promise<ShardModel> {
    const model = new ShardModel(options);
    for (const action of options.start) await model.perform(action);
    model.disturbances = options.disturbances;
    model.claims = 0;
    return model;
  }

  actions(): string[] {
    const found = ['flow', 'expire'];
    found.push(...this.lateCalls.map((_, index) => `land ${index}`));
    const mayDisturb = this.disturbances > 0;
    for (const [index, node] of this.nodes.entries()) {
      if (!node.isRunning) {
        found.push(`thaw ${index}`);
        continue;
      }
      if (node.owner === undefined && !node.isOpening)
        found.push(`open ${index}`);
      if (node.owner !== undefined && this.claims < this.options.claims)
        found.push(`claim ${index}`, `fill ${index}`);
      if (node.isHeld) found.push(`release ${index}`);
      const [call] = node.objects.calls;
      if (call !== undefined) {
        found.push(`answer ${index}`);
        if (call.isWrite) found.push(`execute ${index}`);
        if (mayDisturb) found.push(`lose ${index}`);
        if (mayDisturb && call.isWrite) found.push(`delay ${index}`);
      }
      if (!mayDisturb) continue;
      if (node.owner !== undefined || node.isOpening)
        found.push(`crash ${index}`);
      if (!node.isHeld) found.push(`hold ${index}`);
      found.push(`freeze ${index}`, `jump ${index}`);
    }
    return found;
  }

  async perform(action: string): Promise<void> {
    const [name = '', index = ''] = action.split(' ');
    if (DISTURBANCES.has(name)) this.disturbances -= 1;
    if (name === 'flow') await this.flow(FLOW_MILLISECONDS);
    else if (name === 'expire')
      await this.flow(RETENTION_MILLISECONDS + FLOW_MILLISECONDS);
    else if (name === 'land')
      this.lateCalls.splice(Number(index), 1)[0]?.execute();
    else this.performAt(this.nodes[Number(index)]!, name);
    await settle();
    this.check();
  }

  fingerprint(): string {
    const {shared, grants, lateCalls, claims, disturbances, nodes} = this;
    const latest = this.latestClock;
    return JSON.stringify([
      [...shared.objects.values()],
      grants.map(({key, attempt, expiresAt}) => [
        key,
        attempt,
        Math.max(0, until(latest, expiresAt)),
      ]),
      lateCalls.map(({description}) => description),
      claims,
      disturbances,
      nodes.map(node => node.describe()),
    ]).replaceAll(FULL, 'FULL');
  }

  /** All go on, and a further node opens the shard: it alone may grant then. */
  async conclude(): Promise<void> {
    for (const node of this.nodes) {
      node.isHeld = false;
      if (!node.isRunning) node.steppedClock.goOn();
    }
    const owners = (): ModelNode[] =>
      this.nodes.filter(({owner}) => owner !== undefined);
    for (const [index, node] of owners().entries())
      this.claim(node, 'last', `last-${index}`, SMALL);
    await this.flow(CONCLUDING_MILLISECONDS);
    for (const call of this.lateCalls) call.execute();
    const successor = this.addNode();
    void successor.open();
    await this.flow(CONCLUDING_MILLISECONDS);
    for (const [index, node] of owners().entries())
      this.claim(node, 'after', `after-${index}`, SMALL);
    await this.flow(CONCLUDING_MILLISECONDS);
    this.check();
    if (!this.grants.some(({key}) => key === 'after'))
      this.violate('nobody grants a key after all');
  }

  stop(): void {
    for (const node of this.nodes) node.crash();
  }

  /** The latest time that any node has. */
  private get latestClock(): Instant {
    return as<Instant>(Math.max(...this.nodes.map(({clock}) => clock.now())));
  }

  private addNode(): ModelNode {
    const id = as<NodeId>(`node-${this.nodes.length}`);
    const node = new ModelNode(this.timeline, this.shared, id);
    this.nodes.push(node);
    return node;
  }

  private performAt(node: ModelNode, name: string): void {
    const {steppedClock, clock} = node;
    switch (name) {
      case 'open':
        void node.open();
        break;
      case 'claim':
      case 'fill': {
        this.claims += 1;
        const attempt = `${node.id}-${this.claims}`;
        const isFull = name === 'fill';
        const key = isFull ? attempt : 'key';
        this.claim(node, key, attempt, isFull ? FULL : SMALL);
        break;
      }
      case 'crash':
        this.lateCalls.push(...node.crash().filter(({isWrite}) => isWrite));
        node.isOpening = false;
        break;
      case 'hold':
        node.isHeld = true;
        break;
      case 'release':
        node.isHeld = false;
        break;
      case 'freeze':
        steppedClock.stop(false);
        break;
      case 'thaw':
        steppedClock.goOn();
        break;
      case 'jump':
        clock.jumped += RETENTION_MILLISECONDS;
        break;
      case 'execute':
        node.objects.calls[0]?.execute();
        break;
      default:
        this.end(node, name);
    }
  }

  /** The node's oldest call gets its response, or none. */
  private end({objects}: ModelNode, name: string): void {
    const call = objects.calls.shift();
    if (call === undefined) return;
    if (name === 'answer') {
      call.answer();
      return;
    }
    if (name === 'delay') this.lateCalls.push(call);
    call.lose();
  }

  private claim(
    {owner, clock}: ModelNode,
    key: string,
    attempt: string,
    fingerprint: Fingerprint,
  ): void {
    const decidedAt = this.latestClock;
    const expiresAt = after(decidedAt, RETENTION_MILLISECONDS);
    owner
      ?.claim(
        {
          key: claimKeyOf('service', key),
          fingerprint,
          attempt: attempt as AttemptId,
          node: as<NodeId>('entry'),
          deadline: expiresAt,
          expiresAt,
          traceparent: undefined,
        },
        clock.now(),
      )
      .then(
        ({kind}) => {
          // Nothing is dispatched from the deadline on.
          if (kind === 'granted' && this.latestClock < expiresAt)
            this.grants.push({key, attempt, decidedAt, expiresAt});
        },
        () => {
          // The owner lost the shard; its claim is not granted.
        },
      );
  }

  /** Time passes; calls that are not held are answered at once. */
  private async flow(milliseconds: Milliseconds): Promise<void> {
    const answer = async (): Promise<void> => {
      await settle();
      for (let isOpen = true; isOpen;) {
        isOpen = false;
        for (const node of this.nodes) {
          const canAnswer = node.isRunning && !node.isHeld;
          if (!canAnswer || node.objects.calls.length === 0) continue;
          this.end(node, 'answer');
          isOpen = true;
          await settle();
        }
      }
      this.check();
    };
    await answer();
    await this.timeline.advance(milliseconds, answer);
  }

  private check(): void {
    for (const [index, second] of this.grants.entries())
      for (const first of this.grants.slice(0, index)) {
        const isSame =
          first.key === second.key && first.attempt !== second.attempt;
        const [before, later] =
          first.decidedAt <= second.decidedAt
            ? [first, second]
            : [second, first];
        if (isSame && later.decidedAt < before.expiresAt)
          this.violate(
            `${first.attempt} and ${second.attempt} are granted ${first.key}`,
          );
      }
    const writers = this.nodes.filter(node => this.canWrite(node));
    if (writers.length > 1)
      this.violate(`${writers.map(({id}) => id).join(' and ')} can write`);
  }

  /** Whether a write of the node would succeed now, and count. */
  private canWrite({segment}: ModelNode): boolean {
    if (segment === undefined) return false;
    const key = `claims/0/${String(segment.sequence).padStart(10, '0')}`;
    const isNewest = [...this.shared.objects.keys()].every(
      other => other <= key,
    );
    return isNewest && this.shared.versionOf(key) === segment.version;
  }

  private violate(what: string): void {
    if (!this.violations.includes(what)) this.violations.push(what);
  }
}
