/** A model engine with memory, slots, adapters, a prefix cache and faults. */

import {createHash} from 'node:crypto';
import type {
  AdapterName,
  Clock,
  FencingNumber,
  Instant,
  ModelName,
} from '@siskinmux/kernel';
import {after, as, sleepFor} from '@siskinmux/kernel';
import type {
  CacheEvent,
  CacheTier,
  Engine,
  EngineModel,
  EngineOrder,
  EngineStatus,
  GenerationChunk,
  GenerationRequest,
} from '@siskinmux/ports';
import {
  AnswerCutError,
  EndpointBusyError,
  EndpointUnreachableError,
  StaleOrderError,
} from '@siskinmux/ports';
import type {WeightStoreStandIn} from './weight_store_stand_in.js';

/** A prompt that contains this kills the engine. */
export const CRASH_MARKER = 'crash-the-engine';

/** Prompts kept in the prefix cache. */
const PREFIX_CACHE_ENTRIES = 64;

/** Characters of a prompt that make up its cached prefix. */
const PREFIX_CHARACTERS = 64;

/** Time of a load by where the checkpoint is cached; remote loads take the store's time. */
const MEMORY_LOAD_MILLISECONDS = 100;
const DISK_LOAD_MILLISECONDS = 500;

/** Properties of one engine. */
export interface EngineStandInOptions {
  readonly clock: Clock;
  readonly weightStore: WeightStoreStandIn;
  readonly memoryBytes: number;
  readonly slots: number;
  readonly queueLimit: number;
  readonly checksFencing: boolean;
  readonly firstTokenMilliseconds: number;
  readonly tokenMilliseconds: number;
  /** Time of a load from the weight store at full speed. */
  readonly remoteLoadMilliseconds: number;
  /** Age of the load report that `status` gives. */
  readonly reportLagMilliseconds: number;
  /** Called when a request kills the engine. */
  readonly onCrash?: () => void;
}

interface HeldModel {
  readonly model: ModelName;
  readonly version: string;
  readonly memoryBytes: number;
  state: 'loading' | 'ready';
  running: number;
  readonly loading: Promise<void>;
}

interface Waiting {
  readonly priority: number;
  readonly start: () => void;
}

/** What an observer outside the system sees; for invariant checks. */
export interface EngineObservation {
  readonly usedBytes: number;
  readonly memoryBytes: number;
  readonly models: readonly string[];
  readonly held: readonly {readonly model: string; readonly bytes: number}[];
  /** Longest time after the engine said that it leaves at which work was started. */
  readonly latestStartWhileLeaving: number;
  readonly cutByUnload: number;
}

/** Implements the port itself; the HTTP server puts it on a socket. */
export class EngineStandIn implements Engine {
  private leavingSince: Instant | undefined;
  /** Answers nothing. */
  isDead = false;
  private incarnation = 1;
  private readonly models = new Map<string, HeldModel>();
  private readonly adapters = new Set<AdapterName>();
  private readonly cached = new Map<string, CacheTier>();
  private readonly prefixes = new Map<string, true>();
  private readonly events: CacheEvent[] = [];
  private readonly waiting: Waiting[] = [];
  private readonly reports: EngineStatus[] = [];
  private readonly cuts = new Set<() => void>();
  private highestFencingNumber = as<FencingNumber>(0);
  private running = 0;
  private latestStartWhileLeaving = 0;
  private readonly requests = new Set<string>();
  private cutByUnload = 0;
  private generated = 0;
  private loads = 0;

  private constructor(private readonly options: EngineStandInOptions) {}

  static create(options: EngineStandInOptions): EngineStandIn {
    return new EngineStandIn(options);
  }

  /** Loads of models that were begun. */
  get loadCount(): number {
    return this.loads;
  }

  /** Tokens generated so far. */
  get tokensGenerated(): number {
    return this.generated;
  }

  async *generate(
    request: GenerationRequest,
    signal: AbortSignal,
  ): AsyncIterable<GenerationChunk> {
    this.assertAlive();
    const held = this.modelFor(request);
    this.noteStart(request);
    await this.enter(request.priority, signal);
    const {incarnation} = this;
    held.running += 1;
    try {
      yield* this.run(request, held, signal);
    } finally {
      held.running -= 1;
      if (incarnation === this.incarnation) this.leaveSlot();
    }
  }

  async order(order: EngineOrder): Promise<void> {
    this.assertAlive();
    this.checkFence(order.fencingNumber);
    const {action} = order;
    switch (action.kind) {
      case 'load_model':
        return this.loadModel(action.model, action.version, action.memoryBytes);
      case 'unload_model':
        return this.unloadModel(action.model, action.version);
      case 'load_adapter':
        return this.loadAdapter(action.adapter);
      case 'unload_adapter':
        this.adapters.delete(action.adapter);
        return;
      case 'fence':
        return;
    }
  }

