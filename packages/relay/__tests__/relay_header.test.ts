import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {EndpointId} from '@siskinmux/kernel';
import {ErrorCode, as} from '@siskinmux/kernel';
import type {RelayStatement} from '../src/index.js';
import {
  RELAY_HEADER,
  decodeProgress,
  decodeStatement,
  encodeStatement,
  relayedHeaders,
  withoutRelayHeader,
} from '../src/index.js';

const PROGRESS = {
  age: 120,
  sends: 2,
  runs: 1,
  tried: [as<EndpointId>('e1')],
};

describe('relay header', () => {
  it('carries the progress of a request beside the headers of its caller', () => {
    const headers = relayedHeaders(
      ['Host', 'h', 'Content-Length', '3', 'Connection', 'keep-alive'],
      PROGRESS,
    );
    expect(headers.slice(0, 2)).toEqual(['Host', 'h']);
    expect(headers.length).toEqual(4);
    expect(decodeProgress(headers)).toEqual(PROGRESS);
  });

  it('replaces a header of that name which a caller has sent, in any spelling', () => {
    const forged = ['SiskinMux-Relay', '{"age":0,"sends":0}', 'Host', 'h'];
    expect(withoutRelayHeader(forged)).toEqual(['Host', 'h']);
    expect(decodeProgress(relayedHeaders(forged, PROGRESS))).toEqual(PROGRESS);
  });

  it('carries what a response is', () => {
    const statements: RelayStatement[] = [
      {kind: 'endpoint', endpoint: as<EndpointId>('e1'), runs: 2},
      {kind: 'refusal', code: ErrorCode.EndpointBusy, isUnable: false},
      {kind: 'refusal', code: ErrorCode.LinksLost, isUnable: true},
    ];
    for (const statement of statements)
      expect(
        decodeStatement([RELAY_HEADER, encodeStatement(statement)]),
      ).toEqual(statement);
  });

  it('is not read if it is missing or unreadable', () => {
    const unreadable = ['', '{', '[]', '{"age":-1}', '{"endpoint":1}'];
    for (const text of unreadable) {
      expect(decodeProgress([RELAY_HEADER, text])).toEqual(undefined);
      expect(decodeStatement([RELAY_HEADER, text])).toEqual(undefined);
    }
    expect(decodeStatement(['Host', 'h'])).toEqual(undefined);
  });
});
