/**
 * Nodes that read a configuration from a store which returns from older copies; the first one
 * forwards what it reads to the others. The operator writes again what the store has lost.
 */

import type {Milliseconds} from '@siskinmux/kernel';
import {after, as, discardEvents, until} from '@siskinmux/kernel';
import type {MetadataObject} from '@siskinmux/ports';
import type {RouteVersion} from '@siskinmux/routes';
import type {StoreCopy} from '@siskinmux/testkit';
import {SharedObjects} from '@siskinmux/testkit';
import {ActiveRoutes} from '../src/active_routes.js';
import {ChangeFeed} from '../src/change_feed.js';
import {KindWatcher} from '../src/kind_watcher.js';
import {viewAgeLimits} from '../src/view_age_limits.js';
import type {Model} from './model_search.js';
import type {OpenCall} from './stepped_store.js';
import {SteppedClock, SteppedStore, Timeline, settle} from './stepped_store.js';

const KIND = 'config';
const NAME = 'main';
const EFFECT_MILLISECONDS: Milliseconds = 2_000;
const FEED_MILLISECONDS: Milliseconds = 300;
const FLOW_MILLISECONDS: Milliseconds = 600;

/** More calls than nodes make while time passes once. */
const MAXIMUM_CALLS = 200;

/** Fields of a watcher that decide nothing, or are the connections to its surroundings. */
const IGNORED: ReadonlySet<string> = new Set([
  'options',
  'wake',
  'interrupt',
  'waiters',
  'refreshWaiters',
]);

/** Bounds of a search. */
export interface ViewModelOptions {
  readonly nodes: number;
  readonly returns: number;
  /** Versions that the operator adds. */
  readonly changes: number;
  /** Times at which a node's calls begin to be slow, or one is lost. */
  readonly disturbances: number;
}

class ViewNode {
  readonly clock: SteppedClock;
  readonly store: SteppedStore;
  readonly routes = ActiveRoutes.create(discardEvents);
  readonly feed: ChangeFeed;
  readonly watcher: KindWatcher;
  isHeld = false;
  version = 0;

  constructor({timeline, objects}: ViewModel, isFeedSource: boolean) {
    this.clock = new SteppedClock(timeline);
    this.store = new SteppedStore(objects, this.clock);
    this.feed = ChangeFeed.create({clock: this.clock});
    this.watcher = KindWatcher.create({
      store: this.store,
      kind: KIND,
      handler: {
        onList: listing => listing.objects.forEach(item => this.apply(item)),
        onChanges: changes => {
          for (const {object} of changes) this.apply(object);
          return changes;
        },
      },
      clock: this.clock,
      random: () => 0.5,
      emit: discardEvents,
      ageLimits: viewAgeLimits(EFFECT_MILLISECONDS),
      batchMilliseconds: () => 0,
      outageMilliseconds: 2_400,
      reregistrationGraceMilliseconds: 2_200,
      isFeedSource: () => isFeedSource,
      nodeCount: () => 1,
      onRead: read => this.feed.record(read),
    });
    void this.watcher.run();
  }

  get readyCall(): OpenCall | undefined {
    return this.store.calls.find(call => call.response ?? call.isReady());
  }

  private apply({content}: MetadataObject): void {
    const version = as<RouteVersion>(Number(content));
    const limits = {
      maximumHeaderBytes: 1,
      maximumBodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    };
    this.routes.applyIfNewer(
      {version, routes: [], services: new Map(), limits},
      {source: 'model', delayUpTo: 0},
    );
  }

  /** All that decides what it does next, with instants as ages. */
  describe(): unknown {
    const {clock, store, isHeld, version, watcher, feed} = this;
    const now = clock.now();
    const toAges = (name: string, value: unknown): unknown => {
      if (IGNORED.has(name)) return undefined;
      if (value instanceof Map) return [...value];
      return typeof value === 'number' &&
        /(At|Until|Since|since|until)$/.test(name)
        ? until(as(value), now)
        : value;
    };
    return [
      store.era,
      isHeld,
      version,
      clock.remaining,
      store.calls.map(({description, sentAt, response}) => [
        description,
        until(sentAt, now),
        response === undefined,
      ]),
      JSON.stringify(watcher, toAges),
      JSON.stringify(
        [...Object.values(feed)].filter(part => part instanceof Map),
        toAges,
      ),
    ];
  }
}

/** Readers of the configuration as a model; see {@link Model}. */
export class ViewModel implements Model {
  readonly timeline = new Timeline();
  readonly objects = new SharedObjects();
  readonly violations: string[] = [];
  private readonly nodes: ViewNode[] = [];
  private version = 1;
  private copies: StoreCopy[] = [];
  private returns: number;
  private changes: number;
  private disturbances: number;

  private constructor(options: ViewModelOptions) {
    this.returns = options.returns;
    this.changes = options.changes;
    this.disturbances = options.disturbances;
    this.objects.era = as<typeof this.objects.era>(1);
  }

