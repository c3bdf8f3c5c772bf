/**
 * Builds the gateway, which runs on the Node.js installed on the hosts of the platform: a small
 * program that starts at once, and the bundle that it loads.
 */

import {bundle} from './bundle.js';

await bundle({
  entry: 'platform/src/launch.ts',
  outfile: 'target/siskinmux_gateway.cjs',
  target: 'node20',
});
await bundle({
  entry: 'platform/src/run.ts',
  outfile: 'target/siskinmux_gateway_bundle.cjs',
  target: 'node20',
});
