/**
 * The active configuration of a node. Its number only increases: older data, from a
 * stale read or from a peer that lags behind, is ignored.
 */

import type {ConfigurationNumber} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {Declarations} from '@siskinmux/declarations';
import {applyChanges, emptyDeclarations} from '@siskinmux/declarations';
import type {
  AcceptedPatch,
  StoredDeclarations,
} from './stored_configuration.js';
import {toStored} from './stored_configuration.js';

/** Accepted patches kept in memory for peers that lag behind. */
const MAXIMUM_RECENT_PATCHES = 512;

/** A configuration with its number. */
export interface NumberedConfiguration {
  readonly number: ConfigurationNumber;
  readonly declarations: Declarations;
}

/** Update for a peer that may lag behind. */
export type ConfigurationUpdate =
  | {readonly kind: 'current'}
  | {readonly kind: 'patches'; readonly patches: readonly AcceptedPatch[]}
  | {
      readonly kind: 'whole';
      readonly number: ConfigurationNumber;
      readonly declarations: StoredDeclarations;
    };

/** Called after a newer configuration has become active. */
export type ConfigurationListener = (
  configuration: NumberedConfiguration,
) => void;

/** The active configuration of a node with the latest patches. */
export class ConfigurationState {
  private active: NumberedConfiguration = {
    number: as<ConfigurationNumber>(0),
    declarations: emptyDeclarations(),
  };
  private recentPatches: AcceptedPatch[] = [];
  private readonly listeners = new Set<ConfigurationListener>();

  private constructor() {}

  static create(): ConfigurationState {
    return new ConfigurationState();
  }

  /** The active configuration; number 0 until one is known. */
  get current(): NumberedConfiguration {
    return this.active;
  }

  /** Calls `listener` after each newer configuration; returns the unsubscribe function. */
  onAdvance(listener: ConfigurationListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Applies a whole configuration if it is newer; returns whether it was applied. */
  applySnapshot(configuration: NumberedConfiguration): boolean {
    if (configuration.number <= this.active.number) return false;
    this.recentPatches = [];
    this.advance(configuration);
    return true;
  }

  /**
   * Applies the patches that directly follow the active number and ignores older
   * ones. Returns false when patches are missing before the last one, so that it
   * could not be applied.
   */
  applyPatches(patches: readonly AcceptedPatch[]): boolean {
    let {number, declarations} = this.active;
    const applied: AcceptedPatch[] = [];
    for (const patch of patches) {
      if (patch.number <= number) continue;
      if (patch.number !== number + 1) break;
      declarations = applyChanges(declarations, patch.changes);
      number = as<ConfigurationNumber>(patch.number);
      applied.push(patch);
    }
    if (applied.length > 0) {
      this.recentPatches = [...this.recentPatches, ...applied].slice(
        -MAXIMUM_RECENT_PATCHES,
      );
      this.advance({number, declarations});
    }
    const last = patches.at(-1);
    return last === undefined || last.number <= number;
  }

  /** The update that brings a peer at `number` up to date. */
  updateSince(number: ConfigurationNumber): ConfigurationUpdate {
    if (number >= this.active.number) return {kind: 'current'};
    const first = this.recentPatches[0];
    if (first !== undefined && first.number <= number + 1) {
      return {
        kind: 'patches',
        patches: this.recentPatches.filter(patch => patch.number > number),
      };
    }
    const {number: newest, declarations} = this.active;
    return {
      kind: 'whole',
      number: newest,
      declarations: toStored(declarations),
    };
  }

  private advance(configuration: NumberedConfiguration): void {
    this.active = configuration;
    for (const listener of this.listeners) listener(configuration);
  }
}
