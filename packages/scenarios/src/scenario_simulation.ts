/** Simulates the nodes, stand-ins and callers of a scenario in virtual time. */

import type {Trait} from '@siskinmux/containment';
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
  sleepFor,
  sleepUntil,
} from '@siskinmux/kernel';
import {ConfigurationConflictError} from '@siskinmux/configuration';
import type {Patch} from '@siskinmux/declarations';
import {diffDeclarations, emptyDeclarations} from '@siskinmux/declarations';
import type {GenerationInput} from '@siskinmux/ports';
import type {StartSpan} from '@siskinmux/requests';
import type {ObjectServiceCopy} from '@siskinmux/standins';
import {
  EngineStandIn,
  HostListStandIn,
  ObjectServiceStandIn,
  PlainServiceStandIn,
  ServiceRecords,
  WeightStoreStandIn,
  completionWords,
} from '@siskinmux/standins';
import {VirtualClock, createSeededRandom} from '@siskinmux/testkit';
import type {
  CallerAttempt,
  CallerOutcome,
  CallerRequest,
} from './caller_request.js';
import {SimulatedNetwork} from './simulated_network.js';
import type {Scenario} from './scenario_file.js';
import type {NodeEnvironment} from './simulated_node.js';
import {SimulatedNode} from './simulated_node.js';

const BYTES_PER_GIBIBYTE = 1024 ** 3;

/** Delay with which the host list and the load reports of engines show a change. */
const HOST_LIST_LAG_MILLISECONDS = 500;
const REPORT_LAG_MILLISECONDS = 250;

/** Timeout of requests that specify none. */
const DEFAULT_TIMEOUT_MILLISECONDS = 10_000;

/** Delay after which a caller sends a refused or broken request again. */
const RESEND_DELAY_MILLISECONDS = 200;

/** Time between the stop notice of a node and its refusal of new requests. */
const STOP_NOTICE_MILLISECONDS = 1_000;

/** Outcome of an operator's patch; `open` until one is known. */
export type PatchOutcome = 'accepted' | 'conflict' | 'open';

/** Delay after which the operator submits a patch again that the object service has lost. */
const RESUBMIT_DELAY_MILLISECONDS = 500;

/** A copy of the object service, and the configuration accepted by then. */
interface ObjectsCopy {
  readonly configurationNumber: number;
  readonly content: ObjectServiceCopy;
}

const noSpan: StartSpan = () => ({traceparent: undefined, end: () => {}});

/** The simulated deployment that the steps of one scenario act on. */
export class ScenarioSimulation {
  readonly clock = VirtualClock.create();
  readonly random: Random;
  readonly network: SimulatedNetwork;
  readonly nodes = new Map<string, SimulatedNode>();
  readonly engines = new Map<string, EngineStandIn>();
  readonly services = new Map<string, PlainServiceStandIn>();
  /** Execution records by service, shared by its instances. */
  readonly records = new Map<string, ServiceRecords>();
  readonly requests: CallerRequest[] = [];
  /** All attempts with their requests, in the order sent. */
  readonly allAttempts: Array<[CallerRequest, CallerAttempt]> = [];
  /** Outcomes of the patches, in the order submitted. */
  readonly patches: PatchOutcome[] = [];
  /** Log lines of all nodes, each after its time in milliseconds. */
  readonly log: string[] = [];
  readonly objects: ObjectServiceStandIn;
  readonly hosts: HostListStandIn;
  readonly weightStore: WeightStoreStandIn;
  /** Highest number of a configuration that a patch created. */
  acceptedConfigurationNumber = 0;
  /** Number of times a request crashed an engine. */
  engineCrashCount = 0;
  /** Whether any network link is cut. */
  isPartitioned = false;
  private readonly copies = new Map<string, ObjectsCopy>();
  private readonly acceptedPatches = new Map<number, Patch>();
  private readonly startedAt: Instant;
  private restartCount = 0;

