/** A simulated model engine with memory, slots, adapters, a prefix cache and faults. */

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

/** A prompt that contains this marker crashes the engine. */
export const CRASH_MARKER = 'crash-the-engine';

/** Capacity of the prefix cache. */
const PREFIX_CACHE_ENTRIES = 64;

/** Number of leading characters of a prompt that are cached. */
const PREFIX_CHARACTERS = 64;

/** Load times of cached checkpoints; the weight store sets those of remote loads. */
const MEMORY_LOAD_MILLISECONDS = 100;
const DISK_LOAD_MILLISECONDS = 500;

/** Options of {@link EngineStandIn.create}. */
export interface EngineStandInOptions {
  readonly clock: Clock;
  readonly weightStore: WeightStoreStandIn;
  readonly memoryBytes: number;
  readonly slots: number;
  readonly queueLimit: number;
  readonly checksFencing: boolean;
  readonly firstTokenMilliseconds: number;
  readonly tokenMilliseconds: number;
  /** Duration of a load from the weight store at full speed. */
  readonly remoteLoadMilliseconds: number;
  /** Age of the load reports: `status` returns the newest that is at least this old. */
  readonly reportLagMilliseconds: number;
  /** Called when a request crashes the engine. */
  readonly onCrash?: () => void;
}

interface LoadedModel {
  readonly model: ModelName;
  readonly version: string;
  readonly memoryBytes: number;
  state: 'loading' | 'ready';
  running: number;
  readonly loading: Promise<void>;
}

interface QueuedRequest {
  readonly priority: number;
  readonly start: () => void;
}

/** Actual state of an engine, for invariant checks from outside the system. */
export interface EngineObservation {
  readonly usedBytes: number;
  readonly memoryBytes: number;
  /** Names of the models that are loading or loaded. */
  readonly models: readonly string[];
  /** The same models with the memory that each takes up. */
  readonly held: readonly {readonly model: string; readonly bytes: number}[];
  /** Milliseconds from the start of leaving to the latest request started since; 0 if none. */
  readonly latestStartWhileLeaving: number;
  /** Number of requests cut because their model was unloaded. */
  readonly cutByUnload: number;
}

/** Implements the engine port in process; {@link serveEngine} serves it over HTTP. */
export class EngineStandIn implements Engine {
  private leavingSince: Instant | undefined;
  /** Whether the engine is unreachable. */
  isDead = false;
  private incarnation = 1;
  private readonly models = new Map<string, LoadedModel>();
  private readonly adapters = new Set<AdapterName>();
  /** Nearest cache tier of the weights of each model version. */
  private readonly weightTiers = new Map<string, CacheTier>();
  private readonly cachedPrefixes = new Map<string, true>();
  private readonly recentCacheEvents: CacheEvent[] = [];
  private readonly queue: QueuedRequest[] = [];
  private readonly recentReports: EngineStatus[] = [];
  private readonly abortCallbacks = new Set<() => void>();
  private highestFencingNumber = as<FencingNumber>(0);
  private running = 0;
  private latestStartWhileLeaving = 0;
  private readonly startedRequests = new Set<string>();
  private cutByUnload = 0;
  private generatedTokenCount = 0;
  private startedLoadCount = 0;

  private constructor(private readonly options: EngineStandInOptions) {}

  static create(options: EngineStandInOptions): EngineStandIn {
    return new EngineStandIn(options);
  }

  /** Number of model loads started. */
  get loadCount(): number {
    return this.startedLoadCount;
  }

  /** Number of tokens generated. */
  get tokensGenerated(): number {
    return this.generatedTokenCount;
  }

  async *generate(
    request: GenerationRequest,
    signal: AbortSignal,
  ): AsyncIterable<GenerationChunk> {
    this.assertAlive();
    const loaded = this.requireModel(request);
    this.recordStart(request);
    await this.acquireSlot(request.priority, signal);
    const {incarnation} = this;
    loaded.running += 1;
    try {
      yield* this.streamTokens(request, loaded, signal);
    } finally {
      loaded.running -= 1;
      if (incarnation === this.incarnation) this.releaseSlot();
    }
  }

  async order(order: EngineOrder): Promise<void> {
    this.assertAlive();
    this.checkFencingNumber(order.fencingNumber);
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
    this.recentReports.push(this.report(now));
    const visibleUntil = after(now, -reportLagMilliseconds);
    while (
      this.recentReports.length > 1 &&
      (this.recentReports[1]?.reportedAt ?? now) <= visibleUntil
    ) {
      this.recentReports.shift();
    }
    return this.recentReports[0] ?? this.report(now);
  }

