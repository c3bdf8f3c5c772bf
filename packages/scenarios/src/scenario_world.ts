/** A deployment in virtual time, on which a scenario's steps act. */

import {randomUUID} from 'node:crypto';
import type {
  FailureDomain,
  Fingerprint,
  HostId,
  IdempotencyKey,
  Instant,
  Random,
  RequestId,
} from '@siskinmux/kernel';
import {
  Outcome,
  RefusalError,
  after,
  as,
  randomBelow,
  sleepUntil,
} from '@siskinmux/kernel';
import {ConfigurationConflictError} from '@siskinmux/configuration';
import type {Patch} from '@siskinmux/declarations';
import {diffDeclarations, emptyDeclarations} from '@siskinmux/declarations';
import type {GenerationInput} from '@siskinmux/ports';
import type {StartSpan} from '@siskinmux/requests';
import {
  EngineStandIn,
  HostListStandIn,
  ObjectServiceStandIn,
  PlainServiceStandIn,
  ServiceRecords,
  WeightStoreStandIn,
  answerWords,
} from '@siskinmux/standins';
import {VirtualClock, createSeededRandom} from '@siskinmux/testkit';
import type {CallerEnd, CallerRecord, Sending} from './caller_record.js';
import {MemoryNetwork} from './memory_network.js';
import type {Scenario} from './scenario_file.js';
import type {Outside} from './simulated_node.js';
import {SimulatedNode} from './simulated_node.js';

const BYTES_PER_GIBIBYTE = 1024 ** 3;

/** How late the host list and load reports are. */
const HOST_LIST_LAG_MILLISECONDS = 500;
const REPORT_LAG_MILLISECONDS = 250;

/** Time that a caller gives a request without a timeout of its own. */
const DEFAULT_TIMEOUT_MILLISECONDS = 10_000;

/** Pause before a caller sends the same request again. */
const RESEND_MILLISECONDS = 200;

/** Notice that a node gives before it takes no new work. */
const STOP_NOTICE_MILLISECONDS = 1_000;

/** What an operator's patch came to. */
export type PatchEnd = 'accepted' | 'conflict' | 'open';

const noHop: StartSpan = () => ({traceparent: undefined, end: () => {}});

/** Nodes, stand-ins and callers of one scenario. */
export class ScenarioSimulation {
  readonly clock = VirtualClock.create();
  readonly random: Random;
  readonly network: MemoryNetwork;
  readonly nodes = new Map<string, SimulatedNode>();
  readonly engines = new Map<string, EngineStandIn>();
  readonly services = new Map<string, PlainServiceStandIn>();
  readonly records = new Map<string, ServiceRecords>();
  readonly requests: CallerRecord[] = [];
  /** Every sending with its request, in order. */
  readonly allAttempts: Array<[CallerRecord, Sending]> = [];
  readonly patches: PatchEnd[] = [];
  /** Lines that nodes logged, with their times. */
  readonly log: string[] = [];
  readonly objects: ObjectServiceStandIn;
  readonly hosts: HostListStandIn;
  readonly weightStore: WeightStoreStandIn;
  /** Numbers of the accepted configurations and what they limit. */
  acceptedNumber = 0;
  crashes = 0;
  /** Some stations can't reach each other. */
  isCut = false;
  private readonly startedAt: Instant;
  private restarts = 0;

  private constructor(readonly scenario: Scenario) {
    const {clock} = this;
    this.random = createSeededRandom(scenario.seed);
    const {random} = this;
    this.startedAt = clock.now();
    this.network = MemoryNetwork.create({clock, random});
    this.objects = ObjectServiceStandIn.create({clock, random});
    this.objects.faults.delayMilliseconds = 2;
    this.hosts = HostListStandIn.create({
      clock,
      lagMilliseconds: HOST_LIST_LAG_MILLISECONDS,
    });
    this.weightStore = WeightStoreStandIn.create({clock});
    this.createEndpoints();
  }

  static create(scenario: Scenario): ScenarioSimulation {
    return new ScenarioSimulation(scenario);
  }

  /** Milliseconds since the scenario began. */
  get elapsed(): number {
    return this.clock.now() - this.startedAt;
  }

  /** Whether the platform or the network is not well, so that news may be late. */
  get isDisturbed(): boolean {
    const {isDown, lostAnswerShare, lostWriteShare} = this.objects.faults;
    return this.isCut || isDown || lostAnswerShare + lostWriteShare > 0;
  }

  /** An instant of the scenario. */
  toInstant(at: number): Instant {
    return after(this.startedAt, at);
  }

  /** Starts the nodes and submits the declarations as the first patch. */
  async deploy(): Promise<void> {
    const {nodes, declarations} = this.scenario;
    for (const {name, failure_domain} of nodes) {
      await this.startNode(name, failure_domain);
    }
    const changes = diffDeclarations(emptyDeclarations(), declarations);
    const [first] = this.nodes.values();
    if (first === undefined) return;
    await this.clock.runUntilSettled(
      this.submit(first, {
        id: 'scenario-begin',
        based_on: 0,
        author: 'scenario',
        reason: 'begin',
        changes,
      }),
    );
  }

