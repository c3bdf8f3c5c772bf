/** Scripted scenarios: complete nodes in virtual time, with faults and invariant checks. */

export type {
  CallerAttempt,
  CallerOutcome,
  CallerRequest,
} from './caller_request.js';
export {InvariantChecker} from './invariant_checker.js';
export {SimulatedNetwork} from './simulated_network.js';
export {ProcessGate} from './process_gate.js';
export type {ScenarioResult} from './run_scenario.js';
export {runScenario} from './run_scenario.js';
export type {Expectations, Scenario, Step} from './scenario_file.js';
export {parseScenario, validateScenario} from './scenario_file.js';
export {ScenarioSimulation} from './scenario_simulation.js';
export {SimulatedNode} from './simulated_node.js';
export {randomScenario} from './random_scenario.js';
export type {ScheduleReport} from './run_schedules.js';
export {runSchedules} from './run_schedules.js';