  async cacheEvents(sequence: number): Promise<readonly CacheEvent[]> {
    this.assertAlive();
    return this.recentCacheEvents.filter(event => event.sequence > sequence);
  }

  /** Returns the actual state, which reports show late. */
  observe(): EngineObservation {
    return {
      usedBytes: this.usedBytes(),
      memoryBytes: this.options.memoryBytes,
      models: [...this.models.values()].map(loaded => loaded.model),
      held: [...this.models.values()].map(loaded => ({
        model: loaded.model,
        bytes: loaded.memoryBytes,
      })),
      latestStartWhileLeaving: this.latestStartWhileLeaving,
      cutByUnload: this.cutByUnload,
    };
  }

  /** Announces that the engine is leaving; running requests continue. */
  leave(): void {
    this.leavingSince ??= this.options.clock.now();
  }

  /** Whether no request is running or queued, regardless of reports. */
  get isIdle(): boolean {
    return this.running === 0 && this.queue.length === 0;
  }

  /** Whether a request has started on this engine. */
  hasRun(requestId: string): boolean {
    return this.startedRequests.has(requestId);
  }

  /** Crashes the engine: cuts all requests and loses its memory. */
  die(): void {
    this.isDead = true;
    this.models.clear();
    this.adapters.clear();
    this.cachedPrefixes.clear();
    this.recentReports.length = 0;
    for (const abort of [...this.abortCallbacks]) abort();
    this.abortCallbacks.clear();
    this.queue.length = 0;
  }

  /** Restarts the engine without models; its cached checkpoints remain on disk. */
  restart(): void {
    this.incarnation += 1;
    this.isDead = false;
    this.leavingSince = undefined;
    this.running = 0;
    this.highestFencingNumber = as<FencingNumber>(0);
    for (const key of this.weightTiers.keys())
      this.weightTiers.set(key, 'disk');
  }

  private recordStart(request: GenerationRequest): void {
    this.startedRequests.add(request.requestId);
    if (this.leavingSince === undefined) return;
    this.latestStartWhileLeaving = Math.max(
      this.latestStartWhileLeaving,
      this.options.clock.now() - this.leavingSince,
    );
  }

