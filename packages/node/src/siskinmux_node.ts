/** Assembles the plug-ins of a node and controls its start and graceful shutdown. */

import type {
  Clock,
  EmitEvent,
  EventDescriptor,
  Milliseconds,
  NodeId,
  Plugin,
  Random,
  RawSettings,
} from '@siskinmux/kernel';
import {Kernel, after, sleepFor} from '@siskinmux/kernel';
import type {SpanProcessor} from '@opentelemetry/sdk-trace-base';
import {readProcessorTime, steadyClock} from '@siskinmux/adapters';
import {z} from 'zod';
import {allocationPlugin} from './allocation_task.js';
import type {CallerApi} from './caller_api.js';
import {CALLER_API, callerApiPlugin} from './caller_api.js';
import {CONFIGURATION, configurationPlugin} from './configuration_task.js';
import {endpointsPlugin} from './endpoint_adapters.js';
import {LEDGER, ledgerPlugin} from './ledger_plugin.js';
import {HttpPeerTransport} from './http_peer_transport.js';
import type {WriteLine} from '@siskinmux/runtime';
import {
  EMIT_EVENT,
  METRICS_URL,
  NODE_IDENTITY,
  createEventLoopPlugin,
  createLogPlugin,
  createTracingPlugin,
  metricsPlugin,
  nodeIdentityPlugin,
  settingsSection,
} from '@siskinmux/runtime';
import {MEMBERSHIP, membershipPlugin} from './membership_task.js';
import {
  NODE_EVENTS,
  NODE_STARTED,
  NODE_STOPPED,
  NODE_STOPPING,
  STOP_CUT_SHORT,
} from './node_events.js';
import {OPERATOR_API, operatorApiPlugin} from './operator_api.js';
import type {PeerTraffic} from './peers.js';
import {PEERS, createPeersPlugin} from './peers.js';
import {createPlatformPlugin} from './platform.js';
import {REQUESTS, requestsPlugin} from './requests_plugin.js';

/** Interval at which a stopping node checks for unfinished requests. */
const DRAIN_CHECK_INTERVAL_MILLISECONDS: Milliseconds = 20;

const shutdownSchema = z.strictObject({
  /** Time in which the load balancer notices that the node is not ready. */
  notice_milliseconds: z.number().int().nonnegative().default(3_000),
  /** Time in which requests in flight may finish. */
  finish_milliseconds: z.number().int().positive().default(120_000),
});

const shutdownSection = settingsSection('shutdown', shutdownSchema);

/** Settings and injected dependencies of a {@link SiskinmuxNode}. */
export interface NodeOptions {
  readonly settings: RawSettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly writeLog: WriteLine;
  /** Each receives every finished span, in addition to the exporter in the settings. */
  readonly spanProcessors?: readonly SpanProcessor[];
}

/** A node: all plug-ins of one siskinmux process. */
export class SiskinmuxNode {
  private readonly shutdown: z.infer<typeof shutdownSchema>;
  private readonly emit: EmitEvent;
  private readonly caller: CallerApi;

  private constructor(
    private readonly kernel: Kernel,
    private readonly clock: Clock,
  ) {
    this.shutdown = kernel.settings(shutdownSection);
    this.emit = kernel.inject(EMIT_EVENT);
    this.caller = kernel.inject(CALLER_API);
  }

  /** Creates a node without starting it. Throws `SettingsError` for invalid settings. */
  static create(options: NodeOptions): SiskinmuxNode {
    const kernel = Kernel.create({settings: options.settings});
    for (const plugin of pluginsOf(options)) kernel.use(plugin);
    kernel.addEvents(NODE_EVENTS);
    const node = new SiskinmuxNode(kernel, options.clock);
    kernel.rejectUnknownSettings();
    return node;
  }

  /** ID of this node, new at every start. */
  get id(): NodeId {
    return this.kernel.inject(NODE_IDENTITY).id;
  }

  /** Base URL of the caller interface, once started. */
  get callerUrl(): string {
    return this.caller.url();
  }

  /** Base URL of the operator interface, once started. */
  get operatorUrl(): string {
    return this.kernel.inject(OPERATOR_API).url();
  }

  /** Base URL of the peer interface, once started. */
  get peerUrl(): string {
    return this.kernel.inject(PEERS).address;
  }

  /** Base URL of the metrics server, once started. */
  get metricsUrl(): string {
    return this.kernel.inject(METRICS_URL)();
  }

  /** Bytes and calls exchanged with other nodes. */
  get peerTraffic(): PeerTraffic {
    return this.kernel.inject(PEERS).traffic;
  }

  /** Number of the active configuration. */
  get configurationNumber(): number {
    return this.kernel.inject(CONFIGURATION).state.current.number;
  }

  /** Number of nodes that this node considers live, including itself. */
  get liveNodeCount(): number {
    return this.kernel.inject(MEMBERSHIP).membership.live.length;
  }

  /** Every event that this node can log. */
  get events(): readonly EventDescriptor[] {
    return this.kernel.events;
  }

  /** Starts all tasks; resolves when the node accepts requests. */
  async start(): Promise<void> {
    await this.kernel.start();
    this.emit(NODE_STARTED, {
      caller: this.callerUrl,
      operator: this.operatorUrl,
    });
  }

  /**
   * Shuts down gracefully: reports "not ready", rejects new requests, waits for those in
   * flight, releases owned state and stops all tasks.
   */
  async stop(): Promise<void> {
    this.emit(NODE_STOPPING);
    const {notice_milliseconds, finish_milliseconds} = this.shutdown;
    this.caller.context.isReady = false;
    await sleepFor(this.clock, notice_milliseconds);
    this.kernel.inject(REQUESTS).dispatcher.close();
    await this.waitForOpenRequests(finish_milliseconds);
    await this.kernel.stop();
    this.emit(NODE_STOPPED);
  }

  /** Stops immediately, as in a crash; for demonstrations and tests. */
  async abandon(): Promise<void> {
    this.caller.context.isReady = false;
    await this.kernel.abandon();
  }

  private async waitForOpenRequests(
    timeoutMilliseconds: Milliseconds,
  ): Promise<void> {
    const deadline = after(this.clock.now(), timeoutMilliseconds);
    const ledger = this.kernel.inject(LEDGER);
    const {context} = this.caller;
    while (context.open > 0 || ledger.unacknowledgedCount > 0) {
      if (this.clock.now() >= deadline) {
        this.emit(STOP_CUT_SHORT, {open: context.open});
        return;
      }
      await sleepFor(this.clock, DRAIN_CHECK_INTERVAL_MILLISECONDS);
    }
  }
}

/**
 * Plug-ins that do not depend on the transport: a node over HTTP and a simulated node
 * use the same ones.
 */
export const CORE_PLUGINS = {
  beforeEndpoints: [membershipPlugin, configurationPlugin, ledgerPlugin],
  afterEndpoints: [allocationPlugin, requestsPlugin],
} as const;

/** All plug-ins in installation order; each injects only services of earlier ones. */
function pluginsOf(options: NodeOptions): Plugin[] {
  return [
    nodeIdentityPlugin,
    createLogPlugin(options.writeLog),
    metricsPlugin,
    createEventLoopPlugin({clock: steadyClock, readProcessorTime}),
    createTracingPlugin(options.spanProcessors),
    createPlatformPlugin(options),
    createPeersPlugin(HttpPeerTransport.create),
    ...CORE_PLUGINS.beforeEndpoints,
    endpointsPlugin,
    ...CORE_PLUGINS.afterEndpoints,
    operatorApiPlugin,
    callerApiPlugin,
  ];
}
