/** One gateway process: plug-ins wired together, with an orderly start and stop. */

import {createAgent} from '@siskinmux/adapters';
import type {TableChange} from '@siskinmux/endpoints';
import {EndpointTable} from '@siskinmux/endpoints';
import type {ClockReading} from '@siskinmux/leases';
import {hesitation} from '@siskinmux/leases';
import {EndpointConnections, SWEEP_MILLISECONDS} from '@siskinmux/forwarding';
import type {
  Clock,
  EmitEvent,
  Milliseconds,
  Random,
  RawSettings,
} from '@siskinmux/kernel';
import {
  ErrorCode,
  Kernel,
  after,
  refuseNotRun,
  sleepFor,
} from '@siskinmux/kernel';
import {PLACEMENT_EVENTS} from '@siskinmux/placement';
import type {ObjectStore} from '@siskinmux/ports';
import {OutlierDetector} from '@siskinmux/routing';
import type {WriteLine} from '@siskinmux/runtime';
import {
  CLOCK,
  EMIT_EVENT,
  METRICS,
  NODE_IDENTITY,
  RANDOM,
  repeat,
} from '@siskinmux/runtime';
import type {FastifyInstance} from 'fastify';
import {Counter, Histogram} from 'prom-client';
import type {CallerExchange} from './caller_exchange.js';
import {CallerListener} from './caller_listener.js';
import {
  ENTRY_UNREADABLE,
  GATEWAY_EVENTS,
  GATEWAY_STARTED,
  GATEWAY_STOPPED,
  GATEWAY_STOPPING,
  TASK_FAILED,
} from './gateway_events.js';
import type {GatewayPlatform} from './gateway_platform.js';
import {readGatewaySettings} from './check_settings.js';
import {splitSocket} from './gateway_settings.js';
import type {JourneySurroundings} from './journey.js';
import {Journey} from './journey.js';
import {LoadBook} from './load_book.js';
import {PlacementTask} from './placement_task.js';
import {PlatformView} from './platform_view.js';
import {listenForReadiness} from './readiness_listener.js';
import {RetryBudgets} from './repeat_budgets.js';
import {refusalAnswer} from './refusal_answer.js';
import {ClusterLoad} from './shared_load.js';
import {ActiveRoutes} from './route_state.js';

/** The balancer stops sending after two missed questions, one a second. */
const NOTICE_MILLISECONDS: Milliseconds = 2_600;

/** Kept back from the time to stop, for the process to end by itself. */
const EXIT_MILLISECONDS: Milliseconds = 500;

/** Pause between two looks for endpoints that did not register again in time. */
const EXPIRY_MILLISECONDS: Milliseconds = 250;

/** Pause between two looks at what is still running. */
const FINISH_CHECK_MILLISECONDS: Milliseconds = 20;

/** When a caller may come back to a node that has no routes yet. */
const RETURN_MILLISECONDS: Milliseconds = 500;

/** Bounds of the latency histogram in seconds, around the objectives of 0.1 to 2 s. */
const LATENCY_BUCKETS = [0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.2, 2, 4, 8, 20];

/** What a gateway is made from. */
export interface GatewayOptions {
  readonly settings: RawSettings;
  readonly platform: GatewayPlatform;
  readonly clock: Clock;
  readonly readClocks: () => ClockReading;
  readonly random: Random;
  readonly writeLog: WriteLine;
}

/** A running gateway. */
export class GatewayNode {
  private readonly kernel: Kernel;
  private readonly emit: EmitEvent;
  private readonly clock: Clock;
  private readonly listen;
  private readonly rules;
  private readonly store: ObjectStore;
  private readonly routes: ActiveRoutes;
  private readonly table = EndpointTable.create();
  private readonly view: PlatformView;
  private readonly connections: EndpointConnections;
  private readonly surroundings: JourneySurroundings;
  private readonly placement: PlacementTask;
  private callers: CallerListener | undefined;
  private readiness: FastifyInstance | undefined;
  private readonly journeys = new Set<Journey>();
  private openCount = 0;
  private isStopping = false;
  private takesWork = true;

