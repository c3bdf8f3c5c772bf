/** Runs the claim ledger, which prevents a non-repeatable call from running twice. */

import type {Milliseconds, Plugin} from '@siskinmux/kernel';
import {injectionKey} from '@siskinmux/kernel';
import {CLAIM_SHARDS, LEDGER_EVENTS, Ledger} from '@siskinmux/ledger';
import {rankMembers} from '@siskinmux/routing';
import {createOwnerCall} from './owner_call.js';
import {
  CLOCK,
  EMIT_EVENT,
  NODE_IDENTITY,
  TRACING,
  createPeriodicJob,
} from '@siskinmux/runtime';
import {MEMBERSHIP} from './membership_task.js';
import {ledgerReplySchema, ledgerRequestSchema} from './owner_messages.js';
import {PEERS} from './peers.js';
import {PLATFORM} from './platform.js';

const OWNER_METHOD = 'ledger.ask';

/** Interval at which an owner notices that the object service has lost a shard's claims. */
const VERIFY_INTERVAL_MILLISECONDS: Milliseconds = 1_000;

/** Injection key of the claim ledger. */
export const LEDGER = injectionKey<Ledger>('ledger');

/** Provides {@link LEDGER}. */
export const ledgerPlugin: Plugin = {
  name: 'ledger',
  install(kernel) {
    const peers = kernel.inject(PEERS);
    const {membership} = kernel.inject(MEMBERSHIP);
    const tracing = kernel.inject(TRACING);
    const ledger = Ledger.create({
      objects: kernel.inject(PLATFORM).at('claims'),
      clock: kernel.inject(CLOCK),
      node: kernel.inject(NODE_IDENTITY).id,
      shards: CLAIM_SHARDS,
      emit: kernel.inject(EMIT_EVENT),
      rankedOwners: subject => rankMembers(subject, membership.live),
      isNodeTerminated: node => membership.isTerminated(node),
      startClaimSpan: traceparent => {
        const span = tracing.start('claim at owner', traceparent, 'server');
        return () => span.end();
      },
      callPeer: createOwnerCall({
        peers,
        membership,
        method: OWNER_METHOD,
        replySchema: ledgerReplySchema,
      }),
    });
    peers.handle(OWNER_METHOD, ledgerRequestSchema, request =>
      ledger.handle(request),
    );
    membership.onChange(() => ledger.onMembershipChange());
    kernel.addEvents(LEDGER_EVENTS);
    kernel.provide(LEDGER, ledger);
    const verifyJob = createPeriodicJob(
      kernel.inject(CLOCK),
      VERIFY_INTERVAL_MILLISECONDS,
      () => ledger.verifyShards(),
    );
    const stop = (): Promise<void> => {
      verifyJob.stop();
      return ledger.stop();
    };
    kernel.addTask({
      name: 'ledger',
      start: () => verifyJob.startAfterPause(),
      // Runs before the node leaves the membership, so that the next owner of a shard
      // finds all claims written.
      drain: stop,
      stop,
      abandon: () => {
        verifyJob.stop();
        ledger.abandon();
      },
    });
  },
};
