/**
 * The kernel installs plug-ins, connects them by dependency injection, starts their tasks
 * in order and stops them in reverse. It contains no code for a specific platform.
 */

import {
  DuplicateRegistrationError,
  MissingProviderError,
  SettingsError,
} from './errors.js';
import type {EventDescriptor} from './events.js';

/** Identifies a service that one plug-in provides and others inject. */
export interface InjectionKey<Service> {
  readonly name: string;
  /** Phantom property that carries the type of the service; never set. */
  readonly type?: Service;
}

/** Creates a key for {@link Kernel.provide} and {@link Kernel.inject}. */
export function injectionKey<Service>(name: string): InjectionKey<Service> {
  return {name};
}

/** A long-running part of a plug-in, with its own sockets and state. */
export interface Task {
  readonly name: string;
  start(): void | Promise<void>;
  /** Completes or hands over pending work. Called on every task before the first `stop`. */
  drain?(): void | Promise<void>;
  /** Ends immediately and hands nothing over, as in a crash; defaults to {@link stop}. */
  abandon?(): void | Promise<void>;
  stop(): void | Promise<void>;
}

/** Table of the settings file that belongs to one plug-in. */
export interface SettingsSection<Shape> {
  readonly name: string;
  /** Validates the table; throws {@link SettingsError}. */
  parse(value: unknown): Shape;
}

/** A module that registers its services, tasks and events with the kernel. */
export interface Plugin {
  readonly name: string;
  install(kernel: Kernel): void;
}

/** Unvalidated content of the settings file, by table. */
export type RawSettings = Readonly<Record<string, unknown>>;

/** Registry of plug-ins and their services, and lifecycle of their tasks. */
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

  /** Validates and returns a table of the settings; each at most once. Throws {@link SettingsError}. */
  settings<Shape>(section: SettingsSection<Shape>): Shape {
    if (this.sections.has(section.name)) {
      throw new DuplicateRegistrationError('settings', section.name);
    }
    this.sections.add(section.name);
    return section.parse(this.rawSettings[section.name]);
  }

  /** Throws {@link SettingsError} for a table that no plug-in has read. */
  rejectUnknownSettings(): void {
    for (const name of Object.keys(this.rawSettings)) {
      if (this.sections.has(name)) continue;
      const known = [...this.sections].sort().join(', ');
      throw new SettingsError(name, `unknown table, expected one of ${known}`);
    }
  }

  /** Installs a plug-in; each name at most once. */
  use(plugin: Plugin): this {
    if (this.plugins.has(plugin.name)) {
      throw new DuplicateRegistrationError('plug-in', plugin.name);
    }
    this.plugins.add(plugin.name);
    plugin.install(this);
    return this;
  }

  /** Makes a service available to plug-ins installed later. */
  provide<Service>(key: InjectionKey<Service>, service: Service): void {
    if (this.services.has(key.name)) {
      throw new DuplicateRegistrationError('service', key.name);
    }
    this.services.set(key.name, service);
  }

  /** Returns the service for `key`. Throws {@link MissingProviderError}. */
  inject<Service>(key: InjectionKey<Service>): Service {
    if (!this.services.has(key.name)) throw new MissingProviderError(key.name);
    return this.services.get(key.name) as Service;
  }

  /** Registers a task; tasks start in the order of registration. */
  addTask(task: Task): void {
    this.tasks.push(task);
  }

  /** Registers events for the catalogue; event numbers must be unique. */
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

  /** Starts all tasks; if one fails, stops those already started and rethrows. */
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

  /** Ends all tasks immediately, as in a crash: nothing is handed over. */
  async abandon(): Promise<void> {
    const startedTasks = this.started.reverse();
    this.started = [];
    for (const task of startedTasks)
      await (task.abandon ?? task.stop).call(task);
  }

  /** Drains all tasks, then stops them, both in reverse order of their start. */
  async stop(): Promise<void> {
    const startedTasks = this.started.reverse();
    this.started = [];
    for (const task of startedTasks) await task.drain?.();
    for (const task of startedTasks) await task.stop();
  }
}