  /** Starts a node; an earlier one of this name stays dead. */
  async startNode(name: string, failureDomain: string): Promise<void> {
    const isRestart = this.nodes.has(name);
    if (isRestart) this.restarts += 1;
    const node = SimulatedNode.create({
      name: isRestart ? `${name}-${this.restarts}` : name,
      failureDomain,
      address: addressOf(name),
      outside: this.outside(),
      writeLog: line => this.log.push(`${this.elapsed} ${line.trim()}`),
    });
    this.nodes.set(name, node);
    await this.clock.runUntilSettled(node.start());
  }

  /** A node by the name that the scenario gives it. */
  node(name: string): SimulatedNode {
    const node = this.nodes.get(name);
    if (node === undefined) throw new RangeError(`no node ${name}`);
    return node;
  }

  /** Stops a node gracefully, in the background. */
  stopNode(name: string): void {
    const node = this.node(name);
    for (const sending of this.openSendings(node))
      sending.isNodeStopping = true;
    void node.stop(STOP_NOTICE_MILLISECONDS);
  }

  /** Notes that a node's open requests can't be held to their deadlines. */
  markFaulted(name: string): void {
    for (const sending of this.openSendings(this.node(name))) {
      sending.isNodeFaulted = true;
    }
  }

  /** Sends a request for text. */
  sendText(options: {
    model: string;
    prompt?: string | undefined;
    tokens: number;
    node?: string | undefined;
    timeoutMilliseconds?: number | undefined;
    isResent: boolean;
  }): void {
    const content = options.prompt ?? `question ${randomUUIDFrom(this.random)}`;
    const input: GenerationInput = {kind: 'prompt', prompt: content};
    const expected = answerWords({input, maximumTokens: options.tokens}).join(
      '',
    );
    this.send(
      'text',
      options.model,
      undefined,
      options,
      (node, sending, signal) =>
        node.trackRequest(async () => {
          let text = '';
          let isEnded = false;
          const chunks = node.requests.text.generate(
            {
              id: sending.id,
              requested: options.model,
              input,
              maximumTokens: options.tokens,
              deadline: sending.deadline,
              priority: undefined,
              fingerprint: as<Fingerprint>(`text ${options.model} ${content}`),
              signal,
            },
            noHop,
          );
          for await (const chunk of chunks) {
            if (chunk.kind === 'token') text += chunk.text;
            else isEnded = true;
          }
          return isEnded && text === expected ? 'answered' : 'wrong';
        }),
    );
  }

  /** Sends a call of a plain service. */
  sendCall(options: {
    service: string;
    path: string;
    method: string;
    key?: string | undefined;
    body: string;
    node?: string | undefined;
    timeoutMilliseconds?: number | undefined;
    isResent: boolean;
  }): void {
    const {service, path, method, body, key} = options;
    this.send(
      'call',
      `${service}${path}`,
      key,
      options,
      (node, sending, signal) =>
        node.trackRequest(async () => {
          const {answer} = await node.requests.services.serve(
            {
              id: sending.id,
              service,
              path,
              method,
              contentType: 'application/json',
              body,
              idempotencyKey:
                key === undefined ? undefined : as<IdempotencyKey>(key),
              deadline: sending.deadline,
              priority: undefined,
              fingerprint: as<Fingerprint>(
                `${method} ${service}${path} ${body}`,
              ),
              signal,
            },
            noHop,
          );
          const {echo} = JSON.parse(answer.body) as {echo: string};
          return echo === body.slice(0, 64) ? 'answered' : 'wrong';
        }),
    );
  }

  /** Submits an operator's patch and notes what came of it. */
  async submit(node: SimulatedNode, patch: Patch): Promise<void> {
    const place = this.patches.push('open') - 1;
    try {
      const number = await node.configuration.store.submitPatch(patch);
      this.acceptedNumber = Math.max(this.acceptedNumber, number);
      this.patches[place] = 'accepted';
      await node.configuration.refresh();
    } catch (failure) {
      if (failure instanceof ConfigurationConflictError) {
        this.patches[place] = 'conflict';
      }
    }
  }

  private send(
    kind: CallerRecord['kind'],
    label: string,
    key: string | undefined,
    options: {
      node?: string | undefined;
      timeoutMilliseconds?: number | undefined;
      isResent: boolean;
    },
    serve: (
      node: SimulatedNode,
      sending: Sending,
      signal: AbortSignal,
    ) => Promise<CallerEnd>,
  ): void {
    const record: CallerRecord = {kind, label, key, sendings: []};
    this.requests.push(record);
    const timeout = options.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS;
    const deadline = after(this.clock.now(), timeout);
    void this.sendUntilFinal(record, deadline, options, serve);
  }

