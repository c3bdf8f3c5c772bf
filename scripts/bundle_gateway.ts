/**
 * Builds the bundle of the gateway, which runs on the Node.js installed on the hosts of
 * the platform.
 */

import {bundle} from './bundle.js';

await bundle({
  entry: 'platform/src/main.ts',
  outfile: 'target/siskinmux_gateway.cjs',
  target: 'node20',
});
