/** Builds the gateway's bundle, which runs on the Node.js of the platform's machines. */

import {bundle} from './bundle.js';

await bundle({
  entry: 'platform/src/main.ts',
  outfile: 'target/siskinmux_gateway.cjs',
  target: 'node20',
});