  private async sendUntilFinal(
    record: CallerRecord,
    deadline: Instant,
    options: {node?: string | undefined; isResent: boolean},
    serve: (
      node: SimulatedNode,
      sending: Sending,
      signal: AbortSignal,
    ) => Promise<CallerEnd>,
  ): Promise<void> {
    for (let attempt = 0; ; attempt += 1) {
      const named = attempt === 0 ? options.node : undefined;
      const node = named === undefined ? this.anyReadyNode() : this.node(named);
      const end =
        node === undefined
          ? 'refused'
          : await this.sendOnce(record, node, deadline, serve);
      const isWorthResending = end === 'refused' || end === 'broken';
      if (!isWorthResending || !options.isResent) return;
      const next = after(this.clock.now(), RESEND_MILLISECONDS);
      if (next >= deadline) return;
      await sleepUntil(this.clock, next);
    }
  }

  private async sendOnce(
    record: CallerRecord,
    node: SimulatedNode,
    deadline: Instant,
    serve: (
      node: SimulatedNode,
      sending: Sending,
      signal: AbortSignal,
    ) => Promise<CallerEnd>,
  ): Promise<CallerEnd> {
    const sending: Sending = {
      id: as<RequestId>(randomUUID()),
      node: node.name,
      sentAt: this.clock.now(),
      deadline,
      endedAt: undefined,
      end: 'open',
      detail: '',
      isNodeFaulted: node.gate.state !== 'running',
      isNodeStopping: false,
    };
    record.sendings.push(sending);
    this.allAttempts.push([record, sending]);
    const {killSignal} = node.gate;
    let noteKill = (): void => {};
    const broken = new Promise<CallerEnd>(resolve => {
      noteKill = () => resolve('broken');
      killSignal.addEventListener('abort', noteKill, {once: true});
    });
    const leaving = new AbortController();
    const served = node.gate
      .whenRunning()
      .then(() => serve(node, sending, leaving.signal))
      .catch(failure => endAfter(failure, sending));
    const end = await Promise.race([served, broken]);
    // Listeners that stay would make each new one slower to add.
    killSignal.removeEventListener('abort', noteKill);
    sending.end = end;
    sending.endedAt = this.clock.now();
    return end;
  }

  private anyReadyNode(): SimulatedNode | undefined {
    const ready = [...this.nodes.values()].filter(node => node.isReady);
    return ready[randomBelow(this.random, ready.length)];
  }

  private openSendings(node: SimulatedNode): Sending[] {
    return this.requests
      .flatMap(record => record.sendings)
      .filter(sending => sending.node === node.name && sending.end === 'open');
  }

  private outside(): Outside {
    const {clock, random, network, objects, hosts, weightStore} = this;
    const {engines, services} = this;
    return {
      clock,
      random,
      network,
      objects,
      hosts,
      weightStore,
      engines,
      services,
      seeds: this.scenario.nodes.map(({name}) => addressOf(name)),
    };
  }

  private createEndpoints(): void {
    const {declarations} = this.scenario;
    for (const [name, endpoint] of Object.entries(declarations.endpoints)) {
      this.hosts.set({
        id: as<HostId>(endpoint.host),
        state: 'live',
        failureDomain: as<FailureDomain>(endpoint.failure_domain),
      });
      if (endpoint.kind === 'service') {
        this.createService(name, endpoint.service);
      } else {
        this.createEngine(name, endpoint.memory_gib, endpoint.checks_fencing);
      }
    }
  }

  private createService(name: string, service: string): void {
    const records = this.records.get(service) ?? ServiceRecords.create();
    this.records.set(service, records);
    const standIn = PlainServiceStandIn.create({clock: this.clock, records});
    standIn.faults.delayMilliseconds = 2;
    this.services.set(name, standIn);
  }

  private createEngine(
    name: string,
    memoryGib: number,
    checksFencing: boolean,
  ): void {
    const {slots, load_milliseconds: remoteLoadMilliseconds} = this.scenario;
    this.engines.set(
      name,
      EngineStandIn.create({
        clock: this.clock,
        weightStore: this.weightStore,
        memoryBytes: memoryGib * BYTES_PER_GIBIBYTE,
        slots,
        queueLimit: 4 * slots,
        checksFencing,
        firstTokenMilliseconds: 30,
        tokenMilliseconds: 10,
        remoteLoadMilliseconds,
        reportLagMilliseconds: REPORT_LAG_MILLISECONDS,
        onCrash: () => {
          this.crashes += 1;
        },
      }),
    );
  }
}

function endAfter(failure: unknown, sending: Sending): CallerEnd {
  if (!(failure instanceof RefusalError)) throw failure;
  sending.detail = `${failure.code} ${failure.detail}`;
  switch (failure.outcome) {
    case Outcome.NotRun:
      return 'refused';
    case Outcome.Failed:
      return 'failed';
    case Outcome.Unknown:
      return 'unknown';
  }
}

/** A process that starts again on its host has the same address. */
function addressOf(name: string): string {
  return `http://${name}`;
}

/** Different for each request of a run, the same for each run of a seed. */
function randomUUIDFrom(random: Random): string {
  return String(random()).slice(2);
}
