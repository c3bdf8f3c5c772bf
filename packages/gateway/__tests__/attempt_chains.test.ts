import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {AbortReason, SentRequest} from '@siskinmux/forwarding';
import type {Instant} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {AttemptChain} from '../src/attempt_chains.js';
import {AttemptChains} from '../src/attempt_chains.js';

const TARGET = {
  endpoint: undefined,
  peer: undefined,
  sentAt: as<Instant>(0),
};

function send(chain: AttemptChain): {readonly aborts: AbortReason[]} {
  const aborts: AbortReason[] = [];
  const sentRequest = {
    abort: (reason: AbortReason) => aborts.push(reason),
  } as unknown as SentRequest;
  chain.beginSend(TARGET, sentRequest);
  return {aborts};
}

describe(AttemptChains.name, () => {
  it('leaves a silent run open until another one goes on', async () => {
    const chains = AttemptChains.create();
    const first = chains.open();
    const firstSend = send(first);
    expect(first.tryLead()).toEqual(true);
    first.recordSuspicion(true);
    const second = chains.open();
    const secondSend = send(second);
    expect(second.tryLead()).toEqual(false);
    expect([firstSend.aborts, secondSend.aborts]).toEqual([[], []]);
    const leading = second.lead();
    expect([firstSend.aborts, first.isSuperseded]).toEqual([
      ['superseded'],
      true,
    ]);
    first.endSend();
    expect(await leading).toEqual(true);
    expect(chains.leader).toEqual(second);
  });

  it('passes nothing on of a second run before the first is no longer read', async () => {
    const chains = AttemptChains.create();
    const [first, second] = [chains.open(), chains.open()];
    send(first);
    send(second);
    first.tryLead();
    let isLeading = false;
    const leading = second.lead().then(() => {
      isLeading = true;
    });
    await new Promise(setImmediate);
    expect(isLeading).toEqual(false);
    first.endSend();
    await leading;
    expect(isLeading).toEqual(true);
  });

  it('ends a second run that waits, is sent or has a response when the first goes on', async () => {
    const chains = AttemptChains.create();
    const [first, waiting, sending] = [
      chains.open(),
      chains.open(),
      chains.open(),
    ];
    send(first);
    first.tryLead();
    first.recordSuspicion(true);
    const {aborts} = send(sending);
    first.supersedeOthers();
    expect([waiting.isOver, sending.isOver, first.isOver]).toEqual([
      true,
      true,
      false,
    ]);
    expect([aborts, first.isSuspected]).toEqual([['superseded'], false]);
    expect(await sending.lead()).toEqual(false);
    expect(send(waiting).aborts).toEqual(['superseded']);
  });

  // Both runs were ended, and the caller got nothing.
  it('keeps the run that took over when the one it ended goes on once more', async () => {
    const chains = AttemptChains.create();
    const [first, second] = [chains.open(), chains.open()];
    send(first);
    send(second);
    first.tryLead();
    const leading = second.lead();
    first.supersedeOthers();
    first.endSend();
    expect(await leading).toEqual(true);
    expect(second.isSuperseded).toEqual(false);
  });

  it('closes every connection when the request ends, also of sends that begin later', () => {
    const chains = AttemptChains.create();
    const [first, second] = [chains.open(), chains.open()];
    const {aborts} = send(first);
    chains.cancel();
    expect(aborts).toEqual(['request_ended']);
    expect(send(second).aborts).toEqual(['request_ended']);
  });

  it('has one source of the response at a time, which no other run has superseded, in any order', async () => {
    const step = fc.record({
      chain: fc.nat(2),
      kind: fc.constantFrom('send', 'end', 'try', 'lead', 'go on', 'silent'),
    });
    await fc.assert(
      fc.asyncProperty(fc.array(step, {maxLength: 40}), async steps => {
        const chains = AttemptChains.create();
        const all = [chains.open(), chains.open(), chains.open()];
        const ends = [0, 0, 0];
        const checks: Promise<void>[] = [];
        for (const {chain: index, kind} of steps) {
          const chain = all[index] as AttemptChain;
          const endsBefore = ends[index] ?? 0;
          if (kind === 'send' && !chain.isSending && !chain.isOver) send(chain);
          if (kind === 'end') {
            ends[index] = endsBefore + 1;
            chain.endSend();
          }
          if (kind === 'silent') chain.recordSuspicion(true);
          if (!chain.isSending) continue;
          if (kind === 'try') chain.tryLead();
          if (kind === 'lead')
            checks.push(
              chain.lead().then(isLeading => {
                // The chain may have ended its send before this callback runs.
                const hasEnded = (ends[index] ?? 0) > endsBefore;
                const mayLead = chains.leader === chain || hasEnded;
                expect(!isLeading || mayLead).toEqual(true);
              }),
            );
          if (kind === 'go on' && chains.leader === chain)
            chain.supersedeOthers();
          await Promise.resolve();
          const survivors = all.filter(({isSuperseded}) => !isSuperseded);
          expect(survivors.length > 0).toEqual(true);
          expect(
            chains.leader === undefined || chains.leader.isSending,
          ).toEqual(true);
        }
        for (const [index, chain] of all.entries()) {
          ends[index] = (ends[index] ?? 0) + 1;
          chain.endSend();
        }
        await Promise.all(checks);
      }),
    );
  });
});
