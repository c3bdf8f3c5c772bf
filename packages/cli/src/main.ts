/** Entry of the binary. */

import {runCommandLine} from './run_command_line.js';

void runCommandLine(process.argv.slice(2), {
  writeLine: text => process.stdout.write(`${text}\n`),
  writeError: text => process.stderr.write(`${text}\n`),
}).then(code => {
  // Idle connections and timers must not keep a finished command alive.
  process.exit(code);
});