  async status(): Promise<EngineStatus> {
    this.assertAlive();
    const {clock, reportLagMilliseconds} = this.options;
    const now = clock.now();
    this.reports.push(this.report(now));
    const shownAt = after(now, -reportLagMilliseconds);
    while (
      this.reports.length > 1 &&
      (this.reports[1]?.reportedAt ?? now) <= shownAt
    ) {
      this.reports.shift();
    }
    return this.reports[0] ?? this.report(now);
  }

  async cacheEvents(sequence: number): Promise<readonly CacheEvent[]> {
    this.assertAlive();
    return this.events.filter(event => event.sequence > sequence);
  }

  /** What is true of the engine now, whatever it reports. */
  observe(): EngineObservation {
    return {
      usedBytes: this.usedBytes(),
      memoryBytes: this.options.memoryBytes,
      models: [...this.models.values()].map(held => held.model),
      held: [...this.models.values()].map(held => ({
        model: held.model,
        bytes: held.memoryBytes,
      })),
      latestStartWhileLeaving: this.latestStartWhileLeaving,
      cutByUnload: this.cutByUnload,
    };
  }

  /** Says that it goes away; what runs goes on. */
  leave(): void {
    this.leavingSince ??= this.options.clock.now();
  }

  /** Whether nothing runs or waits now, whatever the engine reports. */
  get isIdle(): boolean {
    return this.running === 0 && this.waiting.length === 0;
  }

  /** Whether a request was started here. */
  hasRun(requestId: string): boolean {
    return this.requests.has(requestId);
  }

  /** Dies: all that runs is cut and all memory is lost. */
  die(): void {
    this.isDead = true;
    this.models.clear();
    this.adapters.clear();
    this.prefixes.clear();
    this.reports.length = 0;
    for (const cut of [...this.cuts]) cut();
    this.cuts.clear();
    this.waiting.length = 0;
  }

  /** Comes back empty, with the checkpoints that its host's disk still has. */
  restart(): void {
    this.incarnation += 1;
    this.isDead = false;
    this.leavingSince = undefined;
    this.running = 0;
    this.highestFencingNumber = as<FencingNumber>(0);
    for (const key of this.cached.keys()) this.cached.set(key, 'disk');
  }

  private noteStart(request: GenerationRequest): void {
    this.requests.add(request.requestId);
    if (this.leavingSince === undefined) return;
    this.latestStartWhileLeaving = Math.max(
      this.latestStartWhileLeaving,
      this.options.clock.now() - this.leavingSince,
    );
  }

  private async *run(
    request: GenerationRequest,
    held: HeldModel,
    signal: AbortSignal,
  ): AsyncIterable<GenerationChunk> {
    const prompt = promptOf(request);
    if (prompt.includes(CRASH_MARKER)) this.crash();
    const isCached = this.touchPrefix(prompt);
    const first = this.options.firstTokenMilliseconds;
    const {incarnation} = this;
    await this.pause(isCached ? first / 2 : first, signal);
    const words = completionWords(request);
    for (let index = request.resumeAfter; index < words.length; index += 1) {
      if (index > request.resumeAfter) {
        await this.pause(this.options.tokenMilliseconds, signal);
      }
      // A caller that reads slowly may find the engine dead and back meanwhile.
      if (incarnation !== this.incarnation) {
        throw new AnswerCutError('the engine died');
      }
      if (this.models.get(keyOf(held)) !== held) {
        this.cutByUnload += 1;
        throw new AnswerCutError('the model was unloaded');
      }
      this.generated += 1;
      yield {kind: 'token', text: words[index] ?? ''};
    }
    yield {
      kind: 'end',
      reason: 'stop',
      promptTokens: prompt.split(' ').length,
      completionTokens: words.length,
    };
  }

  private crash(): never {
    this.options.onCrash?.();
    this.die();
    throw new AnswerCutError('the engine died');
  }

  private modelFor(request: GenerationRequest): HeldModel {
    const held = this.models.get(`${request.model}@${request.version}`);
    if (held === undefined || held.state !== 'ready') {
      throw new EndpointBusyError(`${request.model} is not loaded`);
    }
    const {adapter} = request;
    if (adapter !== undefined && !this.adapters.has(adapter)) {
      throw new EndpointBusyError(`adapter ${adapter} is not loaded`);
    }
    return held;
  }

  private async enter(priority: number, signal: AbortSignal): Promise<void> {
    if (this.running < this.options.slots) {
      this.running += 1;
      return;
    }
    if (this.waiting.length >= this.options.queueLimit) {
      throw new EndpointBusyError('the queue is full');
    }
    await new Promise<void>((resolve, reject) => {
      const waiting: Waiting = {priority, start: resolve};
      this.waiting.push(waiting);
      this.waiting.sort((left, right) => right.priority - left.priority);
      const leave = (): void => {
        const index = this.waiting.indexOf(waiting);
        if (index < 0) return;
        this.waiting.splice(index, 1);
        reject(new AnswerCutError('cancelled while it waited'));
      };
      signal.addEventListener('abort', leave, {once: true});
      this.cuts.add(leave);
    });
  }

  /** Hands the slot to the next waiting request, or frees it. */
  private leaveSlot(): void {
    if (this.isDead) return;
    const next = this.waiting.shift();
    if (next === undefined) this.running -= 1;
    else next.start();
  }

