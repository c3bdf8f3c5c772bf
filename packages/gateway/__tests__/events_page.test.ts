import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {gatewayEventsPage} from '../src/index.js';

describe('the catalogue of the gateway’s events', () => {
  it('stands in the documentation as it is in the code', () => {
    expect(readFileSync('docs/GATEWAY_EVENTS.md', 'utf8')).toEqual(
      gatewayEventsPage(),
    );
  });
});
