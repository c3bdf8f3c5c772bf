/** Reads the settings of a gateway; checks them without starting one. */

import type {RawSettings} from '@siskinmux/kernel';
import {Kernel} from '@siskinmux/kernel';
import type {WriteLine} from '@siskinmux/runtime';
import {
  createLogPlugin,
  metricsPlugin,
  nodeIdentityPlugin,
} from '@siskinmux/runtime';
import {
  capacitySection,
  listenSection,
  rulesSection,
  storeSection,
} from './gateway_settings.js';

/** Adds the plug-ins that every gateway has and reads all tables. Throws `SettingsError`. */
export function readGatewaySettings(kernel: Kernel, writeLog: WriteLine) {
  kernel.use(nodeIdentityPlugin);
  kernel.use(createLogPlugin(writeLog));
  kernel.use(metricsPlugin);
  const settings = {
    listen: kernel.settings(listenSection),
    rules: kernel.settings(rulesSection),
    store: kernel.settings(storeSection),
    capacity: kernel.settings(capacitySection),
  };
  kernel.checkSettings();
  return settings;
}

/** Throws `SettingsError` for settings that no gateway would start with. */
export function checkGatewaySettings(settings: RawSettings): void {
  readGatewaySettings(Kernel.create({settings}), () => {});
}