  private constructor(readonly scenario: Scenario) {
    const {clock} = this;
    this.random = createSeededRandom(scenario.seed);
    const {random} = this;
    this.startedAt = clock.now();
    this.network = SimulatedNetwork.create({clock, random});
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

  /** Virtual time since the simulation was created. */
  get elapsedMilliseconds(): number {
    return this.clock.now() - this.startedAt;
  }

  /** Whether a fault of the platform or network may delay the spread of configurations. */
  get isDisrupted(): boolean {
    const {isDown, lostAnswerShare, lostWriteShare} = this.objects.faults;
    return this.isPartitioned || isDown || lostAnswerShare + lostWriteShare > 0;
  }

  /** Converts milliseconds since the creation of the simulation to an instant. */
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
      this.submitPatch(first, {
        id: 'scenario-begin',
        based_on: 0,
        author: 'scenario',
        reason: 'begin',
        changes,
      }),
    );
  }

  /** Starts a node, as a new process if the name was used before. */
  async startNode(name: string, failureDomain: string): Promise<void> {
    const isRestart = this.nodes.has(name);
    if (isRestart) this.restartCount += 1;
    const node = SimulatedNode.create({
      name: isRestart ? `${name}-${this.restartCount}` : name,
      failureDomain,
      address: addressOf(name),
      environment: this.createEnvironment(),
      writeLog: line =>
        this.log.push(`${this.elapsedMilliseconds} ${line.trim()}`),
    });
    this.nodes.set(name, node);
    await this.clock.runUntilSettled(node.start());
  }

  /** Latest process of the node that has this name in the scenario. */
  node(name: string): SimulatedNode {
    const node = this.nodes.get(name);
    if (node === undefined) throw new RangeError(`no node ${name}`);
    return node;
  }

  /** Begins a graceful stop without waiting for its end. */
  stopNode(name: string): void {
    const node = this.node(name);
    for (const attempt of this.openAttempts(node))
      attempt.isNodeStopping = true;
    void node.stop(STOP_NOTICE_MILLISECONDS);
  }

  /** Marks a node's open attempts, so that their deadlines are no longer checked. */
  markNodeInterrupted(name: string): void {
    for (const attempt of this.openAttempts(this.node(name))) {
      attempt.isNodeInterrupted = true;
    }
  }

  /** Sends a text generation request. */
  sendText(options: {
    model: string;
    prompt?: string | undefined;
    tokens: number;
    node?: string | undefined;
    timeoutMilliseconds?: number | undefined;
    canResend: boolean;
  }): void {
    const content = options.prompt ?? `question ${randomDigits(this.random)}`;
    const input: GenerationInput = {kind: 'prompt', prompt: content};
    const expected = completionWords({
      input,
      maximumTokens: options.tokens,
    }).join('');
    this.send(
      'text',
      options.model,
      undefined,
      options,
      (node, attempt, signal) =>
        node.trackRequest(async () => {
          let text = '';
          let isEnded = false;
          const chunks = node.requests.text.generate(
            {
              id: attempt.id,
              requestedName: options.model,
              input,
              maximumTokens: options.tokens,
              deadline: attempt.deadline,
              priority: undefined,
              teamPriority: undefined,
              traits: [as<Trait>(`text ${options.model} ${content}`)],
              signal,
            },
            noSpan,
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
    canResend: boolean;
  }): void {
    const {service, path, method, body, key} = options;
    this.send(
      'call',
      `${service}${path}`,
      key,
      options,
      (node, attempt, signal) =>
        node.trackRequest(async () => {
          const {answer} = await node.requests.services.serve(
            {
              id: attempt.id,
              service,
              path,
              method,
              contentType: 'application/json',
              body,
              idempotencyKey:
                key === undefined ? undefined : as<IdempotencyKey>(key),
              deadline: attempt.deadline,
              priority: undefined,
              teamPriority: undefined,
              fingerprint: as<Fingerprint>(
                `${method} ${service}${path} ${body}`,
              ),
              signal,
            },
            noSpan,
          );
          const {echo} = JSON.parse(answer.body) as {echo: string};
          return echo === body.slice(0, 64) ? 'answered' : 'wrong';
        }),
    );
  }

  /** Submits an operator's patch and records its outcome. */
  async submitPatch(node: SimulatedNode, patch: Patch): Promise<void> {
    const index = this.patches.push('open') - 1;
    try {
      const number = await node.configuration.store.submitPatch(patch);
      this.acceptedConfigurationNumber = Math.max(
        this.acceptedConfigurationNumber,
        number,
      );
      this.acceptedPatches.set(number, patch);
      this.patches[index] = 'accepted';
      await node.configuration.refresh();
    } catch (failure) {
      if (failure instanceof ConfigurationConflictError) {
        this.patches[index] = 'conflict';
      }
    }
  }

  /** Keeps a copy of the object service under a name. */
  copyObjects(name: string): void {
    this.copies.set(name, {
      configurationNumber: this.acceptedConfigurationNumber,
      content: this.objects.copy(),
    });
  }

  /** The platform is up again, and its object service returns from a copy. */
  returnObjects(name: string, keepsCounting: boolean): void {
    const copy = this.copies.get(name);
    if (copy === undefined) throw new RangeError(`no copy ${name}`);
    this.objects.comeBack(copy.content, keepsCounting);
    this.objects.faults.isDown = false;
    this.hosts.isDown = false;
    const lost = [...this.acceptedPatches]
      .filter(([number]) => number > copy.configurationNumber)
      .sort(([left], [right]) => left - right);
    void this.submitAgain(lost.map(([, patch]) => patch));
  }

  /** The operator submits patches again, in their order, each until it is known what became of it. */
  private async submitAgain(patches: readonly Patch[]): Promise<void> {
    for (const patch of patches) {
      let outcome: PatchOutcome = 'open';
      while (outcome === 'open') {
        const node = this.pickReadyNode();
        if (node !== undefined) {
          const index = this.patches.length;
          await this.submitPatch(node, patch);
          outcome = this.patches[index] ?? 'open';
        }
        if (outcome === 'open')
          await sleepFor(this.clock, RESUBMIT_DELAY_MILLISECONDS);
      }
    }
  }

  private send(
    kind: CallerRequest['kind'],
    label: string,
    key: string | undefined,
    options: {
      node?: string | undefined;
      timeoutMilliseconds?: number | undefined;
      canResend: boolean;
    },
    serve: (
      node: SimulatedNode,
      attempt: CallerAttempt,
      signal: AbortSignal,
    ) => Promise<CallerOutcome>,
  ): void {
    const request: CallerRequest = {kind, label, key, attempts: []};
    this.requests.push(request);
    const timeout = options.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS;
    const deadline = after(this.clock.now(), timeout);
    void this.sendWithRetries(request, deadline, options, serve);
  }

  private async sendWithRetries(
    request: CallerRequest,
    deadline: Instant,
    options: {node?: string | undefined; canResend: boolean},
    serve: (
      node: SimulatedNode,
      attempt: CallerAttempt,
      signal: AbortSignal,
    ) => Promise<CallerOutcome>,
  ): Promise<void> {
    for (let retryCount = 0; ; retryCount += 1) {
      const nodeName = retryCount === 0 ? options.node : undefined;
      const node =
        nodeName === undefined ? this.pickReadyNode() : this.node(nodeName);
      const outcome =
        node === undefined
          ? 'refused'
          : await this.sendOnce(request, node, deadline, serve);
      const isRetryable = outcome === 'refused' || outcome === 'broken';
      if (!isRetryable || !options.canResend) return;
      const resendAt = after(this.clock.now(), RESEND_DELAY_MILLISECONDS);
      if (resendAt >= deadline) return;
      await sleepUntil(this.clock, resendAt);
    }
  }

  private async sendOnce(
    request: CallerRequest,
    node: SimulatedNode,
    deadline: Instant,
    serve: (
      node: SimulatedNode,
      attempt: CallerAttempt,
      signal: AbortSignal,
    ) => Promise<CallerOutcome>,
  ): Promise<CallerOutcome> {
    const attempt: CallerAttempt = {
      id: as<RequestId>(randomUUID()),
      node: node.name,
      sentAt: this.clock.now(),
      deadline,
      endedAt: undefined,
      end: 'open',
      detail: '',
      isNodeInterrupted: node.gate.state !== 'running',
      isNodeStopping: false,
    };
    request.attempts.push(attempt);
    this.allAttempts.push([request, attempt]);
    const {killSignal} = node.gate;
    let onKill = (): void => {};
    const broken = new Promise<CallerOutcome>(resolve => {
      onKill = () => resolve('broken');
      killSignal.addEventListener('abort', onKill, {once: true});
    });
    const callerAbort = new AbortController();
    const served = node.gate
      .whenRunning()
      .then(() => serve(node, attempt, callerAbort.signal))
      .catch(failure => recordFailure(failure, attempt));
    const outcome = await Promise.race([served, broken]);
    // Listeners left on a long-lived signal slow down each further addition.
    killSignal.removeEventListener('abort', onKill);
    attempt.end = outcome;
    attempt.endedAt = this.clock.now();
    return outcome;
  }

  private pickReadyNode(): SimulatedNode | undefined {
    const ready = [...this.nodes.values()].filter(node => node.isReady);
    return ready[randomBelow(this.random, ready.length)];
  }

  private openAttempts(node: SimulatedNode): CallerAttempt[] {
    return this.requests
      .flatMap(request => request.attempts)
      .filter(attempt => attempt.node === node.name && attempt.end === 'open');
  }

  private createEnvironment(): NodeEnvironment {
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
          this.engineCrashCount += 1;
        },
      }),
    );
  }
}

function recordFailure(
  failure: unknown,
  attempt: CallerAttempt,
): CallerOutcome {
  if (!(failure instanceof RefusalError)) throw failure;
  attempt.detail = `${failure.code} ${failure.detail}`;
  switch (failure.outcome) {
    case Outcome.NotRun:
      return 'refused';
    case Outcome.Failed:
      return 'failed';
    case Outcome.Unknown:
      return 'unknown';
  }
}

/** A restarted node keeps the address of the previous process. */
function addressOf(name: string): string {
  return `http://${name}`;
}

/** Digits that differ between the requests of a run and are reproducible from its seed. */
function randomDigits(random: Random): string {
  return String(random()).slice(2);
}
