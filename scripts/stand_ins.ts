/** Runs stand-ins of the platform and of all declared endpoints on loopback, until it is ended. */

import {parseArgs} from 'node:util';
import {systemClock, systemRandom} from '@siskinmux/adapters';
import {DEFAULT_PROFILE, LocalStandIns} from '@siskinmux/demo';
import {readDeclarationFolder} from '../packages/cli/src/declaration_folder.js';

const PLATFORM_PORT = 17100;
const WEIGHT_STORE_PORT = 17101;

const {values} = parseArgs({
  options: {
    declarations: {type: 'string', default: 'examples/brindlecote'},
    'service-milliseconds': {type: 'string', default: '2'},
  },
});
const outside = LocalStandIns.create({
  clock: systemClock,
  random: systemRandom,
  profile: DEFAULT_PROFILE,
});
await outside.startPlatform({
  platform: PLATFORM_PORT,
  weightStore: WEIGHT_STORE_PORT,
});
await outside.startEndpoints(readDeclarationFolder(values.declarations), true);
for (const service of outside.services.values()) {
  service.faults.delayMilliseconds = Number(values['service-milliseconds']);
}
console.log(`Stand-ins listen; the platform is at ${outside.platformUrl}.`);
