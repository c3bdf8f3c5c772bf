/**
 * The kernel: holds the registered plug-ins, starts their tasks in order and
 * stops them in reverse. It knows no platform; plug-ins bring everything in.
 */

import {
  DuplicateRegistrationError,
  MissingProviderError,
  SettingsError,
} from './errors.js';
import type {EventDescriptor} from './events.js';

/** Names a service that one plug-in provides and others inject. */
export interface InjectionKey<Service> {
  readonly name: string;
  /** Carries the type only; never set. */
  readonly type?: Service;
}

/** Makes a key for {@link Kernel.provide} and {@link Kernel.inject}. */
export function injectionKey<Service>(name: string): InjectionKey<Service> {
  return {name};
}

/** A long-running part of a plug-in that owns its sockets and state. */
export interface Task {
  readonly name: string;
  start(): void | Promise<void>;
  /** Takes no new work; what runs goes on. Called on every task before any `stop`. */
  drain?(): void | Promise<void>;
  /** Ends without handing anything over, as a crash would; {@link stop} if absent. */
  abandon?(): void | Promise<void>;
  stop(): void | Promise<void>;
}

/** A table of the settings file that a plug-in reads. */
export interface SettingsSection<Shape> {
  readonly name: string;
  /** Checks the table; throws {@link SettingsError}. */
  parse(value: unknown): Shape;
}

/** A part of the product that registers itself. */
export interface Plugin {
  readonly name: string;
  install(kernel: Kernel): void;
}

/** The settings file as it was read, table by table. */
export type RawSettings = Readonly<Record<string, unknown>>;

/** Registry and life cycle of plug-ins. */
export class Kernel {
  private readonly plugins = new Set<string>();
  private readonly services = new Map<string, unknown>();
  private readonly tasks: Task[] = [];
  private readonly eventsByNumber = new Map<number, EventDescriptor>();
  private readonly sections = new Set<string>();
  private started: Task[] = [];

  private constructor(private readonly rawSettings: RawSettings) {}

  static create(options: {settings: RawSettings}): Kernel {
    return new Kernel(options.settings);
  }

  /** Reads a plug-in's own table of the settings; throws {@link SettingsError}. */
  settings<Shape>(section: SettingsSection<Shape>): Shape {
    if (this.sections.has(section.name)) {
      throw new DuplicateRegistrationError('settings', section.name);
    }
    this.sections.add(section.name);
    return section.parse(this.rawSettings[section.name]);
  }

  /** Throws {@link SettingsError} for tables that no plug-in reads. */
  checkSettings(): void {
    for (const name of Object.keys(this.rawSettings)) {
      if (this.sections.has(name)) continue;
      const known = [...this.sections].sort().join(', ');
      throw new SettingsError(name, `unknown table, expected one of ${known}`);
    }
  }

  /** Installs a plug-in; each at most once. */
  use(plugin: Plugin): this {
    if (this.plugins.has(plugin.name)) {
      throw new DuplicateRegistrationError('plug-in', plugin.name);
    }
    this.plugins.add(plugin.name);
    plugin.install(this);
    return this;
  }

  /** Offers a service to plug-ins installed later. */
  provide<Service>(key: InjectionKey<Service>, service: Service): void {
    if (this.services.has(key.name)) {
      throw new DuplicateRegistrationError('service', key.name);
    }
    this.services.set(key.name, service);
  }

  /** The service behind `key`, or {@link MissingProviderError}. */
  inject<Service>(key: InjectionKey<Service>): Service {
    if (!this.services.has(key.name)) throw new MissingProviderError(key.name);
    return this.services.get(key.name) as Service;
  }

  /** Registers a task; started in the order of registration. */
  addTask(task: Task): void {
    this.tasks.push(task);
  }

  /** Registers events for the catalogue; numbers are unique. */
  addEvents(events: readonly EventDescriptor[]): void {
    for (const event of events) {
      if (this.eventsByNumber.has(event.number)) {
        throw new DuplicateRegistrationError('event', String(event.number));
      }
      this.eventsByNumber.set(event.number, event);
    }
  }

  /** All registered events in order of their numbers. */
  get events(): readonly EventDescriptor[] {
    return [...this.eventsByNumber.values()].sort(
      (left, right) => left.number - right.number,
    );
  }

  /** Starts all tasks; stops those already started when one fails. */
  async start(): Promise<void> {
    for (const task of this.tasks) {
      try {
        await task.start();
      } catch (failure) {
        await this.stop();
        throw failure;
      }
      this.started.push(task);
    }
  }

  /** Ends all tasks at once, as far as they can: nothing is handed over. */
  async abandon(): Promise<void> {
    const ending = this.started.reverse();
    this.started = [];
    for (const task of ending) await (task.abandon ?? task.stop).call(task);
  }

  /** Lets each task finish what it holds, then stops all in reverse order. */
  async stop(): Promise<void> {
    const stopping = this.started.reverse();
    this.started = [];
    for (const task of stopping) await task.drain?.();
    for (const task of stopping) await task.stop();
  }
}
