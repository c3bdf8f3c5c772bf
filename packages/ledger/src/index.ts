/** Claims on idempotency keys: a request that may not be repeated runs at most once. */

export type {
  AttemptEnd,
  AttemptId,
  ClaimKey,
  ClaimRecord,
  KeptAnswer,
} from './claim_record.js';
export {decodeRecords, encodeRecord} from './claim_record.js';
export type {ClaimReply, ClaimRequest} from './claim_table.js';
export {ClaimTable} from './claim_table.js';
export type {ShardLogOptions} from './shard_log.js';
export {ShardLog, ShardLostError} from './shard_log.js';
export type {ShardOwnerOptions} from './shard_owner.js';
export {ShardBusyError, ShardOwner} from './shard_owner.js';
export type {LedgerResponse, LedgerRequest, LedgerOptions} from './ledger.js';
export {
  CLAIM_SHARDS,
  Ledger,
  claimKeyOf,
  shardOf,
  subjectOfShard,
  writeInterval,
} from './ledger.js';
export {LEDGER_EVENTS} from './ledger_events.js';