  static async create(options: ViewModelOptions): Promise<ViewModel> {
    const model = new ViewModel(options);
    model.write();
    for (let index = 0; index < options.nodes; index += 1)
      model.nodes.push(new ViewNode(model, index === 0));
    model.scheduleFeed();
    await model.perform('flow');
    return model;
  }

  actions(): string[] {
    const found = ['flow'];
    if (this.changes > 0) found.push('change');
    if (this.returns > 0)
      found.push(...this.copies.map((_, index) => `return ${index}`));
    if (this.isLost) found.push('rewrite');
    for (const [index, node] of this.nodes.entries()) {
      if (node.isHeld) found.push(`release ${index}`);
      const call = node.isHeld ? node.readyCall : undefined;
      if (call !== undefined) found.push(`answer ${index}`, `lose ${index}`);
      if (call !== undefined && call.response === undefined)
        found.push(`execute ${index}`);
      if (!node.isHeld && this.disturbances > 0) found.push(`hold ${index}`);
    }
    return found;
  }

  async perform(action: string): Promise<void> {
    const [name = '', index = ''] = action.split(' ');
    const node = this.nodes[Number(index)];
    if (name === 'flow') await this.flow();
    else if (name === 'change') {
      this.changes -= 1;
      this.version += 1;
      this.write();
    } else if (name === 'rewrite') this.write();
    else if (name === 'return') {
      this.returns -= 1;
      this.objects.comeBack(this.copies[Number(index)]!);
      this.copies = [this.objects.copy()];
    } else if (node !== undefined) this.performAt(node, name);
    await settle();
    this.check();
  }

  fingerprint(): string {
    const {objects, copies, returns, changes, disturbances, version} = this;
    return JSON.stringify([
      objects.era,
      objects.revision,
      objects.compactedBefore,
      objects.changes,
      [...objects.objects.values()],
      copies.map(copy => [copy.revision, [...copy.objects.values()]]),
      returns,
      changes,
      disturbances,
      version,
      this.nodes.map(node => node.describe()),
    ]);
  }

  async conclude(): Promise<void> {
    for (const node of this.nodes) node.isHeld = false;
    if (this.isLost) this.write();
    for (let count = 0; count < 5; count += 1) await this.flow();
    for (const [index, node] of this.nodes.entries())
      if (node.version !== this.version)
        this.violations.push(`node ${index} stays at ${node.version}`);
  }

  stop(): void {
    for (const {watcher} of this.nodes) watcher.stop();
  }

  private get isLost(): boolean {
    const stored = this.objects.objects.get(`${KIND}/${NAME}`);
    return stored?.content !== this.version;
  }

  private write(): void {
    this.objects.put(KIND, NAME, this.version);
    this.copies = [...this.copies.slice(-2), this.objects.copy()];
  }

  private performAt(node: ViewNode, name: string): void {
    if (name === 'hold' || name === 'release') {
      node.isHeld = name === 'hold';
      if (node.isHeld) this.disturbances -= 1;
      return;
    }
    const call = node.readyCall;
    if (call === undefined) return;
    if (name === 'execute') call.response = call.execute();
    else this.end(node, call, name === 'answer');
  }

  private end({store}: ViewNode, call: OpenCall, isAnswered: boolean): void {
    store.calls = store.calls.filter(other => other !== call);
    if (isAnswered) (call.response ?? call.execute())();
    else call.lose();
  }

  /** Time passes; calls that are not held are answered at once. */
  private async flow(): Promise<void> {
    let calls = 0;
    const answer = async (): Promise<void> => {
      await settle();
      for (let isOpen = true; isOpen;) {
        isOpen = false;
        for (const node of this.nodes) {
          const call = node.isHeld ? undefined : node.readyCall;
          if (call === undefined || calls > MAXIMUM_CALLS) continue;
          calls += 1;
          this.end(node, call, true);
          isOpen = true;
          await settle();
        }
      }
      this.check();
    };
    await answer();
    await this.timeline.advance(FLOW_MILLISECONDS, answer);
    if (calls > MAXIMUM_CALLS) this.violations.push('calls without end');
  }

  private scheduleFeed(): void {
    const [source, ...followers] = this.nodes;
    const {clock, feed} = source!;
    clock.schedule(after(clock.now(), FEED_MILLISECONDS), () => {
      const updates = feed.takeUpdates();
      for (const {watcher, clock: own} of followers)
        for (const update of updates) watcher.applyFeed(update, own.now());
      this.scheduleFeed();
    });
  }

  private check(): void {
    for (const [index, node] of this.nodes.entries()) {
      const version = node.routes.current?.configuration.version ?? 0;
      if (version < node.version)
        this.violations.push(`node ${index} went back to ${version}`);
      node.version = Math.max(node.version, version);
    }
  }
}
