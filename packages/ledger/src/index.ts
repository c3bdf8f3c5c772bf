/** Claims on idempotency keys, so that a non-repeatable request runs at most once. */

export type {
  AttemptId,
  AttemptOutcome,
  ClaimKey,
  ClaimRecord,
  StoredResponse,
} from './claim_record.js';
export {decodeRecords, encodeRecord} from './claim_record.js';
export type {ClaimReply, ClaimRequest} from './claim_table.js';
export {ClaimTable} from './claim_table.js';
export type {LedgerOptions, LedgerRequest, LedgerResponse} from './ledger.js';
export {
  CLAIM_SHARDS,
  Ledger,
  claimKeyOf,
  shardOf,
  shardWriteIntervalMilliseconds,
  subjectOfShard,
} from './ledger.js';
export {LEDGER_EVENTS} from './ledger_events.js';
export type {ShardLogOptions} from './shard_log.js';
export {ShardLog, ShardLostError} from './shard_log.js';
export type {ShardOwnerOptions} from './shard_owner.js';
export {ShardBusyError, ShardOwner} from './shard_owner.js';