  private async *streamTokens(
    request: GenerationRequest,
    loaded: LoadedModel,
    signal: AbortSignal,
  ): AsyncIterable<GenerationChunk> {
    const prompt = promptOf(request);
    if (prompt.includes(CRASH_MARKER)) this.crash();
    const isCached = this.recordPrefixUse(prompt);
    const firstTokenMilliseconds = this.options.firstTokenMilliseconds;
    const {incarnation} = this;
    await this.delay(
      isCached ? firstTokenMilliseconds / 2 : firstTokenMilliseconds,
      signal,
    );
    const words = completionWords(request);
    for (let index = request.resumeAfter; index < words.length; index += 1) {
      if (index > request.resumeAfter) {
        await this.delay(this.options.tokenMilliseconds, signal);
      }
      // The engine may have died and restarted since a slow reader took the previous token.
      if (incarnation !== this.incarnation) {
        throw new AnswerCutError('the engine died');
      }
      if (this.models.get(keyOf(loaded)) !== loaded) {
        this.cutByUnload += 1;
        throw new AnswerCutError('the model was unloaded');
      }
      this.generatedTokenCount += 1;
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

  private requireModel(request: GenerationRequest): LoadedModel {
    const loaded = this.models.get(`${request.model}@${request.version}`);
    if (loaded === undefined || loaded.state !== 'ready') {
      throw new EndpointBusyError(`${request.model} is not loaded`);
    }
    const {adapter} = request;
    if (adapter !== undefined && !this.adapters.has(adapter)) {
      throw new EndpointBusyError(`adapter ${adapter} is not loaded`);
    }
    return loaded;
  }

  private async acquireSlot(
    priority: number,
    signal: AbortSignal,
  ): Promise<void> {
    if (this.running < this.options.slots) {
      this.running += 1;
      return;
    }
    if (this.queue.length >= this.options.queueLimit) {
      throw new EndpointBusyError('the queue is full');
    }
    await new Promise<void>((resolve, reject) => {
      const queued: QueuedRequest = {priority, start: resolve};
      this.queue.push(queued);
      this.queue.sort((left, right) => right.priority - left.priority);
      const abort = (): void => {
        const index = this.queue.indexOf(queued);
        if (index < 0) return;
        this.queue.splice(index, 1);
        reject(new AnswerCutError('aborted while queued'));
      };
      signal.addEventListener('abort', abort, {once: true});
      this.abortCallbacks.add(abort);
    });
  }

  /** Passes the slot to the next queued request, or frees it. */
  private releaseSlot(): void {
    if (this.isDead) return;
    const next = this.queue.shift();
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
    // Accepts loads beyond its memory, so that invariant checks detect overcommitment.
    this.startedLoadCount += 1;
    const {incarnation} = this;
    const loading = this.loadWeights(key).then(() => {
      if (this.models.get(key) !== loaded || this.incarnation !== incarnation) {
        throw new AnswerCutError('the engine died during the load');
      }
      loaded.state = 'ready';
      this.weightTiers.set(key, 'memory');
    });
    const loaded: LoadedModel = {
      model,
      version,
      memoryBytes,
      state: 'loading',
      running: 0,
      loading,
    };
    this.models.set(key, loaded);
    return loading;
  }

  private async loadWeights(key: string): Promise<void> {
    const {clock, weightStore, remoteLoadMilliseconds} = this.options;
    const tier = this.weightTiers.get(key) ?? 'remote';
    if (tier === 'remote') return weightStore.load(remoteLoadMilliseconds);
    const milliseconds =
      tier === 'memory' ? MEMORY_LOAD_MILLISECONDS : DISK_LOAD_MILLISECONDS;
    await sleepFor(clock, milliseconds);
  }

  private unloadModel(model: ModelName, version: string): void {
    this.models.delete(`${model}@${version}`);
  }

  private async loadAdapter(adapter: AdapterName): Promise<void> {
    await this.options.weightStore.loadAdapter();
    this.assertAlive();
    this.adapters.add(adapter);
  }

  /** Rejects an order with a lower number than an earlier one, if the engine checks fencing. */
  private checkFencingNumber(number: FencingNumber): void {
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
      queued: this.queue.length,
      slots: this.options.slots,
      cached: Object.fromEntries(this.weightTiers),
      highestFencingNumber: this.highestFencingNumber,
      reportedAt: now,
    };
  }

  private usedBytes(): number {
    return [...this.models.values()].reduce(
      (sum, loaded) => sum + loaded.memoryBytes,
      0,
    );
  }

  /** Moves the prefix of a prompt to the newest cache entry; true if it was cached. */
  private recordPrefixUse(prompt: string): boolean {
    const prefix = prompt.slice(0, PREFIX_CHARACTERS);
    const isCached = this.cachedPrefixes.delete(prefix);
    this.cachedPrefixes.set(prefix, true);
    if (!isCached) this.addEvent('stored', prefix);
    const [oldest] = this.cachedPrefixes.keys();
    if (
      this.cachedPrefixes.size > PREFIX_CACHE_ENTRIES &&
      oldest !== undefined
    ) {
      this.cachedPrefixes.delete(oldest);
      this.addEvent('evicted', oldest);
    }
    return isCached;
  }

  private addEvent(kind: CacheEvent['kind'], prefix: string): void {
    const sequence = (this.recentCacheEvents.at(-1)?.sequence ?? 0) + 1;
    this.recentCacheEvents.push({sequence, kind, prefix});
    if (this.recentCacheEvents.length > 2 * PREFIX_CACHE_ENTRIES)
      this.recentCacheEvents.shift();
  }

  private delay(milliseconds: number, signal: AbortSignal): Promise<void> {
    const {clock} = this.options;
    return new Promise((resolve, reject) => {
      const abort = (): void => {
        cancel();
        this.abortCallbacks.delete(abort);
        signal.removeEventListener('abort', abort);
        reject(new AnswerCutError('the stream was aborted'));
      };
      const cancel = clock.schedule(after(clock.now(), milliseconds), () => {
        this.abortCallbacks.delete(abort);
        signal.removeEventListener('abort', abort);
        resolve();
      });
      if (signal.aborted) {
        abort();
        return;
      }
      signal.addEventListener('abort', abort, {once: true});
      this.abortCallbacks.add(abort);
    });
  }

  private assertAlive(): void {
    if (this.isDead) throw new EndpointUnreachableError('the engine is dead');
  }
}

/** The words generated for a prompt. They contain its digest, so that tests can match them. */
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

function keyOf(loaded: LoadedModel): string {
  return `${loaded.model}@${loaded.version}`;
}

function toEngineModel(loaded: LoadedModel): EngineModel {
  const {model, version, state, memoryBytes, running} = loaded;
  return {model, version, state, memoryBytes, running};
}