  private constructor(private readonly options: GatewayOptions) {
    const {platform, clock, random} = options;
    this.kernel = Kernel.create({settings: options.settings});
    const {kernel} = this;
    kernel.provide(CLOCK, clock);
    kernel.provide(RANDOM, random);
    const settings = readGatewaySettings(kernel, options.writeLog);
    kernel.addEvents(GATEWAY_EVENTS);
    kernel.addEvents(PLACEMENT_EVENTS);
    this.clock = clock;
    this.emit = kernel.inject(EMIT_EVENT);
    this.listen = settings.listen;
    this.rules = settings.rules;
    const {address} = settings.store;
    const {capacity} = settings;
    const {emit} = this;
    const agent = createAgent();
    this.store = platform.openStore({
      address,
      agent,
      clock,
      onUnreadable: (kind, name) => emit(ENTRY_UNREADABLE, {kind, name}),
    });
    this.routes = ActiveRoutes.create(emit);
    this.connections = EndpointConnections.create({
      clock,
      protocol: platform.protocol,
    });
    this.view = PlatformView.create({
      platform,
      store: this.store,
      routes: this.routes,
      table: this.table,
      clock,
      random,
      emit,
      onEndpoints: changes => this.noteEndpoints(changes),
      isFeeding: () => this.placement.isFeeding,
      onProgress: progress => this.placement.noteProgress(progress),
    });
    const load = LoadBook.create(() => this.placement.noteLoad());
    const outliers = OutlierDetector.create();
    const repeats = RetryBudgets.create({
      share: this.rules.repeat_share,
      allowance: this.rules.repeat_allowance,
    });
    const identity = kernel.inject(NODE_IDENTITY);
    this.placement = PlacementTask.create({
      identity,
      listen: this.listen.peers,
      leaseRules: {
        leaseMilliseconds: this.rules.lease_milliseconds,
        isFencingEnforced: this.rules.engines_check_fencing,
      },
      hesitation: hesitation({
        processorShare: capacity.processor_share,
        linkMegabits: capacity.link_megabits,
      }),
      loadWindowMilliseconds: this.rules.load_window_seconds * 1_000,
      store: this.store,
      orders: platform.openOrders({agent, clock}),
      table: this.table,
      routes: this.routes,
      choice: {
        table: this.table,
        load,
        clusterLoad: ClusterLoad.create({clock, load}),
        outliers,
        clock,
        random,
        failureDomain: identity.failureDomain,
      },
      reachesStore: () => this.view.reachesStore,
      readClocks: options.readClocks,
      clock,
      random,
      emit,
      onNodes: nodes => repeats.shareAmong(nodes),
      onFeed: parts => this.view.takeFeed(parts),
      onFeedEnd: () => this.view.endFeed(),
    });
    this.surroundings = {
      protocol: platform.protocol,
      connections: this.connections,
      load,
      outliers,
      repeats,
      noteMissing: (endpoint, model) =>
        this.placement.noteMissing(endpoint, model),
      find: this.placement.find,
      clock,
      emit,
      noteEnd: this.createEndMetrics(),
    };
    this.routes.onChange(({configuration}) =>
      this.callers?.keepIdleFor(configuration.limits.idleTimeoutMilliseconds),
    );
  }

  /** Builds a gateway; throws `SettingsError` for settings that are not valid. */
  static create(options: GatewayOptions): GatewayNode {
    return new GatewayNode(options);
  }

  /** Starts to listen and to follow the store. */
  async start(): Promise<void> {
    const {clock} = this;
    await this.kernel.start();
    this.readiness = await listenForReadiness({
      ...splitSocket(this.listen.readiness),
      isReady: () => !this.isStopping && this.view.isComplete,
    });
    this.callers = await CallerListener.create({
      ...splitSocket(this.listen.callers),
      clock,
      handle: exchange => this.handle(exchange),
    });
    await this.placement.start();
    this.runTask('platform view', this.view.run());
    this.runTask('placement', this.placement.run());
    repeat(clock, SWEEP_MILLISECONDS, () => this.connections.sweep()).start();
    repeat(clock, EXPIRY_MILLISECONDS, () =>
      this.noteEndpoints(this.table.expire(clock.now())),
    ).start();
    this.emit(GATEWAY_STARTED, {...this.listen, peers: undefined});
  }