  private loadModel(
    model: ModelName,
    version: string,
    memoryBytes: number,
  ): Promise<void> {
    const key = `${model}@${version}`;
    const existing = this.models.get(key);
    if (existing !== undefined) return existing.loading;
    // It does not guard its own memory: an observer sees when it is overcommitted.
    this.loads += 1;
    const {incarnation} = this;
    const loading = this.transfer(key).then(() => {
      if (this.models.get(key) !== held || this.incarnation !== incarnation) {
        throw new AnswerCutError('the engine died in the middle of a load');
      }
      held.state = 'ready';
      this.cached.set(key, 'memory');
    });
    const held: HeldModel = {
      model,
      version,
      memoryBytes,
      state: 'loading',
      running: 0,
      loading,
    };
    this.models.set(key, held);
    return loading;
  }

  private async transfer(key: string): Promise<void> {
    const {clock, weightStore, remoteLoadMilliseconds} = this.options;
    const tier = this.cached.get(key) ?? 'remote';
    if (tier === 'remote') return weightStore.load(remoteLoadMilliseconds);
    const time =
      tier === 'memory' ? MEMORY_LOAD_MILLISECONDS : DISK_LOAD_MILLISECONDS;
    await sleepFor(clock, time);
  }

  private unloadModel(model: ModelName, version: string): void {
    this.models.delete(`${model}@${version}`);
  }

  private async loadAdapter(adapter: AdapterName): Promise<void> {
    await this.options.weightStore.loadAdapter();
    this.assertAlive();
    this.adapters.add(adapter);
  }

  private checkFence(number: FencingNumber): void {
    if (!this.options.checksFencing) return;
    if (number < this.highestFencingNumber) {
      throw new StaleOrderError(this.highestFencingNumber);
    }
    this.highestFencingNumber = number;
  }

  private report(now: Instant): EngineStatus {
    return {
      incarnation: String(this.incarnation),
      isLeaving: this.leavingSince !== undefined,
      memoryBytes: this.options.memoryBytes,
      models: [...this.models.values()].map(toEngineModel),
      adapters: [...this.adapters],
      running: this.running,
      queued: this.waiting.length,
      slots: this.options.slots,
      cached: Object.fromEntries(this.cached),
      highestFencingNumber: this.highestFencingNumber,
      reportedAt: now,
    };
  }

  private usedBytes(): number {
    return [...this.models.values()].reduce(
      (sum, held) => sum + held.memoryBytes,
      0,
    );
  }

  private touchPrefix(prompt: string): boolean {
    const prefix = prompt.slice(0, PREFIX_CHARACTERS);
    const isCached = this.prefixes.delete(prefix);
    this.prefixes.set(prefix, true);
    if (!isCached) this.addEvent('stored', prefix);
    const [oldest] = this.prefixes.keys();
    if (this.prefixes.size > PREFIX_CACHE_ENTRIES && oldest !== undefined) {
      this.prefixes.delete(oldest);
      this.addEvent('evicted', oldest);
    }
    return isCached;
  }

  private addEvent(kind: CacheEvent['kind'], prefix: string): void {
    const sequence = (this.events.at(-1)?.sequence ?? 0) + 1;
    this.events.push({sequence, kind, prefix});
    if (this.events.length > 2 * PREFIX_CACHE_ENTRIES) this.events.shift();
  }

  private pause(milliseconds: number, signal: AbortSignal): Promise<void> {
    const {clock} = this.options;
    return new Promise((resolve, reject) => {
      const cut = (): void => {
        cancel();
        this.cuts.delete(cut);
        signal.removeEventListener('abort', cut);
        reject(new AnswerCutError('the engine ended the stream'));
      };
      const cancel = clock.schedule(after(clock.now(), milliseconds), () => {
        this.cuts.delete(cut);
        signal.removeEventListener('abort', cut);
        resolve();
      });
      if (signal.aborted) {
        cut();
        return;
      }
      signal.addEventListener('abort', cut, {once: true});
      this.cuts.add(cut);
    });
  }

  private assertAlive(): void {
    if (this.isDead) throw new EndpointUnreachableError('the engine is dead');
  }
}

/** The words that an engine answers; a test can tell from them whose answer it is. */
export function completionWords(
  request: Pick<GenerationRequest, 'input' | 'maximumTokens'>,
): string[] {
  const digest = createHash('sha256')
    .update(promptOf(request))
    .digest('hex')
    .slice(0, 12);
  return Array.from(
    {length: request.maximumTokens},
    (_, index) => `${digest}-${index} `,
  );
}

function promptOf(request: Pick<GenerationRequest, 'input'>): string {
  const {input} = request;
  if (input.kind === 'prompt') return input.prompt;
  return input.messages.map(message => message.content).join('\n');
}

function keyOf(held: HeldModel): string {
  return `${held.model}@${held.version}`;
}

function toEngineModel(held: HeldModel): EngineModel {
  const {model, version, state, memoryBytes, running} = held;
  return {model, version, state, memoryBytes, running};
}
