/** Entry of the binary. */

import {runCommandLine} from './run_command_line.js';

void runCommandLine(process.argv.slice(2), {
  line: text => process.stdout.write(`${text}\n`),
  error: text => process.stderr.write(`${text}\n`),
}).then(code => {
  // Idle connections and timers must not keep a finished command alive.
  process.exit(code);
});
