/** Operators' declarations: schemas, validation, diffs and patches. */

export type {
  AdapterDeclaration,
  Declarations,
  EndpointDeclaration,
  ModelDeclaration,
  PolicyDeclaration,
  Priority,
  Section,
  ServiceCallDeclaration,
  ServiceDeclaration,
  TeamDeclaration,
} from './schema.js';
export {
  PRIORITIES,
  SECTIONS,
  declarationsSchema,
  emptyDeclarations,
  policyOf,
} from './schema.js';
export type {DeclarationFault} from './declaration_error.js';
export {DeclarationError, formatFault} from './declaration_error.js';
export type {DeclarationFile} from './parse_declarations.js';
export {parseDeclarations} from './parse_declarations.js';
export {checkReferences} from './check_references.js';
export type {DeclaredEngine, DeclaredInstance} from './endpoint_index.js';
export {
  engineFailureDomains,
  enginesIn,
  instancesOf,
} from './endpoint_index.js';
export type {Change, Patch} from './patch.js';
export {
  applyChanges,
  changeSchema,
  diffDeclarations,
  patchSchema,
} from './patch.js';
export {describeChange, hideDigests} from './describe_change.js';
export type {ModelTarget} from './resolve_target.js';
export {ownEntry, resolveModelTarget} from './resolve_target.js';
