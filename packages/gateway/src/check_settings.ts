/** Reads a gateway's settings, also to check them without starting a gateway. */

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

/** Registers the plug-ins that every gateway uses and reads all sections; throws `SettingsError`. */
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
  kernel.rejectUnknownSettings();
  return settings;
}

/** Throws `SettingsError` if a gateway would not start with these settings. */
export function checkGatewaySettings(settings: RawSettings): void {
  readGatewaySettings(Kernel.create({settings}), () => {});
}
