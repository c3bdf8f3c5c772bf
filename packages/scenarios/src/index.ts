/** Scripted scenarios: whole nodes in virtual time, with faults and invariant checks. */

export type {CallerEnd, CallerRecord, Sending} from './caller_record.js';
export {InvariantChecker} from './invariants.js';
export {MemoryNetwork} from './memory_network.js';
export {ProcessGate} from './process_gate.js';
export type {ScenarioResult} from './run_scenario.js';
export {runScenario} from './run_scenario.js';
export type {Expectations, Scenario, Step} from './scenario_file.js';
export {checkScenario, parseScenario} from './scenario_file.js';
export {ScenarioSimulation} from './scenario_world.js';
export {SimulatedNode} from './simulated_node.js';
export {randomScenario} from './random_scenario.js';
export type {ScheduleReport} from './run_schedules.js';
export {runSchedules} from './run_schedules.js';
