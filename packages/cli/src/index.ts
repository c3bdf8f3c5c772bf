/** The command line. */

export type {Command, CommandOutput} from './command.js';
export {ExitCode} from './exit_code.js';
export {COMMANDS, runCommandLine} from './run_command_line.js';
export {VERSION} from './version.js';
