/** Containment of requests that crash endpoints: detection, attribution and quarantine. */

export {CONTAINMENT_EVENTS} from './containment_events.js';
export type {BrokenRun, CrashEvidence} from './crash_detector.js';
export {CrashDetector, incarnationOf} from './crash_detector.js';
export type {
  CrashQuarantineOptions,
  ProbationGrant,
  QuarantineCheck,
  SuspectExchange,
} from './crash_quarantine.js';
export {CrashQuarantine} from './crash_quarantine.js';
export type {QuarantinePolicy, Suspicion} from './crash_suspects.js';
export type {CrashId, RunCrash, Suspect} from './run_crashes.js';
export {CrashSuspects} from './crash_suspects.js';
export {QuarantineArchive} from './quarantine_archive.js';
export type {ContainmentDependencies, EndedRun} from './request_containment.js';
export {RequestContainment} from './request_containment.js';
export {
  decodeSuspects,
  encodeSuspects,
  probationResponseSchema,
  probationSchema,
  suspectsSchema,
} from './suspect_messages.js';
export {PROBATION_MILLISECONDS} from './probations.js';
export type {Trait} from './trait.js';
export {
  MAXIMUM_TRAITS,
  contentTrait,
  namedTrait,
  promptPartTrait,
  traitsOfPrompt,
} from './trait.js';