  /** Stops: not ready, no new work, finish what runs, end. */
  async stop(): Promise<void> {
    const {clock, emit} = this;
    const endAt = after(
      clock.now(),
      this.rules.stop_seconds * 1_000 - EXIT_MILLISECONDS,
    );
    this.isStopping = true;
    emit(GATEWAY_STOPPING, {open: this.openCount});
    this.placement.stop();
    await sleepFor(clock, NOTICE_MILLISECONDS);
    this.takesWork = false;
    this.callers?.closeIdle();
    while (this.openCount > 0 && clock.now() < endAt) {
      await sleepFor(clock, FINISH_CHECK_MILLISECONDS);
    }
    const open = this.openCount;
    for (const journey of this.journeys) journey.abandon();
    await sleepFor(clock, FINISH_CHECK_MILLISECONDS);
    this.view.stop();
    emit(GATEWAY_STOPPED, {open});
  }

  private async handle(exchange: CallerExchange): Promise<void> {
    this.openCount += 1;
    try {
      if (this.isStopping) exchange.closeAfterwards();
      await this.route(exchange);
    } catch (failure) {
      this.noteDefect('request', failure);
      exchange.cut();
    } finally {
      this.openCount -= 1;
    }
  }

  private async route(exchange: CallerExchange): Promise<void> {
    const routes = this.routes.current;
    if (routes === undefined || !this.takesWork) {
      const code =
        routes === undefined
          ? ErrorCode.ConfigurationUnavailable
          : ErrorCode.ShuttingDown;
      this.refuse(exchange, code);
      return;
    }
    const route = routes.table.find(exchange.host, exchange.target);
    if (route === undefined) {
      this.refuse(exchange, ErrorCode.UnknownTarget);
      return;
    }
    const {configuration} = routes;
    const journey = Journey.create(
      this.surroundings,
      exchange,
      configuration,
      route,
    );
    this.journeys.add(journey);
    try {
      await journey.run();
    } finally {
      this.journeys.delete(journey);
    }
  }

  private refuse(exchange: CallerExchange, code: ErrorCode): void {
    const now = this.clock.now();
    const {id} = this.options.platform.protocol.readRequest(exchange.headers);
    const refusal = refuseNotRun(code, '', after(now, RETURN_MILLISECONDS));
    const answer = refusalAnswer(refusal, id, now);
    exchange.startResponse(answer.status, answer.headers);
    exchange.end(answer.body);
  }

  private noteEndpoints(changes: readonly TableChange[]): void {
    for (const {id, now} of changes) {
      if (now === undefined) this.connections.forget(id);
    }
    this.placement.noteEndpoints(changes);
  }

  private runTask(task: string, work: Promise<void>): void {
    work.catch((failure: unknown) => this.noteDefect(task, failure));
  }

  /**
   * Logs a failure that no task handles. The process goes on: its other requests would be
   * lost with it.
   */
  noteDefect(task: string, failure: unknown): void {
    const text =
      failure instanceof Error
        ? (failure.stack ?? failure.message)
        : String(failure);
    this.emit(TASK_FAILED, {task, failure: text});
  }

  private createEndMetrics(): JourneySurroundings['noteEnd'] {
    const registers = [this.kernel.inject(METRICS)];
    const ends = new Counter({
      name: 'siskinmux_requests_total',
      help: 'Requests of callers by route and result',
      labelNames: ['route', 'result'],
      registers,
    });
    const seconds = new Histogram({
      name: 'siskinmux_request_seconds',
      help: 'Time to the end of the answer by route',
      labelNames: ['route'],
      buckets: LATENCY_BUCKETS,
      registers,
    });
    return (route, result, took) => {
      ends.inc({route: route.name, result});
      seconds.observe({route: route.name}, took / 1_000);
    };
  }
}
